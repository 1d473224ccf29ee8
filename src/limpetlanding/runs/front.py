"""Front: finds the workers, follows the configuration, runs jobs."""

import asyncio
from collections.abc import Callable
from math import inf
from random import Random
from typing import Any

from loguru import logger

from limpetlanding.runs.backoff import follow
from limpetlanding.runs.catalog import CatalogHolder
from limpetlanding.runs.dispatcher import Dispatcher
from limpetlanding.runs.fleet import Fleet
from limpetlanding.runs.jobs import objective_s
from limpetlanding.runs.model import Catalog, Job, Queue
from limpetlanding.runs.ports import StorePort, WorkerRecord
from limpetlanding.wire import Channel, Node
from limpetlanding.wire.run_messages import (
    CatalogUpdate,
    JobCancelled,
    KnownWorkers,
    RunsEnded,
    WorkerReport,
)

READY_REPORT_AGE_S = 2.5
"""A front that no worker has reported to for this long takes no new clients;
workers report each second."""


LATE_FACTOR = 2
"""Most jobs that miss their objective end within this multiple of it."""


class Front:
    """One front with its links, configuration and jobs.

    Parameters
    ----------
    node : Node
        Links; the front sets its handler and callbacks.
    store : StorePort
        The store.
    seeds : list of str
        Addresses of fronts that may know workers.
    rng : random.Random
        Jitter.
    """

    def __init__(
        self, node: Node, store: StorePort, seeds: list[str], rng: Random
    ) -> None:
        self.node = node
        self.store = store
        self.rng = rng
        self.loop = asyncio.get_running_loop()
        self.catalogs = CatalogHolder(self._relay)
        self.fleet = Fleet(node.hello.failure_domain)
        self.dispatcher = Dispatcher(self.fleet)
        self.addresses: set[str] = set()
        self.seeds: set[str] = set()
        # When the jobs that are left are given up, in monotonic seconds.
        self.stop_deadline = inf
        self.handlers: dict[type, Callable[[Channel, Any], None]] = {
            WorkerReport: self.dispatcher.report,
            RunsEnded: self.dispatcher.ended,
            CatalogUpdate: self._take_update,
            KnownWorkers: self._take_known,
            JobCancelled: self._take_cancel,
        }
        node.handler = self.handle
        node.on_peer_up = self._peer_up
        node.on_peer_down = self._peer_down
        self.add_seeds(seeds)

    def add_seeds(self, seeds: list[str]) -> None:
        """Dial fronts at the given addresses."""
        own = self.node.hello.address
        for address in sorted(set(seeds) - self.seeds - {own}):
            self.seeds.add(address)
            self.node.keep_dialing(address)

    async def run(self) -> None:
        """Follow the store and place tasks until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.dispatcher.run())
            group.create_task(
                follow(
                    'configuration',
                    self.store.catalogs,
                    self._take_catalog,
                    self.rng,
                )
            )
            group.create_task(
                follow(
                    'workers', self.store.workers, self._take_workers, self.rng
                )
            )

    @property
    def stopping(self) -> bool:
        """Whether the process has been asked to stop."""
        return self.stop_deadline < inf

    def begin_stop(self, most_s: float) -> None:
        """Take no new clients, and give up jobs after `most_s` seconds."""
        self.stop_deadline = self.loop.time() + most_s
        self.loop.call_at(self.stop_deadline, self.dispatcher.give_up_all)

    def can_finish(self, job: Job, queue: Queue, wait_s: float) -> bool:
        """Tell whether a new job is likely to end before the front stops."""
        needed_s = min(wait_s, LATE_FACTOR * objective_s(job, queue))
        return self.loop.time() + needed_s <= self.stop_deadline

    def not_ready_reason(self) -> str:
        """Return what keeps the front from taking clients; empty if nothing."""
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
        """Serve a message of a worker or of another front."""
        handler = self.handlers.get(type(message))
        if handler is not None:
            handler(channel, message)

    def cancel(self, job_id: str) -> bool:
        """Cancel a job; a front that does not run it asks the others.

        Returns
        -------
        bool
            Whether it was running here.
        """
        return self._cancel(job_id, 'client')

    def _cancel(self, job_id: str, source: str) -> bool:
        is_known = job_id in self.dispatcher.cancelled
        is_here = self.dispatcher.cancel(job_id)
        logger.bind(
            request_id=job_id, step='cancel', peer=source, here=is_here
        ).info('job cancelled')
        if not is_here and not is_known:
            # Not all fronts are linked with each other, so it is passed on.
            for channel in self.node.connected('front'):
                channel.notify(JobCancelled(job_id))
        return is_here

    def _take_update(self, channel: Channel, update: CatalogUpdate) -> None:
        self.catalogs.apply_update(update, channel.peer.node)

    def _take_known(self, _channel: Channel, known: KnownWorkers) -> None:
        self._dial(known.addresses)

    def _take_cancel(self, channel: Channel, message: JobCancelled) -> None:
        self._cancel(message.job_id, channel.peer.node)

    def _take_catalog(self, catalog: Catalog) -> None:
        self.catalogs.replace_if_newer(catalog, 'store')

    def _take_workers(self, records: list[WorkerRecord]) -> None:
        self._dial([record.address for record in records])

    def _dial(self, addresses: list[str]) -> None:
        new = set(addresses) - self.addresses
        if not new:
            return
        self.addresses |= new
        logger.bind(step='members', new=sorted(new)[:5]).info(
            'dials {} more workers', len(new)
        )
        for address in sorted(new):
            self.node.keep_dialing(address)

    def _relay(self, _catalog: Catalog) -> None:
        update = self.catalogs.update_message()
        for channel in self.node.connected():
            channel.notify(update)

    def _peer_up(self, channel: Channel) -> None:
        if self.catalogs.version:
            channel.notify(self.catalogs.update_message())
        if channel.peer.role == 'front':
            channel.notify(KnownWorkers(sorted(self.addresses)))
            return
        self.addresses.add(channel.peer.address)
        self.dispatcher.worker_up(channel)

    def _peer_down(self, channel: Channel) -> None:
        if channel.peer.role != 'front':
            self.dispatcher.worker_down(channel)
