"""Decisions on whom a front tells of a cancelled job, without a network."""

import asyncio
from types import SimpleNamespace

import pytest

from limpetlanding.errors import PeerLost, RequestTimeout
from limpetlanding.lifecycle import PeerState
from limpetlanding.runs.cancellation import (
    CONFIRM_TIMEOUT_S,
    Cancellations,
    CancellationUnconfirmed,
)
from limpetlanding.runs.registry import JOB_RETENTION_S, JobRegistry
from limpetlanding.wire.run_messages import CancelledJobs, JobCancelled

JOB = '5c0e7a21d94b36f8'
OTHER_JOB = '1111111111111111'
TRANSIT_S = 0.002


class Peer:
    """Channel to a front that answers each request as it is told to."""

    def __init__(self, name, answer=None, role='front'):
        self.peer = SimpleNamespace(node=name, role=role, job_notices=True)
        self.lifecycle = SimpleNamespace(state=PeerState.UP)
        self.answer = answer or (lambda _: None)
        self.received = []

    async def request(self, message, timeout_s, is_wanted=None):
        """Record a request, and answer it."""
        self.received.append(message)
        answer = self.answer(message)
        return await answer if asyncio.iscoroutine(answer) else answer

    def notify(self, message):
        """Record a notification."""
        self.received.append(message)


class Linked(Peer):
    """Channel to a front that receives lists after a transit."""

    def __init__(self, name, target, source):
        super().__init__(name)
        self.target = target
        self.source = source

    async def request(self, message, timeout_s, is_wanted=None):
        """Deliver a list."""
        self.received.append(message)
        await asyncio.sleep(TRANSIT_S)
        channels = self.target.node.channels
        back = next(x for x in channels if x.peer.node == self.source)
        self.target.handle_list(back, message)


class FakeDispatcher:
    """Dispatcher that only remembers which jobs are cancelled."""

    def __init__(self):
        self.registry = JobRegistry()
        self.jobs = {}
        self.now = asyncio.get_running_loop().time

    def is_cancelled(self, job_id):
        """Tell whether a job is known to be cancelled."""
        return self.registry.is_cancelled(job_id, self.now())

    def cancel(self, job_id, age_s=0):
        """Record a cancellation."""
        self.registry.record_cancelled(job_id, self.now() - age_s)
        return self.jobs.pop(job_id, None) is not None


def front(*peers):
    """Return the cancellations of a front with these peers."""
    hello = SimpleNamespace(node='own', incarnation='own-1')
    node = SimpleNamespace(hello=hello, channels=list(peers))
    return Cancellations(node, FakeDispatcher())


def fail(error):
    """Return an answer that fails."""

    def answer(_message):
        raise error

    return answer


def lost(_message):
    """Answer as a channel that is closed."""
    raise PeerLost('gone', step='cancel')


class TestCancel:
    """Guards against an acknowledgement before all fronts know the job."""

    async def test_each_front_is_told_once_and_names_the_others(self):
        peers = [Peer('a'), Peer('b'), Peer('w', role='worker')]
        await front(*peers).cancel(JOB)
        for peer in peers[:2]:
            (message,) = peer.received
            assert message.told == ['a', 'b', 'own']
            assert 0 < message.deadline_ms < 1000 * CONFIRM_TIMEOUT_S
        assert not peers[2].received

    async def test_front_that_is_down_is_not_waited_for_or_named(self):
        down, other = Peer('down', lost), Peer('other')
        down.lifecycle.state = PeerState.DOWN
        await front(down, other).cancel(JOB)
        assert not down.received
        assert other.received[0].told == ['other', 'own']

    async def test_front_that_does_not_answer_is_named(self):
        silent = Peer('silent', fail(RequestTimeout('no answer', step='x')))
        cancellations = front(silent, Peer('other'))
        with pytest.raises(CancellationUnconfirmed, match='silent'):
            await cancellations.cancel(JOB)
        assert cancellations.dispatcher.is_cancelled(JOB)

    async def test_only_an_unconfirmed_job_is_told_again(self):
        peer = Peer('a', fail(RequestTimeout('no answer', step='x')))
        cancellations = front(peer)
        with pytest.raises(CancellationUnconfirmed):
            await cancellations.cancel(JOB)
        peer.answer = lambda _: None
        for _ in range(3):
            await cancellations.cancel(JOB)
        assert len(peer.received) == 2

    async def test_front_lost_during_the_wait_is_left_to_the_others(self):
        # Guards against a front that nobody tells, since another has named it.
        def lose(message):
            gone.lifecycle.state = PeerState.DOWN
            return lost(message)

        gone, other = Peer('gone', lose), Peer('other')
        await front(gone, other).cancel(JOB)
        first, second = other.received
        assert 'gone' in first.told
        assert 'gone' not in second.told
        assert first.wave != second.wave

    async def test_front_that_goes_down_ends_the_wait(self):
        stuck = Peer('stuck', lambda _: asyncio.sleep(CONFIRM_TIMEOUT_S))
        cancellations = front(stuck)
        cancelling = asyncio.create_task(cancellations.cancel(JOB))
        await asyncio.sleep(0.1)
        stuck.lifecycle.state = PeerState.DOWN
        cancellations.peer_down(stuck)
        await asyncio.sleep(0.1)
        assert cancelling.done()


class TestHandle:
    """Guards against waves without end, and fronts that nobody tells."""

    async def test_message_is_passed_on_to_those_that_it_does_not_name(self):
        source, named, other = Peer('source'), Peer('named'), Peer('other')
        message = JobCancelled(JOB, ['named', 'source'], 1000, 'w/1')
        await front(source, named, other).handle(source, message)
        assert not source.received
        assert not named.received
        (passed_on,) = other.received
        assert passed_on.told == ['named', 'other', 'own', 'source']
        assert passed_on.wave == 'w/1'
        assert passed_on.deadline_ms < message.deadline_ms

    async def test_known_wave_is_answered_at_once(self):
        source, other = Peer('source'), Peer('other')
        cancellations = front(source, other)
        message = JobCancelled(JOB, [], 1000, 'w/1')
        await cancellations.handle(source, message)
        assert cancellations.handle(source, message) is None
        assert len(other.received) == 1

    async def test_own_wave_that_returns_is_answered_at_once(self):
        peer = Peer('a')
        cancellations = front(peer)
        await cancellations.cancel(JOB)
        (message,) = peer.received
        assert cancellations.handle(peer, message) is None

    async def test_next_wave_is_passed_on_although_the_job_is_known(self):
        # Guards against a second DELETE that skips fronts left out by the
        # first one.
        source, other = Peer('source'), Peer('other')
        cancellations = front(source, other)
        for wave in ('w/1', 'w/2'):
            message = JobCancelled(JOB, [], 1000, wave)
            await cancellations.handle(source, message)
        assert len(other.received) == 2

    async def test_failure_behind_the_front_is_reported(self):
        source = Peer('source')
        silent = Peer('silent', fail(RequestTimeout('no answer', step='x')))
        message = JobCancelled(JOB, [], 1000, 'w/1')
        with pytest.raises(CancellationUnconfirmed, match='silent'):
            await front(source, silent).handle(source, message)

    @pytest.mark.parametrize('deadline_ms', [0, -5, float('nan'), 1e300])
    async def test_odd_time_limit_is_replaced(self, deadline_ms):
        source, other = Peer('source'), Peer('other')
        message = JobCancelled(JOB, [], deadline_ms, 'w/1')
        await front(source, other).handle(source, message)
        (passed_on,) = other.received
        assert 0 < passed_on.deadline_ms < 1000 * CONFIRM_TIMEOUT_S

    async def test_notification_of_an_earlier_build_is_passed_on_once(self):
        source, other = Peer('source'), Peer('other')
        cancellations = front(source, other)
        await cancellations.handle(source, JobCancelled(JOB))
        assert cancellations.handle(source, JobCancelled(JOB)) is None
        assert len(other.received) == 1
        assert other.received[0].wave


class TestLists:
    """Guards against lists that renew the cancellations without end."""

    async def test_age_is_kept(self):
        source, target = Peer('source'), Peer('target')
        cancellations = front(source)
        cancellations.handle_list(source, CancelledJobs([JOB], [20_000]))
        cancellations.send_known(target)
        await asyncio.sleep(0)
        (message,) = target.received
        assert message.job_ids == [JOB]
        assert message.ages_ms == pytest.approx([20_000])
        await asyncio.sleep(JOB_RETENTION_S - 19)
        assert not cancellations.dispatcher.is_cancelled(JOB)

    async def test_only_news_are_passed_on_to_the_other_fronts(self):
        source, other = Peer('source'), Peer('other')
        cancellations = front(source, other)
        for _ in range(2):
            cancellations.handle_list(source, CancelledJobs([JOB], [0]))
            await asyncio.sleep(0)
        assert not source.received
        assert [x.job_ids for x in other.received] == [[JOB]]

    async def test_known_job_is_not_renewed(self):
        source = Peer('source')
        cancellations = front(source)
        cancellations.handle_list(source, CancelledJobs([JOB], [0]))
        await asyncio.sleep(JOB_RETENTION_S - 1)
        cancellations.handle_list(source, CancelledJobs([JOB], [0]))
        await asyncio.sleep(2)
        assert not cancellations.dispatcher.is_cancelled(JOB)

    @pytest.mark.parametrize('age_ms', [-1e300, float('nan'), 1e300])
    async def test_odd_age_does_not_prolong_the_retention(self, age_ms):
        source = Peer('source')
        cancellations = front(source)
        cancellations.handle_list(source, CancelledJobs([JOB], [age_ms]))
        await asyncio.sleep(JOB_RETENTION_S + 1)
        assert not cancellations.dispatcher.is_cancelled(JOB)

    async def test_list_with_fewer_ages_is_used_as_far_as_it_goes(self):
        source = Peer('source')
        cancellations = front(source)
        cancellations.handle_list(source, CancelledJobs([JOB, OTHER_JOB], [0]))
        assert cancellations.dispatcher.is_cancelled(JOB)
        assert not cancellations.dispatcher.is_cancelled(OTHER_JOB)

    async def test_fronts_that_forget_a_job_do_not_tell_each_other_again(self):
        fronts = {name: front() for name in 'abc'}
        for name, cancellations in fronts.items():
            cancellations.node.channels += [
                Linked(other, fronts[other], name)
                for other in fronts
                if other != name
            ]
        source, other = fronts['a'].node.channels
        age_ms = 1000 * (JOB_RETENTION_S - TRANSIT_S / 2)
        fronts['a'].handle_list(source, CancelledJobs([JOB], [age_ms]))
        await asyncio.sleep(1)
        assert fronts['a'].dispatcher.registry.cancelled.entries
        assert not [*source.received, *other.received]

    async def test_earlier_build_gets_one_notification_a_job(self):
        target = Peer('target')
        target.peer.job_notices = False
        cancellations = front()
        for job_id in (JOB, OTHER_JOB):
            cancellations.dispatcher.cancel(job_id)
        cancellations.send_known(target)
        assert [x.job_id for x in target.received] == [JOB, OTHER_JOB]
