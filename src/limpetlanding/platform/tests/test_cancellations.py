"""End-to-end tests that a cancelled job starts no task at any front."""

import asyncio
from contextlib import suppress

from limpetlanding.platform.tests.cancelled_job import (
    FAILED,
    GONE,
    JOB,
    OK,
    WORK_S,
    cancel,
    start_job,
)
from limpetlanding.platform.tests.faulty_system import (
    FaultySystem,
    link_address,
)
from limpetlanding.platform.tests.rig import System
from limpetlanding.scenarios.tests.processes import ProcessLoop
from limpetlanding.wire.run_messages import CancelledJobs, JobCancelled

UNAVAILABLE = 503
# Time in which a platform's client waits for the answer to a DELETE.
ACK_S = 4


def play_on_processes(scenario):
    """Run a scenario on a loop whose processes can be paused."""
    loop = ProcessLoop()
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(scenario())
    finally:
        loop.close()


def cut_off(system, name, peer):
    """Silence the links of two fronts and refuse new ones."""
    ends = link_address(name), link_address(peer)
    system.network.refused |= {ends, ends[::-1]}
    for link in system.links_between(name, peer):
        link.silence()


def know_job(system):
    """Return whether each front knows that the job is cancelled."""
    return [x.dispatcher.is_cancelled(JOB) for x in system.fronts]


class ChainedSystem(System):
    """Fronts f0, f1 and so on, each of which is linked with the next one."""

    async def start_front(self, number, incarnation=1):
        """Start a front that knows the one before it as its seed."""
        await super().start_front(number, incarnation)
        node = self.fronts[number].node
        if number > 1:
            node.stop_dialing(link_address('f0'))
            node.keep_dialing(link_address(f'f{number - 1}'))

    def linked(self, number):
        """Return the names of the fronts that a front is linked with."""
        channels = self.fronts[number].node.connected('front')
        return sorted(channel.peer.node for channel in channels)


class IdleSystem(FaultySystem):
    """A system whose idle links have slow heartbeats, as between processes."""

    def new_node(self, role, name, number, incarnation):
        """Return the node of a front or worker."""
        node = super().new_node(role, name, number, incarnation)
        node.hello.slow_heartbeats = True
        return node


class EarlierSystem(System):
    """A system in which some fronts are of the build before.

    They pass on what they did not know as notifications, and read only the id.
    """

    def __init__(self, front_count, earlier):
        super().__init__(front_count=front_count)
        self.earlier = earlier

    def new_node(self, role, name, number, incarnation):
        """Return the node of a front or worker."""
        node = super().new_node(role, name, number, incarnation)
        if name in self.earlier:
            node.hello.cancel_lists = False
        return node

    async def start_front(self, number, incarnation=1):
        """Start a front, of the build before if it is one of those."""
        await super().start_front(number, incarnation)
        front = self.fronts[number]
        if f'f{number}' in self.earlier:
            front.handlers.pop(CancelledJobs)
            front.handlers[JobCancelled] = lambda channel, message: (
                cancel_as_earlier_build(front, message.job_id)
            )


def cancel_as_earlier_build(front, job_id):
    """Cancel a job as a front of the build before."""
    dispatcher = front.dispatcher
    is_known = dispatcher.is_cancelled(job_id)
    if is_known and job_id not in dispatcher.jobs:
        return
    if not dispatcher.cancel(job_id) and not is_known:
        for channel in front.node.connected('front'):
            channel.notify(JobCancelled(job_id))


class TestSubmissionAfterwards:
    """Guards against a job that is sent again and runs at another front."""

    async def test_front_that_does_not_hold_the_job_answers_failed(self):
        async with System(front_count=3).run() as system:
            job = await start_job(system)
            status, _, _ = await cancel(system, 0)
            assert (status, know_job(system)) == (OK, [True] * 3)
            assert await job == FAILED
            started = len(system.history())
            await asyncio.sleep(4)
            for front in range(3):
                assert await system.submit(JOB, front=front) == FAILED
            assert len(system.history()) == started

    async def test_front_that_was_killed_and_restarted_answers_failed(self):
        async with System(front_count=3).run() as system:
            job = await start_job(system)
            assert (await cancel(system, 0))[0] == OK
            await system.kill('f0')
            await system.start_front(0, incarnation=2)
            await system.settle()
            assert await system.submit(JOB, front=0) == FAILED
            with suppress(OSError):
                await job

    async def test_fronts_in_a_chain_know_the_job_before_the_answer(self):
        async with ChainedSystem(front_count=4).run() as system:
            assert system.linked(3) == ['f2']
            job = await start_job(system)
            assert (await cancel(system, 0))[0] == OK
            assert know_job(system) == [True] * 4
            assert await job == FAILED

    async def test_job_at_the_far_end_of_a_chain_is_stopped(self):
        async with ChainedSystem(front_count=4).run() as system:
            job = await start_job(system, front=3)
            assert (await cancel(system, 0))[0] == GONE
            assert JOB not in system.fronts[3].dispatcher.jobs
            assert await job == FAILED


class TestFrozenHolder:
    """Guards against a holder that loses the cancellation in its sleep."""

    def test_holder_wakes_before_it_counts_as_down(self):
        play_on_processes(lambda: self.play_short_freeze(1.2, GONE))

    def test_holder_wakes_when_it_has_just_been_down(self):
        play_on_processes(lambda: self.play_short_freeze(1.4, None))

    def test_holder_wakes_after_it_was_down(self):
        play_on_processes(self.play_long_freeze)

    def test_holder_and_other_front_without_answer_from_a_third(self):
        play_on_processes(self.play_endless_freeze)

    async def play_short_freeze(self, frozen_s, expected):
        async with IdleSystem(front_count=3).run() as system:
            loop = asyncio.get_running_loop()
            job = await start_job(system)
            loop.pause('f0')
            await asyncio.sleep(frozen_s / 2)
            cancelling = asyncio.create_task(cancel(system, 1))
            await asyncio.sleep(frozen_s / 2)
            loop.resume('f0')
            status, _, _ = await cancelling
            if expected is None:
                assert status in {GONE, UNAVAILABLE}
                await asyncio.sleep(0.5)
            else:
                assert status == expected
            assert know_job(system) == [True] * 3
            assert await job == FAILED
            started = len(system.history())
            await asyncio.sleep(4 * WORK_S)
            assert len(system.history()) == started

    async def play_long_freeze(self):
        async with FaultySystem(front_count=3).run() as system:
            loop = asyncio.get_running_loop()
            job = await start_job(system)
            loop.pause('f0')
            await asyncio.sleep(0.7)
            status, _, elapsed_s = await cancel(system, 1)
            assert status in {GONE, UNAVAILABLE}
            assert elapsed_s < ACK_S
            await asyncio.sleep(1)
            loop.resume('f0')
            await asyncio.sleep(1)
            assert all(know_job(system))
            assert await job == FAILED

    async def play_endless_freeze(self):
        async with FaultySystem(front_count=3).run() as system:
            loop = asyncio.get_running_loop()
            job = await start_job(system, front=1)
            loop.pause('f2')
            status, _, elapsed_s = await cancel(system, 1)
            assert elapsed_s < ACK_S
            # The job is stopped without waiting for the frozen front.
            assert await job == FAILED
            while status == UNAVAILABLE:
                status, _, _ = await cancel(system, 1)
            loop.resume('f2')
            await asyncio.sleep(1)
            assert all(know_job(system))


class TestLostMessage:
    """Guards against a cancellation that is lost with its link."""

    async def test_link_is_reset_with_the_message_under_way(self):
        async with FaultySystem(front_count=2).run() as system:
            job = await start_job(system)
            (link,) = system.links_between('f0', 'f1')
            link.stall()
            cancelling = asyncio.create_task(cancel(system, 1))
            await asyncio.sleep(0.1)
            link.reset()
            assert (await cancelling)[0] == GONE
            assert all(know_job(system))
            assert await job == FAILED

    async def test_front_that_was_cut_off_learns_it_over_the_next_link(self):
        async with FaultySystem(front_count=2).run() as system:
            cut_off(system, 'f0', 'f1')
            await asyncio.sleep(3)
            job = await start_job(system)
            assert (await cancel(system, 1))[0] == GONE
            assert know_job(system) == [False, True]
            system.network.refused.clear()
            await asyncio.sleep(1)
            assert all(know_job(system))
            assert await job == FAILED

    async def test_front_behind_one_that_was_cut_off_learns_it_as_well(self):
        async with FaultySystem(front_count=3).run() as system:
            for peer in ('f1', 'f2'):
                cut_off(system, 'f0', peer)
            await asyncio.sleep(3)
            assert (await cancel(system, 1))[0] == GONE
            system.network.refused.clear()
            await asyncio.sleep(1)
            assert know_job(system) == [True] * 3

    async def test_client_that_leaves_does_not_end_the_cancellation(self):
        async with FaultySystem(front_count=2).run() as system:
            job = await start_job(system)
            (link,) = system.links_between('f0', 'f1')
            link.stall()
            cancelling = asyncio.create_task(cancel(system, 1))
            await asyncio.sleep(0.1)
            cancelling.cancel()
            await asyncio.sleep(0.1)
            link.resume()
            await asyncio.sleep(0.1)
            assert all(know_job(system))
            assert await job == FAILED


class TestUnconfirmed:
    """Guards against an acknowledgement that a front did not confirm."""

    async def test_client_is_told_to_return_and_is_answered_then(self):
        async with System(front_count=3).run() as system:
            job = await start_job(system)
            silent = system.fronts[2]
            handle = silent.handlers.pop(JobCancelled)
            stuck = asyncio.Event()

            async def wait(_channel, _message):
                await stuck.wait()

            silent.handlers[JobCancelled] = wait
            status, answer_headers, elapsed_s = await cancel(system, 0)
            assert status == UNAVAILABLE
            assert int(answer_headers['Retry-After']) >= 1
            assert elapsed_s < ACK_S
            assert await job == FAILED
            assert know_job(system) == [True, True, False]
            silent.handlers[JobCancelled] = handle
            status, _, elapsed_s = await cancel(system, 0)
            assert status == GONE
            assert elapsed_s < 1
            assert know_job(system) == [True] * 3
            stuck.set()

    async def test_unconfirmed_front_behind_another_is_asked_again(self):
        async with ChainedSystem(front_count=4).run() as system:
            silent = system.fronts[3]
            handle = silent.handlers.pop(JobCancelled)
            stuck = asyncio.Event()

            async def wait(_channel, _message):
                await stuck.wait()

            silent.handlers[JobCancelled] = wait
            status, _, elapsed_s = await cancel(system, 0)
            assert status == UNAVAILABLE
            assert elapsed_s < ACK_S
            silent.handlers[JobCancelled] = handle
            assert (await cancel(system, 0))[0] == GONE
            assert know_job(system) == [True] * 4
            stuck.set()


class TestEarlierBuild:
    """Guards against fronts of two builds that do not understand each other."""

    async def test_earlier_front_learns_it_before_the_answer(self):
        async with EarlierSystem(3, earlier={'f2'}).run() as system:
            job = await start_job(system, front=2)
            assert (await cancel(system, 1))[0] == GONE
            assert know_job(system) == [True] * 3
            assert await job == FAILED

    async def test_earlier_front_passes_it_on(self):
        async with EarlierSystem(3, earlier={'f0'}).run() as system:
            job = await start_job(system, front=2)
            assert (await cancel(system, 1))[0] == GONE
            await asyncio.sleep(0.1)
            assert know_job(system) == [True] * 3
            assert await job == FAILED

    async def test_notification_of_an_earlier_front_reaches_all(self):
        async with EarlierSystem(3, earlier={'f2'}).run() as system:
            job = await start_job(system, front=1)
            cancel_as_earlier_build(system.fronts[2], JOB)
            await asyncio.sleep(0.1)
            assert know_job(system) == [True] * 3
            assert await job == FAILED

    async def test_earlier_front_that_restarts_learns_it(self):
        async with EarlierSystem(2, earlier={'f1'}).run() as system:
            await cancel(system, 0)
            await system.kill('f1')
            await system.start_front(1, incarnation=2)
            await system.settle()
            assert know_job(system) == [True, True]


class TestMessages:
    """Guards against messages that grow with the square of the fronts."""

    async def test_linked_fronts_are_told_once_each(self):
        async with System(front_count=5).run() as system:
            for front in system.fronts:
                for number in range(5):
                    front.add_seeds([link_address(f'f{number}')])
            await system.settle()
            told = []
            for front in system.fronts:
                handle = front.handlers[JobCancelled]
                front.handlers[JobCancelled] = count_calls(handle, told)
            assert (await cancel(system, 2))[0] == GONE
            assert (len(told), know_job(system)) == (4, [True] * 5)
            assert (await cancel(system, 2))[0] == GONE
            assert len(told) == 4

    async def test_ring_of_fronts_does_not_wait_for_itself(self):
        async with ChainedSystem(front_count=5).run() as system:
            system.fronts[4].add_seeds([link_address('f0')])
            await system.settle()
            answers = await asyncio.gather(
                *[cancel(system, number) for number in range(5)]
            )
            assert [status for status, _, _ in answers] == [GONE] * 5
            assert max(elapsed_s for _, _, elapsed_s in answers) < 1
            assert know_job(system) == [True] * 5


def count_calls(handle, calls):
    """Return a handler that records its calls."""

    def handle_and_count(channel, message):
        calls.append(message)
        return handle(channel, message)

    return handle_and_count
