"""Clock of an executor, as seen through its answers."""

from dataclasses import dataclass

SLOWEST_RATE = 0.98
"""Rate of the slowest executor clock; the platform allows 2% deviation."""


@dataclass(slots=True)
class ExecutorClock:
    """Bounds on the steady clock of an executor.

    Times of this process are monotonic seconds; times of the executor are
    milliseconds on its own clock.

    Examples
    --------
    >>> clock = ExecutorClock()
    >>> clock.note(clock_ms=5000, received=10.0)
    >>> clock.at(10.5)
    5500
    >>> clock.is_past(5491, 10.5), clock.is_past(5490, 10.5)
    (False, True)
    """

    clock_ms: int | None = None
    received: float = 0

    def note(self, clock_ms: int, received: float) -> None:
        """Record a reading; an answer overtaken by a newer one is ignored."""
        expected = self.at(received)
        if expected is None or clock_ms >= expected * SLOWEST_RATE:
            self.clock_ms = clock_ms
            self.received = received

    def at(self, now: float) -> int | None:
        """Return the latest reading plus the time since, if there is one."""
        if self.clock_ms is None:
            return None
        return self.clock_ms + int((now - self.received) * 1000)

    def is_past(self, limit_ms: int, now: float) -> bool:
        """Tell whether even the slowest clock has passed `limit_ms`."""
        if self.clock_ms is None:
            return False
        elapsed_ms = (now - self.received) * 1000
        return self.clock_ms + elapsed_ms * SLOWEST_RATE >= limit_ms
