"""Decides whether a run may start beside another that may crash the executor.

After a crash several jobs may be its cause. Each is tried apart from the
starts of other jobs, so that another crash shows which of them it is, and no
further job comes under suspicion.
"""

from dataclasses import dataclass
from math import inf

from limpetlanding.runs.losses import RECENT_START_S


@dataclass(slots=True)
class StartTimes:
    """The latest start at one executor.

    Examples
    --------
    >>> starts = StartTimes()
    >>> starts.record('a', True, now=1.0)
    >>> starts.refusal_reason('b', False, now=1.04)
    'another job is on trial'
    >>> starts.refusal_reason('a', True, now=1.04)
    ''
    >>> starts.refusal_reason('b', False, now=1.2)
    ''
    """

    job_id: str = ''
    at: float = -inf
    is_trial: bool = False

    def record(self, job_id: str, is_trial: bool, now: float) -> None:
        """Record a start of a run of a job."""
        self.job_id = job_id
        self.at = now
        self.is_trial = is_trial

    def refusal_reason(self, job_id: str, is_trial: bool, now: float) -> str:
        """Return why a run of a job cannot be started now; empty if it can."""
        if job_id == self.job_id or now - self.at > RECENT_START_S:
            return ''
        if self.is_trial:
            return 'another job is on trial'
        return 'another job has just started' if is_trial else ''
