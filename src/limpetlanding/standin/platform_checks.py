"""Checks of the scheduling guarantees on runs of stand-in executors."""

from collections import Counter
from collections.abc import Iterable
from itertools import combinations

from limpetlanding.standin.platform_bodies import MAX_ATTEMPTS
from limpetlanding.standin.platform_executor import (
    STALLED_WORK_S,
    StandinExecutor,
    StandinRun,
)

CAPACITY_LAG_S = 4.5
"""Time after which a capacity that has shrunk counts on the platform."""

MIN_CRASHES = 2
"""Crashes under a task after which the platform allows its job to be failed."""

MAX_DEADLY_STARTS = 5
"""Starts of a task that crashes its executors: three, and two after the third
crash."""


def deadly_starts(history: Iterable[StandinRun]) -> list[str]:
    """Return the tasks that crashed executors and were started too often."""
    started = Counter(run.task for run in history)
    crashed = {run.task for run in history if run.is_deadly}
    return sorted(x for x in crashed if started[x] > MAX_DEADLY_STARTS)


def failed_without_cause(
    failed: set[str], history: Iterable[StandinRun]
) -> list[str]:
    """Return the jobs that were answered as failed, but have no such task.

    A task may be given up if two executors have crashed under it, or if as many
    of its runs failed or made no progress as the queue allows.

    Parameters
    ----------
    failed : set of str
        Ids of the jobs that were answered as failed.
    history : iterable of StandinRun
        Runs of all executors.
    """
    crashes = Counter(run.task for run in history if run.how == 'crashed')
    failures = Counter(
        run.task
        for run in history
        if run.how == 'failed' or run.work_s == STALLED_WORK_S
    )
    causes = {task for task in crashes if crashes[task] >= MIN_CRASHES}
    causes |= {task for task in failures if failures[task] >= MAX_ATTEMPTS}
    return sorted(failed - {task.partition('.')[0] for task in causes})


def overlapping_runs(
    history: Iterable[StandinRun],
) -> list[tuple[StandinRun, StandinRun]]:
    """Return pairs of runs of one task that ran at the same time."""
    by_task: dict[str, list[StandinRun]] = {}
    for run in history:
        by_task.setdefault(run.task, []).append(run)
    return [
        pair
        for runs in by_task.values()
        for pair in combinations(sorted(runs, key=lambda x: x.started), 2)
        if pair[0].ended is None or pair[1].started < pair[0].ended
    ]


def starts_beyond_capacity(
    executor: StandinExecutor, cpu_per_run: int
) -> list[StandinRun]:
    """Return the runs whose start brought an executor beyond its capacity.

    Parameters
    ----------
    executor : StandinExecutor
        Executor whose history is read.
    cpu_per_run : int
        CPU that each run occupies, in thousandths of a core.
    """
    beyond = []
    for run in executor.history:
        running = sum(
            other.started <= run.started
            and (other.ended is None or other.ended > run.started)
            for other in executor.history
        )
        if running * cpu_per_run > _capacity_at(executor, run.started):
            beyond.append(run)
    return beyond


def _capacity_at(executor: StandinExecutor, at: float) -> int:
    """Return the highest capacity that may be assumed at a time.

    A capacity that has shrunk counts after `CAPACITY_LAG_S`, one that has grown
    at once.
    """
    capacity = executor.cpu
    for changed_at, before in reversed(executor.capacity_changes):
        if at < changed_at:
            capacity = before
        elif at < changed_at + CAPACITY_LAG_S:
            capacity = max(capacity, before)
    return capacity


def peak_cpu(executor: StandinExecutor, cpu_per_run: int) -> int:
    """Return the highest CPU use at any time, in thousandths of a core.

    Parameters
    ----------
    executor : StandinExecutor
        Executor whose history is read.
    cpu_per_run : int
        CPU that each run occupies, in thousandths of a core.
    """
    changes = [(run.started, 1) for run in executor.history]
    changes += [
        (run.ended, -1) for run in executor.history if run.ended is not None
    ]
    running = 0
    most = 0
    # Ends (-1) sort before starts (1) of the same time.
    for _, change in sorted(changes):
        running += change
        most = max(most, running)
    return most * cpu_per_run
