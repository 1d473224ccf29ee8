"""What a process knows of the fate of jobs and runs.

Messages may arrive late, twice or after a message that revokes them. Before a
worker starts a run and before a front accepts a job, it asks here whether the
run or job has been refused, stopped, ended or cancelled before.

Times are in monotonic seconds and passed in by the caller. Entries are dropped
after a retention time, and the oldest ones beyond a maximum number.
"""

from collections.abc import Hashable
from enum import StrEnum
from typing import Any, Generic, TypeVar

from limpetlanding.runs.jobs import ActiveJob
from limpetlanding.runs.room import LEASE_MS

RUN_RETENTION_S = 10
"""How long a worker remembers a run that it does not have any more, or never
had. A copy of its order arrives within two seconds or not at all."""

MAX_REMEMBERED_RUNS = 4000
"""Runs that a worker remembers, at about 310 bytes each; it covers 400 starts a
second during the retention."""

JOB_RETENTION_S = 30
"""How long a front remembers cancelled and ended jobs for submissions that
arrive again."""

MAX_REMEMBERED_JOBS = 20_000
"""Jobs of each kind that a front remembers; it covers 660 jobs a second during
the retention."""

LOST_RUNS_TIMEOUT_S = 0.45 + 0.3 + LEASE_MS / 980 + 0.1
"""Time without any link after which no run of this front is left at a worker.
The worker detects the silent link, drops the front and stops its runs; if the
worker is suspended at that moment, the lease at its executor expires, whose
clock may be 2% slow."""

MAX_RESUBMISSION_WAIT_S = 0.45 + 0.3 + LOST_RUNS_TIMEOUT_S + 0.1
"""Longest wait of a resubmission until the runs of the earlier submission have
ended: the time until a worker is lost, and then until its runs are."""

Key = TypeVar('Key', bound=Hashable)
Value = TypeVar('Value')


class RecentEntries(Generic[Key, Value]):
    """Entries of the last seconds, in the order in which they were recorded.

    Parameters
    ----------
    retention_s : float
        Time in seconds after which an entry is dropped.
    max_count : int
        Number of entries beyond which the oldest are dropped.

    Examples
    --------
    >>> recent = RecentEntries(retention_s=10, max_count=2)
    >>> recent.record('a', 1, now=0)
    >>> recent.record('b', 2, now=5)
    >>> recent.get('a', now=9), recent.get('a', now=11)
    (1, None)
    >>> recent.record('c', 3, now=11)
    >>> recent.keys(now=11)
    ['b', 'c']
    """

    def __init__(self, retention_s: float, max_count: int) -> None:
        self.retention_s = retention_s
        self.max_count = max_count
        self.entries: dict[Key, tuple[float, Value]] = {}

    def record(self, key: Key, value: Value, now: float) -> None:
        """Record an entry, in place of an earlier one with the same key."""
        self.entries.pop(key, None)
        self.entries[key] = now, value
        while self._oldest_is_outdated(now):
            self.entries.pop(next(iter(self.entries)))

    def get(self, key: Key, now: float) -> Value | None:
        """Return the value of an entry, or None if there is none."""
        recorded_at, value = self.entries.get(key, (now, None))
        return value if now - recorded_at <= self.retention_s else None

    def keys(self, now: float) -> list[Key]:
        """Return the keys, those recorded first at the beginning."""
        return [key for key in self.entries if self.get(key, now) is not None]

    def values(self, now: float) -> list[Value]:
        """Return the values, in the order of `keys`."""
        return [self.entries[key][1] for key in self.keys(now)]

    def _oldest_is_outdated(self, now: float) -> bool:
        recorded_at, _ = next(iter(self.entries.values()))
        is_surplus = len(self.entries) > self.max_count
        return is_surplus or now - recorded_at > self.retention_s


class RunFate(StrEnum):
    """What a worker has decided about a run that it does not have."""

    REFUSED = 'refused before'
    # A front has stopped the run before its order arrived.
    STOPPED = 'stopped before'
    ENDED = 'ended before'


class RunRegistry:
    """Runs that a worker has refused, stopped before they came, or ended.

    A run is known by the incarnation of its front and its key, since each front
    numbers the runs of a task from 1.
    """

    def __init__(self) -> None:
        self.fates: RecentEntries[tuple[str, str], RunFate] = RecentEntries(
            RUN_RETENTION_S, MAX_REMEMBERED_RUNS
        )

    def record(self, owner: str, key: str, fate: RunFate, now: float) -> None:
        """Record the fate of a run; one that has ended stays ended."""
        if self.fate(owner, key, now) is not RunFate.ENDED:
            self.fates.record((owner, key), fate, now)

    def fate(self, owner: str, key: str, now: float) -> RunFate | None:
        """Return the fate of a run; None if nothing is known of it."""
        return self.fates.get((owner, key), now)


class JobRegistry:
    """Jobs that a front has answered, or of which other fronts have told it.

    A submission of such a job may arrive again, at this front or another.
    """

    def __init__(self) -> None:
        self.ended: RecentEntries[str, ActiveJob] = _recent_jobs()
        # Whether all fronts in touch have confirmed that they know of it.
        self.cancelled: RecentEntries[str, bool] = _recent_jobs()
        # By the incarnation of the front that had the job: the number of its
        # last message, whether the job may still have runs, and when it came.
        self.run_elsewhere: RecentEntries[
            str, dict[str, tuple[int, bool, float]]
        ] = _recent_jobs()

    def is_cancelled(self, job_id: str, now: float) -> bool:
        """Tell whether a client has cancelled the job."""
        return self.cancelled.get(job_id, now) is not None

    def record_cancelled(self, job_id: str, cancelled_at: float) -> None:
        """Record that a client has cancelled the job; not yet confirmed."""
        self.cancelled.record(job_id, False, cancelled_at)

    def confirm_cancelled(self, job_id: str) -> None:
        """Record that all fronts in touch know that the job is cancelled."""
        if job_id in self.cancelled.entries:
            cancelled_at, _ = self.cancelled.entries[job_id]
            self.cancelled.entries[job_id] = cancelled_at, True

    def cancelled_ages(self, now: float) -> dict[str, float]:
        """Return the cancelled jobs with the seconds since then."""
        return {
            job_id: now - self.cancelled.entries[job_id][0]
            for job_id in self.cancelled.keys(now)
        }

    def record_run_elsewhere(
        self, job_id: str, front: str, state: tuple[int, bool], now: float
    ) -> bool:
        """Record that a job has run at another front.

        Parameters
        ----------
        job_id : str
            The job.
        front : str
            Incarnation of the other front.
        state : tuple of int and bool
            Number of its message, and whether the job may still have runs.
        now : float
            Time in monotonic seconds.

        Returns
        -------
        bool
            Whether it is new; messages may arrive twice and out of order.
        """
        known = self.run_elsewhere.get(job_id, now) or {}
        if front in known and known[front][:2] >= state:
            return False
        self.run_elsewhere.record(job_id, known | {front: (*state, now)}, now)
        return True

    def runs_elsewhere(self, job_id: str, now: float) -> bool:
        """Tell whether the job may still have runs of another front."""
        fronts = self.run_elsewhere.get(job_id, now) or {}
        return any(
            has_runs and now - recorded_at <= MAX_RESUBMISSION_WAIT_S
            for _, has_runs, recorded_at in fronts.values()
        )

    def may_have_run(self, job_id: str, now: float) -> bool:
        """Tell whether a task of the job may have been started before."""
        earlier = self.ended.get(job_id, now)
        has_run_here = earlier is not None and earlier.has_run
        return has_run_here or self.run_elsewhere.get(job_id, now) is not None


def _recent_jobs() -> RecentEntries[str, Any]:
    return RecentEntries(JOB_RETENTION_S, MAX_REMEMBERED_JOBS)
