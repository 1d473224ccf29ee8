"""HTTP service of an agent: announcements and the operator's routes."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from ipaddress import ip_address
from typing import Any

from aiohttp import web
from pydantic import BaseModel, Field, ValidationError

from limpetlanding.agent.endpoints import Announcement, Endpoints

MAX_ANNOUNCEMENT_BYTES = 64 * 1024


class AnnouncementBody(BaseModel):
    """Body of ``POST /v1/announce``."""

    endpoint_id: str = Field(min_length=1, max_length=128)
    incarnation: str = Field(min_length=1, max_length=64)
    address: str = Field(pattern=r'^https?://[^/\s]+$')
    kinds: list[str] = Field(max_length=256)
    slots: int = Field(ge=0, le=4096)
    connections: int = Field(ge=1, le=65_536)
    repeat_by_id: bool = False
    leaving: bool = False
    max_size: int | None = Field(default=None, ge=0)

    def announcement(self) -> Announcement:
        """Return the announcement for `Endpoints`."""
        fields = self.model_dump()
        fields['kinds'] = tuple(self.kinds)
        fields['max_size'] = self.max_size or 0
        return Announcement(**fields)


@dataclass(slots=True)
class ServiceHooks:
    """What the operator's routes need of the role.

    `missing` returns what keeps the agent from being ready, empty if
    nothing; `drain` starts the planned stop.
    """

    missing: Callable[[], str]
    status: Callable[[], dict[str, Any]]
    metrics: Callable[[], str]
    drain: Callable[[], None]


def service(endpoints: Endpoints, hooks: ServiceHooks) -> web.Application:
    """Return the HTTP application of an agent."""

    async def announce(request: web.Request) -> web.Response:
        try:
            body = AnnouncementBody.model_validate_json(await request.read())
        except ValidationError as error:
            problems = error.errors(include_url=False, include_context=False)
            return web.json_response(
                {
                    'title': 'invalid announcement',
                    'status': 400,
                    'detail': json.dumps(problems, default=repr),
                },
                status=400,
                content_type='application/problem+json',
            )
        lease_s = endpoints.announce(body.announcement())
        return web.json_response({'lease_ms': round(lease_s * 1000)})

    async def health(_: web.Request) -> web.Response:
        return web.Response(text='ok\n')

    async def ready(_: web.Request) -> web.Response:
        missing = hooks.missing()
        if missing:
            return web.Response(status=503, text=f'{missing}\n')
        return web.Response(text='ready\n')

    async def status(_: web.Request) -> web.Response:
        return web.json_response(hooks.status())

    async def metrics(_: web.Request) -> web.Response:
        return web.Response(
            text=hooks.metrics(), content_type='text/plain', charset='utf-8'
        )

    async def drain(request: web.Request) -> web.Response:
        # Announcements may come from other hosts; a stop may not.
        if not _is_local(request.remote):
            raise web.HTTPForbidden(text='only from the host itself')
        hooks.drain()
        return web.json_response({'state': 'draining'}, status=202)

    app = web.Application(client_max_size=MAX_ANNOUNCEMENT_BYTES)
    app.add_routes(
        [
            web.post('/v1/announce', announce),
            web.get('/healthz', health),
            web.get('/readyz', ready),
            web.get('/statusz', status),
            web.get('/metrics', metrics),
            web.post('/drain', drain),
        ]
    )
    return app


def _is_local(remote: str | None) -> bool:
    try:
        return ip_address(remote or '').is_loopback
    except ValueError:
        return False
