import asyncio

import pytest

from limpetlanding.wire import (
    Ack,
    Hello,
    LocateCoordinator,
    Located,
    Node,
    RemoteError,
)


def hello(node, port, incarnation=''):
    return Hello(
        1,
        'agent',
        node,
        incarnation or f'{node}-1',
        'd1',
        f'127.0.0.1:{port}' if port else '',
        '',
    )


async def answer(channel, message):
    if isinstance(message, LocateCoordinator):
        return Located(message.incarnation, True)
    if isinstance(message, Ack):
        raise ValueError('bad ack')
    return None


class TestNode:
    async def test_requests_both_ways_over_one_dialed_link(self):
        # Guards against a peer that is reachable only from the dialing side.
        first, second = (
            Node(hello('a', 7001), answer),
            Node(hello('b', 7002), answer),
        )
        seen = []
        second.on_peer_up = seen.append
        await first.start()
        await second.start()
        channel = await first.dial('127.0.0.1:7002')
        assert await channel.request(LocateCoordinator('x'), 1) == Located(
            'x', True
        )
        (back,) = second.channels
        assert seen == [back]
        assert await back.request(LocateCoordinator('y'), 1) == Located(
            'y', True
        )
        await first.stop()
        await second.stop()

    async def test_failing_handler_is_reported_with_step_and_peer(self):
        # Guards against a requester that waits for a failed handler.
        first, second = (
            Node(hello('a', 7001), answer),
            Node(hello('b', 7002), answer),
        )
        await first.start()
        await second.start()
        channel = await first.dial('127.0.0.1:7002')
        with pytest.raises(RemoteError) as caught:
            await channel.request(Ack(), 1)
        assert (caught.value.step, caught.value.peer) == ('ack', 'b')
        await first.stop()
        await second.stop()

    async def test_links_stay_up_while_idle(self):
        first, second = (
            Node(hello('a', 7001), answer),
            Node(hello('b', 7002), answer),
        )
        await first.start()
        await second.start()
        channel = await first.dial('127.0.0.1:7002')
        await asyncio.sleep(20)
        assert not channel.suspect
        assert not first.counters.events
        await first.stop()
        await second.stop()
