"""Spreading of orders over workers of similar cost."""

from collections import Counter
from random import Random

import pytest

from limpetlanding.runs.fleet import Fleet
from limpetlanding.runs.model import Resources, Step
from limpetlanding.runs.spreading import spread_order
from limpetlanding.runs.tests.contention import Contention
from limpetlanding.runs.tests.standins import CORES, StandinChannel, report


class BestFirstFleet(Fleet):
    """Fleet of which all fronts try the same worker first."""

    def ranked(self, step, views, max_run_ratio):
        fitting = super().ranked(step, views, max_run_ratio)
        return sorted(fitting, key=lambda x: x.report.run_ratio)


def first_choices(cost, room, draws=200):
    rng = Random(1)
    return Counter(
        spread_order(list(cost), cost.get, room.get, rng)[0]
        for _ in range(draws)
    )


class TestSpreadOrder:
    """Guards against fronts that all choose the same worker."""

    def test_no_worker_of_similar_cost_is_the_first_of_most_draws(self):
        names = 'abcdef'
        cost = {name: 1 + index / 25 for index, name in enumerate(names)}
        firsts = first_choices(cost, dict.fromkeys(names, 5))
        assert len(firsts) == len(names) - 1
        assert max(firsts.values()) < firsts.total() / 2

    def test_more_room_is_chosen_more_often(self):
        firsts = first_choices(
            dict.fromkeys('abc', 1), {'a': 9, 'b': 5, 'c': 1}
        )
        assert firsts['a'] > firsts['b'] > firsts['c']

    def test_costly_workers_come_last_in_order_of_cost(self):
        cost = {'a': 2.1, 'b': 1, 'c': 1.5}
        room = {'a': 99, 'b': 1, 'c': 50}
        for seed in range(20):
            order = spread_order('abc', cost.get, room.get, Random(seed))
            assert order == ['b', 'c', 'a']

    def test_own_domain_is_chosen_of_two_with_the_same_room(self):
        fleet = Fleet('z1', Random(1))
        for name, domain in (('near', 'z1'), ('far', 'z2')):
            fleet.update(StandinChannel(name), report(domain=domain), 0)
        step = Step(1, Resources(CORES // 8, 1), 100)
        for _ in range(20):
            views = fleet.ranked(step, fleet.usable('desk'), 9)
            assert [view.name for view in views] == ['near', 'far']


class TestContention:
    """Guards against refused orders because several fronts choose alike."""

    @pytest.mark.parametrize(
        ('fronts', 'workers', 'jobs_per_s'), [(5, 17, 55), (20, 60, 160)]
    )
    def test_less_than_half_of_the_refusals_remain(
        self, fronts, workers, jobs_per_s
    ):
        before, after = (
            Contention(1, fronts, workers, jobs_per_s, new_fleet).run(6)
            for new_fleet in (BestFirstFleet, Fleet)
        )
        assert after.refused_share < before.refused_share / 2
        assert after.orders < before.orders
        assert after.wait_s(0.9) < before.wait_s(0.9)
        assert after.on_time_share() > before.on_time_share()
