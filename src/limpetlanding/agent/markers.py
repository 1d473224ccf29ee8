"""What an executor remembers of the tasks it has seen."""

from collections import OrderedDict
from dataclasses import dataclass, field

from limpetlanding.agent.options import ExecutorOptions
from limpetlanding.jobs import Reason, TaskState
from limpetlanding.wire import TaskReport

TaskKey = tuple[str, int]
"""Job id and index."""

_MAX_STEP_S = 2.0
_RESULT_BYTES = 200


@dataclass(slots=True)
class Marker:
    """A task that this executor has seen, or must never start.

    `report` is None until the task has ended; `seen_at` is on the marker
    clock of `Markers`.
    """

    seen_at: float
    report: TaskReport | None = None
    ended_at: float = 0


@dataclass(slots=True)
class Markers:
    """Markers of seen tasks, with bounded results.

    Ages are counted on a clock that advances by at most 2 s per `tick`.
    Without this, an agent that resumes after a long pause would drop markers
    before it reads the repeated ``RunTasks`` that wait in its sockets, and
    would start the tasks again.
    """

    options: ExecutorOptions
    by_key: dict[TaskKey, Marker] = field(default_factory=dict)
    with_result: OrderedDict[TaskKey, int] = field(default_factory=OrderedDict)
    bytes_held: int = 0
    now: float = 0
    last_tick: float | None = None

    def see(self, key: TaskKey) -> bool:
        """Mark a task; return False if it is marked already."""
        if key in self.by_key:
            return False
        self.by_key[key] = Marker(self.now)
        return True

    def end(self, key: TaskKey, report: TaskReport) -> None:
        """Store the final report of a task; the first one stays."""
        marker = self.by_key[key]
        if marker.report is not None:
            return
        marker.report = report
        marker.ended_at = self.now
        if report.result is not None:
            size = len(report.result.payload) + _RESULT_BYTES
            self.with_result[key] = size
            self.bytes_held += size
            while self.bytes_held > self.options.max_result_bytes:
                self._drop_oldest_result()

    def report(self, key: TaskKey) -> TaskReport | None:
        """Return the final report of a task, if it has ended."""
        marker = self.by_key.get(key)
        return marker.report if marker else None

    def tick(self, clock_s: float) -> None:
        """Advance the marker clock and drop what is past its retention."""
        if self.last_tick is not None:
            self.now += min(max(clock_s - self.last_tick, 0), _MAX_STEP_S)
        self.last_tick = clock_s
        while self.with_result:
            oldest = next(iter(self.with_result))
            ended_at = self.by_key[oldest].ended_at
            if ended_at + self.options.retention_s > self.now:
                break
            self._drop_oldest_result()
        keep_s = self.options.max_job_s + self.options.retention_s
        while self.by_key:
            key, marker = next(iter(self.by_key.items()))
            if marker.seen_at + keep_s > self.now or marker.report is None:
                break
            del self.by_key[key]

    def _drop_oldest_result(self) -> None:
        key, size = self.with_result.popitem(last=False)
        self.bytes_held -= size
        self.by_key[key].report = TaskReport(
            key[1],
            TaskState.UNKNOWN,
            Reason.EXPIRED,
            detail='the result is no longer held',
        )
