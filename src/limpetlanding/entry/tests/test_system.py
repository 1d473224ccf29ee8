"""Entries, agents and stand-in endpoints together, in one event loop."""

import asyncio
from collections import Counter
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field

import aiohttp
import pytest
from aiohttp import web

from limpetlanding.agent.role import AgentRole
from limpetlanding.entry.role import EntryRole
from limpetlanding.entry.tests.rig import Caller, default_contracts
from limpetlanding.settings import Settings
from limpetlanding.standin.endpoint import EndpointOptions, StandinEndpoint

ENTRIES = ('127.0.0.1:7001', '127.0.0.1:7002')
DOMAINS = ('sialkot', 'kasur', 'lahore')


@dataclass
class System:
    entries: list = field(default_factory=list)
    agents: list = field(default_factory=list)
    tasks: dict = field(default_factory=dict)
    starts: Counter = field(default_factory=Counter)
    callers: list = field(default_factory=list)

    async def stop(self, role):
        role.stop_wanted.set()
        await self.tasks[id(role)]

    async def crash(self, role):
        """End a role without a graceful stop."""
        node = role.node
        node.server.close()
        for channel in node.channels:
            channel.fail('crashed')
        task = self.tasks[id(role)]
        task.cancel()
        await asyncio.wait([task])

    def start(self, role):
        self.tasks[id(role)] = asyncio.create_task(role.run())
        return role


def settings(role, number, domain):
    base = 7000 if role == 'entry' else 7100
    return Settings(
        role=role,
        node=f'{role}-{number}',
        region='punjab',
        failure_domain=domain,
        listen={'host': '127.0.0.1', 'port': base + number},
        http={'host': '127.0.0.1', 'port': base + 1000 + number},
        entries=list(ENTRIES),
    )


@asynccontextmanager
async def endpoint_at(number, system):
    port = 9000 + number
    endpoint = StandinEndpoint(
        EndpointOptions(f'endpoint-{number}', ('cut',), slots=4),
        record_start=lambda _, task_id: system.starts.update([task_id]),
    )
    endpoint.address = f'http://127.0.0.1:{port}'
    runner = web.AppRunner(endpoint.app(), shutdown_timeout=0)
    await runner.setup()
    loop = asyncio.get_running_loop()
    server = await loop.create_server(runner.server, '127.0.0.1', port)
    url = f'http://127.0.0.1:{8100 + number}'
    announcing = asyncio.create_task(endpoint.announce_to(url))
    yield endpoint
    announcing.cancel()
    server.close()
    await runner.cleanup()


@asynccontextmanager
async def running_system(agents=3):
    system = System()
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        for number in (1, 2):
            role = EntryRole(
                settings('entry', number, 'sialkot'), default_contracts()
            )
            system.entries.append(system.start(role))
            base = f'http://127.0.0.1:{8000 + number}'
            system.callers.append(Caller(session, base))
        for number in range(1, agents + 1):
            domain = DOMAINS[number % 3]
            role = AgentRole(settings('agent', number, domain))
            system.agents.append(system.start(role))
        for number in range(1, agents + 1):
            await stack.enter_async_context(endpoint_at(number, system))
        async with asyncio.timeout(20):
            while not all(  # noqa: ASYNC110
                _serving(x, agents) for x in system.entries
            ):
                await asyncio.sleep(0.05)
        yield system
        for role in [*system.entries, *system.agents]:
            if not system.tasks[id(role)].done():
                await system.stop(role)


def _serving(entry, agents):
    if entry._missing_condition():
        return False
    loads = entry.core.view.loads(entry.core.clock())
    return sum('cut' in load.by_kind for load in loads.values()) == agents


def task_bodies(count, work_ms=100):
    payload = {'work_ms': work_ms}
    return [{'kind': 'cut', 'payload': payload} for _ in range(count)]


class TestSystem:
    async def test_same_submission_at_two_entries_starts_once(self):
        # Guards against at-most-once starts that only hold within one role.
        async with running_system() as system:
            one, two = system.callers
            (job_id,) = await one.mint()
            answers = await asyncio.gather(
                one.submit(job_id, tasks=task_bodies(20)),
                two.submit(job_id, tasks=task_bodies(20)),
            )
            later = await two.submit(job_id, tasks=task_bodies(20))
        assert [r.status for r, _ in [*answers, later]] == [200] * 3
        assert answers[0][1] == answers[1][1] == later[1]
        assert len(system.starts) == 20
        assert set(system.starts.values()) == {1}

    async def test_refusal_concurrent_with_a_submission(self):
        # Guards against a not_run from one entry for a job that the other
        # entry has started.
        async with running_system() as system:
            one, two = system.callers
            contract = system.entries[0].replica.by_customer['offcut']
            contract.limits.tasks_at_once = 0
            ids = await one.mint(20)
            answers = await asyncio.gather(
                *[
                    asyncio.gather(
                        one.submit(x, tasks=task_bodies(1)),
                        two.submit(x, tasks=task_bodies(1)),
                    )
                    for x in ids
                ]
            )
        for job_id, ((_, first), (_, second)) in zip(ids, answers, strict=True):
            assert first['outcome'] == second['outcome']
            started = system.starts[f'{job_id}/0']
            assert started == (first['outcome'] == 'complete')

    async def test_agent_stopped_under_load_loses_no_job(self):
        # Guards against a planned stop that leaves the outcome of jobs unknown.
        async with running_system() as system:
            # The stop of an agent causes overload, so refusals are switched
            # off: the test is only about jobs that the stop loses.
            for entry in system.entries:
                entry.replica.by_customer['offcut'].may_refuse = []
            caller = system.callers[0]
            ids = await caller.mint(60)

            async def submit(number, job_id):
                await asyncio.sleep(number * 0.02)
                return await caller.submit(job_id, tasks=task_bodies(2, 300))

            running = [
                asyncio.create_task(submit(number, job_id))
                for number, job_id in enumerate(ids)
            ]
            await asyncio.sleep(0.5)
            await system.stop(system.agents[0])
            answers = await asyncio.gather(*running)
            again = [await caller.call('GET', f'/v1/jobs/{x}') for x in ids]
        assert {body['outcome'] for _, body in answers} == {'complete'}
        assert {body['outcome'] for _, body in again} == {'complete'}
        assert len(system.starts) == 120
        assert set(system.starts.values()) == {1}

    async def test_job_outlives_its_entry(self):
        # Guards against job state that exists only in the entry.
        async with running_system() as system:
            one, two = system.callers
            (job_id,) = await one.mint()
            accepted, _ = await one.submit(
                job_id, tasks=task_bodies(2, 3000), wait=False
            )
            await system.stop(system.entries[0])
            joined, body = await two.submit(job_id, tasks=task_bodies(2, 3000))
        assert accepted.status == 202
        assert (joined.status, body['outcome']) == (200, 'complete')
        assert set(system.starts.values()) == {1}

    @pytest.mark.parametrize('crashed', [0, 2], ids=['executor', 'both'])
    async def test_every_caller_gets_an_answer_when_an_agent_crashes(
        self, crashed
    ):
        # Guards against callers that wait for a lost coordinator, and against
        # a second start of tasks that may have run. The entries mint ids of
        # agent 3, which is in their failure domain.
        async with running_system() as system:
            one, two = system.callers
            ids = await one.mint(30)
            running = [
                asyncio.create_task(one.submit(x, tasks=task_bodies(2, 500)))
                for x in ids
            ]
            await asyncio.sleep(0.3)
            await system.crash(system.agents[crashed])
            answers = await asyncio.gather(*running)
            again = await asyncio.gather(
                *[two.submit(x, tasks=task_bodies(2, 500)) for x in ids]
            )
            (fresh,) = await one.mint()
            served, _ = await one.submit(fresh, tasks=task_bodies(6))
        outcomes = [body['outcome'] for _, body in answers]
        assert set(outcomes) <= {'complete', 'may_have_run', 'failed'}
        assert 'may_have_run' in outcomes
        # The outcome that a caller got does not change later, unless it was
        # may_have_run.
        for told, (_, body) in zip(outcomes, again, strict=True):
            assert told in {body['outcome'], 'may_have_run'}
        assert served.status == 200
        assert set(system.starts.values()) == {1}

    async def test_paused_agent_gets_no_new_jobs(self):
        # Guards against placements on an agent that does not respond.
        async with running_system() as system:
            one, _ = system.callers
            paused = system.agents[0]
            name = paused.hello.node
            for channel in paused.node.channels:
                for link in channel.links:
                    link.reader.feed_data = lambda _: None
                    link.send = lambda *_: True
            await asyncio.sleep(1.2)
            core = system.entries[0].core
            loads = core.view.loads(core.clock()).values()
            assert [x.agent for x in loads if x.suspect] == [name]
            ids = await one.mint(9)
            answers = await asyncio.gather(
                *[one.submit(x, tasks=task_bodies(4)) for x in ids]
            )
        used = {x['agent'] for _, body in answers for x in body['results']}
        assert {r.status for r, _ in answers} == {200}
        assert name not in used
