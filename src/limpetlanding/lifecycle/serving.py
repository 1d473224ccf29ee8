"""HTTP applications that a process serves for a while."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import web

BACKLOG = 1024
"""New connections that may wait to be accepted. After a loss of all machines
their clients connect again at once."""


@asynccontextmanager
async def run_http_server(
    app: web.Application, address: str, shutdown_s: float
) -> AsyncIterator[None]:
    """Serve an application at ``host:port`` within the block.

    Parameters
    ----------
    app : aiohttp.web.Application
        The application; handlers end when their client is gone.
    address : str
        Where to listen.
    shutdown_s : float
        How long requests in progress may take at the end of the block.

    Raises
    ------
    OSError
        If the address cannot be used.
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
        runner.server, host, int(port), backlog=BACKLOG
    )
    try:
        yield
    finally:
        server.close()
        await runner.cleanup()
