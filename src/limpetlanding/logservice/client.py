"""Client of the platform's append-only log."""

import asyncio
import json
from collections.abc import AsyncIterator
from dataclasses import dataclass
from itertools import pairwise
from random import Random
from typing import Any

import aiohttp
from yarl import URL

from limpetlanding.errors import LimpetlandingError
from limpetlanding.logservice.backoff import backoff_s

MAX_PAGE_RECORDS = 500
# A full page of records of the ordinary size of 1 kB is far smaller. A larger
# answer is not read into memory, of which a node has 256 MB.
MAX_PAGE_BYTES = 8 * 1024 * 1024
DEFAULT_TIMEOUT_MS = 2_000

# A number beyond the range of a float raises the last one.
_MALFORMED_PAGE_ERRORS = (KeyError, TypeError, ValueError, OverflowError)

_OK = 200
_GONE = 410
_TOO_MANY_REQUESTS = 429


class LogUnavailable(LimpetlandingError):
    """The log did not answer; an append may have taken effect."""


class LogThrottled(LogUnavailable):
    """The log accepts no more appends for now; nothing was written."""


class LogRefused(LimpetlandingError):
    """The log refuses the request; a repetition would be refused as well."""


class LogTruncated(LimpetlandingError):
    """Retention has removed the requested offset.

    Parameters
    ----------
    first : int
        Offset of the oldest record that the log still has.
    peer : str
        URL of the log.
    """

    def __init__(self, first: int, *, peer: str) -> None:
        super().__init__(
            f'the log starts at offset {first}', step='read log', peer=peer
        )
        self.first = first


class PageUnreadable(LimpetlandingError):
    """The page is too large or nested too deep; a record in it is invalid."""


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One record; `body` is decoded JSON, or None if it cannot be decoded."""

    offset: int
    body: Any


@dataclass(frozen=True, slots=True)
class Page:
    """Consecutive records of a stream.

    Parameters
    ----------
    records : tuple of LogRecord
        In offset order.
    next : int
        Offset at which the next page starts.
    first : int
        Offset of the oldest record that the log still has.
    at_end : bool
        Whether the log had no further record at the time; false if the page
        is full.
    """

    records: tuple[LogRecord, ...]
    next: int
    first: int
    at_end: bool = False


class LogClient:
    """Client of one stream of the log.

    Parameters
    ----------
    url : str
        Base URL of the log service.
    stream : str
        Name of the stream.
    timeout_ms : float
        Time limit for an answer, in milliseconds; the ``wait_ms`` of a read
        is added to it. After it, all connections are replaced, because one
        that does not answer does not recover.
    rng : Random, optional
        Source of the jitter between attempts.
    """

    def __init__(
        self,
        url: str,
        stream: str,
        timeout_ms: float = DEFAULT_TIMEOUT_MS,
        rng: Random | None = None,
    ) -> None:
        self.url = URL(url) / 'v1' / 'streams' / stream / 'records'
        self.timeout_ms = timeout_ms
        self.rng = rng or Random()
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> 'LogClient':
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Close all connections."""
        session = self.session
        self.session = None
        if session is not None:
            await session.close()

    async def append(self, record_id: str, body: Any) -> int:
        """Append a record, in a single attempt, and return its offset.

        Raises
        ------
        LogThrottled
            If the log accepts no more appends now; nothing was written.
        LogUnavailable
            If the log gave no valid answer; the record may have been
            written.
        LogRefused
            If the log refuses the record.
        """
        data = await self._call(
            'POST',
            self.url,
            step='append',
            wait_ms=0,
            json={'id': record_id, 'body': body},
        )
        offset = data.get('offset')
        if not isinstance(offset, int):
            raise self._unavailable('append', 'answer without an offset')
        return offset

    async def read(
        self, start: int, limit: int = MAX_PAGE_RECORDS, wait_ms: int = 0
    ) -> Page:
        """Return the page at `start`, in a single attempt.

        Parameters
        ----------
        start : int
            Offset of the first record.
        limit : int
            Largest number of records.
        wait_ms : int
            How long the log may wait for a record, in milliseconds.

        Raises
        ------
        LogTruncated
            If retention has removed the record at `start`.
        LogUnavailable
            If the log gives no valid answer.
        LogRefused
            If the log refuses the request.
        PageUnreadable
            If the page is too large or nested too deep.
        """
        url = self.url % {'from': start, 'limit': limit, 'wait_ms': wait_ms}
        data = await self._call('GET', url, step='read log', wait_ms=wait_ms)
        try:
            records = tuple(
                LogRecord(_offset(item['offset']), item['body'])
                for item in data['records']
            )
            page = Page(
                records,
                _offset(data['next']),
                _offset(data['first']),
                at_end=len(records) < limit,
            )
        except _MALFORMED_PAGE_ERRORS as error:
            raise self._unavailable('read log', 'malformed page') from error
        if not _is_ordered(page, start):
            raise self._unavailable('read log', 'offsets out of order')
        return page

    async def read_with_retries(self, start: int, wait_ms: int = 0) -> Page:
        """Return the page at `start`; retry until the log answers.

        A record that is far too large or nested far too deep is returned
        with the body None. An answer that is not JSON at all is not caused
        by a record, so it is requested again.

        Parameters
        ----------
        start : int
            Offset of the first record.
        wait_ms : int
            How long the log may wait for a record, in milliseconds.

        Raises
        ------
        LogTruncated
            If retention has removed the record at `start`.
        LogRefused
            If the log refuses the request.
        """
        attempt = 0
        limit = MAX_PAGE_RECORDS
        while True:
            try:
                return await self.read(start, limit, wait_ms)
            except PageUnreadable:
                # One hostile record must not stop the reader: smaller pages
                # isolate it, and it is then skipped.
                if limit == 1:
                    return Page((LogRecord(start, None),), start + 1, 0)
                limit = max(1, limit // 8)
            except LogUnavailable:
                attempt += 1
                await asyncio.sleep(backoff_s(attempt, self.rng))

    async def pages(self, start: int) -> AsyncIterator[Page]:
        """Yield all pages from `start` to the present end of the stream.

        Raises
        ------
        LogTruncated
            If retention removes records faster than they are read.
        """
        while True:
            page = await self.read_with_retries(start)
            yield page
            if not page.records:
                return
            start = page.next

    async def _call(
        self, method: str, url: URL, step: str, wait_ms: int, **options: Any
    ) -> Any:
        timeout = aiohttp.ClientTimeout(
            total=(self.timeout_ms + wait_ms) / 1000
        )
        if self.session is None:
            self.session = aiohttp.ClientSession()
        try:
            async with self.session.request(
                method, url, timeout=timeout, **options
            ) as response:
                return await self._parse_response(response, step)
        except TimeoutError as error:
            # Idle connections to the same host may be broken as well.
            await self.close()
            raise self._unavailable(step, 'no answer in time') from error
        except aiohttp.ClientError as error:
            detail = str(error) or type(error).__name__
            raise self._unavailable(step, detail) from error

    async def _parse_response(
        self, response: aiohttp.ClientResponse, step: str
    ) -> Any:
        text = await _read_bounded(response)
        status = response.status
        peer = str(self.url)
        if status == _OK:
            return self._decode(text, step)
        if status == _GONE:
            first = self._decode(text, step).get('first')
            if not isinstance(first, int):
                raise self._unavailable(
                    step, 'status 410 without the first offset'
                )
            raise LogTruncated(first, peer=peer)
        if status == _TOO_MANY_REQUESTS:
            raise LogThrottled('too many appends', step=step, peer=peer)
        detail = f'status {status}: {text[:200].decode(errors="replace")}'
        if 400 <= status < 500:
            raise LogRefused(detail, step=step, peer=peer)
        raise self._unavailable(step, detail)

    def _decode(self, text: bytes, step: str) -> dict[str, Any]:
        try:
            data = json.loads(text)
        except (json.JSONDecodeError, UnicodeDecodeError) as error:
            raise self._unavailable(step, f'not JSON: {error}') from error
        except (RecursionError, ValueError) as error:
            # Nested too deep, or a number with thousands of digits.
            raise PageUnreadable(
                str(error), step=step, peer=str(self.url)
            ) from error
        if not isinstance(data, dict):
            raise self._unavailable(step, 'answer is not a JSON object')
        return data

    def _unavailable(self, step: str, detail: str) -> LogUnavailable:
        return LogUnavailable(detail, step=step, peer=str(self.url))


async def _read_bounded(response: aiohttp.ClientResponse) -> bytes:
    chunks = []
    size = 0
    async for chunk in response.content.iter_chunked(65_536):
        size += len(chunk)
        if size > MAX_PAGE_BYTES:
            response.close()
            raise PageUnreadable(
                f'answer is longer than {MAX_PAGE_BYTES} bytes',
                step='read log',
                peer=str(response.url.host),
            )
        chunks.append(chunk)
    return b''.join(chunks)


def _offset(value: Any) -> int:
    # `int` raises OverflowError for an infinite number, which JSON may hold.
    if value.__class__ is not int:
        raise TypeError(f'expected an offset, got {type(value).__name__}')
    return value


def _is_ordered(page: Page, start: int) -> bool:
    offsets = [start - 1, *(record.offset for record in page.records)]
    is_rising = all(before < after for before, after in pairwise(offsets))
    return is_rising and page.next > offsets[-1]
