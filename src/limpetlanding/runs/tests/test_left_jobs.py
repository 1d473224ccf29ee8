"""Tests of what fronts tell each other of jobs that clients have left."""

import asyncio
from types import SimpleNamespace

from limpetlanding.runs.left_jobs import MAX_NOTICES_AT_ONCE, LeftJobs
from limpetlanding.runs.registry import MAX_RESUBMISSION_WAIT_S, JobRegistry
from limpetlanding.wire.run_messages import JobLeft

JOB = '5c0e7a21d94b36f8'
OWN = 'front-0/1'
MANY_FRONTS = 34


class Front:
    """Link to another front, which records the messages."""

    def __init__(self, knows_message=True):
        self.peer = SimpleNamespace(job_notices=knows_message)
        self.messages = []

    def notify(self, message):
        self.messages.append(message)


def left_jobs(*fronts):
    """Return the left jobs of a front that is linked with others."""
    loop = asyncio.get_running_loop()
    dispatcher = SimpleNamespace(
        loop=loop,
        now=loop.time,
        jobs={},
        counts={'notices_dropped': 0},
        registry=JobRegistry(),
        placement_needed=asyncio.Event(),
    )
    node = SimpleNamespace(
        hello=SimpleNamespace(incarnation=OWN), connected=lambda _: fronts
    )
    return LeftJobs(node, dispatcher)


def message(number=1, has_runs=True, front='front-1/1'):
    return JobLeft(JOB, front, number, has_runs)


def active_job(placed):
    """Return a job that has run, with runs that may be left."""
    return SimpleNamespace(
        job=SimpleNamespace(job_id=JOB),
        placed=dict.fromkeys(placed),
        no_runs_left=asyncio.Event(),
    )


class TestOwnJobs:
    """Guards against fronts that do not learn of the runs of another."""

    async def test_end_of_the_runs_is_told_after_them(self):
        front = Front()
        active = active_job(['a'])
        left_jobs(front).share(active)
        assert [x.has_runs for x in front.messages] == [True]
        await asyncio.sleep(0.05)
        active.placed.clear()
        active.no_runs_left.set()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert [x.has_runs for x in front.messages] == [True, False]
        assert front.messages[0].number < front.messages[1].number

    async def test_front_of_an_earlier_build_receives_no_unknown_message(self):
        front = Front(knows_message=False)
        left_jobs(front).share(active_job([]))
        assert not front.messages


class TestNextLink:
    """Guards against a message that is lost with the link to a front."""

    async def test_front_receives_the_last_message_of_each_job_again(self):
        jobs, front = left_jobs(), Front()
        active = active_job(['a'])
        jobs.share(active)
        jobs.send_known(front)
        active.placed.clear()
        active.no_runs_left.set()
        await asyncio.sleep(0.01)
        jobs.send_known(front)
        assert [x.has_runs for x in front.messages] == [True, False]

    async def test_old_messages_are_not_sent_again(self):
        jobs, front = left_jobs(), Front()
        jobs.share(active_job([]))
        await asyncio.sleep(MAX_RESUBMISSION_WAIT_S + 0.1)
        jobs.send_known(front)
        assert not front.messages


class TestPassingOn:
    """Guards against messages without end, and processor time without limit."""

    async def test_message_is_passed_on_once_and_not_back(self):
        source, other = Front(), Front()
        jobs = left_jobs(source, other)
        jobs.handle(source, message())
        jobs.handle(other, message())
        assert other.messages == [message()]
        assert not source.messages

    async def test_own_message_that_comes_back_is_ignored(self):
        source, other = Front(), Front()
        jobs = left_jobs(source, other)
        jobs.handle(source, message(front=OWN))
        assert not other.messages
        assert not jobs.dispatcher.registry.may_have_run(JOB, now=0)

    async def test_messages_of_others_leave_room_for_own_ones(self):
        # Guards against a series of resets that silences each front.
        fronts = [Front() for _ in range(MANY_FRONTS)]
        jobs = left_jobs(*fronts)
        for number in range(MANY_FRONTS):
            jobs.handle(fronts[number], message(front=f'front-{number}/1'))
        for front in fronts:
            front.messages.clear()
        jobs.share(active_job([]))
        assert all(len(front.messages) == 1 for front in fronts)

    async def test_some_of_more_fronts_than_the_limit_are_told(self):
        fronts = [Front() for _ in range(MAX_NOTICES_AT_ONCE + 50)]
        jobs = left_jobs(*fronts)
        jobs.share(active_job([]))
        told = [front for front in fronts if front.messages]
        assert len(told) == MAX_NOTICES_AT_ONCE
        assert jobs.dispatcher.counts['notices_dropped'] == 50

    async def test_messages_beyond_the_limit_are_dropped_and_counted(self):
        front = Front()
        jobs = left_jobs(front)
        for _ in range(MAX_NOTICES_AT_ONCE + 50):
            jobs.share(active_job([]))
        assert len(front.messages) == MAX_NOTICES_AT_ONCE
        assert jobs.dispatcher.counts['notices_dropped'] == 50
        await asyncio.sleep(1)
        jobs.share(active_job([]))
        assert len(front.messages) == MAX_NOTICES_AT_ONCE + 1
