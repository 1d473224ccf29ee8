"""Stand-in for the platform's append-only log, over HTTP."""

import asyncio
import json
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import asdict, dataclass, field, fields, replace
from typing import Any
from weakref import WeakSet

from aiohttp import web

from limpetlanding.lifecycle.loop import run_process
from limpetlanding.telemetry.logs import start_logs

DEFAULT_APPENDS_PER_SECOND = 300
DEFAULT_RETENTION_S = 604_800.0
MAX_BODY_BYTES = 1024 * 1024
MAX_PAGE_RECORDS = 1000
MAX_WAIT_MS = 60_000


@dataclass(frozen=True, slots=True)
class LogFaults:
    """Faults of the log; all are off at the start.

    Parameters
    ----------
    outage : bool
        Every append and read is answered with 503.
    slow_ms : float
        Delay of every append and read, in milliseconds.
    lose_answers : bool
        Appends take effect, but their connection is closed without an answer.
    silent : bool
        Connections that have carried an append or read before this is set get
        no answer to further ones; new connections work. Every later POST to
        /faults sets the silenced connections anew: while this stays on, those
        that have carried an append or read by then; once it is off, none, so
        that later requests are answered again.
    """

    outage: bool = False
    slow_ms: float = 0
    lose_answers: bool = False
    silent: bool = False


@dataclass(slots=True)
class Stream:
    """Records of one stream, each with the time at which it was appended."""

    first: int = 0
    records: deque[tuple[float, bytes]] = field(default_factory=deque)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def next(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)


class StandinLog:
    """State and HTTP application of the stand-in.

    Parameters
    ----------
    retention_s : float
        Age at which records are removed, in seconds.
    appends_per_second : int
        Limit over all streams; further appends are answered with 429.
    clock : callable, optional
        Returns monotonic time in seconds; the event loop's clock by default.
    """

    def __init__(
        self,
        retention_s: float = DEFAULT_RETENTION_S,
        appends_per_second: int = DEFAULT_APPENDS_PER_SECOND,
        clock: Callable[[], float] | None = None,
    ) -> None:
        self.retention_s = retention_s
        self.appends_per_second = appends_per_second
        self.clock = clock or _loop_time
        self.faults = LogFaults()
        self.streams: dict[str, Stream] = {}
        self.append_times: deque[float] = deque()
        self.transports: WeakSet[asyncio.BaseTransport] = WeakSet()
        self.silenced: WeakSet[asyncio.BaseTransport] = WeakSet()

    def app(self) -> web.Application:
        """Return the application that serves this log."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        records = '/v1/streams/{stream}/records'
        app.add_routes(
            [
                web.post(records, self.handle_append),
                web.get(records, self.handle_read),
                web.get('/faults', self.handle_faults),
                web.post('/faults', self.handle_faults),
                web.get('/healthz', _healthy),
            ]
        )
        return app

    def append(self, stream: str, body: Any) -> int:
        """Append a record and return its offset."""
        state = self.streams.setdefault(stream, Stream())
        self._expire(state)
        text = json.dumps(body).encode()
        state.records.append((self.clock(), text))
        state.changed.set()
        state.changed = asyncio.Event()
        return state.next - 1

    async def handle_append(self, request: web.Request) -> web.StreamResponse:
        """Handle POST of a record."""
        data = await _read_json_object(request)
        if 'body' not in data or not isinstance(data.get('id'), str):
            return web.json_response({'error': 'needs id, body'}, status=400)
        await self._apply_delay_faults(request)
        if self.faults.outage:
            return _outage()
        if not self._admit_append():
            return web.json_response(
                {'error': 'too many appends'},
                status=429,
                headers={'Retry-After': '1'},
            )
        offset = self.append(request.match_info['stream'], data['body'])
        if self.faults.lose_answers and request.transport is not None:
            request.transport.close()
        return web.json_response({'offset': offset})

    async def handle_read(self, request: web.Request) -> web.StreamResponse:
        """Handle GET of a page of records."""
        try:
            start, limit, wait_ms = _page_query(request)
        except ValueError as error:
            return web.json_response({'error': str(error)}, status=400)
        await self._apply_delay_faults(request)
        stream = self.streams.setdefault(request.match_info['stream'], Stream())
        if not self.faults.outage and start >= stream.next:
            await _wait_for_change(stream.changed, wait_ms)
        if self.faults.outage:
            return _outage()
        self._expire(stream)
        if start < stream.first:
            return web.json_response({'first': stream.first}, status=410)
        return _page_response(stream, start, limit)

    async def handle_faults(self, request: web.Request) -> web.Response:
        """Handle GET and POST of the fault switches."""
        if request.method == 'POST':
            data = await _read_json_object(request)
            unknown = set(data) - {item.name for item in fields(LogFaults)}
            if unknown:
                error = f'unknown: {", ".join(sorted(unknown))}'
                return web.json_response({'error': error}, status=400)
            self.faults = replace(self.faults, **data)
            self.silenced = WeakSet(
                self.transports if self.faults.silent else ()
            )
        return web.json_response(asdict(self.faults))

    async def _apply_delay_faults(self, request: web.Request) -> None:
        if request.transport in self.silenced:
            await asyncio.Event().wait()
        self.transports.add(request.transport)
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / 1000)

    def _admit_append(self) -> bool:
        now = self.clock()
        while self.append_times and self.append_times[0] <= now - 1:
            self.append_times.popleft()
        if len(self.append_times) >= self.appends_per_second:
            return False
        self.append_times.append(now)
        return True

    def _expire(self, stream: Stream) -> None:
        oldest = self.clock() - self.retention_s
        while stream.records and stream.records[0][0] < oldest:
            stream.records.popleft()
            stream.first += 1


async def serve_log(log: StandinLog, host: str, port: int) -> None:
    """Serve `log` until cancelled."""
    runner = web.AppRunner(log.app(), access_log=None)
    await runner.setup()
    try:
        await web.TCPSite(runner, host, port).start()
        await asyncio.Event().wait()
    finally:
        await runner.cleanup()


def run_standin_log(
    port: int,
    host: str = '127.0.0.1',
    retention_s: float = DEFAULT_RETENTION_S,
    appends_per_second: int = DEFAULT_APPENDS_PER_SECOND,
) -> None:
    """Run a stand-in log until interrupted.

    Parameters
    ----------
    port : int
        Port to listen at.
    host : str
        Address to listen at.
    retention_s : float
        Age at which records are removed, in seconds.
    appends_per_second : int
        Limit over all streams; further appends are answered with 429.
    """
    start_logs('INFO', 'log', f'{host}:{port}')
    log = StandinLog(float(retention_s), appends_per_second)
    run_process(serve_log(log, host, port))


def _loop_time() -> float:
    return asyncio.get_running_loop().time()


async def _healthy(_: web.Request) -> web.Response:
    return web.json_response({'status': 'ok'})


async def _read_json_object(request: web.Request) -> dict[str, Any]:
    try:
        data = json.loads(await request.read())
    except (ValueError, RecursionError):
        data = None
    if not isinstance(data, dict):
        raise web.HTTPBadRequest(text='not a JSON object')
    return data


def _outage() -> web.Response:
    return web.json_response({'error': 'outage'}, status=503)


def _page_query(request: web.Request) -> tuple[int, int, int]:
    start = int(request.query.get('from', 0))
    limit = int(request.query.get('limit', MAX_PAGE_RECORDS))
    wait_ms = int(request.query.get('wait_ms', 0))
    if start < 0 or limit < 1 or not 0 <= wait_ms <= MAX_WAIT_MS:
        raise ValueError('from, limit or wait_ms is out of range')
    return start, min(limit, MAX_PAGE_RECORDS), wait_ms


async def _wait_for_change(changed: asyncio.Event, wait_ms: int) -> None:
    with suppress(TimeoutError):
        async with asyncio.timeout(wait_ms / 1000):
            await changed.wait()


def _page_response(stream: Stream, start: int, limit: int) -> web.Response:
    skipped = start - stream.first
    chosen = [
        text
        for index, (_, text) in enumerate(stream.records)
        if skipped <= index < skipped + limit
    ]
    records = b','.join(
        b'{"offset":%d,"body":%b}' % (start + index, text)
        for index, text in enumerate(chosen)
    )
    end = start + len(chosen)
    return web.Response(
        body=b'{"records":[%b],"next":%d,"first":%d}'
        % (records, end, stream.first),
        content_type='application/json',
    )
