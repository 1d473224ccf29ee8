"""Queue of tasks, and their calls at the endpoints of this agent."""

import asyncio
from collections import Counter
from collections.abc import Callable, Container, Hashable
from dataclasses import dataclass, field
from typing import Any, Protocol

from limpetlanding.agent.calls import Call, Caller
from limpetlanding.agent.endpoints import Endpoint, Endpoints
from limpetlanding.agent.options import ExecutorOptions
from limpetlanding.agent.seen_tasks import SeenTasks, TaskKey
from limpetlanding.agent.tracked_tasks import MAX_ANSWER_BYTES
from limpetlanding.errors import PeerLost
from limpetlanding.jobs import Reason, TaskState
from limpetlanding.policy.queueing import QueuedTask
from limpetlanding.telemetry.logs import job_logger
from limpetlanding.telemetry.traces import record_span, span
from limpetlanding.wire.job_messages import (
    LoadReport,
    Revoked,
    RevokeTasks,
    RunTasks,
    TaskReport,
    TaskReports,
)

Notify = Callable[[TaskReports], None]


class Queue(Protocol):
    """Queue of the executor; see ``policy.queueing``."""

    queued_short_ms: float
    queued_long_ms: float
    long_busy: int

    def __len__(self) -> int: ...

    def push(self, task: QueuedTask, now: float) -> None:
        """Queue a task."""

    def pop(
        self, now: float, kinds: Container[str] | None = None
    ) -> QueuedTask | None:
        """Remove and return the next task to start."""

    def remove(self, key: Hashable) -> QueuedTask | None:
        """Remove a task that is still queued."""

    def finished(self, key: Hashable) -> None:
        """Record that a popped task no longer runs."""

    def resize(self, slots: int, speed: float) -> None:
        """Set the number of slots and their mean speed."""


@dataclass(slots=True)
class _PendingRequest:
    """A `RunTasks` request that has not been answered yet."""

    remaining: set[int]
    notify: Notify
    ended: asyncio.Future[None]


@dataclass(slots=True)
class _Queued:
    """A queued task with its request and deadline timer.

    `queued` is the item in the queue. `queued_at` is when the task was queued,
    and `run_until` is when the agent stops waiting for it once it has started;
    both are in monotonic seconds.
    """

    message: RunTasks
    queued: QueuedTask
    queued_at: float
    deadline_timer: asyncio.TimerHandle
    run_until: float


@dataclass(slots=True)
class Executor:
    """Starts tasks at the endpoints of this agent, each at most once.

    A task is marked as seen before anything else is done with it, and a seen
    task is never queued again. A revocation also marks its tasks as seen, so
    it is effective even if it overtakes its `RunTasks`.

    `waiting` holds, by job id, the requests that have not been answered, and
    `queued` the tasks that have not started. `running` holds the asyncio tasks
    of the calls at endpoints.
    """

    incarnation: str
    endpoints: Endpoints
    caller: Caller
    queue: Queue
    clock: Callable[[], float]
    options: ExecutorOptions = field(default_factory=ExecutorOptions)
    on_load_change: Callable[[], None] = lambda: None
    seen_tasks: SeenTasks = field(init=False)
    waiting: dict[str, list[_PendingRequest]] = field(default_factory=dict)
    queued: dict[TaskKey, _Queued] = field(default_factory=dict)
    running: set[asyncio.Task[None]] = field(default_factory=set)
    counters: Counter[str] = field(default_factory=Counter)
    draining: bool = False

    def __post_init__(self) -> None:
        self.seen_tasks = SeenTasks(self.options)

    @property
    def idle(self) -> bool:
        """Whether no task is queued or running."""
        return not self.queued and not self.running

    async def run(self, message: RunTasks, notify: Notify) -> TaskReports:
        """Queue the tasks not seen before; return when all tasks have ended.

        Parameters
        ----------
        notify : callable
            Called with reports of tasks that fail before the last one ends.

        Raises
        ------
        PeerLost
            If the message is for another incarnation, whose tasks are unknown
            here.
        """
        self._check_target(message.target_incarnation, 'run')
        for spec in message.tasks:
            key = (message.job_id, spec.index)
            if self.seen_tasks.mark_seen(key):
                self.counters['tasks_received'] += 1
                self._accept(message, key, spec)
        indices = [spec.index for spec in message.tasks]
        remaining = {
            index
            for index in indices
            if self.seen_tasks.report((message.job_id, index)) is None
        }
        if remaining:
            await self._wait_until_ended(message.job_id, remaining, notify)
        return TaskReports(
            message.job_id,
            _limit_result_bytes(
                [
                    self._final_report((message.job_id, index))
                    for index in indices
                ]
            ),
        )

    def revoke(self, message: RevokeTasks) -> Revoked:
        """Revoke tasks; confirm those that have not started and never will."""
        self._check_target(message.target_incarnation, 'revoke')
        confirmed = []
        for index in message.indices:
            key = (message.job_id, index)
            if self.seen_tasks.mark_seen(key) or key in self.queued:
                self._end_not_started(key, Reason.CANCELLED)
            report = self.seen_tasks.report(key)
            if report and report.state == TaskState.NOT_STARTED:
                confirmed.append(index)
        self.on_load_change()
        return Revoked(message.job_id, confirmed)

    def start_queued_tasks(self) -> None:
        """Start queued tasks while an endpoint has a free slot."""
        self.queue.resize(self.endpoints.slots, self.endpoints.speed)
        too_large = []
        while len(self.queue):
            now = self.clock()
            kinds = self.endpoints.free_kinds()
            task = self.queue.pop(now, kinds) if kinds else None
            if task is None:
                break
            queued = self.queued[task.key]
            spec = queued.queued.item
            endpoint = self.endpoints.pick(spec.kind, spec.size)
            if task.deadline <= now:
                self.queue.finished(task.key)
                self._end_not_started(task.key, Reason.DEADLINE)
            elif endpoint is None:
                self.queue.finished(task.key)
                too_large.append(task)
            else:
                self._start(task.key, endpoint)
        for task in too_large:
            self.queue.push(task, self.clock())
        self.on_load_change()

    def endpoints_changed(self) -> None:
        """End queued tasks whose kind no endpoint serves, and start others."""
        for key, queued in list(self.queued.items()):
            spec = queued.queued.item
            if not self.endpoints.serves_kind(spec.kind):
                self._end_not_started(key, Reason.ENDPOINT_AWAY)
        self.start_queued_tasks()

    def drain(self) -> None:
        """Accept no further tasks; queued and running tasks are completed."""
        self.draining = True

    def return_queued_tasks(self) -> None:
        """End all queued tasks as not started."""
        for key in list(self.queued):
            self._end_not_started(key, Reason.STOPPING)

    def tick(self) -> None:
        """Do the periodic work: expire leases and seen tasks."""
        self.seen_tasks.tick(self.clock())
        self.endpoints.expire()
        self.endpoints_changed()

    def load(self) -> LoadReport:
        """Return the load that is reported to the entries."""
        return LoadReport(
            self.endpoints.loads(),
            round(self.queue.queued_short_ms, 1),
            round(self.queue.queued_long_ms, 1),
            len(self.queue),
            self.queue.long_busy,
            self.counters['tasks_received'],
            self.draining,
        )

    def _check_target(self, target: str, step: str) -> None:
        if target != self.incarnation:
            self.counters['messages_for_other_incarnations'] += 1
            raise PeerLost(f'incarnation {target} does not run here', step=step)

    def _accept(self, message: RunTasks, key: TaskKey, spec: Any) -> None:
        reason = self._refusal_reason(message, spec)
        if reason:
            _log(message, 'queue').debug('task {} refused: {}', key[1], reason)
            self._end(key, TaskReport(key[1], TaskState.NOT_STARTED, reason))
            return
        now = self.clock()
        left_s = message.deadline_ms / 1000
        task = QueuedTask(
            key,
            message.customer,
            spec.kind,
            spec.expected_ms,
            now + left_s,
            message.weight,
            spec,
        )
        deadline_timer = asyncio.get_running_loop().call_later(
            left_s, self._end_not_started, key, Reason.DEADLINE
        )
        limit_s = max(left_s, message.run_limit_ms / 1000)
        self.queued[key] = _Queued(
            message, task, now, deadline_timer, now + limit_s
        )
        self.queue.push(task, now)
        self.start_queued_tasks()

    def _refusal_reason(self, message: RunTasks, spec: Any) -> str:
        if self.draining:
            return Reason.STOPPING
        if message.deadline_ms <= 0:
            return Reason.DEADLINE
        if not self.endpoints.serves_kind(spec.kind):
            known = spec.kind in self.endpoints.known_kinds
            return Reason.ENDPOINT_AWAY if known else Reason.NO_ENDPOINT
        if not self.endpoints.any_supports(spec.kind, spec.size):
            return Reason.TOO_LARGE
        if not self.endpoints.any_reachable_supports(spec.kind, spec.size):
            return Reason.ENDPOINT_AWAY
        return ''

    async def _wait_until_ended(
        self, job_id: str, remaining: set[int], notify: Notify
    ) -> None:
        ended = asyncio.get_running_loop().create_future()
        pending = _PendingRequest(remaining, notify, ended)
        self.waiting.setdefault(job_id, []).append(pending)
        try:
            await ended
        finally:
            self.waiting[job_id].remove(pending)
            if not self.waiting[job_id]:
                del self.waiting[job_id]

    def _final_report(self, key: TaskKey) -> TaskReport:
        report = self.seen_tasks.report(key)
        if report is None:
            return TaskReport(key[1], TaskState.UNKNOWN, Reason.EXPIRED)
        return report

    def _start(self, key: TaskKey, endpoint: Endpoint) -> None:
        queued = self.queued.pop(key)
        queued.deadline_timer.cancel()
        endpoint.busy += 1
        task = asyncio.create_task(self._call(key, queued, endpoint))
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    async def _call(
        self, key: TaskKey, queued: _Queued, endpoint: Endpoint
    ) -> None:
        spec = queued.queued.item
        message = queued.message
        queued_s = self.clock() - queued.queued_at
        call = Call(
            key[0],
            spec,
            queued.queued.deadline,
            queued.run_until,
            queued_s * 1000,
        )
        log = _log(message, 'run', endpoint.announced.endpoint_id)
        log.debug('task {} started after {:.0f} ms', key[1], call.queue_ms)
        report = TaskReport(key[1], TaskState.UNKNOWN, Reason.AGENT_LOST)
        attributes = {'agent': self.caller.agent, 'task': call.task_id}
        record_span('queue', message.traceparent, queued_s, **attributes)
        try:
            with span('run', message.traceparent, **attributes) as current_span:
                call.traceparent = current_span.traceparent
                report = await self.caller.call(endpoint, call)
                current_span.set_attributes(state=report.state)
        finally:
            log.debug(
                'task {} ended: {} {}', key[1], report.state, report.reason
            )
            endpoint.busy -= 1
            self.queue.finished(key)
            if self._can_requeue(report, spec):
                self._requeue(key, queued)
            else:
                self._end(key, report)
            self.start_queued_tasks()

    def _can_requeue(self, report: TaskReport, spec: Any) -> bool:
        # The connection was refused, but another endpoint here may accept it.
        refused = report.state == TaskState.NOT_STARTED
        return refused and self.endpoints.any_reachable_supports(
            spec.kind, spec.size
        )

    def _requeue(self, key: TaskKey, queued: _Queued) -> None:
        left_s = queued.queued.deadline - self.clock()
        queued.deadline_timer = asyncio.get_running_loop().call_later(
            max(0, left_s), self._end_not_started, key, Reason.DEADLINE
        )
        self.queued[key] = queued
        self.queue.push(queued.queued, self.clock())

    def _end_not_started(self, key: TaskKey, reason: str) -> None:
        queued = self.queued.pop(key, None)
        if queued is not None:
            queued.deadline_timer.cancel()
            self.queue.remove(key)
            _log(queued.message, 'queue').debug(
                'task {} not started: {}', key[1], reason
            )
        self._end(key, TaskReport(key[1], TaskState.NOT_STARTED, reason))

    def _end(self, key: TaskKey, report: TaskReport) -> None:
        self.seen_tasks.end(key, report)
        job_id, index = key
        for pending in self.waiting.get(job_id, ()):
            if index not in pending.remaining:
                continue
            pending.remaining.discard(index)
            if not pending.remaining:
                if not pending.ended.done():
                    pending.ended.set_result(None)
            elif _is_reported_early(report):
                pending.notify(TaskReports(job_id, [report]))


def _log(message: RunTasks, step: str, peer: str = '') -> Any:
    return job_logger(message.request_id, message.job_id, step, peer)


def _is_reported_early(report: TaskReport) -> bool:
    # The reply to the revocation confirms cancelled tasks.
    failed = report.state != TaskState.DONE
    return failed and report.reason != Reason.CANCELLED


def _limit_result_bytes(reports: list[TaskReport]) -> list[TaskReport]:
    """Replace results by errors where their total exceeds the frame limit."""
    size = 0
    limited = []
    for report in reports:
        size += len(report.result.payload) if report.result else 0
        if report.result and size > MAX_ANSWER_BYTES:
            report = TaskReport(
                report.index,
                TaskState.ERROR,
                Reason.TOO_LARGE,
                detail='the results of the job are too large together',
                blame='customer',
            )
        limited.append(report)
    return limited
