import asyncio
from contextlib import asynccontextmanager
from functools import partial
from math import inf, nan
from random import Random

import pytest

from limpetlanding.errors import PeerLost
from limpetlanding.wire import Ack, Heartbeat, Hello, Node, NodeOptions, Timing
from limpetlanding.wire.link import MAX_SLOWDOWN
from limpetlanding.wire.suspension import SuspensionMonitor
from limpetlanding.wire.tests.faulty_network import FaultyNetwork

A, B = '10.0.0.1:7000', '10.0.0.2:7000'
SLOWDOWN = 4
TIMING = Timing(
    heartbeat_s=0.15,
    digest_s=60,
    silence_s=0.45,
    suspect_s=0.35,
    idle_slowdown=SLOWDOWN,
    down_s=0.3,
)
SLOW_SILENCE_S = SLOWDOWN * TIMING.silence_s


class Pair:
    """Two nodes with a link that the first one has dialed."""

    def __init__(self):
        self.network = FaultyNetwork()
        self.nodes = []

    async def start(self, address, slow_heartbeats):
        node = Node(
            Hello(
                1,
                'agent',
                address,
                '1',
                'd',
                address,
                '',
                slow_heartbeats=slow_heartbeats,
            ),
            self.answer,
            NodeOptions(timing=TIMING, rng=Random(1)),
            connect=partial(self.network.connect, source=address),
            serve=self.network.serve,
        )
        self.nodes.append(node)
        await node.start()

    async def answer(self, _channel, _message):
        return Ack()

    async def connect(self):
        self.channel = await self.nodes[0].dial(B)
        await asyncio.sleep(0.1)
        (self.back,) = self.nodes[1].channels

    async def seconds_until_silent(self, number):
        """Wait until a node has dropped a silent link; return the seconds."""
        events = self.nodes[number].counters.events
        return await seconds_until(lambda: events['links_silent'])

    def heartbeats(self):
        return [node.counters.sent.heartbeats for node in self.nodes]


@asynccontextmanager
async def linked_pair(supported=(True, True)):
    pair = Pair()
    try:
        for address, support in zip((A, B), supported, strict=True):
            await pair.start(address, support)
        await pair.connect()
        yield pair
    finally:
        for node in pair.nodes:
            await node.stop(drain=False)


async def seconds_until(condition, limit_s=10):
    step_s = 0.01
    for step in range(round(limit_s / step_s)):
        if condition():
            return step * step_s
        await asyncio.sleep(step_s)
    raise AssertionError(f'condition not met within {limit_s} s')


class TestHeartbeats:
    @pytest.mark.parametrize(
        ('supported', 'expected'),
        [((True, True), 10 / 0.6), ((True, False), 10 / 0.15)],
    )
    async def test_idle_link_has_few_heartbeats(self, supported, expected):
        # Guards against a cost of idle links that grows with the fleet, and
        # against a peer of an older build that would drop a slow link.
        async with linked_pair(supported) as pair:
            await asyncio.sleep(1)
            before = pair.heartbeats()
            await asyncio.sleep(10)
            for earlier, later in zip(before, pair.heartbeats(), strict=True):
                assert later - earlier == pytest.approx(expected, abs=2)
            assert pair.channel.links
            assert not pair.channel.suspect
            assert not pair.nodes[0].counters.events['links_silent']

    async def test_link_with_work_has_all_heartbeats(self):
        # Guards against the loss of a front whose runs end too late.
        async with linked_pair() as pair:
            await asyncio.sleep(1)
            pair.channel.has_work = pair.back.has_work = lambda: True
            await pair.channel.request(Ack(), 1)
            before = pair.heartbeats()
            await asyncio.sleep(3)
            for earlier, later in zip(before, pair.heartbeats(), strict=True):
                assert later - earlier == pytest.approx(20, abs=2)

    async def test_link_is_slow_again_after_a_request(self):
        async with linked_pair() as pair:
            await pair.channel.request(Ack(), 1)
            await asyncio.sleep(1)
            before = pair.heartbeats()
            await asyncio.sleep(6)
            assert pair.heartbeats()[0] - before[0] <= 11


class TestLoss:
    async def test_loss_is_noticed_soon_while_there_is_work(self):
        # Guards against runs of a lost front that overlap with those of the
        # job's next submission.
        async with linked_pair() as pair:
            await asyncio.sleep(2)
            pair.channel.has_work = pair.back.has_work = lambda: True
            await pair.channel.request(Ack(), 1)
            for connection in pair.network.connections:
                connection.silence()
            elapsed_s = await pair.seconds_until_silent(1)
            assert elapsed_s <= TIMING.silence_s + 0.1

    async def test_request_shows_that_the_peer_of_an_idle_link_is_lost(self):
        # Guards against orders that go to a silent worker for as long as the
        # slow heartbeats allow.
        async with linked_pair() as pair:
            await asyncio.sleep(2)
            for connection in pair.network.connections:
                connection.silence()
            await asyncio.sleep(0.1)
            assert not pair.channel.suspect
            request = asyncio.create_task(pair.channel.request(Ack(), 0.5))
            elapsed_s = await seconds_until(lambda: pair.channel.suspect)
            assert elapsed_s == pytest.approx(TIMING.suspect_s, abs=0.05)
            elapsed_s += await pair.seconds_until_silent(0)
            assert elapsed_s <= TIMING.silence_s + 0.1
            # The node has dialed again, and the request was repeated.
            assert await request == Ack()

    async def test_lost_peer_of_an_idle_link_is_noticed(self):
        async with linked_pair() as pair:
            await asyncio.sleep(2)
            for connection in pair.network.connections:
                connection.silence()
            elapsed_s = await pair.seconds_until_silent(0)
            assert elapsed_s <= SLOW_SILENCE_S + 0.1


class TestNonsense:
    @pytest.mark.parametrize('slowdown', [inf, nan, -1.0, 0.0, 1e9])
    async def test_nonsensical_slowdown_does_not_hide_a_silent_peer(
        self, slowdown
    ):
        # Guards against a malformed heartbeat after which a peer can be silent
        # for ever.
        async with linked_pair() as pair:
            pair.back.notify(Heartbeat(0, slowdown))
            await asyncio.sleep(0.01)
            (link,) = pair.channel.links
            assert 1 <= link.peer_slowdown <= MAX_SLOWDOWN
            for connection in pair.network.connections:
                connection.silence()
            await pair.seconds_until_silent(0)


class TestRelease:
    async def test_peer_of_an_older_build_gets_no_farewell(self):
        # Guards against a message that the peer cannot decode.
        async with linked_pair((True, False)) as pair:
            pair.nodes[0].release(pair.channel)
            await asyncio.sleep(0.05)
            assert not pair.nodes[0].counters.sent.messages['bye']
            assert not pair.nodes[1].counters.events['protocol_errors']

    async def test_released_link_is_not_opened_again(self):
        # Guards against links that one end closes and the other opens in turn.
        async with linked_pair() as pair:
            pair.nodes[0].release(pair.channel)
            await asyncio.sleep(5)
            assert not pair.nodes[0].channels
            assert not pair.nodes[1].channels
            assert not pair.nodes[1].all_dialers
            with pytest.raises(PeerLost):
                await pair.channel.request(Ack(), 1)

    async def test_released_peer_can_be_dialed_again(self):
        async with linked_pair() as pair:
            pair.nodes[0].release(pair.channel)
            await asyncio.sleep(1)
            channel = await pair.nodes[0].dial(B)
            assert await channel.request(Ack(), 1) == Ack()
            # The new link is kept like any other.
            pair.network.connections[-1].reset()
            await asyncio.sleep(1)
            assert channel.links

    async def test_peer_that_is_gone_is_not_dialed_after_its_release(self):
        # Guards against dialing a removed machine for ten minutes.
        async with linked_pair() as pair:
            for connection in pair.network.connections:
                connection.silence()
            await asyncio.sleep(2 * SLOW_SILENCE_S)
            pair.nodes[0].release(pair.channel)
            await asyncio.sleep(0.1)
            assert not pair.nodes[0].all_dialers
            assert not pair.nodes[0].channels


class TestSuspension:
    def test_suspension_is_counted_once(self):
        # Guards against a link that misses a suspension which another one of
        # the process has noticed, or drops again for the same one.
        now = [0.0]
        monitor = SuspensionMonitor(lambda: now[0], 1, 0.15)
        now[0] = 0.9
        assert monitor.check() == 0
        now[0] = 4.0
        assert [monitor.check() for _ in range(3)] == [1, 1, 1]
        assert monitor.last_suspension_s == pytest.approx(3.1)

    async def test_every_link_is_dropped_after_a_suspension(self):
        async with linked_pair() as pair:
            await asyncio.sleep(2)
            pair.nodes[1].suspensions.count += 1
            events = pair.nodes[1].counters.events
            elapsed_s = await seconds_until(lambda: events['links_stale'])
            assert elapsed_s <= SLOWDOWN * TIMING.heartbeat_s + 0.1
            await asyncio.sleep(5)
            assert events['links_stale'] == 1
