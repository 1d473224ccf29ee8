import asyncio
import ssl
from contextlib import suppress

import pytest
import trustme
import uvloop

from limpetlanding.errors import PeerLost
from limpetlanding.wire import (
    MAX_FRAME_BYTES,
    PROTOCOL_VERSION,
    Ack,
    Hello,
    Node,
    NodeOptions,
    RemoteError,
)
from limpetlanding.wire.codec import FrameBuffer, FrameKind, encode_frame
from limpetlanding.wire.tests.faulty_network import FaultyNetwork

ADDRESS = '10.0.0.1:7000'


async def accept_all(_channel, _message):
    return None


def hello(node='raw', address='', protocol=PROTOCOL_VERSION):
    return Hello(protocol, 'agent', node, f'{node}-1', 'd', address, '')


@pytest.fixture
async def network():
    return FaultyNetwork()


@pytest.fixture
async def node(network):
    node = Node(
        hello('node', ADDRESS),
        accept_all,
        connect=network.connect,
        serve=network.serve,
    )
    await node.start()
    yield node
    await node.stop(drain=False)


class RawPeer:
    """Peer that sends and receives frames without a node."""

    def __init__(self, streams):
        self.reader, self.writer = streams
        self.buffer = FrameBuffer()

    def send(self, message, kind=FrameKind.NOTIFY, number=0):
        self.writer.write(encode_frame(kind, number, message))

    async def read_until_closed(self):
        frames = []
        with suppress(OSError):
            while chunk := await self.reader.read(65536):
                frames += self.buffer.feed(chunk)
        return frames


@pytest.fixture
async def raw(network, node):
    return RawPeer(await network.connect('10.0.0.1', 7000))


class TestFirstFrame:
    @pytest.mark.parametrize(
        'first',
        [
            encode_frame(FrameKind.NOTIFY, 0, hello(protocol=2)),
            encode_frame(FrameKind.NOTIFY, 0, hello('')),
            encode_frame(FrameKind.NOTIFY, 0, Ack()),
            b'GET / HTTP/1.1\r\n\r\n',
            (20_000).to_bytes(4, 'big'),
            b'',
        ],
        ids=['version', 'no name', 'other message', 'http', 'long', 'nothing'],
    )
    async def test_wrong_first_frame_closes_the_link(self, node, raw, first):
        # Guards against clients of other protocols that use memory or get a
        # channel, also if they send a long frame or nothing at all.
        raw.writer.write(first)
        frames = await raw.read_until_closed()
        assert [frame.tag for frame in frames] == ['hello']
        assert node.counters.events['protocol_errors'] == 1
        assert not node.channels


class TestMalformedFrames:
    async def test_frame_beyond_the_limit_closes_the_link(self, node, raw):
        raw.send(hello())
        await asyncio.sleep(0.1)
        assert node.channels[0].links
        raw.writer.write((MAX_FRAME_BYTES + 1).to_bytes(4, 'big'))
        await raw.read_until_closed()
        assert not node.channels[0].links
        assert node.counters.events['protocol_errors'] == 1

    async def test_flood_of_frames_does_not_stop_the_node(self, node, network):
        # Guards against malformed data from some peers that keeps the node
        # from serving others.
        floods = []
        for number in range(20):
            raw = RawPeer(await network.connect('10.0.0.1', 7000))
            raw.send(hello(f'raw{number}'))
            raw.writer.write(b'\xff' * 1_000_000)
            floods.append(raw.read_until_closed())
        await asyncio.gather(*floods)
        assert node.counters.events['protocol_errors'] == 20
        other = Node(hello('other'), accept_all, connect=network.connect)
        channel = await other.dial(ADDRESS)
        assert await channel.request(Ack(), 1) == Ack()
        await other.stop(drain=False)

    async def test_malformed_request_is_answered_with_an_error(self, node, raw):
        # Guards against a requester that repeats, on link after link, a request
        # which the peer cannot decode.
        raw.send(hello())
        frame = encode_frame(FrameKind.REQUEST, 5, Ack())
        raw.writer.write(frame.replace(b'ack', b'xyz'))
        (reply,) = [
            frame
            for frame in await raw.read_until_closed()
            if frame.kind == FrameKind.REPLY
        ]
        assert reply.number == 5
        assert "unknown message tag 'xyz'" in reply.message.detail

    async def test_unknown_reply_is_dropped_and_counted(self, node, raw):
        raw.send(hello())
        raw.send(Ack(), FrameKind.REPLY, 77)
        await asyncio.sleep(0.1)
        assert node.counters.events['replies_dropped'] == 1
        assert node.channels[0].links

    async def test_duplicate_reply_is_dropped_and_counted(self, node, raw):
        raw.send(hello())
        await asyncio.sleep(0.1)
        asked = asyncio.create_task(node.channels[0].request(Ack(), 5))
        await asyncio.sleep(0.1)
        raw.send(Ack(detail='first'), FrameKind.REPLY, 1)
        raw.send(Ack(detail='second'), FrameKind.REPLY, 1)
        assert (await asked).detail == 'first'
        await asyncio.sleep(0.1)
        assert node.counters.events['replies_dropped'] == 1

    async def test_frames_received_together_with_hello_are_served(
        self, node, raw
    ):
        raw.writer.write(
            encode_frame(FrameKind.NOTIFY, 0, hello())
            + encode_frame(FrameKind.REQUEST, 3, Ack())
        )
        await asyncio.sleep(0.1)
        raw.writer.write_eof()
        frames = await raw.read_until_closed()
        assert 3 in [frame.number for frame in frames]


class TestBatching:
    async def test_frames_of_one_iteration_leave_in_one_write(
        self, node, network
    ):
        # Guards against one system call for each small message.
        other = Node(hello('other'), accept_all, connect=network.connect)
        channel = await other.dial(ADDRESS)
        await asyncio.sleep(0.1)
        writes = []
        link = channel.links[0]
        link.writer = RecordingWriter(link.writer, writes)
        for _ in range(100):
            channel.notify(Ack())
        await asyncio.sleep(0.1)
        assert len(writes) == 1
        assert writes[0] == 100 * len(encode_frame(FrameKind.NOTIFY, 0, Ack()))
        await other.stop(drain=False)


class RecordingWriter:
    """Writer that records the size of each write."""

    def __init__(self, writer, writes):
        self.inner = writer
        self.writes = writes

    def __getattr__(self, name):
        return getattr(self.inner, name)

    def write(self, chunk):
        self.writes.append(len(chunk))
        self.inner.write(chunk)


class ClosedWriter:
    """Writer whose connection was reset, with the exceptions of uvloop."""

    def __init__(self, writer):
        self.inner = writer

    def __getattr__(self, name):
        return getattr(self.inner, name)

    def is_closing(self):
        return True

    def write(self, _chunk):
        raise RuntimeError('unable to perform operation on a closed handle')


@pytest.fixture
async def callback_errors():
    """Exceptions that callbacks of the event loop have raised."""
    return record_callback_errors()


def record_callback_errors():
    errors = []
    asyncio.get_running_loop().set_exception_handler(
        lambda _loop, context: errors.append(context)
    )
    return errors


class TestClosedTransport:
    """Guards against writes that raise because the connection was reset.

    The reset may be noticed between the first frame of a batch and its write,
    and between two heartbeats; the link ends when its reader notices it.
    """

    async def test_request_of_the_batch_is_sent_again_on_the_next_link(
        self, node, network, callback_errors
    ):
        other = Node(hello('other'), accept_all, connect=network.connect)
        channel = await other.dial(ADDRESS)
        await asyncio.sleep(0.1)
        link = channel.links[0]

        def reset():
            link.writer = ClosedWriter(link.writer)
            network.connections[0].reset()

        asked = asyncio.create_task(channel.request(Ack(), 5))
        # The request is queued before the reset and written after it.
        asyncio.get_running_loop().call_soon(reset)
        assert await asked == Ack()
        assert other.counters.events['requests_repeated'] == 1
        assert not callback_errors
        await other.stop(drain=False)

    async def test_request_after_the_reset_waits_for_the_next_link(
        self, node, network, callback_errors
    ):
        other = Node(hello('other'), accept_all, connect=network.connect)
        channel = await other.dial(ADDRESS)
        await asyncio.sleep(0.1)
        link = channel.links[0]
        link.writer = ClosedWriter(link.writer)
        network.connections[0].reset()
        assert await channel.request(Ack(), 5) == Ack()
        assert not other.counters.events['requests_repeated']
        assert not callback_errors
        await other.stop(drain=False)

    async def test_heartbeats_raise_nothing(
        self, node, network, callback_errors
    ):
        other = Node(hello('other'), accept_all, connect=network.connect)
        channel = await other.dial(ADDRESS)
        await asyncio.sleep(0.1)
        link = channel.links[0]
        link.writer = ClosedWriter(link.writer)
        await asyncio.sleep(2 * link.timing.heartbeat_s)
        assert not callback_errors
        await other.stop(drain=False)

    def test_uvloop_raises_nothing_after_a_reset(self):
        # Uses real sockets on loopback, because the virtual event loop has
        # other transports.
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(self.exchange_after_resets())

    async def exchange_after_resets(self):
        errors = record_callback_errors()
        node = Node(hello('node', '127.0.0.1:0'), accept_all)
        await node.start()
        other = Node(hello('other'), accept_all)
        channel = await other.dial(node.hello.address)
        # The first heartbeat is sent before the reset.
        await asyncio.sleep(0.05)
        channel.links[0].writer.transport.abort()
        assert await channel.request(Ack(), 5) == Ack()
        await asyncio.sleep(0.05)
        link = channel.links[0]
        link.writer.transport.abort()
        await asyncio.sleep(0)
        await link.close()
        assert not errors
        await other.stop(drain=False)
        await node.stop(drain=False)


class TestTls:
    """Uses real sockets on loopback; the virtual event loop has no TLS."""

    def test_request_over_tls_and_refusal_without(self):
        # Guards against links in clear text although TLS is set up.
        asyncio.run(self.exchange())

    async def exchange(self):
        authority = trustme.CA()
        server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        authority.issue_cert('127.0.0.1').configure_cert(server)
        client = ssl.create_default_context()
        authority.configure_trust(client)
        node = Node(
            hello('node', '127.0.0.1:0'),
            accept_all,
            NodeOptions(server_tls=server),
        )
        await node.start()
        secure = Node(hello('b'), accept_all, NodeOptions(client_tls=client))
        plain = Node(hello('c'), accept_all)
        channel = await secure.dial(node.hello.address)
        assert await channel.request(Ack(), 5) == Ack()
        streams = await asyncio.open_connection(*node.hello.address.split(':'))
        raw = RawPeer(streams)
        raw.send(hello('c'))
        assert not await raw.read_until_closed()
        assert [c.peer.node for c in node.channels] == ['b']
        for stopped in (plain, secure, node):
            await stopped.stop()
        with pytest.raises((PeerLost, RemoteError)):
            await channel.request(Ack(), 5)
