import asyncio
from collections import Counter

import aiohttp
import pytest

from limpetlanding.agent.endpoints import Endpoints
from limpetlanding.agent.load import LoadReporter
from limpetlanding.agent.role import AgentRole
from limpetlanding.agent.tests.fakes import CUSTOMER, FakeEndpoint, submission
from limpetlanding.jobs import mint_job_id
from limpetlanding.settings import Settings
from limpetlanding.wire import Hello, Node
from limpetlanding.wire.job_messages import (
    AllocateIds,
    CoordinatorMoved,
    EndpointLoad,
    LoadReport,
    LocateCoordinator,
    Members,
    PlaceAgain,
    Placement,
    Placements,
)
from limpetlanding.wire.tests.faulty_network import FaultyNetwork

ENTRY = '10.0.0.1:7000'


class FakeEntry:
    """Node in the role of an entry that records what agents send."""

    def __init__(self, network, address=ENTRY):
        self.received = []
        self.node = Node(
            Hello(1, 'entry', 'entry', 'e' * 16, 'kasur', address, '', 'r'),
            self.handle,
            connect=network.connect,
            serve=network.serve,
        )

    async def handle(self, channel, message):
        self.received.append(message)
        if isinstance(message, PlaceAgain):
            return Placements(
                [
                    self.placement(spec.index, channel)
                    for spec in message.tasks
                    for channel in self.agents()
                    if channel.peer.node not in message.avoid
                ]
            )
        return None

    def agents(self):
        return [x for x in self.node.channels if x.peer.role == 'agent']

    def channel(self, node):
        return next(x for x in self.agents() if x.peer.node == node)

    def placement(self, index, channel):
        peer = channel.peer
        return Placement(index, peer.node, peer.incarnation, peer.address)

    def received_of_type(self, message_type):
        return [x for x in self.received if isinstance(x, message_type)]


class Deployment:
    """One entry, agents with real nodes, and their endpoints."""

    def __init__(self):
        self.network = FaultyNetwork()
        self.entry = FakeEntry(self.network)
        self.roles = {}
        self.running = {}
        self.tasks = []
        self.endpoints = []
        self.starts = Counter()

    async def add_agent(self, number, **options):
        name = f'agent-{number}'
        settings = Settings(
            role='agent',
            node=name,
            region='r',
            failure_domain='kasur',
            entries=[ENTRY],
            listen={'host': f'10.0.1.{number}', 'port': 7000},
            http={'host': '127.0.0.1', 'port': 8000 + number},
        )
        role = AgentRole(
            settings,
            connect=self.network.connect,
            serve=self.network.serve,
        )
        self.roles[name] = role
        self.running[name] = asyncio.create_task(role.run())
        endpoint = FakeEndpoint(9000 + number, self.starts, **options)
        await endpoint.start()
        self.endpoints.append(endpoint)
        self.tasks.append(asyncio.create_task(announce(endpoint, number)))
        await asyncio.sleep(1.5)
        return role

    async def new_ids(self, node, count=1):
        channel = self.entry.channel(node)
        block = await channel.request(AllocateIds(count), 1)
        return [
            str(mint_job_id(block.incarnation, number, CUSTOMER, block.secret))
            for number in range(block.first, block.first + block.count)
        ]

    async def submit(self, job_id, coordinator, nodes, payloads=(b'{}',)):
        message = submission(job_id, [self.roles[coordinator].core], payloads)
        channels = [self.entry.channel(node) for node in nodes]
        message.placements = [
            self.entry.placement(index, channels[index % len(channels)])
            for index in range(len(payloads))
        ]
        return await self.entry.channel(coordinator).request(message, 20)

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for role in self.roles.values():
            role.stop_wanted.set()
        await asyncio.gather(*self.running.values())
        await self.entry.node.stop(drain=False)
        for endpoint in self.endpoints:
            await endpoint.stop()


async def announce(endpoint, number):
    body = {
        **endpoint.announced,
        'kinds': ['quote'],
        'address': f'http://127.0.0.1:{endpoint.port}',
    }
    url = f'http://127.0.0.1:{8000 + number}/v1/announce'
    async with aiohttp.ClientSession() as session:
        while True:
            async with session.post(url, json=body) as response:
                assert (await response.json()) == {'lease_ms': 3000}
            await asyncio.sleep(1)


@pytest.fixture
async def deployment():
    deployment = Deployment()
    await deployment.entry.node.start()
    yield deployment
    await deployment.close()
    assert all(starts <= 1 for starts in deployment.starts.values())


async def get(path, number=1):
    async with aiohttp.ClientSession() as session:
        url = f'http://127.0.0.1:{8000 + number}{path}'
        async with session.get(url) as response:
            return response.status, await response.text()


class TestRole:
    async def test_job_over_real_nodes(self, deployment):
        await deployment.add_agent(1)
        await deployment.add_agent(2)
        [job_id] = await deployment.new_ids('agent-1')
        nodes = ['agent-1', 'agent-2']
        answer = await deployment.submit(
            job_id, 'agent-1', nodes, [b'{}', b'{}']
        )
        assert answer.outcome == 'complete'
        assert [x.agent for x in answer.results] == nodes

    async def test_dropped_links_during_a_job(self, deployment):
        # Guards against losing a job or starting it twice when links fail.
        await deployment.add_agent(1)
        await deployment.add_agent(2)
        [job_id] = await deployment.new_ids('agent-1')
        job = asyncio.create_task(
            deployment.submit(
                job_id,
                'agent-1',
                ['agent-1', 'agent-2'],
                [b'{"run_s":0.9}'] * 4,
            )
        )
        await asyncio.sleep(0.5)
        for connection in list(deployment.network.connections):
            connection.reset()
        answer = await job
        assert answer.outcome == 'complete'
        assert sum(deployment.starts.values()) == 4

    async def test_silent_links_during_a_job(self, deployment):
        await deployment.add_agent(1)
        await deployment.add_agent(2)
        [job_id] = await deployment.new_ids('agent-1')
        job = asyncio.create_task(
            deployment.submit(
                job_id,
                'agent-1',
                ['agent-2'],
                [b'{"run_s":0.9}'] * 4,
            )
        )
        await asyncio.sleep(0.5)
        for connection in list(deployment.network.connections):
            connection.silence()
        answer = await job
        assert answer.outcome == 'complete'

    async def test_planned_stop_hands_over_and_completes_jobs(self, deployment):
        # Guards P7: a planned stop fails no job. Also guards against losing
        # the answers that the draining agent holds.
        await deployment.add_agent(1)
        await deployment.add_agent(2)
        ids = await deployment.new_ids('agent-1', 3)
        ended, running, unused = ids
        before = await deployment.submit(ended, 'agent-1', ['agent-1'])
        job = asyncio.create_task(
            deployment.submit(
                running, 'agent-1', ['agent-1'], [b'{"run_s":0.9}'] * 12
            )
        )
        await asyncio.sleep(0.1)
        deployment.roles['agent-1'].stop_wanted.set()
        answer = await job
        assert answer.outcome == 'complete'
        await deployment.running['agent-1']
        moved = deployment.entry.received_of_type(CoordinatorMoved)
        incarnation = ended.split('.')[0]
        assert {x.incarnation for x in moved} == {incarnation}
        assert {x.successor for x in moved} == {'agent-2'}
        assert deployment.entry.received_of_type(LoadReport)
        channel = deployment.entry.channel('agent-2')
        located = await channel.request(LocateCoordinator(incarnation), 1)
        assert located.known
        for job_id, expected in ((ended, before), (running, answer)):
            again = await deployment.submit(job_id, 'agent-2', ['agent-2'])
            assert again == expected
        fresh = await deployment.submit(unused, 'agent-2', ['agent-2'])
        assert fresh.outcome == 'complete'

    async def test_drain_by_http(self, deployment):
        await deployment.add_agent(1)
        async with (
            aiohttp.ClientSession() as session,
            session.post('http://127.0.0.1:8001/drain') as response,
        ):
            assert response.status == 202
        await deployment.running['agent-1']
        assert deployment.roles['agent-1'].lifecycle.state == 'stopped'

    async def test_draining_is_reported_at_once(self, deployment):
        # Guards against placements at a draining agent.
        role = await deployment.add_agent(1)
        role.stop_wanted.set()
        await asyncio.sleep(0.1)
        assert deployment.entry.received_of_type(LoadReport)[-1].draining
        assert (await get('/readyz'))[0] == 503

    async def test_failed_background_task_stops_the_agent(self, deployment):
        # Guards against an agent that continues without load reports.
        role = await deployment.add_agent(1)
        [job_id] = await deployment.new_ids('agent-1')
        job = asyncio.create_task(
            deployment.submit(
                job_id, 'agent-1', ['agent-1'], [b'{"run_s":0.9}']
            )
        )
        await asyncio.sleep(0.1)
        role.reporter.report = None
        role.reporter.mark_changed()
        with pytest.raises(TypeError):
            await deployment.running.pop('agent-1')
        assert (await job).outcome == 'complete'

    async def test_unreachable_entries_do_not_prevent_service(self, deployment):
        role = await deployment.add_agent(1)
        await deployment.entry.node.stop(drain=False)
        await asyncio.sleep(5)
        assert (await get('/healthz'))[0] == 200
        status, text = await get('/readyz')
        assert (status, text) == (503, 'no entry is connected\n')
        assert role.core.load().endpoints[0].serving

    async def test_operator_routes(self, deployment):
        await deployment.add_agent(1)
        assert await get('/readyz') == (200, 'ready\n')
        status, text = await get('/statusz')
        assert status == 200
        assert '"messages_sent"' in text
        status, text = await get('/metrics')
        assert 'limpetlanding_agent_tasks_queued_count 0' in text

    async def test_invalid_announcement_names_the_problem(self, deployment):
        await deployment.add_agent(1)
        url = 'http://127.0.0.1:8001/v1/announce'
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, json={'endpoint_id': 'x'}) as response,
        ):
            assert response.status == 400
            assert 'kinds' in (await response.json())['detail']

    async def test_member_entries_are_dialed(self, deployment):
        await deployment.add_agent(1)
        other = FakeEntry(deployment.network, '10.0.0.2:7000')
        other.node.hello.node = 'entry-2'
        other.node.hello.incarnation = 'd' * 16
        await other.node.start()
        info = [
            {'node': 'entry-2', 'address': '10.0.0.2:7000', 'region': 'r'},
            {'node': 'entry-3', 'address': '10.0.0.3:7000', 'region': 'far'},
        ]
        members = Members([entry_info(**fields) for fields in info])
        deployment.entry.channel('agent-1').notify(members)
        await asyncio.sleep(1)
        assert [x.peer.node for x in other.agents()] == ['agent-1']
        assert not deployment.network.attempts['10.0.0.3:7000']
        await other.node.stop(drain=False)


def entry_info(node, address, region):
    from limpetlanding.wire.job_messages import EntryInfo

    return EntryInfo(node, 'd' * 16, address, 'kasur', region)


class RecordingChannel:
    def __init__(self):
        self.reports = []

    def notify(self, report):
        now = asyncio.get_running_loop().time()
        self.reports.append((now, report))


class TestLoadReporter:
    async def test_traffic_stays_within_the_budget(self):
        # Guards the limit of 7 KB/s of control traffic per node.
        from limpetlanding.wire.codec import FrameKind, encode_frame

        load = EndpointLoad('e', ['quote'], 8, 3, 1.0)
        report = LoadReport([load], 1.0, 0, 1, 0, 1)
        entries = [RecordingChannel() for _ in range(3)]
        reporter = LoadReporter(lambda: report, lambda: entries)
        sending = asyncio.create_task(reporter.run())
        for _ in range(1000):
            reporter.mark_changed()
            await asyncio.sleep(0.01)
        sending.cancel()
        size = len(encode_frame(FrameKind.NOTIFY, 0, report))
        sent = sum(len(entry.reports) for entry in entries)
        assert 5000 < sent * size / 10 < 6100

    async def test_first_change_after_a_pause_is_sent_at_once(self):
        # Guards against an outdated view of the load when load is low.
        entry = RecordingChannel()
        reporter = LoadReporter(
            lambda: LoadReport([], 0, 0, 0, 0, 0), lambda: [entry]
        )
        sending = asyncio.create_task(reporter.run())
        await asyncio.sleep(0.5)
        reporter.mark_changed()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        sending.cancel()
        assert [at for at, _ in entry.reports] == [0, 0.5]

    async def test_unchanged_load_is_refreshed(self):
        # Guards against the loss of a report with its link.
        entry = RecordingChannel()
        reporter = LoadReporter(
            lambda: LoadReport([], 0, 0, 0, 0, 0), lambda: [entry]
        )
        sending = asyncio.create_task(reporter.run())
        await asyncio.sleep(5.5)
        sending.cancel()
        assert 5 <= len(entry.reports) <= 6


class TestEndpointsClock:
    async def test_lease_counts_from_the_announcement(self):
        now = 0.0
        endpoints = Endpoints(lambda: now)
        endpoint = FakeEndpoint(9001, Counter())
        endpoints.announce(endpoint.announcement())
        now = 2.9
        assert endpoints.pick('quote', 0)
        now = 3.0
        assert endpoints.pick('quote', 0) is None
