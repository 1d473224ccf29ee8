from random import Random
from statistics import mean

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limpetlanding.policy import Estimator, SpeedTracker
from limpetlanding.policy.estimates import DEFAULT_MS, WINDOW_SIZE


def feed(estimator, runs, declared=None, speed=1.0):
    for i, run_ms in enumerate(runs):
        declared_ms = declared[i] if declared else None
        estimator.observe('c', 'k', declared_ms, run_ms, speed)


class TestEstimatorHistory:
    @settings(derandomize=True)
    @given(st.lists(st.floats(100, 390), min_size=1, max_size=WINDOW_SIZE))
    def test_clean_input_gives_the_plain_mean(self, runs):
        estimator = Estimator()
        feed(estimator, runs)
        got = estimator.estimate('c', 'k')
        assert got.mean_ms == pytest.approx(mean(runs), rel=1e-5)
        assert got.mean_ms <= got.p90_ms <= max(runs) * 1.0001

    @pytest.mark.parametrize('seed', range(5))
    def test_stragglers_change_the_estimate_less_than_the_mean(self, seed):
        # Guards against a single run of a minute that moves the mean of its
        # kind into the long class.
        rng = Random(seed)
        clean = [rng.uniform(100, 300) for _ in range(WINDOW_SIZE)]
        runs = [x * 100 if i % 32 == 7 else x for i, x in enumerate(clean)]
        estimator = Estimator()
        feed(estimator, runs)
        error_ms = abs(estimator.estimate('c', 'k').mean_ms - mean(clean))
        naive_error_ms = abs(mean(runs) - mean(clean))
        assert error_ms < naive_error_ms / 20

    def test_frequent_long_runs_are_not_left_out(self):
        # Guards against leaving out long runs that are a normal part of the
        # kind, which would make its estimate too low.
        estimator = Estimator()
        feed(estimator, [100, 100, 100, 2000] * 16)
        assert estimator.estimate('c', 'k').mean_ms == pytest.approx(575)

    def test_estimate_follows_a_change_of_run_times(self):
        estimator = Estimator()
        feed(estimator, [100] * 200)
        feed(estimator, [900] * WINDOW_SIZE)
        assert estimator.estimate('c', 'k').mean_ms == pytest.approx(900)

    def test_unknown_pair_has_the_default(self):
        assert Estimator().estimate('c', 'k').mean_ms == DEFAULT_MS

    def test_least_recently_observed_pair_is_dropped(self):
        estimator = Estimator(max_pairs=3)
        for kind in ('a', 'b', 'c', 'a', 'd'):
            estimator.observe('x', kind, None, 50, 1.0)
        assert [kind for _, kind in estimator.pairs] == ['c', 'a', 'd']


class TestEstimatorDeclarations:
    def test_accurate_declarations_determine_the_estimate(self):
        rng = Random(1)
        runs = [rng.uniform(50, 1000) for _ in range(100)]
        estimator = Estimator()
        feed(estimator, runs, declared=runs)
        got = estimator.estimate('c', 'k', 800).mean_ms
        assert got == pytest.approx(800, rel=0.05)

    def test_constant_factor_of_declarations_is_corrected(self):
        rng = Random(1)
        runs = [rng.uniform(50, 1000) for _ in range(100)]
        estimator = Estimator()
        feed(estimator, runs, declared=[x / 20 for x in runs])
        got = estimator.estimate('c', 'k', 40).mean_ms
        assert got == pytest.approx(800, rel=0.05)

    def test_inaccurate_declarations_are_ignored(self):
        # Guards against trust in declarations that are wrong by a factor of
        # up to 30.
        rng = Random(1)
        runs = [rng.uniform(150, 250) for _ in range(200)]
        declared = [x * 30 ** rng.uniform(-1, 1) for x in runs]
        estimator = Estimator()
        feed(estimator, runs, declared)
        for declared_ms in (7, 200, 6000):
            got = estimator.estimate('c', 'k', declared_ms).mean_ms
            assert 150 < got < 260

    def test_first_declaration_has_half_the_weight(self):
        got = Estimator().estimate('c', 'k', 30_000).mean_ms
        assert got == pytest.approx((30_000 * DEFAULT_MS) ** 0.5)

    @settings(derandomize=True)
    @given(
        st.lists(
            st.tuples(
                st.one_of(st.none(), st.floats()),
                st.floats(0, 1e9),
                st.floats(0, 20),
            ),
            max_size=20,
        ),
        st.one_of(st.none(), st.floats(-10, 1e9)),
    )
    def test_any_input_gives_a_usable_estimate(self, runs, declared_ms):
        # Guards against zero, negative, infinite or undefined values from
        # callers.
        estimator = Estimator()
        for declared, run_ms, speed in runs:
            estimator.observe('c', 'k', declared, run_ms, speed)
        got = estimator.estimate('c', 'k', declared_ms)
        assert 0 < got.mean_ms <= got.p90_ms < float('inf')


class TestSpeedTracker:
    @pytest.mark.parametrize('true_speed', [0.25, 0.5, 1, 2, 4])
    def test_learns_the_speed_despite_variation_and_stragglers(
        self, true_speed
    ):
        rng = Random(2)
        tracker = SpeedTracker()
        for i in range(430):
            run_ms = rng.uniform(100, 300) / true_speed
            tracker.observe(200, run_ms * (60 if i % 50 == 49 else 1))
        assert tracker.speed == pytest.approx(true_speed, rel=0.15)

    def test_follows_an_endpoint_that_becomes_slow(self):
        tracker = SpeedTracker()
        for _ in range(200):
            tracker.observe(200, 200)
        for _ in range(60):
            tracker.observe(200, 1600)
        assert tracker.speed < 0.25

    @pytest.mark.parametrize('first_guess', [30, 300, 3000])
    def test_speeds_and_estimates_do_not_drift_together(self, first_guess):
        # Speeds and estimates are learnt from each other. Guards against a
        # common error of both that grows without bound.
        rng = Random(3)
        true_speeds = [0.5, 0.7, 1, 1.4, 2]
        trackers = [SpeedTracker() for _ in true_speeds]
        estimator = Estimator()
        estimator.observe('c', 'k', None, first_guess, 1.0)
        scales = []
        for i in range(20_000):
            n = rng.randrange(5)
            expected_ms = estimator.estimate('c', 'k').mean_ms
            run_ms = rng.uniform(100, 300) / true_speeds[n]
            trackers[n].observe(expected_ms, run_ms)
            estimator.observe('c', 'k', None, run_ms, trackers[n].speed)
            if i % 1000 == 999:
                scales.append(expected_ms)
        assert all(150 < x < 270 for x in scales[1:])
        for tracker, true_speed in zip(trackers, true_speeds, strict=True):
            assert tracker.speed == pytest.approx(true_speed, rel=0.3)
