"""Link: one connection to a peer, read by one task."""

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import closing, suppress
from typing import Any

from loguru import logger

from limpetlanding.errors import ProtocolError
from limpetlanding.wire.codec import (
    MAX_FRAME_BYTES,
    Frame,
    FrameBuffer,
    FrameKind,
    MalformedMessage,
    encode_frame,
    tag_of,
)
from limpetlanding.wire.counters import Counters
from limpetlanding.wire.messages import (
    PROTOCOL_VERSION,
    ErrorReply,
    Heartbeat,
    Hello,
)
from limpetlanding.wire.options import Timing
from limpetlanding.wire.suspension import SuspensionMonitor

_READ_BYTES = 64 * 1024
_MAX_HELLO_BYTES = 16 * 1024
# Above this amount of unsent data a link is congested: notifications are
# dropped, requests and replies wait.
_MAX_UNSENT_BYTES = 8 * 1024 * 1024
_MIN_TICK_S = 0.05

MAX_SLOWDOWN = 20
"""Highest slowdown that a peer may announce; a higher one counts as this."""


class Link:
    """One connection to a peer.

    All frames sent within one iteration of the event loop are written at once.

    Parameters
    ----------
    reader, writer : asyncio streams
        The connection.
    counters : Counters
        Counters of the node.
    timing : Timing
        Heartbeat intervals and time limits.
    config_digest : callable
        Returns the configuration digest that heartbeats carry.
    suspensions : SuspensionMonitor
        Suspensions of this process.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        counters: Counters,
        timing: Timing,
        config_digest: Callable[[], int],
        suspensions: SuspensionMonitor,
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.counters = counters
        self.timing = timing
        self.config_digest = config_digest
        self.loop = asyncio.get_running_loop()
        self.suspensions = suspensions
        self.clock = suspensions.clock
        self.suspensions_seen = suspensions.check()
        # Whether the link may have slow heartbeats, and whether it is idle now.
        self.supports_slowdown = False
        self.is_idle: Callable[[], bool] = _never
        # Multiples of the usual intervals that each end has announced.
        self.own_slowdown: float = 1
        self.peer_slowdown: float = 1
        self.frames = FrameBuffer(_MAX_HELLO_BYTES)
        self.unsent: list[bytes] = []
        self.unsent_bytes = 0
        self.last_received = self.loop.time()
        self.last_sent = self.loop.time()
        # The last value of `last_received` that `_allow_for_lateness` has set.
        self.last_allowance: float | None = None
        self.last_digest: int | None = None
        self.last_digest_sent = self.loop.time()
        self.tick_due = self.loop.time()
        self.tick_timer: asyncio.TimerHandle | None = None
        self.on_writable: Callable[[], None] | None = None
        self.writable = asyncio.Event()
        self.writable.set()
        self.drain_task: asyncio.Task[None] | None = None
        self.lost = False
        self.closing = False
        self.ended = asyncio.Event()

    async def exchange_hello(self, own: Hello) -> Hello:
        """Send `own` as the first frame and return the first frame of the peer.

        Raises
        ------
        ProtocolError
            If the first frame is malformed or not a `Hello` of the same
            protocol version with a node name and an incarnation, if it does
            not arrive within ``hello_s``, or if the peer closes the connection
            before.
        OSError
            If the connection fails.
        """
        self.send(FrameKind.NOTIFY, 0, own)
        try:
            async with asyncio.timeout(self.timing.hello_s):
                frame = await self._read_first_frame()
        except TimeoutError as error:
            raise ProtocolError('no hello in time', step='hello') from error
        hello = frame.message
        if not isinstance(hello, Hello):
            raise ProtocolError(
                f'first frame is {frame.tag}, expected hello', step='hello'
            )
        if not hello.node or not hello.incarnation:
            raise ProtocolError(
                'hello without node name or incarnation', step='hello'
            )
        if hello.protocol != PROTOCOL_VERSION:
            raise ProtocolError(
                f'protocol version {hello.protocol}, '
                f'expected {PROTOCOL_VERSION}',
                step='hello',
                peer=hello.node,
            )
        self.supports_slowdown = own.slow_heartbeats and hello.slow_heartbeats
        return hello

    async def run(
        self, deliver: Callable[['Link', Frame], None], delay_s: float = 0
    ) -> None:
        """Read frames until the link is lost.

        Parameters
        ----------
        deliver : callable
            Receives every frame after the first, which is the `Hello`.
        delay_s : float
            Emulated one-way delay; frames are delivered in order.

        Raises
        ------
        ProtocolError
            If the peer sends a malformed frame.
        OSError
            If the connection fails.
        """
        deliver_frame = _delayed(self, deliver, delay_s) if delay_s else deliver
        self._tick()
        try:
            await self._read_frames(deliver_frame)
        finally:
            self.ended.set()

    def send(self, kind: FrameKind, number: int, message: Any) -> bool:
        """Queue one frame for the next write.

        Returns
        -------
        bool
            False if the frame is not sent, because the link is lost or
            closing, or because it is congested and the frame is not a reply.

        Raises
        ------
        ProtocolError
            If the message cannot be encoded.
        """
        frame = encode_frame(kind, number, message)
        if not self._is_open():
            return False
        if kind != FrameKind.REPLY and self.is_congested():
            return False
        if kind != FrameKind.NOTIFY:
            self.end_slowdown()
        self.counters.sent.add(tag_of(message), len(frame))
        if not self.unsent:
            self.loop.call_soon(self._flush)
        self.unsent.append(frame)
        self.unsent_bytes += len(frame)
        return True

    def is_silent(self, limit_s: float) -> bool:
        """Tell whether the peer has been silent for longer than a limit.

        Parameters
        ----------
        limit_s : float
            Limit in seconds at the usual interval of heartbeats; it is longer
            while the peer announces slow ones.
        """
        silent_s = self.loop.time() - self.last_received
        return silent_s > limit_s * self.peer_slowdown

    def is_congested(self) -> bool:
        """Whether so much data is unsent that new frames have to wait."""
        transport_bytes = self.writer.transport.get_write_buffer_size()
        if self.unsent_bytes + transport_bytes <= _MAX_UNSENT_BYTES:
            return False
        if self.writable.is_set():
            self.writable.clear()
            self.drain_task = self.loop.create_task(self._drain())
        return True

    async def wait_until_writable(self) -> None:
        """Wait until the link is not congested, or is lost."""
        while not self.lost and self.is_congested():
            await self.writable.wait()

    def abort(self) -> None:
        """Close the connection without sending the queued frames."""
        self.lost = True
        self.unsent.clear()
        if self.drain_task is not None:
            self.drain_task.cancel()
        self.writable.set()
        self.writer.transport.abort()

    async def close(self) -> None:
        """Send the queued frames, then close the connection.

        The sending direction is closed first, if the transport allows that.
        The peer closes its side when it has read everything, which ends `run`
        and this method. Closing both directions at once could reset the
        connection and lose data that the peer has not read.
        """
        self._flush()
        self.closing = True
        if not self.writer.is_closing():
            with suppress(OSError):
                if self.writer.can_write_eof():
                    self.writer.write_eof()
                else:
                    self.writer.close()
        await self.ended.wait()

    async def _read_frames(
        self, deliver: Callable[['Link', Frame], None]
    ) -> None:
        chunk = b''  # The buffer may already have frames after the hello.
        while not self.lost:
            self._deliver_frames(chunk, deliver)
            chunk = await self.reader.read(_READ_BYTES)
            if not chunk or self._drop_if_suspended():
                return
            self.last_received = self.loop.time()

    def _drop_if_suspended(self) -> bool:
        """Drop the link if the process was suspended for too long.

        Also records that the process is running now.
        """
        if self.suspensions.check() == self.suspensions_seen:
            return False
        self.counters.events['links_stale'] += 1
        logger.bind(
            step='link',
            still_ms=round(1000 * self.suspensions.last_suspension_s),
        ).info('link dropped: this process was suspended')
        self.abort()
        return True

    def _deliver_frames(
        self, chunk: bytes, deliver: Callable[['Link', Frame], None]
    ) -> None:
        try:
            for frame in self.frames.feed(chunk):
                self.counters.received.add(frame.tag, frame.byte_count)
                if frame.kind != FrameKind.NOTIFY:
                    self.end_slowdown()
                elif isinstance(frame.message, Heartbeat):
                    # In this order NaN counts as 1.
                    announced = min(frame.message.slowdown, MAX_SLOWDOWN)
                    self.peer_slowdown = max(1, announced)
                deliver(self, frame)
        except MalformedMessage as error:
            if error.kind == FrameKind.REQUEST:
                # Without a reply the requester would repeat the request on
                # each new link, and each of them would be closed again.
                reply = ErrorReply(error.step, '', error.detail)
                self.send(FrameKind.REPLY, error.number, reply)
                self._flush()
            raise

    async def _drain(self) -> None:
        self._flush()
        with suppress(OSError):
            await self.writer.drain()
        self.writable.set()
        if self.on_writable is not None and not self.lost:
            self.on_writable()

    async def _read_first_frame(self) -> Frame:
        while chunk := await self.reader.read(_READ_BYTES):
            with closing(self.frames.feed(chunk)) as frames:
                frame = next(frames, None)
            if frame is not None:
                self.frames.max_frame_bytes = MAX_FRAME_BYTES
                self.counters.received.add(frame.tag, frame.byte_count)
                self.last_received = self.loop.time()
                return frame
        raise ProtocolError('connection closed before hello', step='hello')

    def _is_open(self) -> bool:
        # uvloop raises RuntimeError if a transport is used after a reset. The
        # link is lost as soon as its reader notices the reset.
        return not (self.lost or self.closing or self.writer.is_closing())

    def _flush(self) -> None:
        batch = b''.join(self.unsent)
        self.unsent.clear()
        self.unsent_bytes = 0
        if not batch or not self._is_open():
            return
        self.last_sent = self.loop.time()
        self.writer.write(batch)

    def _tick(self) -> None:
        # After a suspension this timer may run before or after the data that
        # has arrived is read.
        if self.lost or self._drop_if_suspended():
            return
        now = self.loop.time()
        timing = self.timing
        late_s = now - self.tick_due
        if late_s > timing.heartbeat_s / 2:
            self._allow_for_lateness(now)
        silence_s = timing.silence_s * self.peer_slowdown
        if now - self.last_received >= silence_s:
            self.counters.events['links_silent'] += 1
            self.abort()
            return
        self._send_heartbeat_if_due(now)
        heartbeat_s = timing.heartbeat_s * self.own_slowdown
        due = min(
            self.last_sent + heartbeat_s,
            self.last_received + timing.silence_s * self.peer_slowdown,
        )
        self._schedule_tick(min(max(due - now, _MIN_TICK_S), heartbeat_s))

    def _allow_for_lateness(self, now: float) -> None:
        """Give the peer time to be heard after this process was late.

        Data that arrived meanwhile is not yet read. The link gets a heartbeat's
        time once after each frame, so that a process that is slow all the time
        still notices a silent peer.
        """
        if self.last_received == self.last_allowance:
            return
        silence_s = self.timing.silence_s * self.peer_slowdown
        earliest = now - silence_s + self.timing.heartbeat_s
        self.last_received = max(self.last_received, earliest)
        self.last_allowance = self.last_received

    def _schedule_tick(self, wait_s: float) -> None:
        if self.tick_timer is not None:
            self.tick_timer.cancel()
        self.tick_due = self.loop.time() + wait_s
        self.tick_timer = self.loop.call_later(wait_s, self._tick)

    def end_slowdown(self) -> None:
        """Return to the usual intervals, because requests are in progress.

        Both ends do so with each request and reply that they send or receive.
        """
        if self.peer_slowdown > 1:
            # Until now the peer was allowed to be silent for longer.
            self.last_received = self.loop.time()
            self.peer_slowdown = 1
        if self.own_slowdown > 1:
            self.own_slowdown = 1
            self._schedule_tick(self.timing.heartbeat_s)

    def _send_heartbeat_if_due(self, now: float) -> None:
        digest = self.config_digest()
        heartbeat_s = self.timing.heartbeat_s * self.own_slowdown
        if (
            now - self.last_sent >= heartbeat_s - _MIN_TICK_S / 2
            or digest != self.last_digest
            or now - self.last_digest_sent >= self.timing.digest_s
        ):
            self.last_digest = digest
            self.last_digest_sent = now
            may_slow_down = self.supports_slowdown and self.is_idle()
            self.own_slowdown = (
                self.timing.idle_slowdown if may_slow_down else 1
            )
            self.send(
                FrameKind.NOTIFY,
                0,
                Heartbeat(
                    digest,
                    float(self.own_slowdown),
                    round(1000 * self.clock()),
                ),
            )
            self._flush()


def _never() -> bool:
    """Return False; used until the channel has set its condition."""
    return False


def _delayed(
    link: Link, deliver: Callable[[Link, Frame], None], delay_s: float
) -> Callable[[Link, Frame], None]:
    # The queue keeps the order of the frames even if timers fire out of order.
    delayed_frames: deque[Frame] = deque()

    def deliver_later(_link: Link, frame: Frame) -> None:
        delayed_frames.append(frame)
        link.loop.call_later(delay_s, deliver_first)

    def deliver_first() -> None:
        deliver(link, delayed_frames.popleft())

    return deliver_later
