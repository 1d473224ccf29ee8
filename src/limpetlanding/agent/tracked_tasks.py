"""State of the tasks of a running job, and answers made from it."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from limpetlanding.jobs import Outcome, Reason, TaskState, payloads_digest
from limpetlanding.wire.job_messages import (
    JobAnswer,
    Placement,
    TaskReport,
    TaskResult,
    TaskSpec,
)

# States in addition to those that an executor reports.
# The task waits for a placement.
UNPLACED = 'idle'
# The task was assigned to an executor that has not sent a final report.
PLACED = 'placed'
# The executor did not confirm the revocation: the task has started.
STARTED = 'started'

MAX_ANSWER_BYTES = 3 * 1024 * 1024

PLACE_AGAIN_REASONS = frozenset(
    (
        Reason.NO_ENDPOINT,
        Reason.ENDPOINT_AWAY,
        Reason.STOPPING,
        Reason.TOO_LARGE,
        Reason.AGENT_LOST,
        Reason.CANCELLED,
        Reason.OVERLOAD,
    )
)


@dataclass(slots=True)
class TrackedTask:
    """State of one task at the coordinator.

    `tried_incarnations` holds the agent incarnations that the task was placed
    at. A task is never placed twice at the same incarnation, because an
    executor's report on a task is final. `move_to` is the placement to use
    once the pending revocation is confirmed.
    """

    spec: TaskSpec
    state: str = UNPLACED
    placement: Placement | None = None
    move_to: Placement | None = None
    result: TaskResult | None = None
    tried_incarnations: set[str] = field(default_factory=set)
    tried_agents: set[str] = field(default_factory=set)

    def place(self, placement: Placement) -> None:
        """Record that the task is being sent to an executor."""
        self.state = PLACED
        self.placement = placement
        self.move_to = None
        self.tried_incarnations.add(placement.incarnation)
        self.tried_agents.add(placement.agent)

    def is_placed_at(self, incarnation: str) -> bool:
        """Whether the task is assigned to this executor and has not ended."""
        return (
            self.state == PLACED
            and self.placement is not None
            and self.placement.incarnation == incarnation
        )


@dataclass(slots=True)
class FailureCause:
    """Why a job failed."""

    reason: str
    step: str
    peer: str = ''
    detail: str = ''
    blame: str = ''


def validated(report: TaskReport) -> TaskReport:
    """Return the report, or one of state unknown if it is inconsistent.

    This keeps a result that belongs to another task out of the answer.
    """
    if report.state != TaskState.DONE:
        return report
    if report.result is not None and report.result.index == report.index:
        return report
    return TaskReport(
        report.index,
        TaskState.UNKNOWN,
        Reason.MALFORMED,
        detail='the result is missing or belongs to another task',
    )


def missing_reports(
    indices: Iterable[int], reports: Iterable[TaskReport], reason: str
) -> list[TaskReport]:
    """Return reports of state unknown for the indices without a report."""
    known = {report.index for report in reports}
    return [
        TaskReport(index, TaskState.UNKNOWN, reason)
        for index in indices
        if index not in known
    ]


def complete_answer(
    job_id: str, tracked_tasks: Iterable[TrackedTask]
) -> JobAnswer:
    """Return the answer of a job whose tasks are all done.

    If the results together exceed one frame, they cannot be sent to the
    caller, and the job counts as failed.
    """
    ordered = sorted(tracked_tasks, key=lambda task: task.spec.index)
    results = [task.result for task in ordered if task.result is not None]
    if sum(len(result.payload) for result in results) > MAX_ANSWER_BYTES:
        cause = FailureCause(
            Reason.TOO_LARGE,
            'answer',
            detail=f'the results exceed {MAX_ANSWER_BYTES} bytes together',
        )
        return failed_answer(job_id, ordered, cause)
    return JobAnswer(
        job_id,
        Outcome.COMPLETE,
        task_count=len(results),
        digest=payloads_digest(result.payload for result in results),
        results=results,
    )


def failed_answer(
    job_id: str, tracked_tasks: Iterable[TrackedTask], cause: FailureCause
) -> JobAnswer:
    """Return the answer of a job that cannot become complete.

    The outcome is ``not_run`` only if every task is proven not started. It
    is ``may_have_run`` if the state of at least one task is unknown, and
    ``failed`` otherwise.
    """
    states = [task.state for task in tracked_tasks]
    if all(state == TaskState.NOT_STARTED for state in states):
        outcome = Outcome.NOT_RUN
    elif TaskState.UNKNOWN in states:
        outcome = Outcome.MAY_HAVE_RUN
    else:
        outcome = Outcome.FAILED
    return JobAnswer(
        job_id,
        outcome,
        cause.reason,
        task_count=len(states),
        step=cause.step,
        peer=cause.peer,
        detail=cause.detail,
        blame=cause.blame,
    )
