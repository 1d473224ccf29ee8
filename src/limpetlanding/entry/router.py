"""Forwarding of job requests to the coordinators of the jobs."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any, Protocol

from limpetlanding.entry.answers import AnswerFault, answer_fault
from limpetlanding.errors import LimpetlandingError, PeerLost, RequestTimeout
from limpetlanding.jobs import Outcome, Reason, parse_job_id
from limpetlanding.telemetry.logs import job_logger
from limpetlanding.wire import Hello
from limpetlanding.wire.job_messages import (
    CancelJob,
    JobAnswer,
    LocateCoordinator,
    Located,
    QueryJob,
    RefuseJob,
    SubmitJob,
)

JobRequest = SubmitJob | RefuseJob | QueryJob | CancelJob


class Peer(Protocol):
    """Part of `limpetlanding.wire.Channel` that an entry uses."""

    peer: Hello
    closed: asyncio.Event
    suspect: bool

    def notify(self, message: Any) -> None:
        """Send a message that has no reply."""

    async def request(self, message: Any, timeout_s: float) -> Any:
        """Send a message and return the reply."""


@dataclass(slots=True)
class RouterOptions:
    """Limits of the router; times are in seconds.

    Parameters
    ----------
    reply_timeout_s : float
        Longest wait for a reply, in addition to the time that the
        coordinator was asked to wait.
    search_timeout_s : float
        Longest search for a coordinator that is not connected. Agents dial
        an entry within about a second of its start.
    search_round_timeout_s : float
        Longest wait for the replies of one round of the search.
    not_found_ttl_s : float
        How long a coordinator that was not found is not searched for again.
        Callers resubmit in waves after an agent has died.
    max_searches : int
        Largest number of concurrent searches; each asks every agent of the
        region.
    min_backoff_s, max_backoff_s : float
        First and longest pause between attempts, before jitter.
    max_successors : int
        Largest number of moved coordinators whose successor is stored.
    """

    reply_timeout_s: float = 1
    search_timeout_s: float = 2
    search_round_timeout_s: float = 0.5
    not_found_ttl_s: float = 1
    max_searches: int = 16
    min_backoff_s: float = 0.02
    max_backoff_s: float = 0.5
    max_successors: int = 10_000


@dataclass(slots=True)
class _CoordinatorCall:
    """A request in progress, over all of its attempts."""

    job_id: str
    incarnation: str
    message: JobRequest
    task_count: int | None
    wait_s: float
    expires_at: float
    started_at: float = field(default=0)


class _CoordinatorChanged(PeerLost):
    """The coordinator has moved; the request must go to its successor."""


class Router:
    """Finds the coordinator of a job and forwards requests to it.

    Parameters
    ----------
    options : RouterOptions, optional
        Limits.
    rng : random.Random, optional
        Source of the jitter between attempts.
    """

    def __init__(
        self, options: RouterOptions | None = None, rng: Random | None = None
    ) -> None:
        self.options = options or RouterOptions()
        self.rng = rng or Random()
        self.loop = asyncio.get_running_loop()
        self.agents: dict[str, Peer] = {}
        self.successors: dict[str, str] = {}
        self.not_found_until: dict[str, float] = {}
        self.searches: dict[str, asyncio.Task[str | None]] = {}
        self.move_waiters: dict[str, set[asyncio.Future[None]]] = {}
        self.events: Counter[str] = Counter()

    def add_agent(self, channel: Peer) -> None:
        """Forward requests for this agent's incarnation to it."""
        incarnation = channel.peer.incarnation
        self.agents[incarnation] = channel
        self.not_found_until.pop(incarnation, None)

    def remove_agent(self, incarnation: str) -> None:
        """Remove an agent whose incarnation has ended."""
        self.agents.pop(incarnation, None)

    def coordinator_moved(self, incarnation: str, successor: str) -> None:
        """Forward requests for `incarnation` to its successor from now on.

        Requests that wait for the old coordinator are sent again. It has
        handed over its records, so it makes no more decisions.
        """
        if incarnation == successor:
            return
        self.successors[incarnation] = successor
        self.not_found_until.pop(incarnation, None)
        while len(self.successors) > self.options.max_successors:
            self.successors.pop(next(iter(self.successors)))
        for future in self.move_waiters.pop(incarnation, ()):
            if not future.done():
                future.set_result(None)

    async def forward(
        self,
        message: JobRequest,
        wait_s: float = 0,
        task_count: int | None = None,
    ) -> JobAnswer:
        """Return the coordinator's answer, or ``may_have_run`` without one.

        Parameters
        ----------
        message : SubmitJob, RefuseJob, QueryJob or CancelJob
            The request. It is idempotent by its job id, so it may be sent
            again to the coordinator or to its successor.
        wait_s : float
            How long the coordinator may take before it answers.
        task_count : int, optional
            Number of tasks that a complete answer must have.

        Raises
        ------
        InvalidJobId
            If the id of the message is not a job id.
        """
        now = self.loop.time()
        call = _CoordinatorCall(
            message.job_id,
            parse_job_id(message.job_id).incarnation,
            message,
            task_count,
            wait_s,
            now + wait_s + self.options.reply_timeout_s,
            now,
        )
        attempt = 0
        while True:
            channel = await self._find_coordinator(call)
            if channel is None:
                return self._may_have_run_answer(
                    call, Reason.COORDINATOR_LOST, ''
                )
            answer = await self._attempt(call, channel)
            if answer is not None:
                return answer
            backoff_s = self._backoff_s(attempt)
            attempt += 1
            if self.loop.time() + backoff_s >= call.expires_at:
                return self._may_have_run_answer(
                    call, Reason.ENTRY_TIMEOUT, channel.peer.node
                )
            await asyncio.sleep(backoff_s)

    def drop_late_answer(self, channel: Peer, answer: JobAnswer) -> None:
        """Count and drop an answer that no request waits for."""
        # The request id is unknown, since the request has ended.
        self.events[f'answers_{AnswerFault.LATE}'] += 1
        job_logger('', answer.job_id, 'answer', channel.peer.node).debug(
            'dropped the answer to the job: {}', AnswerFault.LATE.value
        )

    async def _attempt(
        self, call: _CoordinatorCall, channel: Peer
    ) -> JobAnswer | None:
        remaining_s = call.expires_at - self.loop.time()
        if remaining_s <= 0:
            return self._may_have_run_answer(
                call, Reason.ENTRY_TIMEOUT, channel.peer.node
            )
        message = self._with_remaining_time(call)
        try:
            answer = await self._send(channel, message, remaining_s)
        except RequestTimeout as error:
            return self._may_have_run_answer(
                call, Reason.ENTRY_TIMEOUT, error.peer
            )
        except PeerLost:
            self._remove_closed(channel)
            return None
        except LimpetlandingError as error:
            self.events['requests_failed'] += 1
            _request_log(call, error.step, error.peer).debug(
                'job request failed: {}', error.detail
            )
            return None
        fault = answer_fault(answer, call.job_id, call.task_count)
        if fault is not None:
            self.events[f'answers_{fault}'] += 1
            _request_log(call, 'answer', channel.peer.node).warning(
                'dropped the answer to the job: {}', fault.value
            )
            return None
        return answer

    async def _send(
        self, channel: Peer, message: JobRequest, remaining_s: float
    ) -> Any:
        """Send a request to a coordinator and return the reply.

        Raises
        ------
        _CoordinatorChanged
            If the coordinator has moved before the reply.
        """
        incarnation = channel.peer.incarnation
        move_waiters = self.move_waiters.setdefault(incarnation, set())
        coordinator_moved = self.loop.create_future()
        move_waiters.add(coordinator_moved)
        request = self.loop.create_task(channel.request(message, remaining_s))
        try:
            await asyncio.wait(
                (request, coordinator_moved),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            coordinator_moved.cancel()
            move_waiters.discard(coordinator_moved)
            if (
                not move_waiters
                and self.move_waiters.get(incarnation) is move_waiters
            ):
                self.move_waiters.pop(incarnation)
            if not request.done():
                request.cancel()
        if request.done() and not request.cancelled():
            return request.result()
        self.events['requests_rerouted'] += 1
        raise _CoordinatorChanged(
            'the coordinator has moved', step='coordinate'
        )

    def coordinator(self, incarnation: str) -> Peer | None:
        """Return the connected agent that coordinates for `incarnation`."""
        latest = self._latest_successor(incarnation)
        return self.agents[latest] if self._connected(latest) else None

    async def _find_coordinator(self, call: _CoordinatorCall) -> Peer | None:
        channel = self.coordinator(call.incarnation)
        if channel is not None:
            return channel
        found = await self._search(call.incarnation)
        return None if found is None else self.agents.get(found)

    async def _search(self, incarnation: str) -> str | None:
        if self.not_found_until.get(incarnation, 0) > self.loop.time():
            return None
        search = self.searches.get(incarnation)
        if search is None:
            if len(self.searches) >= self.options.max_searches:
                self.events['searches_refused'] += 1
                return None
            search = self.loop.create_task(self._search_rounds(incarnation))
            self.searches[incarnation] = search
            search.add_done_callback(
                lambda _: self.searches.pop(incarnation, None)
            )
        return await asyncio.shield(search)

    async def _search_rounds(self, incarnation: str) -> str | None:
        ends_at = self.loop.time() + self.options.search_timeout_s
        while True:
            found = await self._search_once(incarnation)
            if found is not None:
                return found
            if self.loop.time() >= ends_at:
                break
            await asyncio.sleep(self.options.search_round_timeout_s / 2)
        now = self.loop.time()
        self.not_found_until = {
            k: t for k, t in self.not_found_until.items() if t > now
        }
        self.not_found_until[incarnation] = now + self.options.not_found_ttl_s
        self.events['coordinators_lost'] += 1
        return None

    async def _search_once(self, incarnation: str) -> str | None:
        """Ask every agent, unless the coordinator has connected meanwhile."""
        latest = self._latest_successor(incarnation)
        if self._connected(latest):
            return latest
        query = LocateCoordinator(incarnation)
        tasks = {
            self.loop.create_task(_query_agent(channel, query, self.options))
            for channel in self.agents.values()
            if not channel.closed.is_set()
        }
        try:
            for reply in asyncio.as_completed(tasks):
                found = await reply
                if found is not None:
                    self.coordinator_moved(incarnation, found)
                    return found
        finally:
            for task in tasks:
                task.cancel()
        return None

    def _latest_successor(self, incarnation: str) -> str:
        seen = set()
        while incarnation in self.successors and incarnation not in seen:
            seen.add(incarnation)
            incarnation = self.successors[incarnation]
        return incarnation

    def _connected(self, incarnation: str) -> bool:
        channel = self.agents.get(incarnation)
        return channel is not None and not channel.closed.is_set()

    def _remove_closed(self, channel: Peer) -> None:
        incarnation = channel.peer.incarnation
        if self.agents.get(incarnation) is channel and channel.closed.is_set():
            self.agents.pop(incarnation)
            self.events['peers_lost'] += 1

    def _with_remaining_time(self, call: _CoordinatorCall) -> JobRequest:
        elapsed_ms = (self.loop.time() - call.started_at) * 1000
        if not elapsed_ms:
            return call.message
        changes = {
            name: max(0, getattr(call.message, name) - elapsed_ms)
            for name in ('deadline_ms', 'wait_ms')
            if hasattr(call.message, name)
        }
        return replace(call.message, **changes)

    def _backoff_s(self, attempt: int) -> float:
        base = self.options.min_backoff_s * 2 ** min(attempt, 10)
        return min(base, self.options.max_backoff_s) * self.rng.uniform(0.5, 1)

    def _may_have_run_answer(
        self, call: _CoordinatorCall, reason: Reason, peer: str
    ) -> JobAnswer:
        self.events[f'doubts_{reason}'] += 1
        return JobAnswer(
            call.job_id,
            Outcome.MAY_HAVE_RUN,
            reason,
            task_count=call.task_count or 0,
            step='coordinate',
            peer=peer or call.incarnation,
        )


class RequestCoalescer:
    """Runs one request per key at a time and shares its result."""

    def __init__(self) -> None:
        self.running: dict[Any, asyncio.Task[Any]] = {}

    async def run(self, key: Any, start: Callable[[], Awaitable[Any]]) -> Any:
        """Return the result of the running request for `key`, or start one.

        The request continues if a caller is cancelled, because other callers
        may wait for its result.
        """
        task = self.running.get(key)
        if task is None:
            task = asyncio.ensure_future(start())
            self.running[key] = task
            task.add_done_callback(lambda _: self.running.pop(key, None))
        return await asyncio.shield(task)


def _request_log(call: _CoordinatorCall, step: str, peer: str) -> Any:
    request_id = getattr(call.message, 'request_id', '')
    return job_logger(request_id, call.job_id, step, peer)


async def _query_agent(
    channel: Peer, query: LocateCoordinator, options: RouterOptions
) -> str | None:
    with suppress(LimpetlandingError):
        reply = await channel.request(query, options.search_round_timeout_s)
        if isinstance(reply, Located) and reply.known:
            return channel.peer.incarnation
    return None
