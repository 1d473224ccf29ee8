"""Loading of the modules of a process."""

import gc
import signal
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def loading_modules() -> Iterator[None]:
    """Prepare the process for the block in which it imports its modules.

    SIGHUP, which reports changed settings, would end the process during that
    time and is ignored from then on. Garbage is not collected in the block, as
    modules are kept; searching their objects would lengthen the start.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.enable()
