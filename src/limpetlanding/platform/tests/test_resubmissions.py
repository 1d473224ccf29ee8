"""End-to-end tests of starts for clients that have left or sent a job again."""

import asyncio

import pytest

from limpetlanding.lifecycle import connections
from limpetlanding.platform.tests.faulty_system import (
    FaultySystem,
    link_address,
)
from limpetlanding.platform.tests.rig import body
from limpetlanding.runs.dispatcher import LOST_RUNS_TIMEOUT_S
from limpetlanding.standin.platform_checks import overlapping_runs

JOB = '5c0e7a21d94b36f8'
WAIT_MS = 6000
START_S = 0.1
WORK_S = 3
LATE_STOP_S = 4
FILLING_WORK_S = 0.8
# Time after which the platform's clients send a job again.
RESUBMISSION_DELAY_S = 1.3
OK = 200
TIMED_OUT = 504
# Within the time for an answer to an order.
UNLINKED_S = 0.2
# Time after which links have slow heartbeats.
IDLE_S = 1
# Longer than the client takes to return; an idle link may be silent for 1.8 s.
HELD_UP_S = 1.5
RETRANSMISSION_S = 0.03


def submit(system, wait_ms=WAIT_MS, front=0):
    """Submit a job of one task in the background."""
    content = body(1, estimateMs=2000)
    return asyncio.create_task(system.submit(JOB, content, wait_ms, front))


def delay_orders(system, seconds):
    """Delay each segment from the first front to the workers."""
    for number in range(system.worker_count):
        worker = f'w{number}'
        for link in system.links_between('f0', worker):
            is_dialed = link.address == link_address(worker)
            direction = link.to_server if is_dialed else link.to_client
            direction.delay_s = seconds


async def cut_off_late_worker(system):
    """Cut a front off from the worker that runs its job, and delay its stops.

    Returns
    -------
    StandinExecutor
        The executor of the worker.
    """
    await asyncio.sleep(START_S)
    (number,) = (x for x in range(2) if system.executors[x].runs)
    executor = system.executors[number]
    executor.faults.late_orders_s = LATE_STOP_S
    ends = link_address('f0'), link_address(f'w{number}')
    system.network.refused |= {ends, ends[::-1]}
    for link in system.links_between('f0', f'w{number}'):
        link.silence()
    return executor


class TestOrderInTransit:
    """Guards against orders that are sent after their job has ended."""

    async def test_order_is_not_repeated_over_the_next_link(self):
        async with FaultySystem(worker_count=1).run() as system:
            (link,) = system.links_between('f0', 'w0')
            link.stall()
            job = submit(system)
            await asyncio.sleep(START_S)
            ends = link_address('f0'), link_address('w0')
            system.network.refused |= {ends, ends[::-1]}
            link.reset()
            job.cancel()
            await asyncio.sleep(UNLINKED_S)
            system.network.refused.clear()
            await system.settle(1)
            assert system.links_between('f0', 'w0')
            (worker,) = system.workers
            assert not worker.starts.job_id
            assert not system.history()

    async def test_order_that_was_held_up_is_not_started_beside_another(self):
        # Guards against two runs if segments of a link are lost.
        async with FaultySystem(worker_count=2, front_count=2).run() as system:
            for executor in system.executors:
                executor.work_s = lambda _: WORK_S
            await asyncio.sleep(IDLE_S)
            delay_orders(system, HELD_UP_S)
            job = submit(system)
            await asyncio.sleep(START_S)
            delay_orders(system, RETRANSMISSION_S)
            job.cancel()
            await asyncio.sleep(RESUBMISSION_DELAY_S)
            again = submit(system, front=1)
            assert (await again)[0] == OK
            assert len(system.history()) == 1


class TestResetLinks:
    """Guards against runs of which a lost message should have told."""

    async def test_runs_do_not_overlap_if_the_link_of_the_fronts_is_reset(self):
        async with FaultySystem(worker_count=2, front_count=2).run() as system:
            for executor in system.executors:
                executor.work_s = lambda _: WORK_S
            await asyncio.sleep(IDLE_S)
            job = submit(system)
            await asyncio.sleep(START_S)
            assert system.history()
            # The stop of the run is late.
            for number in range(system.worker_count):
                for link in system.links_between('f0', f'w{number}'):
                    link.stall()
            for link in system.links_between('f0', 'f1'):
                link.reset()
            job.cancel()
            await asyncio.sleep(UNLINKED_S)
            assert (await submit(system, front=1))[0] == OK
            assert not overlapping_runs(system.history())

    @pytest.mark.xfail(
        strict=True,
        reason='KNOWN-RED: a late message tells of the runs too late',
    )
    async def test_runs_do_not_overlap_if_the_links_of_the_front_are_held_up(
        self,
    ):
        async with FaultySystem(worker_count=2, front_count=2).run() as system:
            for executor in system.executors:
                executor.work_s = lambda _: WORK_S
            await asyncio.sleep(IDLE_S)
            job = submit(system)
            await asyncio.sleep(START_S)
            assert system.history()
            for name in ('f1', 'w0', 'w1'):
                for link in system.links_between('f0', name):
                    for direction in link.directions:
                        direction.delay_s = UNLINKED_S
            job.cancel()
            await asyncio.sleep(RETRANSMISSION_S)
            assert (await submit(system, front=1))[0] == OK
            assert not overlapping_runs(system.history())


class TestClientThatHasLeft:
    """Guards against starts for a client whose close has not been read yet.

    Such a client may have sent its job to another front at once.
    """

    async def test_job_is_not_started(self, monkeypatch):
        monkeypatch.setattr(connections, 'is_connected', lambda _: False)
        async with FaultySystem().run() as system:
            job = submit(system)
            await system.settle(1)
            assert not system.history()
            assert not system.fronts[0].dispatcher.jobs
            assert not any(worker.starts.job_id for worker in system.workers)
            job.cancel()

    async def test_task_that_waited_is_not_started(self, monkeypatch):
        async with FaultySystem(worker_count=1).run() as system:
            for executor in system.executors:
                executor.work_s = lambda _: FILLING_WORK_S
            filling = asyncio.create_task(
                system.submit('f' * 16, body(1, cpu=30_000), WAIT_MS)
            )
            await asyncio.sleep(START_S)
            job = submit(system)
            await asyncio.sleep(START_S)
            (dispatcher,) = (front.dispatcher for front in system.fronts)
            assert dispatcher.jobs[JOB].waiting
            monkeypatch.setattr(connections, 'is_connected', lambda _: False)
            assert (await filling)[0] == OK
            await system.settle(1)
            assert len(system.history()) == 1
            assert JOB not in dispatcher.jobs
            job.cancel()


class TestSameFront:
    """Guards against starts before the runs of a submission have ended."""

    async def test_job_that_is_sent_again_waits_for_its_lost_runs(self):
        async with FaultySystem().run() as system:
            for executor in system.executors:
                executor.work_s = lambda _: WORK_S
            job = submit(system)
            await cut_off_late_worker(system)
            job.cancel()
            again = submit(system)
            await asyncio.sleep(LOST_RUNS_TIMEOUT_S)
            assert len(system.history()) == 1
            assert (await again)[0] == OK
            assert not overlapping_runs(system.history())

    async def test_client_that_waits_for_less_is_not_told_not_run(self):
        async with FaultySystem().run() as system:
            for executor in system.executors:
                executor.work_s = lambda _: WORK_S
            job = submit(system)
            await cut_off_late_worker(system)
            job.cancel()
            assert (await submit(system, wait_ms=1000))[0] == TIMED_OUT
            assert len(system.history()) == 1


class TestLostFront:
    """Guards against runs that outlast the return of their client."""

    async def test_runs_end_although_their_stops_are_late(self):
        async with FaultySystem().run() as system:
            for executor in system.executors:
                executor.work_s = lambda _: WORK_S
            job = submit(system)
            executor = await cut_off_late_worker(system)
            job.cancel()
            await asyncio.sleep(RESUBMISSION_DELAY_S)
            assert not executor.runs
