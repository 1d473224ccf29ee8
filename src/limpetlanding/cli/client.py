"""Client of the caller API that never submits one job as two."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

import aiohttp
import orjson

from limpetlanding.errors import LimpetlandingError
from limpetlanding.jobs import Outcome, Reason
from limpetlanding.policy import RetryBudget, backoff_ms

CONNECT_S = 2
POLL_MS = 10_000


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer of an entry; a status of 0 means that none came.

    `sent` is False if the request cannot have reached an entry.
    """

    status: int = 0
    body: dict[str, Any] = field(default_factory=dict)
    sent: bool = True
    detail: str = ''

    @property
    def outcome(self) -> str:
        """Outcome of the job, empty if the answer tells none."""
        return self.body.get('outcome') or ''

    @property
    def reason(self) -> str:
        """Reason in the answer, empty if it has none."""
        return self.body.get('reason') or ''


class NoAnswer(LimpetlandingError):
    """No entry answered; the fate of the request is unknown."""


@dataclass(slots=True)
class ClientOptions:
    """Options of a `Client`.

    Parameters
    ----------
    entries : sequence of str
        Base URLs of the entries or of the balancer.
    key : str
        Customer key.
    retries : int
        Retries that are allowed at once; more are earned at a tenth of the
        fresh submissions.
    timeout_s : float
        Longest wait for the answer to one request.
    total_s : float
        Longest time for a submission with all its retries.
    """

    entries: Sequence[str]
    key: str
    retries: int = 0
    timeout_s: float = 60
    total_s: float = 300


class Client:
    """Calls the entries, one after the other if connections are lost.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP session.
    options : ClientOptions
        Options.
    rng : random.Random
        Source of the jitter between retries.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        options: ClientOptions,
        rng: Random,
    ) -> None:
        self.session = session
        self.options = options
        self.rng = rng
        self.budget = RetryBudget(reserve=options.retries)
        self.turn = 0

    async def mint(self) -> str:
        """Return a fresh job id.

        Raises
        ------
        NoAnswer
            If no entry gives one.
        LimpetlandingError
            If the entry refuses the request.
        """
        attempt = 0
        while True:
            answer = await self.call('POST', '/v1/ids', {'count': 1})
            if answer.status == 200:
                return answer.body['ids'][0]
            final = 400 <= answer.status < 500
            if final or not self.budget.try_withdraw():
                raise _no_id(answer)
            await self._pause(attempt, answer)
            attempt += 1

    async def submit(self, body: dict[str, Any]) -> Answer:
        """Submit a job and return the last answer.

        After a lost connection the job is submitted again under the same
        id, which joins it if it runs. A fresh id is used only if the job is
        known not to have run, or may run more than once. A job that still
        runs at its deadline is asked for until it ends.

        Raises
        ------
        NoAnswer
            If no id can be had.
        """
        self.budget.deposit()
        ends_at = asyncio.get_running_loop().time() + self.options.total_s
        body = body | {'id': body.get('id') or await self.mint()}
        attempt = 0
        while True:
            answer = await self.call('POST', '/v1/jobs', body)
            if body.get('wait', True):
                answer = await self._ended(answer, body['id'], ends_at)
            answer = _checked(answer, body)
            follow_up = _follow_up(answer, bool(body.get('repeatable')))
            late = asyncio.get_running_loop().time() >= ends_at
            if follow_up is None or late or not self.budget.try_withdraw():
                return answer
            await self._pause(attempt, answer)
            attempt += 1
            if follow_up == 'fresh id':
                fresh = answer.body.get('next_id') or await self.mint()
                body = body | {'id': fresh}

    async def status(self, job_id: str, wait_ms: int = 0) -> Answer:
        """Return the state of a job."""
        return await self.call('GET', f'/v1/jobs/{job_id}?wait_ms={wait_ms}')

    async def cancel(self, job_id: str) -> Answer:
        """Cancel what has not started of a job."""
        return await self.call('DELETE', f'/v1/jobs/{job_id}')

    async def call(
        self, method: str, path: str, body: dict[str, Any] | None = None
    ) -> Answer:
        """Return the answer of the next entry, or one with status 0."""
        base = self.options.entries[self.turn % len(self.options.entries)]
        timeout = aiohttp.ClientTimeout(
            total=self.options.timeout_s, connect=CONNECT_S
        )
        try:
            async with self.session.request(
                method,
                base.rstrip('/') + path,
                data=None if body is None else orjson.dumps(body),
                headers=self._headers(),
                timeout=timeout,
            ) as response:
                text = await response.read()
                return _parsed(response.status, text)
        except aiohttp.ClientConnectorError as error:
            self.turn += 1
            return Answer(sent=False, detail=str(error))
        except (aiohttp.ClientError, TimeoutError) as error:
            self.turn += 1
            return Answer(detail=str(error) or type(error).__name__)

    async def _ended(
        self, answer: Answer, job_id: str, ends_at: float
    ) -> Answer:
        loop = asyncio.get_running_loop()
        while answer.status == 202 and loop.time() < ends_at:
            answer = await self.status(job_id, POLL_MS)
        return answer

    def _headers(self) -> dict[str, str]:
        return {
            'Authorization': f'Bearer {self.options.key}',
            'Content-Type': 'application/json',
        }

    async def _pause(self, attempt: int, answer: Answer) -> None:
        """Wait as long as the entry asks, and with jitter in any case."""
        pause_ms = backoff_ms(attempt, self.rng)
        pause_ms += answer.body.get('retry_after_ms') or 0
        await asyncio.sleep(pause_ms / 1000)


def _follow_up(answer: Answer, repeatable: bool) -> str | None:
    """Return how the job may be submitted again, or None."""
    if answer.outcome == Outcome.NOT_RUN:
        # Without a time to wait the job can never run.
        return 'fresh id' if answer.body.get('retry_after_ms') else None
    if answer.outcome == Outcome.MAY_HAVE_RUN:
        if answer.reason == Reason.ENTRY_TIMEOUT:
            return 'same id'
        return 'fresh id' if repeatable else None
    if answer.outcome or 200 <= answer.status < 500:
        return None
    # No answer, or one of a balancer that tells nothing of the job.
    return 'same id'


def _checked(answer: Answer, body: dict[str, Any]) -> Answer:
    """Return the answer, or none at all if it is not to this request."""
    if answer.outcome != Outcome.COMPLETE:
        return answer
    count = len(body.get('tasks', ()))
    results = answer.body.get('results', [])
    indices = [item.get('index') for item in results]
    if answer.body.get('id') == body['id'] and indices == list(range(count)):
        return answer
    return Answer(detail='the answer is not that to this request')


def _parsed(status: int, text: bytes) -> Answer:
    try:
        body = orjson.loads(text)
    except ValueError:
        body = None
    if isinstance(body, dict):
        return Answer(status, body)
    return Answer(status, {}, True, f'status {status} without a JSON body')


def _no_id(answer: Answer) -> LimpetlandingError:
    detail = answer.body.get('detail') or answer.detail or 'no id'
    kind = LimpetlandingError if answer.status else NoAnswer
    return kind(detail, step='mint')
