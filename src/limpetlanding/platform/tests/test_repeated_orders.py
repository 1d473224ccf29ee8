"""Orders whose copies arrive late, after a worker has decided on the run."""

import asyncio

from limpetlanding.platform.tests.faulty_system import FaultySystem
from limpetlanding.platform.tests.rig import body
from limpetlanding.runs.registry import JOB_RETENTION_S, RUN_RETENTION_S
from limpetlanding.standin.platform_checks import overlapping_runs

OK = 200
UNAVAILABLE = 503
# Leaves room for a task that needs next to nothing.
CPU = 31_000
WAIT_MS = 9000
IDLE_S = 5
HELD_UP_S = 0.6
WORK_S = {'other': 0.75, 'tiny': 1, 'short': 0.5, 'job': 2}
JOBS = dict(zip(WORK_S, ('a' * 16, 'b' * 16, 'c' * 16, 'd' * 16), strict=True))


class IdleSystem(FaultySystem):
    """A system whose links have slow heartbeats while they are idle.

    Each executor has its number as its label.
    """

    def new_node(self, *args):
        """Return a node that announces slow heartbeats."""
        node = super().new_node(*args)
        node.hello.slow_heartbeats = True
        return node

    async def start_executor(self, stack, number):
        """Start an executor with its label."""
        await super().start_executor(stack, number)
        executor = self.executors[number]
        executor.labels = (str(number),)
        executor.work_s = lambda task: next(
            WORK_S[kind] for kind in JOBS if task.startswith(JOBS[kind])
        )

    def send(self, kind, front, **changes):
        """Submit a job of one task in the background."""
        step = {'cpu': CPU, 'estimateMs': 1000 * WORK_S[kind], **changes}
        return asyncio.create_task(
            self.submit(JOBS[kind], body(1, **step), WAIT_MS, front)
        )


class TestRefusedRun:
    """Guards against a start that its front has been told does not happen."""

    async def test_order_that_was_refused_is_not_carried_out_by_a_late_copy(
        self,
    ):
        async with IdleSystem(front_count=2).run() as system:
            await asyncio.sleep(IDLE_S)
            # The second worker has no room at first, the first one later.
            calls = [system.send('other', front=1, requirements='1')]
            await asyncio.sleep(0.3)
            (link,) = system.links_between('f0', 'w0')
            link.stall()
            # The front expects heartbeats at short intervals from here on.
            calls.append(system.send('tiny', front=0, requirements='0', cpu=1))
            await asyncio.sleep(0.05)
            calls.append(system.send('short', front=1, requirements='0'))
            await asyncio.sleep(0.08)
            calls.append(system.send('job', front=0))
            await asyncio.sleep(HELD_UP_S - 0.13)
            assert system.workers[0].counts['done'] == 1
            link.resume()
            answers = await asyncio.gather(*calls)
            assert [status for status, _ in answers] == [OK] * len(calls)
            assert not overlapping_runs(system.history())
            runs = [x for x in system.history() if JOBS['job'] in x.task]
            assert [run.run for run in runs] == [2]


class TestRunNumbers:
    """Guards against a new attempt that a worker takes for an earlier one."""

    async def test_job_submitted_again_gets_a_number_that_was_not_refused(self):
        async with IdleSystem(worker_count=1).run() as system:
            supervisor = system.workers[0].supervisor
            has_room = supervisor.refusal_reason
            # The report does not show why the orders are refused.
            supervisor.refusal_reason = lambda need: 'no room' * (need.cpu > 0)
            assert (await system.send('short', front=0))[0] == UNAVAILABLE
            supervisor.refusal_reason = has_room
            assert (await system.send('short', front=0))[0] == OK
            refused = system.fronts[0].dispatcher.counts['orders_refused']
            assert refused > 1
            assert [x.run for x in system.history()] == [refused + 1]

    async def test_job_submitted_again_after_its_front_dropped_it_is_started(
        self,
    ):
        # Its runs are numbered from 1 again.
        async with IdleSystem(worker_count=1).run() as system:
            assert (await system.send('short', front=0))[0] == OK
            await asyncio.sleep(JOB_RETENTION_S + 1)
            assert (await system.send('short', front=0))[0] == OK
            assert len(system.history()) == 2

    def test_worker_forgets_a_number_before_a_front_uses_it_again(self):
        # The order of a job that has ended may still be on its way for 2 s.
        assert RUN_RETENTION_S + 2 < JOB_RETENTION_S
