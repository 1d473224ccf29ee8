"""Front: accepts jobs, follows the configuration and connects to workers."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from itertools import zip_longest
from math import inf
from random import Random
from typing import Any

from loguru import logger

from limpetlanding.runs.background import errors_logged
from limpetlanding.runs.backoff import follow_stream
from limpetlanding.runs.cancellation import Cancellations
from limpetlanding.runs.catalog import CatalogHolder
from limpetlanding.runs.dispatcher import Dispatcher
from limpetlanding.runs.fleet import Fleet
from limpetlanding.runs.jobs import objective_s
from limpetlanding.runs.left_jobs import LeftJobs
from limpetlanding.runs.loss_reports import (
    received_loss,
    send_known_losses,
    send_loss,
)
from limpetlanding.runs.losses import ExecutorLoss
from limpetlanding.runs.model import Catalog, Job, Queue
from limpetlanding.runs.ports import StorePort, WorkerRecord
from limpetlanding.runs.subset import Candidate, WorkerSubset
from limpetlanding.wire import Channel, Node, is_ipv4_address
from limpetlanding.wire.run_messages import (
    CancelledJobs,
    CatalogUpdate,
    ExecutorLost,
    JobCancelled,
    JobLeft,
    KnownWorkers,
    RunsEnded,
    WorkerReport,
)

READY_REPORT_AGE_S = 2.5
"""A front is not ready if no worker has reported to it for this long; workers
report each second."""


SUBSET_INTERVAL_S = 0.5
"""Interval of checks whether the subset of workers has to change."""

LATE_JOB_FACTOR = 2
"""Most jobs that miss their objective end within this multiple of it."""


class Front:
    """A front with its links, configuration and jobs.

    Parameters
    ----------
    node : Node
        Links to other processes; the front sets its handler and callbacks.
    store : StorePort
        The store.
    seeds : list of str
        Addresses of other fronts, which send the workers that they know.
    rng : random.Random
        Source of the jitter of pauses.
    """

    def __init__(
        self, node: Node, store: StorePort, seeds: list[str], rng: Random
    ) -> None:
        self.node = node
        self.store = store
        self.rng = rng
        self.loop = asyncio.get_running_loop()
        self.catalogs = CatalogHolder(self._broadcast_catalog, self.loop.time)
        self.fleet = Fleet(node.hello.failure_domain, rng)
        self.dispatcher = Dispatcher(self.fleet, rng, node.clock)
        self.dispatcher.on_loss = self._share_loss
        self.left_jobs = LeftJobs(node, self.dispatcher)
        self.cancellations = Cancellations(node, self.dispatcher)
        self.subset = WorkerSubset(node.hello.node, node.hello.failure_domain)
        self.subset_outdated = asyncio.Event()
        # Address of each worker according to its record.
        self.recorded: dict[str, str] = {}
        self.seeds: set[str] = set()
        # When the remaining jobs are abandoned, in monotonic seconds.
        self.stop_deadline = inf
        self.handlers: dict[type, Callable[[Channel, Any], Any]] = {
            WorkerReport: self.dispatcher.handle_report,
            RunsEnded: self.dispatcher.handle_runs_ended,
            CatalogUpdate: self._handle_catalog_update,
            KnownWorkers: self._handle_known_workers,
            JobCancelled: self.cancellations.handle,
            CancelledJobs: self.cancellations.handle_list,
            ExecutorLost: self._handle_loss,
            JobLeft: self.left_jobs.handle,
        }
        node.handler = self.handle
        node.on_peer_up = self._peer_up
        node.on_peer_relinked = self._peer_relinked
        node.on_peer_down = self._peer_down
        self.add_seeds(seeds)

    def add_seeds(self, seeds: list[str]) -> None:
        """Dial the fronts at the addresses that are new."""
        own = self.node.hello.address
        for address in sorted(set(seeds) - self.seeds - {own}):
            self.seeds.add(address)
            self.node.keep_dialing(address)

    async def run(self) -> None:
        """Follow the store and assign tasks until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.dispatcher.run())
            group.create_task(self._maintain_subset())
            group.create_task(
                follow_stream(
                    'configuration',
                    self.store.catalogs,
                    self._apply_catalog,
                    self.rng,
                )
            )
            group.create_task(
                follow_stream(
                    'workers', self.store.workers, self._add_records, self.rng
                )
            )

    @property
    def stopping(self) -> bool:
        """Whether the process has been asked to stop."""
        return self.stop_deadline < inf

    def begin_stop(self, limit_s: float) -> None:
        """Become not ready, and abandon jobs after `limit_s` seconds."""
        self.stop_deadline = self.loop.time() + limit_s
        self.loop.call_at(self.stop_deadline, self.dispatcher.abandon_all)

    def can_finish(self, job: Job, queue: Queue, wait_s: float) -> bool:
        """Tell whether a new job is likely to end before the front stops."""
        needed_s = min(wait_s, LATE_JOB_FACTOR * objective_s(job, queue))
        return self.loop.time() + needed_s <= self.stop_deadline

    def not_ready_reason(self) -> str:
        """Return why the front is not ready for clients; empty if it is."""
        if self.stopping:
            return 'stopping'
        if not self.catalogs.version:
            return 'no configuration'
        now = self.loop.time()
        newest = max(
            (view.reported_at for view in self.fleet.views.values()), default=0
        )
        if now - newest > READY_REPORT_AGE_S:
            return 'no worker'
        return ''

    def handle(self, channel: Channel, message: Any) -> Any:
        """Process a message of a worker or of another front."""
        handler = self.handlers.get(type(message))
        return handler and handler(channel, message)

    async def cancel(self, job_id: str) -> bool:
        """Cancel a job; see `Cancellations.cancel`."""
        return await self.cancellations.cancel(job_id)

    def _handle_catalog_update(
        self, channel: Channel, update: CatalogUpdate
    ) -> None:
        self.catalogs.apply_update(update, channel.peer.node)

    def _handle_known_workers(
        self, _channel: Channel, known: KnownWorkers
    ) -> None:
        for address, domain in zip_longest(
            known.addresses, known.failure_domains, fillvalue=''
        ):
            self._add_worker(address, domain)

    def _handle_loss(self, channel: Channel, message: ExecutorLost) -> None:
        received = received_loss(message)
        if received is None or not self.dispatcher.handle_loss(*received):
            return
        # Not all fronts are linked to the worker, or with each other.
        self._share_loss(*received, source=channel)

    def _share_loss(
        self,
        loss: ExecutorLoss,
        age_s: float = 0,
        source: Channel | None = None,
    ) -> None:
        # A client may submit its job again at any front.
        for front in self.node.connected('front'):
            if front is not source:
                send_loss(front, loss, age_s)

    def _apply_catalog(self, catalog: Catalog) -> None:
        self.catalogs.replace_if_newer(catalog, 'store')

    def _add_records(self, records: list[WorkerRecord]) -> None:
        for record in records:
            previous = self.recorded.get(record.name, record.address)
            self.recorded[record.name] = record.address
            has_moved = previous != record.address
            # Another worker may have taken over the former address.
            if has_moved and previous not in self.recorded.values():
                self.subset.forget(previous)
            self._add_worker(record.address, record.failure_domain)

    def _add_worker(self, address: str, failure_domain: str) -> bool:
        if not is_ipv4_address(address):
            if address:
                logger.bind(step='members').error(
                    'address of a worker ignored: {!r}', address[:50]
                )
            return False
        is_new = self.subset.add(address, failure_domain)
        if is_new:
            self.subset_outdated.set()
        return is_new

    async def _maintain_subset(self) -> None:
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(SUBSET_INTERVAL_S):
                    await self.subset_outdated.wait()
            self.subset_outdated.clear()
            with errors_logged('members'):
                self._update_subset()

    def _update_subset(self) -> None:
        now = self.loop.time()
        channels = {x.peer.address: x for x in self.node.connected('worker')}
        change = self.subset.update(
            now, channels, self.dispatcher.has_shortage()
        )
        released = [x for x in change.release if self._release_worker(x)]
        for address in change.dial:
            self.node.keep_dialing(address)
        if change.dial or released:
            logger.bind(
                step='members',
                known=len(self.subset.candidates),
                linked=len(channels),
                size=self.subset.size,
                dialed=change.dial[:5],
                released=released[:5],
            ).info(
                'subset changed: {} workers dialed, {} released',
                len(change.dial),
                len(released),
            )

    def _release_worker(self, address: str) -> bool:
        channel = self.node.peers.newest_at(address)
        if channel is None:
            self.node.stop_dialing(address)
        elif channel.is_idle:
            self.node.release(channel)
            self.dispatcher.forget_worker(channel)
        else:
            return False
        self.subset.released(address)
        return True

    def _broadcast_catalog(self, _catalog: Catalog) -> None:
        update = self.catalogs.update_message()
        for channel in self.node.connected():
            channel.notify(update)

    def _peer_up(self, channel: Channel) -> None:
        if self.catalogs.version:
            channel.notify(self.catalogs.update_message())
        if channel.peer.role == 'front':
            send_known_losses(channel, self.dispatcher.losses, self.loop.time())
            channel.notify(
                _known_workers(list(self.subset.candidates.values()))
            )
            self.cancellations.send_known(channel)
            self.left_jobs.send_known(channel)
            return
        channel.has_work = lambda: self.dispatcher.has_runs_at(channel)
        self.dispatcher.worker_connected(channel)
        self.subset_outdated.set()
        peer = channel.peer
        if self._add_worker(peer.address, peer.failure_domain):
            # The worker has dialed a seed, because the fronts did not know it.
            known = KnownWorkers([peer.address], [peer.failure_domain])
            for front in self.node.connected('front'):
                front.notify(known)

    def _peer_relinked(self, channel: Channel) -> None:
        if channel.peer.role == 'front':
            # Messages may have been lost with the earlier link.
            self.cancellations.send_known(channel)
            self.left_jobs.send_known(channel)
        else:
            self.dispatcher.worker_connected(channel)

    def _peer_down(self, channel: Channel) -> None:
        if channel.peer.role == 'front':
            self.cancellations.peer_down(channel)
        else:
            self.dispatcher.worker_disconnected(channel)


def _known_workers(candidates: list[Candidate]) -> KnownWorkers:
    return KnownWorkers(
        [candidate.address for candidate in candidates],
        [candidate.failure_domain for candidate in candidates],
    )
