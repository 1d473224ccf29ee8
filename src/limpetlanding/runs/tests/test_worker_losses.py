"""Tests of what fronts know of workers that are lost with their executors."""

from dataclasses import replace
from random import Random

import pytest

from limpetlanding.runs.losses import LossKind
from limpetlanding.runs.worker_losses import (
    MAX_OPEN_LOSSES,
    WorkerLosses,
    WorkerState,
)

TASK = '5c0e7a21d94b36f8.0.0.1'
BEFORE = WorkerState('w1', 'w1-1', 'i-1/1', True)
AFTER = WorkerState('w1', 'w1-2', 'i-1/1', True)


@pytest.fixture
def losses():
    """Return the losses of a front that has lost worker w1 with a task."""
    losses = WorkerLosses(Random(1))
    losses.record(BEFORE, [TASK])
    return losses


class TestWorkerLosses:
    """Guards against tasks whose host is lost under them without a count."""

    @pytest.mark.parametrize(
        ('changes', 'kinds'),
        [
            ({}, [LossKind.ANSWERED]),
            ({'executor': 'i-1/2'}, [LossKind.CRASHED]),
            ({'executor': 'i-1/2', 'accepting': False}, [LossKind.CRASHED]),
            ({'accepting': False}, []),
            ({'executor': '', 'accepting': False}, []),
        ],
    )
    def test_next_report_shows_whether_the_executor_crashed(
        self, losses, changes, kinds
    ):
        resolved = losses.resolve(replace(AFTER, **changes))
        assert [loss.kind for loss in resolved] == kinds
        assert all(loss.other_tasks == (TASK,) for loss in resolved)

    @pytest.mark.parametrize('executor', ['', 'i-1/1', 'i-1/2'])
    def test_process_that_lives_on_reports_crashes_itself(
        self, losses, executor
    ):
        (loss,) = losses.resolve(replace(BEFORE, executor=executor))
        assert loss.kind is LossKind.ANSWERED

    def test_loss_is_resolved_once(self, losses):
        losses.resolve(AFTER)
        assert not losses.resolve(AFTER)

    def test_report_of_another_worker_shows_nothing(self, losses):
        assert not losses.resolve(replace(AFTER, name='w2'))

    def test_losses_have_names_of_their_own(self, losses):
        losses.record(BEFORE, [TASK])
        resolved = losses.resolve(AFTER)
        assert len({loss.loss_id for loss in resolved}) == 2

    def test_memory_is_bounded(self, losses):
        for number in range(MAX_OPEN_LOSSES + 10):
            losses.record(replace(BEFORE, name=f'x{number}'), [TASK])
        assert len(losses.open) == MAX_OPEN_LOSSES
