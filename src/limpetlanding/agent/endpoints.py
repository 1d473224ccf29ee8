"""Endpoints that have announced themselves to this agent, with leases."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Protocol

from limpetlanding.agent.connections import Connections
from limpetlanding.agent.options import EndpointOptions
from limpetlanding.wire.job_messages import EndpointLoad


class Speed(Protocol):
    """Estimated speed of an endpoint: ratio of expected to actual run time."""

    speed: float

    def observe(self, expected_ms: float, run_ms: float) -> None:
        """Learn from one run."""


@dataclass(slots=True)
class AverageSpeed:
    """Exponentially weighted mean of the ratio of expected to actual time."""

    speed: float = 1.0
    weight: float = 0.05

    def observe(self, expected_ms: float, run_ms: float) -> None:
        """Learn from one run."""
        if expected_ms > 0 and run_ms > 0:
            self.speed += self.weight * (expected_ms / run_ms - self.speed)


@dataclass(slots=True)
class Announcement:
    """What an endpoint announces; `max_size` of 0 means unlimited."""

    endpoint_id: str
    incarnation: str
    address: str
    kinds: tuple[str, ...]
    slots: int
    connections: int
    repeat_by_id: bool = False
    leaving: bool = False
    max_size: int = 0


@dataclass(slots=True)
class Endpoint:
    """One incarnation of an endpoint.

    `suspect` is set when a connection was refused and cleared by the next
    announcement. `superseded` is completed when another incarnation announces
    the same address, which proves that this one has ended. `current` is False
    once another incarnation has replaced this one at any address. `busy` is
    the number of running calls. Times are in monotonic seconds.
    """

    announced: Announcement
    lease_until: float
    announced_at: float
    connections: Connections
    speed: Speed
    superseded: asyncio.Future[None]
    busy: int = 0
    suspect: bool = False
    current: bool = True

    @property
    def slots(self) -> int:
        """Number of calls that may run at the same time."""
        return min(self.announced.slots, self.announced.connections)

    def accepts_new_tasks(self, now: float) -> bool:
        """Whether the endpoint may get new tasks."""
        alive = self.current and not self.announced.leaving
        return alive and now < self.lease_until

    def supports(self, kind: str, size: int) -> bool:
        """Whether the endpoint accepts tasks of this kind and size."""
        max_size = self.announced.max_size
        return kind in self.announced.kinds and not 0 < max_size < size

    def is_free(self, now: float) -> bool:
        """Whether a task can be started at the endpoint now."""
        free = self.busy < self.slots and not self.suspect
        return free and self.accepts_new_tasks(now)


@dataclass(slots=True)
class Endpoints:
    """All endpoints of this agent.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds. Every choice of an endpoint compares its
        lease with this clock, so that an agent that was paused past the end of
        a lease starts nothing at this endpoint.
    on_change : callable
        Called after each announcement that was accepted.
    """

    clock: Callable[[], float]
    options: EndpointOptions = field(default_factory=EndpointOptions)
    make_speed: Callable[[], Speed] = AverageSpeed
    on_change: Callable[[], None] = lambda: None
    by_id: dict[str, Endpoint] = field(default_factory=dict)
    replaced: dict[tuple[str, str], float] = field(default_factory=dict)
    known_kinds: set[str] = field(default_factory=set)
    counters: Counter[str] = field(default_factory=Counter)
    retiring: set[asyncio.Task[None]] = field(default_factory=set)

    def announce(self, announcement: Announcement) -> float:
        """Apply an announcement and return the lease duration in seconds.

        A late announcement of a replaced incarnation is ignored. An
        incarnation that has announced that it is leaving stays so.
        """
        identity = (announcement.endpoint_id, announcement.incarnation)
        if identity in self.replaced:
            self.counters['announcements_of_replaced'] += 1
            return self.options.lease_s
        now = self.clock()
        known = self.by_id.get(announcement.endpoint_id)
        if known is None:
            self._add(announcement, now)
        elif known.announced.incarnation == announcement.incarnation:
            announcement.leaving |= known.announced.leaving
            known.announced = announcement
            known.connections.limit = announcement.connections
            known.lease_until = now + self.options.lease_s
            known.announced_at = now
            known.suspect = False
        else:
            self._replace(known, announcement)
            self._add(announcement, now)
        self.on_change()
        return self.options.lease_s

    def expire(self) -> None:
        """Remove idle endpoints one lease duration after their lease ended."""
        now = self.clock()
        for endpoint in list(self.by_id.values()):
            idle = endpoint.busy == 0 and not endpoint.accepts_new_tasks(now)
            if idle and now > endpoint.lease_until + self.options.lease_s:
                del self.by_id[endpoint.announced.endpoint_id]
                self._retire(endpoint)
        # No announcement arrives more than 60 s late.
        old = [x for x, at in self.replaced.items() if now > at + 60]
        for identity in old:
            del self.replaced[identity]

    def serving(self) -> Iterator[Endpoint]:
        """Yield the endpoints that may get new tasks."""
        now = self.clock()
        return (x for x in self.by_id.values() if x.accepts_new_tasks(now))

    def free_kinds(self) -> set[str]:
        """Return the kinds of which a task can be started now."""
        now = self.clock()
        return {
            kind
            for endpoint in self.by_id.values()
            if endpoint.is_free(now)
            for kind in endpoint.announced.kinds
        }

    def pick(self, kind: str, size: int) -> Endpoint | None:
        """Return the free endpoint with the smallest share of busy slots."""
        now = self.clock()
        free = [
            endpoint
            for endpoint in self.by_id.values()
            if endpoint.is_free(now) and endpoint.supports(kind, size)
        ]
        return min(free, key=lambda x: x.busy / x.slots, default=None)

    def any_supports(self, kind: str, size: int) -> bool:
        """Whether an endpoint with a lease accepts this kind and size."""
        return any(x.supports(kind, size) for x in self.serving())

    def any_reachable_supports(self, kind: str, size: int) -> bool:
        """Like `any_supports`, without endpoints that refused a connection."""
        return any(
            x.supports(kind, size) for x in self.serving() if not x.suspect
        )

    def serves_kind(self, kind: str) -> bool:
        """Whether an endpoint with a lease serves this kind."""
        return any(kind in x.announced.kinds for x in self.serving())

    @property
    def slots(self) -> int:
        """Total slots of the endpoints that may get new tasks."""
        return sum(endpoint.slots for endpoint in self.serving())

    @property
    def speed(self) -> float:
        """Mean speed, weighted by slots; 1.0 if there are none."""
        work = sum(x.speed.speed * x.slots for x in self.serving())
        return work / self.slots if self.slots else 1.0

    def loads(self) -> list[EndpointLoad]:
        """Return the load of each endpoint for `LoadReport`."""
        now = self.clock()
        return [
            EndpointLoad(
                x.announced.endpoint_id,
                list(x.announced.kinds),
                x.slots,
                x.busy,
                round(x.speed.speed, 3),
                x.accepts_new_tasks(now) and not x.suspect,
                x.announced.max_size,
            )
            for x in self.by_id.values()
        ]

    async def close(self) -> None:
        """Close all connections."""
        await asyncio.gather(*self.retiring)
        for endpoint in self.by_id.values():
            await endpoint.connections.close()

    def _add(self, announcement: Announcement, now: float) -> None:
        self.known_kinds.update(announcement.kinds)
        self.by_id[announcement.endpoint_id] = Endpoint(
            announcement,
            now + self.options.lease_s,
            now,
            Connections(
                announcement.connections,
                self.options.connect_timeout_s,
                self.options.keepalive_s,
            ),
            self.make_speed(),
            asyncio.get_running_loop().create_future(),
        )

    def _replace(self, known: Endpoint, announcement: Announcement) -> None:
        known.current = False
        self._retire(known)
        old = known.announced
        self.replaced[old.endpoint_id, old.incarnation] = self.clock()
        # At another address, the old incarnation may still be finishing its
        # calls. At the same address, it must have ended.
        if old.address == announcement.address:
            known.superseded.set_result(None)

    def _retire(self, endpoint: Endpoint) -> None:
        task = asyncio.create_task(endpoint.connections.retire())
        self.retiring.add(task)
        task.add_done_callback(self.retiring.discard)
