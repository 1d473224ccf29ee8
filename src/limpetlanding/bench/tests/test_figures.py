import math
import random

import pytest

from limpetlanding.bench import figures as fig
from limpetlanding.bench.caller import SubmittedJob
from limpetlanding.bench.deployments import KULO, OFFCUT
from limpetlanding.bench.experiments import crest_plans, crest_rate_at
from limpetlanding.bench.system import StartRecord
from limpetlanding.bench.workload import Arrival, JobMix, Task, draw_arrivals

IDEAL = fig.IdealService(fastest_speed=2, round_trip_ms=5)


def submitted_job(outcome='complete', response_ms=105.0, run_ms=100):
    arrival = Arrival(0, 'traders', (Task('quote', 200, None, False),), 3000, 0)
    results = [{'run_ms': run_ms}] if outcome == 'complete' else []
    return SubmittedJob(
        arrival, 'a', outcome, response_ms=response_ms, results=results
    )


class TestFigures:
    def test_ideal_response_has_slowdown_one(self):
        assert fig.slowdown(submitted_job(), IDEAL) == pytest.approx(1)

    def test_refused_job_counts_as_infinitely_slow(self):
        # Without this a policy that refuses every job would look best.
        assert fig.slowdown(submitted_job('not_run'), IDEAL) == math.inf

    def test_overhead_is_against_the_endpoint_that_ran_the_job(self):
        slow = submitted_job(response_ms=405.0, run_ms=400)
        assert fig.overhead(slow, IDEAL) == pytest.approx(1)

    def test_false_not_run_is_found_by_the_start_record(self):
        starts = StartRecord()
        starts.add_output_line(b'{"start": "a/0", "endpoint": "e"}\n')
        assert fig.false_not_run([submitted_job('not_run')], starts) == 1

    def test_double_start_is_found_across_endpoints(self):
        starts = StartRecord()
        starts.add_output_line(b'{"start": "a/0", "endpoint": "e1"}\n')
        starts.add_output_line(b'{"start": "a/0", "endpoint": "e2"}\n')
        assert starts.double_starts() == 1


class TestArrivals:
    def test_same_seed_draws_the_same_arrivals(self):
        # Both policies must be offered the same jobs.
        first, second = (
            draw_arrivals(random.Random(3), KULO, JobMix(), lambda _: 50, 5)
            for _ in range(2)
        )
        assert first == second
        assert len(first) > 100

    def test_crest_takes_the_middle_third_at_three_times_capacity(self):
        plan = crest_plans(OFFCUT, seed=1, seconds=30)[0]
        rate = crest_rate_at(plan)
        assert rate(15) == pytest.approx(10 * rate(5))
        assert rate(5) == rate(25)
