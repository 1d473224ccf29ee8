"""HTTP server of an entry, with a graceful stop."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

from limpetlanding.settings import HttpAddress
from limpetlanding.startup import listen_http

KEEPALIVE_S = 75
STOP_NOTICE_S = 2
"""Time between the end of readiness and the closing of the listener, so that
the load balancer's health checks see the change. New requests are still
served in this time."""


class HttpServer:
    """HTTP listener that answers the requests in flight before it stops.

    Parameters
    ----------
    app : aiohttp.web.Application
        The application.
    stop_grace_s : float
        Longest wait for requests in flight at the stop, in seconds.
    """

    def __init__(self, app: web.Application, stop_grace_s: float) -> None:
        self.app = app
        self.stopping = False
        self.in_flight = 0
        self.idle = asyncio.Event()
        self.idle.set()
        self.stop_grace_s = stop_grace_s
        self.server: asyncio.Server | None = None
        # The outermost middleware also sees error responses.
        app.middlewares.insert(0, self._count_in_flight)
        self.runner = web.AppRunner(
            app,
            handle_signals=False,
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
            shutdown_timeout=stop_grace_s,
        )

    async def start(self, address: HttpAddress) -> int:
        """Start to listen and return the port.

        Raises
        ------
        OSError
            If the address or a file of its TLS settings cannot be used.
        """
        listener = await listen_http(self.runner, address)
        self.server = listener.server
        return listener.port

    async def stop(self, notice_s: float = STOP_NOTICE_S) -> bool:
        """Stop and tell whether every request in flight was answered.

        Responses sent after this call close their connection, so that
        callers move to other entries before the listener closes. `notice_s`
        is the time in seconds before the listener closes.
        """
        self.stopping = True
        await asyncio.sleep(notice_s)
        if self.server is not None:
            self.server.close()
        answered = True
        try:
            async with asyncio.timeout(self.stop_grace_s):
                await self.idle.wait()
        except TimeoutError:
            answered = False
        await self.runner.cleanup()
        return answered

    @web.middleware
    async def _count_in_flight(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        self.in_flight += 1
        self.idle.clear()
        try:
            response = await handler(request)
        finally:
            self.in_flight -= 1
            if not self.in_flight:
                self.idle.set()
        if self.stopping:
            response.force_close()
        return response
