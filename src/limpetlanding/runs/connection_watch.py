"""Notices at once that an idle executor has ended.

An executor may restart under the id that it had, with other labels, and would
carry out a start that was meant for its earlier life. No call can name the life
that it is meant for. But the connections of a process break as it ends, so that
an open call at the executor shows it. While there are runs, the inventories are
such calls; while there are none, this module keeps one open.
"""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from math import inf

from limpetlanding.runs.background import BackgroundTasks
from limpetlanding.runs.ports import (
    CallTarget,
    ExecutorPort,
    ExecutorReplaced,
    ExecutorUnavailable,
    FenceRejected,
)

WATCH_MS = 2000
"""Longest wait that the platform grants to a call."""

WATCH_TIMEOUT_S = 0.2
"""Time for the answer in addition to the wait that the call requests."""

MIN_INTERVAL_S = 0.03
"""Shortest time between two calls. An executor that does not wait would be
called without a pause."""


class ConnectionWatch:
    """Keeps a call at an executor open.

    Parameters
    ----------
    port : ExecutorPort
        Calls to the executor.
    on_break : callable
        Called when the call has failed, as its connection is broken.
    on_end : callable
        Called when the call has ended in any other way.

    Attributes
    ----------
    is_open : bool
        Whether a call is open.
    """

    def __init__(
        self,
        port: ExecutorPort,
        on_break: Callable[[], None],
        on_end: Callable[[], None],
    ) -> None:
        self.port = port
        self.on_break = on_break
        self.on_end = on_end
        self.is_open = False
        self.loop = asyncio.get_running_loop()
        self.opened_at = -inf
        self.background = BackgroundTasks()

    async def open(self, to: CallTarget, acknowledged: int) -> None:
        """Send a call that stays open; return once it is being sent.

        Parameters
        ----------
        to : CallTarget
            Executor that is watched.
        acknowledged : int
            Position of the last end that was received from it.
        """
        self.is_open = True
        self.opened_at = self.loop.time()
        self.background.spawn(self._call(to, acknowledged))
        await asyncio.sleep(0)

    async def wait(self, wake: asyncio.Event) -> None:
        """Wait for an event, or until another call may be due.

        Parameters
        ----------
        wake : asyncio.Event
            Event that is waited for; it is cleared first.
        """
        now = self.loop.time()
        until = self.opened_at + MIN_INTERVAL_S
        if self.is_open:
            # Its answer may be late.
            until = now + WATCH_MS / 1000
        elif now >= until:
            return
        wake.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout_at(until):
                await wake.wait()

    async def close(self) -> None:
        """End the call."""
        await self.background.cancel()

    async def _call(self, to: CallTarget, acknowledged: int) -> None:
        is_broken = False
        try:
            with suppress(FenceRejected, TimeoutError):
                async with asyncio.timeout(WATCH_MS / 1000 + WATCH_TIMEOUT_S):
                    await self.port.inventory(to, acknowledged, None, WATCH_MS)
        except (ExecutorUnavailable, ExecutorReplaced):
            is_broken = True
        finally:
            self.is_open = False
        (self.on_break if is_broken else self.on_end)()
