"""Newest known configuration, and its encoding between processes."""

import dataclasses
from collections import defaultdict
from collections.abc import Callable
from time import monotonic
from typing import Any

import orjson
from loguru import logger

from limpetlanding.runs.model import Catalog, Queue
from limpetlanding.runs.registry import JOB_RETENTION_S, RecentEntries
from limpetlanding.wire.run_messages import CatalogUpdate

MAX_WITHDRAWN_QUEUES = 1000
"""Withdrawn queues that are remembered; a configuration has up to hundreds."""


class CatalogHolder:
    """Stores the newest configuration; an older one never replaces it.

    Parameters
    ----------
    on_change : callable
        Called with each newer configuration.
    clock : callable
        Returns monotonic seconds.

    Examples
    --------
    >>> holder = CatalogHolder(lambda catalog: None)
    >>> holder.replace_if_newer(Catalog(version=4), 'store')
    True
    >>> holder.replace_if_newer(Catalog(version=3), 'a front')
    False
    """

    def __init__(
        self,
        on_change: Callable[[Catalog], None],
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self.on_change = on_change
        self.clock = clock
        self.catalog = Catalog()
        # Queues of each host, those with the longest prefix first.
        self.queues: dict[str, list[Queue]] = {}
        # By host and prefix. Their jobs go on and can still be cancelled.
        self.withdrawn: RecentEntries[tuple[str, str], Queue] = RecentEntries(
            JOB_RETENTION_S, MAX_WITHDRAWN_QUEUES
        )

    @property
    def version(self) -> int:
        """Version in force; 0 if none is known."""
        return self.catalog.version

    def replace_if_newer(self, catalog: Catalog, source: str) -> bool:
        """Store a configuration if it is newer; return whether it was."""
        if catalog.version <= self.version:
            return False
        logger.bind(
            step='configure',
            peer=source,
            version=catalog.version,
            previous=self.version,
            queues=len(catalog.queues),
        ).info('configuration in force')
        self._record_withdrawn(catalog)
        self.catalog = catalog
        self.queues = _queues_by_host(catalog)
        self.on_change(catalog)
        return True

    def apply_update(self, update: CatalogUpdate, source: str) -> None:
        """Decode and store the configuration of a peer if it is newer."""
        if update.version > self.version:
            self.replace_if_newer(decode_catalog(update), source)

    def update_message(self) -> CatalogUpdate:
        """Return the message that carries the configuration to a peer."""
        return CatalogUpdate(
            self.version, orjson.dumps(dataclasses.asdict(self.catalog))
        )

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue of a request, or None if there is none.

        If several queues match, the one with the longest prefix is returned.
        """
        return next(
            (
                queue
                for queue in self.queues.get(host, ())
                if path.startswith(queue.prefix)
            ),
            None,
        )

    def find_withdrawn(self, host: str, path: str) -> list[Queue]:
        """Return the recently withdrawn queues of a request."""
        return [
            queue
            for queue in self.withdrawn.values(self.clock())
            if queue.host == host and path.startswith(queue.prefix)
        ]

    def _record_withdrawn(self, catalog: Catalog) -> None:
        kept = {(queue.host, queue.prefix) for queue in catalog.queues}
        for queue in self.catalog.queues:
            key = queue.host, queue.prefix
            if key not in kept:
                self.withdrawn.record(key, queue, self.clock())


def _queues_by_host(catalog: Catalog) -> dict[str, list[Queue]]:
    by_host: dict[str, list[Queue]] = defaultdict(list)
    by_prefix = sorted(
        catalog.queues, key=lambda x: len(x.prefix), reverse=True
    )
    for queue in by_prefix:
        by_host[queue.host].append(queue)
    return dict(by_host)


def decode_catalog(update: CatalogUpdate) -> Catalog:
    """Decode the configuration in a message.

    Examples
    --------
    >>> holder = CatalogHolder(lambda catalog: None)
    >>> queue = Queue('grades', 'desk.example', '/grade/', 'bundles')
    >>> _ = holder.replace_if_newer(Catalog(3, [queue]), 'store')
    >>> decode_catalog(holder.update_message()) == holder.catalog
    True
    """
    fields = _known_fields(Catalog, orjson.loads(update.body))
    queues = [Queue(**_known_fields(Queue, x)) for x in fields['queues']]
    return Catalog(**fields | {'queues': queues})


def _known_fields(kind: type, values: dict[str, Any]) -> dict[str, Any]:
    # A peer of a newer build may send further fields.
    names = {spec.name for spec in dataclasses.fields(kind)}
    return {name: values[name] for name in names & values.keys()}
