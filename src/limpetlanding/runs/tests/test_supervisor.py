"""Tests of the room of an executor, with answers that the test controls."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from limpetlanding.runs.model import Resources, RunEnd
from limpetlanding.runs.ports import (
    ActiveRun,
    EndedRun,
    Executor,
    ExecutorReplaced,
    ExecutorUnavailable,
    Inventory,
    StartReply,
)
from limpetlanding.runs.supervisor import RunSupervisor
from limpetlanding.runs.tracked_run import TrackedRun

CPU = 8000
START_TIME_MS = 1_000
CLOCK_MS = 5_000


class ControlledPort:
    """Calls to an executor that the test answers.

    Attributes
    ----------
    starts : list of StartOrder
        Starts that were sent.
    targets : list of CallTarget
        Executor and token of each start.
    stops : list of tuple
        Task and number of each run whose stop was sent.
    inventories : list of asyncio.Future
        Inventories that wait for their answer.
    """

    is_local = True

    def __init__(self):
        self.starts = []
        self.targets = []
        self.stops = []
        self.inventories = []

    async def start(self, to, order):
        self.targets.append(to)
        self.starts.append(order)
        return await self.answer_start(len(self.starts))

    async def answer_start(self, _number):
        return StartReply(CLOCK_MS)

    async def stop(self, _to, task, run):
        self.stops.append((task, run))
        await asyncio.sleep(3600)

    async def inventory(self, *_):
        answer = asyncio.get_running_loop().create_future()
        self.inventories.append(answer)
        return await answer


def executor(number=1, cpu=CPU, sequence=1):
    """Return an announcement of an executor."""
    return Executor(
        f'i-{number}',
        START_TIME_MS,
        'desk',
        Resources(cpu),
        (),
        False,
        sequence,
    )


def restarted(change):
    """Return the announcement of a later life under the same id."""
    return replace(executor(), start_time_ms=START_TIME_MS + 1, **change)


def inventory(active=(), ended=()):
    """Return an answer of the executor."""
    return Inventory(CLOCK_MS, START_TIME_MS, list(active), list(ended))


def tracked_run(task='a.0.0.0', cpu=CPU):
    """Return a run that has just been ordered."""
    now = asyncio.get_running_loop().time()
    return TrackedRun('f0-1', 'a', task, 1, Resources(cpu), ordered_at=now)


@asynccontextmanager
async def supervised(clock=None):
    """Yield a supervisor whose executor has answered once, port and ends.

    `clock` is the clock that advances while the process is suspended.
    """
    port = ControlledPort()
    ends = []
    supervisor = RunSupervisor(port, ends.append, lambda: None, clock=clock)
    supervisor.handle_announcement(executor())
    await asyncio.sleep(0.01)
    port.inventories.pop().set_result(inventory())
    await asyncio.sleep(0.01)
    assert not supervisor.refusal_reason(Resources(CPU))
    try:
        yield supervisor, port, ends
    finally:
        await supervisor.close()


async def next_inventory(supervisor, port):
    """Return the inventory that the supervisor waits for."""
    supervisor.wake.set()
    await asyncio.sleep(0.01)
    return port.inventories.pop()


class TestUnsentStart:
    """Guards against starts that are sent after their room was freed."""

    async def test_run_that_is_stopped_before_its_start_is_sent(self):
        async with supervised() as (supervisor, port, ends):
            answer = await next_inventory(supervisor, port)
            answer.set_result(inventory())
            held = tracked_run()
            # The answer is read before the start and the stop are sent.
            supervisor.start(held)
            supervisor.stop(held)
            await asyncio.sleep(0.1)
            assert len(ends) == 1
            assert not port.starts

    async def test_executor_that_is_replaced_by_a_smaller_one(self):
        async with supervised() as (supervisor, port, ends):
            answer = await next_inventory(supervisor, port)
            supervisor.announced = executor(2, CPU // 2)
            answer.set_exception(ExecutorReplaced('replaced', step='look'))
            supervisor.start(tracked_run())
            await asyncio.sleep(0.1)
            assert len(ends) == 1
            assert not port.starts

    async def test_capacity_that_shrinks_between_two_attempts(self):
        async with supervised() as (supervisor, port, ends):

            async def refuse(number):
                if number == 1:
                    supervisor.handle_announcement(
                        executor(cpu=CPU // 2, sequence=2)
                    )
                return StartReply(CLOCK_MS, 'expired')

            port.answer_start = refuse
            supervisor.start(tracked_run())
            await asyncio.sleep(0.1)
            assert len(ends) == len(port.starts) == 1

    async def test_executor_whose_connection_breaks(self):
        # It may have restarted, perhaps with other labels.
        async with supervised() as (supervisor, port, ends):
            supervisor.start(tracked_run())
            # The call that watches the executor fails.
            supervisor.watch.on_break()
            await asyncio.sleep(0.1)
            assert len(ends) == 1
            assert not port.starts


class TestAnnouncement:
    """Guards against room that a late announcement grants."""

    async def test_late_one_of_the_next_incarnation_with_more_room(self):
        async with supervised() as (supervisor, port, _):
            answer = await next_inventory(supervisor, port)
            supervisor.handle_announcement(executor(2, CPU // 2, sequence=5))
            supervisor.handle_announcement(executor(2, CPU, sequence=1))
            answer.set_exception(ExecutorReplaced('replaced', step='look'))
            await asyncio.sleep(0.01)
            assert supervisor.capacity == Resources(CPU // 2)

    async def test_capacity_from_before_a_suspension_grants_no_room(self):
        loop = asyncio.get_running_loop()
        suspended_s = 0
        async with supervised(lambda: loop.time() + suspended_s) as started:
            supervisor, _, _ = started
            suspended_s = 5
            assert supervisor.refusal_reason(Resources(CPU))
            supervisor.handle_announcement(executor(sequence=2))
            assert not supervisor.refusal_reason(Resources(CPU))


class TestUnansweredInventory:
    """Guards against room that stays refused after a single lost answer."""

    async def test_idle_executor_is_asked_again_at_once(self):
        async with supervised() as (supervisor, port, _):
            answer = await next_inventory(supervisor, port)
            answer.set_exception(ExecutorUnavailable('reset', step='look'))
            await asyncio.sleep(0.1)
            assert supervisor.refusal_reason(Resources(CPU))
            port.inventories.pop().set_result(inventory())
            await asyncio.sleep(0.01)
            assert not supervisor.refusal_reason(Resources(CPU))

    async def test_idle_executor_that_answers_at_once_is_called_seldom(
        self,
    ):
        async with supervised() as (_, port, _ends):
            calls = []

            async def answer_at_once(*call):
                calls.append(call)
                await asyncio.sleep(0.001)
                return inventory()

            port.inventory = answer_at_once
            for answer in port.inventories:
                if not answer.done():
                    answer.set_result(inventory())
            await asyncio.sleep(1)
            assert 2 < len(calls) < 100


class TestDepartedExecutor:
    """Guards against room of an executor that is not there."""

    async def test_no_room_is_free(self):
        async with supervised() as (supervisor, _, _):
            supervisor.handle_departure('i-1')
            assert supervisor.free == supervisor.capacity == Resources()


class TestRestartedExecutor:
    """Guards against runs without a label that their tasks require.

    An executor that has restarted under the same id carries out the start that
    was meant for its earlier life.
    """

    OTHERS = (
        {'labels': ('other',)},
        {'pool': 'other'},
    )

    async def restart(self, supervisor, port):
        """Let a run start, and an inventory show that its start was late."""
        answer = await next_inventory(supervisor, port)
        held = tracked_run()
        supervisor.start(held)
        await asyncio.sleep(0.01)
        active = [ActiveRun(*held.key, 1)]
        answer.set_result(Inventory(CLOCK_MS, START_TIME_MS + 1, active))
        await asyncio.sleep(0.01)

    @pytest.mark.parametrize('change', OTHERS)
    async def test_run_is_stopped_if_others_are_announced_later(self, change):
        async with supervised() as (supervisor, port, _):
            await self.restart(supervisor, port)
            assert not port.stops
            supervisor.handle_announcement(restarted(change))
            await asyncio.sleep(0.01)
            assert port.stops == [('a.0.0.0', 1)]

    @pytest.mark.parametrize('change', OTHERS)
    async def test_run_is_stopped_if_others_were_announced(self, change):
        async with supervised() as (supervisor, port, _):
            supervisor.announced = restarted(change)
            await self.restart(supervisor, port)
            assert port.stops == [('a.0.0.0', 1)]

    async def test_run_goes_on_if_the_same_are_announced(self):
        async with supervised() as (supervisor, port, ends):
            await self.restart(supervisor, port)
            supervisor.handle_announcement(restarted({}))
            await asyncio.sleep(0.01)
            assert not port.stops
            assert not ends

    async def test_run_that_ended_there_counts_as_done_not_as_crashed(self):
        async with supervised() as (supervisor, port, ends):
            losses = []
            supervisor.losses.on_loss = losses.append
            answer = await next_inventory(supervisor, port)
            held = tracked_run()
            supervisor.start(held)
            await asyncio.sleep(0.01)
            ended = [EndedRun(1, *held.key, RunEnd.DONE)]
            shown = Inventory(CLOCK_MS, START_TIME_MS + 1, [], ended)
            answer.set_result(shown)
            await asyncio.sleep(0.01)
            port.inventories.pop().set_result(shown)
            await asyncio.sleep(0.01)
            assert [end.how for end in ends] == [RunEnd.DONE]
            assert not losses

    async def test_run_goes_on_if_its_executor_announces_others(self):
        # The run has been started while they were announced.
        async with supervised() as (supervisor, port, ends):
            supervisor.start(tracked_run())
            await asyncio.sleep(0.01)
            supervisor.handle_announcement(
                replace(executor(sequence=2), labels=('other',))
            )
            await asyncio.sleep(0.01)
            assert not port.stops
            assert not ends
