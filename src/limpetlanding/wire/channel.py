"""Channel: requests and notifications exchanged with one peer incarnation.

A channel outlives its links: when a link is lost, unanswered requests are sent
again on another one.
"""

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
    RequestWithdrawn,
)
from limpetlanding.lifecycle import Lifecycle, PeerState
from limpetlanding.wire.codec import Frame, FrameKind, tag_of
from limpetlanding.wire.counters import Counters
from limpetlanding.wire.link import Link
from limpetlanding.wire.messages import (
    Ack,
    ErrorReply,
    Farewell,
    Heartbeat,
    Hello,
)
from limpetlanding.wire.transit import TransitClock

# Shortest time between two logged failures of one message type. Formatting a
# traceback takes 2 ms, so many failures at once could use up the processor.
_LOG_INTERVAL_S = 1

Handler = Callable[['Channel', Any], Any]
"""Handles a message and returns the reply or an awaitable of the reply.

A notification whose handler returns no awaitable needs no task, which saves
time for nodes that receive reports from many peers.
"""


class RemoteError(LimpetlandingError):
    """The request failed at the peer.

    ``step`` and ``peer`` tell where the failure occurred.
    """


@dataclass(slots=True)
class _PendingRequest:
    message: Any
    answer: asyncio.Future[Any]
    created_at: float
    is_wanted: Callable[[], bool]
    link: Link | None = None
    sent: bool = False


@dataclass(slots=True)
class _ServedRequest:
    task: asyncio.Task[None]
    # Link on which the request last arrived. The reply is sent there, because
    # the requester repeats the request only after it has lost that link.
    link: Link


class Channel:
    """Requests and notifications exchanged with one peer incarnation.

    Parameters
    ----------
    peer : Hello
        The first frame received from the peer.
    own : Hello
        The first frame sent by this node.
    handler : callable
        Called with the channel and each message; returns the reply or an
        awaitable of it.
    counters : Counters
        Counters of the node.
    suspect_s : float
        Time without a received frame after which the peer is suspect.
    request_numbers : iterator of int
        Request numbers. All channels of the node share this iterator, so that
        a number is never used twice for the same incarnation of a peer, even
        if a second channel to it is created.
    clock : callable
        Returns seconds of a clock that runs on while the process is suspended.
    """

    def __init__(
        self,
        peer: Hello,
        own: Hello,
        handler: Handler,
        counters: Counters,
        suspect_s: float,
        request_numbers: Iterator[int],
        clock: Callable[[], float],
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
        # When the last link was lost; None once the peer is heard on another.
        # A link whose hello has not reached the peer is open at this end only.
        self.link_lost_at: float | None = None
        self.on_heard_again: Callable[[Channel], None] = _ignore
        # When the last frame of the peer was read. Unlike the silence of a
        # link, this also counts the time in which this process was late.
        self.heard_at = self.loop.time()
        self.on_heartbeat: Callable[[Channel, int], None] | None = None
        # Whether the owner of the channel has work at the peer, or the peer
        # here, so that either must soon notice the loss of the other.
        self.has_work: Callable[[], bool] = _no_work
        # One end has said farewell; a lost link is not opened again.
        self.released = False
        self.pending: dict[int, _PendingRequest] = {}
        self.served_requests: dict[int, _ServedRequest] = {}
        self.notification_tasks: set[asyncio.Task[None]] = set()
        self.request_numbers = request_numbers
        self.clock = clock
        self.last_logged_at: dict[str, float] = {}
        self.transit = TransitClock()

    def __repr__(self) -> str:
        return f'<Channel {self.peer.node} {self.peer.incarnation}>'

    @property
    def suspect(self) -> bool:
        """Whether the peer has no link or was silent for ``suspect_s``."""
        if not self.links:
            return True
        return all(link.is_silent(self.suspect_s) for link in self.links)

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress and there is no other work."""
        return not (self.pending or self.served_requests or self.has_work())

    async def request(
        self,
        message: Any,
        timeout_s: float,
        is_wanted: Callable[[], bool] | None = None,
    ) -> Any:
        """Send a request and return the reply.

        If the link is lost before the reply arrives, the request is sent again
        on another link. If the message has a field ``deadline_ms``, a request
        that is sent late or again carries the time that is left by then; a
        field ``sent_ms`` receives the time of each sending.

        Parameters
        ----------
        message : Any
            The request.
        timeout_s : float
            Time limit for the reply, in seconds.
        is_wanted : callable, optional
            Asked each time before the request is sent; it is withdrawn if the
            answer is no.

        Raises
        ------
        RequestWithdrawn
            If the request is not wanted any more when it is to be sent.
        PeerLost
            If the channel is closed because the incarnation is gone.
        RequestTimeout
            If no reply arrives within `timeout_s`.
        RemoteError
            If the handler at the peer fails or the peer is stopping.
        ProtocolError
            If the message cannot be encoded.
        """
        step = tag_of(message)
        if self.closed.is_set():
            raise PeerLost('the peer is gone', step=step, peer=self.peer.node)
        number = next(self.request_numbers)
        answer = self.loop.create_future()
        pending = _PendingRequest(
            message, answer, self.loop.time(), is_wanted or _always
        )
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
        """Send a message that gets no reply.

        The message is dropped and counted if there is no link or the newest
        link is congested.

        Raises
        ------
        ProtocolError
            If the message cannot be encoded.
        """
        link = self.links[-1] if self.links else None
        if link is None or not link.send(FrameKind.NOTIFY, 0, message):
            self.counters.events['notifications_dropped'] += 1

    def attach(self, link: Link) -> None:
        """Add a link and send the requests that are waiting for one."""
        self.links.append(link)
        self.released = False
        self.unlinked.clear()
        link.on_writable = self._send_unsent_requests
        link.is_idle = lambda: self.is_idle
        self._send_unsent_requests()

    def detach(self, link: Link) -> None:
        """Remove a lost link; its unanswered requests use another one."""
        if link not in self.links:
            return
        self.links.remove(link)
        for pending in self.pending.values():
            if pending.link is link:
                pending.link = None
        if self.links:
            self._send_unsent_requests()
        else:
            self.unlinked.set()
            if self.link_lost_at is None:
                self.link_lost_at = self.loop.time()

    def receive(self, link: Link, frame: Frame) -> None:
        """Handle one frame that arrived on `link`."""
        self.heard_at = self.loop.time()
        if self.closed.is_set():
            return
        if self.link_lost_at is not None and link in self.links:
            self.link_lost_at = None
            self.on_heard_again(self)
        if frame.kind != FrameKind.NOTIFY:
            self.end_slowdown()
        if frame.kind == FrameKind.REPLY:
            self._receive_reply(frame)
        elif frame.kind == FrameKind.REQUEST:
            self._receive_request(link, frame)
        elif isinstance(frame.message, Heartbeat):
            self._receive_heartbeat(frame.message)
        elif isinstance(frame.message, Farewell):
            self.released = True
        else:
            self._receive_notification(frame)

    def transit_s(self, sent_ms: int) -> float:
        """Return how long a message of the peer was on its way, in seconds.

        It is 0 if the peer has not stated when it sent the message.

        Parameters
        ----------
        sent_ms : int
            Time of the sending, in milliseconds on the clock of the peer.
        """
        if not sent_ms:
            return 0
        return self.transit.transit_s(sent_ms / 1000, self.clock())

    def end_slowdown(self) -> None:
        """Return to the usual heartbeats on all links."""
        for link in self.links:
            link.end_slowdown()

    def fail(self, detail: str) -> None:
        """Close the channel; every unanswered request raises `PeerLost`."""
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

    def _transmit(self, number: int, pending: _PendingRequest) -> None:
        if not pending.is_wanted():
            self._withdraw(pending)
            return
        message = _with_times(
            pending.message,
            self.loop.time() - pending.created_at,
            self.clock(),
        )
        self.end_slowdown()
        for link in reversed(self.links):
            if link.send(FrameKind.REQUEST, number, message):
                if pending.sent:
                    self.counters.events['requests_repeated'] += 1
                pending.link = link
                pending.sent = True
                return

    def _withdraw(self, pending: _PendingRequest) -> None:
        self.counters.events['requests_withdrawn'] += 1
        pending.answer.set_exception(
            RequestWithdrawn(
                'not wanted any more',
                step=tag_of(pending.message),
                peer=self.peer.node,
                sent=pending.sent,
            )
        )

    def _send_unsent_requests(self) -> None:
        for number, pending in list(self.pending.items()):
            if pending.link is None and not pending.answer.done():
                self._transmit(number, pending)

    def _receive_heartbeat(self, heartbeat: Heartbeat) -> None:
        if heartbeat.sent_ms:
            self.transit.record(heartbeat.sent_ms / 1000, self.clock())
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
        served = self.served_requests.get(frame.number)
        if served is not None:
            self.counters.events['requests_joined'] += 1
            served.link = link
            return
        task = self.loop.create_task(self._serve_request(frame))
        self.served_requests[frame.number] = _ServedRequest(task, link)

    async def _serve_request(self, frame: Frame) -> None:
        served = self.served_requests[frame.number]
        try:
            reply = await self._reply_to(frame)
            await served.link.wait_until_writable()
        finally:
            self.served_requests.pop(frame.number, None)
        try:
            self._send_reply(served.link, frame.number, reply)
        except ProtocolError as error:
            reply = self._error_reply(frame, error)
            self._send_reply(served.link, frame.number, reply)

    async def _reply_to(self, frame: Frame) -> Any:
        if self.stopping:
            return ErrorReply(frame.tag, self.own.node, 'the peer is stopping')
        try:
            reply = self.handler(self, frame.message)
            if isawaitable(reply):
                reply = await reply
            return reply or Ack()
        except asyncio.CancelledError as error:
            link = self.served_requests[frame.number].link
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
            result = self.handler(self, frame.message)
        except Exception as error:
            self._log_failure(frame.tag, error)
            return
        if isawaitable(result):
            task = self.loop.create_task(self._await_handler(frame.tag, result))
            self.notification_tasks.add(task)
            task.add_done_callback(self.notification_tasks.discard)

    async def _await_handler(self, step: str, waiting: Awaitable[Any]) -> None:
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
        if (
            now - self.last_logged_at.get(step, -_LOG_INTERVAL_S)
            < _LOG_INTERVAL_S
        ):
            return
        self.last_logged_at[step] = now
        logger.bind(step=step, peer=self.peer.node).opt(exception=error).error(
            'handler failed'
        )


def _ignore(_channel: Channel) -> None:
    """Do nothing; used until the owner has set its callback."""


def _always() -> bool:
    """Return True; used for requests that are always wanted."""
    return True


def _no_work() -> bool:
    """Return False; used until the owner has set its condition."""
    return False


def _expire(answer: asyncio.Future[Any], step: str, peer: str) -> None:
    if not answer.done():
        answer.set_exception(
            RequestTimeout('no answer in time', step=step, peer=peer)
        )


def _with_times(message: Any, elapsed_s: float, now: float) -> Any:
    elapsed_ms = elapsed_s * 1000
    changes: dict[str, float] = {}
    # With a writable link, the first transmission follows within 1 ms and
    # keeps its deadline.
    if elapsed_ms >= 1 and hasattr(message, 'deadline_ms'):
        changes['deadline_ms'] = max(0, message.deadline_ms - elapsed_ms)
    if hasattr(message, 'sent_ms'):
        changes['sent_ms'] = round(1000 * now)
    return replace(message, **changes) if changes else message
