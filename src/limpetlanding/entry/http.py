"""HTTP API for callers."""

import asyncio
import math
import re
import secrets
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Protocol

import orjson
from aiohttp import web
from loguru import logger

from limpetlanding.entry.api import (
    MAX_BODY_BYTES,
    MAX_WAIT_MS,
    FieldError,
    FieldProblem,
    IdsAnswer,
    IdsBody,
    MalformedRequest,
    Problem,
    Submission,
    parse_body,
    parse_submission,
)
from limpetlanding.entry.auth import Contract, Contracts, authenticate
from limpetlanding.jobs import InvalidJobId, Outcome, Reason, parse_job_id
from limpetlanding.telemetry.traces import span
from limpetlanding.wire.job_messages import JobAnswer

BODY_TIMEOUT_S = 10
"""A body of 1 MiB arrives in under a second. A stalled sender would keep the
memory of its request in use and delay a planned stop."""

MAX_BUFFERED_BYTES = 64 * 1024 * 1024
"""A quarter of the 256 MB of memory of a node. Payloads stay in memory until
their request is answered."""

BUFFER_FULL_RETRY_MS = 1000

REQUEST_ID = web.RequestKey('request_id', str)
_REQUEST_ID_PATTERN = re.compile(r'[\x21-\x7e]{1,128}')
_TRACEPARENT_PATTERN = re.compile(r'00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}')
_STATE_UNCHANGED = 'The state of the job id is unchanged.'

# Errors of the request itself, which leave the state of the job id unchanged.
_REQUEST_ERROR_STATUS = {
    Reason.CONFLICT: 409,
    Reason.KIND_NOT_ALLOWED: 403,
    Reason.TOO_LARGE: 413,
    Reason.UNAUTHORIZED: 403,
}
_REFUSAL_STATUS = {
    Reason.KIND_NOT_ALLOWED: 403,
    Reason.NO_ENDPOINT: 422,
    Reason.OVER_LIMIT: 429,
    Reason.TOO_LARGE: 422,
    Reason.UNAUTHORIZED: 403,
}
_OUTCOME_STATUS = {
    Outcome.COMPLETE: 200,
    Outcome.FAILED: 502,
    Outcome.MAY_HAVE_RUN: 504,
    Outcome.NOT_RUN: 503,
}
_TITLES = {
    400: 'Malformed request',
    401: 'Unknown customer key',
    403: 'Not allowed by the contract',
    404: 'Not found',
    405: 'Method not allowed',
    408: 'Request too slow',
    409: 'The id belongs to a different job',
    413: 'Request too large',
    422: 'The job can never run',
    429: 'Over the limit of the contract',
    500: 'Internal error',
    502: 'The job failed',
    503: 'The job was not run',
    504: 'The job may have run',
}
_DEFAULT_OUTCOME = Outcome.MAY_HAVE_RUN


class JobService(Protocol):
    """Part of `limpetlanding.entry.submissions.Submissions` used here."""

    async def mint(self, contract: Contract, count: int) -> list[str]:
        """Return up to `count` fresh ids."""

    async def submit(
        self, contract: Contract, submission: Submission
    ) -> JobAnswer:
        """Run a job, or join it if it exists already."""

    async def status(
        self, contract: Contract, job_id: str, wait_ms: float
    ) -> JobAnswer:
        """Return the state of a job."""

    async def cancel(
        self, contract: Contract, job_id: str, request_id: str
    ) -> JobAnswer:
        """Cancel the tasks that have not started."""


class CallerApi:
    """Handlers of the caller API.

    Parameters
    ----------
    jobs : JobService
        Processes the requests.
    contracts : Contracts
        Contracts in force.
    max_body_bytes : int
        Largest accepted request body.
    """

    def __init__(
        self,
        jobs: JobService,
        contracts: Contracts,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self.jobs = jobs
        self.contracts = contracts
        self.max_body_bytes = max_body_bytes
        self.buffered_bytes = 0

    def application(self) -> web.Application:
        """Return the aiohttp application with the routes of the API."""
        app = web.Application(
            client_max_size=self.max_body_bytes,
            middlewares=[problem_middleware],
        )
        app.add_routes(
            (
                web.post('/v1/ids', self.post_ids),
                web.post('/v1/jobs', self.post_job),
                web.get('/v1/jobs/{id}', self.get_job),
                web.delete('/v1/jobs/{id}', self.delete_job),
            )
        )
        return app

    async def post_ids(self, request: web.Request) -> web.StreamResponse:
        """Mint job ids."""
        contract = self._authenticated(request)
        body = parse_body(await self._body(request) or b'{}', IdsBody)
        ids = await self.jobs.mint(contract, body.count)
        if not ids:
            return _problem_response(
                request,
                Problem(
                    type='about:blank',
                    title='No job ids available',
                    status=503,
                    detail='no agent that could coordinate jobs is connected',
                    reason=Reason.ENDPOINT_AWAY,
                    step='mint',
                    retry_after_ms=1000,
                ),
            )
        return _json_response(IdsAnswer(ids=ids).model_dump())

    async def post_job(self, request: web.Request) -> web.StreamResponse:
        """Submit a job, or join it if its id is known."""
        contract = self._authenticated(request)
        with self._buffer_space(request):
            return await self._run_job(request, contract)

    @contextmanager
    def _buffer_space(self, request: web.Request) -> Iterator[None]:
        """Count the body towards the buffer limit until its request has ended.

        Raises
        ------
        BodyBufferFull
            If the buffered bodies would exceed `MAX_BUFFERED_BYTES`.
        """
        # A body without a declared length may have up to `max_body_bytes`.
        reserved = request.content_length or self.max_body_bytes
        if self.buffered_bytes + reserved > MAX_BUFFERED_BYTES:
            raise BodyBufferFull
        self.buffered_bytes += reserved
        try:
            yield
        finally:
            self.buffered_bytes -= reserved

    async def _run_job(
        self, request: web.Request, contract: Contract
    ) -> web.StreamResponse:
        submission = parse_submission(await self._body(request))
        if submission.job_id is not None:
            _check_id(submission.job_id)
        submission.request_id = request[REQUEST_ID]
        with span(
            'request',
            _traceparent(request),
            request_id=submission.request_id,
            tasks=len(submission.tasks),
        ) as current_span:
            submission.traceparent = current_span.traceparent
            answer = await self.jobs.submit(contract, submission)
            current_span.set_attributes(
                job_id=answer.job_id, outcome=answer.outcome
            )
        if _is_running(answer):
            # The caller does not wait, or its deadline has passed while a
            # started task still runs. The caller can query the outcome later.
            return _json_response(_status_body(answer), 202)
        return await self._outcome_response(request, contract, answer)

    async def get_job(self, request: web.Request) -> web.StreamResponse:
        """Return the state of a job."""
        contract = self._authenticated(request)
        job_id = _check_id(request.match_info['id'])
        answer = await self.jobs.status(contract, job_id, _wait_ms(request))
        return _state_response(request, answer)

    async def delete_job(self, request: web.Request) -> web.StreamResponse:
        """Cancel the tasks of a job that have not started."""
        contract = self._authenticated(request)
        job_id = _check_id(request.match_info['id'])
        answer = await self.jobs.cancel(contract, job_id, request[REQUEST_ID])
        return _state_response(request, answer)

    def _authenticated(self, request: web.Request) -> Contract:
        header = request.headers.get('Authorization', '')
        contract = authenticate(header, self.contracts)
        if contract is None:
            raise Unauthenticated
        return contract

    async def _body(self, request: web.Request) -> bytes:
        # A body whose declared length is too large is refused without reading.
        if (request.content_length or 0) > self.max_body_bytes:
            raise web.HTTPRequestEntityTooLarge(
                self.max_body_bytes, request.content_length
            )
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                return await request.read()
        except TimeoutError as error:
            raise web.HTTPRequestTimeout(
                text=f'the body did not arrive within {BODY_TIMEOUT_S} s'
            ) from error

    async def _outcome_response(
        self, request: web.Request, contract: Contract, answer: JobAnswer
    ) -> web.StreamResponse:
        if answer.outcome == Outcome.COMPLETE:
            return _json_response(_status_body(answer))
        problem = problem_from_answer(answer)
        if answer.outcome == Outcome.NOT_RUN:
            ids = await self.jobs.mint(contract, 1)
            problem.next_id = ids[0] if ids else None
        return _problem_response(request, problem)


class BodyBufferFull(Exception):
    """The bodies of the requests in flight exceed the memory for them."""


class Unauthenticated(Exception):
    """The request has no customer key, or an unknown one."""


def problem_from_answer(answer: JobAnswer) -> Problem:
    """Return the error body for an answer whose outcome is not complete.

    Examples
    --------
    >>> problem_from_answer(JobAnswer('a', 'not_run', 'over_limit')).status
    429
    """
    reason = answer.reason
    request_only = answer.outcome == '' and bool(reason)
    if request_only:
        status = _REQUEST_ERROR_STATUS.get(reason, 400)
    elif answer.outcome == Outcome.NOT_RUN:
        status = _REFUSAL_STATUS.get(reason, 503)
    else:
        status = _OUTCOME_STATUS.get(answer.outcome, 504)
    if _is_running(answer):
        # The coordinator does not know the outcome of every task yet.
        reason = Reason.ENTRY_TIMEOUT
    detail = answer.detail or reason.replace('_', ' ')
    if request_only:
        detail = f'{detail}. {_STATE_UNCHANGED}'
    return Problem(
        type=f'urn:limpetlanding:{reason or "error"}',
        title=_TITLES[status],
        status=status,
        detail=detail,
        outcome=None if request_only else answer.outcome or _DEFAULT_OUTCOME,
        reason=reason,
        step=answer.step,
        peer=answer.peer,
        id=answer.job_id or None,
        retry_after_ms=answer.retry_after_ms or None,
    )


@web.middleware
async def problem_middleware(
    request: web.Request,
    handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
) -> web.StreamResponse:
    """Convert errors to problem responses and echo the request id."""
    given_id = request.headers.get('X-Request-Id', '')
    valid = _REQUEST_ID_PATTERN.fullmatch(given_id)
    request[REQUEST_ID] = given_id if valid else secrets.token_hex(8)
    try:
        response = await handler(request)
    except Exception as error:
        if isinstance(error, web.HTTPException) and error.status < 400:
            raise
        response = _problem_response(
            request, _problem_from_error(request, error)
        )
    response.headers['X-Request-Id'] = request[REQUEST_ID]
    return response


def _problem_from_error(request: web.Request, error: Exception) -> Problem:
    match error:
        case MalformedRequest():
            return _malformed_problem(error.errors)
        case InvalidJobId():
            return _malformed_problem([FieldError('id', str(error))])
        case Unauthenticated():
            return _request_problem(401, Reason.UNAUTHORIZED)
        case BodyBufferFull():
            problem = _request_problem(
                503, Reason.OVERLOAD, 'too much in flight'
            )
            problem.retry_after_ms = BUFFER_FULL_RETRY_MS
            return problem
        case web.HTTPException():
            return _problem_from_http_error(error)
    logger.bind(
        request_id=request[REQUEST_ID], step='http', peer=request.remote
    ).opt(exception=error).error('request failed')
    # The job may have been forwarded before the error.
    return _request_problem(500, '', 'internal error', Outcome.MAY_HAVE_RUN)


def _request_problem(
    status: int, reason: str, detail: str = '', outcome: str | None = None
) -> Problem:
    if outcome is None:
        detail = f'{detail}. {_STATE_UNCHANGED}' if detail else _STATE_UNCHANGED
    return Problem(
        type=f'urn:limpetlanding:{reason}' if reason else 'about:blank',
        title=_TITLES.get(status, 'Request rejected'),
        status=status,
        detail=detail,
        outcome=outcome,
        reason=reason,
        step='http',
    )


def _malformed_problem(errors: list[FieldError]) -> Problem:
    summary = '; '.join(f'{e.field}: {e.message}' for e in errors)
    problem = _request_problem(400, Reason.MALFORMED, summary)
    problem.errors = [
        FieldProblem(field=e.field, message=e.message) for e in errors
    ]
    return problem


def _problem_from_http_error(error: web.HTTPException) -> Problem:
    reason = Reason.TOO_LARGE if error.status == 413 else Reason.MALFORMED
    return _request_problem(error.status, reason, error.text or error.reason)


def _problem_response(request: web.Request, problem: Problem) -> web.Response:
    problem.request_id = request[REQUEST_ID]
    response = _json_response(problem.model_dump(), problem.status)
    response.content_type = 'application/problem+json'
    if problem.status == 401:
        response.headers['WWW-Authenticate'] = 'Bearer'
    if problem.retry_after_ms is not None:
        # The header is in whole seconds; the body has the exact delay.
        seconds = max(1, math.ceil(problem.retry_after_ms / 1000))
        response.headers['Retry-After'] = str(seconds)
    return response


def _json_response(body: object, status: int = 200) -> web.Response:
    return web.Response(
        body=orjson.dumps(body), status=status, content_type='application/json'
    )


def _status_body(answer: JobAnswer) -> dict[str, object]:
    return {
        'id': answer.job_id,
        'outcome': answer.outcome or None,
        'task_count': answer.task_count,
        'digest': answer.digest,
        'reason': answer.reason,
        'step': answer.step,
        'peer': answer.peer,
        'detail': answer.detail,
        'results': [
            {
                'index': item.index,
                # The payload was parsed when the endpoint answered. It is
                # copied unchanged, so that the digest stays valid.
                'payload': orjson.Fragment(item.payload),
                'run_ms': item.run_ms,
                'queue_ms': item.queue_ms,
                'agent': item.agent,
                'endpoint': item.endpoint,
            }
            for item in answer.results
        ],
    }


def _state_response(request: web.Request, answer: JobAnswer) -> web.Response:
    """Return the response to a status query or a cancellation.

    A job with a decided outcome gets status 200, whatever the outcome.
    """
    if answer.outcome == '' and answer.reason:
        return _problem_response(request, problem_from_answer(answer))
    if _is_running(answer) and not answer.task_count:
        problem = _request_problem(
            404, '', 'no job was submitted under this id'
        )
        return _problem_response(request, problem)
    if answer.reason == Reason.ENTRY_TIMEOUT:
        # The coordinator did not answer, so the outcome of the job is unknown.
        return _problem_response(request, problem_from_answer(answer))
    return _json_response(
        _status_body(answer), 202 if _is_running(answer) else 200
    )


def _is_running(answer: JobAnswer) -> bool:
    return answer.outcome == '' and not answer.reason


def _check_id(text: str) -> str:
    parse_job_id(text)
    return text


def _wait_ms(request: web.Request) -> float:
    text = request.query.get('wait_ms', '0')
    if not re.fullmatch(r'[0-9]{1,6}', text) or int(text) > MAX_WAIT_MS:
        message = f'needs a whole number of ms, at most {MAX_WAIT_MS}'
        raise MalformedRequest([FieldError('wait_ms', message)])
    return int(text)


def _traceparent(request: web.Request) -> str:
    text = request.headers.get('traceparent', '')
    return text if _TRACEPARENT_PATTERN.fullmatch(text) else ''
