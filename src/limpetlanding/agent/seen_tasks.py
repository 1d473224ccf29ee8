"""What an executor remembers of the tasks it has seen."""

from collections import OrderedDict
from dataclasses import dataclass, field

from limpetlanding.agent.options import ExecutorOptions
from limpetlanding.jobs import Reason, TaskState
from limpetlanding.wire import TaskReport

TaskKey = tuple[str, int]
"""Job id and index."""

_MAX_TICK_S = 2.0
_RESULT_OVERHEAD_BYTES = 200


@dataclass(slots=True)
class SeenTask:
    """A task that this executor has seen, or must never start.

    `report` is None until the task has ended; `seen_at` is on the marker
    clock of `Markers`.
    """

    seen_at: float
    report: TaskReport | None = None
    ended_at: float = 0


@dataclass(slots=True)
class SeenTasks:
    """Markers of seen tasks, with bounded results.

    Ages are counted on a clock that advances by at most 2 s per `tick`.
    Without this, an agent that resumes after a long pause would drop markers
    before it reads the repeated ``RunTasks`` that wait in its sockets, and
    would start the tasks again.
    """

    options: ExecutorOptions
    by_key: dict[TaskKey, SeenTask] = field(default_factory=dict)
    result_sizes: OrderedDict[TaskKey, int] = field(default_factory=OrderedDict)
    stored_bytes: int = 0
    clock_s: float = 0
    last_tick_s: float | None = None

    def mark_seen(self, key: TaskKey) -> bool:
        """Mark a task; return False if it is marked already."""
        if key in self.by_key:
            return False
        self.by_key[key] = SeenTask(self.clock_s)
        return True

    def end(self, key: TaskKey, report: TaskReport) -> None:
        """Store the final report of a task; the first one stays."""
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
        """Return the final report of a task, if it has ended."""
        seen_task = self.by_key.get(key)
        return seen_task.report if seen_task else None

    def tick(self, agent_time_s: float) -> None:
        """Advance the marker clock and drop what is past its retention."""
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
