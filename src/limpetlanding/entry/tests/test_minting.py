import asyncio
from collections import Counter

import pytest

from limpetlanding.entry.minting import BLOCK_IDS, Mint
from limpetlanding.entry.supply import IdSupply
from limpetlanding.entry.tests.fakes import FakeAgent, incarnation
from limpetlanding.jobs import verify_job_id
from limpetlanding.wire import AllocateIds, IdBlock

OWN = 'sialkot'


def mint_of(*domains, count=10):
    mint = Mint(OWN)
    for number, domain in enumerate(domains, 1):
        mint.add_agent(incarnation(number), domain)
        block = IdBlock(incarnation(number), 1, count, b'secret')
        mint.add_block(block, 0)
    return mint


def minted(mint, count, usable=lambda _: True, now=0):
    ids = [mint.mint('offcut', usable, now) for _ in range(count)]
    return Counter(x.incarnation[-1] if x else None for x in ids)


class TestMint:
    def test_ids_are_unique_and_valid_for_the_customer(self):
        # Guards against two jobs under one id, which would join.
        mint = mint_of(OWN, OWN)
        ids = [mint.mint('offcut', lambda _: True, 0) for _ in range(20)]
        assert len({str(x) for x in ids}) == 20
        assert all(verify_job_id(x, 'offcut', b'secret') for x in ids)
        assert not verify_job_id(ids[0], 'kulo', b'secret')

    def test_own_domain_first_and_spread_over_agents(self):
        mint = mint_of(OWN, 'kasur', OWN, 'lahore')
        assert minted(mint, 8) == {'1': 4, '3': 4}

    def test_other_domains_when_the_own_has_none(self):
        # Guards against refusals although other domains are up.
        mint = mint_of(OWN, 'kasur', 'lahore')
        usable = {incarnation(2), incarnation(3)}.__contains__
        assert minted(mint, 6, usable) == {'2': 3, '3': 3}

    def test_nothing_beyond_the_blocks(self):
        mint = mint_of(OWN, count=3)
        assert minted(mint, 5) == {'1': 3, None: 2}

    def test_old_blocks_are_dropped(self):
        # Guards against ids that the coordinator answers as expired.
        mint = mint_of(OWN)
        assert minted(mint, 1, now=60) == {'1': 1}
        assert minted(mint, 1, now=60.1) == {None: 1}

    def test_dropped_agent_gives_no_ids(self):
        mint = mint_of(OWN, OWN)
        mint.drop_agent(incarnation(1))
        mint.add_block(IdBlock(incarnation(1), 50, 10, b'secret'), 0)
        assert minted(mint, 4) == {'2': 4}


class TestIdSupply:
    @pytest.fixture
    def agent(self):
        return FakeAgent()

    @pytest.fixture
    async def supply(self, agent):
        mint = Mint(OWN)
        mint.add_agent(agent.peer.incarnation, OWN)
        agents = {agent.peer.incarnation: agent}
        loop = asyncio.get_running_loop()
        return IdSupply(mint, agents, lambda _: not agent.suspect, loop.time)

    async def test_asks_once_at_a_time(self, supply, agent):
        # Guards against a block for each caller of a wave.
        await asyncio.gather(*[supply.refill(1) for _ in range(50)])
        assert len(agent.received) == 1
        assert supply.mint.left(agent.peer.incarnation, 0) == BLOCK_IDS

    async def test_full_stock_is_left_alone(self, supply, agent):
        await supply.refill(1)
        supply.top_up()
        assert not supply.requests

    async def test_suspect_agents_are_not_asked(self, supply, agent):
        agent.suspect = True
        await supply.refill(1)
        assert not agent.received

    async def test_silent_agent_is_asked_again_later(self, supply, agent):
        # Guards against an agent that is never asked again after a pause.
        agent.silent = True
        running = asyncio.create_task(supply.run())
        await asyncio.sleep(2)
        agent.silent = False
        await asyncio.sleep(2)
        running.cancel()
        assert supply.mint.left(agent.peer.incarnation, 4) == BLOCK_IDS
        assert all(isinstance(x, AllocateIds) for x in agent.received)
