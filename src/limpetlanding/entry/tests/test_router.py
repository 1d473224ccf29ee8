import asyncio
from dataclasses import replace
from random import Random

import pytest

from limpetlanding.entry.router import RequestCoalescer, Router
from limpetlanding.entry.tests.fakes import FakeAgent, incarnation
from limpetlanding.jobs import mint_job_id
from limpetlanding.wire.job_messages import (
    LocateCoordinator,
    Placement,
    QueryJob,
    RefuseJob,
    SubmitJob,
    TaskSpec,
)


def job_id(number=1, sequence=1):
    minted = mint_job_id(incarnation(number), sequence, 'offcut', b'secret')
    return str(minted)


def submission(number=1, tasks=2, digest='d', wait_ms=2000, sequence=1):
    return SubmitJob(
        job_id(number, sequence),
        'offcut',
        digest,
        [TaskSpec(x, 'cut', b'%d' % x, 100, 200) for x in range(tasks)],
        [Placement(x, 'agent-1', incarnation(1), 'a:1') for x in range(tasks)],
        2000,
        False,
        wait_ms=wait_ms,
    )


def make_router(*agents):
    router = Router(rng=Random(3))
    for agent in agents:
        router.add_agent(agent)
    return router


async def submit(router, message=None):
    message = message or submission()
    count = len(message.tasks)
    return await router.forward(message, message.wait_ms / 1000, count)


def crossed(answer):
    return replace(answer, job_id=job_id(sequence=99))


def cut_short(answer):
    return replace(answer, results=answer.results[:-1])


def consistent_but_short(answer):
    return replace(answer, results=answer.results[:-1], task_count=1)


def altered(answer):
    results = [replace(x, payload=b'"x"') for x in answer.results]
    return replace(answer, results=results)


def swapped(answer):
    return replace(answer, results=answer.results[::-1])


def undefined(answer):
    return replace(answer, outcome='partial')


class TestAnswers:
    @pytest.mark.parametrize(
        ('corruption', 'event'),
        [
            (crossed, 'answers_crossed'),
            (cut_short, 'answers_short'),
            (consistent_but_short, 'answers_short'),
            (swapped, 'answers_short'),
            (altered, 'answers_digest'),
            (undefined, 'answers_malformed'),
            (lambda _: None, 'answers_malformed'),
        ],
    )
    async def test_invalid_answer_is_dropped_and_requested_again(
        self, corruption, event
    ):
        # Guards against partial answers and answers of another job.
        agent = FakeAgent()
        agent.corruptions = [corruption]
        router = make_router(agent)
        answer = await submit(router)
        assert answer.outcome == 'complete'
        assert [x.payload for x in answer.results] == [b'0', b'1']
        assert router.events[event] == 1
        assert set(agent.started.values()) == {1}

    async def test_only_invalid_answers_give_may_have_run(self):
        agent = FakeAgent()
        agent.corruptions = [crossed] * 1000
        answer = await submit(make_router(agent))
        assert (answer.outcome, answer.reason) == (
            'may_have_run',
            'entry_timeout',
        )
        assert answer.results == []

    async def test_late_answer_is_dropped_and_counted(self):
        agent = FakeAgent()
        router = make_router(agent)
        router.drop_late_answer(agent, await submit(router))
        assert router.events['answers_late'] == 1


class TestCoordinatorLost:
    async def test_lost_incarnation_gives_may_have_run(self):
        # Guards against a job that is started again at another agent.
        agent, other = FakeAgent(1), FakeAgent(2)
        router = make_router(agent, other)
        running = asyncio.create_task(submit(router))
        await asyncio.sleep(0.05)
        agent.closed.set()
        answer = await running
        assert answer.outcome == 'may_have_run'
        assert answer.reason == 'coordinator_lost'
        assert not other.started

    async def test_refusal_without_the_coordinator_is_may_have_run(self):
        # Guards against a not_run for a job that another submission starts.
        agent = FakeAgent()
        agent.closed.set()
        message = RefuseJob(job_id(), 'offcut', 'overload', 100)
        answer = await make_router(agent).forward(message)
        assert answer.outcome == 'may_have_run'

    async def test_concurrent_requests_share_one_search(self):
        # Guards against a search of all agents for each resubmission.
        other = FakeAgent(2)
        router = make_router(other)
        asked = [
            router.forward(QueryJob(job_id(1, x + 1), 'offcut'))
            for x in range(50)
        ]
        answers = await asyncio.gather(*asked)
        again = await router.forward(QueryJob(job_id(), 'offcut'))
        assert {x.reason for x in [*answers, again]} == {'coordinator_lost'}
        assert router.events['coordinators_lost'] == 1
        assert len(other.received) < 20

    async def test_concurrent_searches_are_limited(self):
        # Guards against a caller that makes the entry search for many invented
        # ids at every agent.
        other = FakeAgent(2)
        router = make_router(other)
        asked = [
            router.forward(QueryJob(job_id(x + 100), 'offcut'))
            for x in range(200)
        ]
        answers = await asyncio.gather(*asked)
        assert {x.outcome for x in answers} == {'may_have_run'}
        assert router.events['searches_refused'] == 200 - 16

    async def test_coordinator_that_connects_during_the_search_is_used(self):
        # Guards against a restarted entry that gives up before agents connect.
        agent = FakeAgent()
        router = make_router()
        running = asyncio.create_task(submit(router))
        await asyncio.sleep(0.4)
        router.add_agent(agent)
        answer = await running
        assert answer.outcome == 'complete'


class TestCoordinatorMoved:
    async def test_waiting_request_goes_to_the_successor(self):
        # Guards against a request that waits for an agent that has stopped.
        old, successor = FakeAgent(1), FakeAgent(2)
        old.silent = True
        router = make_router(old, successor)
        running = asyncio.create_task(submit(router))
        await asyncio.sleep(0.01)
        router.coordinator_moved(incarnation(1), incarnation(2))
        answer = await running
        assert answer.outcome == 'complete'
        assert router.events['requests_rerouted'] == 1

    async def test_successor_is_found_by_a_search(self):
        # Guards against an entry that did not get the message about the move.
        successor = FakeAgent(2)
        successor.coordinated_incarnations.add(incarnation(1))
        router = make_router(FakeAgent(3), successor)
        answer = await submit(router)
        again = await submit(router)
        assert answer.outcome == again.outcome == 'complete'
        questions = [
            x for x in successor.received if isinstance(x, LocateCoordinator)
        ]
        assert len(questions) == 1

    async def test_silent_agents_do_not_block_the_search(self):
        silent, successor = FakeAgent(2), FakeAgent(3)
        silent.silent = True
        successor.coordinated_incarnations.add(incarnation(1))
        answer = await submit(make_router(silent, successor))
        assert answer.outcome == 'complete'

    async def test_chain_of_successors_is_followed(self):
        old, last = FakeAgent(1), FakeAgent(3)
        old.closed.set()
        router = make_router(old, last)
        router.coordinator_moved(incarnation(1), incarnation(2))
        router.coordinator_moved(incarnation(2), incarnation(3))
        answer = await submit(router)
        assert answer.outcome == 'complete'

    async def test_cycle_of_successors_ends(self):
        router = make_router()
        router.coordinator_moved(incarnation(1), incarnation(2))
        router.coordinator_moved(incarnation(2), incarnation(1))
        answer = await submit(router)
        assert answer.reason == 'coordinator_lost'


class TestCoordinatorPaused:
    async def test_request_waits_for_a_paused_coordinator(self):
        agent = FakeAgent()
        agent.delay_s = 1.5
        answer = await submit(make_router(agent))
        assert answer.outcome == 'complete'

    async def test_silence_beyond_the_timeout_gives_may_have_run(self):
        # Guards against callers that wait for ever.
        agent = FakeAgent()
        agent.silent = True
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        answer = await submit(make_router(agent))
        assert answer.reason == 'entry_timeout'
        assert loop.time() - started_at == pytest.approx(3, abs=0.01)

    async def test_repeated_request_has_the_remaining_time(self):
        # Guards against a deadline that restarts with each attempt.
        agent, successor = FakeAgent(1), FakeAgent(2)
        agent.silent = True
        router = make_router(agent, successor)
        running = asyncio.create_task(submit(router))
        await asyncio.sleep(0.5)
        router.coordinator_moved(incarnation(1), incarnation(2))
        await running
        sent = successor.received[0]
        assert sent.deadline_ms <= 1500
        assert sent.wait_ms <= 1500


class TestRequestCoalescer:
    async def test_cancelled_caller_does_not_end_the_shared_request(self):
        # Guards against a caller that cancels the request of other callers.
        coalescer = RequestCoalescer()
        started = []

        async def work():
            started.append(1)
            await asyncio.sleep(1)
            return 'answer'

        first = asyncio.create_task(coalescer.run('key', work))
        second = asyncio.create_task(coalescer.run('key', work))
        await asyncio.sleep(0.1)
        first.cancel()
        assert await second == 'answer'
        assert started == [1]
        assert not coalescer.running
