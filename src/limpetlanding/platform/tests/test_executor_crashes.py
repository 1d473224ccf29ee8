"""End-to-end tests of tasks that crash the executors that start them."""

import asyncio
from contextlib import AsyncExitStack
from itertools import count

import pytest

from limpetlanding.platform.tests.rig import (
    DOWN_S,
    System,
    body,
    config,
    running,
)
from limpetlanding.standin.platform_checks import overlapping_runs

JOB = '5c0e7a21d94b36f8'
DEADLY_TASK = f'{JOB}.0.0.0'
WORKERS = 7
WAIT_MS = 20_000

# A task may be given up after two crashes, and is not started three times more
# after three.
MAX_STARTS = 5


def make_deadly(system, task=DEADLY_TASK, delay_s=0.01):
    """Let a task crash each executor that starts it."""
    for executor in system.executors:
        executor.faults.deadly = lambda name: name == task
        executor.faults.crash_delay_s = delay_s


async def make_patient(system):
    """Publish a configuration under which late answers are of use."""
    system.store.put('keyed.op', 'config', config(2, targetLatencyMs=WAIT_MS))
    await asyncio.sleep(0.1)


def starts_of(system, task=DEADLY_TASK):
    """Return the number of starts of a task at all executors."""
    return sum(run.task == task for run in system.history())


async def lose_worker_with_executor(system, number):
    """Kill a worker when its executor crashes, and restart it later."""
    while True:
        await system.executors[number].crashed.wait()
        await system.kill(f'w{number}')
        await asyncio.sleep(DOWN_S)
        await system.start_worker(number, incarnation=1 + len(system.history()))


class TestDeadlyTask:
    """Guards against a task that crashes one executor after another."""

    @pytest.mark.parametrize(
        ('delay_s', 'max_starts'), [(0, 3), (0.01, 3), (0.5, MAX_STARTS)]
    )
    async def test_deadly_task_is_given_up(self, delay_s, max_starts):
        async with System(WORKERS).run() as system:
            await make_patient(system)
            make_deadly(system, delay_s=delay_s)
            for executor in system.executors:
                executor.work_s = lambda _: 1
            answer = await system.submit(JOB, body(6), WAIT_MS)
            assert answer == (200, {'state': 'failed'})
            assert starts_of(system) <= max_starts

    async def test_deadly_task_is_given_up_if_crashed_executors_are_silent(
        self,
    ):
        async with System(WORKERS).run() as system:
            await make_patient(system)
            make_deadly(system)
            for executor in system.executors:
                executor.faults.crashes_silently = True
            answer = await system.submit(JOB, body(2), WAIT_MS)
            assert answer == (200, {'state': 'failed'})
            assert starts_of(system) <= MAX_STARTS

    async def test_deadly_task_is_given_up_after_its_front_was_lost(self):
        async with System(WORKERS, front_count=2).run() as system:
            await make_patient(system)
            make_deadly(system)
            job = asyncio.create_task(system.submit(JOB, wait_ms=WAIT_MS))
            await asyncio.sleep(0.05)
            assert starts_of(system) == 1
            await system.kill('f0')
            job.cancel()
            await asyncio.sleep(1.3)
            answer = await system.submit(JOB, wait_ms=WAIT_MS, front=1)
            assert answer == (200, {'state': 'failed'})
            assert starts_of(system) <= 3

    async def test_deadly_task_is_given_up_if_whole_hosts_are_lost(self):
        async with System(WORKERS).run() as system, AsyncExitStack() as hosts:
            await make_patient(system)
            make_deadly(system)
            for number in range(WORKERS):
                await hosts.enter_async_context(
                    running(lose_worker_with_executor(system, number))
                )
            answer = await system.submit(JOB, body(2), WAIT_MS)
            assert answer == (200, {'state': 'failed'})
            assert starts_of(system) <= MAX_STARTS

    async def test_new_front_knows_the_tasks_that_were_given_up(self):
        async with System(WORKERS).run() as system:
            await make_patient(system)
            make_deadly(system)
            await system.submit(JOB, wait_ms=WAIT_MS)
            starts = starts_of(system)
            await system.kill('f0')
            await system.start_front(0, incarnation=2)
            await system.settle()
            answer = await system.submit(JOB, wait_ms=WAIT_MS)
            assert answer == (200, {'state': 'failed'})
            assert starts_of(system) == starts

    async def test_resubmission_of_a_given_up_job_is_answered_at_once(self):
        async with System(WORKERS).run() as system:
            await make_patient(system)
            make_deadly(system)
            await system.submit(JOB, wait_ms=WAIT_MS)
            starts = starts_of(system)
            begin = asyncio.get_running_loop().time()
            answer = await system.submit(JOB, wait_ms=WAIT_MS)
            assert answer == (200, {'state': 'failed'})
            assert asyncio.get_running_loop().time() - begin < 0.1
            assert starts_of(system) == starts

    async def test_many_deadly_tasks_of_one_job_crash_few_executors(self):
        async with System(WORKERS).run() as system:
            await make_patient(system)
            for executor in system.executors:
                executor.faults.deadly = lambda name: name.startswith(JOB)
            answer = await system.submit(JOB, body(8), WAIT_MS)
            assert answer == (200, {'state': 'failed'})
            assert system.crash_count <= 4


class TestNeighbours:
    """Guards against jobs that suffer from a deadly task of another job."""

    async def test_neighbours_run_elsewhere_at_once(self):
        async with System(worker_count=2).run() as system:
            await make_patient(system)
            for executor in system.executors:
                executor.work_s = lambda _: 0.3
            job = asyncio.create_task(system.submit(JOB, body(2), WAIT_MS))
            await asyncio.sleep(0.2)
            loop = asyncio.get_running_loop()
            begin = loop.time()
            next(x for x in system.executors if x.runs).crash()
            assert await job == (200, {'state': 'completed'})
            assert loop.time() - begin < 0.5
            assert not overlapping_runs(system.history())

    async def test_job_that_cannot_end_in_time_is_answered_at_once(self):
        async with System(worker_count=1).run() as system:
            await make_patient(system)
            (executor,) = system.executors
            executor.work_s = lambda _: 2
            job = asyncio.create_task(
                system.submit(JOB, body(1, estimateMs=2000), wait_ms=3000)
            )
            await asyncio.sleep(1.5)
            loop = asyncio.get_running_loop()
            begin = loop.time()
            executor.crash()
            assert (await job)[0] == 504
            assert loop.time() - begin < 0.3

    async def test_neighbours_of_two_crashes_are_not_given_up(self):
        async with System(worker_count=4).run() as system:
            await make_patient(system)
            for executor in system.executors:
                executor.work_s = lambda _: 2
            job = asyncio.create_task(system.submit(JOB, body(1), WAIT_MS))
            for _ in range(2):
                await asyncio.sleep(0.5)
                (executor,) = [x for x in system.executors if x.runs]
                executor.crash()
            assert await job == (200, {'state': 'completed'})
            assert not overlapping_runs(system.history())

    async def test_job_is_not_given_up_after_orders_to_crashed_executors(self):
        async with System(worker_count=3).run() as system:
            await make_patient(system)
            for executor in system.executors[:2]:
                executor.crash()
            answer = await system.submit(JOB, body(1), WAIT_MS)
            assert answer == (200, {'state': 'completed'})
            assert starts_of(system) == 1

    async def test_neighbour_of_several_deadly_jobs_completes(self):
        async with System(worker_count=1).run() as system:
            await make_patient(system)
            (executor,) = system.executors
            executor.faults.deadly = lambda name: name.startswith('d')
            executor.work_s = lambda _: 1.5
            job = asyncio.create_task(system.submit(JOB, body(1), WAIT_MS))
            for number in range(2):
                await next_active(system, len(system.history()))
                deadly = await system.submit(
                    f'd{number:015x}', body(1), WAIT_MS
                )
                assert deadly == (200, {'state': 'failed'})
            assert await job == (200, {'state': 'completed'})
            assert system.crash_count == 4

    async def test_other_jobs_complete_beside_deadly_ones(self):
        # The deadly jobs arrive faster than their executors come back, if each
        # of them crashes more than two.
        async with System(worker_count=11, front_count=3).run() as system:
            await make_patient(system)
            numbers = count()

            async def submit(prefix):
                number = next(numbers)
                return await system.submit(
                    f'{prefix}{number:015x}', body(4), 6000, number % 3
                )

            for executor in system.executors:
                executor.faults.deadly = lambda name: (
                    name.startswith('d') and name.endswith('.1')
                )
            jobs = []
            deadly = []
            for step in range(100):
                jobs.append(asyncio.create_task(submit('a')))
                if step % 20 == 0:
                    deadly.append(asyncio.create_task(submit('d')))
                await asyncio.sleep(0.05)
            answers = await asyncio.gather(*jobs)
            assert answers == [(200, {'state': 'completed'})] * len(jobs)
            answers = await asyncio.gather(*deadly)
            assert answers == [(200, {'state': 'failed'})] * len(deadly)
            assert system.crash_count <= 2 * len(deadly)


async def next_active(system, start_count):
    """Wait at most 5 s for a further start; return its executor."""
    for _ in range(250):
        if len(system.history()) > start_count:
            break
        await asyncio.sleep(0.02)
    (executor,) = [
        x for x in system.executors if x.runs and not x.faults.silent
    ]
    return executor


class TestSilentExecutor:
    """Guards against work that is given up because executors were silent."""

    async def test_job_survives_two_silent_executors(self):
        async with System(worker_count=4).run() as system:
            await make_patient(system)
            for executor in system.executors:
                executor.work_s = lambda _: 1.2
            job = asyncio.create_task(system.submit(JOB, body(1), WAIT_MS))
            for _ in range(2):
                await asyncio.sleep(1)
                active = [x for x in system.executors if x.runs]
                active[0].faults.silent = True
                await asyncio.sleep(1.5)
                active[0].faults.silent = False
            assert await job == (200, {'state': 'completed'})
            assert not overlapping_runs(system.history())

    async def test_job_survives_many_executors_that_answer_again(self):
        async with System(worker_count=4).run() as system:
            await make_patient(system)
            for executor in system.executors:
                executor.work_s = lambda _: 3
            job = asyncio.create_task(system.submit(JOB, body(1), WAIT_MS))
            silent = await next_active(system, 0)
            for start_count in range(1, 5):
                silent.faults.silent = True
                following = await next_active(system, start_count)
                silent.faults.silent = False
                silent = following
            assert await job == (200, {'state': 'completed'})
            assert not overlapping_runs(system.history())

    async def test_job_waits_while_it_is_open_whether_executors_crashed(self):
        async with System(worker_count=6).run() as system:
            await make_patient(system)
            for executor in system.executors:
                executor.work_s = lambda _: 3
            job = asyncio.create_task(system.submit(JOB, body(1), WAIT_MS))
            for start_count in range(4):
                executor = await next_active(system, start_count)
                executor.faults.silent = True
            await asyncio.sleep(3)
            assert len(system.history()) == 4
            for executor in system.executors:
                executor.faults.silent = False
            assert await job == (200, {'state': 'completed'})
            assert not overlapping_runs(system.history())
