import asyncio

import pytest

from limpetlanding.agent.options import ExecutorOptions
from limpetlanding.agent.seen_tasks import SeenTasks
from limpetlanding.agent.tests.fakes import (
    CUSTOMER,
    new_id,
    submission,
)
from limpetlanding.errors import PeerLost
from limpetlanding.wire.job_messages import (
    CancelJob,
    MoveTasks,
    QueryJob,
    RevokeTasks,
    RunTasks,
    TaskReport,
    TaskSpec,
)


def run_tasks(core, job_id='j', count=1, payload=b'{}', **fields):
    specs = [TaskSpec(i, 'quote', payload, 100, 200) for i in range(count)]
    defaults = {'deadline_ms': 10_000}
    return RunTasks(
        job_id, core.incarnation, CUSTOMER, specs, **{**defaults, **fields}
    )


def ignore(message):
    pass


class TestIdempotence:
    async def test_repeated_run_starts_nothing_again(self, net):
        # Guards against a double start when a link drops before the reply.
        core = net.add_agent('a')
        await net.add_endpoint(core, 9001)
        message = run_tasks(core, count=2)
        replies = await asyncio.gather(
            core.executor.run(message, ignore),
            core.executor.run(message, ignore),
        )
        again = await core.executor.run(message, ignore)
        assert replies[0] == replies[1] == again
        assert [x.state for x in again.reports] == ['done', 'done']
        assert sum(net.starts.values()) == 2

    async def test_message_for_another_incarnation_is_refused(self, net):
        # Guards against a RunTasks of an old link after a restart.
        old = net.add_agent('a')
        message = run_tasks(old)
        new = net.add_agent('a')
        await net.add_endpoint(new, 9001)
        with pytest.raises(PeerLost):
            await new.executor.run(message, ignore)
        assert not net.starts

    async def test_revocation_before_its_run_is_effective(self, net):
        # Guards against a start after the task was placed at another agent.
        core = net.add_agent('a')
        await net.add_endpoint(core, 9001)
        revoke = RevokeTasks('j', core.incarnation, [0])
        assert core.executor.revoke(revoke).indices == [0]
        reply = await core.executor.run(run_tasks(core), ignore)
        assert [x.state for x in reply.reports] == ['not_started']
        assert not net.starts

    async def test_started_task_is_not_revoked(self, net):
        core = net.add_agent('a')
        await net.add_endpoint(core, 9001)
        run = asyncio.create_task(core.executor.run(run_tasks(core), ignore))
        await asyncio.sleep(0.01)
        revoke = RevokeTasks('j', core.incarnation, [0])
        assert core.executor.revoke(revoke).indices == []
        assert (await run).reports[0].state == 'done'


class TestLostMessages:
    async def test_lost_reply_is_sent_again(self, net):
        # Guards against losing the answer of a job with a link.
        core, other = net.add_agent('a'), net.add_agent('b')
        await net.add_endpoint(other, 9002)
        net.faults.append(('b', RunTasks, 'lose_reply'))
        answer = await core.handle(None, submission(new_id(core), [other]))
        assert answer.outcome == 'complete'

    async def test_executor_restart_before_the_repeat(self, net):
        # Guards against a second start at a new incarnation, which has no
        # record of the first one.
        core, other = net.add_agent('a'), net.add_agent('b')
        await net.add_endpoint(other, 9002)
        net.faults.append(('b', RunTasks, 'lose_reply'))
        job = asyncio.create_task(
            core.handle(None, submission(new_id(core), [other]))
        )
        await asyncio.sleep(1)
        restarted = net.add_agent('b')
        restarted.endpoints.announce(net.endpoints[0].announcement())
        answer = await job
        assert answer.outcome == 'may_have_run'
        assert answer.reason == 'agent_lost'

    async def test_late_run_after_a_cancellation_does_not_start(self, net):
        # Guards against a RunTasks that an old link delivers late.
        core, other = net.add_agent('a'), net.add_agent('b')
        await net.add_endpoint(other, 9002)
        net.faults.append(('b', RunTasks, 'late'))
        job_id = new_id(core)
        job = asyncio.create_task(
            core.handle(None, submission(job_id, [other]))
        )
        await asyncio.sleep(0.1)
        await core.handle(None, CancelJob(job_id, CUSTOMER))
        assert (await job).outcome == 'not_run'
        await asyncio.sleep(5)
        assert not net.starts

    async def test_agent_that_cannot_be_reached_is_replaced(self, net):
        # Guards against failing a job before anything was sent.
        core, other = net.add_agent('a'), net.add_agent('b')
        await net.add_endpoint(core, 9001)
        message = submission(new_id(core), [other])
        net.add_agent('b')
        net.placement_nodes = ['a']
        answer = await core.handle(None, message)
        assert answer.outcome == 'complete'
        assert answer.results[0].agent == 'a'

    async def test_silent_agent_may_have_run(self, net):
        # Guards against answering not_run because of missing replies.
        core, other = net.add_agent('a'), net.add_agent('b')
        net.faults.extend([('b', RunTasks, 'drop')] * 3)
        net.faults.append(('b', RevokeTasks, 'drop'))
        net.suspects.add('b')
        message = submission(new_id(core), [other], deadline_ms=1000)
        answer = await core.handle(None, message)
        assert (answer.outcome, answer.reason) == ('may_have_run', 'deadline')

    async def test_task_is_awaited_beyond_the_deadline(self, net):
        # Guards against an unknown outcome while the executor is alive and
        # the task still runs.
        core, other = net.add_agent('a'), net.add_agent('b')
        await net.add_endpoint(other, 9001)
        job_id = new_id(core)
        message = submission(
            job_id, [other], [b'{"run_s":5}'], deadline_ms=1000, wait_ms=1500
        )
        assert (await core.handle(None, message)).outcome == ''
        later = await core.handle(None, QueryJob(job_id, CUSTOMER, 10_000))
        assert later.outcome == 'complete'


class TestMove:
    async def test_queued_task_moves_and_started_one_stays(self, net):
        # Guards against a move without the executor's confirmation.
        first, second = net.add_agent('a'), net.add_agent('b')
        await net.add_endpoint(first, 9001, slots=1)
        await net.add_endpoint(second, 9002)
        job_id = new_id(first)
        message = submission(job_id, [first], [b'{"run_s":2}', b'{"run_s":2}'])
        job = asyncio.create_task(first.handle(None, message))
        await asyncio.sleep(0.1)
        places = [net.placement(0, second), net.placement(1, second)]
        await first.handle(None, MoveTasks(job_id, places))
        answer = await job
        assert answer.outcome == 'complete'
        assert [x.agent for x in answer.results] == ['a', 'b']

    async def test_move_whose_revocation_is_lost(self, net):
        # Guards against moving a task whose revocation was not confirmed.
        first, second = net.add_agent('a'), net.add_agent('b')
        await net.add_endpoint(first, 9001)
        await net.add_endpoint(second, 9002, slots=1)
        job_id = new_id(first)
        payloads = [b'{"run_s":2}', b'{"run_s":2}']
        job = asyncio.create_task(
            first.handle(None, submission(job_id, [second], payloads))
        )
        await asyncio.sleep(0.1)
        net.placement_nodes = ['a']
        net.faults.append(('b', RevokeTasks, 'late'))
        move = MoveTasks(job_id, [net.placement(1, first)])
        await first.handle(None, move)
        answer = await job
        assert answer.outcome == 'complete'


class TestSeenTasks:
    def test_seen_task_is_kept_during_a_pause(self):
        # Guards against a double start when an agent resumes after a pause
        # and reads a repeated RunTasks from its socket buffers.
        seen_tasks = SeenTasks(ExecutorOptions())
        seen_tasks.tick(0)
        seen_tasks.mark_seen(('j', 0))
        seen_tasks.end(('j', 0), TaskReport(0, 'done'))
        seen_tasks.tick(10_000)
        assert not seen_tasks.mark_seen(('j', 0))

    def test_seen_task_is_dropped_when_no_repeat_can_arrive(self):
        seen_tasks = SeenTasks(ExecutorOptions())
        seen_tasks.mark_seen(('j', 0))
        seen_tasks.end(('j', 0), TaskReport(0, 'done'))
        for second in range(722):
            seen_tasks.tick(second)
        assert not seen_tasks.by_key

    async def test_dropped_result_is_unknown_and_not_run_again(self, net):
        # Guards the limit on memory, and against a second start.
        core = net.add_agent('a')
        core.executor.options.max_result_bytes = 0
        await net.add_endpoint(core, 9001)
        for _ in range(2):
            reply = await core.executor.run(run_tasks(core), ignore)
            assert reply.reports[0].state == 'unknown'
        assert sum(net.starts.values()) == 1
