"""HTTP interface that the executor on the same machine calls."""

from aiohttp import web
from loguru import logger

from limpetlanding.platform.decode import Malformed, decode_executor
from limpetlanding.runs.worker import UnknownPool, Worker

MAX_ANNOUNCEMENT_BYTES = 4 * 1024 * 1024 + 1
"""Announcements may have 4 MiB; aiohttp refuses those that reach the limit."""


def control_app(worker: Worker) -> web.Application:
    """Return the application that receives the executor's announcements."""

    async def announce(request: web.Request) -> web.Response:
        executor_id = request.match_info['id']
        body = await request.read()
        try:
            worker.handle_announcement(decode_executor(executor_id, body))
        except (Malformed, UnknownPool) as error:
            logger.bind(step='announce', peer=executor_id).info(
                'announcement ignored: {}', error.detail
            )
            return web.Response(status=400, text=error.detail)
        return web.json_response({})

    async def leave(request: web.Request) -> web.Response:
        worker.handle_departure(request.match_info['id'])
        return web.json_response({})

    app = web.Application(client_max_size=MAX_ANNOUNCEMENT_BYTES)
    app.router.add_put('/api/instances/{id}', announce)
    app.router.add_delete('/api/instances/{id}', leave)
    return app
