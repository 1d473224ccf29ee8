"""End-to-end tests of malformed messages and of errors in a loop."""

import asyncio

import pytest

from limpetlanding.platform.tests.rig import (
    CLIENT_PORT,
    CONTROL_PORT,
    HOST,
    LINK_PORT,
    System,
    body,
)
from limpetlanding.wire import PROTOCOL_VERSION, Hello
from limpetlanding.wire.codec import FrameKind, encode_frame
from limpetlanding.wire.messages import Heartbeat
from limpetlanding.wire.run_messages import StopRuns

JOB = '5c0e7a21d94b36f8'
OTHER = '5c0e7a21d94b36f9'
FRONT_LINK_PORT = LINK_PORT + 50


def hello(**changes):
    """Return the first frame of a peer."""
    fields = {
        'protocol': PROTOCOL_VERSION,
        'role': 'front',
        'node': 'odd',
        'incarnation': 'odd-1',
        'failure_domain': 'z1',
        'address': '',
        'http_address': '',
    }
    return encode_frame(FrameKind.NOTIFY, 0, Hello(**fields | changes))


BAD_FRAMES = {
    'garbage': b'GET / HTTP/1.1\r\n\r\n',
    'too long': b'\xff\xff\xff\xff',
    'no array': b'\x00\x00\x00\x01\xc0',
    'no hello': encode_frame(FrameKind.NOTIFY, 0, Heartbeat(1)),
    'unknown message': hello() + b'\x00\x00\x00\x07\x94\x00\x00\xa2??\x90',
    'fields missing': hello() + b'\x00\x00\x00\x08\x94\x01\x05\xa3hb!\x90',
    'run without number': hello()
    + encode_frame(FrameKind.REQUEST, 1, StopRuns(['x'], 'odd')),
    'unknown role': hello(role='?'),
    'address of another': hello(address=f'127.0.0.1:{LINK_PORT}'),
    'unusable address': hello(address='nowhere'),
}


async def send_bytes(port, content):
    """Send bytes over a new connection, and read what is answered."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(content)
    try:
        async with asyncio.timeout(1):
            while await reader.read(1000):
                """The answer does not matter."""
    except (TimeoutError, ConnectionError):
        """The connection may stay open or be reset."""
    writer.close()


async def post_job(system, content, wait_ms):
    """Submit a job as it stands, and return the status of the answer."""
    async with system.session.post(
        f'http://127.0.0.1:{CLIENT_PORT}/quote/{JOB}',
        data=content,
        headers={'Host': HOST, 'X-Deadline-Ms': wait_ms},
    ) as response:
        return response.status


async def assert_serves(system):
    """Check that the front is ready, serves a job and follows its workers."""
    await asyncio.sleep(3)
    assert not system.fronts[0].not_ready_reason()
    assert (await system.submit(OTHER))[0] == 200


class TestMalformedMessages:
    """Guards against a message that ends a process or one of its loops."""

    @pytest.mark.parametrize('port', [LINK_PORT, FRONT_LINK_PORT])
    @pytest.mark.parametrize('name', BAD_FRAMES)
    async def test_frame_of_an_odd_peer_harms_no_job(self, port, name):
        async with System().run() as system:
            for executor in system.executors:
                executor.work_s = lambda _: 1
            job = asyncio.create_task(system.submit(JOB, body(2), 9000))
            await asyncio.sleep(0.3)
            await send_bytes(port, BAD_FRAMES[name])
            assert (await job)[0] == 200
            assert len(system.history()) == 2
            await assert_serves(system)

    @pytest.mark.parametrize('port', [CLIENT_PORT, CONTROL_PORT])
    @pytest.mark.parametrize(
        'content',
        [
            b'\x00\xff\r\n\r\n',
            b'POST /quote/%b HTTP/1.1\r\nContent-Length: -1\r\n\r\n'
            % JOB.encode(),
            b'PUT /api/instances/x HTTP/1.1\r\nContent-Length: 3\r\n\r\n\xff[{',
            b'POST /quote/%b HTTP/1.1\r\nHost: %b\r\nContent-Length: 9\r\n\r\n{'
            % (JOB.encode(), HOST.encode()),
        ],
        ids=['garbage', 'length', 'not json', 'cut off'],
    )
    async def test_bad_request_harms_no_other(self, port, content):
        async with System().run() as system:
            await send_bytes(port, content)
            await assert_serves(system)

    @pytest.mark.parametrize(
        ('step', 'status'),
        [
            ('7', 400),
            ('{"count": 1e400}', 400),
            ('{"cpu": "x"}', 400),
            ('{"cpu": 99999999999999999999}', 400),
            ('{"cpu": -9}', 400),
            ('{"memMb": -9}', 400),
            ('{"gpu": -1}', 400),
            ('{"cpu": 9223372036854775807}', 400),
            ('{"estimateMs": -1e308}', 400),
        ],
    )
    async def test_odd_job_harms_no_other(self, step, status):
        # A negative need would make room beyond the capacity.
        content = f'{{"bestEffort": true, "pipeline": [{step}]}}'
        async with System().run() as system:
            assert await post_job(system, content, '800') == status
            await assert_serves(system)

    @pytest.mark.parametrize('wait_ms', ['x', '9' * 400, '1' * 9000])
    async def test_odd_deadline_is_rejected(self, wait_ms):
        content = '{"bestEffort": true, "pipeline": [{"cpu": 9}]}'
        async with System().run() as system:
            assert await post_job(system, content, wait_ms) == 400
            assert not system.history()


class TestLoops:
    """Guards against a process that stays ready while one of its loops ended.

    An unexpected error ends a loop that does not expect it.
    """

    async def test_worker_looks_for_fronts_after_an_error(self):
        async with System(worker_count=1).run() as system:
            worker = system.workers[0]
            updates = []

            def fail_at_first():
                updates.append(None)
                if len(updates) == 1:
                    raise ZeroDivisionError('unexpected')

            worker.seed_links.update = fail_at_first
            await asyncio.sleep(3.5)
            assert len(updates) > 1

    async def test_inventories_continue_after_an_error(self):
        async with System(worker_count=1).run() as system:
            supervisor = system.workers[0].supervisor
            inventory = supervisor.port.inventory

            async def fail(*_):
                supervisor.port.inventory = inventory
                raise ZeroDivisionError('unexpected')

            supervisor.port.inventory = fail
            assert (await system.submit(JOB, wait_ms=9000))[0] == 200
            await assert_serves(system)

    async def test_resources_are_free_after_an_error_in_a_start(self):
        async with System(worker_count=1).run() as system:
            supervisor = system.workers[0].supervisor
            start = supervisor.port.start

            async def fail(*_):
                supervisor.port.start = start
                raise ZeroDivisionError('unexpected')

            supervisor.port.start = fail
            await system.submit(JOB, body(1))
            await system.settle()
            assert not supervisor.runs

    async def test_registration_continues_after_an_error(self):
        async with System(worker_count=1).run() as system:
            system.heartbeats.pop().cancel()
            worker = system.workers[0]
            store = system.registrations[0].store
            register = store.register_worker

            async def fail(_record):
                store.register_worker = register
                raise ZeroDivisionError('unexpected')

            store.register_worker = fail
            executor = system.executors[0]
            for _ in range(2):
                executor.cpu -= 1000
                await system.announce(0, executor.announcement())
                await system.settle()
            record = await store.worker('w0')
            assert record.capacity == worker.supervisor.capacity
