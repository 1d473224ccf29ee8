"""Tests of the orders that a front sends."""

import asyncio
from contextlib import suppress
from dataclasses import replace
from random import Random

from limpetlanding.errors import LimpetlandingError, RequestTimeout
from limpetlanding.runs.dispatcher import Dispatcher
from limpetlanding.runs.fleet import Fleet
from limpetlanding.runs.model import Job, Queue, Resources, Step
from limpetlanding.runs.tests.standins import StandinChannel, report
from limpetlanding.wire.run_messages import StartRuns

JOB = Job('a', '', (Step(1, Resources(1000)),))
QUEUE = Queue('q', 'desk.example', '/quote/', 'desk', target_ms=1000)
CHOSEN = replace(report(), revision=3)
NEXT = replace(report(), executor='i-2/1', revision=4)


class RecordingChannel(StandinChannel):
    """Link to a worker that records requests and answers none."""

    def __init__(self, name):
        super().__init__(name)
        self.requests = []

    async def request(self, message, timeout_s):
        self.requests.append(message)
        await asyncio.sleep(timeout_s)
        raise RequestTimeout('no answer in time', step='start')


class TestOrder:
    """Guards against an order that names an executor that was not chosen."""

    async def test_order_names_the_executor_that_was_chosen(self):
        dispatcher = Dispatcher(Fleet('z1'), Random(1))
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
            await dispatcher.submit(JOB, QUEUE, 0.2, 1)
        placing.cancel()
        await dispatcher.background.cancel()
        (order,) = [x for x in channel.requests if isinstance(x, StartRuns)]
        assert (order.executor, order.revision) == ('i-1/1', 3)
