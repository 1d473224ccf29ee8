"""Speed of an endpoint relative to speed 1.0."""

MIN_SPEED = 0.25
MAX_SPEED = 4.0
_WEIGHT = 0.05


class SpeedTracker:
    """Learns the speed of one endpoint.

    `speed` is expected run time at speed 1.0 divided by actual run time.

    Examples
    --------
    >>> tracker = SpeedTracker()
    >>> for _ in range(200):
    ...     tracker.observe(expected_ms=100, run_ms=50)
    >>> round(tracker.speed, 1)
    2.0
    """

    def __init__(self) -> None:
        self.speed = 1.0

    def observe(self, expected_ms: float, run_ms: float) -> None:
        """Learn from a run expected to take `expected_ms` at speed 1.0."""
        if expected_ms <= 0 or run_ms <= 0:
            return
        speed = self.speed + _WEIGHT * (expected_ms / run_ms - self.speed)
        self.speed = min(max(speed, MIN_SPEED), MAX_SPEED)
