"""One entry over in-memory HTTP with fake agents."""

import asyncio
from contextlib import asynccontextmanager
from hashlib import sha256
from random import Random

import aiohttp
from aiohttp import web

from limpetlanding.entry.admission import Policies
from limpetlanding.entry.core import CoreOptions, EntryCore
from limpetlanding.entry.http import CallerApi
from limpetlanding.entry.tests.fakes import (
    KEY,
    OTHER_KEY,
    FakeAgent,
    FakeContract,
    FakeContracts,
)
from limpetlanding.policy import Admission, Estimator, OutlierDetector, place
from limpetlanding.wire import Hello
from limpetlanding.wire.job_messages import EndpointLoad, LoadReport


def key_hash(key):
    return sha256(key.encode()).hexdigest()


def default_contracts():
    return FakeContracts(
        FakeContract(keys=[key_hash(KEY)]),
        FakeContract('kulo', keys=[key_hash(OTHER_KEY)]),
    )


def report(kinds=('cut',), slots=8, **changes):
    endpoint = EndpointLoad('e-1', list(kinds), slots, 0, 1.0)
    fields = {
        'endpoints': [endpoint],
        'queued_short_ms': 0,
        'queued_long_ms': 0,
        'queued': 0,
        'long_busy': 0,
        'received': 0,
    }
    return LoadReport(**(fields | changes))


def make_core(
    contracts=None,
    node='entry-1',
    domain='sialkot',
    await_peers=False,
    incarnation='',
):
    loop = asyncio.get_running_loop()
    rng = Random(7)

    def placer(tasks, loads, now, avoid):
        return place(tasks, loads, domain, rng, now, avoid)

    return EntryCore(
        Hello(1, 'entry', node, incarnation or node, domain, f'{node}:1', ''),
        contracts or default_contracts(),
        Policies(Admission(), Estimator(), OutlierDetector(), placer),
        lambda placed, loads, now, budget: [],
        rng,
        loop.time,
        CoreOptions(await_peers=await_peers),
    )


class Caller:
    def __init__(self, session, base):
        self.session = session
        self.base = base

    async def call(self, method, path, body=None, key=KEY, **headers):
        if key is not None:
            headers['Authorization'] = f'Bearer {key}'
        kwargs = {'data': body} if isinstance(body, bytes) else {'json': body}
        async with self.session.request(
            method, self.base + path, headers=headers, **kwargs
        ) as response:
            return response, await response.json(content_type=None)

    async def mint(self, count=1, key=KEY):
        _, body = await self.call('POST', '/v1/ids', {'count': count}, key)
        return body['ids']

    async def submit(self, job_id=None, payload=1, key=KEY, **fields):
        body = {'tasks': [{'kind': 'cut', 'payload': payload}]} | fields
        if job_id is not None:
            body['id'] = job_id
        return await self.call('POST', '/v1/jobs', body, key)


@asynccontextmanager
async def serving(core, port, **options):
    """Serve the caller API of `core` and yield a caller."""
    app = CallerApi(core.submissions, core.contracts, **options).application()
    runner = web.AppRunner(app)
    await runner.setup()
    loop = asyncio.get_running_loop()
    server = await loop.create_server(runner.server, '127.0.0.1', port)
    async with aiohttp.ClientSession() as session:
        yield Caller(session, f'http://127.0.0.1:{port}')
    server.close()
    await runner.cleanup()


def connect(core, *agents):
    """Connect agents that have just reported an idle endpoint."""
    for agent in agents:
        core.add_agent(agent)
        core.view.report(agent.peer.incarnation, report(), core.clock())


@asynccontextmanager
async def entry(*agents, port=8001, **options):
    """Yield a core with agents (one by default) and a caller."""
    core = make_core(**options)
    agents = agents or (FakeAgent(),)
    connect(core, *agents)
    async with serving(core, port) as caller:
        yield core, caller, agents[0]
