import asyncio
from contextlib import asynccontextmanager

import aiohttp

from limpetlanding.entry.role import EntryRole
from limpetlanding.entry.tests.fakes import FakeAgent
from limpetlanding.entry.tests.rig import Caller, default_contracts, report
from limpetlanding.settings import Settings
from limpetlanding.wire import Node
from limpetlanding.wire.job_messages import Members


def settings(number, **changes):
    values = {
        'role': 'entry',
        'node': f'entry-{number}',
        'region': 'punjab',
        'failure_domain': 'sialkot',
        'listen': {'host': '127.0.0.1', 'port': 7000 + number},
        'http': {'host': '127.0.0.1', 'port': 8000 + number},
    }
    return Settings(**(values | changes))


@asynccontextmanager
async def running(*all_settings):
    roles = [EntryRole(x, default_contracts()) for x in all_settings]
    tasks = [asyncio.create_task(role.run()) for role in roles]
    try:
        yield roles
    finally:
        for role in roles:
            role.stop_wanted.set()
        await asyncio.gather(*tasks)


@asynccontextmanager
async def agent_at(*addresses, run_s=0.1):
    """Run a fake agent that dials the entries and reports its load."""
    fake = FakeAgent(run_s=run_s)

    async def handler(_channel, message):
        if isinstance(message, Members):
            fake.notified.append(message)
            return None
        return await fake._serve(message)

    node = Node(fake.peer, handler)
    node.on_peer_up = lambda channel: channel.notify(report())
    await node.start()
    for address in addresses:
        node.keep_dialing(address)
    yield fake
    await node.stop()


async def wait_until(condition, timeout_s=10):
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


class TestEntryRole:
    async def test_serves_callers_with_an_agent_over_the_wire(self):
        async with running(settings(1)) as (role,), agent_at('127.0.0.1:7001'):
            await wait_until(lambda: not role._missing_condition())
            async with aiohttp.ClientSession() as session:
                caller = Caller(session, 'http://127.0.0.1:8001')
                (job_id,) = await caller.mint()
                response, body = await caller.submit(job_id)
                ready, status = await caller.call('GET', '/statusz')
                metrics = await session.get(f'{caller.base}/metrics')
                text = await metrics.text()
        assert response.status == 200
        assert body['outcome'] == 'complete'
        assert ready.status == 200
        assert status['agents'][0]['node'] == 'agent-1'
        assert 'limpetlanding_entry_agents_usable_count 1' in text
        assert 'answers_total{result="complete"} 1' in text

    async def test_entries_discover_each_other_and_split_the_limits(self):
        # Guards against an entry that uses the whole limit although others
        # serve the same customers.
        second = settings(2, entries=['127.0.0.1:7001'])
        async with running(settings(1), second) as (one, two):
            names = ('entry-1', 'entry-2')
            await wait_until(lambda: one.core.quota.ledger.members == names)
            await wait_until(lambda: two.core.quota.ledger.members == names)

    async def test_agents_get_the_addresses_of_all_entries(self):
        # Guards against agents that know only the entries in their settings.
        second = settings(2, entries=['127.0.0.1:7001'])
        async with (
            running(settings(1), second) as roles,
            agent_at('127.0.0.1:7001') as agent,
        ):
            await wait_until(
                lambda: len(roles[0].members.connected_nodes()) == 2
            )
            await wait_until(
                lambda: (
                    {x.node for m in agent.notified for x in m.entries}
                    == {'entry-1', 'entry-2'}
                )
            )


class TestPlannedStop:
    async def test_no_request_is_aborted_under_load(self):
        # Guards against a stop that resets connections of callers.
        answers = []
        async with (
            running(settings(1)) as (role,),
            agent_at('127.0.0.1:7001', run_s=1.5),
            aiohttp.ClientSession() as session,
        ):
            await wait_until(lambda: not role._missing_condition())
            # The load exceeds the capacity, so refusals are switched off:
            # the test is only about requests that the stop aborts.
            role.replica.by_customer['offcut'].may_refuse = []
            caller = Caller(session, 'http://127.0.0.1:8001')
            ids = await caller.mint(40)

            async def submit(job_id, after_s):
                await asyncio.sleep(after_s)
                response, body = await caller.submit(job_id)
                answers.append((response.status, body['outcome']))

            async with asyncio.TaskGroup() as group:
                for number, job_id in enumerate(ids):
                    group.create_task(submit(job_id, number * 0.06))
                await asyncio.sleep(0.7)
                role.stop_wanted.set()
        assert answers == [(200, 'complete')] * 40

    async def test_readiness_ends_before_the_listener_closes(self):
        # Guards against a load balancer that connects to a closed port.
        async with (
            running(settings(1)) as (role,),
            agent_at('127.0.0.1:7001'),
            aiohttp.ClientSession() as session,
        ):
            await wait_until(lambda: not role._missing_condition())
            caller = Caller(session, 'http://127.0.0.1:8001')
            before = await session.get(f'{caller.base}/readyz')
            role.stop_wanted.set()
            await asyncio.sleep(0.1)
            during = await session.get(f'{caller.base}/readyz')
            (job_id,) = await caller.mint()
            response, _ = await caller.submit(job_id)
        assert (before.status, during.status) == (200, 503)
        assert response.status == 200
        assert response.headers['Connection'] == 'close'
