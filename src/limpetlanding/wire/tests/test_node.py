import asyncio
from contextlib import asynccontextmanager
from functools import partial
from random import Random

import pytest

from limpetlanding.errors import PeerLost, RequestTimeout, RequestWithdrawn
from limpetlanding.wire import (
    Ack,
    Hello,
    Node,
    NodeOptions,
    RemoteError,
    Timing,
)
from limpetlanding.wire.job_messages import (
    CancelJob,
    LocateCoordinator,
    Located,
    PlaceAgain,
)
from limpetlanding.wire.tests.faulty_network import FaultyNetwork

A, B = '10.0.0.1:7000', '10.0.0.2:7000'


class RecordingHandler:
    """Handler that records the messages and replies after a delay."""

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
            RecordingHandler(),
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
        """Stop a node abruptly: its connections are reset."""
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


def locate(text='x'):
    return LocateCoordinator(text)


class TestRequests:
    async def test_both_sides_send_requests_over_one_link(self):
        # Guards against requests that only the dialing side can send.
        async with run_cluster() as cluster:
            first, second, there = await cluster.pair()
            (back,) = second.channels
            assert await there.request(locate('x'), 1) == Located('x', True)
            assert await back.request(locate('y'), 1) == Located('y', True)
            assert len(cluster.network.connections) == 1
            assert first.changes == second.changes == [('up', '1')]

    async def test_replies_out_of_order_reach_their_own_request(self):
        # Guards against a reply that is delivered to another request.
        async with run_cluster() as cluster:
            _, second, channel = await cluster.pair()
            delays = iter([0.3, 0.1, 0.2])

            async def answer(_channel, message):
                await asyncio.sleep(next(delays))
                return Located(message.incarnation, True)

            second.channels[0].handler = answer
            replies = await asyncio.gather(
                *[channel.request(locate(text), 1) for text in 'abc']
            )
            assert [reply.incarnation for reply in replies] == list('abc')

    async def test_late_reply_is_dropped_and_counted(self):
        # Guards against a late reply that is delivered to the next request.
        async with run_cluster() as cluster:
            first, second, channel = await cluster.pair()
            second.handler.delay_s = 1
            with pytest.raises(RequestTimeout, match='step locate, peer 10'):
                await channel.request(locate('late'), 0.5)
            second.handler.delay_s = 0
            reply = await channel.request(locate('next'), 1)
            assert reply.incarnation == 'next'
            await asyncio.sleep(1)
            assert first.counters.events['replies_dropped'] == 1

    async def test_failing_handler_is_reported_with_step_and_peer(self):
        # Guards against a requester that gets no reply if the handler fails.
        async with run_cluster() as cluster:
            _, _, channel = await cluster.pair()
            with pytest.raises(RemoteError, match='no such job') as caught:
                await channel.request(CancelJob('j', 'c'), 1)
            assert (caught.value.step, caught.value.peer) == ('cancel', B)

    async def test_cancelled_handler_is_reported(self):
        # Guards against a requester that gets no reply if the handler is
        # cancelled.
        async with run_cluster() as cluster:
            _, second, channel = await cluster.pair()
            second.handler.delay_s = 60
            asked = asyncio.create_task(channel.request(locate(), 30))
            await asyncio.sleep(1)
            for served in second.channels[0].served_requests.values():
                served.task.cancel()
            with pytest.raises(RemoteError, match='Cancelled'):
                await asked

    async def test_reply_beyond_the_frame_limit_becomes_an_error(self):
        # Guards against a requester that waits for a reply which is too large
        # to be sent.
        async with run_cluster() as cluster:
            _, second, channel = await cluster.pair()

            async def answer(_channel, _message):
                return Ack(detail='x' * 5_000_000)

            second.channels[0].handler = answer
            with pytest.raises(RemoteError, match='exceeds'):
                await channel.request(locate(), 1)

    async def test_node_can_dial_itself(self):
        # Guards against confusing the two ends of a link in one process.
        async with run_cluster() as cluster:
            node = await cluster.node(A)
            channel = await node.dial(A)
            replies = await asyncio.gather(
                *[channel.request(locate(text), 1) for text in 'abc']
            )
            assert [reply.incarnation for reply in replies] == list('abc')

    async def test_messages_and_bytes_are_counted_by_type(self):
        async with run_cluster() as cluster:
            first, second, channel = await cluster.pair()
            await channel.request(locate(), 1)
            await asyncio.sleep(9.9)  # Not while a heartbeat is in transit.
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
        # Guards against requests that wait forever on a connection that loses
        # all data, although a new connection would work.
        async with run_cluster() as cluster:
            _, second, channel = await cluster.pair()
            if not from_dialer:
                (channel,) = second.channels
            await asyncio.sleep(5)
            cluster.network.connections[0].silence(to_server, to_client)
            started = channel.loop.time()
            assert await channel.request(locate('x'), 10)
            # The side that receives nothing drops the link 1.5 s after the
            # last frame, at most 0.05 s late, and the dialer connects again.
            assert channel.loop.time() - started <= 1.6
            assert all(n.changes == [('up', '1')] for n in cluster.nodes)

    async def test_reply_uses_the_link_of_its_request(self):
        # Guards against a reply that is lost on the other one of two links. The
        # requester would not repeat the request, whose link still works.
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
            asked = asyncio.create_task(there.request(locate('x'), 10))
            await asyncio.sleep(0.1)
            assert used is not other
            other.silence()
            assert (await asked).incarnation == 'x'

    async def test_paused_peer_answers_when_it_resumes(self):
        # Guards against requests that are lost, or answered twice, when a
        # process resumes and finds old and new connections at once.
        async with run_cluster() as cluster:
            first, _, channel = await cluster.pair()
            await asyncio.sleep(1)
            with cluster.network.pause(B):
                asked = [
                    asyncio.create_task(channel.request(locate(text), 60))
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

    async def test_own_pause_does_not_count_as_silence_of_the_peers(self):
        # Guards against a process that drops all its links, or regards all
        # peers as suspect, because it was suspended itself.
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

    async def test_overloaded_process_detects_a_silent_link(self):
        # Guards against a process that never detects a silent link, because its
        # timers are always late.
        async with run_cluster() as cluster:
            first, _, channel = await cluster.pair()
            await asyncio.sleep(5)
            cluster.network.connections[0].silence()
            for _ in range(12):
                channel.loop._selector.clock.advance(0.3)
                await asyncio.sleep(0.01)
            assert first.counters.events['links_silent'] == 1

    async def test_silent_peer_is_suspect_after_one_second(self):
        # Guards against placing tasks on a peer that does not answer.
        async with run_cluster() as cluster:
            _, _, channel = await cluster.pair()
            await asyncio.sleep(5)
            assert not channel.suspect
            cluster.network.unreachable.add(B)
            cluster.network.connections[0].silence()
            await asyncio.sleep(1.01)
            assert channel.suspect

    async def test_request_waits_for_a_peer_that_is_down(self):
        # Guards against failing requests to a peer that is only suspended.
        async with run_cluster() as cluster:
            first, second, channel = await cluster.pair()
            cluster.network.unreachable.update({A, B})
            cluster.network.connections[0].silence()
            asked = asyncio.create_task(channel.request(locate('x'), 60))
            await asyncio.sleep(10)
            assert first.changes == [('up', '1'), ('down', '1')]
            assert not asked.done()
            cluster.network.unreachable.clear()
            assert (await asked).incarnation == 'x'
            assert first.changes[2:] == [('up', '1')]
            assert second.handler.asked == [locate('x')]

    async def test_heartbeats_keep_an_idle_link(self):
        async with run_cluster() as cluster:
            first, second, channel = await cluster.pair()
            await asyncio.sleep(60)
            assert not channel.suspect
            assert not first.counters.events
            assert not second.counters.events

    async def test_digest_is_sent_on_a_busy_link(self):
        # Guards against a configuration change that the peer does not notice,
        # because a busy link needs no heartbeats.
        async with run_cluster() as cluster:
            first, second, channel = await cluster.pair()
            seen = []
            second.on_heartbeat = lambda _channel, digest: seen.append(digest)
            first.config_digest = lambda: 7
            for _ in range(40):
                channel.notify(Ack())
                await asyncio.sleep(0.1)
            assert 2 <= seen.count(7) <= 4


class TestSuspension:
    async def test_data_received_during_a_suspension_is_dropped(self):
        # Guards against requests that a process executes after a suspension,
        # when their sender has already given them to another process.
        suspended_s = 0
        async with run_cluster() as cluster:
            first = await cluster.node(A)
            loop = asyncio.get_running_loop()
            second = await cluster.node(
                B,
                timing=Timing(max_suspension_s=1),
                clock=lambda: loop.time() + suspended_s,
            )
            channel = await first.dial(B)
            (old,) = channel.links
            suspended_s = 2
            with pytest.raises(RequestTimeout):
                await channel.request(locate(), 0.01)
            await asyncio.sleep(1)
            assert second.counters.events['links_stale'] == 1
            assert not second.handler.asked
            assert old not in channel.links
            assert await channel.request(locate(), 1)

    async def test_short_suspension_drops_nothing(self):
        suspended_s = 0
        async with run_cluster() as cluster:
            first = await cluster.node(A)
            loop = asyncio.get_running_loop()
            await cluster.node(
                B,
                timing=Timing(max_suspension_s=1),
                clock=lambda: loop.time() + suspended_s,
            )
            channel = await first.dial(B)
            suspended_s = 0.9
            assert await channel.request(locate(), 0.01)


class TestWithdrawnRequests:
    """Guards against requests that are sent although their cause is gone."""

    async def test_request_is_not_repeated_on_the_next_link(self):
        async with run_cluster() as cluster:
            _, second, channel = await cluster.pair()
            is_wanted = True
            connection = cluster.network.connections[0]
            connection.stall()
            asked = asyncio.create_task(
                channel.request(locate('x'), 10, lambda: is_wanted)
            )
            await asyncio.sleep(0.1)
            is_wanted = False
            connection.reset()
            with pytest.raises(RequestWithdrawn) as withdrawn:
                await asked
            assert withdrawn.value.sent
            assert not second.handler.asked

    async def test_request_that_waited_for_a_link_is_not_sent(self):
        async with run_cluster() as cluster:
            _, second, channel = await cluster.pair()
            cluster.network.connections[0].reset()
            await asyncio.sleep(0.01)
            assert not channel.links
            asked = asyncio.create_task(
                channel.request(locate('x'), 10, lambda: False)
            )
            with pytest.raises(RequestWithdrawn) as withdrawn:
                await asked
            assert not withdrawn.value.sent
            assert not second.handler.asked

    async def test_request_that_is_wanted_is_repeated(self):
        async with run_cluster() as cluster:
            _, second, channel = await cluster.pair()
            connection = cluster.network.connections[0]
            connection.stall()
            asked = asyncio.create_task(
                channel.request(locate('x'), 10, lambda: True)
            )
            await asyncio.sleep(0.1)
            connection.reset()
            assert (await asked).incarnation == 'x'
            assert second.handler.asked == [locate('x')]


class TestRepeatedRequests:
    async def test_running_request_is_joined_and_answered_once(self):
        # Guards against starting work a second time when the request is
        # repeated while its handler runs.
        async with run_cluster() as cluster:
            first, second, channel = await cluster.pair()
            second.handler.delay_s = 2
            asked = asyncio.create_task(channel.request(locate('x'), 10))
            await asyncio.sleep(1)
            cluster.network.connections[0].reset()
            assert (await asked).incarnation == 'x'
            assert second.handler.asked == [locate('x')]
            assert first.counters.events['requests_repeated'] == 1
            assert second.counters.events['requests_joined'] == 1
            assert first.counters.events['replies_dropped'] == 0

    async def test_request_is_handled_again_if_its_reply_is_lost(self):
        # Guards against a requester that waits for a reply which was lost with
        # its link.
        async with run_cluster() as cluster:
            first, second, channel = await cluster.pair()
            cluster.network.connections[0].silence(to_server=False)
            assert await channel.request(locate('x'), 10)
            assert second.handler.asked == [locate('x')] * 2
            assert first.counters.events['replies_dropped'] == 0

    async def test_request_without_a_link_is_sent_on_the_next_one(self):
        async with run_cluster() as cluster:
            _, _, channel = await cluster.pair()
            cluster.network.connections[0].reset()
            await asyncio.sleep(0)
            assert await channel.request(locate('x'), 5)

    async def test_repeated_request_carries_the_remaining_deadline(self):
        # Guards against a relative deadline that restarts with each
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
        # Guards against requests that wait for an incarnation which is gone,
        # and against sending them to its successor.
        async with run_cluster() as cluster:
            first, second, channel = await cluster.pair()
            first.keep_dialing(B)
            second.handler.delay_s = 100
            asked = asyncio.create_task(channel.request(locate(), 60))
            await asyncio.sleep(1)
            await cluster.crash(second)
            third = await cluster.node(B, '2')
            with pytest.raises(PeerLost, match='step locate, peer 10'):
                await asked
            assert channel.closed.is_set()
            assert third.handler.asked == []
            assert first.changes == [('up', '1'), ('down', '1'), ('up', '2')]
            with pytest.raises(PeerLost):
                await channel.request(locate(), 1)
            (current,) = first.channels
            assert await current.request(locate(), 1)

    async def test_accepting_side_detects_the_restart(self):
        # Guards against an entry that waits for an agent which dialed it
        # and then restarted.
        async with run_cluster() as cluster:
            first, second, _ = await cluster.pair()
            (back,) = second.channels
            first.handler.delay_s = 100
            asked = asyncio.create_task(back.request(locate(), 60))
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
        # Guards against requests to a dead process that wait for their timeout,
        # on either side of the former link.
        async with run_cluster() as cluster:
            first, second, channel = await cluster.pair()
            if not dialed:
                (channel,), second = second.channels, first
            second.handler.delay_s = 100
            asked = asyncio.create_task(channel.request(locate(), 60))
            await asyncio.sleep(1)
            await cluster.crash(second)
            crashed_at = channel.loop.time()
            with pytest.raises(PeerLost, match='refuses'):
                await asked
            assert 4 <= channel.loop.time() - crashed_at <= 7

    async def test_peer_survives_a_short_refusal(self):
        async with run_cluster() as cluster:
            first, _, channel = await cluster.pair()
            cluster.network.refused.update({A, B})
            cluster.network.connections[0].reset()
            await asyncio.sleep(3)
            cluster.network.refused.clear()
            assert await channel.request(locate(), 5)
            assert first.changes == [('up', '1')]

    async def test_live_peer_declared_gone_is_accepted_again(self):
        # Guards against rejecting a live peer whose address refused connections
        # for a while. Also guards against request numbers that restart, because
        # the peer would join new requests to old ones that it still serves.
        async with run_cluster() as cluster:
            first, second, channel = await cluster.pair()
            second.handler.delay_s = 20
            asked = asyncio.create_task(channel.request(locate('old'), 60))
            await asyncio.sleep(0.1)
            cluster.network.refused.update({A, B})
            cluster.network.connections[0].reset()
            with pytest.raises(PeerLost):
                await asked
            cluster.network.refused.clear()
            again = await first.dial(B)
            assert again is not channel
            second.handler.delay_s = 1
            reply = await again.request(locate('new'), 5)
            assert reply.incarnation == 'new'

    async def test_late_hello_does_not_replace_a_live_peer(self):
        # Guards against declaring a live peer gone because of the delayed hello
        # of an earlier process at its address.
        async with run_cluster() as cluster:
            first, second = await cluster.node(A), await cluster.node(B, '2')
            channel = await second.dial(A)
            await asyncio.sleep(1)
            earlier = Node(
                Hello(1, 'agent', B, '1', 'd', B, ''),
                RecordingHandler(),
                connect=cluster.network.connect,
            )
            await earlier.dial(A)
            await asyncio.sleep(0.5)
            await earlier.stop(drain=False)
            await asyncio.sleep(1)
            assert ('down', '2') not in first.changes
            assert first.changes[-1] == ('down', '1')
            assert await channel.request(locate(), 1)

    async def test_peers_behind_one_address_do_not_replace_each_other(self):
        # Guards against declaring live peers gone because a load balancer
        # connects to another one.
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
                assert await channel.request(locate(), 1)

    async def test_dial_fails_if_another_incarnation_is_there(self):
        async with run_cluster() as cluster:
            first, _, _ = await cluster.pair()
            with pytest.raises(PeerLost, match='another incarnation'):
                await first.dial(B, incarnation='0')

    async def test_dial_to_an_absent_peer_ends(self):
        # Guards against a caller that waits forever, and against a dialer that
        # continues although nobody needs it.
        async with run_cluster() as cluster:
            first = await cluster.node(A)
            with pytest.raises(PeerLost, match='refused'):
                await first.dial(B, timeout_s=20)
            cluster.network.unreachable.add(B)
            with pytest.raises(RequestTimeout):
                await first.dial(B, timeout_s=2)
            await asyncio.sleep(10)
            assert not first.all_dialers

    async def test_peer_is_removed_after_a_long_time(self):
        # Guards against memory use that grows with every peer ever seen.
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
            assert await there.request(locate(), 1)
            for connection in cluster.network.connections[:-1]:
                connection.reset()
            assert await back.request(locate(), 1)
            assert await there.request(locate(), 1)

    async def test_peer_that_refuses_every_link_is_dialed_slowly(self):
        # Guards against a tight loop of connection attempts.
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

    async def test_dials_until_the_peer_starts(self):
        async with run_cluster() as cluster:
            first = await cluster.node(A)
            first.keep_dialing(B)
            await asyncio.sleep(100)
            second = await cluster.node(B)
            await asyncio.sleep(2)
            assert second.changes == [('up', '1')]

    async def test_peer_loss_is_detected_after_dialing_is_stopped(self):
        # Guards against requests that wait for a dead peer because nobody
        # dials it any more.
        async with run_cluster() as cluster:
            first, second, channel = await cluster.pair()
            second.handler.delay_s = 100
            asked = asyncio.create_task(channel.request(locate(), 60))
            await asyncio.sleep(1)
            first.stop_dialing(B)
            await cluster.crash(second)
            await asyncio.sleep(1.5)
            assert not first.dialers
            first.stop_dialing(B)
            with pytest.raises(PeerLost, match='refuses'):
                await asked

    async def test_dial_does_not_wait_for_the_peer_to_dial(self):
        # Guards against a request that is delayed by the time which the peer
        # gets to dial first after a lost link.
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
            assert await channel.request(locate(), 1)
            assert not first.dialers

    async def test_failing_callback_does_not_close_the_link(self):
        async with run_cluster() as cluster:
            first, second = await cluster.node(A), await cluster.node(B)
            second.on_peer_up = second.on_heartbeat = None
            channel = await first.dial(B)
            await asyncio.sleep(5)
            assert await channel.request(locate(), 1)
            assert set(second.counters.events) == {'handler_failures'}
            assert len(cluster.network.connections) == 1


class TestEmulatedDelay:
    async def test_frames_are_delayed_between_domains_in_order(self):
        # Guards against delayed frames that overtake one another.
        async with run_cluster() as cluster:

            def delay_ms(_first, _second):
                return 1.5

            _, second, channel = await cluster.pair(emulated_delay_ms=delay_ms)
            started = channel.loop.time()
            for number in range(50):
                channel.notify(Ack(detail=str(number)))
            await channel.request(locate(), 1)
            elapsed_s = channel.loop.time() - started
            assert elapsed_s == pytest.approx(0.003, abs=0.0005)
            details = [m.detail for m in second.handler.asked[:-1]]
            assert details == [str(number) for number in range(50)]


class TestStop:
    async def test_replies_in_progress_are_sent_first(self):
        # Guards against a planned stop that loses replies.
        async with run_cluster() as cluster:
            _, second, channel = await cluster.pair()
            second.handler.delay_s = 2
            asked = [
                asyncio.create_task(channel.request(locate(str(n)), 30))
                for n in range(200)
            ]
            await asyncio.sleep(1)
            await second.stop(drain=True)
            replies = await asyncio.gather(*asked)
            assert [int(r.incarnation) for r in replies] == list(range(200))

    async def test_large_replies_are_sent_before_the_link_closes(self):
        # Guards against losing data in the buffers of a closed connection.
        async with run_cluster() as cluster:
            _, second, channel = await cluster.pair()

            async def answer(_channel, _message):
                await asyncio.sleep(1)
                return Ack(detail='x' * 3_000_000)

            second.channels[0].handler = answer
            asked = [
                asyncio.create_task(channel.request(locate(), 30))
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
            asked = asyncio.create_task(channel.request(locate(), 30))
            await asyncio.sleep(1)
            stopping = asyncio.create_task(second.stop(drain=True))
            await asyncio.sleep(0.1)
            with pytest.raises(RemoteError, match='stopping'):
                await channel.request(locate(), 30)
            assert await asked
            await stopping

    async def test_stop_ends_although_a_handler_hangs(self):
        # Guards against a process that never exits.
        async with run_cluster() as cluster:
            first, second, channel = await cluster.pair()
            second.handler.delay_s = 1000
            asked = asyncio.create_task(channel.request(locate(), 900))
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
                    await channel.request(locate(), 30)
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


class TestRandomFaults:
    @pytest.mark.parametrize('seed', range(20))
    async def test_every_request_gets_its_own_reply(self, seed):
        # Guards against requests that hang or get the reply of another request
        # after a sequence of link faults, each of which ends.
        rng = Random(seed)
        async with run_cluster() as cluster:
            first, second = await cluster.node(A), await cluster.node(B)
            there, back = await asyncio.gather(first.dial(B), second.dial(A))
            injecting = asyncio.create_task(inject_faults(cluster.network, rng))
            asked = []
            for number in range(300):
                for channel in (there, back):
                    request = channel.request(locate(str(number)), 40)
                    asked.append(asyncio.create_task(request))
                second.handler.delay_s = rng.choice([0, 0.1, 2])
                await asyncio.sleep(0.1)
            await injecting
            replies = await asyncio.gather(*asked)
            numbers = [int(reply.incarnation) for reply in replies]
            assert numbers == [n for n in range(300) for _ in range(2)]


async def inject_faults(network, rng):
    """Inject random faults for 30 s, then end all refusals and stalls.

    At most one address refuses connections at a time, very likely for less than
    4 s, but this is not guaranteed.
    """
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
        # Guards against memory use that grows if a peer does not read, and
        # against dropping requests together with the notifications.
        async with run_cluster() as cluster:
            first, second, channel = await cluster.pair(
                timing=Timing(silence_s=1000)
            )
            connection = cluster.network.connections[0]
            connection.stall(to_server=True, to_client=False)
            for _ in range(40):
                channel.notify(Ack(detail='x' * 1_000_000))
                await asyncio.sleep(0.01)
            asked = asyncio.create_task(channel.request(locate('x'), 60))
            await asyncio.sleep(1)
            link = channel.links[0]
            waiting = link.writer.transport.get_write_buffer_size()
            assert waiting < 10_000_000
            dropped = first.counters.events['notifications_dropped']
            assert 30 <= dropped <= 33
            connection.resume()
            assert (await asked).incarnation == 'x'
            assert second.handler.asked.count(locate('x')) == 1
            assert first.counters.events['requests_repeated'] == 0

    async def test_replies_wait_for_a_slow_reader(self):
        # Guards against memory use that grows with unsent replies, and against
        # dropping a link because many large replies are sent at once.
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
                asyncio.create_task(channel.request(locate(), 30))
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


class TestUnusableAddresses:
    """Guards against dialers that end because of the address alone."""

    @pytest.mark.parametrize(
        'address', ['', 'b', 'b:', 'b:x', 'b:' + '7' * 5000, 'b:\ud800']
    )
    async def test_address_without_a_port_is_dialed_until_stopped(
        self, address
    ):
        async with run_cluster() as nodes:
            first = await nodes.node(A)
            first.keep_dialing(address)
            await asyncio.sleep(3)
            assert address in first.dialers
            assert first.counters.events['dials_failed'] > 2

    @pytest.mark.parametrize(
        'error',
        [
            OverflowError('port must be 0-65535'),
            UnicodeError('label too long'),
            ValueError('embedded null character'),
        ],
    )
    async def test_error_of_the_address_does_not_end_the_dialer(self, error):
        async with run_cluster() as nodes:
            first = await nodes.node(A)
            connect = first.connect

            async def fail(*_, **__):
                raise error

            first.connect = fail
            first.keep_dialing(B)
            await asyncio.sleep(1)
            first.connect = connect
            await nodes.node(B)
            await asyncio.sleep(1)
            assert [x.peer.address for x in first.connected()] == [B]
