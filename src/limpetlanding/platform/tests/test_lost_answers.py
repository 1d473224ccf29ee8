"""End-to-end tests of jobs that are sent again after their answer was lost."""

import asyncio

import pytest

from limpetlanding.platform.tests.rig import System, body
from limpetlanding.runs.model import JobState
from limpetlanding.standin.platform_checks import overlapping_runs

JOB = '5c0e7a21d94b36f8'
OTHER = '5c0e7a21d94b36f9'


def slow(system, work_s):
    """Let all tasks take `work_s` seconds."""
    for executor in system.executors:
        executor.work_s = lambda _: work_s


async def lose_answer(system, front=0):
    """Submit a job, and close its connection while its tasks run."""
    job = asyncio.create_task(system.submit(JOB, body(2), 9000, front))
    await asyncio.sleep(0.3)
    assert system.history()
    job.cancel()


async def leave_all(system):
    """Let all executors announce that they are draining."""
    for number, executor in enumerate(system.executors):
        system.heartbeats[number].cancel()
        fields = executor.announcement() | {'state': 'draining'}
        await system.announce(number, fields)
    await asyncio.sleep(1.3)


class TestLateStops:
    """Guards against second runs while an executor delays the stops."""

    @pytest.mark.parametrize('front', [0, 1])
    async def test_job_that_is_sent_again_does_not_overlap(self, front):
        async with System(front_count=2).run() as system:
            slow(system, 10)
            await lose_answer(system)
            for executor in system.executors:
                if executor.runs:
                    executor.faults.late_orders_s = 4
            await asyncio.sleep(1.3)
            slow(system, 1)
            await system.submit(JOB, body(2), 9000, front)
            assert not overlapping_runs(system.history())


class TestStoppingFront:
    """Guards against a job that is refused as not run by a stopping front."""

    async def test_job_that_ran_there_is_not_refused_as_not_run(self):
        async with System().run() as system:
            slow(system, 5)
            await lose_answer(system)
            system.fronts[0].begin_stop(1)
            long = body(2, estimateMs=2000)
            assert (await system.submit(JOB, long, 9000))[0] == 504
            assert (await system.submit(OTHER, long, 9000))[0] == 503

    async def test_job_that_runs_there_is_joined(self):
        async with System().run() as system:
            slow(system, 0.9)
            long = body(2, estimateMs=2000)
            first = asyncio.create_task(system.submit(JOB, long, 9000))
            await asyncio.sleep(0.2)
            system.fronts[0].begin_stop(1)
            assert (await system.submit(JOB, long, 9000))[0] == 200
            assert (await first)[0] == 200
            assert len(system.history()) == 2


class TestOtherFront:
    """Guards against wrong answers and runs at the front that is asked next."""

    async def test_runs_of_a_job_sent_to_another_front_do_not_overlap(self):
        async with System(front_count=2).run() as system:
            slow(system, 2)
            await lose_answer(system)
            await asyncio.sleep(1.3)
            assert (await system.submit(JOB, body(2), 9000, front=1))[0] == 200
            assert not overlapping_runs(system.history())

    async def test_job_that_ran_at_another_front_is_not_refused_as_not_run(
        self,
    ):
        async with System(front_count=2).run() as system:
            slow(system, 5)
            await lose_answer(system)
            await leave_all(system)
            assert (await system.submit(JOB, body(2), 900, front=1))[0] == 504

    async def test_job_that_ran_two_links_away_is_not_refused_as_not_run(self):
        # Guards against a wrong refusal if fronts are not all linked.
        async with System(front_count=3).run() as system:
            slow(system, 5)
            await lose_answer(system, front=1)
            await leave_all(system)
            assert (await system.submit(JOB, body(2), 900, front=2))[0] == 504

    async def test_runs_do_not_overlap_if_the_job_had_failed_elsewhere(self):
        # The client has not received the answer.
        async with System(front_count=2).run() as system:
            slow(system, 2)
            content = body(2)
            first = asyncio.create_task(system.submit(JOB, content, 9000))
            await asyncio.sleep(0.3)
            active = system.fronts[0].dispatcher.jobs[JOB]
            active.outcome.set_result(JobState.FAILED)
            await first
            assert (await system.submit(JOB, content, 9000, front=1))[0] == 200
            assert not overlapping_runs(system.history())

    @pytest.mark.xfail(
        strict=True,
        reason='KNOWN-RED: only a closed connection shows that a client left',
    )
    async def test_runs_do_not_overlap_if_the_close_does_not_arrive(self):
        async with System(front_count=2).run() as system:
            slow(system, 3)
            # The first front is cut off from its client, which has given up.
            first = asyncio.create_task(system.submit(JOB, body(2), 9000))
            await asyncio.sleep(1.5)
            await system.submit(JOB, body(2), 9000, front=1)
            await first
            assert not overlapping_runs(system.history())

    async def test_runs_do_not_overlap_if_the_job_is_sent_again_at_once(self):
        async with System(front_count=2).run() as system:
            slow(system, 2)
            await lose_answer(system)
            await system.submit(JOB, body(2), 9000, front=1)
            assert not overlapping_runs(system.history())
