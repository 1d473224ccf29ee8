"""Peers: registry of channels by incarnation and by address."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from loguru import logger

from limpetlanding.errors import ProtocolError
from limpetlanding.lifecycle import PeerState
from limpetlanding.wire.channel import Channel
from limpetlanding.wire.link import Link
from limpetlanding.wire.messages import Hello
from limpetlanding.wire.options import Timing

_MAX_GONE_INCARNATIONS = 10_000


@dataclass(slots=True)
class PeerEvents:
    """Callbacks for state changes of peers, each called with the channel.

    Parameters
    ----------
    up : callable
        The peer has its first link, or a link again after it was down.
    relinked : callable
        The peer has a link again and was not yet reported as down.
    down : callable
        The peer has had no link for ``down_s``, or is gone.
    link_lost : callable
        The peer has lost its last link.
    """

    up: Callable[[Channel], None]
    relinked: Callable[[Channel], None]
    down: Callable[[Channel], None]
    link_lost: Callable[[Channel], None]


class Peers:
    """Channels of one node, one per peer incarnation.

    Parameters
    ----------
    create : callable
        Called with the first frame of a peer; returns a new channel.
    events : PeerEvents
        Callbacks.
    timing : Timing
        Time limits.
    """

    def __init__(
        self,
        create: Callable[[Hello], Channel],
        events: PeerEvents,
        timing: Timing,
    ) -> None:
        self.create = create
        self.events = events
        self.timing = timing
        self.channels: dict[tuple[str, str], Channel] = {}
        self.channels_by_address: dict[str, list[Channel]] = {}
        self.gone: dict[tuple[str, str], None] = {}

    def newest_at(self, address: str) -> Channel | None:
        """Return the channel of the latest incarnation seen at an address."""
        channels = self.channels_by_address.get(address)
        return channels[-1] if channels else None

    def link_up(self, hello: Hello, link: Link, dialed_address: str) -> Channel:
        """Add a link to the channel of its peer after the exchange of hellos.

        The channel is created if the incarnation has none. Other incarnations
        that the new one has replaced at its address are declared gone.

        Parameters
        ----------
        hello : Hello
            First frame of the peer.
        link : Link
            The new link.
        dialed_address : str
            Address at which this node reached the peer; empty if the peer
            has dialed this node.

        Raises
        ------
        ProtocolError
            If the peer's incarnation is known to be gone.
        """
        key = hello.node, hello.incarnation
        if key in self.gone:
            raise ProtocolError(
                'this incarnation has been replaced at its address',
                step='hello',
                peer=hello.node,
            )
        channel = self.channels.get(key)
        if channel is None:
            channel = self.create(hello)
            channel.on_heard_again = self._heard_again
            self.channels[key] = channel
        for address in {hello.address, dialed_address} - {''}:
            self._record_address(channel, address)
        self._remove_replaced(
            channel, address_confirmed=dialed_address == hello.address
        )
        had_link = bool(channel.links)
        channel.attach(link)
        if channel.link_lost_at is None and not had_link:
            self._heard_again(channel)
        return channel

    def _heard_again(self, channel: Channel) -> None:
        if channel.lifecycle.transition_to(PeerState.UP):
            _log(channel, 'peer is up')
            _call(self.events.up, channel)
        else:
            _call(self.events.relinked, channel)

    def link_lost(self, channel: Channel, link: Link) -> None:
        """Remove a lost link from its channel.

        After the last link, the peer is declared gone if another incarnation
        with a link names its address, and a released channel is removed.
        Otherwise it is reported as down after
        ``down_s`` and removed after ``forget_s`` unless it has a link again.
        """
        channel.detach(link)
        if channel.links or channel.closed.is_set():
            return
        if any(self._successors(channel)):
            self.declare_gone(channel)
            return
        if channel.released:
            self.remove(channel, 'released')
            return
        lost_at = channel.link_lost_at
        channel.loop.call_later(
            self.timing.down_s, self._report_down, channel, lost_at
        )
        channel.loop.call_later(
            self.timing.forget_s, self._forget, channel, lost_at
        )
        _call(self.events.link_lost, channel)

    def declare_gone(self, channel: Channel) -> None:
        """Remove a peer whose address another incarnation now has.

        Later links of the removed incarnation are refused.
        """
        self.gone[(channel.peer.node, channel.peer.incarnation)] = None
        while len(self.gone) > _MAX_GONE_INCARNATIONS:
            self.gone.pop(next(iter(self.gone)))
        self.remove(channel, 'another incarnation has its address')

    def remove(self, channel: Channel, detail: str) -> None:
        """Close a channel; a later link of its peer creates a new channel."""
        self.channels.pop((channel.peer.node, channel.peer.incarnation), None)
        for address, channels in list(self.channels_by_address.items()):
            if channel in channels:
                channels.remove(channel)
            if not channels:
                self.channels_by_address.pop(address)
        channel.fail(detail)
        was_up = channel.lifecycle.state is PeerState.UP
        channel.lifecycle.transition_to(PeerState.GONE)
        _log(channel, f'channel closed: {detail}')
        if was_up:
            _call(self.events.down, channel)

    def _record_address(self, channel: Channel, address: str) -> None:
        channels = self.channels_by_address.setdefault(address, [])
        if channel in channels:
            channels.remove(channel)
        channels.append(channel)

    def _remove_replaced(
        self, channel: Channel, address_confirmed: bool
    ) -> None:
        # A peer that this node has dialed at its address certainly has that
        # address. A peer that only names the address may be an earlier process
        # whose hello is late, so it does not replace an incarnation that has a
        # link and has sent a frame within ``suspect_s``.
        for other in self._conflicting_channels(channel):
            if address_confirmed or other.suspect:
                self.declare_gone(other)

    def _successors(self, channel: Channel) -> list[Channel]:
        return [
            other
            for other in self._conflicting_channels(channel)
            if other.links
        ]

    def _conflicting_channels(self, channel: Channel) -> list[Channel]:
        # Peers conflict only if they name the same address as their own.
        # Several live peers may be reached in turn at an address that none of
        # them names, such as the address of a load balancer.
        address = channel.peer.address
        return [
            other
            for other in self.channels_by_address.get(address, [])
            if other is not channel and other.peer.address == address
        ]

    def _report_down(self, channel: Channel, lost_at: float) -> None:
        is_up = channel.lifecycle.state is PeerState.UP
        if is_up and channel.link_lost_at == lost_at:
            channel.lifecycle.transition_to(PeerState.DOWN)
            _log(channel, 'peer is down')
            _call(self.events.down, channel)

    def _forget(self, channel: Channel, lost_at: float) -> None:
        if not channel.closed.is_set() and channel.link_lost_at == lost_at:
            self.remove(channel, 'no link for too long')


def _log(channel: Channel, text: str) -> None:
    logger.bind(
        step='peer',
        peer=channel.peer.node,
        incarnation=channel.peer.incarnation,
    ).info('{}', text)


def _call(callback: Callable[[Channel], Any], channel: Channel) -> None:
    # An exception in the callback must not end the task of the link or the
    # timer that called it.
    try:
        callback(channel)
    except Exception as error:
        logger.bind(step='peer', peer=channel.peer.node).opt(
            exception=error
        ).error('callback failed')
