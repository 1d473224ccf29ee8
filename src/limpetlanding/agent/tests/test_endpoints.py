import asyncio

import pytest

from limpetlanding.agent.tests.fakes import (
    answer_other_task,
    answer_with_error,
    drop_connection,
    never_answer,
    new_id,
    submission,
    truncate_answer,
)


async def run_one(net, core, **fields):
    return await core.handle(None, submission(new_id(core), [core], **fields))


class TestLease:
    async def test_agent_paused_past_the_lease_starts_nothing(self, net):
        # The endpoint may have ended during the pause of the agent.
        core = net.add_agent('a')
        endpoint = await net.add_endpoint(core, 9001, announce=False)
        core.endpoints.announce(endpoint.announcement())
        net.paused_s = 10
        answer = await run_one(net, core)
        assert answer.outcome == 'not_run'
        assert not net.starts

    async def test_queued_task_moves_when_the_lease_ends(self, net):
        first, second = net.add_agent('a'), net.add_agent('b')
        endpoint = await net.add_endpoint(
            first, 9001, announce=False, slots=1, repeat_by_id=False
        )
        first.endpoints.announce(endpoint.announcement())
        await net.add_endpoint(second, 9002)
        net.placement_nodes = ['b']
        payloads = [b'{"run_s":6}', b'{}']
        message = submission(new_id(first), [first], payloads)
        answer = await first.handle(None, message)
        assert [x.agent for x in answer.results] == ['a', 'b']

    async def test_leaving_endpoint_gets_no_new_task(self, net):
        # Guards P6: queued tasks move, and the running one is completed.
        first, second = net.add_agent('a'), net.add_agent('b')
        endpoint = await net.add_endpoint(first, 9001, announce=False, slots=1)
        first.endpoints.announce(endpoint.announcement())
        await net.add_endpoint(second, 9002)
        net.placement_nodes = ['b']
        message = submission(new_id(first), [first], [b'{"run_s":0.5}', b'{}'])
        job = asyncio.create_task(first.handle(None, message))
        await asyncio.sleep(0.1)
        first.endpoints.announce(endpoint.announcement(leaving=True))
        # An announcement sent before, but received later, has no effect.
        first.endpoints.announce(endpoint.announcement())
        answer = await job
        assert [x.agent for x in answer.results] == ['a', 'b']
        later = await run_one(net, first)
        assert later.results[0].agent == 'b'
        assert endpoint.calls == 1

    async def test_late_announcement_of_replaced_incarnation_is_ignored(
        self, net
    ):
        # Guards against sending work to a process that has ended.
        core = net.add_agent('a')
        endpoint = await net.add_endpoint(core, 9001, announce=False)
        core.endpoints.announce(endpoint.announcement())
        core.endpoints.announce(endpoint.announcement(incarnation='e2'))
        core.endpoints.announce(endpoint.announcement())
        current = core.endpoints.by_id['endpoint-9001']
        assert current.announced.incarnation == 'e2'


class TestRefusedConnection:
    async def test_task_moves(self, net):
        # Guards against answering may_have_run although nothing was sent.
        first, second = net.add_agent('a'), net.add_agent('b')
        endpoint = await net.add_endpoint(first, 9001)
        await net.add_endpoint(second, 9002)
        await endpoint.stop()
        net.placement_nodes = ['b']
        answer = await run_one(net, first)
        assert answer.outcome == 'complete'
        assert answer.results[0].agent == 'b'

    async def test_task_runs_at_another_endpoint_of_the_agent(self, net):
        core = net.add_agent('a')
        gone = await net.add_endpoint(core, 9001)
        await net.add_endpoint(core, 9002)
        await gone.stop()
        answer = await run_one(net, core)
        assert answer.results[0].endpoint == 'endpoint-9002'

    async def test_without_another_agent_the_job_is_not_run(self, net):
        core = net.add_agent('a')
        gone = await net.add_endpoint(core, 9001)
        await gone.stop()
        answer = await run_one(net, core)
        assert answer.outcome == 'not_run'
        assert answer.reason == 'endpoint_away'


class TestRepeatById:
    @pytest.mark.parametrize(
        'fault',
        [drop_connection, truncate_answer, answer_other_task, never_answer],
    )
    async def test_answer_is_requested_again_on_a_new_connection(
        self, net, fault
    ):
        # Guards P2 and P3: after a fault of the connection to the endpoint, the
        # task has started once and its own answer is returned.
        core = net.add_agent('a')
        endpoint = await net.add_endpoint(core, 9001)
        endpoint.behaviour[1] = fault
        answer = await run_one(net, core)
        assert answer.outcome == 'complete'
        assert answer.results[0].payload == b'{}'
        assert endpoint.calls == 2
        assert sum(net.starts.values()) == 1

    @pytest.mark.parametrize(
        'fault',
        [drop_connection, truncate_answer, answer_other_task, never_answer],
    )
    async def test_without_repeat_by_id_the_job_may_have_run(self, net, fault):
        # Guards against a double start at an endpoint that keeps no answers.
        core = net.add_agent('a')
        endpoint = await net.add_endpoint(core, 9001, repeat_by_id=False)
        endpoint.behaviour[1] = fault
        answer = await run_one(net, core, deadline_ms=3000)
        assert answer.outcome == 'may_have_run'
        assert endpoint.calls == 1

    async def test_repeats_of_a_long_call_become_rarer(self, net):
        # Guards against one needless call per second of a slow task.
        core = net.add_agent('a')
        endpoint = await net.add_endpoint(core, 9001)
        answer = await run_one(net, core, payloads=[b'{"run_s":8.5}'])
        assert answer.outcome == 'complete'
        assert endpoint.calls <= 4

    async def test_silent_connections_are_not_used_again(self, net):
        # Guards against one silence time-out for each idle connection.
        core = net.add_agent('a')
        endpoint = await net.add_endpoint(core, 9001)
        jobs = [run_one(net, core) for _ in range(4)]
        await asyncio.gather(*jobs)
        endpoint.behaviour[5] = never_answer
        await run_one(net, core)
        used = endpoint.calls
        connections = core.endpoints.by_id['endpoint-9001'].connections
        assert used == 6
        assert len(connections.idle) == 1

    async def test_restarted_endpoint_does_not_start_the_repeat(self, net):
        # Guards against a double start after a crash during the call.
        core = net.add_agent('a')
        endpoint = await net.add_endpoint(core, 9001)
        job = asyncio.create_task(run_one(net, core, payloads=[b'{"run_s":2}']))
        await asyncio.sleep(0.5)
        await endpoint.stop()
        endpoint.announcing.cancel()
        restarted = await net.add_endpoint(
            core, 9001, announce=False, incarnation='e2'
        )
        # The old incarnation's last announcement arrives after the restart.
        await asyncio.sleep(0.2)
        core.endpoints.announce(endpoint.announcement())
        await asyncio.sleep(0.5)
        core.endpoints.announce(restarted.announcement())
        answer = await job
        assert answer.outcome == 'may_have_run'
        assert sum(net.starts.values()) == 1

    async def test_new_incarnation_ends_silent_calls_of_the_old_one(self, net):
        core = net.add_agent('a')
        endpoint = await net.add_endpoint(core, 9001, repeat_by_id=False)
        job = asyncio.create_task(run_one(net, core, payloads=[b'{"run_s":9}']))
        await asyncio.sleep(0.5)
        core.endpoints.announce(endpoint.announcement(incarnation='e2'))
        await asyncio.sleep(0.1)
        assert job.done()
        assert (await job).outcome == 'may_have_run'

    async def test_call_at_a_replaced_endpoint_elsewhere_is_finished(self, net):
        # In a rolling restart, the old and the new process overlap.
        core = net.add_agent('a')
        old = await net.add_endpoint(core, 9001, endpoint_id='e')
        job = asyncio.create_task(run_one(net, core, payloads=[b'{"run_s":3}']))
        await asyncio.sleep(0.5)
        old.announcing.cancel()
        await net.add_endpoint(core, 9002, endpoint_id='e', incarnation='e2')
        assert (await job).outcome == 'complete'


class TestAnswers:
    async def test_late_answer_is_complete(self, net):
        core = net.add_agent('a')
        await net.add_endpoint(core, 9001, repeat_by_id=False)
        answer = await run_one(net, core, payloads=[b'{"run_s":7}'])
        assert answer.outcome == 'complete'

    async def test_repeated_answers_for_a_wrong_task_end_the_call(self, net):
        # Guards against repeating the call without end.
        core = net.add_agent('a')
        endpoint = await net.add_endpoint(core, 9001)
        endpoint.behaviour = dict.fromkeys(range(1, 100), answer_other_task)
        answer = await run_one(net, core)
        assert answer.outcome == 'may_have_run'
        assert core.executor.caller.counters['answers_of_other_tasks'] == 3

    async def test_error_answer_fails_the_job(self, net):
        core = net.add_agent('a')
        endpoint = await net.add_endpoint(core, 9001)
        endpoint.behaviour[1] = answer_with_error
        answer = await run_one(net, core)
        assert (answer.outcome, answer.reason) == ('failed', 'task_error')
        assert answer.blame == 'endpoint'

    async def test_too_large_result_fails_the_job(self, net):
        # Guards against a reply beyond the frame limit, which is not sent.
        core = net.add_agent('a')
        await net.add_endpoint(core, 9001)
        payload = b'{"x":"%b"}' % (b'x' * 1024 * 1024)
        answer = await run_one(net, core, payloads=[payload])
        assert (answer.outcome, answer.reason) == ('failed', 'too_large')


class TestConnections:
    async def test_no_more_calls_than_announced_connections(self, net):
        core = net.add_agent('a')
        await net.add_endpoint(core, 9001, slots=8, connections=2)
        connections = core.endpoints.by_id['endpoint-9001'].connections
        most = 0

        async def watch():
            nonlocal most
            while True:
                count = len(connections.in_use) + len(connections.idle)
                most = max(most, count)
                await asyncio.sleep(0.01)

        watching = asyncio.create_task(watch())
        await asyncio.gather(*[run_one(net, core) for _ in range(10)])
        watching.cancel()
        assert most == 2

    async def test_connections_of_a_replaced_endpoint_are_closed(self, net):
        # Guards against one set of open sockets per restart of an endpoint.
        core = net.add_agent('a')
        old = await net.add_endpoint(core, 9001, endpoint_id='e')
        connections = core.endpoints.by_id['e'].connections
        await run_one(net, core)
        assert len(connections.idle) == 1
        job = asyncio.create_task(run_one(net, core))
        await asyncio.sleep(0.05)
        old.announcing.cancel()
        await net.add_endpoint(core, 9002, endpoint_id='e', incarnation='e2')
        assert (await job).outcome == 'complete'
        assert not connections.idle
        assert not connections.in_use

    async def test_connections_of_a_lost_endpoint_are_closed(self, net):
        core = net.add_agent('a')
        endpoint = await net.add_endpoint(core, 9001)
        connections = core.endpoints.by_id['endpoint-9001'].connections
        await run_one(net, core)
        endpoint.announcing.cancel()
        await asyncio.sleep(10)
        assert not core.endpoints.by_id
        assert not connections.idle

    async def test_speed_is_learned(self, net):
        core = net.add_agent('a')
        await net.add_endpoint(core, 9001, run_s=0.05)
        await asyncio.gather(*[run_one(net, core) for _ in range(300)])
        speed = core.load().endpoints[0].speed
        assert 1.8 < speed <= 2
