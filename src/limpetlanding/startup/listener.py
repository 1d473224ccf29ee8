"""HTTP listener of a process."""

import asyncio
from dataclasses import dataclass

from aiohttp import web

from limpetlanding.settings import HttpAddress
from limpetlanding.startup.tls import http_tls


@dataclass(frozen=True, slots=True)
class HttpListener:
    """A running HTTP listener.

    Parameters
    ----------
    server : asyncio.Server
        The listening sockets.
    port : int
        Port in use, also if the settings have port 0.
    """

    server: asyncio.Server
    port: int


async def listen_http(
    runner: web.AppRunner, address: HttpAddress
) -> HttpListener:
    """Set up the runner and listen, with TLS if the address has TLS files.

    Raises
    ------
    OSError
        If the address or a TLS file cannot be used.
    """
    # Loaded first, so that an unusable file is reported before the runner is
    # set up.
    tls = {} if address.tls is None else {'ssl': http_tls(address.tls)}
    await runner.setup()
    server = await asyncio.get_running_loop().create_server(
        runner.server, address.host, address.port, **tls
    )
    port = address.port or server.sockets[0].getsockname()[1]
    return HttpListener(server, port)
