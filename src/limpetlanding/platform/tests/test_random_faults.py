"""Random faults during many jobs, checked on the executors' histories.

Guards against overlapping runs of a task, starts beyond an executor's capacity,
starts of refused jobs, jobs that are failed without cause, and runs that
continue without a client.
"""

import asyncio
import os
from random import Random

import pytest

from limpetlanding.platform.tests.rig import (
    System,
    body,
    config,
)
from limpetlanding.standin.platform_checks import (
    deadly_starts,
    failed_without_cause,
    overlapping_runs,
    starts_beyond_capacity,
)

JOB_COUNT = 60
WORKER_COUNT = 3
RESUBMIT_DELAY_S = 1.3
STEP_S = 0.25
CPU_PER_TASK = 6000
DEADLY_TASKS = {f'{number:016x}.0.0.0' for number in range(0, JOB_COUNT, 20)}
SEEDS = range(int(os.environ.get('RANDOM_SEEDS', '8')))


class RandomRun:
    """Clients and faults of one random run.

    Parameters
    ----------
    system : System
        The system.
    rng : random.Random
        Generator of all random choices.
    """

    def __init__(self, system, rng):
        self.system = system
        self.rng = rng
        self.refused = set()
        self.failed = set()
        self.answers = {}
        self.incarnations = dict.fromkeys(('w0', 'w1', 'w2', 'f0', 'f1'), 1)

    async def client(self, number):
        """Submit a job; resubmit it after a connection error, 502 or 504."""
        rng = self.rng
        await asyncio.sleep(rng.uniform(0, 12))
        job_id = f'{number:016x}'
        content = body(rng.randint(1, 5), cpu=CPU_PER_TASK, estimateMs=400)
        end = asyncio.get_running_loop().time() + 8
        statuses = []
        while (left := end - asyncio.get_running_loop().time()) > 0.1:
            front = rng.randrange(2)
            try:
                status, answer = await self.system.submit(
                    job_id, content, int(left * 1000), front
                )
            except OSError:
                status, answer = None, {}
            if status == 200 and answer['state'] == 'failed':
                self.failed.add(job_id)
            statuses.append(status)
            if status not in {None, 502, 504}:
                break
            await asyncio.sleep(RESUBMIT_DELAY_S)
        self.answers[job_id] = statuses
        if all(status in {429, 503} for status in statuses):
            self.refused.add(job_id)

    async def inject_faults(self):
        """Inject random faults one after another."""
        fault_actions = (
            self.silence_executor,
            self.delay_orders,
            self.fail_runs,
            self.stall_runs,
            self.restart_executor,
            self.crash_executor,
            self.change_capacity,
            self.restart_process,
            self.fail_store,
            self.publish_config,
        )
        for _ in range(10):
            await asyncio.sleep(self.rng.uniform(0, 1.5))
            await self.rng.choice(fault_actions)()

    async def silence_executor(self):
        executor = self.rng.choice(self.system.executors)
        executor.faults.silent = True
        await asyncio.sleep(self.rng.uniform(0.1, 3))
        executor.faults.silent = False

    async def delay_orders(self):
        executor = self.rng.choice(self.system.executors)
        executor.faults.late_orders_s = self.rng.uniform(0.3, 6)
        await asyncio.sleep(self.rng.uniform(0.1, 3))
        executor.faults.late_orders_s = None

    async def fail_runs(self):
        executor = self.rng.choice(self.system.executors)
        executor.faults.fails = True
        await asyncio.sleep(self.rng.uniform(0.1, 3))
        executor.faults.fails = False

    async def stall_runs(self):
        executor = self.rng.choice(self.system.executors)
        executor.faults.stalls = True
        await asyncio.sleep(self.rng.uniform(0.1, 3))
        executor.faults.stalls = False

    async def restart_executor(self):
        number = self.rng.randrange(WORKER_COUNT)
        executor = self.system.executors[number]
        executor.restart(f'i-{number}-{executor.born_ms}')

    async def crash_executor(self):
        self.rng.choice(self.system.executors).crash()

    async def change_capacity(self):
        executor = self.rng.choice(self.system.executors)
        whole = executor.cpu
        executor.change_capacity(int(whole * self.rng.uniform(0.2, 0.8)))
        await asyncio.sleep(self.rng.uniform(0.5, 6))
        executor.change_capacity(whole)

    async def restart_process(self):
        name = self.rng.choice(list(self.incarnations))
        await self.system.kill(name)
        await asyncio.sleep(self.rng.uniform(0.1, 2))
        self.incarnations[name] += 1
        number = int(name[1])
        if name[0] == 'w':
            await self.system.start_worker(number, self.incarnations[name])
        else:
            await self.system.start_front(number, self.incarnations[name])

    async def fail_store(self):
        self.system.store.faults.status = self.rng.choice((503, 429))
        await asyncio.sleep(self.rng.uniform(0.1, 3))
        self.system.store.faults.status = 0

    async def publish_config(self):
        version = int(asyncio.get_running_loop().time() * 1000) + 10
        self.system.store.put('keyed.op', 'config', config(version))


@pytest.mark.parametrize('seed', SEEDS)
async def test_guarantees_hold_under_random_faults(seed):
    rng = Random(seed)
    async with System(WORKER_COUNT, 2).run() as system:
        for executor in system.executors:
            executor.clock_rate = rng.uniform(0.98, 1)
            executor.work_s = lambda task: Random(task).uniform(0.05, 1.5)
            executor.faults.deadly = lambda task: task in DEADLY_TASKS
        random_run = RandomRun(system, rng)
        async with asyncio.TaskGroup() as group:
            group.create_task(random_run.inject_faults())
            for number in range(JOB_COUNT):
                group.create_task(random_run.client(number))
        await system.settle(3)
        history = system.history()
        assert not overlapping_runs(history)
        assert not deadly_starts(history)
        assert not failed_without_cause(random_run.failed, history)
        for executor in system.executors:
            assert not starts_beyond_capacity(executor, CPU_PER_TASK)
            executor.end_due_runs()
            assert not executor.runs
        started = {run.task.partition('.')[0] for run in history}
        assert not started & random_run.refused
        completed = [
            statuses
            for statuses in random_run.answers.values()
            if statuses[-1] == 200
        ]
        assert len(completed) >= JOB_COUNT / 2
