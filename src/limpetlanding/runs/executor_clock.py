"""Estimates the clock of an executor from its answers."""

from dataclasses import dataclass

SLOWEST_RATE = 0.98
"""Lowest rate of an executor's clock; the platform allows a deviation of 2%."""


@dataclass(slots=True)
class ExecutorClock:
    """Estimate of the monotonic clock of an executor.

    Times of this process are in monotonic seconds; times of the executor are in
    milliseconds on its own clock.

    Examples
    --------
    >>> clock = ExecutorClock()
    >>> clock.record(clock_ms=5000, received=10.0)
    >>> clock.read_at(10.5)
    5500
    >>> clock.is_past(5491, 10.5), clock.is_past(5490, 10.5)
    (False, True)
    """

    clock_ms: int | None = None
    received: float = 0

    def record(self, clock_ms: int, received: float) -> None:
        """Record a reading, unless it is over 2% lower than the estimate.

        Such a reading is older than the latest one.
        """
        expected = self.read_at(received)
        if expected is None or clock_ms >= expected * SLOWEST_RATE:
            self.clock_ms = clock_ms
            self.received = received

    def read_at(self, now: float) -> int | None:
        """Return the latest reading plus the time since; None if unknown."""
        if self.clock_ms is None:
            return None
        return self.clock_ms + int((now - self.received) * 1000)

    def is_past(self, limit_ms: int, now: float) -> bool:
        """Tell whether the clock has passed `limit_ms` even at its slowest.

        The answer is no while the clock is unknown.
        """
        if self.clock_ms is None:
            return False
        elapsed_ms = (now - self.received) * 1000
        return self.clock_ms + elapsed_ms * SLOWEST_RATE >= limit_ms
