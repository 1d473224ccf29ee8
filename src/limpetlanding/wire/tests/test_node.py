import asyncio
from contextlib import asynccontextmanager
from functools import partial
from random import Random

import pytest

from limpetlanding.errors import PeerLost, RequestTimeout
from limpetlanding.wire import (
    Ack,
    CancelJob,
    Hello,
    LocateCoordinator,
    Located,
    Node,
    NodeOptions,
    PlaceAgain,
    RemoteError,
    Timing,
)
from limpetlanding.wire.tests.faulty_network import FaultyNetwork

A, B = '10.0.0.1:7000', '10.0.0.2:7000'


class Answering:
    """Handler that records what it was asked and answers after a delay."""

    def __init__(self):
        self.asked = []
        self.delay_s = 0
        self.finished = 0

    async def __call__(self, channel, message):
        self.asked.append(message)
        await asyncio.sleep(self.delay_s)
        self.finished += 1
        if isinstance(message, LocateCoordinator):
            return Located(message.incarnation, True)
        if isinstance(message, CancelJob):
            raise ValueError('no such job')
        return None


class Cluster:
    """Nodes on one faulty network."""

    def __init__(self):
        self.network = FaultyNetwork()
        self.nodes = []

    async def node(self, address, incarnation='1', **options):
        node = Node(
            Hello(1, 'agent', address, incarnation, 'd', address, ''),
            Answering(),
            NodeOptions(rng=Random(len(self.nodes)), **options),
            connect=partial(self.network.connect, source=address),
            serve=self.network.serve,
        )
        node.changes = []
        node.on_peer_up = lambda c: node.changes.append(
            ('up', c.peer.incarnation)
        )
        node.on_peer_down = lambda c: node.changes.append(
            ('down', c.peer.incarnation)
        )
        self.nodes.append(node)
        await node.start()
        return node

    async def pair(self, **options):
        first = await self.node(A, **options)
        second = await self.node(B, **options)
        return first, second, await first.dial(B)

    async def crash(self, node):
        """Stop a node without a word: its connections break."""
        self.network.kill(node.hello.address)
        for connection in self.network.connections:
            connection.reset()
        await node.stop(drain=False)


@asynccontextmanager
async def run_cluster():
    cluster = Cluster()
    try:
        yield cluster
    finally:
        for node in cluster.nodes:
            await node.stop(drain=False)


def question(text='x'):
    return LocateCoordinator(text)


class TestRequests:
    async def test_both_sides_ask_over_one_dialed_link(self):
        # Guards against a peer that is reachable only from the dialing side.
        async with run_cluster() as cluster:
            first, second, there = await cluster.pair()
            (back,) = second.channels
            assert await there.request(question('x'), 1) == Located('x', True)
            assert await back.request(question('y'), 1) == Located('y', True)
            assert len(cluster.network.connections) == 1
            assert first.changes == second.changes == [('up', '1')]

    async def test_crossed_replies_reach_their_own_request(self):
        # Guards against an answer that is delivered to another request.
        async with run_cluster() as cluster:
            _, second, channel = await cluster.pair()
            delays = iter([0.3, 0.1, 0.2])

            async def answer(_channel, message):
                await asyncio.sleep(next(delays))
                return Located(message.incarnation, True)

            second.channels[0].handler = answer
            replies = await asyncio.gather(
                *[channel.request(question(text), 1) for text in 'abc']
            )
            assert [reply.incarnation for reply in replies] == list('abc')

    async def test_late_reply_is_dropped_and_counted(self):
        # Guards against a late reply that answers the next request.
        async with run_cluster() as cluster:
            first, second, channel = await cluster.pair()
            second.handler.delay_s = 1
            with pytest.raises(RequestTimeout, match='step locate, peer 10'):
                await channel.request(question('late'), 0.5)
            second.handler.delay_s = 0
            reply = await channel.request(question('next'), 1)
            assert reply.incarnation == 'next'
            await asyncio.sleep(1)
            assert first.counters.events['replies_dropped'] == 1

    async def test_failing_handler_is_reported_with_step_and_peer(self):
        # Guards against a requester that waits for a failed handler.
        async with run_cluster() as cluster:
            _, _, channel = await cluster.pair()
            with pytest.raises(RemoteError, match='no such job') as caught:
                await channel.request(CancelJob('j', 'c'), 1)
            assert (caught.value.step, caught.value.peer) == ('cancel', B)

    async def test_cancelled_handler_is_reported(self):
        # Guards against a requester that waits for a cancelled handler.
        async with run_cluster() as cluster:
            _, second, channel = await cluster.pair()
            second.handler.delay_s = 60
            asked = asyncio.create_task(channel.request(question(), 30))
            await asyncio.sleep(1)
            for served in second.channels[0].served_requests.values():
                served.task.cancel()
            with pytest.raises(RemoteError, match='Cancelled'):
                await asked

    async def test_reply_beyond_the_frame_limit_becomes_an_error(self):
        # Guards against a requester that waits for a reply that cannot be
        # sent.
        async with run_cluster() as cluster:
            _, second, channel = await cluster.pair()

            async def answer(_channel, _message):
                return Ack(detail='x' * 5_000_000)

            second.channels[0].handler = answer
            with pytest.raises(RemoteError, match='exceeds'):
                await channel.request(question(), 1)

    async def test_dialing_oneself_works(self):
        # Guards against mixed-up ends when both are in one process.
        async with run_cluster() as cluster:
            node = await cluster.node(A)
            channel = await node.dial(A)
            replies = await asyncio.gather(
                *[channel.request(question(text), 1) for text in 'abc']
            )
            assert [reply.incarnation for reply in replies] == list('abc')

    async def test_messages_and_bytes_are_counted_by_type(self):
        async with run_cluster() as cluster:
            first, second, channel = await cluster.pair()
            await channel.request(question(), 1)
            await asyncio.sleep(9.9)  # Not while a heartbeat is under way.
            sent, received = first.counters.sent, second.counters.received
            assert sent.messages == {'hello': 1, 'locate': 1}
            assert sent.messages == received.messages
            assert sent.byte_counts == received.byte_counts
            assert 19 <= sent.heartbeats <= 22
            assert sent.heartbeat_bytes == received.heartbeat_bytes


class TestSilence:
    @pytest.mark.parametrize(
        ('to_server', 'to_client'),
        [(True, False), (False, True), (True, True)],
    )
    @pytest.mark.parametrize('from_dialer', [True, False])
    async def test_request_moves_to_a_new_link(
        self, to_server, to_client, from_dialer
    ):
        # Guards against requests that wait for ever on a connection that
        # went silent while new ones work.
        async with run_cluster() as cluster:
            _, second, channel = await cluster.pair()
            if not from_dialer:
                (channel,) = second.channels
            await asyncio.sleep(5)
            cluster.network.connections[0].silence(to_server, to_client)
            started = channel.loop.time()
            assert await channel.request(question('x'), 10)
            # Silence is noticed by the side that hears nothing; its
            # heartbeat interval adds to the 1.5 s at most once.
            assert channel.loop.time() - started <= 1.6
            assert all(n.changes == [('up', '1')] for n in cluster.nodes)

    async def test_reply_does_not_take_a_link_that_went_silent(self):
        # Guards against a reply that is lost on one of two links, while the
        # requester sees the link of its request alive and repeats nothing.
        async with run_cluster() as cluster:
            first, second = await cluster.node(A), await cluster.node(B)
            there, back = await asyncio.gather(first.dial(B), second.dial(A))
            used, other = (
                next(
                    connection
                    for connection in cluster.network.connections
                    if link.writer in connection.writers
                )
                for link in reversed(there.links)
            )
            back.links.sort(key=lambda link: link.writer in other.writers)
            back.handler.delay_s = 0.5
            asked = asyncio.create_task(there.request(question('x'), 10))
            await asyncio.sleep(0.1)
            assert used is not other
            other.silence()
            assert (await asked).incarnation == 'x'

    async def test_paused_peer_answers_when_it_resumes(self):
        # Guards against requests that are lost, or answered twice, when a
        # paused process finds old and new connections at once.
        async with run_cluster() as cluster:
            first, _, channel = await cluster.pair()
            await asyncio.sleep(1)
            with cluster.network.pause(B):
                asked = [
                    asyncio.create_task(channel.request(question(text), 60))
                    for text in 'abc'
                ]
                await asyncio.sleep(10)
                assert channel.suspect
                assert first.changes == [('up', '1'), ('down', '1')]
            replies = await asyncio.gather(*asked)
            assert [reply.incarnation for reply in replies] == list('abc')
            await asyncio.sleep(5)
            assert not channel.suspect
            assert first.counters.events['replies_dropped'] == 0

    async def test_own_pause_is_not_taken_for_silence_of_the_peers(self):
        # Guards against a process that drops all its links, or places
        # nothing, because it stood still itself.
        async with run_cluster() as cluster:
            first, second, channel = await cluster.pair()
            await asyncio.sleep(5)
            channel.loop._selector.clock.advance(30)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert not channel.suspect
            await asyncio.sleep(5)
            assert not first.counters.events
            assert not second.counters.events

    async def test_silence_is_noticed_by_a_process_that_is_always_late(self):
        # Guards against an overloaded process that never notices a silent
        # link.
        async with run_cluster() as cluster:
            first, _, channel = await cluster.pair()
            await asyncio.sleep(5)
            cluster.network.connections[0].silence()
            for _ in range(12):
                channel.loop._selector.clock.advance(0.3)
                await asyncio.sleep(0.01)
            assert first.counters.events['links_silent'] == 1

    async def test_silent_peer_is_suspect_after_one_second(self):
        # Guards against placements on a peer that does not answer.
        async with run_cluster() as cluster:
            _, _, channel = await cluster.pair()
            await asyncio.sleep(5)
            assert not channel.suspect
            cluster.network.unreachable.add(B)
            cluster.network.connections[0].silence()
            await asyncio.sleep(1.01)
            assert channel.suspect

    async def test_request_waits_for_a_peer_that_is_down(self):
        # Guards against giving up on a peer that is only paused.
        async with run_cluster() as cluster:
            first, second, channel = await cluster.pair()
            cluster.network.unreachable.update({A, B})
            cluster.network.connections[0].silence()
            asked = asyncio.create_task(channel.request(question('x'), 60))
            await asyncio.sleep(10)
            assert first.changes == [('up', '1'), ('down', '1')]
            assert not asked.done()
            cluster.network.unreachable.clear()
            assert (await asked).incarnation == 'x'
            assert first.changes[2:] == [('up', '1')]
            assert second.handler.asked == [question('x')]

    async def test_heartbeats_keep_an_idle_link(self):
        async with run_cluster() as cluster:
            first, second, channel = await cluster.pair()
            await asyncio.sleep(60)
            assert not channel.suspect
            assert not first.counters.events
            assert not second.counters.events

    async def test_digest_travels_on_a_busy_link(self):
        # Guards against a configuration change that is not noticed because
        # traffic leaves no gap for heartbeats.
        async with run_cluster() as cluster:
            first, second, channel = await cluster.pair()
            seen = []
            second.on_heartbeat = lambda _channel, digest: seen.append(digest)
            first.config_digest = lambda: 7
            for _ in range(40):
                channel.notify(Ack())
                await asyncio.sleep(0.1)
            assert 2 <= seen.count(7) <= 4


class TestStandstill:
    async def test_what_arrived_meanwhile_is_dropped(self):
        # Guards against orders that a suspended process carries out after
        # their sender has given them to another one.
        still_s = 0
        async with run_cluster() as cluster:
            first = await cluster.node(A)
            loop = asyncio.get_running_loop()
            second = await cluster.node(
                B,
                timing=Timing(max_suspension_s=1),
                clock=lambda: loop.time() + still_s,
            )
            channel = await first.dial(B)
            (old,) = channel.links
            still_s = 2
            with pytest.raises(RequestTimeout):
                await channel.request(question(), 0.01)
            await asyncio.sleep(1)
            assert second.counters.events['links_stale'] == 1
            assert not second.handler.asked
            assert old not in channel.links
            assert await channel.request(question(), 1)

    async def test_short_standstill_drops_nothing(self):
        still_s = 0
        async with run_cluster() as cluster:
            first = await cluster.node(A)
            loop = asyncio.get_running_loop()
            await cluster.node(
                B,
                timing=Timing(max_suspension_s=1),
                clock=lambda: loop.time() + still_s,
            )
            channel = await first.dial(B)
            still_s = 0.9
            assert await channel.request(question(), 0.01)


class TestRepetition:
    async def test_running_request_is_joined_and_answered_once(self):
        # Guards against a second start of work that a repeated request
        # finds running.
        async with run_cluster() as cluster:
            first, second, channel = await cluster.pair()
            second.handler.delay_s = 2
            asked = asyncio.create_task(channel.request(question('x'), 10))
            await asyncio.sleep(1)
            cluster.network.connections[0].reset()
            assert (await asked).incarnation == 'x'
            assert second.handler.asked == [question('x')]
            assert first.counters.events['requests_repeated'] == 1
            assert second.counters.events['requests_joined'] == 1
            assert first.counters.events['replies_dropped'] == 0

    async def test_lost_reply_is_made_again(self):
        # Guards against a requester that waits for a reply that was lost
        # with its link.
        async with run_cluster() as cluster:
            first, second, channel = await cluster.pair()
            cluster.network.connections[0].silence(to_server=False)
            assert await channel.request(question('x'), 10)
            assert second.handler.asked == [question('x')] * 2
            assert first.counters.events['replies_dropped'] == 0

    async def test_request_before_the_link_is_sent_when_it_is_there(self):
        async with run_cluster() as cluster:
            _, _, channel = await cluster.pair()
            cluster.network.connections[0].reset()
            await asyncio.sleep(0)
            assert await channel.request(question('x'), 5)

    async def test_repeated_deadline_is_what_is_left(self):
        # Guards against a relative deadline that starts again with each
        # repetition.
        async with run_cluster() as cluster:
            _, second, channel = await cluster.pair()
            await asyncio.sleep(1)
            cluster.network.unreachable.update({A, B})
            cluster.network.connections[0].silence()
            message = PlaceAgain('j', 'c', [], [], deadline_ms=8000)
            asked = asyncio.create_task(channel.request(message, 8))
            await asyncio.sleep(3)
            cluster.network.unreachable.clear()
            await asked
            (seen,) = second.handler.asked
            assert 2000 < seen.deadline_ms <= 5000
            assert message.deadline_ms == 8000


class TestIncarnations:
    async def test_restart_at_the_address_fails_old_requests(self):
        # Guards against requests for an incarnation that cannot answer any
        # more, and against handing them to its successor.
        async with run_cluster() as cluster:
            first, second, channel = await cluster.pair()
            first.keep_dialing(B)
            second.handler.delay_s = 100
            asked = asyncio.create_task(channel.request(question(), 60))
            await asyncio.sleep(1)
            await cluster.crash(second)
            third = await cluster.node(B, '2')
            with pytest.raises(PeerLost, match='step locate, peer 10'):
                await asked
            assert channel.closed.is_set()
            assert third.handler.asked == []
            assert first.changes == [('up', '1'), ('down', '1'), ('up', '2')]
            with pytest.raises(PeerLost):
                await channel.request(question(), 1)
            (current,) = first.channels
            assert await current.request(question(), 1)

    async def test_accepting_side_learns_of_the_restart(self):
        # Guards against an entry that waits for an agent which dialed it
        # and then restarted.
        async with run_cluster() as cluster:
            first, second, _ = await cluster.pair()
            (back,) = second.channels
            first.handler.delay_s = 100
            asked = asyncio.create_task(back.request(question(), 60))
            await asyncio.sleep(1)
            await cluster.crash(first)
            third = await cluster.node(A, '2')
            third.keep_dialing(B)
            with pytest.raises(PeerLost):
                await asked
            assert back.loop.time() < 5

    @pytest.mark.parametrize('dialed', [True, False])
    async def test_refused_connections_prove_that_the_peer_is_gone(
        self, dialed
    ):
        # Guards against waiting for the timeout of every request to a dead
        # process, on either side of the former link.
        async with run_cluster() as cluster:
            first, second, channel = await cluster.pair()
            if not dialed:
                (channel,), second = second.channels, first
            second.handler.delay_s = 100
            asked = asyncio.create_task(channel.request(question(), 60))
            await asyncio.sleep(1)
            await cluster.crash(second)
            crashed_at = channel.loop.time()
            with pytest.raises(PeerLost, match='refuses'):
                await asked
            assert 4 <= channel.loop.time() - crashed_at <= 7

    async def test_short_refusal_proves_nothing(self):
        async with run_cluster() as cluster:
            first, _, channel = await cluster.pair()
            cluster.network.refused.update({A, B})
            cluster.network.connections[0].reset()
            await asyncio.sleep(3)
            cluster.network.refused.clear()
            assert await channel.request(question(), 5)
            assert first.changes == [('up', '1')]

    async def test_peer_given_up_wrongly_is_taken_back(self):
        # Guards against shutting out a live peer whose address refused
        # connections for a while, and against request numbers that start
        # again and meet requests which the peer still serves.
        async with run_cluster() as cluster:
            first, second, channel = await cluster.pair()
            second.handler.delay_s = 20
            asked = asyncio.create_task(channel.request(question('old'), 60))
            await asyncio.sleep(0.1)
            cluster.network.refused.update({A, B})
            cluster.network.connections[0].reset()
            with pytest.raises(PeerLost):
                await asked
            cluster.network.refused.clear()
            again = await first.dial(B)
            assert again is not channel
            second.handler.delay_s = 1
            reply = await again.request(question('new'), 5)
            assert reply.incarnation == 'new'

    async def test_late_hello_does_not_displace_a_live_peer(self):
        # Guards against a delayed frame of an earlier process that makes
        # its live successor look gone.
        async with run_cluster() as cluster:
            first, second = await cluster.node(A), await cluster.node(B, '2')
            channel = await second.dial(A)
            await asyncio.sleep(1)
            ghost = Node(
                Hello(1, 'agent', B, '1', 'd', B, ''),
                Answering(),
                connect=cluster.network.connect,
            )
            await ghost.dial(A)
            await asyncio.sleep(0.5)
            await ghost.stop(drain=False)
            await asyncio.sleep(1)
            assert ('down', '2') not in first.changes
            assert first.changes[-1] == ('down', '1')
            assert await channel.request(question(), 1)

    async def test_peers_behind_one_address_do_not_replace_each_other(self):
        # Guards against live peers taken for gone because a load balancer
        # led to another one.
        shared = '10.0.0.99:7000'
        async with run_cluster() as cluster:
            first = await cluster.node(A)
            others = [await cluster.node(f'10.0.1.{n}:7000') for n in (1, 2)]
            first.keep_dialing(shared)
            for other in others:
                address = other.hello.address
                listener = cluster.network.listeners[address]
                cluster.network.listeners[shared] = listener
                for connection in cluster.network.connections_to(shared):
                    connection.reset()
                await asyncio.sleep(0.5)
            await asyncio.sleep(3)
            assert first.changes == [('up', '1'), ('up', '1')]
            for channel in first.channels:
                assert await channel.request(question(), 1)

    async def test_dial_tells_that_another_incarnation_is_there(self):
        async with run_cluster() as cluster:
            first, _, _ = await cluster.pair()
            with pytest.raises(PeerLost, match='another incarnation'):
                await first.dial(B, incarnation='0')

    async def test_dial_to_nobody_ends(self):
        # Guards against a caller that waits for ever, and a dialer that
        # nobody needs any more.
        async with run_cluster() as cluster:
            first = await cluster.node(A)
            with pytest.raises(PeerLost, match='refused'):
                await first.dial(B, timeout_s=20)
            cluster.network.unreachable.add(B)
            with pytest.raises(RequestTimeout):
                await first.dial(B, timeout_s=2)
            await asyncio.sleep(10)
            assert not first.all_dialers

    async def test_forgotten_after_a_long_time(self):
        # Guards against memory that grows with every peer ever seen.
        async with run_cluster() as cluster:
            first, _, _ = await cluster.pair()
            await asyncio.sleep(1)
            cluster.network.unreachable.update({A, B})
            cluster.network.connections[0].reset()
            await asyncio.sleep(700)
            assert not first.channels
            assert not first.all_dialers
            assert not first.peers.channels_by_address


class TestDialing:
    async def test_crossed_dials_share_one_channel(self):
        # Guards against two channels for one peer when both sides dial.
        async with run_cluster() as cluster:
            first, second = await cluster.node(A), await cluster.node(B)
            there, back = await asyncio.gather(first.dial(B), second.dial(A))
            assert first.channels == [there]
            assert second.channels == [back]
            assert await there.request(question(), 1)
            for connection in cluster.network.connections[:-1]:
                connection.reset()
            assert await back.request(question(), 1)
            assert await there.request(question(), 1)

    async def test_peer_that_refuses_every_link_is_dialed_slowly(self):
        # Guards against a tight loop of connections.
        async with run_cluster() as cluster:
            first = await cluster.node(A)

            async def hang_up(_reader, writer):
                writer.close()

            await cluster.network.serve(hang_up, '10.0.0.9', 7000)
            first.keep_dialing('10.0.0.9:7000')
            await asyncio.sleep(60)
            assert 60 <= cluster.network.attempts['10.0.0.9:7000'] <= 130

    async def test_link_dropped_early_is_dialed_slowly(self):
        # Guards against a tight loop with a peer that breaks every link
        # after the first frames.
        async with run_cluster() as cluster:
            first, _, _ = await cluster.pair()
            first.keep_dialing(B)
            for _ in range(300):
                cluster.network.connections[-1].reset()
                await asyncio.sleep(0.1)
            assert cluster.network.attempts[B] < 70

    async def test_waits_for_an_address_that_starts_later(self):
        async with run_cluster() as cluster:
            first = await cluster.node(A)
            first.keep_dialing(B)
            await asyncio.sleep(100)
            second = await cluster.node(B)
            await asyncio.sleep(2)
            assert second.changes == [('up', '1')]

    async def test_stopped_dialing_still_proves_that_the_peer_is_gone(self):
        # Guards against requests that wait for a dead peer only because
        # nobody dials it any more.
        async with run_cluster() as cluster:
            first, second, channel = await cluster.pair()
            second.handler.delay_s = 100
            asked = asyncio.create_task(channel.request(question(), 60))
            await asyncio.sleep(1)
            first.stop_dialing(B)
            await cluster.crash(second)
            await asyncio.sleep(1.5)
            assert not first.dialers
            first.stop_dialing(B)
            with pytest.raises(PeerLost, match='refuses'):
                await asked

    async def test_dial_does_not_wait_for_the_peer_to_dial(self):
        # Guards against a request delayed by the head start that the peer
        # has after a lost link.
        async with run_cluster() as cluster:
            _, second, _ = await cluster.pair()
            await asyncio.sleep(5)
            cluster.network.refused.add(B)
            cluster.network.connections[0].reset()
            await asyncio.sleep(0.1)
            started = asyncio.get_running_loop().time()
            await second.dial(A)
            assert asyncio.get_running_loop().time() - started < 0.1

    async def test_stopped_dialing_keeps_the_link(self):
        async with run_cluster() as cluster:
            first, _, channel = await cluster.pair()
            assert first.newest_by_address == {B: channel}
            first.stop_dialing(B)
            await asyncio.sleep(1)
            assert await channel.request(question(), 1)
            assert not first.dialers

    async def test_failing_callback_does_not_cost_the_link(self):
        async with run_cluster() as cluster:
            first, second = await cluster.node(A), await cluster.node(B)
            second.on_peer_up = second.on_heartbeat = None
            channel = await first.dial(B)
            await asyncio.sleep(5)
            assert await channel.request(question(), 1)
            assert set(second.counters.events) == {'handler_failures'}
            assert len(cluster.network.connections) == 1


class TestDelay:
    async def test_frames_are_delayed_between_domains_in_order(self):
        # Guards against delays that overtake one another.
        async with run_cluster() as cluster:

            def delay_ms(_first, _second):
                return 1.5

            _, second, channel = await cluster.pair(emulated_delay_ms=delay_ms)
            started = channel.loop.time()
            for number in range(50):
                channel.notify(Ack(detail=str(number)))
            await channel.request(question(), 1)
            elapsed_s = channel.loop.time() - started
            assert elapsed_s == pytest.approx(0.003, abs=0.0005)
            details = [m.detail for m in second.handler.asked[:-1]]
            assert details == [str(number) for number in range(50)]


class TestStop:
    async def test_replies_in_progress_are_sent_first(self):
        # Guards against a planned stop that loses answers.
        async with run_cluster() as cluster:
            _, second, channel = await cluster.pair()
            second.handler.delay_s = 2
            asked = [
                asyncio.create_task(channel.request(question(str(n)), 30))
                for n in range(200)
            ]
            await asyncio.sleep(1)
            await second.stop(drain=True)
            replies = await asyncio.gather(*asked)
            assert [int(r.incarnation) for r in replies] == list(range(200))

    async def test_large_replies_are_sent_before_the_link_closes(self):
        # Guards against data left in the buffers of a closed connection.
        async with run_cluster() as cluster:
            _, second, channel = await cluster.pair()

            async def answer(_channel, _message):
                await asyncio.sleep(1)
                return Ack(detail='x' * 3_000_000)

            second.channels[0].handler = answer
            asked = [
                asyncio.create_task(channel.request(question(), 30))
                for _ in range(10)
            ]
            await asyncio.sleep(0.5)
            await second.stop(drain=True)
            replies = await asyncio.gather(*asked)
            assert {len(reply.detail) for reply in replies} == {3_000_000}

    async def test_request_during_the_stop_is_answered_with_an_error(self):
        async with run_cluster() as cluster:
            _, second, channel = await cluster.pair()
            second.handler.delay_s = 2
            asked = asyncio.create_task(channel.request(question(), 30))
            await asyncio.sleep(1)
            stopping = asyncio.create_task(second.stop(drain=True))
            await asyncio.sleep(0.1)
            with pytest.raises(RemoteError, match='stopping'):
                await channel.request(question(), 30)
            assert await asked
            await stopping

    async def test_stop_ends_although_a_handler_hangs(self):
        # Guards against a process that never exits.
        async with run_cluster() as cluster:
            first, second, channel = await cluster.pair()
            second.handler.delay_s = 1000
            asked = asyncio.create_task(channel.request(question(), 900))
            await asyncio.sleep(1)
            await second.stop(drain=True)
            assert channel.loop.time() < 25
            await first.stop(drain=False)
            with pytest.raises(PeerLost, match='stopped'):
                await asked

    async def test_stop_under_load_leaves_no_request_hanging(self):
        # Guards against requests that get neither reply nor error.
        async with run_cluster() as cluster:
            _, second, channel = await cluster.pair()
            second.handler.delay_s = 0.05
            outcomes = []

            async def ask():
                try:
                    await channel.request(question(), 30)
                except (PeerLost, RemoteError) as error:
                    outcomes.append(type(error).__name__)
                else:
                    outcomes.append('reply')

            tasks = []
            for _ in range(300):
                tasks.append(asyncio.create_task(ask()))
                await asyncio.sleep(0.01)
                if len(tasks) == 150:
                    stopping = asyncio.create_task(second.stop())
            await asyncio.gather(*tasks, stopping)
            assert len(outcomes) == 300
            assert outcomes.count('reply') >= 145
            assert second.handler.finished == outcomes.count('reply')


class TestManyFaults:
    @pytest.mark.parametrize('seed', range(20))
    async def test_every_request_gets_its_own_reply(self, seed):
        # Guards against requests that hang or get a foreign reply after any
        # sequence of link faults, each of which ends.
        rng = Random(seed)
        async with run_cluster() as cluster:
            first, second = await cluster.node(A), await cluster.node(B)
            there, back = await asyncio.gather(first.dial(B), second.dial(A))
            disturbing = asyncio.create_task(disturb(cluster.network, rng))
            asked = []
            for number in range(300):
                for channel in (there, back):
                    request = channel.request(question(str(number)), 40)
                    asked.append(asyncio.create_task(request))
                second.handler.delay_s = rng.choice([0, 0.1, 2])
                await asyncio.sleep(0.1)
            await disturbing
            replies = await asyncio.gather(*asked)
            numbers = [int(reply.incarnation) for reply in replies]
            assert numbers == [n for n in range(300) for _ in range(2)]


async def disturb(network, rng):
    """Disturb connections for 30 s; addresses refuse for under 4 s."""
    for _ in range(60):
        connection = rng.choice(network.connections[-3:])
        fault = rng.randrange(6)
        if fault == 0:
            connection.silence(rng.random() < 0.5, rng.random() < 0.5)
        elif fault == 1:
            connection.silence()
        elif fault == 2:
            connection.reset()
        elif fault == 3:
            connection.stall(rng.random() < 0.5, rng.random() < 0.5)
        elif fault == 4:
            network.refused = {rng.choice([A, B])}
        else:
            network.refused = set()
            connection.resume()
        if rng.random() < 0.2:
            network.refused = set()
        await asyncio.sleep(0.5)
        if len(network.refused) and rng.random() < 0.5:
            network.refused = set()
    network.refused = set()
    for connection in network.connections:
        connection.resume()


class TestSlowReader:
    async def test_notifications_are_dropped_and_requests_wait(self):
        # Guards against memory that grows with a peer which does not read,
        # and against requests that are lost with what is dropped.
        async with run_cluster() as cluster:
            first, second, channel = await cluster.pair(
                timing=Timing(silence_s=1000)
            )
            connection = cluster.network.connections[0]
            connection.stall(to_server=True, to_client=False)
            for _ in range(40):
                channel.notify(Ack(detail='x' * 1_000_000))
                await asyncio.sleep(0.01)
            asked = asyncio.create_task(channel.request(question('x'), 60))
            await asyncio.sleep(1)
            link = channel.links[0]
            waiting = link.writer.transport.get_write_buffer_size()
            assert waiting < 10_000_000
            dropped = first.counters.events['notifications_dropped']
            assert 30 <= dropped <= 33
            connection.resume()
            assert (await asked).incarnation == 'x'
            assert second.handler.asked.count(question('x')) == 1
            assert first.counters.events['requests_repeated'] == 0

    async def test_replies_wait_for_a_slow_reader(self):
        # Guards against memory that grows with unsent replies, and against
        # dropping a link only because many large replies are due at once.
        async with run_cluster() as cluster:
            _, second, channel = await cluster.pair(
                timing=Timing(silence_s=1000)
            )

            async def answer(_channel, _message):
                return Ack(detail='x' * 3_000_000)

            second.channels[0].handler = answer
            connection = cluster.network.connections[0]
            connection.stall(to_server=False, to_client=True)
            asked = [
                asyncio.create_task(channel.request(question(), 30))
                for _ in range(30)
            ]
            await asyncio.sleep(2)
            link = second.channels[0].links[0]
            waiting = link.writer.transport.get_write_buffer_size()
            assert 3_000_000 < waiting < 12_000_000
            connection.resume()
            replies = await asyncio.gather(*asked)
            assert {len(reply.detail) for reply in replies} == {3_000_000}
            assert not second.counters.events
