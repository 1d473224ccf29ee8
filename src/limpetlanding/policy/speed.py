"""Speed of an endpoint relative to the others."""

MIN_SPEED = 1 / 16
MAX_SPEED = 16
"""Speeds differ by up to 4. The wider range leaves room for estimates that
are all wrong by one factor, which cancels out once they are corrected."""

START_SPEED = 1

START_WORK_MS = 1500
"""Weight of the start value: about 5 common tasks."""

MEMORY_MS = 15_000
"""Expected work that is remembered: about 50 common tasks, a few seconds at
30% load. Less makes the speed follow the scatter of the run times."""

OVERRUN = 4
"""Runs above this multiple of the expected time count as this multiple, so
that a straggler does not make its endpoint look slow."""


class SpeedTracker:
    """Learns the speed of one endpoint.

    The speed is the sum of the expected run times at speed 1.0 divided by
    the sum of the actual ones, over recent work. A ratio of sums is not
    biased by the scatter of the run times, as a mean of ratios would be.

    See Also
    --------
    limpetlanding.policy.estimates.Estimator : anchors the common factor.

    Examples
    --------
    >>> tracker = SpeedTracker()
    >>> for _ in range(900):
    ...     tracker.observe(expected_ms=100, run_ms=50)
    >>> round(tracker.speed, 1)
    2.0
    """

    def __init__(self) -> None:
        self.expected_ms: float = START_WORK_MS * START_SPEED
        self.run_ms: float = START_WORK_MS

    @property
    def speed(self) -> float:
        """Expected run time at speed 1.0 divided by actual run time."""
        speed = self.expected_ms / self.run_ms
        return min(max(speed, MIN_SPEED), MAX_SPEED)

    def observe(self, expected_ms: float, run_ms: float) -> None:
        """Learn from a run expected to take `expected_ms` at speed 1.0."""
        if expected_ms <= 0 or run_ms <= 0:
            return
        longest_ms = OVERRUN * expected_ms / self.speed
        self.expected_ms += expected_ms
        self.run_ms += min(run_ms, longest_ms)
        if self.expected_ms > MEMORY_MS:
            keep = MEMORY_MS / self.expected_ms
            self.expected_ms *= keep
            self.run_ms *= keep
