import asyncio
from collections import Counter

import pytest

from limpetlanding.entry.minting import BLOCK_IDS, IdPool
from limpetlanding.entry.supply import IdSupply
from limpetlanding.entry.tests.fakes import FakeAgent, incarnation
from limpetlanding.jobs import verify_job_id
from limpetlanding.wire.job_messages import AllocateIds, IdBlock

OWN = 'sialkot'


def id_pool_of(*domains, count=10):
    id_pool = IdPool(OWN)
    for number, domain in enumerate(domains, 1):
        id_pool.add_agent(incarnation(number), domain)
        block = IdBlock(incarnation(number), 1, count, b'secret')
        id_pool.add_block(block, 0)
    return id_pool


def minted_counts(mint, count, usable=lambda _: True, now=0):
    ids = [mint.mint('offcut', usable, now) for _ in range(count)]
    return Counter(x.incarnation[-1] if x else None for x in ids)


class TestIdPool:
    def test_ids_are_unique_and_valid_for_the_customer(self):
        # Guards against two different jobs with the same id.
        id_pool = id_pool_of(OWN, OWN)
        ids = [id_pool.mint('offcut', lambda _: True, 0) for _ in range(20)]
        assert len({str(x) for x in ids}) == 20
        assert all(verify_job_id(x, 'offcut', b'secret') for x in ids)
        assert not verify_job_id(ids[0], 'kulo', b'secret')

    def test_ids_come_from_own_domain_in_round_robin_order(self):
        id_pool = id_pool_of(OWN, 'kasur', OWN, 'lahore')
        assert minted_counts(id_pool, 8) == {'1': 4, '3': 4}

    def test_other_domains_are_used_when_own_domain_has_none(self):
        # Guards against refusals while other domains still have ids.
        id_pool = id_pool_of(OWN, 'kasur', 'lahore')
        usable = {incarnation(2), incarnation(3)}.__contains__
        assert minted_counts(id_pool, 6, usable) == {'2': 3, '3': 3}

    def test_exhausted_blocks_give_no_ids(self):
        id_pool = id_pool_of(OWN, count=3)
        assert minted_counts(id_pool, 5) == {'1': 3, None: 2}

    def test_old_blocks_are_dropped(self):
        # Guards against ids that the coordinator answers as expired.
        id_pool = id_pool_of(OWN)
        assert minted_counts(id_pool, 1, now=60) == {'1': 1}
        assert minted_counts(id_pool, 1, now=60.1) == {None: 1}

    def test_removed_agent_gives_no_ids(self):
        id_pool = id_pool_of(OWN, OWN)
        id_pool.remove_agent(incarnation(1))
        id_pool.add_block(IdBlock(incarnation(1), 50, 10, b'secret'), 0)
        assert minted_counts(id_pool, 4) == {'2': 4}


class TestIdSupply:
    @pytest.fixture
    def agent(self):
        return FakeAgent()

    @pytest.fixture
    async def supply(self, agent):
        id_pool = IdPool(OWN)
        id_pool.add_agent(agent.peer.incarnation, OWN)
        agents = {agent.peer.incarnation: agent}
        loop = asyncio.get_running_loop()
        return IdSupply(id_pool, agents, lambda _: not agent.suspect, loop.time)

    async def test_one_request_per_agent_at_a_time(self, supply, agent):
        # Guards against a block request for each of many concurrent callers.
        await asyncio.gather(*[supply.wait_for_block(1) for _ in range(50)])
        assert len(agent.received) == 1
        assert (
            supply.id_pool.remaining_ids(agent.peer.incarnation, 0) == BLOCK_IDS
        )

    async def test_no_request_while_a_full_block_remains(self, supply, agent):
        await supply.wait_for_block(1)
        supply.request_blocks()
        assert not supply.requests

    async def test_suspect_agents_are_not_asked(self, supply, agent):
        agent.suspect = True
        await supply.wait_for_block(1)
        assert not agent.received

    async def test_silent_agent_is_asked_again_later(self, supply, agent):
        # Guards against an agent that is never asked again after a pause.
        agent.silent = True
        running = asyncio.create_task(supply.run())
        await asyncio.sleep(2)
        agent.silent = False
        await asyncio.sleep(2)
        running.cancel()
        assert (
            supply.id_pool.remaining_ids(agent.peer.incarnation, 4) == BLOCK_IDS
        )
        assert all(isinstance(x, AllocateIds) for x in agent.received)
