"""Tests of what a process remembers of jobs and runs."""

from types import SimpleNamespace

import pytest

from limpetlanding.runs.registry import (
    JOB_RETENTION_S,
    MAX_REMEMBERED_JOBS,
    MAX_RESUBMISSION_WAIT_S,
    RUN_RETENTION_S,
    JobRegistry,
    RecentEntries,
    RunFate,
    RunRegistry,
)

OWNER = 'front-1/17'
JOB = '5c0e7a21d94b36f8'
JOB = '5c0e7a21d94b36f8'
KEY = '5c0e7a21d94b36f8.0.0.1/1'


class TestRecentEntries:
    """Guards against state that grows without bound or is dropped too early."""

    def test_oldest_entries_are_dropped_beyond_the_maximum(self):
        recent = RecentEntries(retention_s=10, max_count=3)
        for number in range(100):
            recent.record(number, 'value', now=0)
        assert recent.keys(now=0) == [97, 98, 99]
        assert len(recent.entries) == 3

    def test_expired_entries_are_dropped_by_the_next_record(self):
        recent = RecentEntries(retention_s=10, max_count=100)
        recent.record('old', 'value', now=0)
        recent.record('new', 'value', now=11)
        assert list(recent.entries) == ['new']

    def test_repeated_entry_is_kept_from_its_last_record_on(self):
        recent = RecentEntries(retention_s=10, max_count=100)
        recent.record('first', 1, now=0)
        recent.record('second', 1, now=1)
        recent.record('first', 2, now=9)
        assert recent.get('first', now=18) == 2
        assert recent.get('second', now=18) is None


class TestRunsElsewhere:
    """Guards against starts beside the runs of another front."""

    def test_runs_count_until_their_front_tells_their_end(self):
        registry = JobRegistry()
        assert registry.record_run_elsewhere(JOB, OWNER, (1, True), now=100)
        assert registry.runs_elsewhere(JOB, now=100)
        assert registry.record_run_elsewhere(JOB, OWNER, (2, False), now=100.1)
        assert not registry.runs_elsewhere(JOB, now=100.1)
        assert registry.may_have_run(JOB, now=100.1)

    def test_message_that_was_overtaken_does_not_hide_the_end(self):
        registry = JobRegistry()
        registry.record_run_elsewhere(JOB, OWNER, (2, False), now=100)
        assert not registry.record_run_elsewhere(JOB, OWNER, (1, True), now=101)
        assert not registry.runs_elsewhere(JOB, now=101)

    def test_end_at_one_front_does_not_hide_the_runs_of_another(self):
        registry = JobRegistry()
        registry.record_run_elsewhere(JOB, OWNER, (1, True), now=100)
        registry.record_run_elsewhere(JOB, 'front-3/9', (8, False), now=100)
        assert registry.runs_elsewhere(JOB, now=100)

    def test_message_of_another_front_does_not_hold_a_job_back_for_longer(self):
        registry = JobRegistry()
        registry.record_run_elsewhere(JOB, OWNER, (1, True), now=0)
        registry.record_run_elsewhere(JOB, 'front-3/9', (8, False), now=2)
        assert registry.runs_elsewhere(JOB, now=2)
        until = MAX_RESUBMISSION_WAIT_S
        assert not registry.runs_elsewhere(JOB, now=until + 0.1)

    def test_lost_front_does_not_hold_a_job_back_for_ever(self):
        registry = JobRegistry()
        registry.record_run_elsewhere(JOB, OWNER, (1, True), now=0)
        until = MAX_RESUBMISSION_WAIT_S
        assert registry.runs_elsewhere(JOB, now=until)
        assert not registry.runs_elsewhere(JOB, now=until + 0.1)
        assert registry.may_have_run(JOB, now=until + 0.1)


class TestRunRegistry:
    """Guards against a second decision on a run that was decided before."""

    @pytest.mark.parametrize('fate', list(RunFate))
    def test_fate_is_known_until_no_copy_of_the_order_can_arrive(self, fate):
        registry = RunRegistry()
        registry.record(OWNER, KEY, fate, now=100)
        assert registry.fate(OWNER, KEY, now=100 + RUN_RETENTION_S) is fate
        assert not registry.fate(OWNER, KEY, now=101 + RUN_RETENTION_S)

    def test_runs_of_other_fronts_are_not_confused(self):
        registry = RunRegistry()
        registry.record(OWNER, KEY, RunFate.REFUSED, now=100)
        assert registry.fate('front-2/17', KEY, now=100) is None

    def test_late_stop_does_not_hide_that_a_run_has_ended(self):
        registry = RunRegistry()
        registry.record(OWNER, KEY, RunFate.ENDED, now=100)
        registry.record(OWNER, KEY, RunFate.STOPPED, now=101)
        assert registry.fate(OWNER, KEY, now=101) is RunFate.ENDED


class TestJobRegistry:
    """Guards against a job that starts again after its end or cancellation."""

    def test_cancelled_job_is_known_until_no_submission_can_arrive(self):
        registry = JobRegistry()
        registry.record_cancelled(JOB, 100)
        assert registry.is_cancelled(JOB, now=100 + JOB_RETENTION_S)
        assert not registry.is_cancelled(JOB, now=101 + JOB_RETENTION_S)

    def test_unknown_job_is_neither_cancelled_nor_has_it_run(self):
        registry = JobRegistry()
        assert not registry.is_cancelled(JOB, now=0)
        assert not registry.may_have_run(JOB, now=0)

    def test_confirmation_does_not_extend_the_retention(self):
        registry = JobRegistry()
        registry.record_cancelled(JOB, 100)
        registry.confirm_cancelled(JOB)
        assert registry.cancelled.get(JOB, now=100) is True
        assert not registry.is_cancelled(JOB, now=101 + JOB_RETENTION_S)

    def test_second_cancellation_has_to_be_confirmed_again(self):
        registry = JobRegistry()
        registry.record_cancelled(JOB, 100)
        registry.confirm_cancelled(JOB)
        registry.record_cancelled(JOB, 200)
        assert registry.cancelled.get(JOB, now=200) is False

    def test_late_confirmation_does_not_record_a_job(self):
        registry = JobRegistry()
        registry.confirm_cancelled(JOB)
        assert not registry.is_cancelled(JOB, now=0)

    def test_cancelled_jobs_are_passed_on_with_their_ages(self):
        registry = JobRegistry()
        registry.record_cancelled('old', 100)
        registry.record_cancelled('new', 100 + JOB_RETENTION_S)
        assert registry.cancelled_ages(now=101 + JOB_RETENTION_S) == {'new': 1}

    @pytest.mark.parametrize('has_run', [True, False])
    def test_ended_job_may_have_run_if_a_task_was_started(self, has_run):
        registry = JobRegistry()
        registry.ended.record(JOB, SimpleNamespace(has_run=has_run), now=100)
        assert registry.may_have_run(JOB, now=101) is has_run
        assert not registry.may_have_run(JOB, now=101 + JOB_RETENTION_S)

    def test_job_that_ran_at_another_front_may_have_run(self):
        registry = JobRegistry()
        registry.run_elsewhere.record(JOB, True, now=100)
        assert registry.may_have_run(JOB, now=101)

    def test_cancelled_jobs_are_bounded(self):
        registry = JobRegistry()
        for number in range(MAX_REMEMBERED_JOBS + 10):
            registry.record_cancelled(f'{number:016x}', 100)
        assert len(registry.cancelled.entries) == MAX_REMEMBERED_JOBS
