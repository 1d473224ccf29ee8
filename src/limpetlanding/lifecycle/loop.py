"""Event loop of long-running processes."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import uvloop


def run_process(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a role to its end on the event loop of uvloop.

    It is asyncio with another loop, which spends less processor time on each
    frame and HTTP request; the commands that operators type do without it.

    See Also
    --------
    asyncio.Runner : What it uses.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main)
