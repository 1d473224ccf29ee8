"""HTTP service where endpoints announce themselves to an agent."""

import json

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
        """Return the body as an `Announcement`."""
        fields = self.model_dump()
        fields['kinds'] = tuple(self.kinds)
        fields['max_size'] = self.max_size or 0
        return Announcement(**fields)


def announcement_app(endpoints: Endpoints) -> web.Application:
    """Return the HTTP application that accepts announcements."""

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

    app = web.Application(client_max_size=MAX_ANNOUNCEMENT_BYTES)
    app.add_routes([web.post('/v1/announce', announce)])
    return app
