"""Tasks that an executor has seen, for the detection of repeats."""

from collections import OrderedDict
from dataclasses import dataclass, field

from limpetlanding.agent.options import ExecutorOptions
from limpetlanding.jobs import Reason, TaskState
from limpetlanding.wire.job_messages import TaskReport

TaskKey = tuple[str, int]
"""Job id and index."""

_MAX_TICK_S = 2.0
_RESULT_OVERHEAD_BYTES = 200


@dataclass(slots=True)
class SeenTask:
    """A task that this executor has received or that was revoked.

    `report` is None until the task has ended. `seen_at` and `ended_at` are on
    the clock of `SeenTasks`.
    """

    seen_at: float
    report: TaskReport | None = None
    ended_at: float = 0


@dataclass(slots=True)
class SeenTasks:
    """All seen tasks and their reports, with bounded size of results.

    Ages are measured with `clock_s`, which advances by at most 2 s per `tick`.
    Otherwise an agent that resumes after a long pause would drop seen tasks
    before it reads the repeated ``RunTasks`` in its socket buffers, and would
    start these tasks again.

    `result_sizes` lists the tasks whose result is stored, with its size in
    bytes, in the order in which they ended.
    """

    options: ExecutorOptions
    by_key: dict[TaskKey, SeenTask] = field(default_factory=dict)
    result_sizes: OrderedDict[TaskKey, int] = field(default_factory=OrderedDict)
    stored_bytes: int = 0
    clock_s: float = 0
    last_tick_s: float | None = None

    def mark_seen(self, key: TaskKey) -> bool:
        """Mark a task as seen; return False if it was seen before."""
        if key in self.by_key:
            return False
        self.by_key[key] = SeenTask(self.clock_s)
        return True

    def end(self, key: TaskKey, report: TaskReport) -> None:
        """Store the final report of a task; later reports are ignored."""
        seen_task = self.by_key[key]
        if seen_task.report is not None:
            return
        seen_task.report = report
        seen_task.ended_at = self.clock_s
        if report.result is not None:
            size = len(report.result.payload) + _RESULT_OVERHEAD_BYTES
            self.result_sizes[key] = size
            self.stored_bytes += size
            while self.stored_bytes > self.options.max_result_bytes:
                self._drop_oldest_result()

    def report(self, key: TaskKey) -> TaskReport | None:
        """Return the final report of a task, None if it has not ended."""
        seen_task = self.by_key.get(key)
        return seen_task.report if seen_task else None

    def tick(self, agent_time_s: float) -> None:
        """Advance `clock_s`, and drop results and tasks beyond retention.

        `agent_time_s` is the monotonic clock of the agent.
        """
        if self.last_tick_s is not None:
            self.clock_s += min(
                max(agent_time_s - self.last_tick_s, 0), _MAX_TICK_S
            )
        self.last_tick_s = agent_time_s
        while self.result_sizes:
            oldest = next(iter(self.result_sizes))
            ended_at = self.by_key[oldest].ended_at
            if ended_at + self.options.retention_s > self.clock_s:
                break
            self._drop_oldest_result()
        retention_s = self.options.max_job_s + self.options.retention_s
        while self.by_key:
            key, seen_task = next(iter(self.by_key.items()))
            if (
                seen_task.seen_at + retention_s > self.clock_s
                or seen_task.report is None
            ):
                break
            del self.by_key[key]

    def _drop_oldest_result(self) -> None:
        key, size = self.result_sizes.popitem(last=False)
        self.stored_bytes -= size
        self.by_key[key].report = TaskReport(
            key[1],
            TaskState.UNKNOWN,
            Reason.EXPIRED,
            detail='the result is no longer held',
        )
