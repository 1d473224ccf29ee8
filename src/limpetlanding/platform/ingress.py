"""HTTP interface of a front for clients and the load balancer."""

import re

import orjson
from aiohttp import web
from loguru import logger

from limpetlanding.lifecycle.connections import connection_check
from limpetlanding.platform.decode import (
    MAX_NUMBER,
    Malformed,
    Unsupported,
    decode_job,
)
from limpetlanding.runs.cancellation import CancellationUnconfirmed
from limpetlanding.runs.dispatcher import JobAbandoned, JobNotStarted
from limpetlanding.runs.front import Front
from limpetlanding.runs.model import Queue

DEFAULT_WAIT_S = 30
"""Time limit for submissions without ``X-Deadline-Ms``."""

ANSWER_MARGIN_S = 0.02
"""Time reserved for the answer to reach a client before its deadline."""

RETRY_AFTER_S = 1

_DEADLINE_HEADER = 'X-Deadline-Ms'
_JOB_ID = re.compile('[0-9a-f]{16}')


def client_app(front: Front) -> web.Application:
    """Return the application that serves clients."""

    async def serve(request: web.Request) -> web.Response:
        response = await _serve(front, request)
        if front.stopping:
            response.force_close()
        return response

    app = web.Application(client_max_size=16 * 1024 * 1024)
    app.router.add_route('*', '/{path:.*}', serve)
    return app


def readiness_app(front: Front) -> web.Application:
    """Return the application that answers readiness checks."""

    async def ready(_request: web.Request) -> web.Response:
        missing = front.not_ready_reason()
        return web.Response(status=503 if missing else 200, text=missing)

    app = web.Application()
    app.router.add_get('/api/ready', ready)
    return app


async def _serve(front: Front, request: web.Request) -> web.Response:
    if not front.catalogs.version:
        return _service_unavailable('no configuration yet')
    host = request.host.partition(':')[0].lower()
    queue = front.catalogs.find(host, request.path)
    if queue is None:
        return _json_response(404, error='no such queue')
    job_id = request.path.removeprefix(queue.prefix)
    if not job_id and request.method == 'GET':
        return _json_response(
            200, waiting=front.dispatcher.waiting_count(queue)
        )
    if not _JOB_ID.fullmatch(job_id):
        return _json_response(404, error='no such path')
    if request.method == 'POST':
        return await _submit(front, queue, job_id, request)
    if request.method == 'DELETE':
        return await _cancel(front, job_id)
    return _state(front, job_id)


async def _cancel(front: Front, job_id: str) -> web.Response:
    try:
        is_here = await front.cancel(job_id)
    except CancellationUnconfirmed as error:
        return _service_unavailable(f'not confirmed by {error.detail}')
    if is_here:
        return _json_response(200)
    return _json_response(410, error='no such job')


def _state(front: Front, job_id: str) -> web.Response:
    active = front.dispatcher.jobs.get(job_id)
    if active is None:
        return _json_response(410, error='no such job')
    state = 'running' if active.has_run else 'queued'
    return _json_response(200, state=state)


async def _submit(
    front: Front, queue: Queue, job_id: str, request: web.Request
) -> web.Response:
    catalog = front.catalogs.catalog
    body = await request.read()
    if len(body) > catalog.max_body_bytes:
        return _json_response(413, error='body too large')
    try:
        job = decode_job(job_id, body)
        wait_s = _client_wait_s(request)
    except Malformed as error:
        return _json_response(400, error=error.detail)
    except Unsupported as error:
        logger.bind(request_id=job_id, step='submit').info(
            'refused: {}', error.detail
        )
        return _service_unavailable(error.detail)
    is_active = job_id in front.dispatcher.jobs
    if not is_active and not front.can_finish(job, queue, wait_s):
        return _refused_by_stop(front, job_id)
    try:
        state = await front.dispatcher.submit(
            job,
            queue,
            wait_s,
            catalog.version,
            connection_check(request),
        )
    except JobNotStarted as error:
        return _service_unavailable(error.detail, error.retry_after_s)
    except JobAbandoned as error:
        return _json_response(504, error=error.detail)
    return _json_response(200, state=state.value)


def _refused_by_stop(front: Front, job_id: str) -> web.Response:
    logger.bind(request_id=job_id, step='submit').info(
        'refused: the front stops'
    )
    dispatcher = front.dispatcher
    if dispatcher.registry.may_have_run(job_id, dispatcher.now()):
        return _json_response(504, error='the front stops')
    return _service_unavailable('the front stops')


def _client_wait_s(request: web.Request) -> float:
    value = request.headers.get(_DEADLINE_HEADER)
    if value is None:
        return DEFAULT_WAIT_S
    try:
        wait_ms = int(value)
        if wait_ms > MAX_NUMBER:
            raise ValueError('too large')
        return max(wait_ms / 1000 - ANSWER_MARGIN_S, 0)
    except ValueError as error:
        raise Malformed(
            f'{_DEADLINE_HEADER}: {value[:20]!r}', step='submit'
        ) from error


def _service_unavailable(
    detail: str, retry_after_s: int = RETRY_AFTER_S
) -> web.Response:
    response = _json_response(503, error=detail)
    response.headers['Retry-After'] = str(retry_after_s)
    return response


def _json_response(status: int, **fields: object) -> web.Response:
    return web.Response(
        status=status,
        body=orjson.dumps(fields),
        content_type='application/json',
    )
