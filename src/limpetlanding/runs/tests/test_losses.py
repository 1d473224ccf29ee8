"""Tests of the decisions about tasks that crash executors."""

from math import inf, nan

import pytest

from limpetlanding.runs.loss_reports import received_loss
from limpetlanding.runs.losses import (
    MAX_REMEMBERED_LOSSES,
    RETENTION_S,
    ExecutorLoss,
    LossKind,
    LossLedger,
)
from limpetlanding.wire.run_messages import ExecutorLost

JOB = '5c0e7a21d94b36f8'
TASK = f'{JOB}.0.0.1'
DEADLY_JOBS = [f'd{number:015x}' for number in range(3)]
DEADLY_TASKS = [f'{job_id}.0.0.0' for job_id in DEADLY_JOBS]


def ledger_of(*losses):
    """Return a ledger with losses, one a second."""
    ledger = LossLedger()
    for at, loss in enumerate(losses):
        ledger.record(loss, at)
    return ledger


def crash(number, recent=(), others=()):
    """Return a crash of an executor of its own."""
    return ExecutorLoss(f'i-{number}', recent, others)


def silence(number):
    """Return the silence of an executor of its own, which runs the task."""
    return ExecutorLoss(f'i-{number}', (), (TASK,), LossKind.SILENT)


def unconfirmed(number):
    """Return a crash of an executor that may not have started the task."""
    return ExecutorLoss(f'i-{number}', unconfirmed_tasks=(TASK,))


def answered(number):
    """Return the report that an executor has answered again."""
    return ExecutorLoss(f'i-{number}', (), (TASK,), LossKind.ANSWERED)


class TestLossLedger:
    """Guards against deadly tasks that go unnoticed, and wrong suspicion."""

    @pytest.mark.parametrize('count', [1, 2])
    def test_task_is_deadly_after_two_crashes_at_its_start(self, count):
        ledger = ledger_of(*(crash(x, recent=(TASK,)) for x in range(count)))
        assert ledger.is_suspect(JOB)
        assert bool(ledger.deadly_task(JOB)) is (count == 2)

    def test_neighbour_of_one_crash_is_not_suspect(self):
        ledger = ledger_of(crash(1, others=(TASK,)))
        assert not ledger.is_suspect(JOB)

    @pytest.mark.parametrize('count', [2, 3, 4])
    def test_task_is_deadly_after_four_crashes_at_any_time(self, count):
        ledger = ledger_of(*(crash(x, others=(TASK,)) for x in range(count)))
        assert ledger.is_suspect(JOB)
        assert bool(ledger.deadly_task(JOB)) is (count == 4)

    def test_silent_executors_alone_raise_no_suspicion(self):
        ledger = ledger_of(*map(silence, range(3)))
        assert not ledger.is_suspect(JOB)
        assert not ledger.deadly_task(JOB)
        assert not ledger.is_paused(JOB)

    def test_silent_executors_alone_do_not_make_a_task_deadly(self):
        ledger = ledger_of(*map(silence, range(4)))
        assert ledger.is_paused(JOB)
        assert not ledger.deadly_task(JOB)

    def test_task_goes_on_when_a_silent_executor_has_answered(self):
        ledger = ledger_of(*map(silence, range(4)), answered(2))
        assert not ledger.is_paused(JOB)
        assert not ledger.record(silence(2), 6)

    def test_task_is_deadly_when_two_of_four_silent_executors_had_crashed(self):
        ledger = ledger_of(*map(silence, range(4)), crash(1, others=(TASK,)))
        assert not ledger.deadly_task(JOB)
        ledger.record(crash(3, others=(TASK,)), 6)
        assert ledger.deadly_task(JOB)

    @pytest.mark.parametrize('count', [1, 2, 3])
    def test_task_is_deadly_after_three_crashes_during_its_start(self, count):
        ledger = ledger_of(*map(unconfirmed, range(count)))
        assert not ledger.is_paused(JOB)
        assert bool(ledger.deadly_task(JOB)) is (count == 3)

    def test_unconfirmed_start_and_a_crash_are_not_enough(self):
        ledger = ledger_of(unconfirmed(1), crash(2, recent=(TASK,)))
        assert not ledger.deadly_task(JOB)

    def test_job_of_an_unconfirmed_start_is_tried_apart(self):
        assert ledger_of(unconfirmed(1)).is_suspect(JOB)

    def test_repeated_report_counts_once(self):
        ledger = ledger_of(*(crash(1, recent=(TASK,)) for _ in range(3)))
        assert not ledger.deadly_task(JOB)

    def test_certain_report_replaces_an_uncertain_one(self):
        ledger = ledger_of(silence(1), crash(1, recent=(TASK,)))
        assert ledger.is_suspect(JOB)
        assert not ledger.record(silence(1), 3)
        assert ledger.losses_of(TASK).silent == 0

    def test_old_crashes_are_forgotten(self):
        ledger = ledger_of(crash(1, recent=(TASK,)))
        assert len(list(ledger.known(RETENTION_S))) == 1
        assert not list(ledger.known(RETENTION_S + 1))
        assert not ledger.by_job

    def test_memory_is_bounded(self):
        ledger = ledger_of(
            *(
                crash(x, recent=(f'{x:016x}.0.0.0',))
                for x in range(MAX_REMEMBERED_LOSSES + 10)
            )
        )
        assert len(ledger.losses) == MAX_REMEMBERED_LOSSES
        assert len(ledger.by_job) == MAX_REMEMBERED_LOSSES


def crashes_of(deadly_tasks, others):
    """Return two crashes by each deadly task, with other tasks beside it."""
    return [
        crash(f'{task}-{number}', recent=(task,), others=others)
        for task in deadly_tasks
        for number in range(2)
    ]


class TestNeighbours:
    """Guards against tasks given up for crashes that other tasks caused."""

    def test_neighbour_of_deadly_tasks_is_not_given_up(self):
        ledger = ledger_of(*crashes_of(DEADLY_TASKS, others=(TASK,)))
        assert all(map(ledger.deadly_task, DEADLY_JOBS))
        assert not ledger.deadly_task(JOB)
        assert not ledger.is_suspect(JOB)

    def test_start_beside_a_deadly_task_is_not_suspect(self):
        ledger = ledger_of(crash(1, recent=(DEADLY_TASKS[0], TASK)))
        assert ledger.is_suspect(JOB)
        ledger.record(crash(2, recent=(DEADLY_TASKS[0],)), 2)
        assert not ledger.is_suspect(JOB)

    def test_tasks_that_start_together_do_not_excuse_each_other(self):
        ledger = ledger_of(
            *(crash(x, recent=(DEADLY_TASKS[0], TASK)) for x in range(2))
        )
        assert ledger.deadly_task(JOB)
        assert ledger.deadly_task(DEADLY_JOBS[0])

    def test_crashes_without_a_deadly_task_still_count(self):
        ledger = ledger_of(
            *crashes_of(DEADLY_TASKS[:1], others=(TASK,)),
            *(crash(x, others=(TASK,)) for x in range(2)),
        )
        assert ledger.is_suspect(JOB)
        assert not ledger.deadly_task(JOB)


class TestReceivedLoss:
    """Guards against malformed reports of peers."""

    @pytest.mark.parametrize('age_ms', [-1, inf, -inf, nan, 1e300])
    def test_impossible_age_is_bounded(self, age_ms):
        message = ExecutorLost('i-1', [TASK], [], 1, age_ms)
        _, age_s = received_loss(message)
        assert 0 <= age_s <= RETENTION_S

    def test_unknown_kind_is_ignored(self):
        assert received_loss(ExecutorLost('i-1', [TASK], [], 7)) is None
