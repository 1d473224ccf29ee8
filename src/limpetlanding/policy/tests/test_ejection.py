from itertools import cycle
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limpetlanding.policy import OutlierDetector
from limpetlanding.policy.ejection import MAX_EJECTION_S

AGENTS = [f'a{i}' for i in range(11)]


@pytest.fixture
def detector():
    detector = OutlierDetector()
    detector.set_agents(AGENTS)
    for i in range(110):
        detector.record_success(AGENTS[i % 11], 'xyz'[i % 3], 1.0, 0)
    return detector


def ejected_agents(detector, now=1.0):
    return [x for x in AGENTS if detector.is_ejected(x, now)]


class TestFailing:
    def test_agent_that_fails_every_task_is_ejected(self, detector):
        # Guards against an agent that fails tasks so fast that it looks idle
        # and attracts all work.
        for i in range(12):
            detector.record_failure('a3', 'xyz'[i % 3], 1)
        assert ejected_agents(detector) == ['a3']

    def test_invalid_tasks_of_one_customer_eject_no_agent(self, detector):
        for i in range(500):
            detector.record_failure(AGENTS[i % 11], 'x', 1)
            detector.record_success(AGENTS[i % 11], 'y', 1.0, 1)
        assert ejected_agents(detector) == []

    def test_one_customer_failing_at_one_agent_ejects_no_agent(self, detector):
        # Guards against ejection of the only agent that runs a kind of which
        # the customer submits invalid tasks.
        for i in range(500):
            detector.record_failure('a3', 'x', 1)
            detector.record_success(AGENTS[i % 11], 'x', 1.0, 1)
            detector.record_success(AGENTS[i % 11], 'y', 1.0, 1)
        assert ejected_agents(detector) == []

    def test_invalid_tasks_of_two_customers_eject_no_agent(self, detector):
        for i in range(500):
            detector.record_failure(AGENTS[i % 11], 'xy'[i % 2], 1)
        assert ejected_agents(detector) == []

    def test_rare_failures_beside_invalid_tasks_eject_no_agent(self, detector):
        for i in range(200):
            detector.record_failure('a3', 'x', 1)
            if i % 10 == 0:
                detector.record_failure('a3', 'y', 1)
            detector.record_success('a3', 'y', 1.0, 1)
        assert ejected_agents(detector) == []

    def test_failures_blamed_on_the_customer_do_not_count(self, detector):
        for i in range(100):
            detector.record_failure('a3', 'xyz'[i % 3], 1, blame='customer')
        assert ejected_agents(detector) == []

    def test_failures_of_the_only_active_customer_eject_an_agent(self):
        detector = OutlierDetector()
        detector.set_agents(AGENTS)
        for i in range(110):
            detector.record_success(AGENTS[i % 11], 'x', 1.0, 0)
        for _ in range(16):
            detector.record_failure('a3', 'x', 1)
        assert ejected_agents(detector) == ['a3']

    def test_occasional_failures_eject_no_agent(self, detector):
        rng = Random(1)
        for i in range(2000):
            agent, customer = AGENTS[i % 11], 'xyz'[i % 3]
            if rng.random() < 0.1:
                detector.record_failure(agent, customer, i / 100)
            else:
                detector.record_success(agent, customer, 1.0, i / 100)
        assert ejected_agents(detector, 20) == []

    def test_at_most_a_third_is_ejected(self, detector):
        for i in range(1000):
            detector.record_failure(AGENTS[i % 5], 'xyz'[i % 3], 1)
            detector.record_success(AGENTS[5 + i % 5], 'xyz'[i % 3], 1.0, 1)
        assert len(ejected_agents(detector)) == 3

    def test_agent_that_left_is_forgotten(self, detector):
        detector.set_agents(AGENTS[1:])
        detector.record_failure('a0', 'x', 1)
        assert not detector.is_ejected('a0', 1)
        assert sum(x.ok for x in detector.customers.values()) == 100


class TestSlowAndSilent:
    def test_slow_agent_is_ejected(self, detector):
        for i in range(8):
            detector.record_success('a3', 'xyz'[i % 3], 10.0, 1)
        assert ejected_agents(detector) == ['a3']

    def test_stragglers_eject_no_agent(self, detector):
        for i, ratio in zip(range(500), cycle([1, 1, 1, 1, 100]), strict=False):
            detector.record_success('a3', 'xyz'[i % 3], ratio, 1)
        assert ejected_agents(detector) == []

    def test_equal_slowness_of_all_agents_ejects_no_agent(self, detector):
        # Guards against ejections because all estimates are too low.
        for i in range(500):
            detector.record_success(AGENTS[i % 11], 'xyz'[i % 3], 8.0, 1)
        assert ejected_agents(detector) == []

    def test_silent_agent_is_ejected(self, detector):
        for _ in range(2):
            detector.record_timeout('a3', 1)
        detector.record_success('a3', 'x', 1.0, 1)
        for _ in range(2):
            detector.record_timeout('a3', 1)
        assert ejected_agents(detector) == []
        detector.record_timeout('a3', 1)
        assert ejected_agents(detector) == ['a3']


class TestProbation:
    @pytest.fixture
    def ejected(self, detector):
        for _ in range(3):
            detector.record_timeout('a3', 1)
        return detector

    def test_three_single_trials_end_the_probation(self, ejected):
        assert not ejected.trial_due('a3', 2)
        for i in range(3):
            now = 4 + i
            assert ejected.trial_due('a3', now)
            ejected.trial_started('a3', now)
            assert not ejected.trial_due('a3', now)
            assert ejected.is_ejected('a3', now)
            ejected.record_success('a3', 'x', 1.0, now)
        assert not ejected.is_ejected('a3', 7)

    def test_failed_trial_doubles_the_ejection_time(self, ejected):
        ejected.trial_started('a3', 4)
        ejected.record_failure('a3', 'x', 4)
        assert not ejected.trial_due('a3', 7.9)
        assert ejected.trial_due('a3', 8.1)

    def test_ejection_time_is_bounded(self, ejected):
        now = 4
        for _ in range(20):
            ejected.trial_started('a3', now)
            ejected.record_failure('a3', 'x', now)
            now += MAX_EJECTION_S
            assert ejected.trial_due('a3', now)

    def test_trial_without_result_is_repeated_after_a_timeout(self, ejected):
        ejected.trial_started('a3', 4)
        assert not ejected.trial_due('a3', 13)
        assert ejected.trial_due('a3', 15)


class TestInvariants:
    @settings(derandomize=True, max_examples=100)
    @given(st.integers(0, 10**6), st.integers(1, 12))
    def test_never_more_than_a_third_and_counts_stay_exact(self, seed, size):
        rng = Random(seed)
        agents = AGENTS[:size]
        detector = OutlierDetector()
        detector.set_agents(agents)
        for i in range(300):
            agent = rng.choice(agents)
            step = rng.choice(['failed', 'succeeded', 'silent', 'trial'])
            if step == 'failed':
                detector.record_failure(agent, rng.choice('xyz'), i)
            elif step == 'succeeded':
                detector.record_success(agent, rng.choice('xyz'), 9.0, i)
            elif step == 'silent':
                detector.record_timeout(agent, i)
            elif detector.trial_due(agent, i):
                detector.trial_started(agent, i)
            count = sum(detector.is_ejected(x, i) for x in agents)
            assert count <= size / 3
        kept = [x for a in detector.agents.values() for x in a.results]
        for customer, total in detector.customers.items():
            results = [x.ok for x in kept if x.customer == customer]
            assert (total.ok, total.failed) == (
                sum(results),
                len(results) - sum(results),
            )
