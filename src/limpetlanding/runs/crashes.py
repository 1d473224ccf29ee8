"""Crashes of executors, and the tasks that had runs there.

A task that crashes the executors that start it would take them away one after
another, with all tasks beside it. The decisions here answer that load: which
tasks may be the cause of a crash, and which are not started again.
"""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import chain

RECENT_START_S = 0.05
"""A run is a likely cause of a crash if it was started within this time before
the last answer of its executor, or later. An executor starts about 20 tasks a
second, so that one other task is within it by coincidence."""


MAX_RECENT_CRASHES = 2
"""Crashes shortly after a start of a task, from which on it is not started
again. The platform allows a job to be given up after two."""

MAX_CRASHES = 4
"""Crashes under a task, at any time of its runs, from which on it is not
started again. The platform allows two starts after the third crash."""

MAX_OTHER_CRASHES = 1
"""Crashes under a task that was not started shortly before, up to which it is
no more suspect than the other tasks there."""

MAX_LOSSES = 4
"""Executors that crashed or fell silent under a task from which on it is not
started again. A single silent executor says nothing of its tasks."""

RETENTION_S = 120
"""How long a crash is remembered. Clients wait for seconds, and submit a job
again soon after a lost answer."""

MAX_REMEMBERED_CRASHES = 1000


@dataclass(frozen=True, slots=True)
class Crash:
    """One crash of an executor.

    Parameters
    ----------
    crash_id : str
        Name of the crash, the same in all reports of it.
    recent_tasks : tuple of str
        Tasks that were started shortly before the crash.
    other_tasks : tuple of str
        The other tasks that had runs at the executor.
    is_certain : bool
        False if the executor has only fallen silent so far.
    """

    crash_id: str
    recent_tasks: tuple[str, ...] = ()
    other_tasks: tuple[str, ...] = ()
    is_certain: bool = True


def is_recent_start(started_at: float | None, last_answer_at: float) -> bool:
    """Tell whether a run was started shortly before its executor crashed.

    Parameters
    ----------
    started_at : float or None
        When the executor confirmed the start, in seconds; None if it did not.
    last_answer_at : float
        When the executor answered the last time, on the same clock.

    Examples
    --------
    >>> is_recent_start(9.95, 10), is_recent_start(9.5, 10)
    (True, False)
    >>> is_recent_start(None, 10)
    True
    """
    return started_at is None or started_at >= last_answer_at - RECENT_START_S


@dataclass(slots=True)
class TaskLosses:
    """Losses of executors that had runs of one task.

    Parameters
    ----------
    recent : int
        Crashes shortly after a start of the task.
    other : int
        Other crashes.
    silent : int
        Executors that fell silent.

    Examples
    --------
    >>> TaskLosses(recent=1, other=1).is_deadly
    False
    >>> TaskLosses(recent=2).is_deadly, TaskLosses(other=4).is_deadly
    (True, True)
    """

    recent: int = 0
    other: int = 0
    silent: int = 0

    @property
    def is_suspect(self) -> bool:
        """Whether the task is likely to be the cause of a crash."""
        return self.recent > 0 or self.other > MAX_OTHER_CRASHES

    @property
    def is_deadly(self) -> bool:
        """Whether the task must not be started again."""
        crashes = self.recent + self.other
        return (
            self.recent >= MAX_RECENT_CRASHES
            or crashes >= MAX_CRASHES
            or crashes + self.silent >= MAX_LOSSES
        )


class CrashLedger:
    """The crashes that a process has learned of.

    Examples
    --------
    >>> ledger = CrashLedger()
    >>> ledger.record(Crash('i-1/1', ('5c0e.0.0.1',)), at=10)
    True
    >>> ledger.record(Crash('i-1/1', ('5c0e.0.0.1',)), at=11)
    False
    >>> ledger.is_suspect('5c0e'), ledger.deadly_task('5c0e')
    (True, '')
    >>> ledger.record(Crash('i-2/1', ('5c0e.0.0.1',)), at=12)
    True
    >>> ledger.deadly_task('5c0e')
    '5c0e.0.0.1'
    """

    def __init__(self) -> None:
        # Each crash with the time at which it occurred.
        self.crashes: dict[str, tuple[Crash, float]] = {}
        self.losses: dict[str, dict[str, TaskLosses]] = defaultdict(dict)

    def record(self, crash: Crash, at: float) -> bool:
        """Store a crash; return whether it tells something new.

        Parameters
        ----------
        crash : Crash
            The crash. It replaces a report of the same loss that was uncertain.
        at : float
            When it occurred, in monotonic seconds.
        """
        known, _ = self.crashes.get(crash.crash_id, (None, 0))
        if known is not None:
            if known.is_certain or not crash.is_certain:
                return False
            self._count(known, -1)
        self.crashes[crash.crash_id] = (crash, at)
        self._count(crash, 1)
        if len(self.crashes) > MAX_REMEMBERED_CRASHES:
            self._remove(next(iter(self.crashes)))
        return True

    def known(self, now: float) -> Iterator[tuple[Crash, float]]:
        """Yield each crash and its age in seconds; forget those too old."""
        for crash, at in list(self.crashes.values()):
            if now - at > RETENTION_S:
                self._remove(crash.crash_id)
            else:
                yield crash, now - at

    def is_suspect(self, job_id: str) -> bool:
        """Tell whether a task of a job is likely to have caused a crash."""
        return any(x.is_suspect for x in self._losses_of(job_id).values())

    def deadly_task(self, job_id: str) -> str:
        """Return a task of a job that must not be started again, if any."""
        return next(
            (
                task
                for task, losses in self._losses_of(job_id).items()
                if losses.is_deadly
            ),
            '',
        )

    def _losses_of(self, job_id: str) -> dict[str, TaskLosses]:
        return self.losses.get(job_id, {})

    def _remove(self, crash_id: str) -> None:
        crash, _ = self.crashes.pop(crash_id)
        self._count(crash, -1)
        for job_id in jobs_of(crash):
            if not any(map(_is_counted, self._losses_of(job_id).values())):
                self.losses.pop(job_id, None)

    def _count(self, crash: Crash, change: int) -> None:
        if crash.is_certain:
            for task in crash.recent_tasks:
                self._entry(task).recent += change
            for task in crash.other_tasks:
                self._entry(task).other += change
        else:
            for task in chain(crash.recent_tasks, crash.other_tasks):
                self._entry(task).silent += change

    def _entry(self, task: str) -> TaskLosses:
        return self.losses[job_of(task)].setdefault(task, TaskLosses())


def job_of(task: str) -> str:
    """Return the id of the job of a task.

    Examples
    --------
    >>> job_of('5c0e7a21d94b36f8.0.1.17')
    '5c0e7a21d94b36f8'
    """
    return task.partition('.')[0]


def jobs_of(crash: Crash) -> set[str]:
    """Return the ids of the jobs that had runs at a crashed executor."""
    return set(map(job_of, chain(crash.recent_tasks, crash.other_tasks)))


def _is_counted(losses: TaskLosses) -> bool:
    return bool(losses.recent or losses.other or losses.silent)
