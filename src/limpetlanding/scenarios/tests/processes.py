"""Event loop that simulates processes, which can be paused or killed.

Every callback belongs to the process named in its context. The callbacks of
a paused process, including timers, are deferred until it is resumed; data
that arrives meanwhile is buffered, as the kernel does for a stopped process.
The callbacks of a killed process no longer run, and its connections are
reset.
"""

import asyncio
import selectors
from contextvars import ContextVar, copy_context

import async_solipsism

from limpetlanding.wire.tests.faulty_network import FaultyNetwork

CURRENT_PROCESS = ContextVar('PROCESS', default='')


def process_context(name):
    context = copy_context()
    context.run(CURRENT_PROCESS.set, name)
    return context


class DirectMapping(selectors._SelectorMapping):
    """Mapping of a selector that lists its keys without a look-up for each.

    The look-ups took about a third of the processor time of a scenario.
    """

    def values(self):
        return self._selector._fd_to_key.values()


class ProcessLoop(async_solipsism.EventLoop):
    def __init__(self):
        super().__init__()
        self._selector._map = DirectMapping(self._selector)
        # Deferred callbacks, by process.
        self.deferred = {}
        self.killed = set()
        self.transports = {}
        self.servers = {}

    def call_soon(self, callback, *args, context=None):
        context = context or copy_context()
        # Receives the handle below, so that `_run` can see a cancellation.
        own = []
        handle = super().call_soon(
            self._run, own, context, callback, args, context=context
        )
        own.append(handle)
        return handle

    def call_at(self, when, callback, *args, context=None):
        context = context or copy_context()
        own = []
        handle = super().call_at(
            when,
            self._run,
            own,
            context,
            callback,
            args,
            context=context,
        )
        own.append(handle)
        return handle

    def _run(self, own, context, callback, args):
        deferred = self.deferred.get(CURRENT_PROCESS.get())
        if deferred is not None:
            deferred.append((own, context, callback, args))
        elif not own[0].cancelled():
            callback(*args)

    def pause(self, name):
        self.deferred.setdefault(name, [])

    def resume(self, name):
        if name not in self.killed:
            self._schedule_deferred(name)

    def kill(self, name):
        self.pause(name)
        self.killed.add(name)
        for server in self.servers.pop(name, []):
            server.close()
        for transport in self.transports.pop(name, []):
            transport.abort()

    def release_all(self):
        """Resume paused and killed processes, so that their tasks can end."""
        for name in list(self.deferred):
            self._schedule_deferred(name)

    def _schedule_deferred(self, name):
        for own, context, callback, args in self.deferred.pop(name, []):
            super().call_soon(
                self._run, own, context, callback, args, context=context
            )

    async def create_server(self, *args, **options):
        server = await super().create_server(*args, **options)
        self.servers.setdefault(CURRENT_PROCESS.get(), []).append(server)
        return server

    def _make_socket_transport(self, *args, **options):
        transport = super()._make_socket_transport(*args, **options)
        self.transports.setdefault(CURRENT_PROCESS.get(), []).append(transport)
        return transport


class ProcessNetwork(FaultyNetwork):
    """Network that records which two processes each connection joins.

    The tasks of the network itself belong to no process, so that pausing one
    process does not delay data in transit.
    """

    def __init__(self):
        super().__init__()
        self.process_by_address = {}
        self.processes_by_connection = {}

    async def connect(self, host, port, **options):
        source = CURRENT_PROCESS.get()
        connecting = super().connect(host, port)
        streams = await asyncio.create_task(
            connecting, context=process_context('')
        )
        (connection,) = [c for c in self.connections if c.client is streams]
        self.processes_by_connection[connection] = {
            source,
            self.process_by_address[connection.address],
        }
        return streams

    async def serve(self, accept, host, port, **options):
        name = CURRENT_PROCESS.get()

        async def accept_in_process(reader, writer):
            task = asyncio.create_task(
                accept(reader, writer), context=process_context(name)
            )
            await task

        server = await super().serve(accept_in_process, host, port)
        self.process_by_address[server.address] = name
        return server

    def connections_between(self, role, other_role):
        """Return the connections between two roles, such as entry and agent."""
        roles = sorted((role, other_role))
        return [
            connection
            for connection, processes in self.processes_by_connection.items()
            if sorted(x.partition('-')[0] for x in processes) == roles
        ]

    def kill(self, name):
        """Close the listeners of a process and reset its connections."""
        for address, owner in self.process_by_address.items():
            if owner == name:
                self.listeners.pop(address, None)
        for (
            connection,
            processes,
        ) in self.processes_by_connection.items():
            if name in processes:
                connection.reset()
