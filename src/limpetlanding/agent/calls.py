"""HTTP calls that run tasks at endpoints."""

import asyncio
import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import Any

import aiohttp

from limpetlanding.agent.endpoints import Endpoint
from limpetlanding.agent.options import EndpointOptions
from limpetlanding.jobs import Reason, TaskState
from limpetlanding.telemetry.traces import span
from limpetlanding.wire.job_messages import TaskReport, TaskResult, TaskSpec

INCARNATION_HEADER = 'X-Endpoint-Incarnation'
"""Header with the incarnation that a call is meant for. An endpoint that
announces ``repeat_by_id`` answers 412 without starting the task if it has
another incarnation. Otherwise a restarted endpoint, which has no record of the
first call, would start a repeated task again."""

MAX_RESULT_BYTES = 1024 * 1024
_POLL_INTERVAL_S = 0.1
_MAX_WRONG_ANSWERS = 3
_RUN_TIME_FACTOR = 1.5
# Limits the effect of wrongly declared run times.
_MAX_SILENCE_S = 10
_MAX_DETAIL_CHARS = 500
_OK = 200
_WRONG_INCARNATION = 412
_NOT_SENT = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
_MAY_HAVE_BEEN_SENT = (aiohttp.ClientError, OSError, ValueError)


@dataclass(slots=True)
class Call:
    """One task to be run; `deadline` and `run_until` in monotonic seconds.

    The answer is awaited until `run_until`, but only until `deadline` if the
    endpoint cannot repeat the answer of a call (`repeat_by_id` is False).
    """

    job_id: str
    spec: TaskSpec
    deadline: float
    run_until: float
    queue_ms: float = 0
    traceparent: str = ''

    @property
    def task_id(self) -> str:
        """Id of the task at the endpoint."""
        return f'{self.job_id}/{self.spec.index}'

    def give_up_at(self, repeat_by_id: bool) -> float:
        """Return the time at which the wait for the answer ends."""
        return max(self.run_until if repeat_by_id else 0, self.deadline)


@dataclass(slots=True)
class _Answer:
    status: int
    body: dict[str, Any]


class _NoAnswer(Exception):
    """No answer to this task arrived on the connection.

    An announcement after the time `announcement_after` proves that the
    endpoint still has the call. None means that the request was not sent.
    """

    def __init__(self, detail: str, announcement_after: float | None) -> None:
        super().__init__(detail)
        self.detail = detail
        self.announcement_after = announcement_after


@dataclass(slots=True)
class Caller:
    """Calls endpoints; reports only what is certain about each task."""

    agent: str
    clock: Callable[[], float]
    options: EndpointOptions = field(default_factory=EndpointOptions)
    counters: Counter[str] = field(default_factory=Counter)

    async def call(self, endpoint: Endpoint, call: Call) -> TaskReport:
        """Run one task and return its final report.

        The state is ``not_started`` only if the task cannot have started.
        """
        started = self.clock()
        attempts = 0
        while True:
            attempts += 1
            try:
                answer = await self._attempt(endpoint, call, attempts)
            except _NoAnswer as failure:
                report = await self._report_unless_repeatable(
                    endpoint, call, failure, attempts
                )
            else:
                report = self._report(endpoint, call, answer, attempts)
                self._update_speed(endpoint, call, report, started)
            if report is not None:
                return report
            self.counters['repeats_by_id'] += 1

    async def _report_unless_repeatable(
        self, endpoint: Endpoint, call: Call, failure: _NoAnswer, attempts: int
    ) -> TaskReport | None:
        """Return the final report, or None if the call may be repeated."""
        if failure.announcement_after is None and attempts == 1:
            endpoint.suspect = True
            return _not_started_report(call, failure.detail)
        if await self._may_repeat(endpoint, call, failure):
            return None
        return self._unknown_report(endpoint, call, failure.detail)

    async def _attempt(
        self, endpoint: Endpoint, call: Call, attempt: int
    ) -> _Answer:
        connections = endpoint.connections
        started = self.clock()
        session = await connections.acquire(fresh=attempt > 1)
        post = asyncio.create_task(self._post(session, endpoint, call))
        is_own_answer = False
        try:
            silence_s = self._silence_s(endpoint, call, attempt)
            await self._wait(post, endpoint, call, silence_s)
            if not post.done():
                raise _NoAnswer('no answer in time', started)
            answer = post.result()
            is_own_answer = answer.body.get('task_id') == call.task_id
        finally:
            if is_own_answer:
                await connections.release(session)
            else:
                post.cancel()
                await connections.discard(session)
        if not is_own_answer:
            self.counters['answers_of_other_tasks'] += 1
            # The endpoint has just answered, so the call may be repeated at
            # once, but not after `_MAX_WRONG_ANSWERS` attempts.
            is_last = attempt >= _MAX_WRONG_ANSWERS
            raise _NoAnswer(
                'the answer is of another task', inf if is_last else 0
            )
        return answer

    async def _wait(
        self,
        post: asyncio.Task[_Answer],
        endpoint: Endpoint,
        call: Call,
        silence_s: float,
    ) -> None:
        """Wait for the answer until `Call.give_up_at` or a silence time-out.

        The wait also ends when the endpoint is superseded. The silence
        time-out applies only if the endpoint has announced itself since this
        attempt began, which allows a repeat. Until then, the call continues,
        because its answer may still arrive.
        """
        started = self.clock()
        step_s = silence_s
        while not post.done():
            repeat_by_id = endpoint.announced.repeat_by_id
            left_s = call.give_up_at(repeat_by_id) - self.clock()
            if left_s <= 0 or endpoint.superseded.done():
                return
            if not repeat_by_id:
                step_s = left_s
            await asyncio.wait(
                (post, endpoint.superseded),
                timeout=min(step_s, left_s),
                return_when=asyncio.FIRST_COMPLETED,
            )
            silent_s = self.clock() - started
            silent = silent_s >= silence_s and not post.done()
            if silent and _announced_since(endpoint, started):
                self.counters['silent_calls'] += 1
                await endpoint.connections.discard_idle()
                return
            step_s = _POLL_INTERVAL_S

    def _silence_s(self, endpoint: Endpoint, call: Call, attempt: int) -> float:
        """Return after how many seconds without an answer a call is repeated.

        No data arrives while a task runs, so the time allows for the expected
        run time. It doubles with each attempt.
        """
        expected_s = call.spec.p90_ms / 1000 / endpoint.speed.speed
        usual_s = max(self.options.silence_s, _RUN_TIME_FACTOR * expected_s)
        return min(usual_s, _MAX_SILENCE_S) * 2 ** (attempt - 1)

    async def _post(
        self, session: aiohttp.ClientSession, endpoint: Endpoint, call: Call
    ) -> _Answer:
        headers = {
            'Idempotency-Key': call.task_id,
            'Content-Type': 'application/json',
            INCARNATION_HEADER: endpoint.announced.incarnation,
        }
        url = f'{endpoint.announced.address}/v1/run'
        name = endpoint.announced.endpoint_id
        with span('call', call.traceparent, endpoint=name) as current_span:
            if current_span.traceparent:
                headers['traceparent'] = current_span.traceparent
            return await self._send(session, url, headers, call)

    async def _send(
        self,
        session: aiohttp.ClientSession,
        url: str,
        headers: dict[str, str],
        call: Call,
    ) -> _Answer:
        try:
            # Following a redirect would send the task a second time.
            async with session.post(
                url,
                data=self._body(call),
                headers=headers,
                allow_redirects=False,
            ) as response:
                content = await response.read()
        except _NOT_SENT as error:
            raise _NoAnswer(str(error), None) from error
        except _MAY_HAVE_BEEN_SENT as error:
            # The endpoint may have crashed; only an announcement after the
            # error shows that it was not restarted.
            raise _NoAnswer(repr(error), self.clock()) from error
        return _Answer(response.status, _parse(content))

    def _body(self, call: Call) -> bytes:
        left_ms = max(0, (call.deadline - self.clock()) * 1000)
        head = json.dumps(
            {
                'task_id': call.task_id,
                'kind': call.spec.kind,
                'deadline_ms': round(left_ms, 3),
            }
        )
        # The payload is already encoded as JSON.
        return b'%b, "payload": %b}' % (head[:-1].encode(), call.spec.payload)

    async def _may_repeat(
        self, endpoint: Endpoint, call: Call, failure: _NoAnswer
    ) -> bool:
        """Wait for an announcement; it proves that the endpoint still runs.

        Return False if a repeat might start the task a second time, or if the
        time for the answer is over.
        """
        since = failure.announcement_after
        if not endpoint.announced.repeat_by_id or since is None:
            return False
        give_up_at = call.give_up_at(repeat_by_id=True)
        until = min(give_up_at, self.clock() + self.options.announcement_wait_s)
        while not _announced_since(endpoint, since):
            if self.clock() >= until or not endpoint.current:
                return False
            await asyncio.sleep(_POLL_INTERVAL_S)
        return self.clock() < give_up_at

    def _report(
        self, endpoint: Endpoint, call: Call, answer: _Answer, attempts: int
    ) -> TaskReport:
        if answer.status == _WRONG_INCARNATION:
            if attempts > 1:
                return self._unknown_report(
                    endpoint, call, 'endpoint restarted'
                )
            return _not_started_report(call, 'another incarnation answered')
        body = answer.body
        if answer.status != _OK:
            return _error_report(
                call,
                Reason.TASK_ERROR,
                str(body.get('error', ''))[:_MAX_DETAIL_CHARS],
                str(body.get('blame', 'endpoint')),
            )
        payload = json.dumps(body.get('payload'), separators=(',', ':'))
        encoded = payload.encode()
        if len(encoded) > MAX_RESULT_BYTES:
            detail = f'result of {len(encoded)} bytes'
            return _error_report(call, Reason.TOO_LARGE, detail, 'customer')
        run_ms = body.get('run_ms')
        result = TaskResult(
            call.spec.index,
            encoded,
            float(run_ms) if isinstance(run_ms, int | float) else 0,
            call.queue_ms,
            self.agent,
            endpoint.announced.endpoint_id,
        )
        return TaskReport(call.spec.index, TaskState.DONE, result=result)

    def _update_speed(
        self,
        endpoint: Endpoint,
        call: Call,
        report: TaskReport,
        started: float,
    ) -> None:
        result = report.result
        if result is None:
            return
        # The run time in the answer is optional.
        result.run_ms = result.run_ms or (self.clock() - started) * 1000
        endpoint.speed.observe(call.spec.expected_ms, result.run_ms)
        result.speed = endpoint.speed.speed

    def _unknown_report(
        self, endpoint: Endpoint, call: Call, detail: str
    ) -> TaskReport:
        self.counters['unknown_calls'] += 1
        is_late = self.clock() >= call.deadline
        reason = Reason.DEADLINE if is_late else Reason.ENDPOINT_AWAY
        endpoint_id = endpoint.announced.endpoint_id
        return TaskReport(
            call.spec.index,
            TaskState.UNKNOWN,
            reason,
            detail=f'endpoint {endpoint_id}: {detail}',
        )


def _announced_since(endpoint: Endpoint, since: float) -> bool:
    return endpoint.current and endpoint.announced_at > since


def _not_started_report(call: Call, detail: str) -> TaskReport:
    return TaskReport(
        call.spec.index,
        TaskState.NOT_STARTED,
        Reason.ENDPOINT_AWAY,
        detail=detail,
    )


def _error_report(
    call: Call, reason: str, detail: str, blame: str
) -> TaskReport:
    return TaskReport(
        call.spec.index, TaskState.ERROR, reason, detail=detail, blame=blame
    )


def _parse(content: bytes) -> dict[str, Any]:
    try:
        body = json.loads(content)
    except ValueError:
        return {}
    return body if isinstance(body, dict) else {}
