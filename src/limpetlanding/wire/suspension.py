"""Detection of suspensions of this process."""

import asyncio
from collections.abc import Callable
from math import isinf


class SuspensionMonitor:
    """Counts the times that this process was suspended for too long.

    All links of a node share a monitor, so that a link that is rarely used
    needs no frequent timer of its own.

    Parameters
    ----------
    clock : callable
        Returns seconds of a clock that runs on while the machine is suspended.
    limit_s : float
        Shortest suspension that counts; infinite if none does.
    interval_s : float
        Interval at which `watch` reads the clock; well below `limit_s`.

    Examples
    --------
    >>> times = iter([0, 0.1, 3.2, 3.3])
    >>> monitor = SuspensionMonitor(lambda: next(times), 1, 0.15)
    >>> [monitor.check() for _ in range(3)]
    [0, 1, 1]
    """

    def __init__(
        self, clock: Callable[[], float], limit_s: float, interval_s: float
    ) -> None:
        self.clock = clock
        self.limit_s = limit_s
        self.interval_s = interval_s
        self.count = 0
        self.last_suspension_s: float = 0
        self.last_running_at = clock()

    def check(self) -> int:
        """Record that the process runs now; return the number so far."""
        elapsed_s = self.clock() - self.last_running_at
        self.last_running_at += elapsed_s
        if elapsed_s > self.limit_s:
            self.count += 1
            self.last_suspension_s = elapsed_s
        return self.count

    async def watch(self) -> None:
        """Call `check` regularly until cancelled."""
        if isinf(self.limit_s):
            return
        while True:
            self.check()
            await asyncio.sleep(self.interval_s)
