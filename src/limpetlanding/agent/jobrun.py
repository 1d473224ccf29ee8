"""One running job: placement, reports, moves, failing fast."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from dataclasses import dataclass, field, replace
from itertools import groupby
from typing import Any, Protocol

from limpetlanding.agent.fates import (
    IDLE,
    PLACE_AGAIN_REASONS,
    PLACED,
    STARTED,
    Cause,
    Fate,
    checked,
    complete_answer,
    failed_answer,
    missing_reports,
)
from limpetlanding.agent.options import CoordinatorOptions
from limpetlanding.errors import LimpetlandingError, RequestTimeout
from limpetlanding.jobs import Reason, TaskState
from limpetlanding.telemetry import job_log
from limpetlanding.wire import (
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
    """The part of a channel that a job needs."""

    async def request(self, message: Any, timeout_s: float) -> Any:
        """Send a message and return the reply."""


@dataclass(slots=True)
class JobPorts:
    """How a job reaches other processes.

    `connect` raises `PeerLost` without having sent anything if the
    incarnation cannot be reached. `place` asks an entry for placements.
    """

    connect: Callable[[Placement], Awaitable[Peer]]
    place: Callable[[PlaceAgain, Any], Awaitable[Placements]]
    clock: Callable[[], float]


@dataclass(slots=True)
class _Group:
    placement: Placement
    indices: list[int]
    sent: bool = False


@dataclass(slots=True)
class _Flags:
    cancelled: bool = False
    placing: bool = False
    cause: Cause | None = None
    finished: bool = False


@dataclass(slots=True)
class JobRun:
    """Runs one job until its answer is known.

    Parameters
    ----------
    submit : SubmitJob
        The submission.
    entry : Peer or None
        Channel of the entry that sent it, asked first for new placements.
    on_end : callable
        Receives the final answer, once.
    """

    submit: SubmitJob
    entry: Peer | None
    ports: JobPorts
    options: CoordinatorOptions
    on_end: Callable[[JobAnswer], None]
    fates: dict[int, Fate] = field(init=False)
    groups: list[_Group] = field(default_factory=list)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    flags: _Flags = field(default_factory=_Flags)
    deadline: float = field(init=False)
    run_until: float = field(init=False)

    def __post_init__(self) -> None:
        self.fates = {spec.index: Fate(spec) for spec in self.submit.tasks}
        now = self.ports.clock()
        limit_s = min(self.submit.deadline_ms / 1000, self.options.max_job_s)
        self.deadline = now + limit_s
        self.run_until = now + self.options.max_job_s

    @property
    def left_s(self) -> float:
        """Seconds until the deadline, at least 0."""
        return max(0, self.deadline - self.ports.clock())

    def start(self) -> None:
        """Send the tasks to the executors that the entry chose."""
        self._launch(x for x in self.submit.placements if x.index in self.fates)
        self._advance()

    def on_reports(
        self, incarnation: str, reports: Iterable[TaskReport]
    ) -> None:
        """Apply reports of an executor.

        Reports about a task that is no longer at this executor are dropped,
        and so is everything that arrives after the answer.
        """
        for report in map(checked, reports):
            fate = self.fates.get(report.index)
            if fate is not None and fate.is_at(incarnation):
                self._apply(fate, report)
        self._advance()

    async def cancel(self) -> None:
        """Revoke what has not started.

        If every task has started already, the job goes on to its answer.
        """
        if self.flags.finished or self.flags.cause is not None:
            return
        self.flags.cancelled = True
        cause = Cause(Reason.CANCELLED, 'cancel')
        if self._withdraw_unsent() or self._with_state(IDLE):
            self._fail(cause)
            return
        await self._revoke(self._with_state(PLACED))

    async def move(self, placements: Iterable[Placement]) -> None:
        """Move tasks that have not started to other executors."""
        if self.flags.cancelled or self.flags.cause is not None:
            return
        moving = []
        for placement in placements:
            fate = self.fates.get(placement.index)
            if fate is None or not self._movable(fate, placement):
                continue
            fate.move_to = placement
            moving.append(fate)
        await self._revoke(moving)
        for fate in moving:
            # The executor started the task, or its answer is missing.
            fate.move_to = None

    def _movable(self, fate: Fate, placement: Placement) -> bool:
        return (
            fate.state == PLACED
            and fate.move_to is None
            and placement.incarnation not in fate.tried
            and len(fate.tried) < self.options.max_places
        )

    def _apply(self, fate: Fate, report: TaskReport) -> None:
        agent = fate.placement.agent if fate.placement else ''
        cause = Cause(report.reason, 'run', agent, report.detail, report.blame)
        match report.state:
            case TaskState.DONE:
                fate.state = TaskState.DONE
                fate.result = report.result
            case TaskState.ERROR:
                fate.state = TaskState.ERROR
                cause.reason = report.reason or Reason.TASK_ERROR
                self._fail(cause)
            case TaskState.UNKNOWN:
                fate.state = TaskState.UNKNOWN
                self._fail(cause)
            case TaskState.NOT_STARTED:
                self._not_started(fate, cause)

    def _not_started(self, fate: Fate, cause: Cause) -> None:
        if self.flags.cause is not None:
            fate.state = TaskState.NOT_STARTED
        elif self.flags.cancelled:
            fate.state = TaskState.NOT_STARTED
            self._fail(Cause(Reason.CANCELLED, 'cancel'))
        elif fate.move_to is not None:
            self._log('move', fate.move_to.agent).debug(
                'task {} moves', fate.spec.index
            )
            self._launch([fate.move_to])
        elif cause.reason in PLACE_AGAIN_REASONS and self._may_place(fate):
            self._log('place', cause.peer).debug(
                'task {} not started: {}; placed again',
                fate.spec.index,
                cause.reason,
            )
            fate.state = IDLE
        else:
            fate.state = TaskState.NOT_STARTED
            self._fail(cause)

    def _may_place(self, fate: Fate) -> bool:
        return len(fate.tried) < self.options.max_places and self.left_s > 0

    def _advance(self) -> None:
        if self.flags.finished:
            return
        if self.flags.cause is None and self._with_state(IDLE):
            if not self.flags.placing:
                self.flags.placing = True
                self._spawn(self._place_idle())
        elif len(self._with_state(TaskState.DONE)) == len(self.fates):
            self._finish(complete_answer(self.submit.job_id, self._all()))

    def _all(self) -> list[Fate]:
        return list(self.fates.values())

    def _with_state(self, state: str) -> list[Fate]:
        return [fate for fate in self.fates.values() if fate.state == state]

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _launch(self, placements: Iterable[Placement]) -> None:
        # Two placements of one task would be two starts.
        by_index = {placement.index: placement for placement in placements}
        by_incarnation = sorted(by_index.values(), key=_incarnation)
        for _, members in groupby(by_incarnation, key=_incarnation):
            placed = list(members)
            for placement in placed:
                self.fates[placement.index].place(placement)
            group = _Group(placed[0], [x.index for x in placed])
            self.groups.append(group)
            self._spawn(self._run_group(group))

    async def _run_group(self, group: _Group) -> None:
        incarnation = group.placement.incarnation
        try:
            async with asyncio.timeout(self.left_s):
                peer = await self.ports.connect(group.placement)
        except (LimpetlandingError, OSError) as error:
            # TimeoutError is an OSError. Nothing was sent.
            late = self.left_s <= 0
            state = TaskState.NOT_STARTED
            reason = Reason.DEADLINE if late else Reason.AGENT_LOST
            self.on_reports(
                incarnation,
                [
                    TaskReport(index, state, reason, detail=str(error))
                    for index in group.indices
                ],
            )
            return
        specs = self._specs_at(group)
        if specs:
            self.on_reports(incarnation, await self._run_at(peer, group, specs))

    def _specs_at(self, group: _Group) -> list[TaskSpec]:
        fates = [self.fates[index] for index in group.indices]
        incarnation = group.placement.incarnation
        return [fate.spec for fate in fates if fate.is_at(incarnation)]

    async def _run_at(
        self, peer: Peer, group: _Group, specs: list[TaskSpec]
    ) -> list[TaskReport]:
        # A task that has started is awaited beyond the deadline: a late
        # result tells the caller what happened, giving up does not.
        run_limit_s = max(self.run_until - self.ports.clock(), 0)
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
            reply = await self._reports_of(peer, message)
        except RequestTimeout:
            reason = Reason.DEADLINE
        except LimpetlandingError:
            reason = Reason.AGENT_LOST
        else:
            reports = reply.reports
        return reports + missing_reports(group.indices, reports, reason)

    async def _reports_of(self, peer: Peer, message: RunTasks) -> Any:
        """Return the executor's reply, however late the tasks end.

        Raises
        ------
        RequestTimeout
            If the deadline has passed and the executor is silent, or if the
            job has reached its longest time.
        """
        wait_s = self.left_s + self.options.answer_grace_s
        was_silent = False
        while True:
            try:
                return await peer.request(message, wait_s)
            except RequestTimeout:
                # One silent moment may be a link that is being replaced.
                silent = bool(getattr(peer, 'suspect', False))
                late = self.ports.clock() >= self.run_until
                if late or (silent and was_silent):
                    raise
            was_silent = silent
            wait_s = self.options.late_check_s
            # The executor joins a repeat to the running tasks, and starts
            # none that it does not know, since no time is left.
            message = replace(message, deadline_ms=0)

    async def _place_idle(self) -> None:
        fates = self._with_state(IDLE)
        message = PlaceAgain(
            self.submit.job_id,
            self.submit.customer,
            [fate.spec for fate in fates],
            sorted({name for fate in fates for name in fate.tried_agents}),
            self.left_s * 1000,
        )
        try:
            reply = await self.ports.place(message, self.entry)
        except LimpetlandingError as error:
            reply = Placements([], Reason.ENDPOINT_AWAY)
            cause = Cause(reply.reason, 'place', error.peer, error.detail)
        else:
            cause = Cause(reply.reason or Reason.ENDPOINT_AWAY, 'place')
        self.flags.placing = False
        if self.flags.cause is None:
            self._launch(
                placement
                for placement in reply.placements
                if self._is_for(fates, placement)
            )
            if any(fate.state == IDLE for fate in fates):
                self._fail(cause)
            self._advance()

    def _is_for(self, fates: list[Fate], placement: Placement) -> bool:
        fate = self.fates.get(placement.index)
        return (
            fate in fates
            and fate.state == IDLE
            and placement.incarnation not in fate.tried
        )

    def _withdraw_unsent(self) -> bool:
        # Tasks for which no RunTasks was sent are proven not started.
        withdrawn = [
            self.fates[index]
            for group in self.groups
            for index in group.indices
            if not group.sent
            and self.fates[index].is_at(group.placement.incarnation)
        ]
        for fate in withdrawn:
            fate.state = TaskState.NOT_STARTED
        return bool(withdrawn)

    def _fail(self, cause: Cause) -> None:
        if self.flags.cause is not None:
            return
        self.flags.cause = cause
        for fate in self._with_state(IDLE):
            fate.state = TaskState.NOT_STARTED
        self._withdraw_unsent()
        self._spawn(self._settle(cause))

    async def _settle(self, cause: Cause) -> None:
        await self._revoke(self._with_state(PLACED))
        self._finish(failed_answer(self.submit.job_id, self._all(), cause))

    async def _revoke(self, fates: list[Fate]) -> None:
        placed = [fate.placement for fate in fates if fate.placement]
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
            peer = await self.ports.connect(target)
            reply = await peer.request(message, self.options.revoke_timeout_s)
        except LimpetlandingError:
            self._unconfirmed(target.incarnation, indices, TaskState.UNKNOWN)
            return
        self._log('revoke', target.agent).debug(
            'revoked tasks {} of {}', reply.indices, indices
        )
        state, reason = TaskState.NOT_STARTED, Reason.CANCELLED
        self.on_reports(
            target.incarnation,
            [TaskReport(index, state, reason) for index in reply.indices],
        )
        self._unconfirmed(target.incarnation, indices, STARTED)

    def _unconfirmed(
        self, incarnation: str, indices: list[int], state: str
    ) -> None:
        # While the job can still become complete, the report is awaited.
        if self.flags.cause is None:
            return
        for index in indices:
            if self.fates[index].is_at(incarnation):
                self.fates[index].state = state

    def _log(self, step: str, peer: str) -> Any:
        return job_log(self.submit.request_id, self.submit.job_id, step, peer)

    def _finish(self, answer: JobAnswer) -> None:
        if self.flags.finished:
            return
        self.flags.finished = True
        for task in self.tasks - {asyncio.current_task()}:
            task.cancel()
        self.on_end(answer)


def _incarnation(placement: Placement) -> str:
    return placement.incarnation
