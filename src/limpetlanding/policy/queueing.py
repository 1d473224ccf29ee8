"""Queue of an agent's executor."""

from collections.abc import Callable, Container, Hashable, Iterator
from dataclasses import dataclass
from typing import Any

from limpetlanding.policy.load import LONG_MS

LONG_SHARE = 0.75
"""Share of the slots that long work may occupy."""


@dataclass(slots=True)
class QueuedTask:
    """One queued task.

    Parameters
    ----------
    key : hashable
        Identifies the task, such as ``(job_id, index)``.
    expected_ms : float
        Expected run time at speed 1.0.
    deadline : float
        Monotonic seconds; infinity if there is none.
    weight : float
        Contract weight of the customer.
    item : object
        Anything the caller wants back.
    """

    key: Hashable
    customer: str
    kind: str
    expected_ms: float
    deadline: float = float('inf')
    weight: float = 1.0
    item: Any = None
    pushed_at: float = 0
    is_long: bool = False


class FifoQueue:
    """First come, first served; the naive version of `TaskQueue`.

    Parameters
    ----------
    slots : int
        Slots of the executor.
    speed : float
        Mean speed of the slots.
    """

    def __init__(self, slots: int, speed: float = 1.0) -> None:
        self.waiting: dict[Hashable, QueuedTask] = {}
        self.running: dict[Hashable, QueuedTask] = {}
        self.slots = slots
        self.speed = speed
        self.queued_short_ms: float = 0
        self.queued_long_ms: float = 0
        self.long_busy = 0

    def __len__(self) -> int:
        return len(self.waiting)

    def __contains__(self, key: Hashable) -> bool:
        return key in self.waiting

    def __iter__(self) -> Iterator[QueuedTask]:
        return iter(self.waiting.values())

    def resize(self, slots: int, speed: float) -> None:
        """Set the number of slots and their mean speed."""
        self.slots = slots
        self.speed = speed

    def push(self, task: QueuedTask, now: float) -> None:
        """Queue a task; its key must not be queued already."""
        if task.key in self.waiting:
            raise ValueError(f'task {task.key!r} is queued already')
        task.pushed_at = now
        task.is_long = task.expected_ms >= LONG_MS * self.speed
        self.waiting[task.key] = task
        self._count(task, 1)

    def pop(
        self, now: float, kinds: Container[str] | None = None
    ) -> QueuedTask | None:
        """Take the next task to start, or None.

        The task counts as running until `finished`. `kinds` are the kinds
        with a free slot; None means all. The caller pops only while a slot
        is free.
        """
        for task in self.waiting.values():
            if task.deadline <= now:
                continue
            if (kinds is None or task.kind in kinds) and self._startable(task):
                self._take(task.key)
                self.running[task.key] = task
                self.long_busy += task.is_long
                return task
        return None

    def finished(self, key: Hashable) -> None:
        """Count a popped task as no longer running."""
        task = self.running.pop(key, None)
        if task is not None:
            self.long_busy -= task.is_long

    def remove(self, key: Hashable) -> QueuedTask | None:
        """Take a queued task out; None if the key is not queued."""
        return self._take(key) if key in self.waiting else None

    def expired(self, now: float) -> list[QueuedTask]:
        """Take out the tasks whose deadline has passed."""
        late = [x.key for x in self.waiting.values() if x.deadline <= now]
        return [self._take(key) for key in late]

    def predicted_wait_ms(self, expected_ms: float, now: float) -> float:
        """Predict how long a task pushed now would be queued."""
        if len(self.running) + len(self.waiting) < self.slots:
            return 0
        work_ms = self.queued_short_ms + self.queued_long_ms
        return work_ms / max(self.slots * self.speed, 0.01)

    def _startable(self, task: QueuedTask) -> bool:
        return True

    def _take(self, key: Hashable) -> QueuedTask:
        task = self.waiting.pop(key)
        self._count(task, -1)
        return task

    def _count(self, task: QueuedTask, sign: int) -> None:
        if task.is_long:
            self.queued_long_ms += sign * task.expected_ms
        else:
            self.queued_short_ms += sign * task.expected_ms


class TaskQueue(FifoQueue):
    """Short before long, fair between customers; see `FifoQueue`."""

    def _startable(self, task: QueuedTask) -> bool:
        return not task.is_long or self.long_busy < self.long_slots

    @property
    def long_slots(self) -> int:
        """Slots that long work may occupy at most."""
        return max(1, int(self.slots * LONG_SHARE))


def make_queue(policy: str, slots: int, speed: float = 1.0) -> FifoQueue:
    """Return the queue of the settings key ``policy``."""
    queues: dict[str, Callable[[int, float], FifoQueue]] = {
        'limpetlanding': TaskQueue,
        'naive': FifoQueue,
    }
    return queues[policy](slots, speed)
