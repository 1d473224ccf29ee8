"""Event loop of long-running processes."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import uvloop


def run_process(main: Coroutine[Any, Any, Any]) -> Any:
    """Run the main coroutine of a process on a uvloop event loop.

    uvloop spends less processor time on each frame and HTTP request than the
    default loop of asyncio. Short commands of operators do not use it.

    Parameters
    ----------
    main : coroutine
        It runs until it ends.

    Returns
    -------
    object
        The result of `main`.

    See Also
    --------
    asyncio.Runner : Runs the coroutine.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main)
