"""Losses of executors, and the tasks that had runs there.

A task that crashes the executors that start it would take them away one after
another, with all tasks beside it. The decisions here answer that load: which
tasks may be the cause of a crash, and which are not started again.
"""

from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum

RECENT_START_S = 0.05
"""A run is a likely cause of a crash if it was started within this time before
the last answer of its executor, or later. An executor starts about 20 tasks a
second, so that one other task is within it by coincidence."""

MAX_RECENT_CRASHES = 2
"""Crashes shortly after a start of a task, from which on it is not started
again. The platform allows a job to be given up after two."""

MAX_CRASHES_NEAR_START = 3
"""Crashes shortly after a start of a task or while a start was on its way, from
which on it is not started again."""

MAX_CRASHES = 4
"""Crashes under a task, at any time of its runs, from which on it is not
started again. The platform allows two starts after the third crash."""

MAX_OTHER_CRASHES = 1
"""Crashes under a task that was not started shortly before, up to which it is
no more suspect than the other tasks there."""

MIN_CERTAIN_CRASHES = 2
"""Crashes under a task below which it is not given up, however many executors
have fallen silent under it."""

MAX_LOSSES = 4
"""Executors that crashed or are silent under a task from which on it is not
started for the time being. It is given up if enough of them have crashed."""

RETENTION_S = 120
"""How long a loss is remembered. Clients wait for seconds, and submit a job
again soon after a lost answer."""

MAX_REMEMBERED_LOSSES = 1000


class LossKind(IntEnum):
    """What is known of the loss of an executor; later knowledge is higher.

    An executor that has answered again had not crashed.
    """

    SILENT = 0
    CRASHED = 1
    ANSWERED = 2


@dataclass(frozen=True, slots=True)
class ExecutorLoss:
    """Loss of an executor that had runs.

    Parameters
    ----------
    loss_id : str
        Name of the loss, the same in all reports of it.
    recent_tasks : tuple of str
        Tasks that were started shortly before the loss.
    other_tasks : tuple of str
        The other tasks that had runs at the executor.
    kind : LossKind
        What is known of the loss so far.
    unconfirmed_tasks : tuple of str
        Tasks whose start was sent, but not confirmed by the executor. They may
        never have run there.
    """

    loss_id: str
    recent_tasks: tuple[str, ...] = ()
    other_tasks: tuple[str, ...] = ()
    kind: LossKind = LossKind.CRASHED
    unconfirmed_tasks: tuple[str, ...] = ()

    @property
    def near_start_tasks(self) -> tuple[str, ...]:
        """Tasks whose start may have caused the loss."""
        return self.recent_tasks + self.unconfirmed_tasks

    @property
    def tasks(self) -> tuple[str, ...]:
        """All tasks that may have had runs at the executor."""
        return self.near_start_tasks + self.other_tasks


def is_recent_start(started_at: float, last_answer_at: float) -> bool:
    """Tell whether a run was started shortly before its executor crashed.

    Parameters
    ----------
    started_at : float
        When the executor confirmed the start, in seconds.
    last_answer_at : float
        When the executor answered the last time, on the same clock.

    Examples
    --------
    >>> is_recent_start(9.95, 10), is_recent_start(9.5, 10)
    (True, False)
    """
    return started_at >= last_answer_at - RECENT_START_S


@dataclass(slots=True)
class TaskLosses:
    """Losses of executors that had runs of one task.

    A crash near a start of another task is explained if that task has caused
    enough crashes to be given up.

    Parameters
    ----------
    recent : int
        Crashes shortly after a start of the task.
    other : int
        Other crashes.
    unconfirmed : int
        Crashes of executors that had not confirmed the start of the task.
    silent : int
        Executors that have fallen silent, and may have crashed.
    explained : int
        Crashes that another task explains. The others count only those that
        none explains.

    Examples
    --------
    >>> TaskLosses(recent=1, other=1).is_deadly
    False
    >>> TaskLosses(recent=2).is_deadly, TaskLosses(other=4).is_deadly
    (True, True)
    >>> TaskLosses(silent=4).is_deadly, TaskLosses(silent=4).is_paused
    (False, True)
    """

    recent: int = 0
    other: int = 0
    unconfirmed: int = 0
    silent: int = 0
    explained: int = 0

    @property
    def near_start(self) -> int:
        """Crashes for which a start of the task is a likely cause."""
        return self.recent + self.unconfirmed

    @property
    def crashes(self) -> int:
        """Crashes that no other task explains."""
        return self.near_start + self.other

    @property
    def is_deadly_at_start(self) -> bool:
        """Whether the starts of the task have caused enough crashes."""
        return (
            self.recent >= MAX_RECENT_CRASHES
            or self.near_start >= MAX_CRASHES_NEAR_START
        )

    @property
    def is_suspect(self) -> bool:
        """Whether the task is likely to be the cause of a crash."""
        return (
            self.near_start > 0
            or self.other > MAX_OTHER_CRASHES
            or self.is_paused
        )

    @property
    def is_deadly(self) -> bool:
        """Whether the task must not be started again."""
        certain = self.recent + self.other
        return (
            self.is_deadly_at_start
            or self.crashes >= MAX_CRASHES
            or (certain >= MIN_CERTAIN_CRASHES and self.is_paused)
        )

    @property
    def is_paused(self) -> bool:
        """Whether the task waits until it is known which executors crashed."""
        return self.crashes + self.silent >= MAX_LOSSES


class LossLedger:
    """The losses of executors that a process has learned of.

    Examples
    --------
    >>> ledger = LossLedger()
    >>> ledger.record(ExecutorLoss('i-1/1', ('5c0e.0.0.1',)), at=10)
    True
    >>> ledger.record(ExecutorLoss('i-1/1', ('5c0e.0.0.1',)), at=11)
    False
    >>> ledger.is_suspect('5c0e'), ledger.deadly_task('5c0e')
    (True, '')
    >>> ledger.record(ExecutorLoss('i-2/1', ('5c0e.0.0.1',)), at=12)
    True
    >>> ledger.deadly_task('5c0e')
    '5c0e.0.0.1'
    """

    def __init__(self) -> None:
        # Each loss with the time at which it occurred.
        self.losses: dict[str, tuple[ExecutorLoss, float]] = {}
        # Ids of the losses under each task, without those of executors that
        # have answered again.
        self.by_job: dict[str, dict[str, set[str]]] = {}
        # Tasks whose starts have caused enough crashes to explain them.
        self.causes: set[str] = set()

    def record(self, loss: ExecutorLoss, at: float) -> bool:
        """Store a loss; return whether the report tells something new.

        Parameters
        ----------
        loss : ExecutorLoss
            The loss. It replaces an earlier report that knew less.
        at : float
            When it occurred, in monotonic seconds.
        """
        known, _ = self.losses.get(loss.loss_id, (None, 0))
        if known is not None:
            if known.kind >= loss.kind:
                return False
            self._remove(loss.loss_id)
        self.losses[loss.loss_id] = (loss, at)
        if loss.kind is not LossKind.ANSWERED:
            self._add_to_index(loss)
            self._add_causes(loss)
        if len(self.losses) > MAX_REMEMBERED_LOSSES:
            self._remove(next(iter(self.losses)))
        return True

    def known(self, now: float) -> Iterator[tuple[ExecutorLoss, float]]:
        """Yield each loss and its age in seconds; forget those too old."""
        for loss, at in list(self.losses.values()):
            if now - at > RETENTION_S:
                self._remove(loss.loss_id)
            else:
                yield loss, now - at

    def is_suspect(self, job_id: str) -> bool:
        """Tell whether a task of a job is likely to have caused a crash."""
        return any(x.is_suspect for _, x in self._losses_of(job_id))

    def is_paused(self, job_id: str) -> bool:
        """Tell whether a task of a job is not to be started for now."""
        return any(x.is_paused for _, x in self._losses_of(job_id))

    def deadly_task(self, job_id: str) -> str:
        """Return a task of a job that must not be started again, if any."""
        return next(
            (
                task
                for task, losses in self._losses_of(job_id)
                if losses.is_deadly
            ),
            '',
        )

    def losses_of(self, task: str) -> TaskLosses:
        """Return the losses under a task."""
        loss_ids = self.by_job.get(job_of(task), {}).get(task, ())
        losses = (self.losses[loss_id][0] for loss_id in loss_ids)
        roles = Counter(
            'explained' if self._is_explained(loss, task) else _role(loss, task)
            for loss in losses
        )
        return TaskLosses(**roles)

    def _losses_of(self, job_id: str) -> Iterator[tuple[str, TaskLosses]]:
        for task in self.by_job.get(job_id, ()):
            yield task, self.losses_of(task)

    def _is_explained(self, loss: ExecutorLoss, task: str) -> bool:
        return (
            loss.kind is LossKind.CRASHED
            and task not in self.causes
            and not self.causes.isdisjoint(loss.near_start_tasks)
        )

    def _add_causes(self, loss: ExecutorLoss) -> None:
        # Tasks with the same crashes must not explain each other's.
        self.causes |= {
            task
            for task in loss.near_start_tasks
            if self.losses_of(task).is_deadly_at_start
        }

    def _add_to_index(self, loss: ExecutorLoss) -> None:
        for task in loss.tasks:
            tasks = self.by_job.setdefault(job_of(task), defaultdict(set))
            tasks[task].add(loss.loss_id)

    def _remove(self, loss_id: str) -> None:
        loss, _ = self.losses.pop(loss_id)
        for task in loss.tasks:
            tasks = self.by_job.get(job_of(task), {})
            loss_ids = tasks.get(task, set())
            loss_ids.discard(loss_id)
            if not loss_ids:
                tasks.pop(task, None)
                self.causes.discard(task)
            if not tasks:
                self.by_job.pop(job_of(task), None)


def job_of(task: str) -> str:
    """Return the id of the job of a task.

    Examples
    --------
    >>> job_of('5c0e7a21d94b36f8.0.1.17')
    '5c0e7a21d94b36f8'
    """
    return task.partition('.')[0]


def jobs_of(loss: ExecutorLoss) -> set[str]:
    """Return the ids of the jobs that had runs at a lost executor."""
    return set(map(job_of, loss.tasks))


def _role(loss: ExecutorLoss, task: str) -> str:
    """Return the field of `TaskLosses` that counts a loss under a task."""
    if loss.kind is LossKind.SILENT:
        return 'silent'
    if task in loss.recent_tasks:
        return 'recent'
    return 'other' if task in loss.other_tasks else 'unconfirmed'
