"""HTTP listener of a process."""

import asyncio
from dataclasses import dataclass

from aiohttp import web

from limpetlanding.settings import HttpAddress
from limpetlanding.startup.tls import http_tls


@dataclass(frozen=True, slots=True)
class HttpListener:
    """A listener that serves.

    Parameters
    ----------
    server : asyncio.Server
        The listening sockets.
    port : int
        Port, also where the settings leave the choice to the system.
    """

    server: asyncio.Server
    port: int


async def listen_http(
    runner: web.AppRunner, address: HttpAddress
) -> HttpListener:
    """Set up the runner and listen, with TLS if the settings name it.

    Raises
    ------
    OSError
        If the address or a file of the TLS settings cannot be used.
    """
    # Files that cannot be used are reported before anything is set up.
    tls = {} if address.tls is None else {'ssl': http_tls(address.tls)}
    await runner.setup()
    server = await asyncio.get_running_loop().create_server(
        runner.server, address.host, address.port, **tls
    )
    port = address.port or server.sockets[0].getsockname()[1]
    return HttpListener(server, port)
