"""Detection of silent peers by slow processes and idle links."""

import asyncio

import pytest

from limpetlanding.platform.roles import LINK_TIMING
from limpetlanding.wire import PROTOCOL_VERSION, Hello, Node, NodeOptions
from limpetlanding.wire.messages import Heartbeat
from limpetlanding.wire.tests.faulty_network import FaultyNetwork

ADDRESSES = {'a': '10.0.0.1:7000', 'b': '10.0.0.2:7000'}
LATE_S = (0, 0.08, 0.1, 0.15, 0.2, 0.25)
# A client submits its job again 1.3 s after its connection broke; the stop
# takes 0.05 s.
MAX_DETECTION_S = 1.25


async def ignore(_channel, _message):
    return None


def new_node(network, name):
    hello = Hello(
        PROTOCOL_VERSION, 'x', name, f'{name}-1', 'd', ADDRESSES[name], ''
    )
    options = NodeOptions(timing=LINK_TIMING)
    return Node(
        hello, ignore, options, connect=network.connect, serve=network.serve
    )


async def stop(network, nodes):
    for node in nodes:
        await node.stop(drain=False)
    for connection in network.connections:
        connection.reset()
        for writer in connection.writers:
            writer.close()
    # Lets the closed transports finish before the loop is closed.
    await asyncio.sleep(0.01)


class LateLink:
    """Runs each `_tick` of a link late, as in a slow process."""

    def __init__(self, link, late_s):
        self.tick = link._tick
        self.loop = link.loop
        self.late_s = late_s
        link._tick = self.run

    def run(self):
        self.loop.call_later(self.late_s, self.tick)


class TestSlowProcess:
    """Guards against a slow process that notices a lost peer too late."""

    @pytest.mark.parametrize('late_s', LATE_S)
    async def test_silent_peer_is_noticed_in_time(self, late_s):
        network = FaultyNetwork()
        nodes = [new_node(network, name) for name in ADDRESSES]
        loop = asyncio.get_running_loop()
        down = asyncio.Event()
        nodes[1].on_peer_down = lambda _: down.set()
        for node in nodes:
            await node.start()
        await nodes[0].dial(ADDRESSES['b'])
        await asyncio.sleep(0.1)
        (channel,) = nodes[1].channels
        LateLink(channel.links[0], late_s)
        await asyncio.sleep(1)
        for address in ADDRESSES.values():
            network.unreachable.add(address)
        network.connections[0].silence()
        lost_at = loop.time()
        async with asyncio.timeout(10):
            await down.wait()
        detection_s = loop.time() - lost_at
        await stop(network, nodes)
        assert detection_s <= MAX_DETECTION_S, detection_s


class TestTwoLinks:
    """Guards against an idle second link that hides a lost peer.

    Both ends have dialed. A request ends the slow heartbeats of one link only.
    """

    async def test_peer_lost_after_the_end_of_an_idle_time(self):
        network = FaultyNetwork()
        nodes = [new_node(network, name) for name in ADDRESSES]
        loop = asyncio.get_running_loop()
        down = asyncio.Event()
        nodes[1].on_peer_down = lambda _: down.set()
        for node in nodes:
            node.hello.slow_heartbeats = True
            await node.start()
        await asyncio.gather(
            nodes[0].dial(ADDRESSES['b']), nodes[1].dial(ADDRESSES['a'])
        )
        await asyncio.sleep(3)
        (channel,) = nodes[0].channels
        assert len(channel.links) == 2
        for node in nodes:
            for peer in node.channels:
                peer.has_work = lambda: True
        await channel.request(Heartbeat(0, 1.0), 1)
        for address in ADDRESSES.values():
            network.unreachable.add(address)
        for connection in network.connections:
            connection.silence()
        lost_at = loop.time()
        async with asyncio.timeout(10):
            await down.wait()
        detection_s = loop.time() - lost_at
        await stop(network, nodes)
        assert detection_s <= MAX_DETECTION_S, detection_s
