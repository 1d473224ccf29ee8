"""Stand-in for the users' store, per its protocol page.

It keeps the records of each topic by offset and serves long-polling reads. Its
faults refuse calls, delay answers, leave calls unanswered or lose the answers
to writes. `compact` expires all records but the newest of each key.
"""

import asyncio
import base64
from collections import defaultdict
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

import orjson
from aiohttp import web


@dataclass(slots=True)
class StoreFaults:
    """Faults that can be switched on and off while the store runs.

    Parameters
    ----------
    status : int
        Status of all answers if not 0; calls then have no effect.
    silent : bool
        Calls get no answer and have no effect.
    delay_s : float
        Delay of each answer, in seconds.
    loses_answers : bool
        Writes take effect but get no answer.
    """

    status: int = 0
    silent: bool = False
    delay_s: float = 0
    loses_answers: bool = False


@dataclass(slots=True)
class StandinStore:
    """One store; records are pairs of key and value.

    Topics without keys are not served, because the system uses none.
    """

    faults: StoreFaults = field(default_factory=StoreFaults)
    topics: dict[str, list[tuple[str, bytes]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    first: dict[str, int] = field(default_factory=dict)
    appended: asyncio.Event = field(default_factory=asyncio.Event)
    calls: int = 0

    def app(self) -> web.Application:
        """Return the application that serves the store's calls."""
        app = web.Application()
        app.router.add_post('/api/log-append', self._serve(self._append))
        app.router.add_get('/api/log-read', self._serve(self._read))
        app.router.add_get('/api/log-newest', self._serve(self._newest))
        return app

    def put(self, topic: str, key: str, value: Any) -> None:
        """Append a record with a JSON value, as the operator does."""
        self.topics[topic].append((key, orjson.dumps(value)))
        self.appended.set()

    def compact(self, topic: str) -> None:
        """Expire all records; the newest of each key can still be read."""
        self.first[topic] = len(self.topics[topic])

    def _serve(self, handler: Any) -> Any:
        async def serve(request: web.Request) -> web.Response:
            self.calls += 1
            if self.faults.silent:
                await asyncio.sleep(3600)
            if self.faults.status:
                return web.Response(status=self.faults.status)
            await asyncio.sleep(self.faults.delay_s)
            return await handler(request)

        return serve

    async def _append(self, request: web.Request) -> web.Response:
        topic = request.query['topic']
        body = await request.read()
        offset = len(self.topics[topic])
        while body:
            size = int.from_bytes(body[:4], 'big')
            content, body = body[4 : 4 + size], body[4 + size :]
            begin = 1 + content[0]
            record = content[1:begin].decode(), content[begin:]
            self.topics[topic].append(record)
        self.appended.set()
        if self.faults.loses_answers:
            await asyncio.sleep(3600)
        return web.json_response(
            {'offset': offset, 'end': len(self.topics[topic])}
        )

    async def _read(self, request: web.Request) -> web.Response:
        topic = request.query['topic']
        start = int(request.query['from'])
        first = self.first.get(topic, 0)
        if start < first:
            return web.json_response({'first': first}, status=410)
        await self._wait(topic, start, int(request.query.get('waitMs', 0)))
        records = self.topics[topic]
        header = len(records).to_bytes(8, 'big') + first.to_bytes(8, 'big')
        return web.Response(
            body=header + b''.join(map(_frame, records[start:]))
        )

    async def _wait(self, topic: str, start: int, wait_ms: int) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000):
                while len(self.topics[topic]) <= start:
                    self.appended.clear()
                    await self.appended.wait()

    async def _newest(self, request: web.Request) -> web.Response:
        records = self.topics[request.query['topic']]
        newest = {key: (offset, v) for offset, (key, v) in enumerate(records)}
        items = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for key, (offset, value) in newest.items()
            if value
        ]
        return web.json_response(
            {'items': items, 'hasMore': False, 'end': len(records)}
        )


def _frame(record: tuple[str, bytes]) -> bytes:
    key, value = record
    content = bytes((len(key),)) + key.encode() + value
    return len(content).to_bytes(4, 'big') + content
