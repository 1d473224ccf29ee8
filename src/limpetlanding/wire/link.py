"""Link: one connection, owned by one task."""

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from limpetlanding.errors import ProtocolError
from limpetlanding.wire.codec import (
    Frame,
    FrameBuffer,
    FrameKind,
    encode_frame,
    tag_of,
)
from limpetlanding.wire.counters import Counters
from limpetlanding.wire.messages import PROTOCOL_VERSION, Heartbeat, Hello
from limpetlanding.wire.options import Timing

_READ_BYTES = 64 * 1024
_MAX_HELLO_BYTES = 16 * 1024
# Above this amount of unsent data notifications are dropped.
_CROWDED_BYTES = 8 * 1024 * 1024
# Above this amount the link is dropped: the peer reads too slowly.
_MAX_UNSENT_BYTES = 64 * 1024 * 1024


class Link:
    """One connection to a peer.

    Frames sent within one iteration of the event loop leave in one write.

    Parameters
    ----------
    reader, writer : asyncio streams
        The connection.
    counters : Counters
        Counters of the node.
    timing : Timing
        Heartbeats and time-outs.
    config_digest : callable
        Returns the number that heartbeats carry.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        counters: Counters,
        timing: Timing,
        config_digest: Callable[[], int],
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.counters = counters
        self.timing = timing
        self.config_digest = config_digest
        self.loop = asyncio.get_running_loop()
        self.frames = FrameBuffer(_MAX_HELLO_BYTES)
        self.unsent: list[bytes] = []
        self.unsent_bytes = 0
        self.last_received = self.loop.time()
        self.last_sent = self.loop.time()
        self.last_digest: int | None = None
        self.last_digest_sent = self.loop.time()
        self.last_tick = self.loop.time()
        self.lost = False

    async def exchange_hello(self, own: Hello) -> Hello:
        """Send the own first frame and return the peer's.

        Raises
        ------
        ProtocolError
            If the first frame is not a `Hello` of the same version, or does
            not arrive in time.
        """
        self.send(FrameKind.NOTIFY, 0, own)
        try:
            async with asyncio.timeout(self.timing.hello_s):
                frames = await self._read_first_frames()
        except TimeoutError as error:
            raise ProtocolError('no hello in time', step='hello') from error
        hello = frames[0].message
        if not isinstance(hello, Hello):
            raise ProtocolError(
                f'first frame is {frames[0].tag}, expected hello', step='hello'
            )
        if hello.protocol != PROTOCOL_VERSION:
            raise ProtocolError(
                f'protocol version {hello.protocol}, '
                f'expected {PROTOCOL_VERSION}',
                step='hello',
                peer=hello.node,
            )
        self.early_frames = frames[1:]
        return hello

    async def run(
        self, deliver: Callable[['Link', Frame], None], delay_s: float = 0
    ) -> None:
        """Read frames until the link is lost.

        Parameters
        ----------
        deliver : callable
            Receives every frame except `Hello`.
        delay_s : float
            Emulated one-way delay; frames are handed over in order.

        Raises
        ------
        ProtocolError
            If the peer sends a malformed frame.
        OSError
            If the connection fails.
        """
        hand_over = _delayed(self, deliver, delay_s) if delay_s else deliver
        self._tick()
        for frame in self.early_frames:
            hand_over(self, frame)
        while chunk := await self.reader.read(_READ_BYTES):
            self.last_received = self.loop.time()
            for frame in self.frames.feed(chunk):
                self.counters.received.add(frame.tag, frame.byte_count)
                hand_over(self, frame)

    def send(self, kind: FrameKind, number: int, message: Any) -> bool:
        """Queue one frame for the next write.

        Returns
        -------
        bool
            False if the link is lost, or is crowded and the frame is a
            notification.

        Raises
        ------
        ProtocolError
            If the message cannot be encoded.
        """
        frame = encode_frame(kind, number, message)
        if self.lost:
            return False
        waiting = self.unsent_bytes + self._transport_bytes()
        if waiting > _CROWDED_BYTES and kind == FrameKind.NOTIFY:
            return False
        if waiting > _MAX_UNSENT_BYTES:
            self.counters.events['links_overfull'] += 1
            self.abort()
            return False
        self.counters.sent.add(tag_of(message), len(frame))
        if not self.unsent:
            self.loop.call_soon(self._flush)
        self.unsent.append(frame)
        self.unsent_bytes += len(frame)
        return True

    async def flush(self) -> None:
        """Wait until the operating system has taken all queued frames."""
        self._flush()
        with suppress(OSError):
            await self.writer.drain()

    def abort(self) -> None:
        """Drop the link without sending what is queued."""
        if self.lost:
            return
        self.lost = True
        self.unsent.clear()
        self.writer.transport.abort()

    def close(self) -> None:
        """Close the link after sending what is queued."""
        self._flush()
        self.lost = True
        self.writer.close()

    async def _read_first_frames(self) -> list[Frame]:
        while chunk := await self.reader.read(_READ_BYTES):
            frames = []
            for frame in self.frames.feed(chunk):
                self.frames.max_frame_bytes = FrameBuffer().max_frame_bytes
                self.counters.received.add(frame.tag, frame.byte_count)
                frames.append(frame)
            if frames:
                self.last_received = self.loop.time()
                return frames
        raise ProtocolError('connection closed before hello', step='hello')

    def _transport_bytes(self) -> int:
        return self.writer.transport.get_write_buffer_size()

    def _flush(self) -> None:
        if self.lost or not self.unsent:
            return
        batch = b''.join(self.unsent)
        self.unsent.clear()
        self.unsent_bytes = 0
        self.last_sent = self.loop.time()
        self.writer.write(batch)

    def _tick(self) -> None:
        if self.lost:
            return
        now = self.loop.time()
        tick_s = self.timing.heartbeat_s / 2
        # A process that was paused finds all links silent when it resumes;
        # it first reads what arrived meanwhile.
        paused = now - self.last_tick > self.timing.heartbeat_s
        self.last_tick = now
        if now - self.last_received >= self.timing.silence_s and not paused:
            self.counters.events['links_silent'] += 1
            self.abort()
            return
        self._send_heartbeat_if_due(now)
        self.loop.call_later(tick_s, self._tick)

    def _send_heartbeat_if_due(self, now: float) -> None:
        digest = self.config_digest()
        tick_s = self.timing.heartbeat_s / 2
        if (
            now - self.last_sent > self.timing.heartbeat_s - tick_s / 2
            or digest != self.last_digest
            or now - self.last_digest_sent >= self.timing.digest_s
        ):
            self.last_digest = digest
            self.last_digest_sent = now
            self.send(FrameKind.NOTIFY, 0, Heartbeat(digest))


def _delayed(
    link: Link, deliver: Callable[[Link, Frame], None], delay_s: float
) -> Callable[[Link, Frame], None]:
    # One queue keeps the order even if timers fire out of order.
    waiting: deque[Frame] = deque()

    def hand_over(_link: Link, frame: Frame) -> None:
        waiting.append(frame)
        link.loop.call_later(delay_s, deliver_first)

    def deliver_first() -> None:
        deliver(link, waiting.popleft())

    return hand_over
