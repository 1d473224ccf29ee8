"""HTTP for the operator and the balancer: health, status and drain."""

from collections.abc import Callable
from ipaddress import ip_address
from typing import Any

import orjson
from aiohttp import web

from limpetlanding.lifecycle import ProcessState

Report = Callable[[], dict[str, Any]]


class Operations:
    """Handlers that every role serves beside its own API.

    Parameters
    ----------
    state : callable
        Returns the state of the process.
    missing : callable
        Returns what keeps the process from being ready, empty if nothing.
    status : callable
        Returns the status for ``/statusz``.
    metrics : callable
        Returns the text for ``/metrics``.
    drain : callable
        Starts the planned stop.
    """

    def __init__(
        self,
        state: Callable[[], ProcessState],
        missing: Callable[[], str],
        status: Report,
        metrics: Callable[[], str],
        drain: Callable[[], None],
    ) -> None:
        self.state = state
        self.missing = missing
        self.status = status
        self.metrics = metrics
        self.drain = drain

    def routes(self) -> list[web.RouteDef]:
        """Return the routes."""
        return [
            web.get('/healthz', self.get_health),
            web.get('/readyz', self.get_ready),
            web.get('/statusz', self.get_status),
            web.get('/metrics', self.get_metrics),
            web.post('/drain', self.post_drain),
        ]

    async def get_health(self, _request: web.Request) -> web.Response:
        """Tell that the event loop runs."""
        return web.Response(text='ok\n')

    async def get_ready(self, _request: web.Request) -> web.Response:
        """Tell whether the process takes new work."""
        state = self.state()
        missing = self.missing()
        if state == ProcessState.READY and not missing:
            return web.Response(text='ready\n')
        return web.Response(status=503, text=f'{state}: {missing}\n')

    async def get_status(self, _request: web.Request) -> web.Response:
        """Return the status as JSON."""
        return web.Response(
            body=orjson.dumps(self.status()), content_type='application/json'
        )

    async def get_metrics(self, _request: web.Request) -> web.Response:
        """Return the metrics."""
        return web.Response(
            text=self.metrics(), content_type='text/plain', charset='utf-8'
        )

    async def post_drain(self, request: web.Request) -> web.Response:
        """Start the planned stop, as SIGTERM does.

        Callers reach the same port through the balancer, so only requests
        from the host itself are accepted.
        """
        if not _is_local(request.remote):
            raise web.HTTPForbidden(text='only from the host itself')
        self.drain()
        return web.json_response({'state': self.state()}, status=202)


def _is_local(remote: str | None) -> bool:
    try:
        return ip_address(remote or '').is_loopback
    except ValueError:
        return False
