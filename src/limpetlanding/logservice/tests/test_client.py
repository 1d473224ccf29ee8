import asyncio
from dataclasses import replace
from random import Random

import pytest
from aiohttp import web

from limpetlanding.lifecycle.serving import run_http_server
from limpetlanding.logservice import (
    LogClient,
    LogRefused,
    LogThrottled,
    LogTruncated,
    LogUnavailable,
)

URL = 'http://127.0.0.1:7400'


@pytest.fixture
async def client():
    async with LogClient(URL, 'contracts', 500, Random(1)) as client:
        yield client


def set_log_faults(log, **faults):
    log.faults = replace(log.faults, **faults)


def now():
    return asyncio.get_running_loop().time()


class TestLogClient:
    async def test_appended_records_are_read_in_pages(
        self, standin_log, client
    ):
        offsets = [await client.append(str(n), {'n': n}) for n in range(3)]
        assert offsets == [0, 1, 2]
        page = await client.read(1, limit=1)
        assert [r.body for r in page.records] == [{'n': 1}]
        assert (page.next, page.first) == (2, 0)

    async def test_reader_waits_for_a_record(self, standin_log, client):
        reading = asyncio.create_task(client.read(0, wait_ms=10_000))
        await asyncio.sleep(3)
        standin_log.append('contracts', {'n': 1})
        assert len((await reading).records) == 1
        assert now() < 3.1

    async def test_retention_is_reported_with_the_first_offset(
        self, standin_log, client
    ):
        standin_log.retention_s = 10
        standin_log.append('contracts', {})
        await asyncio.sleep(11)
        standin_log.append('contracts', {})
        with pytest.raises(LogTruncated) as caught:
            await client.read(0)
        assert caught.value.first == 1

    async def test_read_continues_after_an_outage(self, standin_log, client):
        standin_log.append('contracts', {})
        set_log_faults(standin_log, outage=True)
        reading = asyncio.create_task(client.read_with_retries(0))
        await asyncio.sleep(3600)
        assert not reading.done()
        set_log_faults(standin_log, outage=False)
        assert len((await reading).records) == 1
        # The longest wait between attempts is 5 s.
        assert now() < 3606

    async def test_lost_answer_is_not_reported_as_unwritten(
        self, standin_log, client
    ):
        set_log_faults(standin_log, lose_answers=True)
        with pytest.raises(LogUnavailable) as caught:
            await client.append('a', {})
        assert not isinstance(caught.value, LogThrottled)
        assert standin_log.streams['contracts'].next == 1

    async def test_silent_connection_is_replaced(self, standin_log, client):
        # Guards against a pool that keeps returning a broken connection.
        await client.append('a', {})
        standin_log.silenced = standin_log.transports
        standin_log.transports = type(standin_log.silenced)()
        with pytest.raises(LogUnavailable):
            await client.append('b', {})
        assert await client.append('c', {}) == 1

    async def test_read_from_a_slow_log_times_out(self, standin_log, client):
        set_log_faults(standin_log, slow_ms=60_000)
        with pytest.raises(LogUnavailable):
            await client.read(0)
        assert now() < 0.6

    async def test_append_above_the_rate_limit_is_throttled(
        self, standin_log, client
    ):
        standin_log.appends_per_second = 2
        await client.append('a', {})
        await client.append('b', {})
        with pytest.raises(LogThrottled):
            await client.append('c', {})
        await asyncio.sleep(1)
        assert await client.append('c', {}) == 2

    async def test_too_large_record_is_refused(self, standin_log, client):
        with pytest.raises(LogRefused):
            await client.append('a', {'x': 'y' * 2_000_000})

    @pytest.mark.parametrize(
        'body', [b'[' * 100_000 + b']' * 100_000, b'9' * 10_000]
    )
    async def test_hostile_record_does_not_stop_the_reader(
        self, standin_log, client, body
    ):
        # Guards against one record that no reader can decode.
        stream = standin_log.streams
        standin_log.append('contracts', {'n': 0})
        standin_log.append('contracts', {})
        standin_log.append('contracts', {'n': 2})
        records = stream['contracts'].records
        records[1] = (0, body)
        bodies = []
        async for page in client.pages(0):
            bodies.extend(record.body for record in page.records)
        assert bodies == [{'n': 0}, None, {'n': 2}]

    @pytest.mark.parametrize(
        'answer',
        [
            '{}',
            '[]',
            '{"records": 7, "next": 1, "first": 0}',
            '{"records": [7], "next": 1, "first": 0}',
            '{"records": [{"offset": 0}], "next": 1, "first": 0}',
            '{"records": [], "next": 1e999, "first": 0}',
            '{"records": [{"offset": 1e999, "body": 1}], "next":1, "first":0}',
            '{"records": [], "next": NaN, "first": 0}',
            '{"records": [], "next": -1, "first": 0}',
        ],
    )
    async def test_malformed_page_is_an_unavailable_log(self, answer):
        # Guards against an answer that ends the reader, and with it the entry.
        async def serve(_request):
            return web.Response(text=answer)

        app = web.Application()
        app.router.add_route('*', '/{path:.*}', serve)
        async with (
            run_http_server(app, '127.0.0.1:7401', 0),
            LogClient('http://127.0.0.1:7401', 'contracts', 500) as client,
        ):
            with pytest.raises(LogUnavailable):
                await client.read(0)
