"""Entries, agents, endpoints and the log as processes in one event loop."""

import asyncio
from collections import Counter
from random import Random

from aiohttp import web

from limpetlanding.agent.role import AgentRole
from limpetlanding.config import Replica
from limpetlanding.contracts import Contract, Publication, hash_key
from limpetlanding.entry.role import EntryRole
from limpetlanding.logservice import LogClient
from limpetlanding.scenarios.tests.processes import (
    ProcessNetwork,
    process_context,
)
from limpetlanding.settings import Settings
from limpetlanding.standin.endpoint import EndpointOptions, StandinEndpoint
from limpetlanding.standin.log import StandinLog

FAILURE_DOMAINS = ('sialkot', 'kasur', 'lahore')
KEYS = {'offcut': 'stilt-meadow', 'kulo': 'harbour-gate'}
LOG_URL = 'http://127.0.0.1:7400'
SLOTS_PER_ENDPOINT = 4
MAX_TASK_SIZE = 100
# Design target: within this time every role uses a newly published contract.
CONTRACT_PROPAGATION_S = 17


def make_settings(role, number):
    """Return the settings of a process.

    The entries and agent 3 share a failure domain.
    """
    base = 7000 if role == 'entry' else 7100
    log = {'log': {'url': LOG_URL, 'timeout_ms': 500}}
    return Settings(
        role=role,
        node=f'{role}-{number}',
        region='punjab',
        failure_domain=FAILURE_DOMAINS[0 if role == 'entry' else number % 3],
        listen={'host': '127.0.0.1', 'port': base + number},
        http={'host': '127.0.0.1', 'port': base + 1000 + number},
        entries=['127.0.0.1:7001', '127.0.0.1:7002'],
        **(log if role == 'entry' else {}),
    )


def make_contract(customer, at_once):
    return Contract.model_validate(
        {
            'customer': customer,
            'keys': [hash_key(KEYS[customer])],
            'limits': {'tasks_at_once': at_once, 'tasks_per_second': 10_000},
            'answer_within_ms': 5000,
            'may_refuse': ['overload', 'deadline'],
            'kinds': ['*'],
            'peak_share': 1,
            'max_task_size': MAX_TASK_SIZE,
        }
    )


class System:
    """The processes of one scenario, their task starts and contracts."""

    def __init__(self, seed):
        self.loop = asyncio.get_running_loop()
        self.rng = Random(seed)
        self.network = ProcessNetwork()
        self.log = StandinLog()
        self.roles = {}
        self.incarnations = Counter()
        self.endpoints = {}
        self.tasks = {}
        # Task starts that the endpoints report, independently of the
        # dispatcher, by task id.
        self.starts = Counter()
        # Contract versions in use, by node and incarnation.
        self.versions = {}
        self.version_regressions = []
        self.published = []

    def incarnation_name(self, name):
        """Return the name of the current incarnation of a process."""
        return f'{name}#{self.incarnations[name]}'

    def spawn(self, name, coroutine_function, *args):
        context = process_context(self.incarnation_name(name))
        self.tasks[name] = asyncio.create_task(
            coroutine_function(*args), context=context, name=name
        )

    def start(self, name):
        """Start a role or an endpoint, as a new incarnation."""
        self.incarnations[name] += 1
        kind, _, number = name.partition('-')
        if kind == 'endpoint':
            self.spawn(name, self._serve_endpoint, int(number))
            return
        role_class = EntryRole if kind == 'entry' else AgentRole
        own = make_settings(kind, int(number))
        role = process_context(self.incarnation_name(name)).run(
            role_class,
            own,
            Replica(own),
            self.network.connect,
            self.network.serve,
        )
        role.node.options.rng.seed(self.rng.random())
        role.replica.replication.rng.seed(self.rng.random())
        if kind == 'entry':
            role.rng.seed(self.rng.random())
        self.roles[name] = role
        self.spawn(name, role.run)

    def kill(self, name):
        self.loop.kill(self.incarnation_name(name))
        self.network.kill(self.incarnation_name(name))
        self.roles.pop(name, None)
        self.endpoints.pop(name, None)

    def pause(self, name):
        self.loop.pause(self.incarnation_name(name))

    def resume(self, name):
        self.loop.resume(self.incarnation_name(name))

    async def stop(self, name):
        """Shut a role down gracefully."""
        self.roles[name].stop_wanted.set()
        await asyncio.wait([self.tasks[name]])
        self.tasks[name].result()
        self.roles.pop(name, None)

    async def publish(self, author, at_once, base=None, customer='offcut'):
        async with LogClient(LOG_URL, 'contracts', 500) as log:
            publication = Publication(
                log,
                make_contract(customer, at_once),
                author,
                base,
                wall_clock=self.loop.time,
            )
            result = await publication.run()
        self.published.append(result)
        return result

    async def watch_versions(self):
        while True:
            for role in self.roles.values():
                self._record_versions(role)
            await asyncio.sleep(0.1)

    def _record_versions(self, role):
        name = role.hello.node, role.hello.incarnation
        before = self.versions.get(name, {})
        now = role.replica.store.vector()
        for customer, version in before.items():
            if now.get(customer, 0) < version:
                self.version_regressions.append((name, before, now))
        self.versions[name] = now

    async def serve_log(self):
        runner = web.AppRunner(self.log.app(), access_log=None)
        await runner.setup()
        await self.loop.create_server(runner.server, '127.0.0.1', 7400)
        await asyncio.Event().wait()

    async def _serve_endpoint(self, number):
        endpoint = StandinEndpoint(
            EndpointOptions(
                f'endpoint-{number}', ('cut',), slots=SLOTS_PER_ENDPOINT
            ),
            record_start=lambda _, task_id: self.starts.update([task_id]),
        )
        self.endpoints[f'endpoint-{number}'] = endpoint
        port = 9000 + number
        endpoint.address = f'http://127.0.0.1:{port}'
        runner = web.AppRunner(endpoint.app(), access_log=None)
        await runner.setup()
        await self.loop.create_server(runner.server, '127.0.0.1', port)
        await endpoint.announce_to(f'http://127.0.0.1:{8100 + number}')


async def start_system(seed, entries=2, agents=3):
    system = System(seed)
    system.spawn('log', system.serve_log)
    await asyncio.sleep(0.1)
    for customer in KEYS:
        await system.publish('ana', 100, customer=customer)
    for number in range(1, entries + 1):
        system.start(f'entry-{number}')
    for number in range(1, agents + 1):
        system.start(f'agent-{number}')
        system.start(f'endpoint-{number}')
    system.spawn('', system.watch_versions)
    async with asyncio.timeout(30):
        while not all(  # noqa: ASYNC110
            _knows_all_agents(system.roles[f'entry-{x}'], agents)
            for x in (1, 2)
        ):
            await asyncio.sleep(0.1)
    return system


def _knows_all_agents(entry, agents):
    loads = entry.core.view.loads(entry.core.clock())
    serving = sum('cut' in load.by_kind for load in loads.values())
    return serving == agents and entry.replica.loaded()


async def end_all_processes(system):
    """End the tasks of all processes."""
    system.loop.release_all()
    tasks = [x for x in asyncio.all_tasks() if x is not asyncio.current_task()]
    for task in tasks:
        task.cancel()
    _, left = await asyncio.wait(tasks, timeout=300)
    assert not left
