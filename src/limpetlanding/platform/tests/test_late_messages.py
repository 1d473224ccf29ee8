"""End-to-end tests of processes that act late, on what they knew before."""

import asyncio

import pytest

from limpetlanding.platform.tests.rig import CONTROL_PORT, System, body
from limpetlanding.runs.ports import CallTarget, FenceRejected, StartOrder
from limpetlanding.standin.platform_checks import overlapping_runs

JOB = '5c0e7a21d94b36f8'


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
