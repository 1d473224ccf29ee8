import asyncio
from contextlib import suppress

import pytest

from limpetlanding.agent.tests.fakes import (
    CUSTOMER,
    FakePeer,
    new_id,
    submission,
)
from limpetlanding.errors import LimpetlandingError
from limpetlanding.wire.job_messages import (
    AllocateIds,
    Handover,
    LocateCoordinator,
    QueryJob,
    RefuseJob,
)


def channel(net, source, target):
    return FakePeer(net, source.node, target.node, target.incarnation)


def handover_messages(net):
    return [x for *_, x in net.sent if isinstance(x, Handover)]


@pytest.fixture
async def pair(net):
    cores = [net.add_agent('a'), net.add_agent('b')]
    for port, core in enumerate(cores, 9001):
        await net.add_endpoint(core, port)
    return cores


class TestHandover:
    async def test_ended_refused_and_unused_ids(self, net, pair):
        # Guards against a second start, and against losing issued ids.
        old, new = pair
        ended, refused, unused = (new_id(old) for _ in range(3))
        before = await old.handle(None, submission(ended, [old]))
        refuse = RefuseJob(refused, CUSTOMER, 'overload', 100)
        refusal = await old.handle(None, refuse)
        assert await old.handovers.hand_over(channel(net, old, new))
        assert await new.handle(None, submission(ended, [new])) == before
        assert await new.handle(None, submission(refused, [new])) == refusal
        answer = await new.handle(None, submission(unused, [new]))
        assert answer.outcome == 'complete'
        # The old agent no longer decides; it forwards the request.
        assert await old.handle(None, submission(unused, [old])) == answer
        assert net.starts[f'{unused}/0'] == 1

    async def test_other_body_is_still_a_conflict(self, net, pair):
        old, new = pair
        job_id = new_id(old)
        await old.handle(None, submission(job_id, [old]))
        await old.handovers.hand_over(channel(net, old, new))
        other = submission(job_id, [new], body_digest='d2')
        assert (await new.handle(None, other)).reason == 'conflict'

    async def test_expired_id_stays_expired(self, net, pair):
        # Guards against treating an id as new at the successor.
        old, new = pair
        job_id = new_id(old)
        await old.handle(None, submission(job_id, [old]))
        await asyncio.sleep(121)
        await old.handovers.hand_over(channel(net, old, new))
        answer = await new.handle(None, submission(job_id, [new]))
        assert (answer.outcome, answer.reason) == ('may_have_run', 'expired')

    async def test_running_job_is_joined_at_the_successor(self, net, pair):
        # Guards against a second start while the first run continues.
        old, new = pair
        job_id = new_id(old)
        message = submission(job_id, [old], [b'{"run_s":0.9}'])
        first = asyncio.create_task(old.handle(None, message))
        await asyncio.sleep(0.1)
        assert await old.handovers.hand_over(channel(net, old, new))
        second = await new.handle(None, message)
        assert second == await first
        assert second.outcome == 'complete'

    async def test_running_job_of_a_lost_agent_may_have_run(self, net, pair):
        old, new = pair
        job_id = new_id(old)
        message = submission(job_id, [old], [b'{"run_s":5}'])
        job = asyncio.create_task(old.handle(None, message))
        await asyncio.sleep(0.1)
        await old.handovers.hand_over(channel(net, old, new))
        waiting = asyncio.create_task(new.handle(None, message))
        await asyncio.sleep(0.1)
        new.peer_lost(old.incarnation)
        answer = await waiting
        assert answer.outcome == 'may_have_run'
        assert answer.reason == 'coordinator_lost'
        await job

    async def test_submission_during_the_handover_waits(self, net, pair):
        # Guards against two agents that decide on one id.
        old, new = pair
        job_id = new_id(old)
        net.faults.append(('b', Handover, 'slow'))
        moving = asyncio.create_task(
            old.handovers.hand_over(channel(net, old, new))
        )
        await asyncio.sleep(0.1)
        answer = await old.handle(None, submission(job_id, [old]))
        assert await moving
        assert answer.outcome == 'complete'
        assert new.coordinator.ledgers[old.incarnation].ended

    async def test_repeated_handover_changes_nothing(self, net, pair):
        # Guards against restoring an id that the successor decided on.
        old, new = pair
        job_id = new_id(old)
        await old.handovers.hand_over(channel(net, old, new))
        first = await new.handle(None, submission(job_id, [new]))
        await asyncio.sleep(121)
        for message in handover_messages(net):
            new.handovers.receive(message)
        answer = await new.handle(None, submission(job_id, [new]))
        assert first.outcome == 'complete'
        assert answer.reason == 'expired'

    async def test_unreachable_successor_is_replaced(self, net, pair):
        old, new = pair
        gone = FakePeer(net, 'a', 'c', 'f' * 16)
        job_id = new_id(old)
        assert not await old.handovers.hand_over(gone)
        assert await old.handovers.hand_over(channel(net, old, new))
        answer = await new.handle(None, submission(job_id, [new]))
        assert answer.outcome == 'complete'

    async def test_without_successor_the_agent_stays_responsible(
        self, net, pair
    ):
        old, _ = pair
        gone = FakePeer(net, 'a', 'c', 'f' * 16)
        assert not await old.handovers.hand_over(gone)
        answer = await old.handle(None, submission(new_id(old), [old]))
        assert answer.outcome == 'complete'

    async def test_draining_agent_accepts_no_records(self, net, pair):
        # Guards against two draining agents that hand over to each other.
        old, new = pair
        new.coordinator.draining = True
        assert not await old.handovers.hand_over(channel(net, old, new))
        assert old.incarnation not in new.coordinator.ledgers

    async def test_unanswered_last_message_loses_the_incarnation(
        self, net, pair
    ):
        # Guards against a second successor when the first may have decided.
        old, new = pair
        other = net.add_agent('c')
        job_id = new_id(old)
        # The first message is delivered, the last one gets no answer.
        net.faults += [
            ('b', Handover, 'none'),
            ('b', Handover, 'drop'),
        ]
        assert not await old.handovers.hand_over(channel(net, old, new))
        await old.handovers.hand_over(channel(net, old, other))
        assert old.incarnation not in other.coordinator.ledgers
        answer = await old.handle(None, submission(job_id, [old]))
        assert answer.outcome == 'may_have_run'
        assert not net.starts

    async def test_records_are_handed_over_twice(self, net, pair):
        # This happens in a rolling restart of all agents.
        old, new = pair
        last = net.add_agent('c')
        job_id, unused = new_id(old), new_id(old)
        before = await old.handle(None, submission(job_id, [old]))
        running_id = new_id(old)
        running = submission(running_id, [old], [b'{"run_s":0.9}'])
        job = asyncio.create_task(old.handle(None, running))
        await asyncio.sleep(0.1)
        assert await old.handovers.hand_over(channel(net, old, new))
        assert await new.handovers.hand_over(channel(net, new, last))
        assert await last.handle(None, submission(job_id, [new])) == before
        assert await last.handle(None, running) == await job
        answer = await last.handle(None, submission(unused, [new]))
        assert answer.outcome == 'complete'

    async def test_location_and_new_ids(self, net, pair):
        old, new = pair
        locate = LocateCoordinator(old.incarnation)
        assert (await old.handle(None, locate)).known
        assert not (await new.handle(None, locate)).known
        await old.handovers.hand_over(channel(net, old, new))
        assert not (await old.handle(None, locate)).known
        assert (await new.handle(None, locate)).known
        assert (await old.handle(None, AllocateIds(10))).count == 0

    async def test_unneeded_ledger_taken_over_is_dropped(self, net, pair):
        # Guards the memory of agents that are restarted in turn every day.
        old, new = pair
        job_id, unused = new_id(old), new_id(old)
        await old.handle(None, submission(job_id, [old]))
        await old.handovers.hand_over(channel(net, old, new))
        await asyncio.sleep(3000)
        assert old.incarnation in new.coordinator.ledgers
        await asyncio.sleep(700)
        assert old.incarnation not in new.coordinator.ledgers
        answer = await new.handle(None, submission(unused, [new]))
        assert answer.reason == 'coordinator_lost'

    async def test_large_records_are_split_over_messages(self, net, pair):
        # Guards against a handover message beyond the frame limit.
        old, new = pair
        payload = b'{"x":"%b"}' % (b'x' * 300_000)
        ids = [new_id(old) for _ in range(20)]
        for job_id in ids:
            await old.handle(None, submission(job_id, [old], [payload]))
        assert await old.handovers.hand_over(channel(net, old, new))
        sent = handover_messages(net)
        assert max(sum(map(len, x.records)) for x in sent) < 2 * 1024 * 1024
        for job_id in ids:
            answer = await new.handle(None, QueryJob(job_id, CUSTOMER))
            assert answer.results[0].payload == payload


class TestPlannedStop:
    async def test_stop_under_load_completes_all_jobs(self, net, pair):
        # Guards P7 at the coordinator and the executor: a planned stop fails no
        # job.
        old, new = pair
        net.placement_nodes = ['b', 'a']
        jobs = []

        async def submit(job_id):
            message = submission(job_id, [old, new], [b'{}'] * 4)
            with suppress(LimpetlandingError):
                return await old.handle(None, message)

        ids = [new_id(old) for _ in range(60)]
        for number, job_id in enumerate(ids):
            jobs.append(asyncio.create_task(submit(job_id)))
            await asyncio.sleep(0.02)
            if number == 20:
                old.executor.drain()
            if number == 30:
                moving = asyncio.create_task(
                    old.handovers.hand_over(channel(net, old, new))
                )
        answers = await asyncio.gather(*jobs)
        assert await moving
        assert not old.busy
        await old.handovers.finish()
        assert {answer.outcome for answer in answers} == {'complete'}
        again = [await new.handle(None, QueryJob(x, CUSTOMER)) for x in ids]
        assert again == answers
