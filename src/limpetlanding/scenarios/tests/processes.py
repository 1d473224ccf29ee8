"""Event loop in which several processes run and can be paused or killed.

Every callback belongs to the process named in its context. The callbacks of
a paused process, timers included, wait until it is resumed; what arrives
meanwhile is buffered, as the kernel does it for a stopped process. A killed
process runs nothing more, and its connections are reset.
"""

import asyncio
import selectors
from contextvars import ContextVar, copy_context

import async_solipsism

from limpetlanding.wire.tests.faulty_network import FaultyNetwork

PROCESS = ContextVar('PROCESS', default='')


def context_of(name):
    context = copy_context()
    context.run(PROCESS.set, name)
    return context


class DirectMapping(selectors._SelectorMapping):
    """Map of a selector that lists its keys without looking each one up.

    The look-ups were about a third of the processor time of a scenario.
    """

    def values(self):
        return self._selector._fd_to_key.values()


class ProcessLoop(async_solipsism.EventLoop):
    def __init__(self):
        super().__init__()
        self._selector._map = DirectMapping(self._selector)
        # Callbacks held back, by process.
        self.held = {}
        self.dead = set()
        self.transports = {}
        self.servers = {}

    def call_soon(self, callback, *args, context=None):
        context = context or copy_context()
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
            when, self._run, own, context, callback, args, context=context
        )
        own.append(handle)
        return handle

    def _run(self, own, context, callback, args):
        held = self.held.get(PROCESS.get())
        if held is not None:
            held.append((own, context, callback, args))
        elif not own[0].cancelled():
            callback(*args)

    def pause(self, name):
        self.held.setdefault(name, [])

    def resume(self, name):
        if name not in self.dead:
            self._release(name)

    def kill(self, name):
        self.pause(name)
        self.dead.add(name)
        for server in self.servers.pop(name, []):
            server.close()
        for transport in self.transports.pop(name, []):
            transport.abort()

    def end(self):
        """Let killed processes run again, so that their tasks can end."""
        for name in list(self.held):
            self._release(name)

    def _release(self, name):
        for own, context, callback, args in self.held.pop(name, []):
            super().call_soon(
                self._run, own, context, callback, args, context=context
            )

    async def create_server(self, *args, **options):
        server = await super().create_server(*args, **options)
        self.servers.setdefault(PROCESS.get(), []).append(server)
        return server

    def _make_socket_transport(self, *args, **options):
        transport = super()._make_socket_transport(*args, **options)
        self.transports.setdefault(PROCESS.get(), []).append(transport)
        return transport


class ProcessNetwork(FaultyNetwork):
    """Network that knows which process dialed which one.

    Its own tasks belong to no process, so that a pause of one end does not
    hold back what the network carries.
    """

    def __init__(self):
        super().__init__()
        self.names = {}
        self.ends = {}

    async def connect(self, host, port, **options):
        source = PROCESS.get()
        connecting = super().connect(host, port)
        streams = await asyncio.create_task(connecting, context=context_of(''))
        (connection,) = [c for c in self.connections if c.client is streams]
        self.ends[connection] = {source, self.names[connection.address]}
        return streams

    async def serve(self, accept, host, port, **options):
        name = PROCESS.get()

        async def accept_in_process(reader, writer):
            task = asyncio.create_task(
                accept(reader, writer), context=context_of(name)
            )
            await task

        server = await super().serve(accept_in_process, host, port)
        self.names[server.address] = name
        return server

    def between(self, one, other):
        """Connections of two kinds of process, such as entry and agent."""
        kinds = sorted((one, other))
        return [
            connection
            for connection, ends in self.ends.items()
            if sorted(x.partition('-')[0] for x in ends) == kinds
        ]

    def kill(self, name):
        """Break what a process has open."""
        for address, owner in self.names.items():
            if owner == name:
                self.listeners.pop(address, None)
        for connection, ends in self.ends.items():
            if name in ends:
                connection.reset()
