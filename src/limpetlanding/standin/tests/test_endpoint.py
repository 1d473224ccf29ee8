import asyncio

import aiohttp
import pytest
from aiohttp import web

from limpetlanding.standin.endpoint import EndpointOptions, StandinEndpoint

URL = 'http://127.0.0.1:9000'


@pytest.fixture
async def endpoint():
    starts = []
    options = EndpointOptions('e1', ('quote',), speed=2, slots=1)
    endpoint = StandinEndpoint(
        options, record_start=lambda _, task_id: starts.append(task_id)
    )
    endpoint.starts = starts
    runner = web.AppRunner(endpoint.app(), shutdown_timeout=0)
    await runner.setup()
    loop = asyncio.get_running_loop()
    server = await loop.create_server(runner.server, '127.0.0.1', 9000)
    yield endpoint
    server.close()
    await runner.cleanup()


async def call(session, task_id, work_ms=100):
    body = {
        'task_id': task_id,
        'kind': 'quote',
        'payload': {'work_ms': work_ms},
    }
    async with session.post(
        f'{URL}/v1/run', json=body, headers={'Idempotency-Key': task_id}
    ) as response:
        return response.status, await response.json()


class TestStandinEndpoint:
    async def test_repeat_joins_the_running_call(self, endpoint):
        # A stand-in that started a repeated call again would hide the double
        # starts that the bench looks for.
        async with aiohttp.ClientSession() as session:
            answers = await asyncio.gather(
                call(session, 'a/0'), call(session, 'a/0')
            )
        assert answers[0] == answers[1]
        assert endpoint.starts == ['a/0']

    async def test_call_for_an_earlier_incarnation_starts_nothing(
        self, endpoint
    ):
        # A restarted endpoint that ran a repeated call would start the task
        # a second time.
        async with aiohttp.ClientSession() as session:
            session.headers['X-Endpoint-Incarnation'] = 'earlier'
            status, _ = await call(session, 'a/0')
        assert status == 412
        assert endpoint.starts == []

    async def test_run_time_follows_speed_and_slots(self, endpoint):
        loop = asyncio.get_running_loop()
        async with aiohttp.ClientSession() as session:
            await asyncio.gather(call(session, 'a/0'), call(session, 'a/1'))
        assert loop.time() == pytest.approx(0.1)

    async def test_failing_endpoint_records_the_start(self, endpoint):
        endpoint.faults.fail_all = True
        async with aiohttp.ClientSession() as session:
            status, answer = await call(session, 'a/0')
        assert (status, answer['blame']) == (500, 'endpoint')
        assert endpoint.starts == ['a/0']

    async def test_silent_connection_stays_silent_but_new_one_works(
        self, endpoint
    ):
        endpoint.faults.silent = True
        async with aiohttp.ClientSession() as session:
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(5):
                    await call(session, 'a/0')
            endpoint.faults.silent = False
            status, _ = await call(session, 'a/0')
        assert status == 200
        assert endpoint.starts == ['a/0']
