"""Estimates the clock of an executor from its answers."""

from dataclasses import dataclass

SLOWEST_RATE = 0.98
"""Lowest rate of an executor's clock; the platform allows a deviation of 2%."""

MAX_READING_AGE_MS = 250
"""A reading that is older when it is recorded is ignored. Answers are awaited
for about this long, so that an older one was read late, as after a pause of
this process. With a lower limit, an executor that is slow to answer would be
left with its first reading, from which the estimate drifts by 2%."""


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
        """Record a reading, unless it is surely older than the limit."""
        if not self.is_past(clock_ms + MAX_READING_AGE_MS + 1, received):
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
