"""Tests of the estimate of an executor's clock."""

import pytest

from limpetlanding.runs.executor_clock import ExecutorClock

DAY_MS = 86_400_000


class TestRecord:
    """Guards against late answers that set the clock of an executor back."""

    @pytest.mark.parametrize('uptime_ms', [5_000, DAY_MS])
    def test_reading_from_before_a_pause_does_not_set_the_clock_back(
        self, uptime_ms
    ):
        clock = ExecutorClock()
        clock.record(uptime_ms, 10)
        # The answer was received at once, and read after a pause of 3 s.
        clock.record(uptime_ms + 10, 13)
        assert clock.read_at(13) == uptime_ms + 3000

    @pytest.mark.parametrize('delay_ms', [0, 200])
    def test_estimate_follows_a_slow_clock_with_late_answers(self, delay_ms):
        # Guards against a first reading that is kept, while the estimate
        # advances faster than the clock.
        clock = ExecutorClock()
        clock.record(DAY_MS, 0)
        for second in range(1, 601):
            clock.record(DAY_MS + 980 * second - delay_ms, second)
        true_ms = DAY_MS + 980 * 600
        assert true_ms - delay_ms <= clock.read_at(600) <= true_ms
