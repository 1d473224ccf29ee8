"""Records of another writer in the store."""

import asyncio
import base64
from contextlib import suppress

import orjson
import pytest
from aiohttp import web
from hypothesis import given, settings
from hypothesis import strategies as st

from limpetlanding.platform.decode import Malformed
from limpetlanding.platform.records import (
    decode_page,
    decode_records,
    worker_record,
)
from limpetlanding.platform.store import WORKERS_TOPIC, LogStore
from limpetlanding.platform.tests.odd_entries import (
    ADDRESSES,
    NUMBERS,
    OTHER_TYPES,
    UNREADABLE,
    with_field,
)
from limpetlanding.platform.tests.rig import (
    LINK_PORT,
    STORE_PORT,
    System,
    serve,
    store_client,
)
from limpetlanding.runs.model import Resources
from limpetlanding.runs.ports import StoreUnavailable, WorkerRecord
from limpetlanding.standin.platform_store import StandinStore

JOB = '5c0e7a21d94b36f8'
RECORD = orjson.dumps(
    {
        'address': '10.0.0.1:7100',
        'capacity': {'cpu': 4000, 'memory_mb': 64, 'gpu': 0},
        'failure_domain': 'z1',
    }
)
ODD_RECORDS = (
    *UNREADABLE,
    b'{}',
    *(with_field(RECORD, 'address', orjson.dumps(x)) for x in ADDRESSES),
    *(
        with_field(RECORD, name, value)
        for name in ('address', 'failure_domain')
        for value in (*NUMBERS, *OTHER_TYPES)
        if value != b'"7"'
    ),
    *(
        with_field(RECORD, 'capacity', value)
        for value in (*NUMBERS, *OTHER_TYPES)
        if value != b'{}'
    ),
    *(
        with_field(RECORD, 'capacity', b'{"cpu":%s}' % value)
        for value in (*NUMBERS, *OTHER_TYPES)
    ),
)
ITEM = {'key': 'w', 'value': base64.b64encode(RECORD).decode(), 'offset': 0}


def page(**changes):
    """Return the body of a page with one readable record."""
    fields = {'items': [ITEM], 'hasMore': False, 'end': 1} | changes
    return orjson.dumps(fields)


def framed(*contents):
    """Return the body of a read whose end is 100."""
    records = [len(x).to_bytes(4, 'big') + x for x in contents]
    return (100).to_bytes(8, 'big') + bytes(8) + b''.join(records)


class TestWorkerRecords:
    """Guards against fronts that stop following the list of workers."""

    def test_readable_record_is_decoded(self):
        assert worker_record('w', RECORD) == WorkerRecord(
            'w', '10.0.0.1:7100', Resources(4000, 64), 'z1'
        )

    @pytest.mark.parametrize('value', ODD_RECORDS)
    def test_odd_record_names_no_worker(self, value):
        assert worker_record('w', value) is None

    async def test_odd_records_hide_no_other_worker(self):
        store = StandinStore()
        for number, value in enumerate(ODD_RECORDS):
            store.topics[WORKERS_TOPIC] += [(f'odd{number}', value)]
        store.topics[WORKERS_TOPIC].append(('good', RECORD))
        async with store_client(store) as client:
            async with asyncio.timeout(60):
                stream = client.workers()
                first = await anext(stream)
                for number, value in enumerate(ODD_RECORDS):
                    store.topics[WORKERS_TOPIC] += [(f'odd{number}', value)]
                store.put(WORKERS_TOPIC, 'later', orjson.loads(RECORD))
                second = await anext(stream)
        assert [x.name for x in first] == ['good']
        assert [x.name for x in second] == ['later']

    async def test_worker_replaces_its_odd_record_and_serves(self):
        async with System(worker_count=1).run() as system:
            name = system.workers[0].node.hello.node
            for value in ODD_RECORDS[:: len(ODD_RECORDS) // 9]:
                system.store.topics[WORKERS_TOPIC].append((name, value))
                await system.kill('w0')
                await system.start_worker(0, incarnation=value)
                await system.settle()
                newest = dict(system.store.topics[WORKERS_TOPIC])[name]
                assert orjson.loads(newest)['capacity']['cpu'] == 32_000
            assert (await system.submit(JOB))[0] == 200

    async def test_odd_records_end_no_job_and_later_workers_are_used(self):
        async with System(worker_count=1).run() as system:
            for number, value in enumerate(ODD_RECORDS):
                record = (f'odd{number}', value)
                system.store.topics[WORKERS_TOPIC].append(record)
            system.store.put(WORKERS_TOPIC, 'late', {'address': '127.0.0.1:9'})
            await system.settle()
            known = system.fronts[0].subset.candidates
            assert set(known) == {f'127.0.0.1:{LINK_PORT}', '127.0.0.1:9'}
            assert (await system.submit(JOB))[0] == 200

    @given(at=st.integers(0, len(RECORD) - 1), content=st.binary(max_size=8))
    @settings(max_examples=300, deadline=None)
    def test_changed_record_is_read_or_left_out(self, at, content):
        worker_record('w', RECORD[:at] + content + RECORD[at + 1 :])


class TestPages:
    """Guards against one odd item that makes a whole page unreadable."""

    @pytest.mark.parametrize(
        'item',
        [
            *(orjson.loads(x) for x in (*UNREADABLE[3:7], b'true', b'{}')),
            {'key': 'k'},
            {'key': 7, 'value': ''},
            {'key': ['k'], 'value': 'Nw=='},
            {'key': {}, 'value': 'Nw=='},
            {'key': 'k', 'value': 7},
            {'key': 'k', 'value': 'N'},
            {'key': 'k', 'value': '\u0667'},
        ],
    )
    def test_odd_item_is_left_out(self, item):
        content = page(items=[item, ITEM, item], hasMore=True)
        assert decode_page(content) == ([('w', RECORD)], 1, 'w')

    def test_key_with_a_lone_surrogate_is_left_out(self):
        content = page(items=[ITEM, ITEM | {'key': 'ODD'}], hasMore=True)
        content = content.replace(b'ODD', b'\\udcff')
        assert decode_page(content) == ([('w', RECORD)], 1, 'w')

    @pytest.mark.parametrize(
        'content',
        [
            *UNREADABLE,
            page(items={}),
            page(items='text'),
            *(with_field(page(), 'items', x) for x in NUMBERS),
            *(with_field(page(), 'end', x) for x in NUMBERS + OTHER_TYPES),
        ],
    )
    async def test_unreadable_page_is_reported_as_such(self, content):
        async def answer(_request):
            return web.Response(body=content)

        app = web.Application()
        app.router.add_get('/api/log-newest', answer)
        async with serve(app, STORE_PORT):
            client = LogStore(f'127.0.0.1:{STORE_PORT}')
            with pytest.raises(StoreUnavailable, match='log-newest'):
                await anext(client.workers())
            await client.close()

    @pytest.mark.parametrize('items', [[], [7], [ITEM]])
    async def test_pages_that_lead_nowhere_end(self, items):
        # Guards against reading the same page without end.
        async def answer(_request):
            return web.Response(body=page(items=items, hasMore=True))

        app = web.Application()
        app.router.add_get('/api/log-newest', answer)
        async with serve(app, STORE_PORT):
            client = LogStore(f'127.0.0.1:{STORE_PORT}')
            async with asyncio.timeout(5):
                records = await anext(client.workers())
            await client.close()
        assert {x.name for x in records} <= {'w'}


class TestChanges:
    """Guards against records that are lost or read without end."""

    def test_odd_records_are_passed_over(self):
        odd = (b'', b'\x00', b'\xff', b'\x05ab', b'\x01\xff7', b'\x00value')
        content = framed(*odd, b'\x01wvalue')
        changes, end = decode_records(content, 7)
        assert changes[-1] == ('w', b'value')
        assert end == 7 + len(odd) + 1

    def test_truncated_record_is_read_again(self):
        # Guards against a record that is lost because its end was missing.
        content = framed(b'\x01wvalue', b'\x01xvalue')
        for cut in range(1, 11):
            assert decode_records(content[:-cut], 7) == ([('w', b'value')], 8)

    @pytest.mark.parametrize(
        'content',
        [
            b'',
            b'{}',
            bytes(15),
            framed(b'\x01wvalue')[:-1],
            bytes(16) + b'\xff\xff\xff\xff',
            # The store has less records than were read.
            (6).to_bytes(8, 'big') + bytes(8),
        ],
    )
    async def test_unreadable_answer_is_reported_as_such(self, content):
        # Guards against calls without a pause, and a wait at a wrong offset.
        async def answer(_request):
            return web.Response(body=content)

        async def newest(_request):
            return web.Response(body=page(end=7))

        app = web.Application()
        app.router.add_get('/api/log-read', answer)
        app.router.add_get('/api/log-newest', newest)
        async with serve(app, STORE_PORT):
            client = LogStore(f'127.0.0.1:{STORE_PORT}')
            stream = client.workers()
            await anext(stream)
            with pytest.raises(StoreUnavailable, match='log-read'):
                await anext(stream)
            await client.close()

    @given(content=st.binary(max_size=200))
    @settings(max_examples=200, deadline=None)
    def test_any_bytes_are_read_or_refused(self, content):
        with suppress(Malformed):
            decode_records(bytes(16) + content, 0)
