"""End-to-end tests of executors whose capacity changes while they run."""

import asyncio

from limpetlanding.platform.tests.rig import (
    HEARTBEAT_INTERVAL_S,
    LINK_PORT,
    System,
    body,
)
from limpetlanding.standin.platform_checks import peak_cpu

CPU_PER_TASK = 3000
CPU = 32_000
SHRUNK_CPU = 7000
WAIT_MS = 20_000


async def change_capacity(system, cpu):
    """Change the capacity of the executor and wait for its announcement."""
    system.executors[0].cpu = cpu
    await asyncio.sleep(HEARTBEAT_INTERVAL_S + 0.1)


async def peak_cpu_of_jobs(system, prefix, work_s=0.1):
    """Run 8 jobs of 4 tasks each; return the highest CPU use meanwhile."""
    executor = system.executors[0]
    executor.work_s = lambda _: work_s
    executor.history.clear()
    jobs = (
        system.submit(f'{prefix}{number:015x}', body(4), WAIT_MS)
        for number in range(8)
    )
    answers = await asyncio.gather(*jobs)
    assert {status for status, _ in answers} <= {200, 503}
    assert executor.history
    return peak_cpu(executor, CPU_PER_TASK)


class TestCapacityChanges:
    """Guards against starts beyond a capacity that has shrunk."""

    async def test_starts_keep_to_a_capacity_that_has_shrunk(self):
        async with System(worker_count=1).run() as system:
            await change_capacity(system, SHRUNK_CPU)
            assert await peak_cpu_of_jobs(system, 'a') <= SHRUNK_CPU

    async def test_runs_from_before_the_change_still_count(self):
        async with System(worker_count=1).run() as system:
            executor = system.executors[0]
            executor.work_s = lambda _: 3
            before = [
                asyncio.create_task(
                    system.submit(f'{number:016x}', body(1), WAIT_MS)
                )
                for number in range(3)
            ]
            await asyncio.sleep(0.2)
            await change_capacity(system, SHRUNK_CPU)
            job = asyncio.create_task(
                system.submit('a' * 16, body(1), wait_ms=1000)
            )
            assert (await job)[0] == 503
            assert len(executor.history) == 3
            await asyncio.gather(*before)

    async def test_capacity_that_has_grown_again_is_used(self):
        async with System(worker_count=1).run() as system:
            await change_capacity(system, SHRUNK_CPU)
            await change_capacity(system, CPU)
            peak = await peak_cpu_of_jobs(system, 'a', 0.3)
            assert SHRUNK_CPU < peak <= CPU

    async def test_change_is_recorded_after_the_store_was_away(self):
        async with System(worker_count=1).run() as system:
            system.store.faults.status = 503
            await change_capacity(system, SHRUNK_CPU)
            system.store.faults.status = None
            await asyncio.sleep(2 * HEARTBEAT_INTERVAL_S)
            record = await system.registrations[0].store.worker('w0')
            assert record.capacity.cpu == SHRUNK_CPU

    async def test_late_announcement_of_the_old_capacity_is_ignored(self):
        async with System(worker_count=1).run() as system:
            late = system.executors[0].announcement()
            await change_capacity(system, SHRUNK_CPU)
            await system.announce(0, late)
            assert await peak_cpu_of_jobs(system, 'a') <= SHRUNK_CPU


class TestRestartedWorker:
    """Guards against a worker that grants room that nobody has announced to it.

    What an earlier life of the worker knew may have changed since.
    """

    async def test_nothing_is_started_before_the_capacity_is_announced(self):
        async with System(worker_count=1).run() as system:
            await change_capacity(system, SHRUNK_CPU)
            system.heartbeats.pop().cancel()
            await system.kill('w0')
            await system.start_worker(0, incarnation=2)
            await system.settle(0.5)
            await system.submit('a' * 16, body(1), wait_ms=1000)
            assert system.workers[0].supervisor.executor is not None
            assert not system.history()

    async def test_capacity_that_shrank_while_the_worker_was_down(self):
        async with System(worker_count=1).run() as system:
            system.heartbeats.pop().cancel()
            await system.kill('w0')
            system.executors[0].cpu = SHRUNK_CPU
            await system.start_worker(0, incarnation=2)
            await system.settle(0.5)
            early = (system.submit(f'{x:016x}', body(4)) for x in range(8))
            await asyncio.gather(*early)
            assert peak_cpu(system.executors[0], CPU_PER_TASK) <= SHRUNK_CPU
            await system.announce(0, system.executors[0].announcement())
            assert await peak_cpu_of_jobs(system, 'a') <= SHRUNK_CPU

    async def test_record_of_a_replaced_executor_is_not_used(self):
        async with System(worker_count=1).run() as system:
            system.heartbeats.pop().cancel()
            await system.kill('w0')
            system.executors[0].cpu = SHRUNK_CPU
            system.executors[0].restart('i-new')
            await system.start_worker(0, incarnation=2)
            await system.settle(0.5)
            assert system.workers[0].supervisor.executor is None

    async def test_record_of_an_earlier_incarnation_is_not_used(self):
        async with System(worker_count=1).run() as system:
            system.heartbeats.pop().cancel()
            await system.kill('w0')
            system.executors[0].cpu = SHRUNK_CPU
            system.executors[0].restart('i-0')
            await system.start_worker(0, incarnation=2)
            await system.settle(0.5)
            assert system.workers[0].supervisor.executor is None

    async def test_executor_that_was_draining_gets_nothing(self):
        async with System(worker_count=1).run() as system:
            system.executors[0].draining = True
            await asyncio.sleep(HEARTBEAT_INTERVAL_S + 0.1)
            system.heartbeats.pop().cancel()
            await system.kill('w0')
            await system.start_worker(0, incarnation=2)
            await system.settle(0.5)
            await system.submit('a' * 16, body(1), wait_ms=1000)
            assert not system.history()

    async def test_record_without_the_executor_is_not_used(self):
        # Guards against records of an earlier build.
        async with System(worker_count=1).run() as system:
            system.heartbeats.pop().cancel()
            await system.kill('w0')
            record = {
                'address': f'127.0.0.1:{LINK_PORT}',
                'capacity': {'cpu': CPU, 'memory_mb': 65_536, 'gpu': 0},
                'failure_domain': 'z1',
            }
            system.store.put('keyed.workers', 'w0', record)
            await system.start_worker(0, incarnation=2)
            await system.settle(0.5)
            assert system.workers[0].supervisor.executor is None

    async def test_executor_that_has_left_is_not_used_again(self):
        # Guards against a store that answers again after the departure.
        async with System(worker_count=1).run() as system:
            system.store.faults.status = 503
            await change_capacity(system, SHRUNK_CPU)
            system.heartbeats.pop().cancel()
            system.workers[0].handle_departure('i-0')
            system.store.faults.status = None
            await asyncio.sleep(2)
            assert system.workers[0].supervisor.executor is None
