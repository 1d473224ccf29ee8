"""Health of one executor, judged by the ends of its runs."""

from dataclasses import dataclass, field

MIN_FAILURES = 3
"""Failures in a row that make an executor suspect. Own failures of sound
tasks are rare, so three in a row from two jobs point at the executor."""

MIN_FAILED_JOBS = 2
"""Jobs among these failures; one job alone may be faulty itself."""

FIRST_PAUSE_S = 0.6
MAX_PAUSE_S = 5
"""An executor rests 0.6 s at first, and twice as long after each trial that
fails; faults of executors last some seconds."""


@dataclass(slots=True)
class ExecutorHealth:
    """Whether an executor is given runs, and how many at once.

    Examples
    --------
    >>> health = ExecutorHealth()
    >>> [health.failed(job, now=1.0) for job in ('a', 'b', 'c')]
    [False, False, True]
    >>> health.state(now=1.1), health.state(now=2.0)
    ('ejected', 'trial')
    >>> health.succeeded()
    >>> health.state(now=2.0)
    'good'
    """

    failed_jobs: list[str] = field(default_factory=list)
    pause_s: float = FIRST_PAUSE_S
    ejected_until: float | None = None

    def succeeded(self) -> None:
        """Note a run that ended well."""
        self.failed_jobs.clear()
        self.ejected_until = None
        self.pause_s = FIRST_PAUSE_S

    def failed(self, job_id: str, now: float) -> bool:
        """Note a failed or stalled run; return whether this ejects."""
        self.failed_jobs.append(job_id)
        if self.ejected_until is not None:
            if now < self.ejected_until:
                return False
            self.pause_s = min(2 * self.pause_s, MAX_PAUSE_S)
        elif not self._is_suspect():
            return False
        self.ejected_until = now + self.pause_s
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
