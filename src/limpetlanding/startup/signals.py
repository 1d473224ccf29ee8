"""Signals that ask a process for a planned stop."""

import asyncio
import signal
from collections.abc import Callable, Iterator
from contextlib import contextmanager

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@contextmanager
def stop_on_signals(stop: Callable[[], None]) -> Iterator[None]:
    """Call `stop` on SIGTERM and SIGINT within the block."""
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stop)
    try:
        yield
    finally:
        for number in STOP_SIGNALS:
            loop.remove_signal_handler(number)
