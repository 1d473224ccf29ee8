"""End-to-end tests of processes that act late, on what they knew before."""

import asyncio

import pytest

from limpetlanding.platform.tests.rig import CONTROL_PORT, System, body
from limpetlanding.runs.ports import CallTarget, FenceRejected, StartOrder
from limpetlanding.standin.platform_checks import overlapping_runs
from limpetlanding.wire.run_messages import ExpectedRuns, StopRuns

JOB = '5c0e7a21d94b36f8'

RESUBMISSION_DELAY_S = 1.3
"""Time after which the platform's clients send a job again."""


def slow(system, work_s):
    """Let all tasks take `work_s` seconds."""
    for executor in system.executors:
        executor.work_s = lambda _: work_s


async def running_job(system, work_s=2, front=0):
    """Submit a job of two tasks, and return its call once they run."""
    slow(system, work_s)
    job = asyncio.create_task(system.submit(JOB, body(2), 9000, front))
    await asyncio.sleep(0.3)
    assert len(system.history()) == 2
    return job


async def leave(system):
    """Send the message of the first executor that it leaves."""
    url = f'http://127.0.0.1:{CONTROL_PORT}/api/instances/i-0'
    async with system.session.delete(url) as response:
        assert response.status == 200


class TestSlowMachines:
    """Guards against work that is lost as a machine is silent for a while."""

    async def test_runs_outlast_a_short_silence_of_their_executor(self):
        async with System().run() as system:
            job = await running_job(system)
            for executor in system.executors:
                executor.faults.silent = True
            await asyncio.sleep(0.5)
            for executor in system.executors:
                executor.faults.silent = False
            assert (await job)[0] == 200
            assert len(system.history()) == 2

    async def test_runs_outlast_links_that_are_reset(self):
        async with System().run() as system:
            job = await running_job(system)
            for channel in system.fronts[0].node.channels:
                for link in channel.links:
                    link.abort()
            assert (await job)[0] == 200
            assert len(system.history()) == 2

    async def test_runs_outlast_missing_heartbeats(self):
        async with System().run() as system:
            for heartbeat in system.heartbeats:
                heartbeat.cancel()
            job = await running_job(system, work_s=6)
            assert (await job)[0] == 200
            assert len(system.history()) == 2


class TestHandOver:
    """Guards against orders that go out twice when a process is replaced."""

    async def test_tasks_of_a_worker_that_is_replaced_at_once_do_not_overlap(
        self,
    ):
        async with System().run() as system:
            job = await running_job(system)
            await system.kill('w0')
            await system.start_worker(0, incarnation=2)
            assert (await job)[0] == 200
            assert not overlapping_runs(system.history())

    async def test_job_of_a_front_that_is_replaced_at_once_does_not_overlap(
        self,
    ):
        async with System().run() as system:
            job = await running_job(system)
            await system.kill('f0')
            job.cancel()
            await system.start_front(0, incarnation=2)
            await asyncio.sleep(RESUBMISSION_DELAY_S)
            assert (await system.submit(JOB, body(2), 9000))[0] == 200
            assert not overlapping_runs(system.history())

    async def test_job_that_a_stopping_front_gave_up_does_not_overlap(self):
        async with System(front_count=2).run() as system:
            job = await running_job(system)
            system.fronts[0].begin_stop(0.5)
            assert (await job)[0] == 504
            await system.kill('f0')
            await asyncio.sleep(RESUBMISSION_DELAY_S)
            assert (await system.submit(JOB, body(2), 9000, front=1))[0] == 200
            assert not overlapping_runs(system.history())


class TestSameId:
    """Guards against orders to an executor that has restarted under its id."""

    async def test_run_that_the_new_incarnation_starts_does_not_overlap(self):
        # The worker learns of the restart only after the order.
        async with System().run() as system:
            slow(system, 0.5)
            for executor in system.executors:
                executor.restart(executor.executor_id)
            status, _ = await system.submit(JOB, body(2), 9000)
            assert status == 200
            await system.settle()
            assert not overlapping_runs(system.history())


class TestFrontsThatActLate:
    """Guards against a front that acts for a job that it has lost."""

    async def test_front_does_not_start_tasks_of_a_client_that_has_left(self):
        async with System(worker_count=1).run() as system:
            fields = system.executors[0].announcement()
            await system.announce(0, fields | {'state': 'draining'})
            job = asyncio.create_task(system.submit(JOB, wait_ms=3000))
            await asyncio.sleep(0.1)
            # The machine of the front is suspended. The close of the client's
            # connection arrives later.
            system.suspended_s = 5
            await system.announce(0, system.executors[0].announcement())
            await asyncio.sleep(1.5)
            assert not system.history()
            await job

    @pytest.mark.parametrize('message', [StopRuns, ExpectedRuns])
    async def test_late_message_does_not_stop_the_run_of_another_front(
        self, message
    ):
        async with System(worker_count=1, front_count=2).run() as system:
            job = await running_job(system, front=1)
            keys = [f'{run.task}/{run.run}' for run in system.history()]
            late = {
                StopRuns: StopRuns(keys, 'late'),
                ExpectedRuns: ExpectedRuns([], []),
            }[message]
            (channel,) = system.fronts[0].node.connected('worker')
            await channel.request(late, 1)
            assert (await job)[0] == 200
            assert {run.how for run in system.history()} == {'done'}


class TestWorkersThatActLate:
    """Guards against orders of a worker process that another has replaced."""

    async def test_order_of_a_replaced_worker_is_rejected(self):
        async with System(worker_count=1).run() as system:
            former = system.workers[0].supervisor
            target = former.call_target()
            await system.kill('w0')
            await system.start_worker(0, incarnation=2)
            await system.settle()
            newer = system.workers[0].supervisor
            assert newer.fence > target.fence
            order = StartOrder(f'{JOB}.0.0.0', 1, '', 10**9)
            with pytest.raises(FenceRejected):
                await newer.port.start(
                    CallTarget(target.executor_id, target.fence), order
                )
            assert not system.history()

    async def test_late_departure_of_an_earlier_incarnation_ends_no_run(self):
        # Both have the same id, which is all that the message names.
        async with System().run() as system:
            job = await running_job(system)
            await leave(system)
            assert (await job)[0] == 200
            assert len(system.history()) == 2
            await system.settle()
            assert system.workers[0].report().accepting

    @pytest.mark.parametrize('answers', [True, False])
    async def test_runs_of_an_executor_that_has_left_are_started_elsewhere(
        self, answers
    ):
        async with System().run() as system:
            job = await running_job(system, work_s=1)
            system.heartbeats[0].cancel()
            executor = system.executors[0]
            await leave(system)
            executor.restart('i-next')
            executor.faults.silent = not answers
            assert (await job)[0] == 200
            assert not overlapping_runs(system.history())
            assert system.workers[0].supervisor.executor is None
