"""Node: listener, dialers and the registry of peers of one process."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from loguru import logger

from limpetlanding.errors import PeerLost, ProtocolError, RequestTimeout
from limpetlanding.wire.channel import Channel, Handler
from limpetlanding.wire.counters import Counters
from limpetlanding.wire.link import Link
from limpetlanding.wire.messages import Hello
from limpetlanding.wire.options import NodeOptions

_MAX_GONE = 10_000


class Node:
    """Listener and dialers of one process.

    Parameters
    ----------
    hello : Hello
        First frame of every link; ``address`` is ``host:port`` to listen at,
        or empty for a node that does not listen.
    handler : callable
        ``await handler(channel, message)``; its result is the reply to a
        request, where None stands for ``Ack()``.
    options : NodeOptions, optional
        Options.
    connect, serve : callable
        Replacements for the functions of asyncio in tests.
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
        self.registry: dict[tuple[str, str], Channel] = {}
        self.dialers: dict[str, asyncio.Task[None]] = {}
        self.at_address: dict[str, Channel] = {}
        self.gone: dict[str, None] = {}
        self.link_tasks: set[asyncio.Task[Any]] = set()
        self.server: asyncio.Server | None = None
        self.stopping = False
        self.config_digest: Callable[[], int] = int
        self.on_peer_up: Callable[[Channel], None] = _ignore
        self.on_peer_down: Callable[[Channel], None] = _ignore
        self.on_heartbeat: Callable[[Channel, int], None] = _ignore
        self.changed = asyncio.Condition()

    @property
    def channels(self) -> list[Channel]:
        """Channels of all peers that are not known to be gone."""
        return list(self.registry.values())

    def channel(self, node: str, incarnation: str) -> Channel | None:
        """Return the channel of a peer incarnation, if there is one."""
        return self.registry.get((node, incarnation))

    async def start(self) -> None:
        """Start to listen; port 0 in the address is replaced by a free one.

        Raises
        ------
        OSError
            If the address cannot be used.
        """
        if not self.hello.address:
            return
        host, port = split_address(self.hello.address)
        self.server = await self.serve(
            self._accept,
            self.options.listen_host or host,
            port,
            **_tls(self.options.server_tls),
        )
        if not port:
            port = self.server.sockets[0].getsockname()[1]
            self.hello.address = f'{host}:{port}'

    async def stop(self, drain: bool = True) -> None:
        """Close all links.

        Parameters
        ----------
        drain : bool
            Whether requests in progress are finished and their replies
            sent first, for at most ``drain_s``.
        """
        self.stopping = True
        if self.server is not None:
            self.server.close()
        for dialer in self.dialers.values():
            dialer.cancel()
        for channel in self.channels:
            channel.stopping = True
        if drain:
            await self._drain()
        for channel in self.channels:
            for link in channel.links:
                link.close()
            self._remove(channel, 'this node has stopped')
        tasks = [*self.link_tasks, *self.dialers.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def keep_dialing(self, address: str) -> None:
        """Keep a link to whichever incarnation is at `address`."""
        if address not in self.dialers and not self.stopping:
            task = asyncio.create_task(self._dial_forever(address))
            self.dialers[address] = task

    def stop_dialing(self, address: str) -> None:
        """Stop what `dial` or `keep_dialing` started; links stay open."""
        dialer = self.dialers.pop(address, None)
        if dialer is not None:
            dialer.cancel()

    async def dial(
        self, address: str, incarnation: str = '', timeout_s: float = 4
    ) -> Channel:
        """Return the channel of the peer at `address`, and keep a link up.

        Parameters
        ----------
        address : str
            ``host:port``.
        incarnation : str
            If given, the incarnation that must be there.
        timeout_s : float
            Longest wait for a link.

        Raises
        ------
        PeerLost
            If another incarnation is at the address.
        RequestTimeout
            If there is no link in time; the node keeps dialing.
        """
        if incarnation and incarnation in self.gone:
            raise PeerLost('incarnation is gone', step='dial', peer=address)
        self.keep_dialing(address)
        try:
            async with asyncio.timeout(timeout_s), self.changed:
                await self.changed.wait_for(lambda: self._is_linked(address))
        except TimeoutError as error:
            raise RequestTimeout(
                'no link in time', step='dial', peer=address
            ) from error
        channel = self.at_address[address]
        if incarnation and channel.peer.incarnation != incarnation:
            raise PeerLost(
                'another incarnation is at the address',
                step='dial',
                peer=address,
            )
        return channel

    def _is_linked(self, address: str) -> bool:
        channel = self.at_address.get(address)
        return channel is not None and bool(channel.links)

    async def _drain(self) -> None:
        serving = [
            task
            for channel in self.channels
            for task in channel.serving.values()
        ]
        if serving:
            await asyncio.wait(serving, timeout=self.options.timing.drain_s)
        links = [link for channel in self.channels for link in channel.links]
        with suppress(TimeoutError):
            async with asyncio.timeout(self.options.timing.drain_s):
                await asyncio.gather(*[link.flush() for link in links])

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._run_link(reader, writer, '')

    async def _dial_forever(self, address: str) -> None:
        timing = self.options.timing
        host, port = split_address(address)
        backoff_s = timing.redial_min_s
        while True:
            try:
                async with asyncio.timeout(timing.hello_s):
                    reader, writer = await self.connect(
                        host, port, **_tls(self.options.client_tls)
                    )
            except (OSError, TimeoutError):
                self.counters.events['dials_failed'] += 1
            else:
                if await self._run_link(reader, writer, address):
                    backoff_s = timing.redial_min_s
                    continue
            await asyncio.sleep(backoff_s * self.options.rng.uniform(0.5, 1))
            backoff_s = min(2 * backoff_s, timing.redial_max_s)

    async def _run_link(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        dialed: str,
    ) -> bool:
        link = Link(
            reader,
            writer,
            self.counters,
            self.options.timing,
            lambda: self.config_digest(),
        )
        task = asyncio.current_task()
        self.link_tasks.add(task)
        channel = None
        try:
            hello = await link.exchange_hello(self.hello)
            channel = await self._register(hello, link, dialed)
            await link.run(channel.receive, self._delay_s(hello))
        except ProtocolError as error:
            self.counters.events['protocol_errors'] += 1
            logger.bind(step=error.step, peer=error.peer or dialed).warning(
                'link closed: {}', error.detail
            )
        except OSError:
            self.counters.events['links_reset'] += 1
        finally:
            link.abort()
            self.link_tasks.discard(task)
            if channel is not None:
                self._link_lost(channel, link)
        return channel is not None

    def _delay_s(self, peer: Hello) -> float:
        delay_ms = self.options.emulated_delay_ms
        if delay_ms is None:
            return 0
        domains = self.hello.failure_domain, peer.failure_domain
        return delay_ms(*domains) / 1000

    async def _register(self, hello: Hello, link: Link, dialed: str) -> Channel:
        if hello.incarnation in self.gone:
            raise ProtocolError(
                'incarnation is gone', step='hello', peer=hello.node
            )
        key = hello.node, hello.incarnation
        channel = self.registry.get(key)
        if channel is None:
            channel = Channel(
                hello,
                self.hello,
                self.handler,
                self.counters,
                self.options.timing.suspect_s,
            )
            channel.on_heartbeat = self._heartbeat_received
            self.registry[key] = channel
        for address in {hello.address, dialed} - {''}:
            previous = self.at_address.get(address)
            self.at_address[address] = channel
            if previous is not None and previous is not channel:
                self._declare_gone(previous)
        channel.attach(link)
        if not channel.up:
            channel.up = True
            self.on_peer_up(channel)
        async with self.changed:
            self.changed.notify_all()
        return channel

    def _heartbeat_received(self, channel: Channel, digest: int) -> None:
        self.on_heartbeat(channel, digest)

    def _link_lost(self, channel: Channel, link: Link) -> None:
        channel.detach(link)
        if not channel.links and not channel.closed.is_set():
            asyncio.get_running_loop().call_later(
                self.options.timing.down_s, self._check_down, channel
            )

    def _check_down(self, channel: Channel) -> None:
        since = channel.lost_link_at
        if since is None or channel.closed.is_set():
            return
        if channel.loop.time() - since >= self.options.timing.down_s:
            self._set_down(channel)

    def _set_down(self, channel: Channel) -> None:
        if channel.up:
            channel.up = False
            self.on_peer_down(channel)

    def _declare_gone(self, channel: Channel) -> None:
        self.gone[channel.peer.incarnation] = None
        while len(self.gone) > _MAX_GONE:
            self.gone.pop(next(iter(self.gone)))
        self._remove(channel, 'the incarnation of the peer is gone')

    def _remove(self, channel: Channel, detail: str) -> None:
        key = channel.peer.node, channel.peer.incarnation
        self.registry.pop(key, None)
        channel.fail(detail)
        self._set_down(channel)


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``host:port``.

    Examples
    --------
    >>> split_address('127.0.0.1:7000')
    ('127.0.0.1', 7000)
    """
    host, _, port = address.rpartition(':')
    return host, int(port)


def _tls(context: Any) -> dict[str, Any]:
    return {} if context is None else {'ssl': context}


def _ignore(*_: Any) -> None:
    """Stand in for a callback that is not set."""
