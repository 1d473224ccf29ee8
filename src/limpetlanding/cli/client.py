"""Client of the caller API that retries without running a job twice.

A job is submitted under a new id only if it is known not to have run, or if
it is declared repeatable.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

import aiohttp
import orjson

from limpetlanding.errors import LimpetlandingError
from limpetlanding.jobs import Outcome, Reason
from limpetlanding.policy import RetryBudget, backoff_ms

CONNECT_TIMEOUT_S = 2
LONG_POLL_MS = 10_000


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer of an entry, or the failure to get one.

    Parameters
    ----------
    status : int
        HTTP status; 0 if there was no answer.
    body : dict
        Decoded JSON body; empty if there is none.
    sent : bool
        False if the request cannot have reached an entry.
    detail : str
        Why there is no answer or no JSON body.
    earlier_may_have_run : bool
        Whether the job may have run because of an earlier request of the same
        submission, which this answer does not settle.
    """

    status: int = 0
    body: dict[str, Any] = field(default_factory=dict)
    sent: bool = True
    detail: str = ''
    earlier_may_have_run: bool = False

    @property
    def outcome(self) -> str:
        """Outcome of the job, empty if the answer has none."""
        return self.body.get('outcome') or ''

    @property
    def reason(self) -> str:
        """Reason in the answer, empty if it has none."""
        return self.body.get('reason') or ''

    @property
    def may_have_run(self) -> bool:
        """Whether the job of a submission may have run or still runs."""
        if not self.status:
            return self.sent
        if self.outcome:
            return self.outcome == Outcome.MAY_HAVE_RUN
        # An error without an outcome concerns the request alone, unless a load
        # balancer sent it.
        return self.status < 300 or (self.status >= 500 and not self.body)

    @property
    def settles(self) -> bool:
        """Whether the answer tells the state of the job."""
        return bool(self.outcome) or 200 <= self.status < 300


class NoAnswer(LimpetlandingError):
    """No entry answered; whether one handled the request is unknown."""


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
        Size of the retry budget: the retries allowed at the start, and the
        most that can be saved. Each submission adds a tenth of a retry.
    timeout_s : float
        Longest wait for the answer to one request, in seconds.
    submission_timeout_s : float
        Time after which a submission is neither retried nor polled, in
        seconds.
    """

    entries: Sequence[str]
    key: str
    retries: int = 0
    timeout_s: float = 60
    submission_timeout_s: float = 300


class Client:
    """Calls one entry, and the next one after a call without an answer.

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
        self.entry_index = 0

    async def mint(self) -> str:
        """Return a new job id.

        Raises
        ------
        NoAnswer
            If no entry answers.
        LimpetlandingError
            If the last answer is an error.
        """
        attempt = 0
        while True:
            answer = await self.call('POST', '/v1/ids', {'count': 1})
            if answer.status == 200 and answer.body.get('ids'):
                return answer.body['ids'][0]
            is_client_error = 400 <= answer.status < 500
            if is_client_error or not self.budget.try_withdraw():
                raise _mint_error(answer)
            await self._pause(attempt, answer)
            attempt += 1

    async def submit(self, body: dict[str, Any]) -> Answer:
        """Submit a job and return the last answer.

        After a lost connection the job is submitted again under the same
        id; if the job is still running, the answer is that of this run. A
        new id is used only if the job is known not to have run or is
        repeatable. A job that is still running at its deadline is polled
        until it ends.

        Raises
        ------
        NoAnswer
            If no entry answers the request for the first id.
        LimpetlandingError
            If the request for the first id fails with an error.
        """
        self.budget.deposit()
        stop_at = (
            asyncio.get_running_loop().time()
            + self.options.submission_timeout_s
        )
        body = body | {'id': body.get('id') or await self.mint()}
        # Ids under which the job may have run so far.
        doubtful: set[str] = set()
        attempt = 0
        while True:
            answer = await self._submit_once(body, stop_at, doubtful)
            retry_mode = _choose_retry(answer, bool(body.get('repeatable')))
            timed_out = asyncio.get_running_loop().time() >= stop_at
            if (
                retry_mode is None
                or timed_out
                or not self.budget.try_withdraw()
            ):
                return answer
            await self._pause(attempt, answer)
            attempt += 1
            if retry_mode == 'fresh id':
                new_id = answer.body.get('next_id') or await self._next_id()
                if not new_id:
                    return answer
                body = body | {'id': new_id}

    async def status(self, job_id: str, wait_ms: int = 0) -> Answer:
        """Return the state of a job."""
        return await self.call('GET', f'/v1/jobs/{job_id}?wait_ms={wait_ms}')

    async def cancel(self, job_id: str) -> Answer:
        """Cancel the tasks of a job that have not started."""
        return await self.call('DELETE', f'/v1/jobs/{job_id}')

    async def call(
        self, method: str, path: str, body: dict[str, Any] | None = None
    ) -> Answer:
        """Return the answer of the current entry, or one with status 0.

        If there is no answer, the next call goes to the next entry.
        """
        base = self.options.entries[
            self.entry_index % len(self.options.entries)
        ]
        timeout = aiohttp.ClientTimeout(
            total=self.options.timeout_s, connect=CONNECT_TIMEOUT_S
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
                return _parse_answer(response.status, text)
        except aiohttp.ClientConnectorError as error:
            self.entry_index += 1
            return Answer(sent=False, detail=str(error))
        except (aiohttp.ClientError, OSError) as error:
            self.entry_index += 1
            return Answer(detail=str(error) or type(error).__name__)

    async def _submit_once(
        self, body: dict[str, Any], stop_at: float, doubtful: set[str]
    ) -> Answer:
        answer = await self.call('POST', '/v1/jobs', body)
        if answer.may_have_run:
            doubtful.add(body['id'])
        if body.get('wait', True):
            answer = await self._wait_for_end(answer, body['id'], stop_at)
        answer = _check_answer(answer, body)
        if answer.settles:
            doubtful.discard(body['id'])
        earlier_may_have_run = bool(doubtful)
        if answer.may_have_run:
            doubtful.add(body['id'])
        return replace(answer, earlier_may_have_run=earlier_may_have_run)

    async def _next_id(self) -> str:
        """Return a new id for a job that was submitted before, or ''."""
        try:
            return await self.mint()
        except LimpetlandingError:
            return ''

    async def _wait_for_end(
        self, answer: Answer, job_id: str, stop_at: float
    ) -> Answer:
        loop = asyncio.get_running_loop()
        while answer.status == 202 and loop.time() < stop_at:
            answer = await self.status(job_id, LONG_POLL_MS)
        return answer

    def _headers(self) -> dict[str, str]:
        return {
            'Authorization': f'Bearer {self.options.key}',
            'Content-Type': 'application/json',
        }

    async def _pause(self, attempt: int, answer: Answer) -> None:
        """Wait for the time that the entry asks for, plus a random backoff."""
        delay_ms = backoff_ms(attempt, self.rng)
        delay_ms += answer.body.get('retry_after_ms') or 0
        await asyncio.sleep(delay_ms / 1000)


def _choose_retry(answer: Answer, repeatable: bool) -> str | None:
    """Return under which id the job may be submitted again, or None."""
    if answer.outcome == Outcome.NOT_RUN:
        # A refusal without a time to wait is final: the job can never run.
        return 'fresh id' if answer.body.get('retry_after_ms') else None
    if answer.outcome == Outcome.MAY_HAVE_RUN:
        if answer.reason == Reason.ENTRY_TIMEOUT:
            return 'same id'
        return 'fresh id' if repeatable else None
    if answer.outcome or 200 <= answer.status < 500:
        return None
    # No entry answered: there was no answer, or one of a load balancer
    # that does not have the state of the job.
    return 'same id'


def _check_answer(answer: Answer, body: dict[str, Any]) -> Answer:
    """Return the answer, or one with status 0 if it is for another job."""
    if answer.outcome != Outcome.COMPLETE:
        return answer
    count = len(body.get('tasks', ()))
    results = answer.body.get('results', [])
    indices = [item.get('index') for item in results]
    if answer.body.get('id') == body['id'] and indices == list(range(count)):
        return answer
    return Answer(detail='the answer is for another request')


def _parse_answer(status: int, text: bytes) -> Answer:
    try:
        body = orjson.loads(text)
    except ValueError:
        body = None
    if isinstance(body, dict):
        return Answer(status, body)
    return Answer(status, {}, True, f'status {status} without a JSON body')


def _mint_error(answer: Answer) -> LimpetlandingError:
    detail = answer.body.get('detail') or answer.detail or 'no id'
    error_class = LimpetlandingError if answer.status else NoAnswer
    return error_class(detail, step='mint')
