"""Replication of configuration, also with the log or processes down."""

import asyncio
from dataclasses import replace

import pytest

from limpetlanding.config.tests.fleet import LOG_URL, Fleet, wall
from limpetlanding.config.tests.samples import contract, record
from limpetlanding.contracts import Contract, Publication
from limpetlanding.logservice import LogClient

# Target: a change is in force in all processes within this time.
IN_FORCE_S = 17

OTHER_KEY = 'b' * 64


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


async def start_small_fleet(fleet):
    """Start 3 entries and 4 agents."""
    for name in ('e1', 'e2', 'e3'):
        await fleet.entry(name)
    for name in ('a1', 'a2', 'a3', 'a4'):
        await fleet.agent(name)
    await asyncio.sleep(5)


def set_log_faults(log, **faults):
    log.faults = replace(log.faults, **faults)


def append(log, version):
    """Append `version`, based on the version before it."""
    item = record('apples', version, contract('apples', version))
    body = item.model_copy(update={'as_of': version - 2}).body()
    assert log.append('contracts', body) == version - 1


class TestSpread:
    async def test_change_is_in_force_everywhere(
        self, standin_log, fleet, publish
    ):
        await start_small_fleet(fleet)
        for at_once in (1, 2):
            version = await publish(at_once)
            await asyncio.sleep(IN_FORCE_S)
            assert set(fleet.versions().values()) == {version}
        assert all(m.store.informed for m in fleet.members.values())

    async def test_two_entries_of_a_region_read_the_log(
        self, standin_log, fleet, publish
    ):
        await start_small_fleet(fleet)
        reading = [
            m.reader.caught_up for m in fleet.members.values() if m.reader
        ]
        assert reading == [True, True, False]
        await fleet.stop('e1', 'e2')
        await asyncio.sleep(10)
        await publish()
        await asyncio.sleep(IN_FORCE_S)
        assert set(fleet.versions().values()) == {1}

    async def test_new_process_gets_versions_from_peers_during_an_outage(
        self, standin_log, fleet, publish
    ):
        await start_small_fleet(fleet)
        await publish()
        await asyncio.sleep(IN_FORCE_S)
        set_log_faults(standin_log, outage=True)
        await fleet.agent('a5')
        await fleet.entry('e4')
        await asyncio.sleep(5)
        assert set(fleet.versions().values()) == {1}

    async def test_entries_learn_from_agents_when_all_entries_restart(
        self, standin_log, fleet, publish
    ):
        # Guards against agents that pull an empty configuration from the new
        # entries, and against entries that stay empty although agents have
        # the configuration.
        await start_small_fleet(fleet)
        await publish()
        await asyncio.sleep(IN_FORCE_S)
        set_log_faults(standin_log, outage=True)
        await fleet.stop('e1', 'e2', 'e3')
        await asyncio.sleep(1)
        for name in ('e5', 'e6', 'e7'):
            await fleet.entry(name)
        await asyncio.sleep(10)
        assert set(fleet.versions().values()) == {1}
        # The log was never read, so the configuration may be outdated.
        assert fleet.members['e5'].store.age_s(0) is None

    async def test_start_without_log_and_peers_is_not_informed(
        self, standin_log, fleet
    ):
        set_log_faults(standin_log, outage=True)
        entry = await fleet.entry('e1')
        agent = await fleet.agent('a1')
        await asyncio.sleep(300)
        assert not entry.store.informed
        assert not agent.store.informed
        set_log_faults(standin_log, outage=False)
        await asyncio.sleep(10)
        assert entry.store.informed

    async def test_age_of_configuration_grows_during_an_outage(
        self, standin_log, fleet, publish
    ):
        # Guards against replicas that confirm outdated versions to each
        # other as current.
        await start_small_fleet(fleet)
        await publish()
        await asyncio.sleep(IN_FORCE_S)
        now = asyncio.get_running_loop().time
        members = fleet.members.values()
        assert all(m.store.age_s(now()) < 20 for m in members)
        set_log_faults(standin_log, outage=True)
        await asyncio.sleep(300)
        assert all(m.store.age_s(now()) > 280 for m in members)
        assert set(fleet.versions().values()) == {1}
        set_log_faults(standin_log, outage=False)
        await asyncio.sleep(30)
        assert all(m.store.age_s(now()) < 20 for m in members)

    async def test_returning_entry_does_not_revert_others(
        self, standin_log, fleet, publish
    ):
        # Guards against outdated contracts of a process that was
        # partitioned. Entry e9 reaches neither the others nor the log.
        await start_small_fleet(fleet)
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

    async def test_versions_converge_after_a_partition(
        self, standin_log, fleet, publish
    ):
        # Two agents are connected only to an entry that cannot read the log.
        await start_small_fleet(fleet)
        await fleet.entry('e9', region='sindh', reads=False)
        await publish(1)
        await asyncio.sleep(IN_FORCE_S)
        fleet.partition('e9', 'a1', 'a2')
        await publish(2)
        await asyncio.sleep(300)
        connected = {'e1', 'e2', 'e3', 'a3', 'a4'}
        expected = {n: 2 if n in connected else 1 for n in fleet.members}
        assert fleet.versions() == expected
        fleet.partition()
        await asyncio.sleep(IN_FORCE_S)
        assert set(fleet.versions().values()) == {2}

    async def test_burst_and_high_rate_of_changes(self, standin_log, fleet):
        # 300 changes at once, then 16,000 changes a day for five minutes.
        await start_small_fleet(fleet)
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
    async def test_contract_is_restated_before_retention_ends(
        self, standin_log, fleet, publish
    ):
        fleet.retention_s = standin_log.retention_s = 1_000
        await fleet.entry('e1')
        await fleet.entry('e2')
        await publish()
        await asyncio.sleep(3_500)
        stream = standin_log.streams['contracts']
        # One restatement per half of the retention time, not one from each
        # reader.
        assert 6 <= stream.next <= 9
        await fleet.stop()
        fresh = await fleet.entry('e3')
        await asyncio.sleep(10)
        assert fresh.version() == 1
        assert await publish(99) == 2

    async def test_contract_is_restated_after_the_log_lost_it(
        self, standin_log, fleet, publish
    ):
        # Retention removes the contract from the log during an outage, so
        # that it is not restated in time.
        fleet.retention_s = standin_log.retention_s = 1_000
        await fleet.entry('e1')
        await fleet.agent('a1')
        await publish(1)
        assert await publish(2) == 2
        await asyncio.sleep(IN_FORCE_S)
        set_log_faults(standin_log, outage=True)
        await asyncio.sleep(1_200)
        set_log_faults(standin_log, outage=False)
        assert fleet.versions() == {'e1': 2, 'a1': 2}
        await asyncio.sleep(300)
        await fleet.stop()
        fresh = await fleet.entry('e3')
        await asyncio.sleep(10)
        assert fresh.version() == 2

    async def test_restarted_entry_restates_versions_of_agents(
        self, standin_log, fleet, publish
    ):
        fleet.retention_s = standin_log.retention_s = 1_000
        await fleet.entry('e1')
        await fleet.agent('a1')
        await publish(1)
        await publish(2)
        await asyncio.sleep(IN_FORCE_S)
        set_log_faults(standin_log, outage=True)
        await fleet.stop('e1')
        await asyncio.sleep(1_200)
        restarted = await fleet.entry('e2')
        await asyncio.sleep(20)
        set_log_faults(standin_log, outage=False)
        await asyncio.sleep(300)
        assert restarted.version() == 2
        assert standin_log.streams['contracts'].next == 3


class TestWithdrawnKey:
    """Guards against a withdrawn key that is in use again after a restart."""

    @pytest.mark.parametrize(
        ('outage', 'reachable'),
        [
            (False, ['a1', 'a2', 'a3', 'a4']),
            (True, ['a1', 'a2', 'a3', 'a4']),
            # Only the log can tell that the one agent is outdated.
            (False, ['a4']),
        ],
    )
    async def test_restarted_entry_refuses_it_beside_an_outdated_agent(
        self, standin_log, fleet, outage, reachable
    ):
        await start_small_fleet(fleet)
        append(standin_log, 1)
        await asyncio.sleep(IN_FORCE_S)
        fleet.partition('a4')
        withdrawn = contract('apples', 2) | {'keys': [OTHER_KEY]}
        standin_log.append('contracts', record('apples', 2, withdrawn).body())
        await asyncio.sleep(IN_FORCE_S)
        assert fleet.members['a4'].version() == 1
        set_log_faults(standin_log, outage=outage)
        await fleet.stop('e1', 'e2', 'e3')
        entry = await fleet.entry('e5')
        fleet.isolated = {'e5', *reachable}
        (key,) = contract('apples', 1)['keys']
        accepting = []
        for step in range(IN_FORCE_S * 20):
            await asyncio.sleep(0.05)
            if entry.store.informed and entry.store.customer_of(key):
                accepting.append(step)
        assert entry.version() == 2
        assert not accepting
