"""Losses and stops that one process notices late or not at all."""

import asyncio

import pytest

from limpetlanding.platform.tests.faulty_system import (
    FaultySystem,
    link_address,
)
from limpetlanding.platform.tests.rig import body
from limpetlanding.standin.platform_checks import overlapping_runs

JOB = '5c0e7a21d94b36f8'
WAIT_MS = 8000
WORK_S = 3
RESUBMIT_DELAY_S = 1.3
START_S = 0.3


def use_long_runs(system, work_s=WORK_S):
    """Let each run outlive the decisions of its front and worker."""
    for executor in system.executors:
        executor.work_s = lambda _: work_s


def submit(system, **changes):
    """Submit a job of one task in the background."""
    content = body(1, estimateMs=2000)
    return asyncio.create_task(system.submit(JOB, content, WAIT_MS, **changes))


async def started(system):
    """Return the number of the executor that has started the task."""
    await asyncio.sleep(START_S)
    return next(x for x, y in enumerate(system.executors) if y.history)


def times(system):
    """Return start, end and reason of each run."""
    return [
        (run.run, round(run.started, 3), run.ended and round(run.ended, 3))
        for run in system.history()
    ]


def cut_off(system, name):
    """Cut a process off from all others; nobody is told."""
    address = link_address(name)
    system.network.unreachable.add(address)
    connect = system.network.connect

    async def connect_unless_cut(host, port, source='', **options):
        if source == address:
            await asyncio.Event().wait()
        return await connect(host, port, source, **options)

    system.network.connect = connect_unless_cut
    for link in system.network.connections:
        if address in (link.source, link.address):
            link.silence()


class TestSilentFront:
    """Guards against runs that outlive a front lost by silence.

    The worker stops them after 0.75 s, and the lease may last 0.9 s longer; the
    client submits the job again after 1.3 s.
    """

    @pytest.mark.parametrize('wait_s', [0, 0.05, 0.1])
    async def test_stops_are_late_and_the_front_is_silent(self, wait_s):
        async with FaultySystem(front_count=2).run() as system:
            use_long_runs(system)
            job = submit(system)
            number = await started(system)
            await asyncio.sleep(wait_s)
            system.executors[number].faults.late_orders_s = 6
            cut_off(system, 'f0')
            job.cancel()
            await asyncio.sleep(RESUBMIT_DELAY_S)
            system.executors[number].faults.late_orders_s = None
            await submit(system, front=1)
            assert not overlapping_runs(system.history()), times(system)


class TestOneWayLinks:
    """Guards against a link that counts as up at one end only."""

    @pytest.mark.parametrize('heals', [False, True])
    async def test_worker_hears_the_front_but_not_the_reverse(self, heals):
        async with FaultySystem().run() as system:
            use_long_runs(system, 6)
            job = submit(system)
            number = await started(system)
            worker = link_address(f'w{number}')
            network = system.network

            def cut(link):
                if worker == link.source:
                    link.silence(to_client=False)
                elif worker == link.address:
                    link.silence(to_server=False)

            cut_connections = network.connect

            async def connect(host, port, source='', **options):
                streams = await cut_connections(host, port, source, **options)
                if system.is_cut:
                    cut(network.connections[-1])
                return streams

            system.is_cut = True
            network.connect = connect
            for link in network.connections:
                cut(link)
            await asyncio.sleep(2.5)
            system.is_cut = not heals
            await job
            await system.settle(1)
            assert not overlapping_runs(system.history()), times(system)


class TestHiddenStop:
    """Guards against a run that counts as ended while it is being stopped.

    The executor has carried out a stop whose answer is late, and lists the run
    neither as active nor as ended until it has ended.
    """

    @pytest.mark.parametrize('wait_s', [0.06, 0.08, 0.1])
    async def test_answer_to_the_stop_is_late(self, wait_s):
        async with FaultySystem().run() as system:
            use_long_runs(system)
            for executor in system.executors:
                executor.faults.hides_stopping = True
            job = submit(system)
            number = await started(system)
            supervisor = system.workers[number].supervisor
            send = supervisor.port.stop

            async def stop(to, task, run):
                await send(to, task, run)
                await asyncio.sleep(0.2)

            supervisor.port.stop = stop
            (held,) = supervisor.runs.values()
            await asyncio.sleep(wait_s)
            supervisor.stop(held)
            await job
            await system.settle(1)
            assert not overlapping_runs(system.history()), times(system)


class TestLateStart:
    """Guards against a start that is carried out while its stop is late."""

    @pytest.mark.parametrize('late_s', [0.6, 0.87])
    async def test_start_and_stop_are_late(self, late_s):
        async with FaultySystem().run() as system:
            use_long_runs(system, 1)
            number = 0
            system.workers[1].supervisor.stopping = True
            system.executors[number].faults.late_orders_s = late_s
            job = submit(system)
            await asyncio.sleep(START_S)
            system.workers[1].supervisor.stopping = False
            system.workers[1].supervisor.on_change()
            await job
            await system.settle(1)
            assert not overlapping_runs(system.history()), times(system)


class TestLinkReplacedBeforeLoss:
    """Guards against a front that waits for a run that no worker has."""

    @pytest.mark.parametrize('refused_s', [0.36, 0.38, 0.4, 0.42, 0.44])
    async def test_worker_links_again_while_the_front_has_the_old_link(
        self, refused_s
    ):
        async with FaultySystem().run() as system:
            use_long_runs(system, 0.8)
            job = submit(system)
            number = await started(system)
            await system.lose_link(f'w{number}', 'f0', refused_s)
            async with asyncio.timeout(4):
                status, _ = await job
            assert status == 200
