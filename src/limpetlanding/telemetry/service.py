"""HTTP routes of every role for operators and the load balancer."""

from collections.abc import Callable, Mapping
from ipaddress import ip_address
from typing import Any

import orjson
from aiohttp import web

from limpetlanding.telemetry.metrics import Metrics


def add_service_routes(
    app: web.Application,
    missing: Callable[[], str],
    status: Callable[[], Mapping[str, Any]],
    drain: Callable[[], None],
    metrics: Metrics,
) -> None:
    """Add the routes to the application of a role.

    - ``GET /healthz`` answers 200 while the process runs.
    - ``GET /readyz`` answers 200 if the process accepts new work, and
      otherwise 503 with the reason.
    - ``GET /metrics`` returns the metrics and ``GET /statusz`` the status.
    - ``POST /drain`` starts the planned stop and answers 202. It is accepted
      only from the host itself, because callers reach the same port through
      the load balancer.

    Parameters
    ----------
    app : aiohttp.web.Application
        Application of the role.
    missing : callable
        Returns the reason why the process does not accept new work; empty if
        it accepts work.
    status : callable
        Returns what ``limpetlanding status`` shows; the values must be
        serializable as JSON.
    drain : callable
        Starts the planned stop and returns at once; repeated calls must have
        no further effect.
    metrics : Metrics
        Metrics of the process.
    """

    async def get_health(_request: web.Request) -> web.Response:
        return web.Response(text='ok\n')

    async def get_ready(_request: web.Request) -> web.Response:
        reason = missing()
        if reason:
            return web.Response(status=503, text=f'{reason}\n')
        return web.Response(text='ready\n')

    async def get_metrics(request: web.Request) -> web.Response:
        rendered = metrics.render(request.headers.getall('Accept', []))
        headers = {'Content-Type': rendered.content_type}
        return web.Response(body=rendered.content, headers=headers)

    async def get_status(_request: web.Request) -> web.Response:
        return web.json_response(body=orjson.dumps(dict(status())))

    async def post_drain(request: web.Request) -> web.Response:
        if not _is_loopback(request.remote):
            raise web.HTTPForbidden(text='accepted only from the host itself')
        drain()
        return web.json_response({'state': 'draining'}, status=202)

    app.add_routes(
        [
            web.get('/healthz', get_health),
            web.get('/readyz', get_ready),
            web.get('/metrics', get_metrics),
            web.get('/statusz', get_status),
            web.post('/drain', post_drain),
        ]
    )


def _is_loopback(remote: str | None) -> bool:
    try:
        return ip_address(remote or '').is_loopback
    except ValueError:
        return False
