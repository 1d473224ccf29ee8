"""HTTP server of a process."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import web

MAX_ACCEPT_BACKLOG = 1024
"""Connections that may wait to be accepted. After a failure of all machines
their clients reconnect at the same time."""


@asynccontextmanager
async def run_http_server(
    app: web.Application, address: str, shutdown_s: float
) -> AsyncIterator[None]:
    """Serve an application over HTTP while the block runs.

    Parameters
    ----------
    app : aiohttp.web.Application
        The application. A handler is cancelled when its client disconnects.
    address : str
        ``host:port`` to listen on.
    shutdown_s : float
        How many seconds requests in progress may take to end after the block.

    Raises
    ------
    OSError
        If the server cannot listen on the address.
    """
    host, _, port = address.rpartition(':')
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=shutdown_s,
    )
    await runner.setup()
    server = await asyncio.get_running_loop().create_server(
        runner.server, host, int(port), backlog=MAX_ACCEPT_BACKLOG
    )
    try:
        yield
    finally:
        server.close()
        await runner.cleanup()
