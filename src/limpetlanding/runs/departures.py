"""Decides whether the executor that says that it leaves has ended its runs.

The message names no incarnation, so that it may come late from an earlier one
of the same id. A run must not be started elsewhere while it may be active.
"""

from dataclasses import replace

from limpetlanding.runs.ports import Executor
from limpetlanding.runs.worker import Worker


def handle_departure(worker: Worker, executor_id: str) -> None:
    """Process the message of an executor that it leaves.

    An executor with runs is taken as draining until inventories show that they
    have ended. If it announces itself again meanwhile, it stays in service.

    Parameters
    ----------
    worker : Worker
        Worker of the executor.
    executor_id : str
        Id of the executor that leaves.
    """
    supervisor = worker.supervisor
    known = supervisor.executor
    if known is None or known.executor_id != executor_id:
        return
    if not supervisor.runs:
        worker.handle_departure(executor_id)
        return
    leaving = replace(known, draining=True, sequence=known.sequence + 1)
    supervisor.handle_announcement(leaving)
    worker.background.spawn(_end_after_runs(worker, leaving))


async def _end_after_runs(worker: Worker, leaving: Executor) -> None:
    await worker.supervisor.no_runs_left.wait()
    if worker.supervisor.executor == leaving:
        worker.handle_departure(leaving.executor_id)
