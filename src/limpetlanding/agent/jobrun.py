"""Coordination of a running job: its tasks are sent, moved and revoked."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from dataclasses import dataclass, field, replace
from itertools import groupby
from typing import Any, Protocol

from limpetlanding.agent.options import CoordinatorOptions
from limpetlanding.agent.tracked_tasks import (
    PLACE_AGAIN_REASONS,
    PLACED,
    STARTED,
    UNPLACED,
    FailureCause,
    TrackedTask,
    complete_answer,
    failed_answer,
    missing_reports,
    validated,
)
from limpetlanding.errors import LimpetlandingError, RequestTimeout
from limpetlanding.jobs import Reason, TaskState
from limpetlanding.telemetry.logs import job_logger
from limpetlanding.wire.job_messages import (
    JobAnswer,
    PlaceAgain,
    Placement,
    Placements,
    RevokeTasks,
    RunTasks,
    SubmitJob,
    TaskReport,
    TaskSpec,
)


class Peer(Protocol):
    """The method of a channel that a job uses."""

    async def request(self, message: Any, timeout_s: float) -> Any:
        """Send a message and return the reply."""


@dataclass(slots=True)
class JobInterfaces:
    """How a job reaches other processes.

    `connect` raises `PeerLost` or `RequestTimeout` if the incarnation cannot be
    reached; nothing has been sent then. `place` asks an entry for placements.
    `clock` returns monotonic seconds.
    """

    connect: Callable[[Placement], Awaitable[Peer]]
    place: Callable[[PlaceAgain, Any], Awaitable[Placements]]
    clock: Callable[[], float]


@dataclass(slots=True)
class _PlacementGroup:
    placement: Placement
    indices: list[int]
    sent: bool = False


@dataclass(slots=True)
class _RunState:
    cancelled: bool = False
    placing: bool = False
    cause: FailureCause | None = None
    finished: bool = False


@dataclass(slots=True)
class JobRun:
    """Runs one job until its answer is known.

    Once one task has failed, the job can no longer become complete: all tasks
    that have not started are revoked and the job is answered at once.
    `deadline` and `run_until` are on the clock of `interfaces`; started tasks
    are awaited until `run_until`.

    Parameters
    ----------
    submit : SubmitJob
        The submission.
    entry : Peer or None
        Channel of the entry that sent the submission; it is asked first for
        new placements.
    on_end : callable
        Called once, with the final answer.
    """

    submit: SubmitJob
    entry: Peer | None
    interfaces: JobInterfaces
    options: CoordinatorOptions
    on_end: Callable[[JobAnswer], None]
    tracked_tasks: dict[int, TrackedTask] = field(init=False)
    groups: list[_PlacementGroup] = field(default_factory=list)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    state: _RunState = field(default_factory=_RunState)
    deadline: float = field(init=False)
    run_until: float = field(init=False)

    def __post_init__(self) -> None:
        self.tracked_tasks = {
            spec.index: TrackedTask(spec) for spec in self.submit.tasks
        }
        now = self.interfaces.clock()
        limit_s = min(self.submit.deadline_ms / 1000, self.options.max_job_s)
        self.deadline = now + limit_s
        self.run_until = now + self.options.max_job_s

    @property
    def left_s(self) -> float:
        """Seconds until the deadline, 0 if it has passed."""
        return max(0, self.deadline - self.interfaces.clock())

    def start(self) -> None:
        """Send the tasks to the executors that the entry selected."""
        self._start_groups(
            x for x in self.submit.placements if x.index in self.tracked_tasks
        )
        self._place_or_finish()

    def on_reports(
        self, incarnation: str, reports: Iterable[TaskReport]
    ) -> None:
        """Apply reports of an executor.

        A report is ignored if the task is no longer placed at this executor
        or if the job has been answered.
        """
        for report in map(validated, reports):
            task = self.tracked_tasks.get(report.index)
            if task is not None and task.is_placed_at(incarnation):
                self._apply(task, report)
        self._place_or_finish()

    async def cancel(self) -> None:
        """Revoke the tasks that have not started.

        If every task has started, the job continues and is answered as usual.
        """
        if self.state.finished or self.state.cause is not None:
            return
        self.state.cancelled = True
        cause = FailureCause(Reason.CANCELLED, 'cancel')
        if self._withdraw_unsent() or self._with_state(UNPLACED):
            self._fail(cause)
            return
        await self._revoke(self._with_state(PLACED))

    async def move(self, placements: Iterable[Placement]) -> None:
        """Move tasks that have not started to other executors."""
        if self.state.cancelled or self.state.cause is not None:
            return
        moving = []
        for placement in placements:
            task = self.tracked_tasks.get(placement.index)
            if task is None or not self._can_move(task, placement):
                continue
            task.move_to = placement
            moving.append(task)
        await self._revoke(moving)
        for task in moving:
            # Still set if the task has started or no reply arrived.
            task.move_to = None

    def _can_move(self, task: TrackedTask, placement: Placement) -> bool:
        return (
            task.state == PLACED
            and task.move_to is None
            and placement.incarnation not in task.tried_incarnations
            and len(task.tried_incarnations) < self.options.max_placements
        )

    def _apply(self, task: TrackedTask, report: TaskReport) -> None:
        agent = task.placement.agent if task.placement else ''
        cause = FailureCause(
            report.reason, 'run', agent, report.detail, report.blame
        )
        match report.state:
            case TaskState.DONE:
                task.state = TaskState.DONE
                task.result = report.result
            case TaskState.ERROR:
                task.state = TaskState.ERROR
                cause.reason = report.reason or Reason.TASK_ERROR
                self._fail(cause)
            case TaskState.UNKNOWN:
                task.state = TaskState.UNKNOWN
                self._fail(cause)
            case TaskState.NOT_STARTED:
                self._on_not_started(task, cause)

    def _on_not_started(self, task: TrackedTask, cause: FailureCause) -> None:
        if self.state.cause is not None:
            task.state = TaskState.NOT_STARTED
        elif self.state.cancelled:
            task.state = TaskState.NOT_STARTED
            self._fail(FailureCause(Reason.CANCELLED, 'cancel'))
        elif task.move_to is not None:
            self._log('move', task.move_to.agent).debug(
                'task {} is moved', task.spec.index
            )
            self._start_groups([task.move_to])
        elif cause.reason in PLACE_AGAIN_REASONS and self._can_place_again(
            task
        ):
            self._log('place', cause.peer).debug(
                'task {} not started: {}; it is placed again',
                task.spec.index,
                cause.reason,
            )
            task.state = UNPLACED
        else:
            task.state = TaskState.NOT_STARTED
            self._fail(cause)

    def _can_place_again(self, task: TrackedTask) -> bool:
        return (
            len(task.tried_incarnations) < self.options.max_placements
            and self.left_s > 0
        )

    def _place_or_finish(self) -> None:
        if self.state.finished:
            return
        if self.state.cause is None and self._with_state(UNPLACED):
            if not self.state.placing:
                self.state.placing = True
                self._spawn(self._place_unplaced())
        elif len(self._with_state(TaskState.DONE)) == len(self.tracked_tasks):
            self._finish(complete_answer(self.submit.job_id, self._all_tasks()))

    def _all_tasks(self) -> list[TrackedTask]:
        return list(self.tracked_tasks.values())

    def _with_state(self, state: str) -> list[TrackedTask]:
        return [
            task for task in self.tracked_tasks.values() if task.state == state
        ]

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _start_groups(self, placements: Iterable[Placement]) -> None:
        # Sending one task to two placements would start it twice.
        by_index = {placement.index: placement for placement in placements}
        by_incarnation = sorted(by_index.values(), key=_incarnation)
        for _, members in groupby(by_incarnation, key=_incarnation):
            placed = list(members)
            for placement in placed:
                self.tracked_tasks[placement.index].place(placement)
            group = _PlacementGroup(placed[0], [x.index for x in placed])
            self.groups.append(group)
            self._spawn(self._run_group(group))

    async def _run_group(self, group: _PlacementGroup) -> None:
        incarnation = group.placement.incarnation
        try:
            async with asyncio.timeout(self.left_s):
                peer = await self.interfaces.connect(group.placement)
        except (LimpetlandingError, OSError) as error:
            # OSError includes TimeoutError. Nothing has been sent.
            is_late = self.left_s <= 0
            state = TaskState.NOT_STARTED
            reason = Reason.DEADLINE if is_late else Reason.AGENT_LOST
            self.on_reports(
                incarnation,
                [
                    TaskReport(index, state, reason, detail=str(error))
                    for index in group.indices
                ],
            )
            return
        specs = self._specs_to_send(group)
        if specs:
            self.on_reports(incarnation, await self._run_at(peer, group, specs))

    def _specs_to_send(self, group: _PlacementGroup) -> list[TaskSpec]:
        tracked_tasks = [self.tracked_tasks[index] for index in group.indices]
        incarnation = group.placement.incarnation
        return [
            task.spec
            for task in tracked_tasks
            if task.is_placed_at(incarnation)
        ]

    async def _run_at(
        self, peer: Peer, group: _PlacementGroup, specs: list[TaskSpec]
    ) -> list[TaskReport]:
        # Started tasks are awaited beyond the deadline: a late result gives the
        # caller a definite outcome, which a time-out would not.
        run_limit_s = max(self.run_until - self.interfaces.clock(), 0)
        message = RunTasks(
            self.submit.job_id,
            group.placement.incarnation,
            self.submit.customer,
            specs,
            self.left_s * 1000,
            self.submit.weight,
            self.submit.request_id,
            self.submit.traceparent,
            run_limit_s * 1000,
        )
        group.sent = True
        self._log('place', group.placement.agent).debug(
            'sent tasks {}', group.indices
        )
        reports: list[TaskReport] = []
        reason = Reason.AGENT_LOST
        try:
            reply = await self._request_reports(peer, message)
        except RequestTimeout:
            reason = Reason.DEADLINE
        except LimpetlandingError:
            reason = Reason.AGENT_LOST
        else:
            reports = reply.reports
        return reports + missing_reports(group.indices, reports, reason)

    async def _request_reports(self, peer: Peer, message: RunTasks) -> Any:
        """Return the executor's reply, also if tasks end after the deadline.

        Raises
        ------
        RequestTimeout
            If the deadline has passed and the executor was silent in two
            successive attempts, or if the job has reached `max_job_s`.
        """
        wait_s = self.left_s + self.options.answer_grace_s
        was_silent = False
        while True:
            try:
                return await peer.request(message, wait_s)
            except RequestTimeout:
                # The link may be just being replaced, so the executor counts
                # as silent only if it is suspect twice in a row.
                silent = bool(getattr(peer, 'suspect', False))
                is_late = self.interfaces.clock() >= self.run_until
                if is_late or (silent and was_silent):
                    raise
            was_silent = silent
            wait_s = self.options.late_poll_interval_s
            # The executor answers a repeated request when the tasks it already
            # has end. With a deadline of 0 it starts no further tasks.
            message = replace(message, deadline_ms=0)

    async def _place_unplaced(self) -> None:
        unplaced = self._with_state(UNPLACED)
        message = PlaceAgain(
            self.submit.job_id,
            self.submit.customer,
            [task.spec for task in unplaced],
            sorted({name for task in unplaced for name in task.tried_agents}),
            self.left_s * 1000,
        )
        try:
            reply = await self.interfaces.place(message, self.entry)
        except LimpetlandingError as error:
            reply = Placements([], Reason.ENDPOINT_AWAY)
            cause = FailureCause(
                reply.reason, 'place', error.peer, error.detail
            )
        else:
            cause = FailureCause(reply.reason or Reason.ENDPOINT_AWAY, 'place')
        self.state.placing = False
        if self.state.cause is None:
            self._start_groups(
                placement
                for placement in reply.placements
                if self._is_usable(unplaced, placement)
            )
            if any(task.state == UNPLACED for task in unplaced):
                self._fail(cause)
            self._place_or_finish()

    def _is_usable(
        self, unplaced: list[TrackedTask], placement: Placement
    ) -> bool:
        task = self.tracked_tasks.get(placement.index)
        return (
            task in unplaced
            and task.state == UNPLACED
            and placement.incarnation not in task.tried_incarnations
        )

    def _withdraw_unsent(self) -> bool:
        # A task is proven not started if no RunTasks was sent for it.
        withdrawn = [
            self.tracked_tasks[index]
            for group in self.groups
            for index in group.indices
            if not group.sent
            and self.tracked_tasks[index].is_placed_at(
                group.placement.incarnation
            )
        ]
        for task in withdrawn:
            task.state = TaskState.NOT_STARTED
        return bool(withdrawn)

    def _fail(self, cause: FailureCause) -> None:
        if self.state.cause is not None:
            return
        self.state.cause = cause
        for task in self._with_state(UNPLACED):
            task.state = TaskState.NOT_STARTED
        self._withdraw_unsent()
        self._spawn(self._revoke_and_fail(cause))

    async def _revoke_and_fail(self, cause: FailureCause) -> None:
        await self._revoke(self._with_state(PLACED))
        self._finish(
            failed_answer(self.submit.job_id, self._all_tasks(), cause)
        )

    async def _revoke(self, tracked_tasks: list[TrackedTask]) -> None:
        placed = [task.placement for task in tracked_tasks if task.placement]
        by_incarnation = sorted(placed, key=_incarnation)
        await asyncio.gather(
            *(
                self._revoke_at(list(members))
                for _, members in groupby(by_incarnation, key=_incarnation)
            )
        )

    async def _revoke_at(self, placements: list[Placement]) -> None:
        target = placements[0]
        indices = [placement.index for placement in placements]
        message = RevokeTasks(self.submit.job_id, target.incarnation, indices)
        try:
            peer = await self.interfaces.connect(target)
            reply = await peer.request(message, self.options.revoke_timeout_s)
        except LimpetlandingError:
            self._mark_unconfirmed(
                target.incarnation, indices, TaskState.UNKNOWN
            )
            return
        self._log('revoke', target.agent).debug(
            'revoked tasks {} of {}', reply.indices, indices
        )
        state, reason = TaskState.NOT_STARTED, Reason.CANCELLED
        self.on_reports(
            target.incarnation,
            [TaskReport(index, state, reason) for index in reply.indices],
        )
        self._mark_unconfirmed(target.incarnation, indices, STARTED)

    def _mark_unconfirmed(
        self, incarnation: str, indices: list[int], state: str
    ) -> None:
        # A job that has not failed waits for the report instead.
        if self.state.cause is None:
            return
        for index in indices:
            if self.tracked_tasks[index].is_placed_at(incarnation):
                self.tracked_tasks[index].state = state

    def _log(self, step: str, peer: str) -> Any:
        return job_logger(
            self.submit.request_id, self.submit.job_id, step, peer
        )

    def _finish(self, answer: JobAnswer) -> None:
        if self.state.finished:
            return
        self.state.finished = True
        for task in self.tasks - {asyncio.current_task()}:
            task.cancel()
        self.on_end(answer)


def _incarnation(placement: Placement) -> str:
    return placement.incarnation
