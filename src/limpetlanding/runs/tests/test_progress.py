"""Tests of the decision whether a run makes progress."""

from math import inf

import pytest

from limpetlanding.runs.model import Resources
from limpetlanding.runs.progress import MIN_STALL_S, ProgressWatch
from limpetlanding.runs.tracked_run import TrackedRun

INVENTORY_INTERVAL_S = 0.2


def tracked_run(estimate_ms):
    """Return a run that has just started."""
    return TrackedRun(
        'f0-1', 'a', 'a.0.0.0', 1, Resources(1000), estimate_ms=estimate_ms
    )


def stalled_at(watch, run, percents):
    """Return when a run counts as stalled, in seconds; infinite if never.

    Parameters
    ----------
    watch : ProgressWatch
        Watch of the executor.
    run : TrackedRun
        The run.
    percents : iterable of float
        Percentages that the inventories list, one after another.
    """
    for number, percent in enumerate(percents):
        now = number * INVENTORY_INTERVAL_S
        if watch.is_stalled(run, percent, now):
            return now
    return inf


def whole_percents(work_s):
    """Return the percentages of a sound run, rounded to whole numbers."""
    count = int(work_s / INVENTORY_INTERVAL_S)
    return [round(100 * x / count) for x in range(count)]


class TestSoundRuns:
    """Guards against sound runs that are stopped as stalled."""

    @pytest.mark.parametrize('work_s', [0.4, 7, 61, 600, 36_000])
    @pytest.mark.parametrize('slowness', [0.3, 1, 5])
    def test_whole_numbers(self, work_s, slowness):
        run = tracked_run(work_s * 1000 / slowness)
        assert stalled_at(ProgressWatch(), run, whole_percents(work_s)) == inf

    @pytest.mark.parametrize('work_s', [7, 61, 600, 36_000])
    def test_whole_numbers_without_an_estimate(self, work_s):
        run = tracked_run(0)
        assert stalled_at(ProgressWatch(), run, whole_percents(work_s)) == inf

    @pytest.mark.parametrize('unit', [0.5, 1 / 8, 0.1, 0.01])
    @pytest.mark.parametrize('estimate_ms', [0, 3_600_000])
    def test_other_steps(self, unit, estimate_ms):
        percents = [
            unit * (percent // unit)
            for number in range(18_000)
            for percent in [number / 180]
        ]
        run = tracked_run(estimate_ms)
        assert stalled_at(ProgressWatch(), run, percents) == inf

    def test_whole_numbers_with_errors_of_binary_fractions(self):
        # Guards against 56.99999999999999 that is taken for a fine percentage.
        watch = ProgressWatch()
        for number in range(100):
            watch.record(number / 100 * 100)
        assert watch == ProgressWatch()


class TestStalledRuns:
    """Guards against runs without progress that occupy their room."""

    @pytest.mark.parametrize('estimate_ms', [0, 100, 90_000, 3_600_000])
    def test_fine_percentages(self, estimate_ms):
        watch = ProgressWatch()
        watch.record(100 / 3)
        at = stalled_at(watch, tracked_run(estimate_ms), [7] * 100)
        assert MIN_STALL_S < at < MIN_STALL_S + 2 * INVENTORY_INTERVAL_S

    @pytest.mark.parametrize('percent', [0, 7, 100])
    @pytest.mark.parametrize(
        ('estimate_ms', 'longest_s'), [(100, 0.9), (6000, 0.9), (90_000, 9.5)]
    )
    def test_whole_numbers(self, percent, estimate_ms, longest_s):
        run = tracked_run(estimate_ms)
        at = stalled_at(ProgressWatch(), run, [percent] * 100)
        assert MIN_STALL_S < at < longest_s

    def test_run_that_stops_half_way(self):
        run = tracked_run(61_000)
        percents = [*whole_percents(61)[:150], *[50] * 100]
        at = stalled_at(ProgressWatch(), run, percents)
        assert 30 < at < 37
