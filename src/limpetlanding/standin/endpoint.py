"""Stand-in for a customer's endpoint: simulates work and records its starts.

A task's payload may contain ``work_ms``, the run time at speed 1.0. The start
record is independent of the dispatcher: each start is written as one JSON line
to standard output, so that the reader still gets it from the pipe after the
process was killed.
"""

import asyncio
import contextlib
import json
import sys
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

import aiohttp
from aiohttp import web

from limpetlanding.jobs import new_incarnation
from limpetlanding.lifecycle.loop import run_process
from limpetlanding.telemetry.logs import start_logs

ANNOUNCE_INTERVAL_S = 1
MAX_REMEMBERED_CALLS = 10_000
INCARNATION_HEADER = 'X-Endpoint-Incarnation'
SILENCE_S = 3600
_ANNOUNCE_TIMEOUT = aiohttp.ClientTimeout(total=2)

StartRecorder = Callable[[str, str], None]


@dataclass(slots=True)
class EndpointOptions:
    """How a stand-in endpoint behaves.

    Parameters
    ----------
    speed : float
        Factor by which work is faster than at speed 1.0.
    slots : int
        Tasks that run concurrently; further calls wait in order of arrival.
    connections : int
        Number of connections that the endpoint announces as its limit.
    repeat_by_id : bool
        Whether the endpoint announces that a repeated call with the same
        idempotency key does not run the task again.
    """

    endpoint_id: str
    kinds: tuple[str, ...]
    speed: float = 1
    slots: int = 8
    connections: int = 64
    repeat_by_id: bool = True


@dataclass(slots=True)
class EndpointFaults:
    """Switches set by ``POST /faults``.

    Parameters
    ----------
    fail_all : bool
        Every task fails immediately after its start.
    slow_factor : float
        Work takes this many times longer.
    silent : bool
        Connections used while this is set never get an answer again.
    cut : bool
        The connection is aborted instead of answered after the task has run.
    crossed : bool
        The answer contains the id of another task.
    """

    fail_all: bool = False
    slow_factor: float = 1
    silent: bool = False
    cut: bool = False
    crossed: bool = False


@dataclass(slots=True)
class _Call:
    task_id: str
    work_ms: float
    answer: asyncio.Future


def print_start(endpoint_id: str, task_id: str) -> None:
    """Write one line of the start record to standard output."""
    line = json.dumps(
        {'start': task_id, 'endpoint': endpoint_id, 'at': time.time()}
    )
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


@dataclass
class StandinEndpoint:
    """State and HTTP handlers of one stand-in endpoint.

    See Also
    --------
    serve_endpoint : Serves an endpoint until cancelled.
    """

    options: EndpointOptions
    record_start: StartRecorder = print_start
    incarnation: str = field(default_factory=new_incarnation)
    faults: EndpointFaults = field(default_factory=EndpointFaults)
    leaving: bool = False
    address: str = ''
    calls: OrderedDict[str, _Call] = field(default_factory=OrderedDict)

    def __post_init__(self) -> None:
        self.free_slots = asyncio.Semaphore(self.options.slots)
        self.connections: set[int] = set()
        self.silenced: set[int] = set()
        self.running: set[asyncio.Task] = set()

    def app(self) -> web.Application:
        """Return the HTTP application of the endpoint."""
        app = web.Application()
        app.add_routes(
            (
                web.post('/v1/run', self.run),
                web.get('/v1/health', self.health),
                web.post('/faults', self.set_faults),
            )
        )
        return app

    async def run(self, request: web.Request) -> web.StreamResponse:
        """Run a task, or join the call with the same idempotency key.

        A call for another incarnation is answered with 412: a restarted
        endpoint has no record of earlier calls and cannot distinguish a
        repeated call from a new one.
        """
        body = await request.json()
        expected_incarnation = request.headers.get(
            INCARNATION_HEADER, self.incarnation
        )
        if expected_incarnation != self.incarnation:
            return web.json_response(
                {'task_id': body['task_id'], 'error': 'another incarnation'},
                status=HTTPStatus.PRECONDITION_FAILED,
            )
        connection = id(request.transport)
        self.connections.add(connection)
        if self.faults.silent:
            self.silenced.add(connection)
        task_id = request.headers.get('Idempotency-Key', body['task_id'])
        call = self.calls.get(task_id)
        if call is None:
            call = self._start_call(task_id, body)
        if connection in self.silenced:
            await asyncio.sleep(SILENCE_S)
        answer = await asyncio.shield(call.answer)
        if self.faults.cut and request.transport is not None:
            request.transport.abort()
        return self._response(answer)

    async def health(self, _request: web.Request) -> web.Response:
        """Report that the endpoint is running and whether it will stop."""
        return web.json_response({'ok': True, 'leaving': self.leaving})

    async def set_faults(self, request: web.Request) -> web.Response:
        """Change fault switches.

        ``leaving`` announces a planned stop. ``silence_open`` ends all answers
        on the connections that have carried a call so far.
        """
        body = await request.json()
        self.leaving = body.pop('leaving', self.leaving)
        if body.pop('silence_open', False):
            self.silenced |= self.connections
        for name, value in body.items():
            setattr(self.faults, name, value)
        return web.json_response({'ok': True})

    async def announce_to(self, agent_url: str) -> None:
        """Announce the endpoint to its agent until cancelled."""
        async with aiohttp.ClientSession(timeout=_ANNOUNCE_TIMEOUT) as session:
            while True:
                # The agent may be starting or stopped; the next iteration
                # tries again.
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    await self._announce(session, agent_url)
                await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    def announcement(self, address: str) -> dict:
        """Return the body of an announcement."""
        return {
            'endpoint_id': self.options.endpoint_id,
            'incarnation': self.incarnation,
            'address': address,
            'kinds': list(self.options.kinds),
            'slots': self.options.slots,
            'connections': self.options.connections,
            'repeat_by_id': self.options.repeat_by_id,
            'leaving': self.leaving,
            'max_size': None,
        }

    async def _announce(
        self, session: aiohttp.ClientSession, agent_url: str
    ) -> None:
        async with session.post(
            f'{agent_url}/v1/announce', json=self.announcement(self.address)
        ) as response:
            await response.read()

    def _start_call(self, task_id: str, body: dict) -> _Call:
        payload = body.get('payload')
        is_object = isinstance(payload, dict)
        work_ms = payload.get('work_ms', 0) if is_object else 0
        future = asyncio.get_running_loop().create_future()
        call = _Call(task_id, work_ms, future)
        self.calls[task_id] = call
        if len(self.calls) > MAX_REMEMBERED_CALLS:
            self.calls.popitem(last=False)
        task = asyncio.create_task(self._run_task(call, body))
        self.running.add(task)
        task.add_done_callback(self.running.discard)
        return call

    async def _run_task(self, call: _Call, body: dict) -> None:
        async with self.free_slots:
            self.record_start(self.options.endpoint_id, call.task_id)
            run_ms = call.work_ms / self.options.speed
            run_ms *= self.faults.slow_factor
            if self.faults.fail_all:
                call.answer.set_result(
                    {
                        'task_id': body['task_id'],
                        'error': 'the endpoint fails every task',
                        'blame': 'endpoint',
                    }
                )
                return
            await asyncio.sleep(run_ms / 1000)
            call.answer.set_result(
                {
                    'task_id': body['task_id'],
                    'payload': {'echo': body.get('payload')},
                    'run_ms': run_ms,
                }
            )

    def _response(self, answer: dict) -> web.Response:
        if self.faults.crossed:
            answer = {**answer, 'task_id': 'another/0'}
        status = 500 if 'error' in answer else 200
        return web.json_response(answer, status=status)


async def serve_endpoint(
    options: EndpointOptions, host: str, port: int, agent_url: str
) -> None:
    """Serve a stand-in endpoint and announce it until cancelled.

    Parameters
    ----------
    host, port : str, int
        Address at which the endpoint listens.
    agent_url : str
        Base URL of the agent on the same worker.
    """
    endpoint = StandinEndpoint(options)
    endpoint.address = f'http://{host}:{port}'
    runner = web.AppRunner(endpoint.app(), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    try:
        await endpoint.announce_to(agent_url)
    finally:
        await runner.cleanup()


def run_standin_endpoint(
    port: int,
    agent_url: str,
    kinds: str,
    endpoint_id: str = 'endpoint',
    speed: float = 1,
    host: str = '127.0.0.1',
    slots: int = 8,
) -> None:
    """Run a stand-in endpoint until interrupted.

    Parameters
    ----------
    kinds : str
        Kinds of task that the endpoint runs, separated by commas.
    """
    kind_names = kinds if isinstance(kinds, tuple | list) else kinds.split(',')
    options = EndpointOptions(
        endpoint_id, tuple(kind_names), speed=float(speed), slots=slots
    )
    start_logs('INFO', 'endpoint', endpoint_id)
    run_process(serve_endpoint(options, host, port, agent_url))
