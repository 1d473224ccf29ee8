"""In-memory network that injects faults into connections.

It replaces ``asyncio.open_connection`` and ``asyncio.start_server``: pass
``network.connect`` and ``network.serve`` to `Node`. It needs the event loop
with virtual time that the tests use.
"""

import asyncio
from collections import Counter
from contextlib import contextmanager, suppress
from itertools import count

import async_solipsism

READ_BYTES = 64 * 1024


class Direction:
    """One direction of a connection."""

    def __init__(self):
        self.drops_data = False
        # Time in seconds for which each segment is held up.
        self.delay_s = 0
        self.flowing = asyncio.Event()
        self.flowing.set()
        self.byte_count = 0

    async def pump(self, reader, writer):
        """Copy data until either end closes, then close the writer."""
        with suppress(OSError):
            while chunk := await self._read(reader):
                if not self.drops_data:
                    self.byte_count += len(chunk)
                    writer.write(chunk)
                    await writer.drain()
        if not self.drops_data:
            writer.close()

    async def _read(self, reader):
        await self.flowing.wait()
        chunk = await reader.read(READ_BYTES)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        await self.flowing.wait()
        return chunk


class Connection:
    """One connection through the network.

    `silence` discards all data sent from now on, in one direction or both, and
    also the end of the stream, without closing the connection. `stall` stops
    reading, so that the buffers of the sender fill up; `resume` continues.
    `reset` breaks the connection, and `reset_at` only at one of its ends.
    """

    def __init__(self, address, client_pair, server_pair, source=''):
        self.address = address
        self.source = source
        self.client, self.client_side = client_pair
        self.server_side, self.server = server_pair
        self.to_server = Direction()
        self.to_client = Direction()
        self.tasks = [
            asyncio.create_task(
                self.to_server.pump(self.client_side[0], self.server_side[1])
            ),
            asyncio.create_task(
                self.to_client.pump(self.server_side[0], self.client_side[1])
            ),
        ]

    @property
    def directions(self):
        return (self.to_server, self.to_client)

    @property
    def writers(self):
        """Writers of the two processes."""
        return (self.client[1], self.server[1])

    def silence(self, to_server=True, to_client=True):
        self.to_server.drops_data |= to_server
        self.to_client.drops_data |= to_client

    def stall(self, to_server=True, to_client=True):
        if to_server:
            self.to_server.flowing.clear()
        if to_client:
            self.to_client.flowing.clear()

    def resume(self):
        for direction in self.directions:
            direction.flowing.set()

    def reset(self):
        for task in self.tasks:
            task.cancel()
        for _, writer in (self.client_side, self.server_side):
            writer.transport.abort()

    def reset_at(self, address):
        """Break the connection for one process; the other hears nothing."""
        self.silence()
        ends = {self.source: self.client_side, self.address: self.server_side}
        ends[address][1].transport.abort()


class FaultyNetwork:
    """Network of listeners and connections, found by address."""

    def __init__(self):
        self.listeners = {}
        self.connections = []
        # Both hold addresses, and pairs of source and address.
        self.refused = set()
        self.unreachable = set()
        self.paused = {}
        self.ports = count(60_000)
        self.tasks = set()
        self.attempts = Counter()

    async def connect(self, host, port, source='', **_):
        address = f'{host}:{port}'
        if source in self.paused:
            await self.paused[source].wait()
        self.attempts[address] += 1
        names = {address, (source, address)}
        if self.unreachable & names:
            await asyncio.Event().wait()
        if self.refused & names or address not in self.listeners:
            raise ConnectionRefusedError(address)
        connection = Connection(
            address,
            await async_solipsism.stream_pairs(),
            await async_solipsism.stream_pairs(),
            source,
        )
        self.connections.append(connection)
        task = asyncio.create_task(self._accept(address, connection))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return connection.client

    async def _accept(self, address, connection):
        if address in self.paused:
            await self.paused[address].wait()
        if address in self.listeners:
            await self.listeners[address].accept(*connection.server)

    @contextmanager
    def pause(self, address):
        """Pause the process at an address, and all existing connections.

        All existing connections of the network are stalled, including those
        between other processes, and all connections are resumed at the end.
        Until then, the process accepts no connections; its dialing is delayed
        only if `connect` is given the source. Its timers continue to run,
        unlike those of a process that is really suspended.
        """
        self.paused[address] = asyncio.Event()
        for connection in self.connections:
            connection.stall()
        yield
        self.paused.pop(address).set()
        for connection in self.connections:
            connection.resume()

    async def serve(self, accept, host, port, **_):
        address = f'{host}:{port or next(self.ports)}'
        if address in self.listeners:
            raise OSError(f'address in use: {address}')
        self.listeners[address] = Listener(self, accept, address)
        return self.listeners[address]

    def kill(self, address):
        """Stop listening at an address and reset all connections to it."""
        self.listeners.pop(address, None)
        for connection in self.connections_to(address):
            connection.reset()

    def connections_to(self, address):
        return [c for c in self.connections if c.address == address]

    def connections_between(self, address, other):
        """Return the connections that either process has opened."""
        pair = {address, other}
        return [c for c in self.connections if {c.source, c.address} == pair]


class Listener:
    """Server object with the methods that `Node` uses."""

    def __init__(self, network, accept, address):
        self.network = network
        self.accept = accept
        self.address = address
        self.sockets = [self]

    def getsockname(self):
        host, port = self.address.split(':')
        return host, int(port)

    def close(self):
        if self.network.listeners.get(self.address) is self:
            self.network.listeners.pop(self.address)

    async def wait_closed(self):
        pass
