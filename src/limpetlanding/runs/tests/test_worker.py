"""Tests of the orders that a worker accepts."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace
from types import SimpleNamespace

import pytest

from limpetlanding.runs.model import Resources
from limpetlanding.runs.ports import ExecutorReplaced, StartReply
from limpetlanding.runs.tests.test_supervisor import (
    CLOCK_MS,
    CPU,
    ControlledPort,
    executor,
    inventory,
)
from limpetlanding.runs.worker import Worker
from limpetlanding.wire import PROTOCOL_VERSION, Hello, Node
from limpetlanding.wire.run_messages import (
    ExpectedRuns,
    RunOrder,
    StartRuns,
    StopRuns,
)

LABELLED = replace(executor(), labels=('special',))
CHANGES = [{'labels': ()}, {'pool': 'other'}]
KEY = 'a.0.0.0/1'
REVOCATIONS = [StopRuns([KEY], 'no answer'), ExpectedRuns([KEY], [])]


def order(report, **changes):
    """Return the order of a front that has received a report."""
    run = changes.pop('run', 1)
    runs = [RunOrder('a.0.0.0', run, CPU, 0, 0, 0)]
    pool = changes.pop('pool', 'desk')
    chosen = {'executor': report.executor, 'revision': report.revision}
    return StartRuns('a', pool, '', runs, **chosen | changes)


class OrderedWorker:
    """A worker whose executor has answered once, and one of its fronts."""

    def __init__(self, worker, port):
        self.worker = worker
        self.port = port
        peer = SimpleNamespace(
            role='front', node='f0', incarnation='f0-1', loss_reports=True
        )
        self.channel = SimpleNamespace(
            peer=peer, transit_s=lambda _: self.age_s
        )
        self.age_s = 0

    def announce(self, change):
        """Let the executor announce itself with other attributes."""
        known = self.worker.supervisor.executor
        self.worker.handle_announcement(
            replace(known, sequence=known.sequence + 1, **change)
        )

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


class TestLateOrder:
    """Guards against starts that their front has given up."""

    async def test_order_that_was_on_its_way_for_too_long_is_rejected(self):
        async with ordered_worker() as ordered:
            message = order(ordered.worker.report(), deadline_ms=500)
            ordered.age_s = 0.6
            reply = ordered.start(message)
            await asyncio.sleep(0.1)
            assert reply.reason == 'the order arrived too late'
            assert not reply.taken
            assert not ordered.port.starts

    async def test_order_that_was_held_up_for_less_is_accepted(self):
        async with ordered_worker() as ordered:
            message = order(ordered.worker.report(), deadline_ms=500)
            ordered.age_s = 0.4
            assert ordered.start(message).taken

    async def test_time_on_the_way_counts_for_the_age_at_the_worker(self):
        async with ordered_worker() as ordered:
            ordered.age_s = 0.4
            ordered.start(order(ordered.worker.report()))
            (held,) = ordered.worker.supervisor.runs.values()
            await asyncio.sleep(0)
            age_s = ordered.worker.supervisor.now() - held.ordered_at
            assert age_s == pytest.approx(0.4)


class TestCopyOfAnOrder:
    """Guards against a second decision on the run of an order."""

    async def test_run_that_was_refused_is_not_started_by_a_copy(self):
        async with ordered_worker() as ordered:
            message = order(ordered.worker.report())
            ordered.announce({'capacity': Resources(CPU // 2)})
            assert ordered.start(message).reason == 'no room'
            ordered.announce({'capacity': LABELLED.capacity})
            reply = ordered.start(message)
            await asyncio.sleep(0.1)
            assert (reply.taken, reply.reason) == ([], 'refused before')
            assert not ordered.port.starts

    async def test_next_run_of_a_task_that_was_refused_is_accepted(self):
        # Guards against a task that this worker never starts any more.
        async with ordered_worker() as ordered:
            message = order(ordered.worker.report())
            ordered.announce({'capacity': Resources(CPU // 2)})
            assert not ordered.start(message).taken
            ordered.announce({'capacity': LABELLED.capacity})
            next_order = order(ordered.worker.report(), run=2)
            assert ordered.start(next_order).taken

    @pytest.mark.parametrize(
        'revocation', REVOCATIONS, ids=['stop', 'expected']
    )
    async def test_run_that_was_stopped_before_is_not_started(self, revocation):
        async with ordered_worker() as ordered:
            message = order(ordered.worker.report())
            ordered.worker.handle(ordered.channel, revocation)
            replies = [ordered.start(message) for _ in range(2)]
            await asyncio.sleep(0.1)
            assert [x.reason for x in replies] == ['stopped before'] * 2
            assert not any(reply.taken for reply in replies)
            assert not ordered.port.starts

    @pytest.mark.parametrize('is_stopped', [True, False])
    async def test_run_that_has_ended_is_neither_refused_nor_started(
        self, is_stopped
    ):
        # Guards against a run that its front counts as never started.
        async with ordered_worker() as ordered:
            message = order(ordered.worker.report())
            assert ordered.start(message).taken
            ordered.announce({'labels': ()})
            await asyncio.sleep(0.1)
            assert ordered.worker.counts['refused'] == 1
            if is_stopped:
                ordered.worker.handle(ordered.channel, REVOCATIONS[0])
            assert ordered.start(message).taken
            await asyncio.sleep(0.1)
            assert not ordered.port.starts


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
            assert ordered.start(order(reply.report, run=2)).taken

    async def test_order_of_an_earlier_build_is_accepted(self):
        # Guards against a rolling upgrade that stops all starts.
        async with ordered_worker() as ordered:
            message = order(ordered.worker.report(), executor='', revision=0)
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


class TestChangedExecutor:
    """Guards against starts by what an executor has announced before."""

    @pytest.mark.parametrize('change', CHANGES)
    async def test_order_chosen_by_an_earlier_report_is_rejected(self, change):
        async with ordered_worker() as ordered:
            message = order(ordered.worker.report())
            ordered.announce(change)
            reply = ordered.start(message)
            assert (reply.taken, reply.reason) == (
                [],
                'other labels or another pool',
            )
            await asyncio.sleep(0.1)
            assert not ordered.port.starts
            # The front chooses anew by the report in the reply.
            report = reply.report
            next_order = order(report, pool=report.pool, run=2)
            assert ordered.start(next_order).taken

    @pytest.mark.parametrize('change', CHANGES)
    async def test_start_is_dropped_if_it_has_not_been_sent(self, change):
        async with ordered_worker() as ordered:
            assert ordered.start(order(ordered.worker.report())).taken
            ordered.announce(change)
            await asyncio.sleep(0.1)
            assert not ordered.port.starts
            assert ordered.worker.counts['refused'] == 1

    @pytest.mark.parametrize('change', CHANGES)
    async def test_start_is_not_attempted_again(self, change):
        async with ordered_worker() as ordered:

            async def refuse(_number):
                ordered.announce(change)
                return StartReply(CLOCK_MS, 'expired')

            ordered.port.answer_start = refuse
            assert ordered.start(order(ordered.worker.report())).taken
            await asyncio.sleep(0.1)
            assert len(ordered.port.starts) == 1
            assert ordered.worker.counts['refused'] == 1

    async def test_start_is_not_repeated_at_a_draining_executor(self):
        async with ordered_worker() as ordered:

            async def refuse(_number):
                ordered.announce({'draining': True})
                return StartReply(CLOCK_MS, 'expired')

            ordered.port.answer_start = refuse
            assert ordered.start(order(ordered.worker.report())).taken
            await asyncio.sleep(0.1)
            assert len(ordered.port.starts) == 1
            assert ordered.worker.counts['refused'] == 1

    async def test_order_for_a_capacity_that_has_shrunk_is_rejected(self):
        async with ordered_worker() as ordered:
            message = order(ordered.worker.report())
            ordered.announce({'capacity': Resources(CPU // 2)})
            assert ordered.start(message).reason == 'no room'

    async def test_repeated_or_reordered_labels_reject_nothing(self):
        # Guards against rejections after each announcement.
        labels = ('r1', 'special')
        async with ordered_worker(replace(LABELLED, labels=labels)) as ordered:
            message = order(ordered.worker.report())
            ordered.announce({'labels': labels[::-1]})
            assert ordered.start(message).taken

    async def test_order_of_an_earlier_build_is_accepted(self):
        # Guards against a rolling upgrade that stops all starts.
        async with ordered_worker() as ordered:
            message = order(ordered.worker.report(), executor='', revision=0)
            ordered.announce({'labels': ()})
            assert ordered.start(message).taken
            await asyncio.sleep(0.01)
            assert len(ordered.port.starts) == 1
