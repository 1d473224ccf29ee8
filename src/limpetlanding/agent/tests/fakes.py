"""Fakes at the interfaces of an agent: endpoints, peers and entries."""

import asyncio
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from itertools import count

from aiohttp import web

from limpetlanding.agent.core import AgentCore, CoreInterfaces, CoreOptions
from limpetlanding.agent.endpoints import Announcement
from limpetlanding.errors import LimpetlandingError, PeerLost, RequestTimeout
from limpetlanding.jobs import mint_job_id
from limpetlanding.wire import Hello
from limpetlanding.wire.job_messages import (
    Placement,
    Placements,
    SubmitJob,
    TaskSpec,
)

CUSTOMER = 'dispatch'


class FakeEndpoint:
    """HTTP endpoint that counts the starts of each task in `record`.

    `behaviour` maps the number of a call (from 1) to a function that answers
    this call instead, such as `drop_connection`.
    """

    def __init__(self, port, record, run_s=0.1, **announced):
        self.port = port
        self.record = record
        self.run_s = run_s
        self.announced = {
            'endpoint_id': f'endpoint-{port}',
            'incarnation': 'e1',
            'kinds': ('quote',),
            'slots': 8,
            'connections': 64,
            'repeat_by_id': True,
            **announced,
        }
        self.answers = {}
        self.calls = 0
        self.connections = set()
        self.most_connections = 0
        self.behaviour = {}
        self.server = None

    async def start(self):
        app = web.Application(client_max_size=1 << 24)
        app.add_routes([web.post('/v1/run', self._run)])
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0)
        await self.runner.setup()
        self.server = await asyncio.get_running_loop().create_server(
            self.runner.server, '127.0.0.1', self.port
        )
        return self

    async def stop(self):
        self.server.close()
        await self.runner.cleanup()

    def announcement(self, **changes):
        return Announcement(
            address=f'http://127.0.0.1:{self.port}',
            **{**self.announced, **changes},
        )

    async def keep_announcing(self, endpoints):
        while True:
            endpoints.announce(self.announcement())
            await asyncio.sleep(1)

    async def _run(self, request):
        self.calls += 1
        number = self.calls
        body = await request.json()
        key = request.headers['Idempotency-Key']
        wanted = request.headers['X-Endpoint-Incarnation']
        if wanted != self.announced['incarnation']:
            return web.json_response({'task_id': key}, status=412)
        if key not in self.answers or not self.announced['repeat_by_id']:
            self.record[key] += 1
            self.answers[key] = asyncio.create_task(self._work(body))
        answer = await asyncio.shield(self.answers[key])
        change = self.behaviour.get(number)
        if change is not None:
            return await change(request, dict(answer))
        status = 500 if 'error' in answer else 200
        return web.json_response(answer, status=status)

    async def _work(self, body):
        payload = body['payload']
        run_s = payload.get('run_s', self.run_s)
        await asyncio.sleep(run_s)
        if payload.get('fail'):
            return {'task_id': body['task_id'], 'error': 'no', 'blame': 'x'}
        return {
            'task_id': body['task_id'],
            'payload': payload,
            'run_ms': run_s * 1000,
        }


async def never_answer(request, answer):
    await asyncio.sleep(3600)


async def drop_connection(request, answer):
    request.transport.abort()
    return web.json_response(answer)


async def answer_other_task(request, answer):
    return web.json_response({**answer, 'task_id': 'other/0'})


async def truncate_answer(request, answer):
    response = web.StreamResponse(headers={'Content-Length': '1000'})
    await response.prepare(request)
    await response.write(b'{"task_id": ')
    request.transport.close()
    return response


async def answer_with_error(request, answer):
    return web.json_response(answer, status=500)


def hello(node, incarnation):
    return Hello(1, 'agent', node, incarnation, 'kasur', '', '')


@dataclass
class FakePeer:
    """Channel from one agent to another without sockets.

    Like a real channel, it repeats a request after a lost link.
    """

    net: 'FakeNet'
    source: str
    target: str
    incarnation: str

    @property
    def peer(self):
        return hello(self.target, self.incarnation)

    @property
    def suspect(self):
        return self.target in self.net.suspects

    def notify(self, message):
        self.net.loop.create_task(self._deliver(message))

    async def request(self, message, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                return await self._request(message)
        except TimeoutError as error:
            raise RequestTimeout(
                'no answer', step='x', peer=self.target
            ) from error

    async def _request(self, message):
        self.net.sent.append((self.source, self.target, message))
        while True:
            fault = self.net.fault(self.target, message)
            if fault == 'drop':
                await asyncio.sleep(3600)
            if fault == 'late':
                # The message is delayed in the buffers of an old link.
                self.net.loop.create_task(self._deliver_late(message))
                await asyncio.sleep(3600)
            if fault == 'slow':
                await asyncio.sleep(1)
            reply = await self._deliver(message)
            if fault != 'lose_reply':
                return reply
            await asyncio.sleep(1.5)

    async def _deliver_late(self, message):
        await asyncio.sleep(3)
        with suppress(LimpetlandingError):
            await self._deliver(message)

    async def _deliver(self, message):
        await asyncio.sleep(0.0005)
        core = self.net.agents.get(self.target)
        if core is None or core.incarnation != self.incarnation:
            raise PeerLost('gone', step='x', peer=self.target)
        reply_channel = FakePeer(
            self.net,
            self.target,
            self.source,
            self.net.agents[self.source].incarnation,
        )
        reply = await core.handle(reply_channel, message)
        await asyncio.sleep(0.0005)
        return reply


@dataclass
class FakeNet:
    """Agents, the placements of an entry, and link faults.

    `faults` lists (target, message type, fault), each used once.
    `placement_nodes` are the agents that the entry places tasks at.
    """

    agents: dict = field(default_factory=dict)
    faults: list = field(default_factory=list)
    suspects: set = field(default_factory=set)
    sent: list = field(default_factory=list)
    placement_nodes: list = field(default_factory=list)
    starts: Counter = field(default_factory=Counter)
    endpoints: list = field(default_factory=list)
    tasks: list = field(default_factory=list)
    cores: list = field(default_factory=list)
    paused_s: float = 0
    place_all: bool = False
    numbers: count = field(default_factory=lambda: count(1))

    @property
    def loop(self):
        return asyncio.get_running_loop()

    def clock(self):
        """Return the agents' clock, advanced by their pause of `paused_s`."""
        return self.loop.time() + self.paused_s

    def fault(self, target, message):
        for entry in self.faults:
            if entry[0] == target and isinstance(message, entry[1]):
                self.faults.remove(entry)
                return entry[2]
        return None

    def add_agent(self, node, options=None):
        """Start an agent; the same node again is a new incarnation."""
        incarnation = f'{next(self.numbers):016x}'

        async def connect(placement):
            await asyncio.sleep(0)
            core = self.agents.get(placement.agent)
            if core is None or core.incarnation != placement.incarnation:
                raise PeerLost('gone', step='dial', peer=placement.agent)
            return FakePeer(self, node, placement.agent, placement.incarnation)

        async def place(message, entry):
            await asyncio.sleep(0.001)
            return self._placements(message)

        core = AgentCore(
            node,
            incarnation,
            b'secret',
            CoreInterfaces(connect, place, self.clock),
            options or CoreOptions(),
        )
        self.agents[node] = core
        self.cores.append(core)
        self.tasks.append(asyncio.create_task(_tick_periodically(core)))
        return core

    async def add_endpoint(self, core, port, announce=True, **options):
        endpoint = await FakeEndpoint(port, self.starts, **options).start()
        self.endpoints.append(endpoint)
        if announce:
            work = endpoint.keep_announcing(core.endpoints)
            endpoint.announcing = asyncio.create_task(work)
            self.tasks.append(endpoint.announcing)
            await asyncio.sleep(0)
        return endpoint

    def placement(self, index, core):
        return Placement(index, core.node, core.incarnation, core.node)

    def _placements(self, message):
        placements = []
        for spec in message.tasks:
            for node in self.placement_nodes:
                if node not in message.avoid:
                    core = self.agents[node]
                    placements.append(self.placement(spec.index, core))
                    if not self.place_all:
                        break
        return Placements(placements)

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for core in self.cores:
            for task in list(core.executor.running):
                task.cancel()
            await core.endpoints.close()
        for endpoint in self.endpoints:
            await endpoint.stop()


async def _tick_periodically(core):
    while True:
        core.tick()
        await asyncio.sleep(0.5)


def new_id(core):
    sequence = core.coordinator.ledger.issue(1)
    job_id = mint_job_id(core.incarnation, sequence, CUSTOMER, core.secret)
    return str(job_id)


def submission(job_id, cores, payloads=(b'{}',), **fields):
    """Return a submission with its tasks placed at `cores` in turn."""
    tasks = [
        TaskSpec(index, fields.pop('kind', 'quote'), payload, 100, 200)
        for index, payload in enumerate(payloads)
    ]
    placements = [
        Placement(
            index,
            cores[index % len(cores)].node,
            cores[index % len(cores)].incarnation,
            cores[index % len(cores)].node,
        )
        for index in range(len(tasks))
    ]
    defaults = {
        'body_digest': 'd1',
        'deadline_ms': 10_000,
        'repeatable': False,
        'wait_ms': 20_000,
    }
    return SubmitJob(
        job_id=job_id,
        customer=CUSTOMER,
        tasks=tasks,
        placements=placements,
        **{**defaults, **fields},
    )
