import asyncio

import pytest

from limpetlanding.entry.tests.fleet import LEASE_S, Fleet


@pytest.fixture
async def fleet():
    fleet = Fleet()
    # An entry has no share until one lease has expired.
    await asyncio.sleep(2 * LEASE_S)
    yield fleet
    fleet.stop()


async def offer_load(fleet, names, seconds, rate=400):
    """Submit `rate` jobs a second to the named entries in turn."""
    tasks = set()
    for number in range(int(seconds * rate)):
        name = names[number % len(names)]
        tasks.add(asyncio.ensure_future(fleet.offer(name)))
        await asyncio.sleep(1 / rate)
    return await asyncio.gather(*tasks)


class TestShares:
    async def test_all_entries_together_use_the_limit(self, fleet):
        await offer_load(fleet, fleet.names, 5)
        assert 0.9 * fleet.limit <= fleet.peak_running <= fleet.limit

    async def test_idle_entries_lend_what_they_do_not_need(self, fleet):
        # Guards against a customer that gets a third of its limit because
        # the load balancer sends its callers to one entry.
        await offer_load(fleet, fleet.names[:1], 5)
        assert 0.8 * fleet.limit <= fleet.peak_running <= fleet.limit

    async def test_lent_shares_are_returned(self, fleet):
        # Guards against an entry without a share after a burst at another one.
        await offer_load(fleet, fleet.names[:1], 5)
        await asyncio.sleep(2 * LEASE_S)
        assert sum(fleet.shares().values()) == fleet.limit
        assert set(fleet.shares().values()) == {fleet.limit / 3}

    async def test_limit_holds_while_the_load_shifts_between_entries(
        self, fleet
    ):
        # Guards against grants that the lender still counts as its own.
        for _ in range(20):
            count = fleet.rng.randrange(1, 4)
            await offer_load(fleet, fleet.rng.sample(fleet.names, count), 1)
            assert sum(fleet.shares().values()) <= fleet.limit
        assert fleet.peak_running <= fleet.limit

    async def test_shares_of_a_crashed_entry_pass_to_the_others(self, fleet):
        fleet.crash('entry-2')
        await asyncio.sleep(LEASE_S + 0.1)
        fleet.set_members()
        await asyncio.sleep(LEASE_S + 0.1)
        assert sum(fleet.shares().values()) == fleet.limit

    async def test_contract_change_takes_effect(self, fleet):
        for core in fleet.cores.values():
            contract = core.contracts.contract('offcut')
            contract.limits.tasks_at_once = 30
        await offer_load(fleet, fleet.names, 3)
        assert fleet.peak_running <= 30

    async def test_refused_borrowing_is_not_repeated_for_each_job(self, fleet):
        # Guards against two wasted messages for every refused job.
        asked = []
        link = fleet.cores['entry-1'].quota.entries['entry-2']
        request = link.request

        async def counted(message, timeout_s):
            asked.append(message)
            return await request(message, timeout_s)

        link.request = counted
        admitted = await offer_load(fleet, fleet.names, 3, 2000)
        assert len(asked) < 0.05 * len(admitted)


class TestRestarts:
    @pytest.mark.parametrize('seed', range(3))
    async def test_overshoot_is_at_most_the_share_of_the_crashed_entry(
        self, seed
    ):
        # Guards against a restarted entry that uses a share which its former
        # incarnation has lent, or which other entries have got since.
        fleet = Fleet(seed=seed)
        await asyncio.sleep(2 * LEASE_S)
        overshoot = 0
        for _ in range(12):
            names = fleet.rng.sample(fleet.names, fleet.rng.randrange(1, 4))
            await offer_load(fleet, names, fleet.rng.uniform(0.6, 2))
            crashed = fleet.rng.choice(fleet.names)
            overshoot = max(overshoot, fleet.shares()[crashed])
            fleet.crash(crashed)
            fleet.set_members()
            await offer_load(fleet, fleet.names, fleet.rng.choice([0.01, 1, 6]))
            fleet.start(crashed)
        fleet.stop()
        assert fleet.limit * 0.8 <= fleet.peak_running
        assert fleet.peak_running <= fleet.limit + overshoot

    async def test_entry_without_peers_starts_without_a_share(self):
        # Guards against an entry that uses the whole limit because it has
        # not connected to the other entries yet.
        fleet = Fleet(count=1)
        assert not await fleet.offer('entry-1')
        await asyncio.sleep(LEASE_S + 0.1)
        assert await fleet.offer('entry-1')
        fleet.stop()
