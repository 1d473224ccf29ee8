"""Node: listener, dialers and channels of one process."""

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import suppress
from functools import cached_property
from itertools import count
from typing import Any

from loguru import logger

from limpetlanding.errors import PeerLost, ProtocolError, RequestTimeout
from limpetlanding.wire.addresses import split_address
from limpetlanding.wire.channel import Channel, Handler
from limpetlanding.wire.counters import Counters
from limpetlanding.wire.dialer import Dialer, DialMode
from limpetlanding.wire.link import Link
from limpetlanding.wire.messages import Farewell, Hello
from limpetlanding.wire.options import NodeOptions
from limpetlanding.wire.peers import PeerEvents, Peers
from limpetlanding.wire.suspension import SuspensionMonitor


class Node:
    """Listener, dialers and channels of one process.

    These attributes may be set at any time: ``on_peer_up``,
    ``on_peer_relinked`` and ``on_peer_down`` are called with a channel,
    ``on_heartbeat`` with a channel and the configuration digest of the peer.
    ``config_digest`` returns the digest of this node, an integer below 2**64.

    Parameters
    ----------
    hello : Hello
        First frame of every link; ``address`` is the ``host:port`` at which
        peers reach this node, or empty if it does not listen.
    handler : callable
        Called with the channel and each message. It returns the reply to a
        request, or an awaitable of it; None stands for ``Ack()``.
    options : NodeOptions, optional
        Options; the defaults if not given.
    connect, serve : callable
        Functions that tests pass in place of those of asyncio.
    """

    def __init__(
        self,
        hello: Hello,
        handler: Handler,
        options: NodeOptions | None = None,
        connect: Callable[..., Any] = asyncio.open_connection,
        serve: Callable[..., Any] = asyncio.start_server,
    ) -> None:
        self.hello = hello
        self.handler = handler
        self.options = options or NodeOptions()
        self.connect = connect
        self.serve = serve
        self.counters = Counters()
        self.request_numbers = count(1)
        self.on_peer_up: Callable[[Channel], None] = _ignore
        self.on_peer_relinked: Callable[[Channel], None] = _ignore
        self.on_peer_down: Callable[[Channel], None] = _ignore
        self.on_heartbeat: Callable[[Channel, int], None] = _ignore
        self.config_digest: Callable[[], int] = int
        self.peers = Peers(
            self._create_channel,
            PeerEvents(
                up=lambda channel: self.on_peer_up(channel),
                relinked=lambda channel: self.on_peer_relinked(channel),
                down=lambda channel: self.on_peer_down(channel),
                link_lost=self._recover_link,
            ),
            self.options.timing,
        )
        # Includes those in mode RECOVER, which no caller has requested.
        self.all_dialers: dict[str, Dialer] = {}
        self.link_tasks: set[asyncio.Task[Any]] = set()
        self.server: asyncio.Server | None = None
        self.stopping = False

    @property
    def clock(self) -> Callable[[], float]:
        """Clock in seconds that advances while the process is suspended.

        The time of the event loop if the options name no such clock.
        """
        return self.options.clock or asyncio.get_running_loop().time

    @cached_property
    def suspensions(self) -> SuspensionMonitor:
        """Suspensions of this process, watched from the first link on."""
        timing = self.options.timing
        monitor = SuspensionMonitor(
            self.clock, timing.max_suspension_s, timing.heartbeat_s
        )
        self._keep_task(monitor.watch())
        return monitor

    @property
    def channels(self) -> list[Channel]:
        """Channels of all peers that are not known to be gone."""
        return list(self.peers.channels.values())

    def connected(self, role: str = '') -> list[Channel]:
        """Return the channels that have a link.

        If `role` is given, only those whose peer has this role.
        """
        return [
            channel
            for channel in self.channels
            if channel.links and role in {'', channel.peer.role}
        ]

    @property
    def newest_by_address(self) -> dict[str, Channel]:
        """Channel of the latest incarnation seen at each address."""
        return {
            address: channels[-1]
            for address, channels in self.peers.channels_by_address.items()
        }

    @property
    def dialers(self) -> dict[str, Dialer]:
        """Dialers started by `dial` or `keep_dialing`, by address."""
        return {
            address: dialer
            for address, dialer in self.all_dialers.items()
            if dialer.mode is not DialMode.RECOVER
        }

    def channel(self, node: str, incarnation: str) -> Channel | None:
        """Return the channel of a peer incarnation, if there is one."""
        return self.peers.channels.get((node, incarnation))

    async def start(self) -> None:
        """Start to listen.

        Port 0 in ``hello.address`` is replaced by the port that the listener
        has got.

        Raises
        ------
        OSError
            If the address cannot be used.
        """
        listen = self.options.listen or self.hello.address
        if not listen:
            return
        host, port = split_address(listen)
        self.server = await self.serve(
            self._accept, host, port, **_tls(self.options.server_tls)
        )
        if self.hello.address.endswith(':0'):
            port = self.server.sockets[0].getsockname()[1]
            self.hello.address = f'{host}:{port}'

    async def stop(self, drain: bool = True) -> None:
        """Close all links.

        Parameters
        ----------
        drain : bool
            Whether to wait, for at most ``drain_s``, until requests in progress
            are finished, and then to send their replies before the links are
            closed. Requests that arrive meanwhile are answered with an error.
        """
        self.stopping = True
        if self.server is not None:
            self.server.close()
        await _cancel([x.task for x in self.all_dialers.values()])
        for channel in self.channels:
            channel.stopping = True
        if drain:
            await self._drain()
        self.peers.events.down = _ignore
        for channel in self.channels:
            self.peers.remove(channel, 'this node has stopped')
            serving = [
                served.task for served in channel.served_requests.values()
            ]
            await _cancel([*serving, *channel.notification_tasks])
        await _cancel(self.link_tasks)

    def keep_dialing(self, address: str) -> None:
        """Keep a link to the peer at `address`, whatever its incarnation is."""
        self._start_dialer(address, DialMode.FOLLOW)

    def stop_dialing(self, address: str) -> None:
        """Stop what `dial` or `keep_dialing` started; links stay open."""
        dialer = self.all_dialers.get(address)
        if dialer is None or dialer.mode is DialMode.RECOVER:
            return
        dialer.target = self.peers.newest_at(address)
        if dialer.target is None or dialer.target.links:
            dialer.cancel()
        else:
            # Requests may still wait until the peer is back or known to be
            # gone.
            dialer.mode = DialMode.RECOVER

    def release(self, channel: Channel) -> None:
        """Close the links to a peer that this node does not need any more.

        Neither end dials the other again on its own. The caller makes sure
        that no request is in progress.
        """
        dialer = self.all_dialers.get(channel.peer.address)
        if dialer is not None:
            dialer.cancel()
        if not channel.links:
            self.peers.remove(channel, 'released')
            return
        if channel.peer.slow_heartbeats:
            channel.notify(Farewell())
        channel.released = True
        for link in channel.links:
            self._keep_task(link.close())

    async def dial(
        self, address: str, incarnation: str = '', timeout_s: float = 5
    ) -> Channel:
        """Return the channel of the peer at `address`, and keep a link to it.

        If the link is lost, the node dials again until the incarnation that it
        has reached is gone. `keep_dialing` dials beyond that.

        Parameters
        ----------
        address : str
            ``host:port``.
        incarnation : str
            Incarnation expected at the address; any if empty.
        timeout_s : float
            Time limit for the link.

        Raises
        ------
        PeerLost
            If no link can be opened within ``down_s``, if another incarnation
            is at the address, or if this node is stopping.
        RequestTimeout
            If there is no link within `timeout_s`.
        """
        if self.stopping:
            raise PeerLost('this node is stopping', step='dial', peer=address)
        dialer = self._start_dialer(address, DialMode.INCARNATION)
        try:
            async with asyncio.timeout(timeout_s):
                channel = await dialer.wait_linked()
        except TimeoutError as error:
            raise RequestTimeout(
                'no link in time', step='dial', peer=address
            ) from error
        if incarnation not in {'', channel.peer.incarnation}:
            raise PeerLost(
                'another incarnation is at the address',
                step='dial',
                peer=address,
            )
        return channel

    def _create_channel(self, hello: Hello) -> Channel:
        channel = Channel(
            hello,
            self.hello,
            self.handler,
            self.counters,
            self.options.timing.suspect_s,
            self.request_numbers,
            self.clock,
        )
        channel.stopping = self.stopping
        channel.on_heartbeat = lambda *args: self.on_heartbeat(*args)
        return channel

    def _start_dialer(
        self, address: str, mode: DialMode, target: Channel | None = None
    ) -> Dialer:
        dialer = self.all_dialers.get(address)
        if dialer is not None and not dialer.has_ended():
            dialer.renew(mode)
            return dialer
        dialer = Dialer(
            address,
            mode,
            self.peers,
            self._open_connection,
            self.options,
            self.counters,
            target,
        )
        self.all_dialers[address] = dialer
        dialer.start(self._dialer_ended)
        return dialer

    def _dialer_ended(self, dialer: Dialer) -> None:
        if self.all_dialers.get(dialer.address) is dialer:
            self.all_dialers.pop(dialer.address)

    def _recover_link(self, channel: Channel) -> None:
        # The peer usually dials again. This node dials as well, because only
        # attempts of its own can show that the address refuses connections.
        address = channel.peer.address
        if address and address not in self.all_dialers and not self.stopping:
            self._start_dialer(address, DialMode.RECOVER, channel)

    async def _drain(self) -> None:
        serving = [
            served.task
            for channel in self.channels
            for served in channel.served_requests.values()
        ]
        drain_s = self.options.timing.drain_s
        if serving:
            await asyncio.wait(serving, timeout=drain_s)
        links = [link for channel in self.channels for link in channel.links]
        with suppress(TimeoutError):
            async with asyncio.timeout(drain_s):
                await asyncio.gather(*[link.close() for link in links])

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._establish_link(reader, writer, '')

    async def _open_connection(self, address: str) -> Channel | None:
        try:
            host, port = split_address(address)
            async with asyncio.timeout(self.options.timing.hello_s):
                streams = await self.connect(
                    host, port, **_tls(self.options.client_tls)
                )
        except (ValueError, OverflowError) as error:
            # A peer may have named an address that no connection can have.
            raise OSError(f'unusable address {address[:50]!r}') from error
        return await self._establish_link(*streams, address)

    async def _establish_link(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        dialed_address: str,
    ) -> Channel | None:
        link = Link(
            reader,
            writer,
            self.counters,
            self.options.timing,
            lambda: self.config_digest(),
            self.suspensions,
        )
        channel = None
        try:
            hello = await link.exchange_hello(self.hello)
            if self.stopping:
                raise ConnectionAbortedError('this node is stopping')
            channel = self.peers.link_up(hello, link, dialed_address)
        except (ProtocolError, OSError) as error:
            self._log_link_failure(error, dialed_address)
        finally:
            if channel is None:
                link.abort()
        if channel is not None:
            self._keep_task(self._run_link(channel, link))
        return channel

    def _keep_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.link_tasks.add(task)
        task.add_done_callback(self.link_tasks.discard)

    async def _run_link(self, channel: Channel, link: Link) -> None:
        try:
            await link.run(channel.receive, self._delay_s(channel.peer))
        except (ProtocolError, OSError) as error:
            self._log_link_failure(error, channel.peer.node)
        finally:
            link.abort()
            self.peers.link_lost(channel, link)

    def _log_link_failure(self, error: Exception, peer: str) -> None:
        if isinstance(error, ProtocolError):
            self.counters.events['protocol_errors'] += 1
            logger.bind(step=error.step, peer=error.peer or peer).warning(
                'link closed: {}', error.detail
            )
        else:
            self.counters.events['links_reset'] += 1

    def _delay_s(self, peer: Hello) -> float:
        delay_ms = self.options.emulated_delay_ms
        if delay_ms is None:
            return 0
        domains = self.hello.failure_domain, peer.failure_domain
        return delay_ms(*domains) / 1000


async def _cancel(tasks: Any) -> None:
    tasks = [task for task in tasks if task is not asyncio.current_task()]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _tls(context: Any) -> dict[str, Any]:
    return {} if context is None else {'ssl': context}


def _ignore(*_: Any) -> None:
    """Default for callbacks that are not set."""
