from collections import Counter
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limpetlanding.jobs import Reason
from limpetlanding.policy import (
    choose_placements,
    choose_placements_naive,
    completion_ms,
    no_placement_reason,
    place,
)
from limpetlanding.policy.placement import (
    CROSSING_MS,
    NEAR_MS,
    NEAR_SHARE,
    WAIT_WEIGHT,
)
from limpetlanding.policy.tests.views import make_load, make_task, make_view
from limpetlanding.wire.job_messages import LoadReport


@st.composite
def views(draw):
    loads = []
    for i in range(draw(st.integers(1, 12))):
        busy = draw(st.integers(0, 8))
        loads.append(
            make_load(
                f'a{i}',
                speed=draw(st.floats(0.5, 2)),
                busy=busy,
                domain=draw(st.sampled_from('ab')),
                queued_short_ms=draw(st.floats(0, 9000)) if busy == 8 else 0,
                queued_long_ms=draw(st.floats(0, 9000)) if busy == 8 else 0,
                long_busy=draw(st.integers(0, min(busy, 6))),
                suspect=draw(st.booleans()),
            )
        )
    return make_view(*loads)


class TestPlace:
    @settings(derandomize=True)
    @given(views(), st.floats(50, 5000), st.integers(0, 99))
    def test_is_near_the_best_of_an_exhaustive_search(
        self, view, expected_ms, seed
    ):
        task = make_task(expected_ms=expected_ms)
        usable = [x for x in view.values() if not x.suspect]
        times = {
            x.agent: completion_ms(task, x, 'a', CROSSING_MS, WAIT_WEIGHT)
            for x in usable
        }
        [placement] = choose_placements([task], view, 'a', Random(seed))
        if placement is None:
            assert not usable
            return
        limit_ms = min(times.values()) * (1 + NEAR_SHARE) + NEAR_MS
        assert times[placement.agent] <= limit_ms * 1.0001

    @settings(derandomize=True, max_examples=50)
    @given(st.lists(st.floats(50, 900), min_size=1, max_size=100))
    def test_job_is_spread_like_a_greedy_schedule(self, run_times):
        # Guards against placing a job as if each task were the only one.
        view = make_view(
            *(make_load(f'a{i}', speed=0.5 + i / 7) for i in range(11))
        )
        tasks = [make_task(i, expected_ms=x) for i, x in enumerate(run_times)]
        placements = choose_placements(tasks, view, 'a', Random(1))
        ends = [
            _list_schedule_ms(
                [run_times[p.index] for p in placements if p.agent == name],
                8,
                load.by_kind['quote'].speed,
            )
            for name, load in view.items()
        ]
        capacity = sum(8 * x.by_kind['quote'].speed for x in view.values())
        ideal_ms = max(sum(run_times) / capacity, max(run_times) / 1.92)
        # A greedy schedule exceeds the ideal by at most the last task.
        assert max(ends) <= ideal_ms + 1.5 * max(run_times) / 0.5

    def test_fast_agents_are_preferred_but_get_no_queue(self):
        # Guards against queues at a fast agent while slower ones are idle.
        view = make_view(make_load('fast', speed=1.5), make_load('slow'))
        tasks = [make_task(i) for i in range(12)]
        placements = choose_placements(tasks, view, 'a', Random(1))
        agents = [p.agent for p in placements]
        assert set(agents[:4]) == {'fast'}
        assert agents.count('fast') <= 8

    def test_several_entries_spread_over_equal_agents(self):
        # Guards against entries with the same view that choose the same slot.
        agents = Counter()
        for seed in range(300):
            view = make_view(*(make_load(f'a{i}') for i in range(10)))
            [placement] = choose_placements(
                [make_task()], view, 'a', Random(seed)
            )
            agents[placement.agent] += 1
        assert len(agents) == 10
        assert max(agents.values()) < 60

    def test_own_domain_is_preferred(self):
        view = make_view(
            make_load('near', domain='a'), make_load('far', domain='b')
        )
        task = make_task(expected_ms=50)
        near = completion_ms(task, view['near'], 'a')
        assert completion_ms(task, view['far'], 'a') == near + 3

    def test_avoided_agent_is_used_only_without_alternative(self):
        view = make_view(make_load('a', speed=2), make_load('b'))
        tasks = [make_task()]
        plan = place(tasks, view, 'a', Random(1), avoid=['a'])
        assert plan.placements[0].agent == 'b'
        view = make_view(make_load('a'))
        plan = place(tasks, view, 'a', Random(1), avoid=['a'])
        assert plan.placements[0].agent == 'a'

    def test_undo_restores_the_view(self):
        view = make_view(make_load('a'), make_load('b'))
        tasks = [make_task(i, expected_ms=200 + i * 400) for i in range(5)]
        plan = place(tasks, view, 'a', Random(1))
        plan.undo()
        for load in view.values():
            assert not load.pending
            assert load.pending_short_ms == load.pending_long_ms == 0

    def test_only_usable_agent_of_a_large_view_is_found(self):
        view = make_view(
            *(make_load(f'a{i}', suspect=i != 700) for i in range(1000))
        )
        [placement] = choose_placements([make_task()], view, 'a', Random(1))
        assert placement.agent == 'a700'

    def test_queues_are_avoided_in_a_large_view(self):
        view = make_view(
            *(
                make_load(f'a{i}', busy=8 * (i % 2), queued_short_ms=9000)
                for i in range(1000)
            )
        )
        placements = choose_placements(
            [make_task(i) for i in range(100)], view, 'a', Random(1)
        )
        assert not any(int(p.agent[1:]) % 2 for p in placements)


class TestPending:
    def test_report_replaces_older_pending_tasks_only(self):
        # Guards against counting a task twice, and against dropping a task
        # that has not reached the agent when the report is sent.
        view = make_view(make_load('a'))
        load = view['a']
        place([make_task()], view, 'a', Random(1), now=1.0)
        place([make_task()], view, 'a', Random(1), now=1.095)
        load.apply_report(LoadReport(load.endpoints, 0, 0, 0, 0, 1), now=1.1)
        assert len(load.pending) == 1
        assert load.pending_short_ms == 300


class TestNoPlaceReason:
    @pytest.mark.parametrize(
        ('load', 'reason'),
        [
            (make_load('a', kinds=['other']), Reason.NO_ENDPOINT),
            (make_load('a', max_size=5), Reason.TOO_LARGE),
            (make_load('a', max_size=5, serving=False), Reason.ENDPOINT_AWAY),
            (make_load('a', suspect=True), Reason.ENDPOINT_AWAY),
            (make_load('a', draining=True), Reason.ENDPOINT_AWAY),
        ],
    )
    def test_reason(self, load, reason):
        task = make_task(size=9)
        view = make_view(load)
        assert choose_placements([task], view, 'a', Random(1)) == [None]
        assert no_placement_reason(task, view) == reason

    def test_kind_of_an_agent_that_left_is_away(self):
        task = make_task()
        assert no_placement_reason(task, {}) == Reason.NO_ENDPOINT
        assert no_placement_reason(task, {}, {'quote'}) == Reason.ENDPOINT_AWAY


class TestChooseNaive:
    def test_draws_among_all_agents_of_the_kind(self):
        view = make_view(
            make_load('a', busy=8, suspect=True),
            make_load('b'),
            make_load('c', kinds=['other']),
        )
        tasks = [make_task(i) for i in range(50)]
        placements = choose_placements_naive(tasks, view, 'a', Random(1))
        assert {p.agent for p in placements} == {'a', 'b'}


def _list_schedule_ms(run_times, slots, speed):
    ends = [0.0] * slots
    for run_ms in run_times:
        ends.sort()
        ends[0] += run_ms / speed
    return max(ends)
