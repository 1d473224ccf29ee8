"""Client of the platform's store, a log whose records have topics and keys."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager
from dataclasses import asdict

import aiohttp
import orjson
from loguru import logger

from limpetlanding.platform.decode import Malformed, decode_catalog
from limpetlanding.platform.records import (
    Record,
    decode_page,
    decode_records,
    encode_record,
    worker_record,
)
from limpetlanding.runs.model import Catalog
from limpetlanding.runs.ports import StoreUnavailable, WorkerRecord

CONFIG_TOPIC = 'keyed.op'
CONFIG_KEY = 'config'
WORKERS_TOPIC = 'keyed.workers'

CONFIG_WAIT_MS = 700
CONFIG_TIMEOUT_S = 1.3
"""Limits a waiting read whose connection no longer answers: a change must take
effect within 2 s even then."""

WORKERS_WAIT_MS = 3000
WORKERS_TIMEOUT_S = 4
"""Longer than for configurations, because workers also dial the fronts."""

CALL_TIMEOUT_S = 1
"""The store answers in 4 ms, or in 240 ms while it is slow."""

_OK = 200
_GONE = 410


class LogStore:
    """HTTP client of the store.

    Parameters
    ----------
    address : str
        ``host:port`` of the store.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=None)
        )

    async def catalogs(self) -> AsyncIterator[Catalog]:
        """Yield configurations as they are published; see `StorePort`."""
        async for changes in self._changes(
            CONFIG_TOPIC, CONFIG_WAIT_MS, CONFIG_TIMEOUT_S
        ):
            for key, value in changes:
                catalog = _catalog(value) if key == CONFIG_KEY else None
                if catalog is not None:
                    yield catalog

    async def register_worker(self, record: WorkerRecord) -> None:
        """Replace the record of a worker; see `StorePort`."""
        value = orjson.dumps(
            {
                'address': record.address,
                'capacity': record.capacity and asdict(record.capacity),
                'failure_domain': record.failure_domain,
                'executor': record.executor,
                'draining': record.draining,
            }
        )
        await self._call(
            'POST',
            'log-append',
            {'topic': WORKERS_TOPIC, 'part': '0'},
            CALL_TIMEOUT_S,
            encode_record(record.name.encode(), value),
        )

    async def worker(self, name: str) -> WorkerRecord | None:
        """Return the record of a worker; see `StorePort`."""
        newest, _ = await self._read_newest(WORKERS_TOPIC)
        value = dict(newest).get(name)
        return None if value is None else worker_record(name, value)

    async def workers(self) -> AsyncIterator[list[WorkerRecord]]:
        """Yield the records of workers that register; see `StorePort`."""
        async for changes in self._changes(
            WORKERS_TOPIC, WORKERS_WAIT_MS, WORKERS_TIMEOUT_S
        ):
            records = [worker_record(*change) for change in changes]
            yield [record for record in records if record is not None]

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def _changes(
        self, topic: str, wait_ms: int, timeout_s: float
    ) -> AsyncIterator[list[Record]]:
        end: int | None = None
        while True:
            if end is None:
                changes, end = await self._read_newest(topic)
            else:
                changes, end = await self._read_changes(
                    topic, end, wait_ms, timeout_s
                )
            yield changes

    async def _read_changes(
        self, topic: str, start: int, wait_ms: int, timeout_s: float
    ) -> tuple[list[Record], int | None]:
        query = {
            'topic': topic,
            'part': '0',
            'from': str(start),
            'waitMs': str(wait_ms),
        }
        status, content = await self._call('GET', 'log-read', query, timeout_s)
        if status == _GONE:
            # The records have expired; only the newest of each key are kept.
            return [], None
        with self._answers_checked():
            return decode_records(content, start)

    async def _read_newest(self, topic: str) -> tuple[list[Record], int]:
        newest, end, next_key = await self._read_page(topic, '')
        last_key = ''
        # A page that names the same key again would be read without end.
        while next_key not in {'', last_key}:
            last_key = next_key
            # Records may be appended between the pages. Those are read later,
            # from the end that the first page gave.
            page, _, next_key = await self._read_page(topic, last_key)
            newest += page
        return newest, end

    async def _read_page(
        self, topic: str, after_key: str
    ) -> tuple[list[Record], int, str]:
        query = {'topic': topic, 'part': '0'}
        if after_key:
            query['dependsOn'] = after_key
        _, content = await self._call(
            'GET', 'log-newest', query, CALL_TIMEOUT_S
        )
        with self._answers_checked():
            return decode_page(content)

    @contextmanager
    def _answers_checked(self) -> Iterator[None]:
        try:
            yield
        except Malformed as error:
            raise StoreUnavailable(
                f'unreadable answer: {error.detail}',
                step=error.step,
                peer=self.address,
            ) from error

    async def _call(
        self,
        method: str,
        name: str,
        query: dict[str, str],
        timeout_s: float,
        body: bytes | None = None,
    ) -> tuple[int, bytes]:
        try:
            async with (
                asyncio.timeout(timeout_s),
                self.session.request(
                    method,
                    f'http://{self.address}/api/{name}',
                    params=query,
                    data=body,
                ) as response,
            ):
                content = await response.read()
        except (aiohttp.ClientError, OSError) as error:
            raise StoreUnavailable(
                repr(error), step=name, peer=self.address
            ) from error
        if response.status not in {_OK, _GONE}:
            raise StoreUnavailable(
                f'status {response.status}', step=name, peer=self.address
            )
        return response.status, content


def _catalog(value: bytes | None) -> Catalog | None:
    if value is None:
        return None
    try:
        return decode_catalog(value)
    except Malformed as error:
        logger.bind(step='configure').error(
            'configuration ignored: {}', error.detail
        )
        return None
