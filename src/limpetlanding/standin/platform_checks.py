"""Checks of the scheduling guarantees on runs of stand-in executors."""

from collections.abc import Iterable
from itertools import combinations

from limpetlanding.standin.platform_executor import (
    StandinExecutor,
    StandinRun,
)


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
