"""Failures that let two runs of one task overlap on executors that are up."""

import asyncio

import orjson
import pytest

from limpetlanding.platform.tests.faulty_system import FaultySystem
from limpetlanding.platform.tests.rig import body
from limpetlanding.scenarios.tests.processes import ProcessLoop
from limpetlanding.standin.platform_checks import overlapping_runs

JOB = '5c0e7a21d94b36f8'
WORK_S = 0.8
SHORT_WORK_S = 0.1
START_S = 0.1
WAIT_MS = 6000
SLOW_WORK_S = 3
# A channel without a link is closed after 0.3 to 0.6 s of refused attempts.
REFUSED_S = 0.55
# The task starts elsewhere 2.1 s after the reset at the latest.
ANSWER_S = 4
OK = 200
CLOCK_STEP_MS = 500
RESUBMIT_DELAY_S = 1.3
FILLING_WORK_S = 1.5
# The task starts elsewhere 0.4 s after a start without an answer.
RESTART_S = 0.7
LATE_START_S = 1.2
# Fields of an announcement that are decoded, and fields that are not.
DECODED_FIELDS = ('service', 'address', 'state', 'capacity', 'seq', 'born')
OTHER_FIELDS = ('zone', 'version', 'slots', 'clockMs')


def use_long_runs(system, work_s=WORK_S):
    """Let each run take long enough to outlive its front's decisions."""
    for executor in system.executors:
        executor.work_s = lambda _: work_s


def submit(system, **changes):
    """Submit a job of one task in the background."""
    content = body(1, estimateMs=2000)
    return asyncio.create_task(system.submit(JOB, content, WAIT_MS, **changes))


def wrong_fields(names):
    """Return changes that omit each field, or give it another type."""
    return [{name: content} for name in names for content in (None, ['x'])]


def reported_ends(system):
    """Return the number of ends of runs that the workers have reported."""
    return sum(sum(worker.counts.values()) for worker in system.workers)


async def started(system):
    """Return the number of the executor that has started the task."""
    await asyncio.sleep(START_S)
    return next(
        number for number, x in enumerate(system.executors) if x.history
    )


class TestExecutorRestart:
    """Guards against runs of a living incarnation that count as ended."""

    async def test_run_ordered_from_a_new_incarnation_of_the_same_id(self):
        async with FaultySystem().run() as system:
            use_long_runs(system)
            await asyncio.sleep(0.5)
            for number in range(system.worker_count):
                system.unheard.add(number)
                system.restart_at_once(number)
            await submit(system)
            await system.settle(1)
            assert not overlapping_runs(system.history())

    async def test_run_that_has_ended_there_is_not_started_again(self):
        # Guards also against a loss that counts against the task.
        async with FaultySystem().run() as system:
            use_long_runs(system, SHORT_WORK_S)
            # The ends of the new lives are numbered from 1 again.
            assert await submit(system) == (OK, {'state': 'completed'})
            await asyncio.sleep(0.5)
            for number in range(system.worker_count):
                # The start is sent before the broken connection is noticed.
                system.workers[number].supervisor.watch.on_break = int
                system.unheard.add(number)
                system.restart_at_once(number)
            assert await submit(system) == (OK, {'state': 'completed'})
            await system.settle(1)
            assert [run.how for run in system.history()] == ['done'] * 2
            assert not any(x.loss_counts for x in system.workers)


class TestRefusedConnections:
    """Guards against a refusing path that counts as a crash."""

    async def test_path_to_a_living_executor_refuses_connections(self):
        async with FaultySystem().run() as system:
            use_long_runs(system)
            job = submit(system)
            number = await started(system)
            system.paths[number].refuse()
            system.paths[number].reset()
            await job
            await system.settle(1)
            assert not overlapping_runs(system.history())
            await system.paths[number].open()


class TestFarewell:
    """Guards against a farewell that ends the runs of a living executor."""

    async def test_farewell_whose_answer_is_lost(self):
        async with FaultySystem().run() as system:
            use_long_runs(system)
            job = submit(system)
            number = await started(system)
            executor = system.executors[number]
            executor.draining = True
            await system.announce(number, executor.announcement())
            # Without an answer it ends some seconds later.
            system.unheard.add(number)
            await system.leave(number, executor.executor_id)
            await job
            await system.settle(1)
            assert not overlapping_runs(system.history())

    async def test_late_farewell_of_an_earlier_life_under_the_same_id(self):
        async with FaultySystem().run() as system:
            use_long_runs(system)
            for number, executor in enumerate(system.executors):
                system.restart_at_once(number)
                await system.announce(number, executor.announcement())
            await asyncio.sleep(0.5)
            job = submit(system)
            number = await started(system)
            await system.leave(number, system.executors[number].executor_id)
            await job
            await system.settle(1)
            assert not overlapping_runs(system.history())


class TestLinkLostAtOneEnd:
    """Guards against runs that only one of front and worker gives up."""

    async def test_front_links_again_before_the_worker_notices(self):
        async with FaultySystem().run() as system:
            use_long_runs(system, SLOW_WORK_S)
            job = submit(system)
            number = await started(system)
            await system.lose_link('f0', f'w{number}', REFUSED_S)
            await job
            await system.settle(1)
            assert not overlapping_runs(system.history())

    async def test_worker_links_again_before_the_front_notices(self):
        async with FaultySystem().run() as system:
            use_long_runs(system)
            job = submit(system)
            number = await started(system)
            await system.lose_link(f'w{number}', 'f0', REFUSED_S)
            async with asyncio.timeout(ANSWER_S):
                status, _ = await job
            assert status == OK


class TestForeignAnnouncement:
    """Guards against announcements that end the runs of another executor."""

    @pytest.mark.parametrize('suffix', ['', '-other'])
    async def test_late_one_of_an_earlier_life_with_a_later_start(self, suffix):
        async with FaultySystem().run() as system:
            use_long_runs(system)
            late = [executor.announcement() for executor in system.executors]
            ids = [executor.executor_id for executor in system.executors]
            for number, fields in enumerate(late):
                born_ms = fields['born'] - CLOCK_STEP_MS
                system.restart_at_once(number, ids[number] + suffix, born_ms)
            # The workers find the new lives by their calls.
            await system.settle(5)
            job = submit(system)
            number = await started(system)
            await system.announce_as(
                number, ids[number], orjson.dumps(late[number])
            )
            assert await job == (OK, {'state': 'completed'})
            await system.settle(1)
            assert not overlapping_runs(system.history())
            assert len(system.history()) == reported_ends(system) == 1

    @pytest.mark.parametrize('suffix', ['', '-other'])
    @pytest.mark.parametrize(
        'changes',
        [
            {'service': 'unnamed'},
            {'state': 'resting'},
            *wrong_fields(DECODED_FIELDS + OTHER_FIELDS),
        ],
        ids=str,
    )
    async def test_one_of_another_writer(self, suffix, changes):
        async with FaultySystem().run() as system:
            use_long_runs(system)
            job = submit(system)
            number = await started(system)
            executor = system.executors[number]
            fields = executor.announcement()
            fields |= {'seq': 99, 'born': fields['born'] + CLOCK_STEP_MS}
            fields |= changes
            await system.announce_as(
                number,
                executor.executor_id + suffix,
                orjson.dumps(
                    {k: v for k, v in fields.items() if v is not None}
                ),
            )
            assert await job == (OK, {'state': 'completed'})
            await system.settle(1)
            assert not overlapping_runs(system.history())
            assert len(system.history()) == reported_ends(system) == 1


class TestPausedFront:
    """Guards against starts for a client that has left during a pause."""

    def test_client_that_left_while_its_front_was_paused(self):
        loop = ProcessLoop()
        asyncio.set_event_loop(loop)
        try:
            loop.run_until_complete(self.play())
        finally:
            loop.close()

    async def play(self):
        async with FaultySystem(front_count=2).run() as system:
            loop = asyncio.get_running_loop()
            for executor in system.executors:
                executor.work_s = lambda task: (
                    SLOW_WORK_S if JOB in task else FILLING_WORK_S
                )
            loop.pause('f0')
            # The second submission finds no room where the first one does.
            filling = asyncio.create_task(
                system.submit('f' * 16, body(1, cpu=30_000), WAIT_MS, front=1)
            )
            first = submit(system)
            await asyncio.sleep(START_S)
            first.cancel()
            await asyncio.sleep(RESUBMIT_DELAY_S)
            second = submit(system, front=1)
            await filling
            loop.resume('f0')
            assert await second == (OK, {'state': 'completed'})
            await system.settle(1)
            assert not overlapping_runs(system.history())


class TestLateStart:
    """Guards against starts that a later life of an executor carries out."""

    @pytest.mark.parametrize('is_heard', [True, False])
    async def test_start_carried_out_by_a_later_life_under_the_same_id(
        self, is_heard
    ):
        async with FaultySystem().run() as system:
            use_long_runs(system, SLOW_WORK_S)
            for executor in system.executors:
                executor.faults.late_orders_survive = True
                executor.faults.late_orders_s = LATE_START_S
            job = submit(system)
            await asyncio.sleep(START_S)
            number = next(
                x for x in range(2) if system.workers[x].supervisor.runs
            )
            for executor in system.executors:
                executor.faults.late_orders_s = None
            await asyncio.sleep(RESTART_S)
            assert len(system.history()) == 1
            system.restart_at_once(number)
            if is_heard:
                await system.announce(
                    number, system.executors[number].announcement()
                )
            else:
                system.unheard.add(number)
            await job
            await system.settle(1)
            assert not overlapping_runs(system.history())
