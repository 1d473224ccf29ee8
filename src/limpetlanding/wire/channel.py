"""Channel: all traffic with one peer incarnation, over successive links."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, replace
from inspect import isawaitable
from typing import Any

from loguru import logger

from limpetlanding.errors import (
    LimpetlandingError,
    PeerLost,
    ProtocolError,
    RequestTimeout,
)
from limpetlanding.lifecycle import Lifecycle, PeerState
from limpetlanding.wire.codec import Frame, FrameKind, tag_of
from limpetlanding.wire.counters import Counters
from limpetlanding.wire.link import Link
from limpetlanding.wire.messages import Ack, ErrorReply, Heartbeat, Hello

# A traceback takes 2 ms to format; a wave of failures must not take the
# processor from the work that succeeds.
_LOG_INTERVAL_S = 1

Handler = Callable[['Channel', Any], Any]
"""Returns the reply or an awaitable of it. What is not awaited costs no task,
which counts where reports of many peers arrive."""


class RemoteError(LimpetlandingError):
    """The peer's handler failed; step and peer are those of the failure."""


@dataclass(slots=True)
class _Pending:
    message: Any
    answer: asyncio.Future[Any]
    created: float
    link: Link | None = None
    sent: bool = False


@dataclass(slots=True)
class _Serving:
    task: asyncio.Task[None]
    # The link of the latest copy. The reply goes there, since the requester
    # repeats the request only if it loses that link.
    link: Link


class Channel:
    """All traffic with one peer incarnation.

    Parameters
    ----------
    peer : Hello
        The peer's first frame.
    own : Hello
        The first frame of this node.
    handler : callable
        Called with the channel and each message; its result is the reply.
    counters : Counters
        Counters of the node.
    suspect_s : float
        Time without traffic after which the peer is suspect.
    request_numbers : iterator of int
        Request numbers, shared by all channels of the node so that a number
        is never used twice towards the same incarnation of a peer.
    """

    def __init__(
        self,
        peer: Hello,
        own: Hello,
        handler: Handler,
        counters: Counters,
        suspect_s: float,
        request_numbers: Iterator[int],
    ) -> None:
        self.peer = peer
        self.own = own
        self.handler = handler
        self.counters = counters
        self.suspect_s = suspect_s
        self.loop = asyncio.get_running_loop()
        self.links: list[Link] = []
        self.closed = asyncio.Event()
        self.stopping = False
        self.unlinked = asyncio.Event()
        self.lifecycle = Lifecycle(PeerState, peer.node)
        self.link_lost_at: float | None = None
        self.on_heartbeat: Callable[[Channel, int], None] | None = None
        self.pending: dict[int, _Pending] = {}
        self.serving: dict[int, _Serving] = {}
        self.notified: set[asyncio.Task[None]] = set()
        self.request_numbers = request_numbers
        self.logged_at: dict[str, float] = {}

    def __repr__(self) -> str:
        return f'<Channel {self.peer.node} {self.peer.incarnation}>'

    @property
    def suspect(self) -> bool:
        """Whether the peer has no link or has sent nothing for a while."""
        if not self.links:
            return True
        heard = max(link.last_received for link in self.links)
        return self.loop.time() - heard > self.suspect_s

    async def request(self, message: Any, timeout_s: float) -> Any:
        """Send a request and return the reply.

        The request is repeated on the next link until it is answered. If it
        has a field ``deadline_ms``, a repetition carries the time then left.

        Raises
        ------
        PeerLost
            If the peer's incarnation is gone.
        RequestTimeout
            If no reply arrives within `timeout_s`.
        RemoteError
            If the handler at the peer fails.
        ProtocolError
            If the message cannot be encoded.
        """
        step = tag_of(message)
        if self.closed.is_set():
            raise PeerLost('the peer is gone', step=step, peer=self.peer.node)
        number = next(self.request_numbers)
        answer = self.loop.create_future()
        pending = _Pending(message, answer, self.loop.time())
        self.pending[number] = pending
        timer = self.loop.call_later(
            timeout_s, _expire, answer, step, self.peer.node
        )
        try:
            self._transmit(number, pending)
            return await answer
        finally:
            timer.cancel()
            self.pending.pop(number, None)

    def notify(self, message: Any) -> None:
        """Send a message without reply; it is dropped if there is no link.

        Raises
        ------
        ProtocolError
            If the message cannot be encoded.
        """
        link = self.links[-1] if self.links else None
        if link is None or not link.send(FrameKind.NOTIFY, 0, message):
            self.counters.events['notifications_dropped'] += 1

    def attach(self, link: Link) -> None:
        """Use `link` for what is sent from now on."""
        self.links.append(link)
        self.link_lost_at = None
        self.unlinked.clear()
        link.on_room = self._send_waiting
        self._send_waiting()

    def detach(self, link: Link) -> None:
        """Stop using a lost link; unanswered requests move to another."""
        if link not in self.links:
            return
        self.links.remove(link)
        for pending in self.pending.values():
            if pending.link is link:
                pending.link = None
        if self.links:
            self._send_waiting()
        else:
            self.unlinked.set()
            self.link_lost_at = self.loop.time()

    def receive(self, link: Link, frame: Frame) -> None:
        """Handle one frame that arrived on `link`."""
        if self.closed.is_set():
            return
        if frame.kind == FrameKind.REPLY:
            self._receive_reply(frame)
        elif frame.kind == FrameKind.REQUEST:
            self._receive_request(link, frame)
        elif isinstance(frame.message, Heartbeat):
            self._receive_heartbeat(frame.message)
        else:
            self._receive_notification(frame)

    def fail(self, detail: str) -> None:
        """Close the channel; every unanswered request fails."""
        if self.closed.is_set():
            return
        self.closed.set()
        for link in self.links:
            link.abort()
        self.links.clear()
        self.unlinked.set()
        for pending in self.pending.values():
            if not pending.answer.done():
                step = tag_of(pending.message)
                pending.answer.set_exception(
                    PeerLost(detail, step=step, peer=self.peer.node)
                )

    def _transmit(self, number: int, pending: _Pending) -> None:
        message = _with_time_left(
            pending.message, self.loop.time() - pending.created
        )
        for link in reversed(self.links):
            if link.send(FrameKind.REQUEST, number, message):
                if pending.sent:
                    self.counters.events['requests_repeated'] += 1
                pending.link = link
                pending.sent = True
                return

    def _send_waiting(self) -> None:
        for number, pending in list(self.pending.items()):
            if pending.link is None and not pending.answer.done():
                self._transmit(number, pending)

    def _receive_heartbeat(self, heartbeat: Heartbeat) -> None:
        if self.on_heartbeat is None:
            return
        try:
            self.on_heartbeat(self, heartbeat.config_digest)
        except Exception as error:
            self._log_failure('hb', error)

    def _receive_reply(self, frame: Frame) -> None:
        pending = self.pending.pop(frame.number, None)
        if pending is None or pending.answer.done():
            self.counters.events['replies_dropped'] += 1
        elif isinstance(frame.message, ErrorReply):
            error = frame.message
            peer = error.peer or self.peer.node
            pending.answer.set_exception(
                RemoteError(error.detail, step=error.step, peer=peer)
            )
        else:
            pending.answer.set_result(frame.message)

    def _receive_request(self, link: Link, frame: Frame) -> None:
        serving = self.serving.get(frame.number)
        if serving is not None:
            self.counters.events['requests_joined'] += 1
            serving.link = link
            return
        task = self.loop.create_task(self._serve_request(frame))
        self.serving[frame.number] = _Serving(task, link)

    async def _serve_request(self, frame: Frame) -> None:
        serving = self.serving[frame.number]
        try:
            reply = await self._reply_to(frame)
            await serving.link.wait_for_room()
        finally:
            self.serving.pop(frame.number, None)
        try:
            self._send_reply(serving.link, frame.number, reply)
        except ProtocolError as error:
            reply = self._error_reply(frame, error)
            self._send_reply(serving.link, frame.number, reply)

    async def _reply_to(self, frame: Frame) -> Any:
        if self.stopping:
            return ErrorReply(frame.tag, self.own.node, 'the peer is stopping')
        try:
            reply = self.handler(self, frame.message)
            if isawaitable(reply):
                reply = await reply
            return reply or Ack()
        except asyncio.CancelledError as error:
            link = self.serving[frame.number].link
            self._send_reply(
                link, frame.number, self._error_reply(frame, error)
            )
            raise
        except LimpetlandingError as error:
            return self._error_reply(frame, error)
        except Exception as error:
            self._log_failure(frame.tag, error)
            return self._error_reply(frame, error)

    def _send_reply(self, first: Link, number: int, reply: Any) -> None:
        for link in (first, *reversed(self.links)):
            if link.send(FrameKind.REPLY, number, reply):
                return
        self.counters.events['replies_unsent'] += 1

    def _receive_notification(self, frame: Frame) -> None:
        try:
            waiting = self.handler(self, frame.message)
        except Exception as error:
            self._log_failure(frame.tag, error)
            return
        if isawaitable(waiting):
            task = self.loop.create_task(self._finish(frame.tag, waiting))
            self.notified.add(task)
            task.add_done_callback(self.notified.discard)

    async def _finish(self, step: str, waiting: Awaitable[Any]) -> None:
        try:
            await waiting
        except Exception as error:
            self._log_failure(step, error)

    def _error_reply(self, frame: Frame, error: BaseException) -> ErrorReply:
        if isinstance(error, LimpetlandingError):
            peer = error.peer or self.own.node
            return ErrorReply(error.step, peer, error.detail)
        detail = f'{type(error).__name__}: {error}'
        return ErrorReply(frame.tag, self.own.node, detail)

    def _log_failure(self, step: str, error: Exception) -> None:
        self.counters.events['handler_failures'] += 1
        now = self.loop.time()
        if now - self.logged_at.get(step, -_LOG_INTERVAL_S) < _LOG_INTERVAL_S:
            return
        self.logged_at[step] = now
        logger.bind(step=step, peer=self.peer.node).opt(exception=error).error(
            'handler failed'
        )


def _expire(answer: asyncio.Future[Any], step: str, peer: str) -> None:
    if not answer.done():
        answer.set_exception(
            RequestTimeout('no answer in time', step=step, peer=peer)
        )


def _with_time_left(message: Any, elapsed_s: float) -> Any:
    elapsed_ms = elapsed_s * 1000
    # The first transmission follows at once and goes out unchanged.
    if elapsed_ms < 1 or not hasattr(message, 'deadline_ms'):
        return message
    left_ms = max(0, message.deadline_ms - elapsed_ms)
    return replace(message, deadline_ms=left_ms)
