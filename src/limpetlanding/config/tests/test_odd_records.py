"""Records of another writer in the configuration stream."""

import asyncio
import json
from contextlib import suppress
from random import Random

import pytest
from aiohttp import web

from limpetlanding.config.reader import ConfigReader
from limpetlanding.config.store import ConfigStore, UnacceptableRecord
from limpetlanding.config.tests.samples import record
from limpetlanding.lifecycle.serving import run_http_server
from limpetlanding.logservice import LogClient, LogUnavailable
from limpetlanding.logservice.client import PageUnreadable

URL = 'http://127.0.0.1:7400'
NUMBERS = (
    '1' + '0' * 400,
    '9' * 5000,
    '1e400',
    '18446744073709551616',
    '9223372036854775808',
    '-1',
    'NaN',
    'Infinity',
    'true',
    'null',
)
TEXTS = (
    '"\\ud800"',
    '""',
    '"' + '\U0001f600' * 70 + '"',
    '[' * 900 + ']' * 900,
    '[' * 100_000 + ']' * 100_000,
    '{}',
)
FIELDS = (
    'record_id',
    'customer',
    'base_version',
    'version',
    'rules',
    'contract',
    'author',
    'kind',
    'as_of',
    'origin',
    'written_s',
)
ODD_RECORDS = (
    '7',
    'null',
    '[]',
    '{}',
    *(
        json.dumps(record('pears', 1).body())[:-1] + f',"{name}":{value}}}'
        for name in FIELDS
        for value in (*NUMBERS, *TEXTS)
    ),
    *(
        json.dumps(record('pears', 1).body())[:-1]
        + f',"contract":{{"limits":{value},"customer":"pears"}}}}'
        for value in (*NUMBERS, *TEXTS)
    ),
)


class TestReader:
    """Guards against readers of the log that end at a record."""

    async def test_odd_records_hide_no_other(self, standin_log):
        store = ConfigStore()
        log = LogClient(URL, 'contracts', 500, Random(1))
        reader = ConfigReader(
            store, log, 'e1', 1000, lambda: 1e9, rng=Random(1)
        )
        standin_log.append('contracts', record('apples', 1).body())
        stream = standin_log.streams['contracts']
        for text in ODD_RECORDS:
            stream.records.append((0, text.encode()))
        standin_log.append('contracts', record('apples', 2).body())
        reading = asyncio.create_task(reader.read())
        await asyncio.sleep(30)
        assert store.stored['apples'].version == 2
        for text in ODD_RECORDS:
            stream.records.append((0, text.encode()))
        standin_log.append('contracts', record('apples', 3).body())
        await asyncio.sleep(30)
        assert store.stored['apples'].version == 3
        assert not reading.done()
        await reader.restate_due()
        reading.cancel()
        await log.close()
        # What was stored reaches the replicas.
        replica = ConfigStore()
        for encoded in store.missing_records({}):
            replica.adopt(encoded)
        assert replica.vector() == store.vector()

    @pytest.mark.parametrize('value', [*NUMBERS, *TEXTS, '"0"'])
    @pytest.mark.parametrize('name', ['next', 'first', 'offset'])
    async def test_odd_numbers_of_a_page(self, name, value):
        records = '[]'
        if name == 'offset':
            records = f'[{{"offset":{value},"body":{{}}}}]'
        text = f'{{"records":{records},"next":1,"first":0,"{name}":{value}}}'

        async def answer(_request):
            return web.Response(body=text.encode())

        app = web.Application()
        app.router.add_route('*', '/{path:.*}', answer)
        async with (
            run_http_server(app, '127.0.0.1:7400', 0),
            LogClient(URL, 'contracts', 500, Random(1)) as log,
        ):
            # Both are followed by another attempt.
            with suppress(LogUnavailable, PageUnreadable):
                await log.read(0)


class TestReplica:
    """Guards against replicas that fail at the record of a peer."""

    @pytest.mark.parametrize('value', [*NUMBERS, *TEXTS])
    def test_odd_record_of_a_peer_is_refused(self, value):
        store = ConfigStore()
        with pytest.raises(UnacceptableRecord):
            store.adopt(f'{{"offset":0,"record":{value}}}'.encode())
        for text in ODD_RECORDS:
            with suppress(UnacceptableRecord):
                store.adopt(f'{{"offset":{value},"record":{text}}}'.encode())
        assert store.put(1, record('apples', 1))
