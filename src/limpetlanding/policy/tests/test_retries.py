from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limpetlanding.policy import RetryBudget, backoff_ms, spread_retry_ms
from limpetlanding.policy.retries import MAX_RETRY_AFTER_MS


class TestRetryBudget:
    @settings(derandomize=True)
    @given(st.lists(st.booleans(), max_size=500))
    def test_same_as_a_count_of_fresh_work(self, steps):
        # Guards against retries that multiply the load of a failing system.
        budget = RetryBudget(share=0.25, reserve=4)
        fresh = retries = 0
        for is_fresh in steps:
            if is_fresh:
                budget.deposit()
                fresh += 1
            else:
                retries += budget.try_withdraw()
            assert retries <= 4 + fresh * 0.25

    def test_retries_of_a_system_that_fails_every_request(self):
        budget = RetryBudget()
        retries = 0
        for _ in range(1000):
            budget.deposit()
            while budget.try_withdraw():
                retries += 1
        assert 100 <= retries <= 110

    def test_saved_retries_are_bounded(self):
        # Guards against many retries at once after a long time without any.
        budget = RetryBudget()
        budget.deposit(10**6)
        taken = sum(budget.try_withdraw() for _ in range(1000))
        assert taken == budget.reserve


class TestBackoff:
    @settings(derandomize=True)
    @given(st.integers(0, 10_000), st.integers(0, 99))
    def test_is_between_zero_and_the_doubled_base(self, attempt, seed):
        delay_ms = backoff_ms(attempt, Random(seed), base_ms=50, max_ms=2000)
        assert 0 <= delay_ms <= min(2000, 50 * 2 ** min(attempt, 20))

    def test_is_spread_over_the_whole_range(self):
        # Guards against callers that fail together and then retry together.
        delays = [backoff_ms(5, Random(seed)) for seed in range(1000)]
        counts = [sum(int(x // 200) == i for x in delays) for i in range(8)]
        assert min(counts) > 80


class TestRetryAfter:
    @pytest.mark.parametrize('excess_ms', [-5, 0, 400, 1e9, float('inf')])
    def test_is_bounded(self, excess_ms):
        delays = [
            spread_retry_ms(excess_ms, Random(seed)) for seed in range(100)
        ]
        assert min(delays) >= 50
        assert max(delays) <= 50 + MAX_RETRY_AFTER_MS

    def test_delays_are_spread_over_the_excess(self):
        rng = Random(1)
        delays = [spread_retry_ms(4000, rng) for _ in range(1000)]
        counts = [sum(int(x // 500) == i for x in delays) for i in range(8)]
        assert min(counts) > 80
