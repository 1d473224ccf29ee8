import asyncio

from limpetlanding.agent.tests.fakes import new_id, submission
from limpetlanding.jobs import payloads_digest


class TestSubmit:
    async def test_job_on_two_agents_is_complete(self, net):
        # Guards the whole path, with one task in-process and one remote.
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

    async def test_same_submission_twice_at_once_and_later(self, net):
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
