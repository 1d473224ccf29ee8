"""Fake agents and contracts for the tests of the entry."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from limpetlanding.errors import PeerLost, RequestTimeout
from limpetlanding.jobs import payloads_digest
from limpetlanding.wire import Ack, Hello
from limpetlanding.wire.job_messages import (
    AllocateIds,
    CancelJob,
    IdBlock,
    JobAnswer,
    LocateCoordinator,
    Located,
    QueryJob,
    RefuseJob,
    SubmitJob,
    TaskResult,
)

KEY = 'stilt-meadow'
OTHER_KEY = 'harbour-gate'


def incarnation(number):
    return f'{number:016x}'


@dataclass
class FakeLimits:
    tasks_at_once: int = 100
    tasks_per_second: float = 10_000


@dataclass
class FakeContract:
    customer: str = 'offcut'
    keys: list = field(default_factory=list)
    limits: FakeLimits = field(default_factory=FakeLimits)
    answer_within_ms: float = 5000
    may_refuse: list = field(default_factory=lambda: ['overload', 'deadline'])
    kinds: list = field(default_factory=lambda: ['*'])
    peak_share: float = 1.0
    max_task_size: int | None = 10_000


class FakeContracts:
    def __init__(self, *contracts):
        self.by_customer = {x.customer: x for x in contracts}

    def contract(self, customer):
        return self.by_customer.get(customer)

    def digest(self):
        return 0

    def loaded(self):
        return bool(self.by_customer)

    def status(self):
        return {'config_age_s': 0}

    def heartbeat(self, channel, digest):
        return None

    async def handle(self, channel, message):
        return None

    async def run(self, reads_log):
        await asyncio.Event().wait()

    def customer_of_key(self, key_hash):
        for contract in self.by_customer.values():
            if key_hash in contract.keys:
                return contract.customer
        return None


class FakeAgent:
    """Coordinator behind a channel, with injectable faults."""

    def __init__(self, number=1, domain='sialkot', run_s=0.1):
        name = f'agent-{number}'
        self.peer = Hello(
            1, 'agent', name, incarnation(number), domain, f'{name}:1', ''
        )
        self.closed = asyncio.Event()
        self.suspect = False
        self.run_s = run_s
        self.secret = b'secret'
        self.next_sequence = 1
        self.jobs = {}
        self.refused = {}
        self.started = Counter()
        self.received = []
        self.notified = []
        self.coordinated_incarnations = {incarnation(number)}
        self.silent = False
        self.corruptions = []
        self.delay_s = 0.001

    async def request(self, message, timeout_s):
        if self.closed.is_set():
            raise PeerLost('gone', step='request', peer=self.peer.node)
        gone = asyncio.ensure_future(self.closed.wait())
        reply = asyncio.ensure_future(self._serve(message))
        try:
            done, _ = await asyncio.wait(
                (gone, reply),
                timeout=timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            gone.cancel()
        if reply in done:
            return reply.result()
        reply.cancel()
        kind = PeerLost if gone in done else RequestTimeout
        raise kind('no answer', step='request', peer=self.peer.node)

    def notify(self, message):
        self.notified.append(message)

    async def _serve(self, message):
        self.received.append(message)
        await asyncio.sleep(self.delay_s)
        if self.silent:
            await asyncio.Event().wait()
        reply = await self._reply(message)
        if self.corruptions and isinstance(reply, JobAnswer):
            return self.corruptions.pop(0)(reply)
        return reply

    async def _reply(self, message):
        if isinstance(message, AllocateIds):
            first = self.next_sequence
            self.next_sequence += message.count
            return IdBlock(
                self.peer.incarnation, first, message.count, self.secret
            )
        if isinstance(message, LocateCoordinator):
            known = message.incarnation in self.coordinated_incarnations
            return Located(message.incarnation, known)
        if isinstance(message, SubmitJob):
            return await self._submit(message)
        if isinstance(message, RefuseJob):
            if message.job_id not in self.jobs:
                self.refused.setdefault(
                    message.job_id,
                    JobAnswer(
                        message.job_id,
                        'not_run',
                        message.reason,
                        retry_after_ms=message.retry_after_ms,
                    ),
                )
            return await self._state(message.job_id, 0)
        if isinstance(message, QueryJob):
            return await self._state(message.job_id, message.wait_ms)
        if isinstance(message, CancelJob):
            return await self._state(message.job_id, 0)
        return Ack()

    async def _submit(self, message):
        if message.job_id not in self.refused:
            digest, job = self.jobs.get(message.job_id, (None, None))
            if job is None:
                job = asyncio.ensure_future(self._run(message))
                self.jobs[message.job_id] = (message.body_digest, job)
            elif digest != message.body_digest:
                return JobAnswer(message.job_id, '', 'conflict')
        return await self._state(message.job_id, message.wait_ms)

    async def _state(self, job_id, wait_ms):
        if job_id in self.refused:
            return self.refused[job_id]
        if job_id not in self.jobs:
            return JobAnswer(job_id, '', detail='no job')
        job = self.jobs[job_id][1]
        await asyncio.wait((job,), timeout=wait_ms / 1000)
        if job.done():
            return job.result()
        return JobAnswer(job_id, '', task_count=1)

    async def _run(self, message):
        self.started.update((message.job_id, x.index) for x in message.tasks)
        await asyncio.sleep(self.run_s)
        return complete_answer(message)


def complete_answer(message):
    results = [
        TaskResult(
            x.index, x.payload, 100, 0, message.placements[0].agent, 'e-1'
        )
        for x in message.tasks
    ]
    return JobAnswer(
        message.job_id,
        'complete',
        task_count=len(results),
        digest=payloads_digest(x.payload for x in results),
        results=results,
    )
