"""Compares the policies with the naive ones in a simulation.

The bounds are those of section 1 of the design page, as far as a simulation
without processor cost and messages can show them.
"""

from functools import cache

import pytest

from limpetlanding.policy.tests.simulation import Simulation, Workload

PEAK_S = (5, 15)
MESSAGES_PER_MOVE = 5
CUSTOMERS = (('a', 0.5, 0.5), ('b', 0.3, 0.3), ('c', 0.2, 0.2))
BURST = (('burst', 0.95, 0.8), ('calm', 0.05, 0.2))


def steady(load):
    return lambda now: load


def peak(now):
    return 3.0 if PEAK_S[0] <= now < PEAK_S[1] else 0.3


@cache
def run(policy, load, seconds=16, long_share=0.02, customers=CUSTOMERS):
    workload = Workload(
        peak if load == 'peak' else steady(load),
        seconds,
        long_share=long_share,
        customers=customers,
    )
    return Simulation(policy, workload, seed=1).run()


class TestSteadyLoad:
    def test_at_30_percent_tasks_start_immediately(self):
        ours = run('limpetlanding', 0.3).summary()
        naive = run('naive', 0.3).summary()
        assert ours['slowdown_p50'] <= 1.1
        assert ours['slowdown_p99'] <= min(2, naive['slowdown_p99'])
        assert ours['short_wait_p99_ms'] <= naive['short_wait_p99_ms']

    def test_at_80_percent_slowdown_is_at_most_half_of_naive(self):
        ours = run('limpetlanding', 0.8).summary()
        naive = run('naive', 0.8).summary()
        assert ours['slowdown_p99'] <= naive['slowdown_p99'] / 2

    def test_at_80_percent_few_tasks_are_refused(self):
        figures = run('limpetlanding', 0.8)
        assert figures.refused < 0.02 * sum(figures.offered.values())


class TestHeadOfLine:
    def test_short_work_does_not_wait_behind_long_work(self):
        ours = run('limpetlanding', 0.7, 20, 0.1).summary()
        naive = run('naive', 0.7, 20, 0.1).summary()
        assert ours['short_wait_p99_ms'] <= naive['short_wait_p99_ms'] / 5
        assert ours['long_wait_p99_ms'] <= naive['long_wait_p99_ms'] * 1.5


class TestPeak:
    def test_capacity_is_used_for_work_that_is_on_time(self):
        share = run('limpetlanding', 'peak').on_time_share(*PEAK_S)
        assert share >= 0.9

    def test_on_time_work_is_twice_that_of_naive(self):
        # Only short work, whose deadline (3 s) passes during the peak. Long
        # work has 12 s, so the naive policy could finish it in time.
        ours = run('limpetlanding', 'peak', long_share=0)
        naive = run('naive', 'peak', long_share=0)
        share = ours.on_time_share(*PEAK_S)
        assert share >= max(0.9, 2 * naive.on_time_share(*PEAK_S))

    def test_burst_of_one_customer_does_not_delay_another(self):
        # Guards against a burst of one customer that fills the queues of all.
        figures = run('limpetlanding', 'peak', customers=BURST)
        assert figures.served['calm'] >= 0.9 * figures.offered['calm']
        assert figures.served['burst'] < 0.5 * figures.offered['burst']

    @pytest.mark.parametrize('load', [0.8, 'peak'])
    def test_admitted_work_is_on_time(self, load):
        figures = run('limpetlanding', load)
        assert figures.expired <= 0.005 * sum(figures.offered.values())


class TestMoves:
    @pytest.mark.parametrize('load', [0.8, 'peak'])
    def test_messages_of_moves_stay_within_their_bound(self, load):
        # Guards against moves whose messages cost more than the moves save at
        # high load.
        figures = run('limpetlanding', load)
        admitted = sum(figures.offered.values()) - figures.refused
        assert 0 < figures.moved * MESSAGES_PER_MOVE <= 0.2 * admitted
        assert figures.missed_moves <= 0.5 * figures.moved
