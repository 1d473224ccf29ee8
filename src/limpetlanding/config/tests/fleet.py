"""Entries and agents that exchange configuration over in-memory streams."""

import asyncio
from dataclasses import dataclass, field
from random import Random

from limpetlanding.config import (
    ConfigReader,
    ConfigStore,
    Replication,
    is_reader,
)
from limpetlanding.logservice import LogClient
from limpetlanding.wire import Hello, Node, NodeOptions
from limpetlanding.wire.job_messages import (
    ConfigRecords,
    ConfigRequest,
    EntryInfo,
)
from limpetlanding.wire.tests.faulty_network import FaultyNetwork

LOG_URL = 'http://127.0.0.1:7400'


def wall():
    """Return the time of the event loop as a wall-clock time, in seconds."""
    return 1_700_000_000 + asyncio.get_running_loop().time()


@dataclass
class Member:
    """The parts of one entry or agent that deal with configuration."""

    node: Node
    store: ConfigStore
    replication: Replication
    reader: ConfigReader | None = None
    reading: asyncio.Task | None = None

    @property
    def info(self):
        hello = self.node.hello
        return EntryInfo(hello.node, '', hello.address, '', hello.region)

    def is_reader(self):
        live = [
            EntryInfo(c.peer.node, '', c.peer.address, '', c.peer.region)
            for c in self.node.channels
            if c.links and c.peer.role == 'entry'
        ]
        return is_reader(self.info, live)

    def version(self, customer='apples'):
        stored = self.store.stored.get(customer)
        return stored.version if stored else 0

    async def stop(self):
        if self.reading is not None:
            self.reading.cancel()
            await asyncio.gather(self.reading, return_exceptions=True)
            await self.reader.log.close()
        await self.replication.stop()
        await self.node.stop(drain=False)


@dataclass
class Fleet:
    """Entries and agents on one faulty network.

    A member with `vectors` false asks for and gets all records instead of
    only the missing ones; `measure_spread` compares the two.
    """

    retention_s: float = 604_800
    network: FaultyNetwork = field(default_factory=FaultyNetwork)
    members: dict[str, Member] = field(default_factory=dict)
    # Names of the members on one side of the partition.
    isolated: set[str] = field(default_factory=set)
    seeds: Random = field(default_factory=lambda: Random(1))

    def rng(self):
        return Random(self.seeds.random())

    async def entry(self, name, region='punjab', reads=True, vectors=True):
        """Start an entry; with `reads` false it never reads the log."""
        member = await self._start('entry', name, region, vectors)
        log = LogClient(LOG_URL, 'contracts', 500, self.rng())
        member.reader = ConfigReader(
            member.store, log, name, self.retention_s, wall, self.rng()
        )
        member.reading = asyncio.create_task(
            member.reader.run(lambda: reads and member.is_reader())
        )
        return member

    async def agent(self, name, region='punjab', vectors=True):
        return await self._start('agent', name, region, vectors)

    async def stop(self, *names):
        for name in names or list(self.members):
            await self.members.pop(name).stop()

    def connections(self, name):
        """Return the connections to or from the member `name`."""
        address = self.members[name].node.hello.address
        return self.network.connections_to(address)

    def versions(self, customer='apples'):
        return {n: m.version(customer) for n, m in self.members.items()}

    def _is_partitioned(self, name, address):
        names = {m.node.hello.address: n for n, m in self.members.items()}
        return (name in self.isolated) != (names.get(address) in self.isolated)

    def partition(self, *isolated):
        """Partition the network into the members `isolated` and all others.

        All existing connections are silenced, including those within one side;
        new ones are established only within one side. A call without names
        ends the partition: new connections reach all members again.
        """
        self.isolated = set(isolated)
        for connection in self.network.connections:
            connection.silence()

    async def _start(self, role, name, region, vectors):
        address = f'10.0.0.1:{_port(name)}'
        store = ConfigStore()
        if not vectors:
            # Without versions, a request asks for all records.
            store.vector = dict
        replication = Replication(store, rng=self.rng())
        if not vectors:
            replication.answer = lambda wanted: answer_with_all_records(
                store, wanted
            )

        async def handle(channel, message):
            if isinstance(message, ConfigRequest):
                return replication.answer(message)
            return None

        async def connect(host, port, **options):
            if self._is_partitioned(name, f'{host}:{port}'):
                await asyncio.Event().wait()
            return await self.network.connect(host, port, **options)

        node = Node(
            Hello(
                1,
                role,
                name,
                f'i{self.seeds.random()}',
                'd',
                address,
                '',
                region,
            ),
            handle,
            NodeOptions(rng=self.rng()),
            connect=connect,
            serve=self.network.serve,
        )
        replication.attach(node)
        await node.start()
        for other in self.members.values():
            if 'entry' in {other.node.hello.role, role}:
                dialer, target = (node, other.node)
                if role == 'entry' and other.node.hello.role == 'agent':
                    dialer, target = (other.node, node)
                dialer.keep_dialing(target.hello.address)
        self.members[name] = Member(node, store, replication)
        return self.members[name]


def answer_with_all_records(store, wanted):
    """Reply with all records unless the digests are equal."""
    if wanted.digest == store.digest:
        return ConfigRecords([], 0)
    return ConfigRecords(store.missing_records({}))


def _port(name):
    number = int(name.lstrip('abcdefghijklmnopqrstuvwxyz'))
    return number + (1_000 if name.startswith('e') else 2_000)
