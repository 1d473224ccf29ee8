"""Speed of an endpoint relative to the other endpoints."""

MIN_SPEED = 1 / 16
MAX_SPEED = 16
"""Speeds of endpoints differ by a factor of up to 4. The range is wider because
all estimates may be wrong by a common factor until they are corrected."""

INITIAL_SPEED = 1

INITIAL_WORK_MS = 1500
"""Weight of the initial speed, as observed work: about 5 typical tasks."""

MAX_REMEMBERED_MS = 15_000
"""Expected work that is remembered: about 50 typical tasks, or a few seconds at
30% load. With less the speed would follow the random variation of run times."""

MAX_OVERRUN_RATIO = 4
"""Longer runs count as this multiple of the expected time, so that a straggler
does not make its endpoint look slow."""


class SpeedTracker:
    """Estimates the speed of one endpoint from the run times of its tasks.

    The speed is the sum of the expected run times at speed 1.0 divided by
    the sum of the actual ones, over recent work. Unlike a mean of ratios, a
    ratio of sums is not biased by the variation of the run times.

    See Also
    --------
    limpetlanding.policy.estimates.Estimator : keeps a common
        factor of all speeds from drifting.

    Examples
    --------
    >>> tracker = SpeedTracker()
    >>> for _ in range(900):
    ...     tracker.observe(expected_ms=100, run_ms=50)
    >>> round(tracker.speed, 1)
    2.0
    """

    def __init__(self) -> None:
        self.expected_ms: float = INITIAL_WORK_MS * INITIAL_SPEED
        self.run_ms: float = INITIAL_WORK_MS

    @property
    def speed(self) -> float:
        """Expected run time at speed 1.0 divided by actual run time."""
        speed = self.expected_ms / self.run_ms
        return min(max(speed, MIN_SPEED), MAX_SPEED)

    def observe(self, expected_ms: float, run_ms: float) -> None:
        """Add a run that was expected to take `expected_ms` at speed 1.0.

        Runs without a positive time are ignored.
        """
        if expected_ms <= 0 or run_ms <= 0:
            return
        longest_ms = MAX_OVERRUN_RATIO * expected_ms / self.speed
        self.expected_ms += expected_ms
        self.run_ms += min(run_ms, longest_ms)
        if self.expected_ms > MAX_REMEMBERED_MS:
            decay = MAX_REMEMBERED_MS / self.expected_ms
            self.expected_ms *= decay
            self.run_ms *= decay
