"""Clients and faults of the stateful test of jobs, and the rules it checks."""

import asyncio
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, field
from functools import partial

import aiohttp

from limpetlanding.platform.tests.faulty_system import (
    FaultySystem,
    link_address,
)
from limpetlanding.platform.tests.rig import body
from limpetlanding.scenarios.tests.processes import ProcessLoop
from limpetlanding.standin.platform_checks import overlapping_runs

FRONT_COUNT = 2
WORKER_COUNT = 2
CPU_PER_TASK = 6000
EXECUTOR_CPU = 2 * CPU_PER_TASK
CLIENT_WAIT_S = 15
RESUBMIT_DELAY_S = 1.3
# A request arrives again seconds after a 200; the bound is an assumption.
MAX_REPEAT_DELAY_S = 20
# Bounds of the platform: `contactMs`, `cancel_ms` and `stopGraceMs`.
CONTACT_S = 3
CANCEL_S = 3
STOP_GRACE_S = 0.05


class IdlingSystem(FaultySystem):
    """A system whose idle links have slow heartbeats, like the programs'."""

    def new_node(self, role, name, number, incarnation):
        """Return the node of a front or worker."""
        node = super().new_node(role, name, number, incarnation)
        node.hello.slow_heartbeats = True
        return node


@dataclass(slots=True)
class ClientJob:
    """A job of the clients and what they were told of it."""

    job_id: str
    counts: tuple[int, ...]
    work_s: float
    # Label that the executors must have; empty if any may run the tasks.
    label: str = ''
    fronts: set[int] = field(default_factory=set)
    statuses: list[int | None] = field(default_factory=list)
    # Attempts in progress, and the front at which the next one is made.
    attempts: set[asyncio.Task] = field(default_factory=set)
    next_front: int = 0
    # Time of the first answer 200.
    accepted_at: float | None = None
    # Time of the first acknowledgement of a DELETE.
    cancelled_at: float | None = None
    # Set while the client has no request for the job.
    answered: asyncio.Event = field(default_factory=asyncio.Event)

    def content(self):
        """Return the body of the submission."""
        content = body(
            self.counts[0],
            cpu=CPU_PER_TASK,
            estimateMs=int(self.work_s * 1000),
            requirements=self.label,
        )
        content['pipeline'] = [
            content['pipeline'][0]
            | {'count': count}
            | ({'dependsOn': [step - 1]} if step else {})
            for step, count in enumerate(self.counts)
        ]
        return content

    def tasks(self):
        """Return the names of all tasks."""
        return {
            f'{self.job_id}.0.{step}.{index}'
            for step, count in enumerate(self.counts)
            for index in range(count)
        }


class JobSystem:
    """The system, its clients and the disruptions so far.

    The caller runs the event loop by `wait`; whatever is in progress goes on
    only then.
    """

    def __init__(self):
        self.loop = ProcessLoop()
        asyncio.set_event_loop(self.loop)
        self.stack = AsyncExitStack()
        self.jobs = {}
        self.background = set()
        # Names of the machines, start and end of each disruption.
        self.disruptions = []
        self.busy = set()
        self.incarnations = {f'f{x}': 1 for x in range(FRONT_COUNT)}
        self.incarnations |= {f'w{x}': 1 for x in range(WORKER_COUNT)}
        self.loop.run_until_complete(self._start())

    async def _start(self):
        self.system = IdlingSystem(WORKER_COUNT, FRONT_COUNT)
        await self.stack.enter_async_context(self.system.run())
        for number, executor in enumerate(self.system.executors):
            executor.cpu = EXECUTOR_CPU
            executor.labels = (f'e{number}', 'r1-1')
            executor.work_s = self._work_s
        await self.system.settle()

    def _work_s(self, task):
        job = self.jobs.get(task.partition('.')[0])
        return job.work_s if job else 1

    def wait(self, seconds):
        """Let time pass; report errors of what runs in the background."""
        self.loop.run_until_complete(self._wait(seconds))
        for task in [task for task in self.background if task.done()]:
            self.background.discard(task)
            task.result()

    async def _wait(self, seconds):
        await asyncio.sleep(seconds)
        for executor in self.system.executors:
            executor.end_due_runs()

    def close(self):
        """End everything."""
        self.loop.release_all()
        self.loop.run_until_complete(self._close())
        self.loop.close()

    async def _close(self):
        for task in self.background:
            task.cancel()
        await asyncio.gather(*self.background, return_exceptions=True)
        await self.stack.aclose()

    def spawn(self, work):
        """Run a coroutine in the background."""
        self.background.add(self.loop.create_task(work))

    def disrupt(self, names, seconds, action, undo=None):
        """Do something that disrupts machines, and undo it later."""
        begin = self.loop.time()
        self.disruptions.append((set(names), begin, begin + seconds))

        async def run():
            action()
            await asyncio.sleep(seconds)
            if undo is not None:
                undo()

        self.spawn(run())

    def submit(self, counts, work_s, front, label=''):
        """Submit a new job; the client sends it again as the page says."""
        job = ClientJob(f'{len(self.jobs):016x}', counts, work_s, label)
        self.jobs[job.job_id] = job
        self.spawn(self._send(job, front))
        return job

    async def _send(self, job, front):
        end = self.loop.time() + CLIENT_WAIT_S
        while (left_s := end - self.loop.time()) > 0.1:
            job.next_front = (front + 1) % FRONT_COUNT
            status = await self._attempt(job, front, left_s)
            job.statuses.append(status)
            if status == 200 and job.accepted_at is None:
                job.accepted_at = self.loop.time()
            if status not in {None, 502, 504}:
                break
            await asyncio.sleep(RESUBMIT_DELAY_S)
            front = job.next_front
        job.answered.set()

    async def _attempt(self, job, front, wait_s):
        job.fronts.add(front)
        wait_ms = int(wait_s * 1000)
        attempt = asyncio.create_task(
            self.system.submit(job.job_id, job.content(), wait_ms, front)
        )
        job.attempts.add(attempt)
        try:
            await asyncio.wait([attempt], timeout=wait_s)
        finally:
            # Closes the connection.
            attempt.cancel()
            job.attempts.discard(attempt)
        with suppress(aiohttp.ClientError, OSError, asyncio.CancelledError):
            return (await attempt)[0]
        return None

    def repeat(self, job, front, delay_s):
        """Send a job again some time after it was answered with 200."""

        async def repeat():
            await job.answered.wait()
            await asyncio.sleep(delay_s)
            # A client has one request for a job at a time.
            if job.answered.is_set() and self._is_recent(job):
                job.answered.clear()
                await self._send(job, front)

        self.spawn(repeat())

    def _is_recent(self, job):
        accepted_at = job.accepted_at
        if accepted_at is None or job.statuses[-1] != 200:
            return False
        return self.loop.time() < accepted_at + MAX_REPEAT_DELAY_S

    def cancel(self, job, front):
        """Send the DELETE of a job."""

        async def cancel():
            with suppress(aiohttp.ClientError, OSError):
                async with asyncio.timeout(CLIENT_WAIT_S):
                    status, _, _ = await self.system.call(
                        'DELETE', f'/quote/{job.job_id}', front=front
                    )
                if status in {200, 410} and job.cancelled_at is None:
                    job.cancelled_at = self.loop.time()

        self.spawn(cancel())

    def links(self, name, peer):
        """Return the open links between two processes."""
        return [
            link
            for link in self.system.links_between(name, peer)
            if not all(task.done() for task in link.tasks)
        ]

    def hold(self, ends, link, seconds, ways=(True, True)):
        """Hold up what a link carries, in one direction or both."""
        self.disrupt(ends, seconds, partial(link.stall, *ways), link.resume)

    def cut(self, name, peer, seconds):
        """Hold up everything between two processes, also new connections."""
        ends = link_address(name), link_address(peer)
        links = self.links(name, peer)

        def begin():
            self.system.network.unreachable |= {ends, ends[::-1]}
            for link in links:
                link.stall()

        def end():
            self.system.network.unreachable -= {ends, ends[::-1]}
            for link in links:
                link.resume()

        self.disrupt((name, peer), seconds, begin, end)

    def pause(self, name, seconds):
        """Suspend a process."""
        self.busy.add(name)

        def resume():
            self.busy.discard(name)
            self.loop.resume(name)

        self.disrupt((name,), seconds, partial(self.loop.pause, name), resume)

    def restart_executor(self, number, is_same):
        """Crash an executor and start it at once, maybe under a new id."""
        executor = self.system.executors[number]

        def restart():
            executor.end_due_runs()
            new_id = '' if is_same else f'i-{number}-{executor.born_ms}'
            self.system.restart_at_once(number, new_id)

        self.disrupt({f'w{number}'}, 0, restart)

    def restart(self, name, down_s):
        """Kill a process and start it again."""
        self.busy.add(name)
        begin = self.loop.time()
        self.disruptions.append(({name}, begin, begin + down_s))

        async def restart():
            await self.system.kill(name)
            await asyncio.sleep(down_s)
            self.incarnations[name] += 1
            start = {
                'f': self.system.start_front,
                'w': self.system.start_worker,
            }[name[0]]
            await start(int(name[1:]), self.incarnations[name])
            self.busy.discard(name)

        self.spawn(restart())


def broken_rules(jobs):
    """Return what breaks TWICE, UNASKED or REFUSED, as texts.

    Parameters
    ----------
    jobs : JobSystem
        The system after some steps.
    """
    broken = [
        f'TWICE: {pair}' for pair in overlapping_runs(jobs.system.history())
    ]
    for number, executor in enumerate(jobs.system.executors):
        broken += [
            text
            for run in executor.history
            if (text := _broken_by(jobs, run, f'w{number}'))
        ]
    return broken


def _broken_by(jobs, run, worker):
    job = jobs.jobs.get(run.task.partition('.')[0])
    if job is None or run.task not in job.tasks():
        return f'UNASKED: {run} was not sent'
    is_rejected = job.statuses and {429, 503}.issuperset(job.statuses)
    if is_rejected and not job.attempts:
        return f'REFUSED: {run}'
    if job.cancelled_at is None:
        return ''
    is_late = not _is_calm(jobs, {f'late {worker}'}, run.started, 0)
    bound = job.cancelled_at + CANCEL_S
    machines = {worker} | {f'f{x}' for x in job.fronts}
    is_in_touch = _is_calm(jobs, machines, run.started, CONTACT_S)
    if run.started > bound and is_in_touch and not is_late:
        return f'UNASKED: {run}, cancelled at {job.cancelled_at}'
    if is_late:
        bound = max(bound, run.started + CONTACT_S)
    bound += STOP_GRACE_S
    end = jobs.loop.time() if run.ended is None else run.ended
    if end > bound and _is_calm(jobs, None, end, CONTACT_S + end - bound):
        return f'UNASKED: {run} runs on, cancelled at {job.cancelled_at}'
    return ''


def _is_calm(jobs, names, at, span_s):
    """Tell whether nothing disrupted the machines until a time.

    All machines are meant if `names` is None.
    """
    return not any(
        begin <= at and end >= at - span_s
        for disrupted, begin, end in jobs.disruptions
        if names is None or names & disrupted
    )
