"""Random faults, moves, cancellations and resubmissions, by seed."""

import asyncio
from random import Random

import pytest

from limpetlanding.agent.tests.fakes import (
    CUSTOMER,
    answer_other_task,
    drop_connection,
    never_answer,
    new_id,
    submission,
    truncate_answer,
)
from limpetlanding.wire.job_messages import (
    CancelJob,
    MoveTasks,
    RevokeTasks,
    RunTasks,
)

JOB_COUNT = 40


class FaultyDeployment:
    """Three agents that run jobs while links, endpoints and agents fail."""

    def __init__(self, net, rng):
        self.net = net
        self.rng = rng
        self.cores = []

    async def prepare(self):
        for number, node in enumerate('abc'):
            core = self.net.add_agent(node)
            self.cores.append(core)
            for port in (9000 + 2 * number, 9001 + 2 * number):
                endpoint = await self.net.add_endpoint(
                    core,
                    port,
                    slots=2,
                    repeat_by_id=self.rng.random() < 0.5,
                )
                for call in range(60):
                    if self.rng.random() < 0.05:
                        fault = self.rng.choice(
                            [
                                drop_connection,
                                truncate_answer,
                                answer_other_task,
                                never_answer,
                            ]
                        )
                        endpoint.behaviour[call] = fault
        self.net.placement_nodes = ['a', 'b', 'c']
        for _ in range(JOB_COUNT // 2):
            target = self.rng.choice('abc')
            kind = self.rng.choice([RunTasks, RevokeTasks])
            fault = self.rng.choice(['drop', 'lose_reply', 'late', 'slow'])
            self.net.faults.append((target, kind, fault))

    async def job(self):
        rng = self.rng
        await asyncio.sleep(rng.uniform(0, 5))
        coordinator = rng.choice(self.cores)
        job_id = new_id(coordinator)
        count = rng.randint(1, 4)
        payloads = [
            b'{"run_s":%f, "fail":%d}'
            % (rng.uniform(0.01, 1), rng.random() < 0.05)
            for _ in range(count)
        ]
        targets = rng.sample(self.cores, k=3)
        message = submission(job_id, targets, payloads, deadline_ms=6000)
        first = asyncio.create_task(coordinator.handle(None, message))
        for _ in range(rng.randint(0, 3)):
            await asyncio.sleep(rng.uniform(0, 0.5))
            await self.send_conflicting_request(
                coordinator, job_id, message, count
            )
        answers = [await first, await coordinator.handle(None, message)]
        while not answers[0].outcome:
            # A started task may end after the deadline of its job.
            answers = [
                await coordinator.handle(None, message) for _ in range(2)
            ]
        assert answers[0] == answers[1]
        return answers[0]

    async def send_conflicting_request(
        self, coordinator, job_id, message, count
    ):
        match self.rng.randint(0, 2):
            case 0:
                await coordinator.handle(None, CancelJob(job_id, CUSTOMER))
            case 1:
                place = self.net.placement(
                    self.rng.randrange(count), self.rng.choice(self.cores)
                )
                await coordinator.handle(None, MoveTasks(job_id, [place]))
            case 2:
                again = asyncio.create_task(coordinator.handle(None, message))
                self.net.tasks.append(again)

    async def restart_one(self):
        await asyncio.sleep(2.5)
        index = self.rng.randrange(3)
        node = 'abc'[index]
        for endpoint in self.net.endpoints[2 * index : 2 * index + 2]:
            endpoint.announcing.cancel()
        restarted = self.net.add_agent(node)
        for endpoint in self.net.endpoints[2 * index : 2 * index + 2]:
            work = endpoint.keep_announcing(restarted.endpoints)
            self.net.tasks.append(asyncio.create_task(work))


class TestRandomFaults:
    @pytest.mark.parametrize('seed', range(12))
    async def test_no_double_start_and_complete_results(self, net, seed):
        # The fixture checks the starts of each task and every not_run.
        faulty = FaultyDeployment(net, Random(seed))
        await faulty.prepare()
        restart = asyncio.create_task(faulty.restart_one())
        answers = await asyncio.gather(
            *[faulty.job() for _ in range(JOB_COUNT)]
        )
        await restart
        # Messages that are still delayed arrive in this time.
        await asyncio.sleep(30)
        outcomes = [answer.outcome for answer in answers]
        assert '' not in outcomes
        for answer in answers:
            if answer.outcome == 'complete':
                indices = [x.index for x in answer.results]
                assert indices == list(range(answer.task_count))
