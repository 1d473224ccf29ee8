"""Runs that take so long that their percentage changes rarely."""

import asyncio

import pytest

from limpetlanding.platform.tests.rig import System, body
from limpetlanding.standin.platform_checks import overlapping_runs

JOB = '5c0e7a21d94b36f8'
WORK_S = 90
WAIT_MS = 200_000


async def play(estimate_ms, percent_digits, count=2, stalled=False):
    """Run a job; return the status of the answer and the runs.

    Runs at the first of two executors make no progress if `stalled`.
    """
    async with System().run() as system:
        for executor in system.executors:
            executor.work_s = lambda _: WORK_S
            executor.percent_digits = percent_digits
        system.executors[0].faults.stalls = stalled
        content = body(count, estimateMs=estimate_ms)
        status, _ = await system.submit(JOB, content, WAIT_MS)
        return status, system.history()


class TestLongRuns:
    """Guards against sound runs that are stopped as stalled each time."""

    @pytest.mark.parametrize('estimate_ms', [WORK_S * 1000, WORK_S * 300, 0])
    async def test_run_ends_if_its_executor_lists_whole_numbers(
        self, estimate_ms
    ):
        status, runs = await play(estimate_ms, None)
        assert status == 200
        assert [run.how for run in runs] == ['done', 'done']

    @pytest.mark.parametrize('estimate_ms', [WORK_S * 1000, 0])
    async def test_run_ends_if_its_executor_lists_tenths(self, estimate_ms):
        status, runs = await play(estimate_ms, 1)
        assert status == 200
        assert [run.how for run in runs] == ['done', 'done']

    async def test_long_run_without_progress_is_started_elsewhere(self):
        # Guards against a limit that a stalled run never reaches.
        status, runs = await play(WORK_S * 1000, None, 12, stalled=True)
        assert status == 200
        stopped = [run for run in runs if run.how == 'stopped']
        assert stopped
        assert all(run.ended - run.started < 10 for run in stopped)
        assert not overlapping_runs(runs)


class TestStalledRuns:
    """Guards against stalled runs that are stopped late."""

    async def test_run_without_progress_among_fine_percentages(self):
        async with System(worker_count=1).run() as system:
            executor = system.executors[0]
            executor.percent_digits = 6
            executor.work_s = lambda _: WORK_S
            sound = asyncio.create_task(
                system.submit(JOB, body(1, estimateMs=WORK_S * 1000), WAIT_MS)
            )
            await asyncio.sleep(1)
            executor.faults.stalls = True
            stalled = asyncio.create_task(
                system.submit(f'{7:016x}', body(1, estimateMs=0), 5000)
            )
            await asyncio.sleep(2)
            run = system.history()[1]
            assert run.how == 'stopped'
            assert run.ended - run.started < 1
            for job in (sound, stalled):
                job.cancel()
