"""Losses of workers, whose executors may have crashed with them.

A task that takes a whole host away is only seen by the fronts: the worker that
would report the crash is lost, too. Whether the executor has crashed shows when
a worker of the same name reports again.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, replace
from random import Random

from limpetlanding.runs.losses import ExecutorLoss, LossKind

MAX_OPEN_LOSSES = 1000


@dataclass(frozen=True, slots=True)
class WorkerState:
    """What a front knows of a worker when it reports, or is lost.

    Parameters
    ----------
    name : str
        Node name of the worker.
    incarnation : str
        Incarnation of its process.
    executor : str
        Incarnation of its executor; empty without an executor.
    accepting : bool
        Whether it accepts runs.
    """

    name: str
    incarnation: str
    executor: str
    accepting: bool


@dataclass(frozen=True, slots=True)
class OpenLoss:
    """Loss of a worker that has not reported again.

    Parameters
    ----------
    loss : ExecutorLoss
        The loss as it was reported.
    worker : WorkerState
        The worker at the time of the loss.
    """

    loss: ExecutorLoss
    worker: WorkerState


class WorkerLosses:
    """The workers that one front has lost with runs.

    Parameters
    ----------
    rng : random.Random
        Source of the names of the losses.
    """

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.open: dict[str, list[OpenLoss]] = defaultdict(list)

    def record(self, worker: WorkerState, tasks: Iterable[str]) -> ExecutorLoss:
        """Record the loss of a worker with an executor.

        Parameters
        ----------
        worker : WorkerState
            The worker, by its latest report.
        tasks : iterable of str
            Tasks of this front that had runs there.

        Returns
        -------
        ExecutorLoss
            The loss of the executor, which may only be silent.
        """
        loss = ExecutorLoss(
            f'{worker.executor}/{self.rng.getrandbits(64):016x}',
            other_tasks=tuple(sorted(tasks)),
            kind=LossKind.SILENT,
        )
        if len(self.open) >= MAX_OPEN_LOSSES:
            self.open.pop(next(iter(self.open)))
        self.open[worker.name].append(OpenLoss(loss, worker))
        return loss

    def resolve(self, worker: WorkerState) -> list[ExecutorLoss]:
        """Return what a report of a worker shows of its open losses."""
        held_losses = self.open.get(worker.name, [])
        kinds = [_kind(held.worker, worker) for held in held_losses]
        if LossKind.SILENT in kinds:
            return []
        self.open.pop(worker.name, None)
        return [
            replace(held.loss, kind=kind)
            for held, kind in zip(held_losses, kinds, strict=True)
        ]


def _kind(before: WorkerState, after: WorkerState) -> LossKind:
    if after.incarnation == before.incarnation:
        # The process has lived on, and reports crashes itself.
        return LossKind.ANSWERED
    if after.executor and after.executor != before.executor:
        return LossKind.CRASHED
    # A worker that has just started may name the executor of its record, which
    # it has not reached; it accepts no runs until then.
    return LossKind.ANSWERED if after.accepting else LossKind.SILENT
