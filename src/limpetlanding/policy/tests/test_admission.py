from dataclasses import replace
from itertools import combinations
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limpetlanding.jobs import Reason
from limpetlanding.policy import (
    Admission,
    AdmissionLimits,
    AdmissionRequest,
    Admitted,
    Refused,
    SystemLoad,
)
from limpetlanding.policy.admission import (
    MAX_BACKLOG_MS,
    OVER_SHARE_BACKLOG_MS,
)

IDLE = SystemLoad(capacity=88, backlog_ms=0, entries=3)
FULL = SystemLoad(88, OVER_SHARE_BACKLOG_MS + 50, 3)
WIDE = AdmissionLimits(tasks_at_once=1000, tasks_per_second=1000)


def request(customer='a', tasks=1, work_ms=300, remaining_ms=3000):
    return AdmissionRequest(customer, tasks, work_ms, remaining_ms)


events = st.lists(
    st.one_of(
        st.tuples(st.just('job'), st.integers(1, 12)),
        st.tuples(st.just('end'), st.integers(1, 5)),
        st.tuples(st.just('pass'), st.floats(0.01, 2)),
    ),
    max_size=60,
)


class TestContractLimits:
    @settings(derandomize=True, max_examples=300)
    @given(events, st.integers(1, 20), st.integers(1, 10))
    def test_same_as_a_count_over_all_events(self, events, at_once, per_second):
        limits = AdmissionLimits(at_once, per_second)
        admission = Admission()
        now, running = 0.0, 0
        starts = []
        for step, value in events:
            if step == 'pass':
                now += value
            elif step == 'end':
                running = max(0, running - value)
                admission.task_ended('a', value)
            else:
                verdict = admission.decide(
                    request(tasks=value), limits, 300, IDLE, now
                )
                if isinstance(verdict, Admitted):
                    running += value
                    starts.append((now, value))
                elif running + value <= at_once:
                    # Refused for the rate: since some earlier start, this
                    # job and the started tasks exceed the token bucket.
                    assert any(
                        sum(n for at, n in starts if at >= since)
                        + min(value, per_second)
                        > per_second * (now - since) - 1e-6
                        for since, _ in starts
                    )
                assert running <= at_once
                assert admission.usage('a').tasks == running
        largest = max((n for _, n in starts), default=0)
        for (since, _), (until, _) in combinations(starts, 2):
            started = sum(n for at, n in starts if since <= at <= until)
            allowed = per_second * (1 + until - since)
            assert started <= allowed + max(0, largest - 1) + 1e-6

    def test_job_is_admitted_as_a_whole_or_not_at_all(self):
        admission = Admission()
        limits = AdmissionLimits(tasks_at_once=10, tasks_per_second=100)
        admission.decide(request(tasks=6), limits, 300, IDLE, 0)
        verdict = admission.decide(request(tasks=5), limits, 300, IDLE, 0)
        assert verdict.reason == Reason.OVER_LIMIT
        assert admission.usage('a').tasks == 6

    def test_job_larger_than_the_rate_is_admitted_and_counted(self):
        # Guards against never admitting a job of 100 tasks under a contract
        # of 20 tasks/s, and against not counting it against the rate.
        admission = Admission()
        limits = AdmissionLimits(tasks_at_once=1000, tasks_per_second=20)
        job = request(tasks=100)
        verdicts = [
            admission.decide(job, limits, 300, IDLE, now)
            for now in (0, 1, 2, 4.9, 5.1)
        ]
        admitted = [isinstance(x, Admitted) for x in verdicts]
        assert admitted == [True, False, False, False, True]

    def test_customers_do_not_share_limits(self):
        admission = Admission()
        limits = AdmissionLimits(tasks_at_once=1, tasks_per_second=10)
        for customer in 'ab':
            job = request(customer)
            verdict = admission.decide(job, limits, 300, IDLE, 0)
            assert isinstance(verdict, Admitted)


class TestDeadline:
    def test_job_past_its_deadline_is_always_refused(self):
        strict = AdmissionLimits(1000, 1000, may_refuse=frozenset())
        job = request(remaining_ms=0)
        verdict = Admission().decide(job, strict, 300, IDLE, 0)
        assert verdict.reason == Reason.DEADLINE

    def test_margin_applies_only_while_work_is_queued(self):
        job = request(remaining_ms=400)
        idle = Admission().decide(job, WIDE, 350, IDLE, 0)
        busy = Admission().decide(job, WIDE, 350, FULL, 0)
        assert isinstance(idle, Admitted)
        assert busy.reason == Reason.DEADLINE

    def test_margin_is_learnt_per_customer(self):
        # Guards against a customer whose predictions are always too low, so
        # that the queue fills with its work that ends late.
        admission = Admission()
        rng = Random(1)
        for _ in range(200):
            admission.record_prediction('a', 100, 100 * rng.uniform(2, 4))
            admission.record_prediction('b', 100, 100 * rng.uniform(0.9, 1.1))
        job = {'remaining_ms': 1000}
        got = {
            (name, ms): isinstance(
                admission.decide(request(name, **job), WIDE, ms, FULL, 0),
                Admitted,
            )
            for name in 'ab'
            for ms in (240, 290, 850, 950)
        }
        assert [got['a', ms] for ms in (240, 290)] == [True, False]
        assert [got['b', ms] for ms in (850, 950)] == [True, False]

    def test_contract_can_forbid_the_refusal(self):
        limits = AdmissionLimits(1000, 1000, may_refuse=frozenset(['overload']))
        job = request(remaining_ms=100)
        verdict = Admission().decide(job, limits, 5000, FULL, 0)
        assert isinstance(verdict, Admitted)


class TestSaturation:
    def submit_for_a_second(
        self, admission, customer, share, system, work_ms=300
    ):
        """Submit 100 jobs in one second; return how many are admitted."""
        limits = AdmissionLimits(1000, 1000, share)
        job = request(customer, work_ms=work_ms, remaining_ms=1e6)
        verdicts = [
            admission.decide(job, limits, 300, system, i / 100)
            for i in range(100)
        ]
        return sum(isinstance(x, Admitted) for x in verdicts)

    def test_customer_over_its_share_is_refused(self):
        # 100 jobs/s of 300 ms are 30 ms of work per ms, and the capacity for
        # this entry is 29.3 ms/ms.
        admission = Admission()
        assert self.submit_for_a_second(admission, 'in', 0.9, FULL) >= 95
        assert self.submit_for_a_second(admission, 'over', 0.1, FULL) <= 30

    def test_share_does_not_matter_below_saturation(self):
        assert self.submit_for_a_second(Admission(), 'over', 0.1, IDLE) == 100

    def test_no_customer_fills_the_queue_beyond_the_bound(self):
        system = SystemLoad(88, MAX_BACKLOG_MS + 1, 3)
        assert self.submit_for_a_second(Admission(), 'in', 1.0, system) == 0

    def test_short_work_is_not_refused_for_queued_long_work(self):
        # Guards against refusing short work that would overtake the queued
        # long work: this was 1.8% of all jobs at 70% load with 10% long work.
        backlog_ms = MAX_BACKLOG_MS + 1
        system = SystemLoad(88, backlog_ms, 3, long_backlog_ms=backlog_ms)
        limits = AdmissionLimits(1000, 1000, 0.1)
        short = request(remaining_ms=1e6)
        long = replace(short, is_long=True)
        admission = Admission()
        verdicts = [
            admission.decide(job, limits, 300, system, 0)
            for job in (short, long)
        ]
        assert [type(x) for x in verdicts] == [Admitted, Refused]

    def test_contract_can_forbid_the_refusal(self):
        limits = AdmissionLimits(1000, 1000, 0.1, frozenset(['deadline']))
        system = SystemLoad(88, MAX_BACKLOG_MS + 1, 3)
        job = request(remaining_ms=1e6)
        verdict = Admission().decide(job, limits, 300, system, 0)
        assert isinstance(verdict, Admitted)

    def test_retries_are_spread_over_the_time_to_serve_them(self):
        # Guards against refused callers that all retry at the same time.
        admission = Admission(Random(1))
        limits = AdmissionLimits(1000, 1000, 0)
        refusals = [
            admission.decide(request(work_ms=300), limits, 300, FULL, 0)
            for _ in range(500)
        ]
        delays = [x.retry_after_ms for x in refusals if isinstance(x, Refused)]
        to_serve_ms = 500 * 300 / (88 / 3)
        assert len(delays) > 450
        assert max(delays) == pytest.approx(to_serve_ms, rel=0.2)
        per_100_ms = [int(x // 100) for x in delays]
        most = max(per_100_ms.count(x) for x in set(per_100_ms))
        assert most < 5 * len(delays) / (to_serve_ms / 100)
