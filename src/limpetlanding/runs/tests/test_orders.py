"""Tests of the orders that a front sends."""

import asyncio
from contextlib import asynccontextmanager, suppress
from dataclasses import replace
from random import Random

import pytest

from limpetlanding.errors import (
    LimpetlandingError,
    RequestTimeout,
    RequestWithdrawn,
)
from limpetlanding.runs.dispatcher import Dispatcher, JobAbandoned
from limpetlanding.runs.fleet import Fleet
from limpetlanding.runs.model import Job, JobState, Queue, Resources, Step
from limpetlanding.runs.tests.standins import StandinChannel, report
from limpetlanding.wire.run_messages import (
    RunOutcome,
    RunsAccepted,
    RunsEnded,
    StartRuns,
)

JOB = Job('a', '', (Step(1, Resources(1000)),))
QUEUE = Queue('q', 'desk.example', '/quote/', 'desk', target_ms=1000)
CHOSEN = replace(report(), revision=3)
NEXT = replace(report(), executor='i-2/1', revision=4)


class RecordingChannel(StandinChannel):
    """Link to a worker that records requests and answers none."""

    def __init__(self, name):
        super().__init__(name)
        self.requests = []

    async def request(self, message, timeout_s, is_wanted=bool):
        self.requests.append(message)
        await asyncio.sleep(timeout_s)
        raise RequestTimeout('no answer in time', step='start')


class TestOrder:
    """Guards against an order that names an executor that was not chosen."""

    async def test_order_names_the_executor_that_was_chosen(self):
        dispatcher = Dispatcher(Fleet('z1', Random(1)), Random(1))
        channel = RecordingChannel('w0')
        dispatcher.handle_report(channel, CHOSEN)
        spawn = dispatcher.background.spawn

        def spawn_after_report(work):
            # The next report arrives between the choice and the order.
            dispatcher.handle_report(channel, NEXT)
            spawn(work)

        dispatcher.background.spawn = spawn_after_report
        placing = asyncio.create_task(dispatcher.run())
        with suppress(LimpetlandingError):
            await dispatcher.submit(JOB, QUEUE, 0.2, 1, lambda: True)
        placing.cancel()
        await dispatcher.background.cancel()
        (order,) = [x for x in channel.requests if isinstance(x, StartRuns)]
        assert (order.executor, order.revision) == ('i-1/1', 3)


class AnsweringChannel(StandinChannel):
    """Link to a worker that accepts all orders which are wanted.

    Attributes
    ----------
    orders : list of StartRuns
        Orders that were sent.
    on_withdraw : callable
        Called as an order is withdrawn.
    delay_s : float
        Time until the link is there, in seconds.
    """

    def __init__(self):
        super().__init__('w0')
        self.orders = []
        self.on_withdraw = int
        self.delay_s = 0

    async def request(self, message, timeout_s, is_wanted=None):
        if not isinstance(message, StartRuns):
            return None
        await asyncio.sleep(self.delay_s)
        if not is_wanted():
            self.on_withdraw()
            raise RequestWithdrawn('not wanted', step='start', sent=False)
        self.orders.append(message)
        tasks = [order.task for order in message.orders]
        return RunsAccepted(tasks, '', report())

    def end_runs(self, dispatcher):
        """Report the runs of the first order as stopped."""
        orders = self.orders[0].orders
        outcomes = [RunOutcome(x.task, x.run, 'stopped') for x in orders]
        dispatcher.handle_runs_ended(self, RunsEnded(outcomes, report()))


@asynccontextmanager
async def dispatching(channel, clock=None):
    """Run a dispatcher that knows one worker."""
    dispatcher = Dispatcher(Fleet('z1', Random(1)), Random(1), clock)
    dispatcher.handle_report(channel, report())
    placing = asyncio.create_task(dispatcher.run())
    yield dispatcher
    placing.cancel()
    await dispatcher.background.cancel()


async def submit(dispatcher, is_connected=lambda: True, wait_s=5):
    """Submit the job in the background, and let it be ordered."""
    job = asyncio.create_task(
        dispatcher.submit(JOB, QUEUE, wait_s, 1, is_connected)
    )
    await asyncio.sleep(0.05)
    return job


class TestWithdrawnOrder:
    """Guards against answers and starts that a withdrawn order gets wrong."""

    async def test_client_that_joins_meanwhile_is_served(self):
        channel = AnsweringChannel()
        async with dispatching(channel) as dispatcher:
            joined = []

            def join():
                channel.on_withdraw = int
                joined.append(asyncio.create_task(submit(dispatcher)))

            channel.on_withdraw = join
            first = await submit(dispatcher, lambda: False)
            assert first.cancelled()
            second = await joined[0]
            assert not second.done()
            assert len(channel.orders) == 1
            second.cancel()

    async def test_order_is_not_sent_after_the_wait_of_its_client(self):
        suspended_s = 0
        loop = asyncio.get_running_loop()
        channel = AnsweringChannel()
        channel.delay_s = 0.1
        async with dispatching(
            channel, lambda: loop.time() + suspended_s
        ) as dispatcher:
            job = await submit(dispatcher)
            suspended_s = 10
            await asyncio.sleep(0.1)
            assert not channel.orders
            assert isinstance(job.exception(), LimpetlandingError)

    async def test_order_of_a_decided_job_is_not_sent(self):
        channel = AnsweringChannel()
        channel.delay_s = 0.1
        async with dispatching(channel) as dispatcher:
            job = await submit(dispatcher)
            dispatcher.abandon_all()
            await asyncio.sleep(0.1)
            assert not channel.orders
            assert isinstance(job.exception(), JobAbandoned)


class TestWaitForEarlierRuns:
    """Guards against starts of a job that ended while it waited."""

    async def test_job_that_is_cancelled_is_not_started(self):
        channel = AnsweringChannel()
        async with dispatching(channel) as dispatcher:
            (await submit(dispatcher)).cancel()
            again = await submit(dispatcher)
            dispatcher.cancel(JOB.job_id)
            channel.end_runs(dispatcher)
            assert await again is JobState.FAILED
            assert len(channel.orders) == 1

    async def test_stopping_front_answers_and_starts_nothing(self):
        channel = AnsweringChannel()
        async with dispatching(channel) as dispatcher:
            (await submit(dispatcher)).cancel()
            again = await submit(dispatcher)
            dispatcher.abandon_all()
            channel.end_runs(dispatcher)
            with pytest.raises(JobAbandoned):
                await again
            assert len(channel.orders) == 1


class TestSeveralClients:
    """Guards against an untrue refusal while a job goes on."""

    async def test_client_that_waits_for_less_is_not_told_not_run(self):
        channel = AnsweringChannel()
        channel.delay_s = 1
        async with dispatching(channel) as dispatcher:
            longer = await submit(dispatcher)
            with pytest.raises(JobAbandoned):
                await (await submit(dispatcher, wait_s=0.2))
            longer.cancel()
