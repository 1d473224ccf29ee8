"""Faults that random seeds have found, played on purpose."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetlanding.soak.seeded_run import SeededRun

PAUSE_DURATION_S = 2.75
"""A front gives the runs of a silent worker to another one after 2.5 s."""

POLL_INTERVAL_S = 0.005
MAX_POLLS = 2000
"""A process starts in a second, later beside other load."""


async def pause_workers(run: 'SeededRun') -> None:
    """Suspend each worker for a little longer than it keeps its runs.

    A worker carried out an order from its receive buffer after its front had
    given the task to another one, so that two runs overlapped.
    """
    for name, process in run.system.processes.items():
        if process.role == 'worker':
            run.record_fault('pause', name)
            process.pause()
            await asyncio.sleep(PAUSE_DURATION_S)
            process.resume()
            await asyncio.sleep(1)


async def reload_at_start(run: 'SeededRun') -> None:
    """Send SIGHUP to each process as soon as it says that it has started.

    The signal ended a process that had not set its handler yet.
    """
    for name, process in run.system.processes.items():
        run.record_fault('reload', name)
        process.kill()
        await asyncio.sleep(0.2)
        for _ in range(MAX_POLLS):
            if process.is_ready():
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        process.signal(signal.SIGHUP)
        await asyncio.sleep(1)


REGRESSIONS: dict[str, Callable[['SeededRun'], Awaitable[None]]] = {
    'standstill': pause_workers,
    'early-reload': reload_at_start,
}
