"""End-to-end tests that no two runs of a task are active at the same time."""

import asyncio

from limpetlanding.platform.tests.faulty_system import (
    FaultySystem,
    link_address,
)
from limpetlanding.platform.tests.rig import System, body
from limpetlanding.standin.platform_checks import overlapping_runs

JOB = '5c0e7a21d94b36f8'
RESUBMIT_DELAY_S = 1.3
WAIT_MS = 8000
WORK_S = 3


def busy_executor(system):
    """Return the executor that has runs."""
    (executor,) = [x for x in system.executors if x.runs]
    return executor


async def start_job(system):
    """Start a job at front 0 whose stops will be carried out late."""
    for executor in system.executors:
        executor.work_s = lambda _: WORK_S
    job = asyncio.create_task(system.submit(JOB, body(1), WAIT_MS))
    await asyncio.sleep(0.3)
    busy_executor(system).faults.late_orders_s = 6
    return job


async def check_resubmission(system):
    """Submit the job at front 1 as its client does after a lost connection."""
    await asyncio.sleep(RESUBMIT_DELAY_S)
    answer = await system.submit(JOB, body(1), WAIT_MS, front=1)
    assert answer == (200, {'state': 'completed'})
    assert not overlapping_runs(system.history())


class TestUnconfirmedStop:
    """Guards against runs that outlive their front or client."""

    async def test_run_does_not_outlive_its_front_if_stops_are_late(self):
        async with System(worker_count=2, front_count=2).run() as system:
            job = await start_job(system)
            await system.fronts[0].node.stop(drain=False)
            job.cancel()
            await check_resubmission(system)

    async def test_run_does_not_outlive_its_client_if_stops_are_late(self):
        async with System(worker_count=2, front_count=2).run() as system:
            job = await start_job(system)
            job.cancel()
            await check_resubmission(system)


class TestSlowWorker:
    """Guards against runs of a worker that is too slow to notice a loss."""

    async def test_run_ends_if_its_worker_does_not_notice_a_silent_front(self):
        async with FaultySystem(worker_count=2).run() as system:
            for executor in system.executors:
                executor.work_s = lambda _: WORK_S
            content = body(1, estimateMs=3000)
            job = asyncio.create_task(system.submit(JOB, content, WAIT_MS))
            await asyncio.sleep(0.3)
            number = system.executors.index(busy_executor(system))
            ends = link_address('f0'), link_address(f'w{number}')
            system.network.refused |= {ends, ends[::-1]}
            for link in system.links_between('f0', f'w{number}'):
                link.silence()
            for channel in system.workers[number].node.channels:
                for link in channel.links:
                    # As if the process were late at each look at its links.
                    link.tick_timer.cancel()
            assert await job == (200, {'state': 'completed'})
            assert not overlapping_runs(system.history())
