"""Dialer: keeps a link open to the peer at one address."""

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
    """When a dialer stops connecting to its address."""

    # When the node stops, whichever incarnation is at the address.
    FOLLOW = 'follow'
    # When the incarnation that it has reached is gone, or if it reaches none
    # within ``down_s``.
    INCARNATION = 'incarnation'
    # When the peer, which normally dials this node, has a link again or is
    # gone.
    RECOVER = 'recover'


class Dialer:
    """Connects to an address whenever the peer there has no link.

    Parameters
    ----------
    address : str
        ``host:port``.
    mode : DialMode
        When to stop.
    peers : Peers
        Registry of channels; also shows the links that the peer has dialed.
    connect : callable
        ``await connect(address)`` opens a link and returns its channel, or
        None if the peer is refused.
    options : NodeOptions
        Time limits and random generator for the jitter.
    counters : Counters
        Counters of the node.
    target : Channel, optional
        Channel of the incarnation to reach, if it is known already.
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
        self.started_at = self.loop.time()
        self.refused_since: float | None = None
        self.backoff_s = options.timing.redial_min_s
        self.linked = asyncio.Event()
        self.renewed = asyncio.Event()
        self.task: asyncio.Task[None]

    def start(self, on_end: Callable[['Dialer'], None]) -> None:
        """Start to dial; `on_end` is called when the dialer has ended."""

        def end(_task: asyncio.Task[None]) -> None:
            on_end(self)
            self.linked.set()  # Wakes up the callers of `wait_linked`.

        self.task = self.loop.create_task(self._run())
        self.task.add_done_callback(end)

    def cancel(self) -> None:
        """Stop dialing; existing links stay open."""
        self.task.cancel()

    def has_ended(self) -> bool:
        """Whether the dialer has stopped."""
        return self.task.done()

    def renew(self, mode: DialMode) -> None:
        """Restart the time limit, because another caller needs a link.

        If the incarnation that was reached before is gone, the dialer looks
        for its successor instead of ending.

        Parameters
        ----------
        mode : DialMode
            New mode; ignored if the dialer follows the address already.
        """
        if self.mode is not DialMode.FOLLOW:
            self.mode = mode
        if self.target is not None and self.target.closed.is_set():
            self.target = None
        self.started_at = self.loop.time()
        self.renewed.set()

    async def wait_linked(self) -> Channel:
        """Wait until the peer has a link and return its channel.

        Raises
        ------
        PeerLost
            If the dialer has stopped.
        """
        while not self.has_ended():
            await self.linked.wait()
            channel = self.peers.newest_at(self.address)
            if channel is not None and channel.links:
                return channel
            await asyncio.sleep(0)  # Lets the dialer see the lost link.
        raise PeerLost('connection refused', step='dial', peer=self.address)

    async def _run(self) -> None:
        if self.mode is DialMode.RECOVER:
            # The peer, which dialed before, gets ``suspect_s`` to dial again.
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
            waited_s = self.loop.time() - self.started_at
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
            # Avoids a tight loop with a peer that drops every link at once.
            await self._back_off()

    async def _attempt(self) -> None:
        try:
            channel = await self.connect(self.address)
        except ConnectionRefusedError:
            self._record_refusal()
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
        max_backoff_s = self.options.timing.redial_max_s
        self.backoff_s = min(2 * self.backoff_s, max_backoff_s)

    def _record_refusal(self) -> None:
        now = self.loop.time()
        if self.refused_since is None:
            self.refused_since = now
        if now - self.refused_since < self.options.timing.down_s:
            return
        channel = self.peers.newest_at(self.address)
        if channel is not None and not channel.links:
            self.peers.remove(channel, 'its address refuses connections')
