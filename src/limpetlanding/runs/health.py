"""Health of one executor, derived from how its runs end."""

from dataclasses import dataclass, field

MIN_FAILURES = 3
"""Consecutive failures that an ejection requires. Tasks rarely fail by
themselves, so that three consecutive failures from two jobs indicate a fault of
the executor."""

MIN_FAILED_JOBS = 2
"""Distinct jobs among these failures; a single job may itself be faulty."""

FIRST_EJECTION_S = 0.6
MAX_EJECTION_S = 5
"""An executor is ejected for 0.6 s at first, and for twice as long after each
failed trial run; faults of executors last some seconds."""


@dataclass(slots=True)
class ExecutorHealth:
    """Decides whether an executor receives runs, and how many at once.

    Examples
    --------
    >>> health = ExecutorHealth()
    >>> [health.record_failure(job, now=1.0) for job in ('a', 'b', 'c')]
    [False, False, True]
    >>> health.state(now=1.1), health.state(now=2.0)
    ('ejected', 'trial')
    >>> health.record_success()
    >>> health.state(now=2.0)
    'good'
    """

    failed_jobs: list[str] = field(default_factory=list)
    ejection_s: float = FIRST_EJECTION_S
    ejected_until: float | None = None

    def record_success(self) -> None:
        """Record a run that completed."""
        self.failed_jobs.clear()
        self.ejected_until = None
        self.ejection_s = FIRST_EJECTION_S

    def record_failure(self, job_id: str, now: float) -> bool:
        """Record a failure of a run; return whether it causes ejection.

        The run failed, stalled, was refused by an unhealthy executor or was
        lost because the executor did not answer.
        """
        self.failed_jobs.append(job_id)
        if self.ejected_until is not None:
            if now < self.ejected_until:
                return False
            self.ejection_s = min(2 * self.ejection_s, MAX_EJECTION_S)
        elif not self._is_suspect():
            return False
        self.ejected_until = now + self.ejection_s
        return True

    def state(self, now: float) -> str:
        """Return ``good``, ``ejected`` or ``trial`` (one run at a time)."""
        if self.ejected_until is None:
            return 'good'
        return 'ejected' if now < self.ejected_until else 'trial'

    def _is_suspect(self) -> bool:
        return (
            len(self.failed_jobs) >= MIN_FAILURES
            and len(set(self.failed_jobs)) >= MIN_FAILED_JOBS
        )
