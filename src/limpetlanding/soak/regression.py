"""Fault sequences of failures that random seeds have found."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetlanding.soak.seeded_run import SeededRun

PAUSE_DURATION_S = 2.75
"""A front moves the runs of a worker that does not answer after 2.5 s."""

POLL_INTERVAL_S = 0.005
MAX_POLLS = 2000
"""Allows 10 s for a start, which takes 1 s on an idle machine."""


async def pause_workers(run: 'SeededRun') -> None:
    """Suspend each worker for longer than its front waits for it.

    Guards against overlapping runs: a resumed worker executed an order from
    its receive buffer after its front had given the task to another worker.
    """
    for name, process in run.system.processes.items():
        if process.role == 'worker':
            run.record_fault('pause', name)
            process.pause()
            await asyncio.sleep(PAUSE_DURATION_S)
            process.resume()
            await asyncio.sleep(1)


async def reload_at_start(run: 'SeededRun') -> None:
    """Send SIGHUP to each process as soon as it logs that it has started.

    Guards against a process that has not installed its handler yet, which the
    signal ended.
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
