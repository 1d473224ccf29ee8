"""End-to-end tests of what processes know of others after a restart or move."""

import asyncio

from limpetlanding.platform.tests.rig import (
    LINK_PORT,
    System,
    body,
    config,
)
from limpetlanding.runs.model import Catalog
from limpetlanding.runs.registry import JOB_RETENTION_S
from limpetlanding.wire.run_messages import WorkerReport

JOB = '5c0e7a21d94b36f8'
NEXT_JOB = '5c0e7a21d94b36f9'
WORKERS_TOPIC = 'keyed.workers'


def record(port):
    """Return the record of a worker at a loopback port."""
    address = f'127.0.0.1:{port}'
    return {'address': address, 'capacity': None, 'failure_domain': 'z1'}


class TestWithdrawnRoutes:
    """Guards against a withdrawn route that is in use again."""

    async def test_front_started_without_the_store_does_not_serve_it(self):
        # One of the peers has missed the change.
        async with System(worker_count=2, front_count=2).run() as system:
            outdated = system.workers[0].catalogs.catalog
            system.store.put('keyed.op', 'config', config(9, pathPrefix='/b/'))
            await asyncio.sleep(0.1)
            system.store.faults.status = 503
            system.workers[0].catalogs.catalog = outdated
            await system.kill('f1')
            await system.start_front(1, incarnation=2)
            await system.settle()
            status, _ = await system.submit(JOB, front=1)
            assert status == 404
            assert system.workers[0].catalogs.version == 9

    async def test_store_that_answers_with_an_old_version_is_ignored(self):
        async with System().run() as system:
            system.store.put('keyed.op', 'config', config(9, pathPrefix='/b/'))
            await asyncio.sleep(0.1)
            system.store.faults.status = 503
            await asyncio.sleep(1)
            system.store.put('keyed.op', 'config', config(1))
            system.store.compact('keyed.op')
            system.store.faults.status = 0
            await asyncio.sleep(2)
            assert (await system.submit(JOB))[0] == 404

    async def test_front_alone_without_the_store_serves_nothing(self):
        async with System(worker_count=1, front_count=1).run() as system:
            system.store.faults.status = 503
            for name in ('w0', 'f0'):
                await system.kill(name)
            await system.start_worker(0, incarnation=2)
            await system.start_front(0, incarnation=2)
            await system.settle()
            front = system.fronts[0]
            assert front.catalogs.catalog == Catalog()
            assert front.not_ready_reason() == 'no configuration'
            assert (await system.submit(JOB))[0] == 503


class TestWithdrawnLabels:
    """Guards against a label that its executor had before a restart."""

    async def test_task_is_not_started_at_the_next_executor_without_it(self):
        # The front has not received the report on the next executor.
        async with System(worker_count=1).run() as system:
            executor = system.executors[0]
            executor.labels = ('special', 'r1')
            await system.announce(0, executor.announcement())
            await system.settle(0.5)
            system.fronts[0].handlers.pop(WorkerReport)
            executor.restart('i-next')
            executor.labels = ('r1',)
            await system.announce(0, executor.announcement())
            await system.settle(0.5)
            await system.submit(JOB, body(requirements='special'), 1000)
            assert not system.history()

    async def test_task_is_not_started_at_its_executor_without_it(self):
        # The front has not received the report on the other labels.
        async with System(worker_count=1).run() as system:
            executor = system.executors[0]
            executor.labels = ('special', 'r1')
            await system.announce(0, executor.announcement())
            await system.settle(0.5)
            system.fronts[0].handlers.pop(WorkerReport)
            executor.labels = ('r1',)
            await system.announce(0, executor.announcement())
            await system.settle(0.5)
            await system.submit(JOB, body(requirements='special'), 1000)
            assert not system.history()
            # Guards against a front that chooses by the old report for ever.
            assert (await system.submit(NEXT_JOB))[0] == 200

    async def test_label_that_is_announced_no_more_is_not_used(self):
        async with System(worker_count=1).run() as system:
            executor = system.executors[0]
            executor.labels = ('special', 'r1')
            await system.announce(0, executor.announcement())
            executor.labels = ('r1',)
            await system.announce(0, executor.announcement())
            await system.settle(0.5)
            await system.submit(JOB, body(requirements='special'), 1000)
            assert not system.history()


class TestCancelledJobs:
    """Guards against a cancelled job that runs at a restarted front."""

    async def test_front_that_has_restarted_does_not_run_it(self):
        async with System(front_count=2).run() as system:
            await system.call('DELETE', f'/quote/{JOB}', front=0)
            await system.kill('f1')
            await system.start_front(1, incarnation=2)
            await system.settle()
            assert await system.submit(JOB, front=1) == (
                200,
                {'state': 'failed'},
            )
            assert not system.history()

    async def test_cancellation_is_forgotten_after_its_time(self):
        # Guards against fronts that remind each other without end.
        async with System(front_count=2).run() as system:
            await system.call('DELETE', f'/quote/{JOB}', front=0)
            await asyncio.sleep(20)
            await system.kill('f1')
            await system.start_front(1, incarnation=2)
            await asyncio.sleep(JOB_RETENTION_S + 5)
            assert not any(
                x.dispatcher.is_cancelled(JOB) for x in system.fronts
            )


class TestAddresses:
    """Guards against a worker that is dropped as another one has moved."""

    async def test_address_taken_over_from_another_worker_stays_in_use(self):
        async with System(worker_count=1).run() as system:
            linked = system.fronts[0].node.connected('worker')
            for name, port in (
                ('moved', LINK_PORT),
                ('w0', LINK_PORT),
                ('moved', LINK_PORT + 9),
            ):
                system.store.put(WORKERS_TOPIC, name, record(port))
                await asyncio.sleep(0.1)
            await asyncio.sleep(2)
            assert system.fronts[0].node.connected('worker') == linked
            assert (await system.submit(JOB))[0] == 200

    async def test_former_address_of_a_worker_is_not_dialed(self):
        async with System(worker_count=1).run() as system:
            front = system.fronts[0]
            system.store.put(WORKERS_TOPIC, 'x', record(LINK_PORT + 8))
            await asyncio.sleep(0.1)
            system.store.put(WORKERS_TOPIC, 'x', record(LINK_PORT + 9))
            await asyncio.sleep(4)
            assert f'127.0.0.1:{LINK_PORT + 8}' not in front.node.dialers
