"""How configuration spreads, and what happens when parts are away."""

import asyncio
from dataclasses import replace

import pytest

from limpetlanding.config.tests.fleet import LOG_URL, Fleet, wall
from limpetlanding.config.tests.samples import contract, record
from limpetlanding.contracts import Contract, Publication
from limpetlanding.logservice import LogClient

# The target: a change is in force everywhere within this time.
IN_FORCE_S = 17


@pytest.fixture
async def fleet():
    fleet = Fleet()
    yield fleet
    await fleet.stop()


@pytest.fixture
async def publish():
    async with LogClient(LOG_URL, 'contracts', 500) as log:

        async def run(at_once=8, customer='apples'):
            content = Contract.model_validate(contract(customer, at_once))
            publication = Publication(log, content, 'ana', wall_clock=wall)
            return (await publication.run()).version

        yield run


async def small(fleet):
    """Start 3 entries and 4 agents."""
    for name in ('e1', 'e2', 'e3'):
        await fleet.entry(name)
    for name in ('a1', 'a2', 'a3', 'a4'):
        await fleet.agent(name)
    await asyncio.sleep(5)


def break_log(log, **faults):
    log.faults = replace(log.faults, **faults)


def append(log, version):
    """Append a change that follows the one before."""
    item = record('apples', version, contract('apples', version))
    body = item.model_copy(update={'as_of': version - 2}).body()
    assert log.append('contracts', body) == version - 1


class TestSpread:
    async def test_change_is_in_force_everywhere(
        self, standin_log, fleet, publish
    ):
        await small(fleet)
        for at_once in (1, 2):
            version = await publish(at_once)
            await asyncio.sleep(IN_FORCE_S)
            assert set(fleet.versions().values()) == {version}
        assert all(m.store.informed for m in fleet.members.values())

    async def test_two_entries_of_a_region_read(
        self, standin_log, fleet, publish
    ):
        await small(fleet)
        reading = [
            m.reader.caught_up for m in fleet.members.values() if m.reader
        ]
        assert reading == [True, True, False]
        await fleet.stop('e1', 'e2')
        await asyncio.sleep(10)
        await publish()
        await asyncio.sleep(IN_FORCE_S)
        assert set(fleet.versions().values()) == {1}

    async def test_new_process_learns_while_the_log_is_out(
        self, standin_log, fleet, publish
    ):
        await small(fleet)
        await publish()
        await asyncio.sleep(IN_FORCE_S)
        break_log(standin_log, outage=True)
        await fleet.agent('a5')
        await fleet.entry('e4')
        await asyncio.sleep(5)
        assert set(fleet.versions().values()) == {1}

    async def test_entries_learn_from_agents_when_all_entries_restart(
        self, standin_log, fleet, publish
    ):
        # Guards against agents that pull an empty configuration, and
        # against entries that stay empty although agents know it.
        await small(fleet)
        await publish()
        await asyncio.sleep(IN_FORCE_S)
        break_log(standin_log, outage=True)
        await fleet.stop('e1', 'e2', 'e3')
        await asyncio.sleep(1)
        for name in ('e5', 'e6', 'e7'):
            await fleet.entry(name)
        await asyncio.sleep(10)
        assert set(fleet.versions().values()) == {1}
        # The log was never read, so nobody can tell that this is current.
        assert fleet.members['e5'].store.age_s(0) is None

    async def test_start_without_log_and_peers_is_not_informed(
        self, standin_log, fleet
    ):
        break_log(standin_log, outage=True)
        entry = await fleet.entry('e1')
        agent = await fleet.agent('a1')
        await asyncio.sleep(300)
        assert not entry.store.informed
        assert not agent.store.informed
        break_log(standin_log, outage=False)
        await asyncio.sleep(10)
        assert entry.store.informed

    async def test_age_grows_during_an_outage(
        self, standin_log, fleet, publish
    ):
        # Guards against replicas that confirm each other's old knowledge.
        await small(fleet)
        await publish()
        await asyncio.sleep(IN_FORCE_S)
        now = asyncio.get_running_loop().time
        members = fleet.members.values()
        assert all(m.store.age_s(now()) < 20 for m in members)
        break_log(standin_log, outage=True)
        await asyncio.sleep(300)
        assert all(m.store.age_s(now()) > 280 for m in members)
        assert set(fleet.versions().values()) == {1}
        break_log(standin_log, outage=False)
        await asyncio.sleep(30)
        assert all(m.store.age_s(now()) < 20 for m in members)

    async def test_returning_entry_does_not_revert_others(
        self, standin_log, fleet, publish
    ):
        # Guards against old contracts of a process that was away. Entry e9
        # reaches neither the others nor the log.
        await small(fleet)
        await fleet.entry('e9', reads=False)
        await publish(1)
        await asyncio.sleep(IN_FORCE_S)
        fleet.partition('e9')
        await publish(2)
        await asyncio.sleep(300)
        assert fleet.members['e9'].version() == 1
        fleet.partition()
        for _ in range(IN_FORCE_S * 10):
            await asyncio.sleep(0.1)
            versions = fleet.versions()
            assert {v for n, v in versions.items() if n != 'e9'} == {2}
        assert versions['e9'] == 2

    async def test_partition(self, standin_log, fleet, publish):
        # Two agents reach only an entry that cannot read the log.
        await small(fleet)
        await fleet.entry('e9', region='sindh', reads=False)
        await publish(1)
        await asyncio.sleep(IN_FORCE_S)
        fleet.partition('e9', 'a1', 'a2')
        await publish(2)
        await asyncio.sleep(300)
        near = {'e1', 'e2', 'e3', 'a3', 'a4'}
        expected = {n: 2 if n in near else 1 for n in fleet.members}
        assert fleet.versions() == expected
        fleet.partition()
        await asyncio.sleep(IN_FORCE_S)
        assert set(fleet.versions().values()) == {2}

    async def test_flood_of_changes(self, standin_log, fleet):
        # 300 changes at once, then 16,000 a day for five minutes.
        await small(fleet)
        for version in range(1, 301):
            append(standin_log, version)
        await asyncio.sleep(IN_FORCE_S)
        assert set(fleet.versions().values()) == {300}
        agent = fleet.members['a1'].node.counters
        before = sum(agent.sent.byte_counts.values())
        for version in range(301, 357):
            append(standin_log, version)
            await asyncio.sleep(86_400 / 16_000)
        await asyncio.sleep(IN_FORCE_S)
        assert set(fleet.versions().values()) == {356}
        sent = sum(agent.sent.byte_counts.values()) - before
        assert sent / 300 < 200


class TestRestatement:
    async def test_contract_outlives_retention(
        self, standin_log, fleet, publish
    ):
        fleet.retention_s = standin_log.retention_s = 1_000
        await fleet.entry('e1')
        await fleet.entry('e2')
        await publish()
        await asyncio.sleep(3_500)
        stream = standin_log.streams['contracts']
        # One restatement per half retention, not one by each reader.
        assert 6 <= stream.next <= 9
        await fleet.stop()
        fresh = await fleet.entry('e3')
        await asyncio.sleep(10)
        assert fresh.version() == 1
        assert await publish(99) == 2

    async def test_outage_at_the_end_of_retention(
        self, standin_log, fleet, publish
    ):
        # The log forgets the contract before it can be restated.
        fleet.retention_s = standin_log.retention_s = 1_000
        await fleet.entry('e1')
        await fleet.agent('a1')
        await publish(1)
        assert await publish(2) == 2
        await asyncio.sleep(IN_FORCE_S)
        break_log(standin_log, outage=True)
        await asyncio.sleep(1_200)
        break_log(standin_log, outage=False)
        assert fleet.versions() == {'e1': 2, 'a1': 2}
        await asyncio.sleep(300)
        await fleet.stop()
        fresh = await fleet.entry('e3')
        await asyncio.sleep(10)
        assert fresh.version() == 2

    async def test_restarted_entry_restates_what_only_agents_know(
        self, standin_log, fleet, publish
    ):
        fleet.retention_s = standin_log.retention_s = 1_000
        await fleet.entry('e1')
        await fleet.agent('a1')
        await publish(1)
        await publish(2)
        await asyncio.sleep(IN_FORCE_S)
        break_log(standin_log, outage=True)
        await fleet.stop('e1')
        await asyncio.sleep(1_200)
        restarted = await fleet.entry('e2')
        await asyncio.sleep(20)
        break_log(standin_log, outage=False)
        await asyncio.sleep(300)
        assert restarted.version() == 2
        assert standin_log.streams['contracts'].next == 3
