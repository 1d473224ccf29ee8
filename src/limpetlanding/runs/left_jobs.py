"""Tells other fronts of jobs that a client has left, or that were given up.

The client may send such a job again to any front, and some clients do so at
once. A front that knows of the runs doesn't start the job beside them, and
doesn't answer that it has not run.
"""

import asyncio
from collections.abc import Iterable
from contextlib import suppress
from itertools import count

from limpetlanding.runs.background import BackgroundTasks
from limpetlanding.runs.dispatcher import Dispatcher
from limpetlanding.runs.jobs import ActiveJob
from limpetlanding.runs.rate_limit import RateLimit
from limpetlanding.runs.registry import (
    MAX_REMEMBERED_JOBS,
    MAX_RESUBMISSION_WAIT_S,
    RecentEntries,
)
from limpetlanding.wire import Channel, Node
from limpetlanding.wire.run_messages import JobLeft

MAX_NOTICES_PER_S = 60
MAX_NOTICES_AT_ONCE = 300
"""Limits on the messages that a front sends about its own jobs, and again on
those that it passes on, so that these do not use up its own. A message costs
about 0.07 ms of processor time. Beyond the limits other fronts start and refuse
jobs as if the client came for the first time."""


class LeftJobs:
    """Jobs that clients have left at this front or another.

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
        self.numbers = count(1)
        # The last message about each job of this front.
        self.sent: RecentEntries[str, JobLeft] = RecentEntries(
            MAX_RESUBMISSION_WAIT_S, MAX_REMEMBERED_JOBS
        )
        self.own_limit = RateLimit(MAX_NOTICES_PER_S, MAX_NOTICES_AT_ONCE)
        self.passing_limit = RateLimit(MAX_NOTICES_PER_S, MAX_NOTICES_AT_ONCE)
        self.background = BackgroundTasks()
        dispatcher.on_left = self.share

    def share(self, active: ActiveJob) -> None:
        """Tell the other fronts that a job has run and may still do so."""
        self._send_own(active)
        if active.placed:
            self.background.spawn(self._share_end(active))

    def handle(self, channel: Channel, message: JobLeft) -> None:
        """Record what another front tells, and pass it on if it is new."""
        dispatcher = self.dispatcher
        is_own = message.front == self.node.hello.incarnation
        if is_own or not dispatcher.registry.record_run_elsewhere(
            message.job_id,
            message.front,
            (message.number, message.has_runs),
            dispatcher.now(),
        ):
            return
        active = dispatcher.jobs.get(message.job_id)
        if active is not None:
            active.may_have_run = True
        dispatcher.placement_needed.set()
        dispatcher.loop.call_later(
            MAX_RESUBMISSION_WAIT_S, dispatcher.placement_needed.set
        )
        # Not all fronts are linked with each other.
        others = [x for x in self.node.connected('front') if x is not channel]
        self._send(others, message, self.passing_limit)

    def send_known(self, channel: Channel) -> None:
        """Send the last messages again, which a lost link may have held."""
        for message in self.sent.values(self.dispatcher.now()):
            self._send([channel], message, self.own_limit)

    async def _share_end(self, active: ActiveJob) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(MAX_RESUBMISSION_WAIT_S):
                await active.no_runs_left.wait()
            self._send_own(active)

    def _send_own(self, active: ActiveJob) -> None:
        message = JobLeft(
            active.job.job_id,
            self.node.hello.incarnation,
            next(self.numbers),
            bool(active.placed),
        )
        self.sent.record(message.job_id, message, self.dispatcher.now())
        self._send(self.node.connected('front'), message, self.own_limit)

    def _send(
        self, channels: Iterable[Channel], message: JobLeft, limit: RateLimit
    ) -> None:
        now = self.dispatcher.now()
        for front in channels:
            if not front.peer.job_notices:
                continue
            if limit.allows(1, now):
                front.notify(message)
            else:
                self.dispatcher.counts['notices_dropped'] += 1
