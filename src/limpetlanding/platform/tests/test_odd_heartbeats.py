"""Heartbeats of another writer at a worker, and its odd executor ids."""

import asyncio
from urllib.parse import quote

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limpetlanding.platform.decode import (
    MAX_NUMBER,
    Malformed,
    decode_executor,
)
from limpetlanding.platform.tests.odd_entries import (
    NUMBERS,
    OTHER_TYPES,
    UNREADABLE,
    with_field,
)
from limpetlanding.platform.tests.rig import CONTROL_PORT, System, body
from limpetlanding.standin.platform_checks import overlapping_runs
from limpetlanding.standin.platform_executor import StandinExecutor

JOB = '5c0e7a21d94b36f8'

PAGE_HEARTBEAT = {
    'service': 'huvo11a',
    'address': '10.128.0.9:8080',
    'zone': 'pokhara',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'coldLeftMs': 0,
    'capacity': {'cpu': 16000, 'memMb': 32768, 'gpu': 0},
    'labels': ['a', 'r1-3'],
    'clockMs': 482113,
    'seq': 4,
}
OTHER_ID = 'i-other'
IDS = (
    'a\r\nb',
    'a\nX-Fence: 9',
    '\x00',
    ' ',
    'i-\x7f',
    'i-\u00e9',
    '\U0001f600',
)


def heartbeat(**changes):
    """Return the body of a readable heartbeat, with changed fields."""
    fields = {
        'service': 'desk',
        'address': '10.0.0.9:80',
        'zone': 'z1',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'capacity': {'cpu': 4000, 'memMb': 64, 'gpu': 0},
        'labels': ['a'],
        'seq': 4,
        'born': 2000,
    }
    return orjson.dumps(fields | changes)


def without(name):
    """Return the body of a heartbeat without one field."""
    fields = orjson.loads(heartbeat())
    fields.pop(name)
    return orjson.dumps(fields)


TEXTS_AND_LISTS = (
    'service',
    'state',
    'address',
    'zone',
    'version',
    'capacity',
    'labels',
)

REQUIRED = (
    'service',
    'address',
    'zone',
    'version',
    'state',
    'capacity',
    'seq',
)

ODD_HEARTBEATS = (
    *UNREADABLE,
    *map(without, REQUIRED),
    *(
        with_field(heartbeat(), name, value)
        for name in ('seq', 'born', 'slots')
        for value in (*NUMBERS, *OTHER_TYPES)
    ),
    *(
        with_field(heartbeat(), 'capacity', b'{"%s":%s}' % (name, value))
        for name in (b'cpu', b'memMb', b'gpu')
        for value in (*NUMBERS, *OTHER_TYPES)
    ),
    *(
        with_field(heartbeat(), name, value)
        for name in TEXTS_AND_LISTS
        for value in (*NUMBERS, *OTHER_TYPES[3:])
    ),
    heartbeat(state='gone'),
    heartbeat(labels=[7]),
    heartbeat(labels=[None]),
    heartbeat(labels=[['a']]),
    with_field(heartbeat(), 'labels', b'[' + OTHER_TYPES[4] + b']'),
)


async def send(system, executor_id, content, number=0):
    """Send a heartbeat to a worker and return the status of the answer."""
    path = f'/api/instances/{quote(executor_id, safe="")}'
    async with system.session.put(
        f'http://127.0.0.1:{CONTROL_PORT + number}{path}', data=content
    ) as response:
        return response.status


class TestDecoding:
    """Guards against heartbeats that are used although they are odd."""

    def test_readable_heartbeat_is_decoded(self):
        assert decode_executor('i-0', heartbeat()).capacity.cpu == 4000

    @pytest.mark.parametrize('name', ['slots', 'coldLeftMs', 'born', 'labels'])
    def test_heartbeat_without_a_field_that_may_be_0_is_decoded(self, name):
        # Guards against a sound executor that is not used, since it omits a
        # field whose value is 0 or empty.
        fields = PAGE_HEARTBEAT | {'born': 2000}
        fields.pop(name)
        assert decode_executor('i-0', orjson.dumps(fields)).sequence == 4

    @pytest.mark.parametrize(
        'changes',
        [
            {},
            {'slots': 0},
            {'zone': '', 'version': ''},
            {'coldLeftMs': 12.5},
            {'state': 'draining', 'remainingMs': 1900},
            {'somethingNew': [1]},
        ],
    )
    def test_heartbeat_of_the_protocol_page_is_decoded(self, changes):
        # Guards against a sound executor that is not used.
        content = orjson.dumps(PAGE_HEARTBEAT | changes)
        assert decode_executor('i-7f3a91c2', content).pool == 'huvo11a'

    def test_heartbeat_of_the_standin_is_decoded(self, monkeypatch):
        executor = StandinExecutor('i-0')
        monkeypatch.setattr(StandinExecutor, 'clock_ms', lambda _: 5000)
        content = orjson.dumps(executor.announcement())
        assert decode_executor('i-0', content).pool == 'desk'

    @pytest.mark.parametrize('content', ODD_HEARTBEATS)
    def test_odd_heartbeat_is_refused(self, content):
        with pytest.raises(Malformed):
            decode_executor('i-0', content)

    @pytest.mark.parametrize('executor_id', ['', *IDS, 'x' * 300])
    def test_odd_id_is_refused(self, executor_id):
        with pytest.raises(Malformed):
            decode_executor(executor_id, heartbeat())

    @given(
        at=st.integers(0, len(heartbeat()) - 1), content=st.binary(max_size=6)
    )
    @settings(max_examples=300, deadline=None)
    def test_changed_heartbeat_is_read_or_refused(self, at, content):
        changed = heartbeat()[:at] + content + heartbeat()[at + 1 :]
        try:
            executor = decode_executor('i-0', changed)
        except Malformed:
            return
        assert 0 <= executor.capacity.cpu <= MAX_NUMBER


class TestWorker:
    """Guards against odd heartbeats that take a worker out of service."""

    @pytest.mark.parametrize('executor_id', ['i-0', OTHER_ID])
    async def test_odd_heartbeats_change_nothing(self, executor_id):
        async with System(worker_count=1).run() as system:
            supervisor = system.workers[0].supervisor
            job = asyncio.create_task(system.submit(JOB))
            await asyncio.sleep(0.05)
            before = supervisor.executor
            for content in ODD_HEARTBEATS:
                assert await send(system, executor_id, content) == 400
            assert supervisor.executor is before
            assert (await job)[0] == 200
            assert len(system.history()) == 2
            await system.settle()
            assert (await system.submit(f'{7:016x}'))[0] == 200

    async def test_largest_heartbeat_is_acknowledged(self):
        # Guards against a long heartbeat that is refused for its length.
        async with System(worker_count=1).run() as system:
            content = heartbeat(version='')
            filler = 'v' * (4 * 1024 * 1024 - len(content))
            content = heartbeat(version=filler, born=1000)
            assert len(content) == 4 * 1024 * 1024
            assert await send(system, 'i-0', content) == 200

    @pytest.mark.parametrize('executor_id', IDS)
    async def test_first_heartbeat_with_an_odd_id(self, executor_id):
        # Guards against calls that fail because a header cannot hold the id.
        async with System(worker_count=1).run() as system:
            await system.kill('w0')
            await system.start_worker(0, incarnation=2)
            assert await send(system, executor_id, heartbeat()) == 400
            await system.settle()
            assert (await system.submit(JOB))[0] == 200

    async def test_largest_capacity_is_reported(self):
        async with System(worker_count=1).run() as system:
            system.executors[0].cpu = MAX_NUMBER
            await system.settle()
            assert (await system.submit(JOB))[0] == 200
            views = system.fronts[0].fleet.views.values()
            assert [x.capacity.cpu for x in views] == [MAX_NUMBER]

    @pytest.mark.parametrize('executor_id', IDS)
    async def test_executor_that_answers_with_an_odd_id(
        self, monkeypatch, executor_id
    ):
        health = StandinExecutor._health

        async def odd(executor, request):
            response = await health(executor, request)
            if '\n' not in executor_id and '\x00' not in executor_id:
                response.headers['X-Instance-Id'] = executor_id
            return response

        monkeypatch.setattr(StandinExecutor, '_health', odd)
        async with System(worker_count=1).run() as system:
            await system.kill('w0')
            await system.start_worker(0, incarnation=2)
            await system.settle()
            assert (await system.submit(JOB))[0] == 200


class TestOtherWriter:
    """Guards against another writer that ends the runs of an executor."""

    @pytest.mark.parametrize(
        ('executor_id', 'changes'),
        [
            (OTHER_ID, {'service': 'unknown', 'born': 10**12}),
            (OTHER_ID, {'born': 0}),
            ('i-0', {'born': 0}),
            (OTHER_ID, {'born': 1000, 'seq': 99}),
            (OTHER_ID, {'born': 10**12}),
            (OTHER_ID, {'born': MAX_NUMBER}),
            ('i-0', {'born': 10**12}),
            ('i-0', {'born': MAX_NUMBER}),
        ],
    )
    async def test_heartbeat_of_another_writer_ends_no_run(
        self, executor_id, changes
    ):
        async with System(worker_count=1).run() as system:
            executor = system.executors[0]
            executor.work_s = lambda _: 1.5
            job = asyncio.create_task(
                system.submit(JOB, body(2, estimateMs=1500), 8000)
            )
            await asyncio.sleep(0.3)
            await send(system, executor_id, heartbeat(**changes))
            assert (await job)[0] == 200
            assert [x.how for x in system.history()] == ['done', 'done']
            assert not overlapping_runs(system.history())
            now = asyncio.get_running_loop().time()
            assert not list(system.fronts[0].dispatcher.losses.known(now))
            await system.settle()
            assert (await system.submit(f'{7:016x}', body(1), 8000))[0] == 200
            known = system.workers[0].supervisor.executor
            assert known.executor_id == 'i-0'
            assert known.start_time_ms == executor.born_ms

    @pytest.mark.parametrize('executor_id', [OTHER_ID, 'i-0'])
    @pytest.mark.parametrize('born', [0, 1000, 10**12, MAX_NUMBER])
    async def test_executor_is_used_after_such_a_heartbeat(
        self, executor_id, born
    ):
        async with System(worker_count=1).run() as system:
            await system.kill('w0')
            await system.start_worker(0, incarnation=2)
            await send(system, executor_id, heartbeat(born=born))
            await system.settle()
            assert (await system.submit(JOB, body(1)))[0] == 200
            await send(system, executor_id, heartbeat(born=born, seq=10))
            await system.settle()
            assert (await system.submit(f'{7:016x}', body(1)))[0] == 200
