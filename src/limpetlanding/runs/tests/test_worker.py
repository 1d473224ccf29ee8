"""Tests of the orders that a worker accepts."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace
from types import SimpleNamespace

from limpetlanding.runs.ports import ExecutorReplaced
from limpetlanding.runs.tests.test_supervisor import (
    CPU,
    ControlledPort,
    executor,
    inventory,
)
from limpetlanding.runs.worker import Worker
from limpetlanding.wire import PROTOCOL_VERSION, Hello, Node
from limpetlanding.wire.run_messages import RunOrder, StartRuns

LABELLED = replace(executor(), labels=('special',))


def order(report, **changes):
    """Return the order of a front that has received a report."""
    runs = [RunOrder('a.0.0.0', 1, CPU, 0, 0, 0)]
    return StartRuns(
        'a', 'desk', '', runs, **{'executor': report.executor} | changes
    )


class OrderedWorker:
    """A worker whose executor has answered once, and one of its fronts."""

    def __init__(self, worker, port):
        self.worker = worker
        self.port = port
        peer = SimpleNamespace(
            role='front', node='f0', incarnation='f0-1', loss_reports=True
        )
        self.channel = SimpleNamespace(peer=peer)

    def start(self, message):
        """Deliver an order; return the reply."""
        return self.worker.handle(self.channel, message)

    async def answer(self):
        """Answer the inventory that the worker waits for."""
        await asyncio.sleep(0.01)
        self.port.inventories.pop().set_result(inventory())
        await asyncio.sleep(0.01)

    async def replace_executor(self, successor):
        """Let another incarnation answer in place of the known one."""
        self.worker.supervisor.wake.set()
        await asyncio.sleep(0.01)
        self.begin_replacement(successor)
        await self.answer()

    def begin_replacement(self, successor):
        """Let the inventory that is being waited for show a replacement."""
        self.worker.supervisor.announced = successor
        error = ExecutorReplaced('replaced', step='look')
        self.port.inventories.pop().set_exception(error)


@asynccontextmanager
async def ordered_worker(announced=LABELLED):
    """Yield a worker whose executor has answered once."""
    port = ControlledPort()
    hello = Hello(PROTOCOL_VERSION, 'worker', 'w0', 'w0-1', 'z1', '', '')
    worker = Worker(Node(hello, None), port)
    worker.handle_announcement(announced)
    ordered = OrderedWorker(worker, port)
    await ordered.answer()
    try:
        yield ordered
    finally:
        await worker.supervisor.close()
        await worker.background.cancel()


class TestReplacedExecutor:
    """Guards against starts at an executor that the front did not choose."""

    async def test_order_for_the_former_incarnation_is_rejected(self):
        async with ordered_worker() as ordered:
            message = order(ordered.worker.report())
            await ordered.replace_executor(executor(2))
            reply = ordered.start(message)
            await asyncio.sleep(0.1)
            assert (reply.taken, reply.reason) == ([], 'another executor')
            # The front chooses anew by the report in the reply.
            assert reply.report.executor == executor(2).incarnation
            assert not reply.report.labels
            assert not ordered.port.starts

    async def test_order_chosen_by_the_report_in_the_reply_is_accepted(self):
        async with ordered_worker() as ordered:
            message = order(ordered.worker.report())
            await ordered.replace_executor(executor(2))
            reply = ordered.start(message)
            assert ordered.start(order(reply.report)).taken

    async def test_order_of_an_earlier_build_is_accepted(self):
        # Guards against a rolling upgrade that stops all starts.
        async with ordered_worker() as ordered:
            message = order(ordered.worker.report(), executor='')
            await ordered.replace_executor(executor(2))
            assert ordered.start(message).taken

    async def test_repeated_order_of_an_accepted_run_is_not_rejected(self):
        # Guards against a run that its front counts as never started, because
        # the first answer was lost and the executor was replaced since.
        async with ordered_worker() as ordered:
            message = order(ordered.worker.report())
            assert ordered.start(message).taken
            await ordered.replace_executor(executor(2))
            assert ordered.start(message).taken
            await asyncio.sleep(0.1)
            assert len(ordered.port.starts) == 1

    async def test_replacement_before_the_start_is_sent_drops_it(self):
        async with ordered_worker() as ordered:
            ordered.worker.supervisor.wake.set()
            await asyncio.sleep(0.01)
            # The answer is read before the start is sent.
            ordered.begin_replacement(executor(2))
            assert ordered.start(order(ordered.worker.report())).taken
            await asyncio.sleep(0.1)
            assert not ordered.port.starts
            assert ordered.worker.counts['crashed'] == 1
