"""Load reports to all entries, within a limit on control traffic."""

import asyncio
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from limpetlanding.wire.codec import FrameKind, encode_frame
from limpetlanding.wire.job_messages import LoadReport

# Part of the 7 KB/s for all control traffic of a node; heartbeats and the
# exchange of configuration digests use the rest.
BUDGET_BYTES_PER_S = 6000
REFRESH_INTERVAL_S = 1.0


@dataclass(slots=True)
class LoadReporter:
    """Sends `LoadReport` when the load has changed.

    The first change after a pause is sent at once. If the load changes
    continuously, the interval grows with the size of the report and the number
    of entries, so that the traffic stays within the budget. Without a change,
    a report is sent once a second, because a notification is lost if its link
    fails.

    Parameters
    ----------
    report : callable
        Returns the current load.
    entries : callable
        Returns the channels of the connected entries.
    min_interval_s : float
        Minimum interval between two reports, in seconds.
    """

    report: Callable[[], LoadReport]
    entries: Callable[[], Iterable[Any]]
    min_interval_s: float = 0.02
    budget_bytes_per_s: float = BUDGET_BYTES_PER_S
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def mark_changed(self) -> None:
        """Record that the load has changed."""
        self.changed.set()

    def send(self) -> float:
        """Send a report; return the minimum time to the next, in seconds."""
        self.changed.clear()
        report = self.report()
        sent_bytes = 0
        size = len(encode_frame(FrameKind.NOTIFY, 0, report))
        for channel in self.entries():
            channel.notify(report)
            sent_bytes += size
        return max(self.min_interval_s, sent_bytes / self.budget_bytes_per_s)

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            await asyncio.sleep(self.send())
            with suppress(TimeoutError):
                async with asyncio.timeout(REFRESH_INTERVAL_S):
                    await self.changed.wait()
