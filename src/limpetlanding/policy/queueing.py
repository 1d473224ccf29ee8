"""Task queues of an agent's executor."""

from collections.abc import Callable, Container, Hashable, Iterator
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush, heapreplace
from itertools import chain, count
from typing import Any

from limpetlanding.policy.load import LONG_TASK_MS
from limpetlanding.policy.waits import (
    SlotLoad,
    long_slots,
    predict_wait_ms,
)

LONG_PRIORITY_WAIT_MS = 1000
"""A long task that has waited this long goes before short work, as long as less
than half of the slots for long work are busy with it."""

MAX_ORDERING_DELAY_S = 30
"""Tasks without a deadline, or with a later one, are ordered as if they had to
end this long after they were queued. Otherwise tasks of the same customer with
earlier deadlines could overtake them for ever."""

EXPIRY_RUN_TIME_PART = 0.8
"""A task expires when the time until its deadline is less than this part of its
expected run time. Its answer would be late, and at overload it would use the
slots of work that can still be on time. The part is below 1 as a tolerance for
estimates that are too high."""

_MIN_STALE_ENTRIES = 16
_MAX_IDLE_CUSTOMERS = 64
_MIN_WEIGHT = 0.001


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
        Object of the caller that is returned with the task.
    latest_start : float
        Monotonic seconds at which the task expires; set by the queue.
    is_long : bool
        Whether the task belongs to the long class; set by the queue.
    """

    key: Hashable
    customer: str
    kind: str
    expected_ms: float
    deadline: float = float('inf')
    weight: float = 1.0
    item: Any = None
    pushed_at: float = 0
    started_at: float = 0
    latest_start: float = float('inf')
    is_long: bool = False


class FifoQueue:
    """Queue that starts tasks in the order of arrival.

    Classes, customers and weights do not change the order. Tasks past their
    deadline are not started. Used with the setting ``policy: naive``.

    Clock values are monotonic seconds.

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
        """Queue a task.

        Raises
        ------
        ValueError
            If a task with this key is queued already.
        """
        if task.key in self.waiting:
            raise ValueError(f'task {task.key!r} is queued already')
        task.pushed_at = now
        task.is_long = task.expected_ms >= LONG_TASK_MS * self.speed
        task.latest_start = task.deadline
        self.waiting[task.key] = task
        self._count(task, 1)

    def pop(
        self, now: float, kinds: Container[str] | None = None
    ) -> QueuedTask | None:
        """Remove and return the next task to start, or None.

        The task counts as running until `finished` is called. `kinds` are
        the kinds with a free slot; None means all. The caller must have a
        free slot.
        """
        for task in self.waiting.values():
            if task.deadline > now and (kinds is None or task.kind in kinds):
                return self._start(task, now)
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
        """Remove and return the tasks whose deadline has passed."""
        late = [x.key for x in self.waiting.values() if x.deadline <= now]
        return [self._take(key) for key in late]

    def predicted_wait_ms(self, expected_ms: float, now: float) -> float:
        """Predict how long a task pushed now would be queued, in ms."""
        load = SlotLoad(
            self.slots,
            self.speed,
            len(self.running),
            self.long_busy,
            self.queued_short_ms,
            self.queued_long_ms,
        )
        return predict_wait_ms(load, expected_ms >= LONG_TASK_MS * self.speed)

    def _start(self, task: QueuedTask, now: float) -> QueuedTask:
        self._take(task.key)
        task.started_at = now
        self.running[task.key] = task
        self.long_busy += task.is_long
        return task

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
    """Queue that prefers short tasks and is fair between customers.

    - Tasks expected to run 1,000 ms or more at the speed of the slots are
      long. They use at most three quarters of the slots (`long_slots`), so
      that short tasks never wait for many long tasks to end. Short tasks
      that have run for 1,000 ms count towards that limit as well.
    - Short tasks go first, but a long task that has waited
      `LONG_PRIORITY_WAIT_MS` goes before them until half of the slots for
      long tasks are busy with long tasks.
    - Within a class, customers share the slots by weight (start-time fair
      queueing on the expected run time). The tasks of one customer are
      ordered by deadline, which does not affect other customers.
    - Push, pop and remove take amortised O(log n) time.

    See Also
    --------
    FifoQueue : documents the methods.

    References
    ----------
    P. Goyal, H. Vin, H. Cheng: Start-time Fair Queueing, 1996.
    """

    def __init__(self, slots: int, speed: float = 1.0) -> None:
        super().__init__(slots, speed)
        self.sequence = count()
        self.short = _FairQueue()
        self.long = _FairQueue()
        self.by_latest_start = _LazyHeap()
        self.long_by_age = _LazyHeap()
        self.late: dict[Hashable, QueuedTask] = {}

    def __len__(self) -> int:
        return len(self.waiting) + len(self.late)

    def __contains__(self, key: Hashable) -> bool:
        return key in self.waiting or key in self.late

    def __iter__(self) -> Iterator[QueuedTask]:
        return chain(self.waiting.values(), self.late.values())

    def push(self, task: QueuedTask, now: float) -> None:
        """Queue a task; see `FifoQueue.push`."""
        if task.key in self.late:
            raise ValueError(f'task {task.key!r} is queued already')
        super().push(task, now)
        run_s = task.expected_ms / self.speed / 1000
        task.latest_start = task.deadline - EXPIRY_RUN_TIME_PART * run_s
        number = next(self.sequence)
        self._queue_of(task).push(task, number)
        self.by_latest_start.push(task.latest_start, number, task)
        if task.is_long:
            self.long_by_age.push(task.pushed_at, number, task)

    def pop(
        self, now: float, kinds: Container[str] | None = None
    ) -> QueuedTask | None:
        """Remove and return the next task to start; see `FifoQueue.pop`."""
        self._collect_late(now)
        long_allowed = self._long_allowed(now)
        classes = [self.short]
        if long_allowed:
            classes.insert(0 if self._long_first(now) else 1, self.long)
        for queue in classes:
            task = queue.pop(kinds, self.waiting)
            if task is not None:
                return self._start(task, now)
        return None

    def remove(self, key: Hashable) -> QueuedTask | None:
        """Take a queued task out; None if the key is not queued."""
        late = self.late.pop(key, None)
        if late is not None or key not in self.waiting:
            return late
        return self._take(key)

    def expired(self, now: float) -> list[QueuedTask]:
        """Remove and return the tasks that cannot end in time any more."""
        self._collect_late(now)
        late = list(self.late.values())
        self.late = {}
        return late

    def _collect_late(self, now: float) -> None:
        while self.by_latest_start.first(self.waiting) <= now:
            task = self.by_latest_start.pop()
            self._take(task.key)
            self.late[task.key] = task

    def _take(self, key: Hashable) -> QueuedTask:
        task = super()._take(key)
        self._queue_of(task).discard(task, self.waiting)
        self.by_latest_start.compact(self.waiting, len(self.waiting))
        self.long_by_age.compact(self.waiting, len(self.waiting))
        return task

    def _long_allowed(self, now: float) -> bool:
        limit = long_slots(self.slots)
        if not self.queued_long_ms or self.long_busy >= limit:
            return False
        overrun_at = now - LONG_TASK_MS / 1000
        running = self.running.values()
        return limit > sum(
            x.is_long or x.started_at <= overrun_at for x in running
        )

    def _long_first(self, now: float) -> bool:
        if self.long_busy * 2 >= long_slots(self.slots):
            return False
        oldest = self.long_by_age.first(self.waiting)
        return now - oldest >= LONG_PRIORITY_WAIT_MS / 1000

    def _queue_of(self, task: QueuedTask) -> '_FairQueue':
        return self.long if task.is_long else self.short


@dataclass(slots=True)
class _LazyHeap:
    """Heap of tasks from which removed tasks are deleted lazily."""

    entries: list[tuple[float, int, QueuedTask]] = field(default_factory=list)

    def push(self, value: float, number: int, task: QueuedTask) -> None:
        heappush(self.entries, (value, number, task))

    def first(self, waiting: dict[Hashable, QueuedTask]) -> float:
        """Return the least value of a waiting task, or infinity."""
        return self.first_entry(waiting)[0]

    def first_entry(
        self, waiting: dict[Hashable, QueuedTask]
    ) -> tuple[float, int]:
        """Return value and number of the first waiting task.

        The value is infinite if no task waits.
        """
        entries = self.entries
        while entries and waiting.get(entries[0][2].key) is not entries[0][2]:
            heappop(entries)
        return entries[0][:2] if entries else (float('inf'), 0)

    def pop(self) -> QueuedTask:
        return heappop(self.entries)[2]

    def compact(
        self, waiting: dict[Hashable, QueuedTask], queued_count: int
    ) -> None:
        """Delete removed tasks if they are more than half of the heap."""
        if len(self.entries) > 2 * queued_count + _MIN_STALE_ENTRIES:
            self.entries = [
                x for x in self.entries if waiting.get(x[2].key) is x[2]
            ]
            heapify(self.entries)


@dataclass(slots=True)
class _Customer:
    """Flows of one customer by kind.

    `start` is the virtual start time of the customer's next task, and
    `queued_count` the number of its queued tasks.
    """

    start: float = 0
    queued_count: int = 0
    flows: dict[str, '_Flow'] = field(default_factory=dict)


@dataclass(slots=True)
class _Flow:
    """Queued tasks of one customer and kind."""

    customer: _Customer
    kind: str
    tasks: _LazyHeap = field(default_factory=_LazyHeap)
    queued_count: int = 0


@dataclass(slots=True)
class _FairQueue:
    """Start-time fair queue of one class, from which kinds can be selected.

    `flow_heaps` maps each kind to a heap of (virtual start, number, flow)
    with one entry per flow. An outdated virtual start is too low, so the
    entry reaches the top of the heap, where it is corrected. Empty flows are
    deleted there as well.
    """

    virtual_time: float = 0
    customers: dict[str, _Customer] = field(default_factory=dict)
    flow_heaps: dict[str, list[tuple[float, int, _Flow]]] = field(
        default_factory=dict
    )

    def push(self, task: QueuedTask, number: int) -> None:
        customer = self.customers.get(task.customer)
        if customer is None:
            self._drop_idle_customers()
            customer = _Customer(self.virtual_time)
            self.customers[task.customer] = customer
        if customer.queued_count == 0:
            customer.start = max(customer.start, self.virtual_time)
        flow = customer.flows.get(task.kind)
        if flow is None:
            flow = _Flow(customer, task.kind)
            customer.flows[task.kind] = flow
            heap = self.flow_heaps.setdefault(task.kind, [])
            heappush(heap, (customer.start, number, flow))
        due = min(task.deadline, task.pushed_at + MAX_ORDERING_DELAY_S)
        flow.tasks.push(due, number, task)
        flow.queued_count += 1
        customer.queued_count += 1

    def pop(
        self,
        kinds: Container[str] | None,
        waiting: dict[Hashable, QueuedTask],
    ) -> QueuedTask | None:
        """Return the next task; the caller must remove it from `waiting`."""
        allowed = [x for x in self.flow_heaps if kinds is None or x in kinds]
        heads = [head for x in allowed if (head := self._head(x))]
        if not heads:
            return None
        customer = min(heads)[2].customer
        flow = _most_urgent_flow(customer, allowed, waiting)
        task = flow.tasks.pop()
        self.virtual_time = customer.start
        cost_ms = max(task.expected_ms, 1) / max(task.weight, _MIN_WEIGHT)
        customer.start += cost_ms
        return task

    def discard(
        self, task: QueuedTask, waiting: dict[Hashable, QueuedTask]
    ) -> None:
        """Stop counting a task that was removed from `waiting`."""
        customer = self.customers[task.customer]
        flow = customer.flows[task.kind]
        flow.queued_count -= 1
        customer.queued_count -= 1
        flow.tasks.compact(waiting, flow.queued_count)

    def _head(self, kind: str) -> tuple[float, int, _Flow] | None:
        heap = self.flow_heaps[kind]
        while heap:
            start, number, flow = heap[0]
            if flow.queued_count == 0:
                heappop(heap)
                flow.customer.flows.pop(kind)
            elif start < flow.customer.start:
                heapreplace(heap, (flow.customer.start, number, flow))
            else:
                return heap[0]
        self.flow_heaps.pop(kind)
        return None

    def _drop_idle_customers(self) -> None:
        # A customer whose virtual start is ahead of the virtual time has had
        # more than its share. It is kept until the others have caught up.
        if len(self.customers) >= _MAX_IDLE_CUSTOMERS:
            self.customers = {
                name: x
                for name, x in self.customers.items()
                if x.flows or x.start > self.virtual_time
            }


def _most_urgent_flow(
    customer: _Customer,
    kinds: Container[str],
    waiting: dict[Hashable, QueuedTask],
) -> _Flow:
    """Return the flow of a customer whose first task is due first."""
    flows = (
        flow
        for kind, flow in customer.flows.items()
        if flow.queued_count and kind in kinds
    )
    return min(flows, key=lambda x: x.tasks.first_entry(waiting))


def make_queue(policy: str, slots: int, speed: float = 1.0) -> FifoQueue:
    """Return the queue for a value of the setting ``policy``.

    Raises
    ------
    KeyError
        If there is no such policy.

    Examples
    --------
    >>> type(make_queue('naive', slots=8)).__name__
    'FifoQueue'
    """
    queues: dict[str, Callable[[int, float], FifoQueue]] = {
        'limpetlanding': TaskQueue,
        'naive': FifoQueue,
    }
    return queues[policy](slots, speed)
