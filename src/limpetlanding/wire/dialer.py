"""Dialer: keeps a link to one address up."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from enum import StrEnum
from typing import Any

from limpetlanding.errors import PeerLost
from limpetlanding.wire.channel import Channel
from limpetlanding.wire.counters import Counters
from limpetlanding.wire.options import NodeOptions
from limpetlanding.wire.peers import Peers

Connect = Callable[[str], Awaitable[Any]]


class DialMode(StrEnum):
    """How long a dialer goes on."""

    # Until the node stops, whichever incarnation is at the address.
    FOLLOW = 'follow'
    # Until the incarnation that was reached is gone.
    INCARNATION = 'incarnation'
    # Until a peer that usually dials has a link again.
    RECOVER = 'recover'


class Dialer:
    """Connects to an address again whenever the peer there has no link.

    Parameters
    ----------
    address : str
        ``host:port``.
    mode : DialMode
        How long to go on.
    peers : Peers
        Registry, to see links that the peer has dialed.
    connect : callable
        ``await connect(address)`` opens a link and returns its channel, or
        None if the peer is refused.
    options : NodeOptions
        Time limits and source of jitter.
    counters : Counters
        Counters of the node.
    target : Channel, optional
        The incarnation to reach, if it is known already.
    """

    def __init__(
        self,
        address: str,
        mode: DialMode,
        peers: Peers,
        connect: Connect,
        options: NodeOptions,
        counters: Counters,
        target: Channel | None = None,
    ) -> None:
        self.address = address
        self.mode = mode
        self.peers = peers
        self.connect = connect
        self.options = options
        self.counters = counters
        self.target = target
        self.loop = asyncio.get_running_loop()
        self.started = self.loop.time()
        self.refused_since: float | None = None
        self.backoff_s = options.timing.redial_min_s
        self.linked = asyncio.Event()
        self.renewed = asyncio.Event()
        self.task: asyncio.Task[None]

    def start(self, on_end: Callable[['Dialer'], None]) -> None:
        """Start the task; `on_end` is called when it has ended."""

        def end(_task: asyncio.Task[None]) -> None:
            on_end(self)
            self.linked.set()  # Releases those that wait for a link.

        self.task = self.loop.create_task(self._run())
        self.task.add_done_callback(end)

    def cancel(self) -> None:
        """Stop dialing; links stay open."""
        self.task.cancel()

    def has_ended(self) -> bool:
        """Whether it no longer dials."""
        return self.task.done()

    def renew(self, mode: DialMode) -> None:
        """Go on for another caller.

        The incarnation reached before may be gone, which must not end the
        search for its successor.
        """
        if self.mode is not DialMode.FOLLOW:
            self.mode = mode
        if self.target is not None and self.target.closed.is_set():
            self.target = None
        self.started = self.loop.time()
        self.renewed.set()

    async def wait_linked(self) -> Channel:
        """Return the channel as soon as the peer has a link.

        Raises
        ------
        PeerLost
            If the dialer has given up.
        """
        while not self.has_ended():
            await self.linked.wait()
            channel = self.peers.newest_at(self.address)
            if channel is not None and channel.links:
                return channel
            await asyncio.sleep(0)  # Lets the task notice the lost link.
        raise PeerLost('connection refused', step='dial', peer=self.address)

    async def _run(self) -> None:
        if self.mode is DialMode.RECOVER:
            # The peer that dialed before is the first to try again.
            with suppress(TimeoutError):
                async with asyncio.timeout(self.options.timing.suspect_s):
                    await self.renewed.wait()
        while not self._is_done():
            channel = self.peers.newest_at(self.address)
            if channel is not None and channel.links:
                await self._wait_while_linked(channel)
            else:
                await self._attempt()

    def _is_done(self) -> bool:
        target = self.target
        if self.mode is DialMode.FOLLOW:
            return False
        if target is None:
            waited_s = self.loop.time() - self.started
            return waited_s >= self.options.timing.down_s
        if self.mode is DialMode.RECOVER and target.links:
            return True
        return target.closed.is_set()

    async def _wait_while_linked(self, channel: Channel) -> None:
        timing = self.options.timing
        self.target = channel
        self.refused_since = None
        self.linked.set()
        linked_at = self.loop.time()
        await channel.unlinked.wait()
        self.linked.clear()
        if self.loop.time() - linked_at >= timing.redial_max_s:
            self.backoff_s = timing.redial_min_s
        else:
            # A peer that drops every link must not be dialed in a tight loop.
            await self._back_off()

    async def _attempt(self) -> None:
        try:
            channel = await self.connect(self.address)
        except ConnectionRefusedError:
            self._note_refusal()
        except (OSError, TimeoutError):
            self.refused_since = None
        else:
            self.refused_since = None
            if channel is not None:
                return
        self.counters.events['dials_failed'] += 1
        await self._back_off()

    async def _back_off(self) -> None:
        jitter = self.options.rng.uniform(0.5, 1)
        await asyncio.sleep(self.backoff_s * jitter)
        longest_s = self.options.timing.redial_max_s
        self.backoff_s = min(2 * self.backoff_s, longest_s)

    def _note_refusal(self) -> None:
        now = self.loop.time()
        if self.refused_since is None:
            self.refused_since = now
        if now - self.refused_since < self.options.timing.down_s:
            return
        channel = self.peers.newest_at(self.address)
        if channel is not None and not channel.links:
            self.peers.remove(channel, 'its address refuses connections')
