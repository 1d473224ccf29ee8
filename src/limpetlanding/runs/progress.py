"""Decides whether a run makes progress, by the percentages of its executor.

An executor rounds the percentages that it lists, so that a long run lists the
same one for a while. The finest step between them is learned from all values
that the executor lists; until a finer one is seen, they count as whole numbers.
A run is stalled once its percentage has been the same for much longer than a
step of a run of its estimated duration takes.
"""

from dataclasses import dataclass
from math import gcd, inf

from limpetlanding.runs.tracked_run import TrackedRun

MIN_STALL_S = 0.6
"""A run whose percentage changes sooner is not stalled. Inventories arrive at
least every 0.2 s, unless some are lost."""

UNITS_PER_PERCENT = 10_000
"""Percentages are compared in these units. Smaller differences are errors of
binary fractions, such as 56.99999999999999 for 57."""

FINE_STEP = UNITS_PER_PERCENT // 1000
"""With steps of 0.001% or less, a run of up to 16 hours lists another value
within 0.6 s, so that no estimate is needed."""

ESTIMATE_MARGIN = 10
"""Factor by which a step of a sound run may take longer than the estimate says.
Estimates are off by about 40%, and executors may be 8 times slower at times."""


@dataclass(slots=True)
class ProgressWatch:
    """Judges the progress of the runs of one incarnation of an executor.

    Parameters
    ----------
    step : int
        Finest step known between the percentages that the executor lists, in
        `UNITS_PER_PERCENT`.

    Examples
    --------
    >>> watch = ProgressWatch()
    >>> watch.longest_wait_s(estimate_ms=90_000)
    9.0
    >>> watch.record(41.37)
    >>> watch.longest_wait_s(estimate_ms=90_000)
    0.6
    """

    step: int = UNITS_PER_PERCENT

    def is_stalled(self, held: TrackedRun, percent: float, now: float) -> bool:
        """Record a listed percentage, and tell whether its run is stalled."""
        self.record(percent)
        if percent != held.percent:
            held.percent = percent
            held.progress_at = now
        waited_s = now - held.progress_at
        return waited_s > self.longest_wait_s(held.estimate_ms)

    def record(self, percent: float) -> None:
        """Record a percentage that the executor lists."""
        self.step = gcd(self.step, round(percent * UNITS_PER_PERCENT))

    def longest_wait_s(self, estimate_ms: float) -> float:
        """Return for how long a sound run may list the same percentage.

        Parameters
        ----------
        estimate_ms : float
            Declared run time in milliseconds; 0 if none was declared.

        Returns
        -------
        float
            Time in seconds; infinite if it cannot be told.
        """
        if self.step <= FINE_STEP:
            return MIN_STALL_S
        if not estimate_ms:
            return inf
        step_share = self.step / UNITS_PER_PERCENT / 100
        step_s = step_share * estimate_ms / 1000
        return max(ESTIMATE_MARGIN * step_s, MIN_STALL_S)
