"""Tests of what a process remembers of jobs and runs."""

import pytest

from limpetlanding.runs.registry import (
    RUN_RETENTION_S,
    RecentEntries,
    RunFate,
    RunRegistry,
)

OWNER = 'front-1/17'
KEY = '5c0e7a21d94b36f8.0.0.1/1'


class TestRecentEntries:
    """Guards against state that grows without bound or is dropped too early."""

    def test_oldest_entries_are_dropped_beyond_the_maximum(self):
        recent = RecentEntries(retention_s=10, max_count=3)
        for number in range(100):
            recent.record(number, 'value', now=0)
        assert recent.keys(now=0) == [97, 98, 99]
        assert len(recent.entries) == 3

    def test_expired_entries_are_dropped_by_the_next_record(self):
        recent = RecentEntries(retention_s=10, max_count=100)
        recent.record('old', 'value', now=0)
        recent.record('new', 'value', now=11)
        assert list(recent.entries) == ['new']

    def test_repeated_entry_is_kept_from_its_last_record_on(self):
        recent = RecentEntries(retention_s=10, max_count=100)
        recent.record('first', 1, now=0)
        recent.record('second', 1, now=1)
        recent.record('first', 2, now=9)
        assert recent.get('first', now=18) == 2
        assert recent.get('second', now=18) is None


class TestRunRegistry:
    """Guards against a second decision on a run that was decided before."""

    @pytest.mark.parametrize('fate', list(RunFate))
    def test_fate_is_known_until_no_copy_of_the_order_can_arrive(self, fate):
        registry = RunRegistry()
        registry.record(OWNER, KEY, fate, now=100)
        assert registry.fate(OWNER, KEY, now=100 + RUN_RETENTION_S) is fate
        assert not registry.fate(OWNER, KEY, now=101 + RUN_RETENTION_S)

    def test_runs_of_other_fronts_are_not_confused(self):
        registry = RunRegistry()
        registry.record(OWNER, KEY, RunFate.REFUSED, now=100)
        assert registry.fate('front-2/17', KEY, now=100) is None

    def test_late_stop_does_not_hide_that_a_run_has_ended(self):
        registry = RunRegistry()
        registry.record(OWNER, KEY, RunFate.ENDED, now=100)
        registry.record(OWNER, KEY, RunFate.STOPPED, now=101)
        assert registry.fate(OWNER, KEY, now=101) is RunFate.ENDED
