"""Decisions on all job ids that this agent is responsible for."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from limpetlanding.agent.jobrun import JobInterfaces, JobRun, Peer
from limpetlanding.agent.options import CoordinatorOptions
from limpetlanding.agent.records import JobRecord, Ledger
from limpetlanding.errors import LimpetlandingError
from limpetlanding.jobs import (
    InvalidJobId,
    JobId,
    Outcome,
    Reason,
    mint_job_id,
    parse_job_id,
    verify_job_id,
)
from limpetlanding.telemetry.logs import job_logger
from limpetlanding.telemetry.traces import span
from limpetlanding.wire.job_messages import (
    AllocateIds,
    CancelJob,
    IdBlock,
    JobAnswer,
    LocateCoordinator,
    Located,
    MoveTasks,
    QueryJob,
    RefuseJob,
    SubmitJob,
    TaskReports,
)

JobMessage = SubmitJob | RefuseJob | QueryJob | CancelJob


@dataclass(slots=True)
class _OwnedId:
    """A job id of this agent, and the ledger that it belongs to."""

    ledger: Ledger
    job_id: JobId


@dataclass(slots=True)
class Coordinator:
    """Decides on the job ids of its own and taken-over incarnations.

    No decision suspends between the look-up and the write of the record, so
    that of two concurrent requests for one id exactly one is the first.

    `runs` holds the running jobs by job id. `end_futures` are completed when
    a job ends. `moved` holds, by incarnation, the successor that a ledger was
    or is being handed over to; its result is None if the handover failed or
    if it is unknown who is responsible.

    Parameters
    ----------
    ledger : Ledger
        Ledger of this agent's own incarnation.
    interfaces : JobInterfaces
        How jobs reach executors and entries.
    """

    ledger: Ledger
    interfaces: JobInterfaces
    options: CoordinatorOptions = field(default_factory=CoordinatorOptions)
    ledgers: dict[str, Ledger] = field(init=False)
    runs: dict[str, JobRun] = field(default_factory=dict)
    end_futures: dict[str, asyncio.Future[None]] = field(default_factory=dict)
    moved: dict[str, asyncio.Future[Peer | None]] = field(default_factory=dict)
    draining: bool = False
    on_job_end: Callable[[Ledger, JobRecord], None] = lambda *_: None

    def __post_init__(self) -> None:
        self.ledgers = {self.ledger.incarnation: self.ledger}

    @property
    def active(self) -> int:
        """Number of running jobs."""
        return len(self.runs)

    def allocate(self, message: AllocateIds) -> IdBlock:
        """Issue a block of ids; an agent that is draining issues none."""
        ledger = self.ledger
        count = min(max(message.count, 0), self.options.max_id_block)
        if self.draining:
            count = 0
        return IdBlock(
            ledger.incarnation, ledger.issue(count), count, ledger.secret
        )

    def locate(self, message: LocateCoordinator) -> Located:
        """Tell whether this agent is responsible for an incarnation."""
        known = message.incarnation in self.ledgers
        moved = message.incarnation in self.moved
        return Located(message.incarnation, known and not moved)

    async def submit(
        self, message: SubmitJob, entry: Peer | None = None
    ) -> JobAnswer:
        """Run the job, or wait for its answer if the id is known already."""
        with span(
            'submit', message.traceparent, job_id=message.job_id
        ) as current_span:
            message.traceparent = current_span.traceparent
            answer = await self._submit(message, entry)
            current_span.set_attributes(outcome=answer.outcome)
        return answer

    async def refuse(self, message: RefuseJob) -> JobAnswer:
        """Record a refusal, or return the answer of a job that is known."""
        owned = await self._resolve_id(message)
        if isinstance(owned, JobAnswer):
            return owned
        if owned.ledger.find(owned.job_id.sequence) is None:
            self._refuse(owned, message, message.reason, message.retry_after_ms)
        return await self._answer(owned, message.job_id, 0)

    async def query(self, message: QueryJob) -> JobAnswer:
        """Return the answer of the job, waiting for up to ``wait_ms``."""
        owned = await self._resolve_id(message)
        if isinstance(owned, JobAnswer):
            return owned
        if owned.ledger.find(owned.job_id.sequence) is None:
            answer = _answer_without_outcome(message, '')
            answer.detail = 'no job was submitted under this id'
            return answer
        return await self._answer(owned, message.job_id, message.wait_ms)

    async def cancel(self, message: CancelJob) -> JobAnswer:
        """Revoke tasks that have not started; an unused id becomes unusable."""
        owned = await self._resolve_id(message)
        if isinstance(owned, JobAnswer):
            return owned
        run = self.runs.get(message.job_id)
        if run is not None:
            await run.cancel()
        elif owned.ledger.find(owned.job_id.sequence) is None:
            self._refuse(owned, message, Reason.CANCELLED)
        return await self._answer(owned, message.job_id, 0)

    async def move(self, message: MoveTasks) -> None:
        """Move tasks of a running job that have not started."""
        run = self.runs.get(message.job_id)
        if run is not None:
            await run.move(message.placements)

    def on_reports(self, incarnation: str, message: TaskReports) -> None:
        """Apply reports that an executor sent before its final reply."""
        run = self.runs.get(message.job_id)
        if run is not None:
            run.on_reports(incarnation, message.reports)

    def sweep(self) -> None:
        """Drop records beyond the limits and unneeded taken-over ledgers."""
        now = self.interfaces.clock()
        limits = self.options.limits
        # The limits are for the process, so its ledgers share them equally.
        ledger_limits = replace(
            limits,
            max_records=limits.max_records // len(self.ledgers),
            max_bytes=limits.max_bytes // len(self.ledgers),
        )
        for ledger in list(self.ledgers.values()):
            ledger.sweep(now, ledger_limits)
            if ledger.can_be_dropped(now, self.options.takeover_retention_s):
                del self.ledgers[ledger.incarnation]

    def end_jobs_of_lost_agent(self, incarnation: str) -> None:
        """Answer ``may_have_run`` for the handed-over jobs of a lost agent.

        They were still running there, so no other agent knows their state.
        """
        for ledger in self.ledgers.values():
            unended = [x for x in ledger.active.values() if x.origin]
            for record in unended:
                if record.origin == incarnation:
                    self.end_job(
                        ledger, record, _coordinator_lost_answer(ledger, record)
                    )

    def end_job(
        self, ledger: Ledger, record: JobRecord, answer: JobAnswer
    ) -> None:
        """Store the final answer and complete the requests that wait for it."""
        ledger.end(record, answer, self.interfaces.clock())
        self.notify_waiters(answer.job_id)
        self.on_job_end(ledger, record)

    def notify_waiters(self, job_id: str) -> None:
        """Complete the requests that wait for this job to end."""
        end = self.end_futures.pop(job_id, None)
        if end is not None and not end.done():
            end.set_result(None)

    async def _submit(
        self, message: SubmitJob, entry: Peer | None
    ) -> JobAnswer:
        owned = await self._resolve_id(message)
        if isinstance(owned, JobAnswer):
            return owned
        record = owned.ledger.find(owned.job_id.sequence)
        if record is None and not _is_well_formed(message):
            return _answer_without_outcome(message, Reason.MALFORMED)
        if record is None:
            self._start_job(owned, message, entry)
        elif record.body_digest and record.body_digest != message.body_digest:
            return _answer_without_outcome(message, Reason.CONFLICT)
        else:
            _log(message).debug('joined a known job')
        return await self._answer(owned, message.job_id, message.wait_ms)

    async def _resolve_id(self, message: JobMessage) -> _OwnedId | JobAnswer:
        try:
            job_id = parse_job_id(message.job_id)
        except InvalidJobId:
            return _answer_without_outcome(message, Reason.MALFORMED)
        ledger = self.ledgers.get(job_id.incarnation)
        if ledger is None:
            return _may_have_run_answer(message, Reason.COORDINATOR_LOST)
        if not verify_job_id(job_id, message.customer, ledger.secret):
            return _answer_without_outcome(message, Reason.UNAUTHORIZED)
        if job_id.sequence >= ledger.next_sequence:
            return _answer_without_outcome(message, Reason.MALFORMED)
        while ledger.find(job_id.sequence) is None:
            moved = self.moved.get(job_id.incarnation)
            if moved is None:
                break
            # All waiting requests share the future, so none may cancel it.
            peer = await asyncio.shield(moved)
            # The entry was removed if the handover failed; then this agent
            # remains responsible.
            if self.moved.get(job_id.incarnation) is moved:
                return await self._forward(message, peer)
        if job_id.sequence in ledger.expired:
            return _may_have_run_answer(message, Reason.EXPIRED)
        return _OwnedId(ledger, job_id)

    async def _forward(
        self, message: JobMessage, peer: Peer | None
    ) -> JobAnswer:
        if peer is None:
            return _may_have_run_answer(message, Reason.COORDINATOR_LOST)
        wait_s = getattr(message, 'wait_ms', 0) / 1000
        try:
            return await peer.request(
                message, wait_s + self.options.answer_grace_s
            )
        except LimpetlandingError as error:
            answer = _may_have_run_answer(message, Reason.COORDINATOR_LOST)
            return replace(answer, step=error.step, peer=error.peer)

    def _start_job(
        self, owned: _OwnedId, message: SubmitJob, entry: Peer | None
    ) -> None:
        if self.active >= self.options.max_active_jobs:
            self._refuse(owned, message, Reason.OVERLOAD)
            return
        record = JobRecord(
            owned.job_id.sequence,
            message.customer,
            message.body_digest,
            len(message.tasks),
        )
        owned.ledger.add_active(record)

        def on_end(answer: JobAnswer) -> None:
            self.runs.pop(message.job_id, None)
            _log_end(message, answer)
            self.end_job(owned.ledger, record, answer)

        run = JobRun(message, entry, self.interfaces, self.options, on_end)
        self.runs[message.job_id] = run
        _log(message).debug(
            'accepted: {} tasks, {:.0f} ms until the deadline',
            len(message.tasks),
            message.deadline_ms,
        )
        run.start()

    def _refuse(
        self,
        owned: _OwnedId,
        message: JobMessage,
        reason: str,
        retry_after_ms: float = 0,
    ) -> None:
        tasks = getattr(message, 'tasks', ())
        digest = getattr(message, 'body_digest', '')
        record = JobRecord(
            owned.job_id.sequence, message.customer, digest, len(tasks)
        )
        answer = JobAnswer(
            message.job_id,
            Outcome.NOT_RUN,
            reason,
            task_count=len(tasks),
            step='coordinate',
            retry_after_ms=retry_after_ms,
        )
        _log(message).debug('refused: {}', reason)
        self.end_job(owned.ledger, record, answer)

    async def _answer(
        self, owned: _OwnedId, job_id: str, wait_ms: float
    ) -> JobAnswer:
        record = owned.ledger.find(owned.job_id.sequence)
        if record.answer is None and wait_ms > 0:
            end = self.end_futures.setdefault(
                job_id, asyncio.get_running_loop().create_future()
            )
            await asyncio.wait([end], timeout=wait_ms / 1000)
        if record.answer is None:
            return JobAnswer(job_id, '', task_count=record.task_count)
        return record.answer


def _log(message: JobMessage, peer: str = '') -> Any:
    request_id = getattr(message, 'request_id', '')
    return job_logger(request_id, message.job_id, 'coordinate', peer)


def _log_end(message: SubmitJob, answer: JobAnswer) -> None:
    log = _log(message, answer.peer)
    complete = answer.outcome == Outcome.COMPLETE
    (log.debug if complete else log.info)(
        'ended: {} {} {}', answer.outcome, answer.reason, answer.detail
    )


def _coordinator_lost_answer(ledger: Ledger, record: JobRecord) -> JobAnswer:
    job_id = mint_job_id(
        ledger.incarnation, record.sequence, record.customer, ledger.secret
    )
    return JobAnswer(
        str(job_id),
        Outcome.MAY_HAVE_RUN,
        Reason.COORDINATOR_LOST,
        task_count=record.task_count,
        step='coordinate',
    )


def _may_have_run_answer(message: JobMessage, reason: str) -> JobAnswer:
    return JobAnswer(
        message.job_id, Outcome.MAY_HAVE_RUN, reason, step='coordinate'
    )


def _answer_without_outcome(message: JobMessage, reason: str) -> JobAnswer:
    """Return an answer that decides nothing about the id."""
    return JobAnswer(message.job_id, '', reason, step='coordinate')


def _is_well_formed(message: SubmitJob) -> bool:
    indices = [spec.index for spec in message.tasks]
    return bool(indices) and indices == list(range(len(indices)))
