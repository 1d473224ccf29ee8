"""Signal handlers of a process."""

import asyncio
import signal
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@contextmanager
def stop_on_signals(stop: Callable[[], None]) -> Iterator[None]:
    """Call `stop` on SIGTERM and SIGINT while the block runs."""
    with ExitStack() as stack:
        for number in STOP_SIGNALS:
            stack.enter_context(on_signal(number, stop))
        yield


@contextmanager
def on_signal(number: int, handler: Callable[[], None]) -> Iterator[None]:
    """Call `handler` in the event loop on a signal while the block runs."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(number, handler)
    try:
        yield
    finally:
        loop.remove_signal_handler(number)
