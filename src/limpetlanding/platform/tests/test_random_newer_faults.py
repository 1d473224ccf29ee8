"""Random faults of links, paths, clocks and announcements during many jobs.

Guards against the same failures as `test_random_faults.py`. Faults come in
series and overlap. Each seed draws the kinds of its faults, so that few kinds
meet often instead of all kinds rarely.
"""

import asyncio
import os
from contextlib import suppress
from random import Random
from types import SimpleNamespace

import aiohttp
import orjson
import pytest
from loguru import logger

from limpetlanding.platform.tests.faulty_system import (
    FaultySystem,
    link_address,
)
from limpetlanding.platform.tests.rig import body
from limpetlanding.runs import supervisor
from limpetlanding.scenarios.tests.processes import ProcessLoop
from limpetlanding.standin.platform_checks import (
    deadly_starts,
    failed_without_cause,
    overlapping_runs,
    starts_beyond_capacity,
)

JOB_COUNT = 50
WORKER_COUNT = 3
FRONT_COUNT = 2
TRAFFIC_S = 14
CLIENT_WAIT_S = 9
RESUBMIT_DELAY_S = 1.3
CPU_PER_TASK = 6000
SLOW_SHARES = (0.2, 0.6)
CUT_CLIENT_SHARE = 0.15
SERIES_COUNT = 3
FAULTS_PER_SERIES = 7
KINDS_PER_SEED = 5
TIME_OF_DAY_S = 1_000
KINDS = (
    'reset_link',
    'lose_link',
    'refuse_links',
    'cut_links',
    'silence_links',
    'harm_path',
    'delay_orders',
    'restart_executor',
    'delay_heartbeat',
    'leave',
    'step_time',
    'restart_worker',
    'pause_process',
)
SEEDS = range(int(os.environ.get('RANDOM_SEEDS', '4')))


def work_s(task, slow_share):
    """Return the duration of a task in seconds."""
    rng = Random(task)
    if is_slow(task, slow_share):
        return rng.uniform(1.5, 4)
    return rng.uniform(0.05, 1.2)


def is_slow(task, slow_share):
    """Tell whether the tasks of a job are slow."""
    return Random(task.partition('.')[0]).random() < slow_share


class TimeOfDay:
    """Time of day, which may be stepped."""

    def __init__(self):
        self.loop = asyncio.get_running_loop()
        self.offset_s = TIME_OF_DAY_S

    def time(self):
        """Return the seconds since 1970."""
        return self.loop.time() + self.offset_s


class Clients:
    """Clients of one random run, and what they were told.

    Parameters
    ----------
    system : FaultySystem
        The system.
    seed : int
        Seed of all random choices.
    slow_share : float
        Share of jobs whose tasks are slow.
    """

    def __init__(self, system, seed, slow_share):
        self.system = system
        self.seed = seed
        self.slow_share = slow_share
        self.loop = asyncio.get_running_loop()
        self.refused = set()
        self.failed = set()
        self.answers = {}

    async def submit(self, number):
        """Submit a job; resubmit it after a broken connection, 502 or 504."""
        rng = Random(f'client {self.seed} {number}')
        await asyncio.sleep(rng.uniform(0, TRAFFIC_S))
        job_id = f'{number:016x}'
        is_long = is_slow(job_id, self.slow_share)
        estimate_ms = 2500 if is_long else 500
        content = body(
            rng.randint(1, 2 if is_long else 4),
            cpu=CPU_PER_TASK,
            estimateMs=estimate_ms,
        )
        end = self.loop.time() + CLIENT_WAIT_S
        front = rng.randrange(FRONT_COUNT)
        statuses = []
        while (left := end - self.loop.time()) > 0.1:
            cut_s = rng.uniform(0, 1.5)
            if rng.random() > CUT_CLIENT_SHARE:
                cut_s += left
            status, answer = await self._attempt(
                job_id, content, left, front, cut_s
            )
            if status == 200 and answer['state'] == 'failed':
                self.failed.add(job_id)
            statuses.append(status)
            if status not in {None, 502, 504}:
                break
            front = (front + 1) % FRONT_COUNT
            await asyncio.sleep(RESUBMIT_DELAY_S)
        self.answers[job_id] = statuses
        if all(status in {429, 503} for status in statuses):
            self.refused.add(job_id)

    async def _attempt(self, job_id, content, left_s, front, cut_s):
        try:
            async with asyncio.timeout(cut_s):
                return await self.system.submit(
                    job_id, content, int(left_s * 1000), front
                )
        except (aiohttp.ClientError, OSError):
            # Includes the time-out, which closes the connection.
            return None, {}


class Faults:
    """One series of random faults.

    Parameters
    ----------
    system : FaultySystem
        The system.
    time_of_day : TimeOfDay
        Time of day of all machines.
    busy : set of str
        Names of the processes, executors and paths that a series uses.
    incarnations : dict
        Incarnation of each process by its name.
    kinds : list of str
        Names of the methods that inject faults.
    rng : random.Random
        Generator of all random choices.
    """

    def __init__(self, system, time_of_day, busy, incarnations, kinds, rng):
        self.system = system
        self.time_of_day = time_of_day
        self.busy = busy
        self.incarnations = incarnations
        self.kinds = kinds
        self.rng = rng

    async def inject(self):
        """Inject faults one after another."""
        for _ in range(FAULTS_PER_SERIES):
            await asyncio.sleep(self.rng.uniform(0, 1.5))
            action = getattr(self, self.rng.choice(self.kinds))
            logger.info('fault: {}', action.__name__)
            with suppress(aiohttp.ClientError, OSError):
                await action()

    async def reset_link(self):
        for link in self.system.links_between(*self._ends()):
            link.reset()

    async def lose_link(self):
        refused_s = self.rng.choice(
            (self.rng.uniform(0.3, 0.6), self.rng.uniform(0, 3))
        )
        await self.system.lose_link(*self._ends(), refused_s)

    async def refuse_links(self):
        name, peer = self._ends()
        path = link_address(name), link_address(peer)
        self.system.network.refused.add(path)
        if self.rng.random() < 0.5:
            await self.reset_link()
        await asyncio.sleep(self.rng.uniform(0.2, 3))
        self.system.network.refused.discard(path)

    async def cut_links(self):
        """Hold up what one process sends to another, or to all others."""
        name, peer = self._ends()
        is_alone = self.rng.random() < 0.3
        peers = self.incarnations.keys() - {name} if is_alone else {peer}
        is_one_way = self.rng.random() < 0.6
        source = link_address(name)
        paths = {(source, link_address(x)) for x in peers}
        paths |= {path[::-1] for path in paths}
        links = [
            link
            for x in sorted(peers)
            for link in self.system.links_between(name, x)
        ]
        self.system.network.unreachable |= paths
        for link in links:
            is_sender = link.source == source
            link.stall(
                to_server=is_sender or not is_one_way,
                to_client=not is_sender or not is_one_way,
            )
        await asyncio.sleep(self.rng.uniform(0.2, 4))
        self.system.network.unreachable -= paths
        for link in links:
            link.resume()

    async def silence_links(self):
        for link in self.system.links_between(*self._ends()):
            link.silence(
                to_server=self.rng.random() < 0.7,
                to_client=self.rng.random() < 0.7,
            )

    async def harm_path(self):
        number = self._claim('path')
        if number is None:
            return
        path = self.system.paths[number]
        kind = self.rng.choice(('refuse', 'reset', 'both', 'silence'))
        if kind in {'refuse', 'both'}:
            path.refuse()
        if kind in {'reset', 'both'}:
            path.reset()
        if kind == 'silence':
            path.silence()
        await asyncio.sleep(self.rng.uniform(0.03, 2))
        if kind in {'refuse', 'both'}:
            await path.open()
        self.busy.discard(f'path{number}')

    async def delay_orders(self):
        executor = self.rng.choice(self.system.executors)
        executor.faults.late_orders_s = self.rng.uniform(0.3, 6)
        await asyncio.sleep(self.rng.uniform(0.1, 2))
        executor.faults.late_orders_s = None

    async def restart_executor(self):
        number = self.rng.randrange(WORKER_COUNT)
        self._restart(number)
        if self.rng.random() < 0.5:
            await self.system.announce(
                number, self.system.executors[number].announcement()
            )
            return
        self.system.unheard.add(number)
        await asyncio.sleep(self.rng.uniform(0.2, 4))
        self.system.unheard.discard(number)

    async def delay_heartbeat(self):
        number = self.rng.randrange(WORKER_COUNT)
        executor = self.system.executors[number]
        executor_id = executor.executor_id
        content = orjson.dumps(executor.announcement())
        await asyncio.sleep(self.rng.uniform(0.5, 6))
        await self.system.announce_as(number, executor_id, content)

    async def leave(self):
        """End an executor as planned; its farewell may be late."""
        number = self._claim('leaving')
        if number is None:
            return
        executor = self.system.executors[number]
        life, executor_id = executor.started_at, executor.executor_id
        executor.draining = True
        await self.system.announce(number, executor.announcement())
        await asyncio.sleep(self.rng.uniform(0.5, 3))
        is_late = self.rng.random() < 0.5
        if is_late:
            # Without an answer it ends some seconds later.
            await asyncio.sleep(self.rng.uniform(1, 3))
        else:
            with suppress(aiohttp.ClientError, OSError):
                await self.system.leave(number, executor_id)
        if executor.started_at == life:
            self._restart(number)
        if is_late:
            await asyncio.sleep(self.rng.uniform(0, 3))
            with suppress(aiohttp.ClientError, OSError):
                await self.system.leave(number, executor_id)
        self.busy.discard(f'leaving{number}')

    async def step_time(self):
        self.time_of_day.offset_s += self.rng.uniform(-8, 8)

    async def restart_worker(self):
        number = self._claim('w')
        if number is None:
            return
        name = f'w{number}'
        await self.system.kill(name)
        await asyncio.sleep(self.rng.uniform(0.1, 2))
        if self.rng.random() < 0.5:
            await self.step_time()
        self.incarnations[name] += 1
        await self.system.start_worker(number, self.incarnations[name])
        self.busy.discard(name)

    async def pause_process(self):
        name = self.rng.choice(list(self.incarnations))
        if name in self.busy:
            return
        self.busy.add(name)
        loop = asyncio.get_running_loop()
        loop.pause(name)
        await asyncio.sleep(self.rng.uniform(0.3, 3))
        loop.resume(name)
        self.busy.discard(name)

    def _ends(self):
        """Return a front and a worker in random order."""
        ends = [
            f'f{self.rng.randrange(FRONT_COUNT)}',
            f'w{self.rng.randrange(WORKER_COUNT)}',
        ]
        self.rng.shuffle(ends)
        return ends

    def _claim(self, kind):
        """Return the number of a machine that no series uses so, or None."""
        number = self.rng.randrange(WORKER_COUNT)
        if f'{kind}{number}' in self.busy:
            return None
        self.busy.add(f'{kind}{number}')
        return number

    def _restart(self, number):
        """Restart an executor, mostly under the id that it had."""
        executor = self.system.executors[number]
        executor.draining = False
        born_ms = int(self.time_of_day.time() * 1000)
        is_same = self.rng.random() < 0.7
        executor_id = executor.executor_id if is_same else f'i-{born_ms}'
        self.system.restart_at_once(number, executor_id, born_ms)


async def play(seed, monkeypatch):
    """Play the jobs and faults of a seed; return the system and its clients."""
    time_of_day = TimeOfDay()
    monkeypatch.setattr(
        supervisor, 'time', SimpleNamespace(time=time_of_day.time)
    )
    rng = Random(f'faults {seed}')
    kinds = rng.sample(KINDS, KINDS_PER_SEED)
    slow_share = rng.choice(SLOW_SHARES)
    async with FaultySystem(WORKER_COUNT, FRONT_COUNT).run() as system:
        for number, executor in enumerate(system.executors):
            executor.clock_rate = rng.uniform(0.98, 1)
            executor.work_s = lambda task: work_s(task, slow_share)
            born_ms = int(time_of_day.time() * 1000)
            system.restart_at_once(number, born_ms=born_ms)
        await system.settle(4)
        clients = Clients(system, seed, slow_share)
        names = [f'w{x}' for x in range(WORKER_COUNT)]
        names += [f'f{x}' for x in range(FRONT_COUNT)]
        incarnations = dict.fromkeys(names, 1)
        busy = set()
        series = [
            Faults(
                system,
                time_of_day,
                busy,
                incarnations,
                kinds,
                Random(rng.random()),
            )
            for _ in range(SERIES_COUNT)
        ]
        async with asyncio.TaskGroup() as group:
            for faults in series:
                group.create_task(faults.inject())
            for number in range(JOB_COUNT):
                group.create_task(clients.submit(number))
        await system.settle(4)
        for executor in system.executors:
            executor.end_due_runs()
    return system, clients


@pytest.mark.parametrize('seed', SEEDS)
def test_guarantees_hold_under_newer_random_faults(seed, monkeypatch):
    loop = ProcessLoop()
    asyncio.set_event_loop(loop)
    try:
        system, clients = loop.run_until_complete(play(seed, monkeypatch))
    finally:
        loop.close()
    history = system.history()
    assert not overlapping_runs(history)
    assert not deadly_starts(history)
    assert not failed_without_cause(clients.failed, history)
    for executor in system.executors:
        assert not starts_beyond_capacity(executor, CPU_PER_TASK)
        assert not executor.runs
    started = {run.task.partition('.')[0] for run in history}
    assert not started & clients.refused
    completed = [
        statuses for statuses in clients.answers.values() if statuses[-1] == 200
    ]
    assert len(completed) >= JOB_COUNT / 2
