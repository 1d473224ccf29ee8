import asyncio

import pytest

from limpetlanding.agent.records import RecordLimits
from limpetlanding.agent.tests.fakes import CUSTOMER, new_id, submission
from limpetlanding.jobs import mint_job_id, payloads_digest
from limpetlanding.wire.job_messages import (
    CancelJob,
    QueryJob,
    RefuseJob,
    RunTasks,
)


def refusal(job_id):
    return RefuseJob(job_id, CUSTOMER, 'overload', 200)


class TestSubmit:
    async def test_job_on_two_agents_is_complete(self, net):
        # One task runs at the coordinator's own executor, one at another.
        first = net.add_agent('a')
        second = net.add_agent('b')
        await net.add_endpoint(first, 9001)
        await net.add_endpoint(second, 9002)
        payloads = [b'{"n":1}', b'{"n":2}']
        message = submission(new_id(first), [first, second], payloads)
        answer = await first.handle(None, message)
        assert (answer.outcome, answer.task_count) == ('complete', 2)
        assert [x.payload for x in answer.results] == payloads
        assert [x.agent for x in answer.results] == ['a', 'b']
        assert answer.digest == payloads_digest(payloads)
        assert len(net.starts) == 2

    async def test_repeated_submission_gets_the_same_answer(self, net):
        # Guards against a second start when a caller resubmits.
        core = net.add_agent('a')
        await net.add_endpoint(core, 9001)
        message = submission(new_id(core), [core])
        answers = await asyncio.gather(
            core.handle(None, message), core.handle(None, message)
        )
        later = await core.handle(None, message)
        assert answers[0] == answers[1] == later
        assert later.outcome == 'complete'
        assert sum(net.starts.values()) == 1

    async def test_two_placements_of_one_task_start_it_once(self, net):
        # Guards against a second start by a faulty entry.
        cores = [net.add_agent('a'), net.add_agent('b')]
        for port, core in enumerate(cores, 9001):
            await net.add_endpoint(core, port)
        message = submission(new_id(cores[0]), cores)
        message.placements = [net.placement(0, core) for core in cores]
        answer = await cores[0].handle(None, message)
        assert answer.outcome == 'complete'
        assert sum(net.starts.values()) == 1

    async def test_two_later_placements_of_one_task_start_it_once(self, net):
        core = net.add_agent('a')
        for port, node in enumerate('bc', 9001):
            await net.add_endpoint(net.add_agent(node), port)
        net.placement_nodes = ['b', 'c']
        net.place_all = True
        answer = await core.handle(None, submission(new_id(core), [core]))
        assert answer.outcome == 'complete'
        assert sum(net.starts.values()) == 1

    async def test_other_body_under_the_same_id_is_a_conflict(self, net):
        # Guards against returning the answer of a different request.
        core = net.add_agent('a')
        await net.add_endpoint(core, 9001)
        job_id = new_id(core)
        await core.handle(None, submission(job_id, [core]))
        other = submission(job_id, [core], body_digest='d2')
        answer = await core.handle(None, other)
        assert (answer.outcome, answer.reason) == ('', 'conflict')

    async def test_submission_without_wait_answers_at_once(self, net):
        core = net.add_agent('a')
        await net.add_endpoint(core, 9001)
        job_id = new_id(core)
        first = await core.handle(None, submission(job_id, [core], wait_ms=0))
        assert (first.outcome, first.task_count) == ('', 1)
        query = QueryJob(job_id, CUSTOMER, wait_ms=5000)
        answer = await core.handle(None, query)
        assert answer.outcome == 'complete'

    async def test_id_of_another_customer_is_not_accepted(self, net):
        # Guards against reading or cancelling a job of another customer.
        core = net.add_agent('a')
        await net.add_endpoint(core, 9001)
        job_id = new_id(core)
        await core.handle(None, submission(job_id, [core]))
        answer = await core.handle(None, QueryJob(job_id, 'other'))
        assert (answer.outcome, answer.reason) == ('', 'unauthorized')

    async def test_id_that_was_never_issued_is_malformed(self, net):
        core = net.add_agent('a')
        forged = mint_job_id(core.incarnation, 99, CUSTOMER, core.secret)
        answer = await core.handle(None, submission(str(forged), [core]))
        assert (answer.outcome, answer.reason) == ('', 'malformed')

    async def test_id_of_an_unknown_incarnation_may_have_run(self, net):
        # Guards against a second start by an agent without the records.
        core = net.add_agent('a')
        lost = mint_job_id('f' * 16, 1, CUSTOMER, core.secret)
        answer = await core.handle(None, submission(str(lost), [core]))
        assert answer.outcome == 'may_have_run'
        assert answer.reason == 'coordinator_lost'


class TestRefuse:
    async def test_refusal_stays_for_later_submissions(self, net):
        # Guards against running a job that was answered not_run.
        core = net.add_agent('a')
        await net.add_endpoint(core, 9001)
        job_id = new_id(core)
        refused = await core.handle(None, refusal(job_id))
        answer = await core.handle(None, submission(job_id, [core]))
        assert refused == answer
        assert (answer.outcome, answer.reason) == ('not_run', 'overload')
        assert not net.starts

    async def test_refusal_of_a_running_job_returns_the_job(self, net):
        # Guards against a false not_run when another entry refuses.
        core = net.add_agent('a')
        await net.add_endpoint(core, 9001)
        job_id = new_id(core)
        running = asyncio.create_task(
            core.handle(None, submission(job_id, [core]))
        )
        await asyncio.sleep(0.05)
        assert (await core.handle(None, refusal(job_id))).outcome == ''
        assert (await running).outcome == 'complete'
        later = await core.handle(None, refusal(job_id))
        assert later.outcome == 'complete'


class TestExpiry:
    async def test_used_id_expires_and_unused_id_stays_usable(self, net):
        # Guards against treating an id as new once its record is dropped.
        core = net.add_agent('a')
        await net.add_endpoint(core, 9001)
        unused, used = new_id(core), new_id(core)
        await core.handle(None, submission(used, [core]))
        await asyncio.sleep(121)
        answer = await core.handle(None, submission(used, [core]))
        assert (answer.outcome, answer.reason) == ('may_have_run', 'expired')
        query = await core.handle(None, QueryJob(used, CUSTOMER))
        assert query.reason == 'expired'
        answer = await core.handle(None, submission(unused, [core]))
        assert answer.outcome == 'complete'

    @pytest.mark.parametrize(
        'limits',
        [RecordLimits(max_records=1), RecordLimits(max_bytes=500)],
    )
    async def test_bounds_drop_the_oldest_record(self, net, limits):
        # Guards the memory of the agent under many short jobs.
        core = net.add_agent('a')
        core.coordinator.options.limits = limits
        await net.add_endpoint(core, 9001)
        ids = [new_id(core), new_id(core)]
        for job_id in ids:
            await core.handle(None, submission(job_id, [core]))
        core.coordinator.sweep()
        answers = [
            await core.handle(None, submission(job_id, [core]))
            for job_id in ids
        ]
        assert [x.outcome for x in answers] == ['may_have_run', 'complete']


class TestCancel:
    async def test_cancelled_unused_id_is_never_run(self, net):
        # Guards against a start when the cancellation arrives first.
        core = net.add_agent('a')
        await net.add_endpoint(core, 9001)
        job_id = new_id(core)
        cancelled = await core.handle(None, CancelJob(job_id, CUSTOMER))
        assert (cancelled.outcome, cancelled.reason) == ('not_run', 'cancelled')
        answer = await core.handle(None, submission(job_id, [core]))
        assert answer == cancelled

    async def test_many_cancellations_stop_only_queued_tasks(self, net):
        # Guards against leaked queue items and slots.
        cores = [net.add_agent('a'), net.add_agent('b')]
        for port, core in enumerate(cores, 9001):
            await net.add_endpoint(core, port, slots=2)
        ids = [new_id(cores[0]) for _ in range(40)]
        jobs = [
            asyncio.create_task(
                cores[0].handle(None, submission(job_id, cores, [b'{}', b'{}']))
            )
            for job_id in ids
        ]
        await asyncio.sleep(0.05)
        cancels = [CancelJob(job_id, CUSTOMER) for job_id in ids]
        await asyncio.gather(*[cores[0].handle(None, x) for x in cancels * 2])
        answers = await asyncio.gather(*jobs)
        by_starts = {0: 'not_run', 1: 'failed', 2: 'complete'}
        for answer in answers:
            starts = sum(net.starts[f'{answer.job_id}/{i}'] for i in (0, 1))
            assert answer.outcome == by_starts[starts]
        assert sum(net.starts.values()) == 4
        assert all(core.executor.idle for core in cores)
        assert not any(len(core.executor.queue) for core in cores)

    async def test_cancel_of_a_partly_started_job_fails_it(self, net):
        core = net.add_agent('a')
        await net.add_endpoint(core, 9001, slots=1)
        job_id = new_id(core)
        job = asyncio.create_task(
            core.handle(None, submission(job_id, [core], [b'{}', b'{}']))
        )
        await asyncio.sleep(0.05)
        await core.handle(None, CancelJob(job_id, CUSTOMER))
        answer = await job
        assert (answer.outcome, answer.reason) == ('failed', 'cancelled')


class TestFailFast:
    async def test_error_revokes_the_rest(self, net):
        # Guards against running tasks of a job that has already failed.
        first, second = net.add_agent('a'), net.add_agent('b')
        await net.add_endpoint(first, 9001, slots=1)
        await net.add_endpoint(second, 9002, slots=1)
        payloads = [b'{"fail":1}', b'{"run_s":3}', b'{}', b'{}']
        message = submission(new_id(first), [first, second], payloads)
        begun = asyncio.get_running_loop().time()
        answer = await first.handle(None, message)
        assert (answer.outcome, answer.reason) == ('failed', 'task_error')
        assert asyncio.get_running_loop().time() - begun < 1
        await asyncio.sleep(5)
        started = {key[-1] for key in net.starts}
        assert started <= {'0', '1', '2'}
        assert '3' not in started

    async def test_remote_error_is_reported_before_the_group_ends(self, net):
        # Guards against waiting for slow tasks of a job that has failed.
        first, second = net.add_agent('a'), net.add_agent('b')
        await net.add_endpoint(second, 9002)
        payloads = [b'{"run_s":5}', b'{"fail":1}']
        message = submission(new_id(first), [second], payloads)
        begun = asyncio.get_running_loop().time()
        answer = await first.handle(None, message)
        assert answer.outcome == 'failed'
        assert asyncio.get_running_loop().time() - begun < 1

    async def test_deadline_in_the_queue_is_not_run(self, net):
        core = net.add_agent('a')
        await net.add_endpoint(core, 9001, slots=1)
        blocking = asyncio.create_task(
            core.handle(
                None, submission(new_id(core), [core], [b'{"run_s":5}'])
            )
        )
        await asyncio.sleep(0.01)
        late = submission(new_id(core), [core], deadline_ms=300)
        answer = await core.handle(None, late)
        assert (answer.outcome, answer.reason) == ('not_run', 'deadline')
        assert (await blocking).outcome == 'complete'

    async def test_unknown_kind_is_not_run(self, net):
        core = net.add_agent('a')
        await net.add_endpoint(core, 9001)
        message = submission(new_id(core), [core], kind='unknown')
        answer = await core.handle(None, message)
        assert answer.outcome == 'not_run'

    async def test_task_without_a_report_may_have_run(self, net):
        # Guards against an executor whose reply leaves out a task.
        core = net.add_agent('a')
        other = net.add_agent('b')
        await net.add_endpoint(other, 9002)
        run = other.executor.run

        async def drop_reports(message, notify):
            reply = await run(message, notify)
            reply.reports.clear()
            return reply

        other.handlers[RunTasks] = lambda peer, message: drop_reports(
            message, peer.notify
        )
        message = submission(new_id(core), [other])
        answer = await core.handle(None, message)
        assert answer.outcome == 'may_have_run'
