"""Makes the cancellation of a job known to all fronts.

A client may send a cancelled job again to any front. So a cancellation is a
request, which a front confirms once it has recorded it and those to which it
passes it on have confirmed it; not all fronts are linked with each other.

The request names its wave and the fronts that are told in it. A front passes
on a wave once, to those that are not named, and answers at once if it has seen
the wave before, so that no two fronts wait for each other.

A front that is down is not waited for: it is sent all cancellations that are
remembered over its next link.
"""

import asyncio
from collections import defaultdict
from collections.abc import Awaitable
from itertools import count
from typing import Any

from loguru import logger

from limpetlanding.errors import LimpetlandingError, PeerLost
from limpetlanding.lifecycle import PeerState
from limpetlanding.runs.background import BackgroundTasks
from limpetlanding.runs.dispatcher import Dispatcher
from limpetlanding.runs.registry import (
    JOB_RETENTION_S,
    MAX_REMEMBERED_JOBS,
    RecentEntries,
)
from limpetlanding.wire import Channel, Node
from limpetlanding.wire.run_messages import CancelledJobs, JobCancelled

CONFIRM_TIMEOUT_S = 3
"""Time in which all fronts must confirm a cancellation. A silent front is down
0.75 s after the request has ended the slow heartbeats of its link, or at most
2.1 s after its last frame without a request; clients wait for 4 s."""

HOP_MARGIN_S = 0.1
"""A front that passes a cancellation on answers this much before the time limit
of the front that has asked it, so that its answer says who is missing."""


MAX_SHARED_AGE_S = JOB_RETENTION_S - CONFIRM_TIMEOUT_S
"""An older cancellation from a list is recorded, but not passed on. The ages in
a list leave out its time on the way, so that fronts that have just forgotten a
job would tell each other of it again and again."""


class CancellationUnconfirmed(LimpetlandingError):
    """Some fronts may not know yet that the job is cancelled."""


class Cancellations:
    """Cancellations of one front.

    Parameters
    ----------
    node : Node
        Links to the other fronts.
    dispatcher : Dispatcher
        Jobs of this front, and its registry.
    """

    def __init__(self, node: Node, dispatcher: Dispatcher) -> None:
        self.node = node
        self.dispatcher = dispatcher
        self.loop = asyncio.get_running_loop()
        self.wave_numbers = count(1)
        self.waves: RecentEntries[str, bool] = RecentEntries(
            JOB_RETENTION_S, MAX_REMEMBERED_JOBS
        )
        # Requests without an answer, and the list that was sent last.
        self.requests: dict[Channel, set[asyncio.Task[Any]]] = defaultdict(set)
        self.lists: dict[Channel, CancelledJobs] = {}
        self.background = BackgroundTasks()

    async def cancel(self, job_id: str) -> bool:
        """Cancel a job for a client, and wait until all fronts know it.

        The job is stopped at once. If the caller is cancelled, the other fronts
        are still told.

        Returns
        -------
        bool
            Whether the job was active at this front.

        Raises
        ------
        CancellationUnconfirmed
            If a front that is not down does not confirm in time.
        """
        registry = self.dispatcher.registry
        if registry.cancelled.get(job_id, self.dispatcher.now()):
            return False
        is_here = self._cancel_here(job_id, 'client')
        until = self.loop.time() + CONFIRM_TIMEOUT_S
        missing = await asyncio.shield(
            self.background.spawn(
                self._tell_all(job_id, self._new_wave(), [], until)
            )
        )
        if missing:
            raise _unconfirmed(missing)
        registry.confirm_cancelled(job_id)
        return is_here

    def handle(
        self, channel: Channel, message: JobCancelled
    ) -> Awaitable[None] | None:
        """Cancel a job for another front, and pass the wave on."""
        job_id = message.job_id
        wave = message.wave
        dispatcher = self.dispatcher
        if not wave:
            # An earlier build sends a notification, and each front that did
            # not know of the job notifies the others.
            if (
                dispatcher.is_cancelled(job_id)
                and job_id not in dispatcher.jobs
            ):
                return None
            wave = self._new_wave()
        if self.waves.get(wave, self.loop.time()):
            return None
        self.waves.record(wave, True, self.loop.time())
        self._cancel_here(job_id, channel.peer.node)
        return self._pass_on(channel, message, wave)

    def handle_list(self, channel: Channel, message: CancelledJobs) -> None:
        """Record the cancelled jobs that a front remembers."""
        pairs = zip(message.job_ids, message.ages_ms, strict=False)
        has_new = False
        for job_id, age_ms in pairs:
            if not self.dispatcher.is_cancelled(job_id):
                # The order of the arguments maps NaN to 0.
                age_s = min(max(0, age_ms / 1000), JOB_RETENTION_S)
                has_new = has_new or age_s < MAX_SHARED_AGE_S
                self._cancel_here(job_id, channel.peer.node, age_s)
        if has_new:
            # Not all fronts are linked with the one that has sent the list.
            for other in self._fronts():
                if other is not channel:
                    self.send_known(other)

    def send_known(self, channel: Channel) -> None:
        """Send all cancelled jobs to a front that has a link again."""
        ages = self.dispatcher.registry.cancelled_ages(self.dispatcher.now())
        if not ages:
            return
        if channel.peer.job_notices:
            ages_ms = [1000 * age_s for age_s in ages.values()]
            message = CancelledJobs(list(ages), ages_ms)
            self.background.spawn(self._send_list(channel, message))
            return
        for job_id in ages:
            channel.notify(JobCancelled(job_id))

    def peer_down(self, channel: Channel) -> None:
        """End the waits for a front that is down or gone."""
        for request in self.requests.pop(channel, ()):
            request.cancel()

    def _cancel_here(self, job_id: str, source: str, age_s: float = 0) -> bool:
        is_here = self.dispatcher.cancel(job_id, age_s)
        logger.bind(
            request_id=job_id, step='cancel', peer=source, here=is_here
        ).info('job cancelled')
        return is_here

    async def _pass_on(
        self, channel: Channel, message: JobCancelled, wave: str
    ) -> None:
        limit_s = max(0, message.deadline_ms / 1000) or CONFIRM_TIMEOUT_S
        until = self.loop.time() + min(limit_s, CONFIRM_TIMEOUT_S)
        told = [*message.told, channel.peer.node]
        missing = await self._tell_all(message.job_id, wave, told, until)
        if missing and message.wave:
            raise _unconfirmed(missing)

    async def _tell_all(
        self, job_id: str, wave: str, told: list[str], until: float
    ) -> list[str]:
        """Tell the fronts that are not in `told`, and wait for them.

        Returns
        -------
        list of str
            Which fronts have not confirmed, and why.
        """
        self.waves.record(wave, True, self.loop.time())
        channels = [x for x in self._fronts() if x.peer.node not in told]
        names = {self.node.hello.node, *told}
        names.update(channel.peer.node for channel in channels)
        left_s = until - self.loop.time()
        message = JobCancelled(
            job_id, sorted(names), 1000 * (left_s - HOP_MARGIN_S), wave
        )
        answers = await asyncio.gather(
            *[self._request(x, message, left_s) for x in channels],
            return_exceptions=True,
        )
        if any(
            isinstance(x, (PeerLost, asyncio.CancelledError)) for x in answers
        ):
            # A front that this one has lost may be in touch with another one,
            # which has not told it, because the message named it.
            return await self._tell_all(job_id, self._new_wave(), told, until)
        missing = [
            f'{channel.peer.node}: {answer}'
            for channel, answer in zip(channels, answers, strict=True)
            if isinstance(answer, Exception)
        ]
        if missing:
            logger.bind(request_id=job_id, step='cancel', wave=wave).warning(
                'cancellation not confirmed by {}', missing
            )
        return missing

    def _request(
        self, channel: Channel, message: JobCancelled, timeout_s: float
    ) -> asyncio.Task[Any]:
        request = self.loop.create_task(channel.request(message, timeout_s))
        requests = self.requests[channel]
        requests.add(request)
        request.add_done_callback(requests.discard)
        return request

    async def _send_list(
        self, channel: Channel, message: CancelledJobs
    ) -> None:
        self.lists[channel] = message
        try:
            await channel.request(
                message,
                CONFIRM_TIMEOUT_S,
                lambda: self.lists.get(channel) is message,
            )
        except LimpetlandingError as error:
            # Another list follows over the next link.
            logger.bind(step='cancel', peer=channel.peer.node).info(
                'list of cancelled jobs not confirmed: {}', error
            )
        finally:
            if self.lists.get(channel) is message:
                self.lists.pop(channel)

    def _fronts(self) -> list[Channel]:
        return [
            channel
            for channel in self.node.channels
            if channel.peer.role == 'front'
            and channel.lifecycle.state is PeerState.UP
        ]

    def _new_wave(self) -> str:
        return f'{self.node.hello.incarnation}/{next(self.wave_numbers)}'


def _unconfirmed(missing: list[str]) -> CancellationUnconfirmed:
    return CancellationUnconfirmed('; '.join(missing), step='cancel')
