"""Processing of submissions from admission to the answer."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from limpetlanding.entry.admission import (
    AdmissionController,
    AdmittedJob,
    Refusal,
    job_deadline_ms,
)
from limpetlanding.entry.api import Submission
from limpetlanding.entry.auth import Contract
from limpetlanding.entry.minting import IdPool
from limpetlanding.entry.router import RequestCoalescer, Router
from limpetlanding.jobs import Outcome, Reason
from limpetlanding.telemetry.logs import job_logger
from limpetlanding.telemetry.traces import span
from limpetlanding.wire.job_messages import (
    CancelJob,
    JobAnswer,
    QueryJob,
    RefuseJob,
    SubmitJob,
)

_KNOWN_JOB_OUTCOMES = frozenset(('', Outcome.COMPLETE, Outcome.FAILED))


@dataclass(slots=True)
class SubmissionOptions:
    """Time limits of submissions, in seconds.

    Parameters
    ----------
    answer_margin_s : float
        How long the coordinator may take beyond the deadline of a job to
        determine the outcome of its tasks.
    mint_timeout_s : float
        Longest wait for an id block.
    max_tracking_s : float
        Longest time for which a job without a waiting caller is counted;
        the longest time that a coordinator keeps a job running.
    """

    answer_margin_s: float = 1
    mint_timeout_s: float = 1
    max_tracking_s: float = 600


class Submissions:
    """Processes the requests of callers.

    Parameters
    ----------
    router : Router
        Forwards requests to coordinators.
    mint : IdPool
        Pool of job ids.
    admission : AdmissionController
        Admission and placement.
    wait_for_block : callable
        Requests id blocks from agents and waits, for at most the given
        seconds, until one arrives.
    borrow : callable
        Tries to raise this entry's share of a customer's limit so that it
        covers a number of tasks; tells whether the share grew.
    options : SubmissionOptions, optional
        Time limits.
    """

    def __init__(
        self,
        router: Router,
        mint: IdPool,
        admission: AdmissionController,
        wait_for_block: Callable[[float], Awaitable[None]],
        borrow: Callable[[Contract, int], Awaitable[bool]],
        options: SubmissionOptions | None = None,
    ) -> None:
        self.router = router
        self.id_pool = mint
        self.admission = admission
        self.wait_for_block = wait_for_block
        self.borrow = borrow
        self.options = options or SubmissionOptions()
        self.coalescer = RequestCoalescer()
        self.trackers: set[asyncio.Task[None]] = set()
        self.on_placed: Callable[[int], None] = lambda _: None

    async def mint(self, contract: Contract, count: int) -> list[str]:
        """Return `count` fresh ids, or fewer if no more arrive in time."""
        ends_at = self.admission.clock() + self.options.mint_timeout_s
        ids: list[str] = []
        while len(ids) < count:
            job_id = self.id_pool.mint(
                contract.customer,
                self.admission.view.may_coordinate,
                self.admission.clock(),
            )
            if job_id is not None:
                ids.append(str(job_id))
                continue
            remaining_s = ends_at - self.admission.clock()
            if remaining_s <= 0:
                break
            await self.wait_for_block(remaining_s)
        return ids

    async def submit(
        self, contract: Contract, submission: Submission
    ) -> JobAnswer:
        """Run a job, or join it if it exists, and return the answer.

        Concurrent submissions of the same job under the same id share one
        answer.
        """
        refusal = self.admission.check_contract(contract, submission)
        if refusal is not None:
            # No decision was recorded for the id; it may be used again.
            return JobAnswer(
                submission.job_id or '',
                '',
                refusal.reason,
                detail=refusal.detail,
                step='admit',
            )
        if submission.job_id is None:
            ids = await self.mint(contract, 1)
            if not ids:
                return _no_coordinator()
            submission.job_id = ids[0]
        key = (
            contract.customer,
            submission.job_id,
            submission.body_digest,
            submission.wait,
        )
        answer = await self.coalescer.run(
            key, lambda: self._admit_and_run(contract, submission)
        )
        self.admission.count_answer(answer)
        _log_answer(submission, answer)
        return answer

    async def status(
        self, contract: Contract, job_id: str, wait_ms: float
    ) -> JobAnswer:
        """Return the state of a job; wait up to `wait_ms` for its outcome."""
        return await self.router.forward(
            QueryJob(job_id, contract.customer, wait_ms), wait_ms / 1000
        )

    async def cancel(
        self, contract: Contract, job_id: str, request_id: str
    ) -> JobAnswer:
        """Cancel the tasks of a job that have not started."""
        return await self.router.forward(
            CancelJob(job_id, contract.customer, request_id)
        )

    async def _admit_and_run(
        self, contract: Contract, submission: Submission
    ) -> JobAnswer:
        with span('admit', submission.traceparent) as current_span:
            decision = await self._admit(contract, submission)
            current_span.set_attributes(reason=getattr(decision, 'reason', ''))
        _log_decision(submission, decision)
        if isinstance(decision, Refusal):
            return await self._refuse(contract, submission, decision)
        return await self._run(submission, decision)

    async def _admit(
        self, contract: Contract, submission: Submission
    ) -> AdmittedJob | Refusal:
        decision = self.admission.admit(contract, submission)
        if (
            isinstance(decision, Refusal)
            and decision.reason == Reason.OVER_LIMIT
        ):
            wanted = self.admission.in_use(contract.customer) + len(
                submission.tasks
            )
            if await self.borrow(contract, wanted):
                return self.admission.admit(contract, submission)
        return decision

    async def _refuse(
        self, contract: Contract, submission: Submission, refusal: Refusal
    ) -> JobAnswer:
        """Let the coordinator record the refusal before the caller gets it.

        If the coordinator knows the job already, it answers with the record
        of the job instead. Without its answer it stays unknown whether the
        job runs.
        """
        answer = await self.router.forward(
            RefuseJob(
                submission.job_id or '',
                contract.customer,
                refusal.reason,
                refusal.retry_after_ms,
                submission.request_id,
            )
        )
        if answer.outcome == Outcome.NOT_RUN:
            answer.detail = answer.detail or refusal.detail
            answer.step = answer.step or 'admit'
        elif answer.outcome in _KNOWN_JOB_OUTCOMES and not _is_request_error(
            answer
        ):
            return await self._join(contract, submission)
        return answer

    async def _join(
        self, contract: Contract, submission: Submission
    ) -> JobAnswer:
        """Join a job that the coordinator knows.

        The message has no tasks, so it cannot start any. The coordinator
        compares the digest of the body.
        """
        deadline_ms = job_deadline_ms(contract, submission)
        wait_s = deadline_ms / 1000 if submission.wait else 0
        message = SubmitJob(
            submission.job_id or '',
            contract.customer,
            submission.body_digest,
            [],
            [],
            deadline_ms,
            submission.repeatable,
            wait_ms=wait_s * 1000,
            request_id=submission.request_id,
            traceparent=submission.traceparent,
        )
        return await self.router.forward(message, wait_s, len(submission.tasks))

    async def _run(
        self, submission: Submission, admitted: AdmittedJob
    ) -> JobAnswer:
        job_id = submission.job_id or ''
        wait_s = admitted.deadline_ms / 1000 + self.options.answer_margin_s
        initial_wait_s = wait_s if submission.wait else 0
        message = SubmitJob(
            job_id,
            admitted.customer,
            submission.body_digest,
            admitted.tasks,
            admitted.placements,
            admitted.deadline_ms,
            submission.repeatable,
            wait_ms=initial_wait_s * 1000,
            request_id=submission.request_id,
            traceparent=submission.traceparent,
        )
        self.admission.admitted_jobs[job_id] = admitted
        self.on_placed(len(admitted.tasks))
        answer = None
        try:
            answer = await self.router.forward(
                message, initial_wait_s, len(admitted.tasks)
            )
        finally:
            if (
                answer is not None
                and answer.outcome == ''
                and not answer.reason
            ):
                self._track(job_id, admitted, wait_s)
            else:
                self._job_ended(job_id, admitted, answer)
        return answer

    def _track(self, job_id: str, admitted: AdmittedJob, wait_s: float) -> None:
        """Count a job until it has ended, although its caller does not wait."""
        task = asyncio.create_task(
            self._wait_until_ended(job_id, admitted, wait_s)
        )
        self.trackers.add(task)
        task.add_done_callback(self.trackers.discard)

    async def _wait_until_ended(
        self, job_id: str, admitted: AdmittedJob, wait_s: float
    ) -> None:
        answer = None
        message = QueryJob(job_id, admitted.customer, wait_s * 1000)
        ends_at = self.admission.clock() + self.options.max_tracking_s
        try:
            while self.admission.clock() < ends_at:
                answer = await self.router.forward(
                    message, wait_s, len(admitted.tasks)
                )
                if answer.outcome or answer.reason:
                    break
        finally:
            self._job_ended(job_id, admitted, answer)

    def _job_ended(
        self, job_id: str, admitted: AdmittedJob, answer: JobAnswer | None
    ) -> None:
        if self.admission.admitted_jobs.get(job_id) is admitted:
            self.admission.admitted_jobs.pop(job_id)
        self.admission.job_ended(admitted, answer)


def _is_request_error(answer: JobAnswer) -> bool:
    """Tell whether the answer concerns only the request, not the job."""
    return answer.outcome == '' and bool(answer.reason)


def _log_answer(submission: Submission, answer: JobAnswer) -> None:
    log = job_logger(
        submission.request_id,
        submission.job_id or '',
        answer.step or 'answer',
        answer.peer,
    )
    # Writing a line costs 50 to 60 us, a tenth of the time that an entry
    # spends on a request, so complete jobs are logged only at DEBUG.
    is_routine = answer.outcome == Outcome.COMPLETE or not answer.reason
    (log.debug if is_routine else log.info)(
        'answered: {} {} {}',
        answer.outcome or 'undecided',
        answer.reason,
        answer.detail,
    )


def _log_decision(
    submission: Submission, decision: AdmittedJob | Refusal
) -> None:
    log = job_logger(submission.request_id, submission.job_id or '', 'admit')
    if isinstance(decision, Refusal):
        log.debug(
            'refused: {} {}, retry after {:.0f} ms',
            decision.reason,
            decision.detail,
            decision.retry_after_ms,
        )
        return
    log.opt(lazy=True).debug(
        'admitted: {} tasks on {}, predicted {:.0f} ms, deadline {:.0f} ms',
        lambda: len(decision.tasks),
        lambda: ', '.join(sorted({x.agent for x in decision.placements})),
        lambda: decision.predicted_ms,
        lambda: decision.deadline_ms,
    )


def _no_coordinator() -> JobAnswer:
    # The job has no id, so no coordinator can have received it.
    return JobAnswer(
        '',
        Outcome.NOT_RUN,
        Reason.ENDPOINT_AWAY,
        step='mint',
        detail='no agent that could coordinate the job is connected',
        retry_after_ms=1000,
    )
