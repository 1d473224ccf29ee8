"""A system whose links and connections to executors can be harmed."""

import asyncio
from contextlib import asynccontextmanager, suppress

from limpetlanding.platform.tests.rig import (
    CONTROL_PORT,
    EXECUTOR_PORT,
    LINK_PORT,
    System,
    new_node,
)
from limpetlanding.scenarios.tests.processes import process_context
from limpetlanding.wire.tests.faulty_network import Direction, FaultyNetwork

PATH_PORT = 7600


def link_address(name):
    """Return the address at which a front or worker accepts links."""
    first = 50 if name[0] == 'f' else 0
    return f'127.0.0.1:{LINK_PORT + first + int(name[1:])}'


class ExecutorPath:
    """Network path from one worker to its executor.

    Parameters
    ----------
    port : int
        Port at which the worker connects.
    executor_port : int
        Port at which the executor listens.
    """

    def __init__(self, port, executor_port):
        self.port = port
        self.executor_port = executor_port
        self.server = None
        self.directions = []
        self.writers = []

    @asynccontextmanager
    async def run(self):
        """Carry connections within the block."""
        await self.open()
        try:
            yield self
        finally:
            self.refuse()
            self.reset()

    async def open(self):
        """Accept connections."""
        self.server = await asyncio.start_server(
            self._carry, '127.0.0.1', self.port
        )

    def refuse(self):
        """Refuse new connections; open ones are left as they are."""
        self.server.close()

    def reset(self):
        """Break all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    def silence(self):
        """Discard what the open connections carry from now on."""
        for direction in self.directions:
            direction.drops_data = True

    async def _carry(self, reader, writer):
        try:
            executor_reader, executor_writer = await asyncio.open_connection(
                '127.0.0.1', self.executor_port
            )
        except OSError:
            writer.transport.abort()
            return
        self.writers += [writer, executor_writer]
        directions = [Direction(), Direction()]
        self.directions += directions
        with suppress(OSError):
            await asyncio.gather(
                directions[0].pump(reader, executor_writer),
                directions[1].pump(executor_reader, writer),
            )
        self.writers.remove(writer)
        self.writers.remove(executor_writer)


class FaultySystem(System):
    """A system with a faulty network between fronts and workers.

    On a `ProcessLoop`, fronts and workers can be paused by their names. Each
    worker calls its executor through an `ExecutorPath`. Links are found by
    the names of the two processes.
    """

    # Each executor is on another machine than its worker.
    worker_host = ''

    def __init__(self, worker_count=2, front_count=1):
        super().__init__(worker_count, front_count)
        self.network = FaultyNetwork()
        self.paths = []
        # Executors whose heartbeats do not reach their worker.
        self.unheard = set()

    @asynccontextmanager
    async def run(self):
        """Run everything within the block."""
        try:
            async with super().run():
                yield self
        finally:
            for link in self.network.connections:
                link.reset()
                for writer in link.writers:
                    writer.close()
            # Lets the closed transports finish before the loop is closed.
            await asyncio.sleep(0.01)

    def new_node(self, role, name, number, incarnation):
        """Return the node of a front or worker."""

        async def connect(host, port, **options):
            source = f'127.0.0.1:{LINK_PORT + number}'
            # Data in transit is not delayed by a paused process.
            return await asyncio.create_task(
                self.network.connect(host, port, source, **options),
                context=process_context(''),
            )

        async def serve(accept, host, port, **options):
            async def accept_in_process(*streams):
                await asyncio.create_task(
                    accept(*streams), context=process_context(name)
                )

            return await self.network.serve(
                accept_in_process, host, port, **options
            )

        return new_node(
            role, name, number, incarnation, connect=connect, serve=serve
        )

    def executor_address(self, number):
        """Return the address at which a worker calls its executor."""
        return f'127.0.0.1:{PATH_PORT + number}'

    async def start_executor(self, stack, number):
        """Start an executor, its heartbeats and the path to it."""
        path = ExecutorPath(PATH_PORT + number, EXECUTOR_PORT + number)
        self.paths.append(path)
        await super().start_executor(stack, number)
        # Closed first; otherwise the executor waits for its open calls.
        await stack.enter_async_context(path.run())

    async def announce(self, number, fields):
        """Send one heartbeat; return the status, or None without an answer."""
        if number in self.unheard:
            return None
        return await super().announce(number, fields)

    async def start_worker(self, number, incarnation=1):
        """Start a worker whose settings name the fronts as seeds."""
        await asyncio.create_task(
            super().start_worker(number, incarnation),
            context=process_context(f'w{number}'),
        )
        fronts = [link_address(f'f{x}') for x in range(self.front_count)]
        self.workers[number].seed_links.add(fronts)

    async def start_front(self, number, incarnation=1):
        """Start a front as a process."""
        await asyncio.create_task(
            super().start_front(number, incarnation),
            context=process_context(f'f{number}'),
        )

    def links_between(self, name, peer):
        """Return the connections between a front and a worker."""
        return self.network.connections_between(
            link_address(name), link_address(peer)
        )

    async def lose_link(self, name, peer, refused_s):
        """Reset a link at one end; both are refused new links for a while.

        Parameters
        ----------
        name : str
            Process whose end is reset.
        peer : str
            Process that does not notice the reset.
        refused_s : float
            Time for which connections are refused, in seconds.
        """
        ends = link_address(name), link_address(peer)
        paths = {ends, ends[::-1]}
        self.network.refused |= paths
        for link in self.links_between(name, peer):
            link.reset_at(ends[0])
        await asyncio.sleep(refused_s)
        self.network.refused -= paths

    def restart_at_once(self, number, executor_id='', born_ms=None):
        """Crash an executor and start it again at once.

        Parameters
        ----------
        number : int
            Number of the executor.
        executor_id : str
            Id of the new life; the id that it had if empty.
        born_ms : int, optional
            Start of the new life by the time of day, which may have been
            stepped back.
        """
        executor = self.executors[number]
        for transport in executor.transports:
            transport.abort()
        executor.restart(executor_id or executor.executor_id)
        if born_ms is not None:
            executor.born_ms = born_ms

    async def announce_as(self, number, executor_id, content):
        """Send bytes as the heartbeat of an id; return the status."""
        async with self.session.put(
            _instance_url(number, executor_id), data=content
        ) as response:
            await response.read()
            return response.status

    async def leave(self, number, executor_id):
        """Send the farewell of an executor to a worker."""
        url = _instance_url(number, executor_id)
        async with self.session.delete(url) as response:
            await response.read()


def _instance_url(number, executor_id):
    control = f'127.0.0.1:{CONTROL_PORT + number}'
    return f'http://{control}/api/instances/{executor_id}'
