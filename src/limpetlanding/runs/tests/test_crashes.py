"""Tests of the decisions about tasks that crash executors."""

import pytest

from limpetlanding.runs.crashes import (
    MAX_REMEMBERED_CRASHES,
    RETENTION_S,
    Crash,
    CrashLedger,
)

JOB = '5c0e7a21d94b36f8'
TASK = f'{JOB}.0.0.1'


def ledger_of(*crashes):
    """Return a ledger with crashes, one a second."""
    ledger = CrashLedger()
    for at, crash in enumerate(crashes):
        ledger.record(crash, at)
    return ledger


def crash(number, recent=(), others=(), certain=True):
    """Return a crash of an executor of its own."""
    return Crash(f'i-{number}', recent, others, certain)


class TestCrashLedger:
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
        ledger = ledger_of(
            *(crash(x, recent=(TASK,), certain=False) for x in range(3))
        )
        assert not ledger.is_suspect(JOB)
        assert not ledger.deadly_task(JOB)

    def test_repeated_report_counts_once(self):
        ledger = ledger_of(*(crash(1, recent=(TASK,)) for _ in range(3)))
        assert not ledger.deadly_task(JOB)

    def test_certain_report_replaces_an_uncertain_one(self):
        ledger = ledger_of(
            crash(1, recent=(TASK,), certain=False), crash(1, recent=(TASK,))
        )
        assert ledger.is_suspect(JOB)
        assert not ledger.record(crash(1, recent=(TASK,), certain=False), 3)
        assert ledger.losses[JOB][TASK].silent == 0

    def test_old_crashes_are_forgotten(self):
        ledger = ledger_of(crash(1, recent=(TASK,)))
        assert len(list(ledger.known(RETENTION_S))) == 1
        assert not list(ledger.known(RETENTION_S + 1))
        assert not ledger.losses

    def test_memory_is_bounded(self):
        ledger = ledger_of(
            *(
                crash(x, recent=(f'{x:016x}.0.0.0',))
                for x in range(MAX_REMEMBERED_CRASHES + 10)
            )
        )
        assert len(ledger.crashes) == MAX_REMEMBERED_CRASHES
        assert len(ledger.losses) == MAX_REMEMBERED_CRASHES
