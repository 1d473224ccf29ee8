from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limpetlanding.policy import FifoQueue, QueuedTask, TaskQueue, make_queue
from limpetlanding.policy.queueing import (
    EXPIRY_RUN_TIME_PART,
    LONG_PRIORITY_WAIT_MS,
)
from limpetlanding.policy.waits import long_slots

INFINITY = float('inf')


def make_queued(key, customer='a', kind='k', expected_ms=100, **fields):
    return QueuedTask(key, customer, kind, expected_ms, **fields)


def drain(queue, now=0.0, kinds=None):
    """Pop everything, each task ending before the next one starts."""
    order = []
    while (task := queue.pop(now, kinds)) is not None:
        queue.finished(task.key)
        order.append(task.key)
    return order


class _SortedList:
    """Reference for the order within one class; sorts at every pop."""

    def __init__(self):
        self.tasks = []
        self.start = {}
        self.virtual = 0.0

    def push(self, number, task):
        if not any(x.customer == task.customer for _, x in self.tasks):
            start = self.start.get(task.customer, 0)
            self.start[task.customer] = max(start, self.virtual)
        self.tasks.append((number, task))

    def next_keys(self, kinds):
        """Return the first task of each customer with the least start."""
        possible = [x for x in self.tasks if x[1].kind in kinds]
        starts = {self.start[x.customer] for _, x in possible}
        heads = {}
        for number, x in possible:
            if self.start[x.customer] == min(starts):
                rank = (x.deadline, number)
                heads[x.customer] = min(rank, heads.get(x.customer, rank))
        return {number for _, number in heads.values()}

    def pop(self, task):
        self.remove(task.key)
        self.virtual = self.start[task.customer]
        self.start[task.customer] += task.expected_ms / task.weight

    def remove(self, key):
        self.tasks = [x for x in self.tasks if x[1].key != key]


steps = st.lists(
    st.one_of(
        st.tuples(
            st.just('push'),
            st.sampled_from('abc'),
            st.sampled_from('kl'),
            st.floats(50, 900),
            st.one_of(st.just(20), st.floats(10, 29)),
        ),
        st.tuples(st.just('pop'), st.sampled_from(['k', 'l', 'kl'])),
        st.tuples(st.just('remove'), st.integers(0, 40)),
    ),
    max_size=80,
)


class TestTaskQueueOrder:
    @settings(derandomize=True, max_examples=300)
    @given(steps)
    def test_same_as_a_sort_over_a_list(self, steps):
        # Guards against outdated heap entries.
        queue, naive = TaskQueue(8), _SortedList()
        weights = {'a': 1.0, 'b': 2.7, 'c': 0.33}
        for number, (step, *args) in enumerate(steps):
            if step == 'push':
                customer, kind, expected_ms, deadline = args
                task = make_queued(
                    number,
                    customer,
                    kind,
                    expected_ms,
                    deadline=deadline,
                    weight=weights[customer],
                )
                queue.push(task, 0.0)
                naive.push(number, task)
            elif step == 'pop':
                expected = naive.next_keys(args[0])
                task = queue.pop(0.0, args[0])
                assert task.key in expected if task else not expected
                if task:
                    queue.finished(task.key)
                    naive.pop(task)
            else:
                queue.remove(args[0])
                naive.remove(args[0])
            assert len(queue) == len(naive.tasks)
            assert queue.queued_short_ms == pytest.approx(
                sum(x.expected_ms for _, x in naive.tasks), abs=1e-6
            )

    def test_earlier_deadline_of_a_customer_first(self):
        queue = TaskQueue(8)
        for key, deadline in enumerate((9, INFINITY, 5, 7)):
            queue.push(make_queued(key, deadline=deadline), 0)
        assert drain(queue) == [2, 3, 0, 1]

    def test_earlier_deadline_of_another_kind_first(self):
        # Guards against tasks of one customer that are started in the order in
        # which their kinds were first queued instead of by deadline.
        queue = TaskQueue(8)
        queue.push(make_queued(0, kind='k', deadline=20), 0)
        queue.push(make_queued(1, kind='l', deadline=10), 0)
        assert queue.pop(0, 'kl').key == 1

    def test_task_without_deadline_is_not_overtaken_for_ever(self):
        queue = TaskQueue(8)
        queue.push(make_queued('old'), 0)
        for i in range(100):
            queue.push(make_queued(i, deadline=40 + i), 31)
        assert queue.pop(31).key == 'old'

    def test_customers_share_by_weight(self):
        # Guards against a customer that uses all slots by a burst of tasks.
        queue = TaskQueue(8)
        for i in range(300):
            queue.push(make_queued(i, 'burst', weight=1), 0)
        for i in range(300, 400):
            queue.push(make_queued(i, 'calm', weight=3), 0)
        started = Counter(queue.pop(0).customer for _ in range(80))
        assert started['calm'] == pytest.approx(60, abs=1)

    def test_customer_gets_no_credit_for_idle_time(self):
        queue = TaskQueue(8)
        for i in range(100):
            queue.push(make_queued(i, 'a'), 0)
        for _ in range(50):
            queue.pop(0)
        for i in range(100, 200):
            queue.push(make_queued(i, 'b'), 0)
        started = Counter(queue.pop(0).customer for _ in range(20))
        assert abs(started['a'] - started['b']) <= 1

    def test_memory_of_removed_tasks_is_released(self):
        # Guards against heaps that never delete cancelled tasks.
        queue = TaskQueue(8)
        for i in range(5000):
            queue.push(make_queued(i, expected_ms=5000, deadline=99), 0)
            queue.remove(i)
        heaps = [queue.by_latest_start, queue.long_by_age]
        flow = queue.long.customers['a'].flows['k']
        assert all(len(x.entries) < 50 for x in (*heaps, flow.tasks))

    def test_key_may_be_queued_once_and_again_after_removal(self):
        queue = TaskQueue(8)
        queue.push(make_queued('x'), 0)
        with pytest.raises(ValueError, match='queued already'):
            queue.push(make_queued('x'), 0)
        assert queue.remove('x').key == 'x'
        assert queue.remove('x') is None
        queue.push(make_queued('x', kind='l'), 0)
        assert drain(queue) == ['x']


class TestClasses:
    def test_short_goes_before_long(self):
        queue = TaskQueue(8)
        queue.push(make_queued('long', expected_ms=2000), 0)
        queue.push(make_queued('short'), 0.5)
        assert drain(queue, 0.5) == ['short', 'long']

    def test_class_depends_on_the_speed(self):
        queue = TaskQueue(8, speed=4)
        queue.push(make_queued('x', expected_ms=3000), 0)
        assert queue.queued_long_ms == 0
        queue.resize(8, 1)
        queue.push(make_queued('y', expected_ms=3000), 0)
        assert queue.queued_long_ms == 3000

    @pytest.mark.parametrize('slots', [1, 2, 3, 4, 8, 64])
    def test_long_work_leaves_the_reserved_slots(self, slots):
        queue = TaskQueue(slots)
        for i in range(slots):
            queue.push(make_queued(i, expected_ms=5000), 0)
        started = [queue.pop(50) for _ in range(slots)]
        assert sum(x is not None for x in started) == long_slots(slots)
        queue.push(make_queued('short'), 50)
        if slots > 1:
            assert queue.pop(50).key == 'short'

    def test_overrunning_short_tasks_count_as_long(self):
        # Guards against stragglers that use the reserved slots while long
        # work uses the others.
        queue = TaskQueue(8)
        for i in range(4):
            queue.push(make_queued(i), 0)
            queue.pop(0)
        for i in range(10, 18):
            queue.push(make_queued(i, expected_ms=5000), 2)
        started = [queue.pop(2) for _ in range(4)]
        assert sum(x is not None for x in started) == 2

    def test_aged_long_task_goes_before_short_work(self):
        # Guards against starvation of long work by continuous short work.
        queue = TaskQueue(8)
        queue.push(make_queued('long', expected_ms=2000), 0)
        for i in range(20):
            queue.push(make_queued(i), 0)
        aged = LONG_PRIORITY_WAIT_MS / 1000
        assert queue.pop(aged / 2).key != 'long'
        assert queue.pop(aged).key == 'long'

    def test_aged_long_tasks_use_half_of_the_long_slots(self):
        queue = TaskQueue(8)
        for i in range(8):
            queue.push(make_queued(f'long{i}', expected_ms=2000), 0)
            queue.push(make_queued(i), 0)
        started = [queue.pop(9).is_long for _ in range(8)]
        assert started == [True] * 3 + [False] * 5

    def test_wait_is_predicted_for_the_class(self):
        queue = TaskQueue(2)
        assert queue.predicted_wait_ms(100, 0) == 0
        for i in range(10):
            queue.push(make_queued(i, expected_ms=200), 0)
        for _ in range(2):
            queue.pop(0)
        short_ms = queue.predicted_wait_ms(100, 0)
        assert 800 <= short_ms <= 1000
        assert queue.predicted_wait_ms(5000, 0) >= 800


class TestExpired:
    def test_late_tasks_expire_and_are_never_popped(self):
        queue = TaskQueue(8)
        queue.push(make_queued('late', expected_ms=500, deadline=2), 0)
        queue.push(make_queued('good', expected_ms=500, deadline=9), 0)
        latest = 2 - EXPIRY_RUN_TIME_PART * 0.5
        assert queue.expired(latest - 0.01) == []
        assert drain(queue, latest + 0.01) == ['good']
        assert 'late' in queue
        assert [x.key for x in queue.expired(latest + 0.01)] == ['late']
        assert 'late' not in queue
        assert len(queue) == 0

    def test_late_task_can_still_be_removed(self):
        # Guards against a revocation that misses a task which pop has found to
        # be late.
        queue = TaskQueue(8)
        queue.push(make_queued('late', deadline=1), 0)
        assert queue.pop(2) is None
        assert queue.remove('late').key == 'late'
        assert queue.expired(2) == []

    @pytest.mark.parametrize('policy', ['limpetlanding', 'naive'])
    def test_task_past_its_deadline_does_not_start(self, policy):
        queue = make_queue(policy, slots=8)
        queue.push(make_queued('late', deadline=1), 0)
        assert queue.pop(1) is None
        assert [x.key for x in queue.expired(1)] == ['late']


class TestFifoQueue:
    @settings(derandomize=True)
    @given(st.lists(st.floats(10, 9000)))
    def test_first_come_first_served(self, run_times):
        queue = FifoQueue(8)
        for key, expected_ms in enumerate(run_times):
            queue.push(make_queued(key, expected_ms=expected_ms), 0)
        assert drain(queue) == list(range(len(run_times)))
        assert queue.queued_short_ms + queue.queued_long_ms == pytest.approx(
            0, abs=1e-6
        )
