"""Exchange of configuration between the replicas of processes."""

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any
from weakref import WeakKeyDictionary

from loguru import logger

from limpetlanding.config.store import ConfigStore, UnacceptableRecord
from limpetlanding.errors import LimpetlandingError
from limpetlanding.wire import Channel, Node
from limpetlanding.wire.job_messages import ConfigRecords, ConfigRequest

# Largest random delay of a request, so that replicas which learn of a change
# at the same moment do not all ask at once.
MAX_JITTER_S = 0.2
# Shortest time between two pulls, so that one pull fetches many changes.
MIN_PULL_INTERVAL_S = 1.0
REQUEST_TIMEOUT_S = 2.0
# Shortest time between two requests to entries for the age of their
# configuration.
PROBE_INTERVAL_S = 5.0
# Only entries read the log. Peers of other roles are asked only if the own
# configuration was not confirmed for this long, because they may then have
# newer versions.
STALE_S = 30.0

_ENTRY_ROLE = 'entry'


class Replication:
    """Fetches missing versions from peers whose digest differs.

    Parameters
    ----------
    store : ConfigStore
        Store of this process.
    clock : callable, optional
        Monotonic time in seconds; the clock of the loop by default.
    rng : Random, optional
        Source of the jitter of requests.
    """

    def __init__(
        self,
        store: ConfigStore,
        clock: Callable[[], float] | None = None,
        rng: Random | None = None,
    ) -> None:
        self.store = store
        self.clock = clock or asyncio.get_running_loop().time
        self.rng = rng or Random()
        self.task: asyncio.Task[None] | None = None
        self.last_pull = -MIN_PULL_INTERVAL_S
        self.last_probe = -PROBE_INTERVAL_S
        # For each peer, the pair of digests (the peer's, the own) at which it
        # had nothing newer. Asking again at these would bring nothing.
        self.nothing_newer: WeakKeyDictionary[Channel, tuple[int, int]] = (
            WeakKeyDictionary()
        )

    def attach(self, node: Node) -> None:
        """Send the digest on heartbeats of `node`; handle received ones."""
        node.config_digest = lambda: self.store.digest
        node.on_heartbeat = self.on_heartbeat

    def on_heartbeat(self, channel: Channel, digest: int) -> None:
        """Compare a peer's digest with the own one; pull if they differ."""
        if self.task is not None and not self.task.done():
            return
        if digest != self.store.digest:
            if self._may_have_newer(channel, digest):
                self._start(self._pull(channel, digest))
        elif channel.peer.role == _ENTRY_ROLE and self._is_probe_due():
            self._start(self._probe(channel))

    def answer(self, wanted: ConfigRequest) -> ConfigRecords:
        """Return the reply to a peer's request.

        It states the age of the configuration only if the digests are equal.
        """
        # A probe has a digest but no versions; it asks only for the age.
        is_probe = wanted.digest and not wanted.versions
        lacking = (
            [] if is_probe else self.store.missing_records(wanted.versions)
        )
        age_s = self.store.age_s(self.clock())
        if wanted.digest != self.store.digest or age_s is None:
            return ConfigRecords(lacking)
        return ConfigRecords(lacking, age_s)

    async def stop(self) -> None:
        """Stop a request in progress."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    def status(self) -> dict[str, object]:
        """Return the part of ``/statusz`` on the configuration."""
        return config_status(self.store, self.clock())

    def _start(self, request: Coroutine[Any, Any, None]) -> None:
        self.task = asyncio.create_task(request)

    def _may_have_newer(self, channel: Channel, digest: int) -> bool:
        if self.nothing_newer.get(channel) == (digest, self.store.digest):
            return False
        if channel.peer.role == _ENTRY_ROLE:
            return True
        age_s = self.store.age_s(self.clock())
        return age_s is None or age_s > STALE_S

    def _is_probe_due(self) -> bool:
        now = self.clock()
        if now < self.last_probe + PROBE_INTERVAL_S:
            return False
        age_s = self.store.age_s(now)
        return age_s is None or age_s > PROBE_INTERVAL_S

    async def _probe(self, channel: Channel) -> None:
        asked_at = self.clock()
        self.last_probe = asked_at
        digest = self.store.digest
        reply = await _request(channel, ConfigRequest({}, digest))
        if reply and reply.age_s >= 0 and digest == self.store.digest:
            self.store.mark_current(asked_at - reply.age_s)
            self.store.informed = True

    async def _pull(self, channel: Channel, digest: int) -> None:
        wait_s = self.last_pull + MIN_PULL_INTERVAL_S - self.clock()
        await asyncio.sleep(max(0, wait_s) + self.rng.uniform(0, MAX_JITTER_S))
        self.last_pull = self.clock()
        more = True
        while more and self.store.digest != digest:
            more = await self._pull_once(channel)
        if more is not None:
            self.nothing_newer[channel] = (digest, self.store.digest)
            if self.store.stored:
                self.store.informed = True

    async def _pull_once(self, channel: Channel) -> bool | None:
        # Returns whether the store changed, or None without an answer.
        wanted = ConfigRequest(self.store.vector(), self.store.digest)
        reply = await _request(channel, wanted)
        if reply is None:
            return None
        adopted = sum(self._adopt(item, channel) for item in reply.records)
        return adopted > 0

    def _adopt(self, encoded: bytes, channel: Channel) -> bool:
        try:
            return self.store.adopt(encoded)
        except UnacceptableRecord as error:
            logger.bind(step=error.step, peer=channel.peer.node).error(
                'record from peer refused: {}', error.detail
            )
            return False


async def _request(
    channel: Channel, wanted: ConfigRequest
) -> ConfigRecords | None:
    try:
        return await channel.request(wanted, REQUEST_TIMEOUT_S)
    except LimpetlandingError as error:
        logger.bind(step=error.step, peer=channel.peer.node).info(
            'configuration not fetched: {}', error.detail
        )
        return None


def config_status(store: ConfigStore, now: float) -> dict[str, object]:
    """Return the part of ``/statusz`` on the configuration.

    Parameters
    ----------
    now : float
        Time in seconds on the clock that ``store.mark_current`` gets.
    """
    return {
        'informed': store.informed,
        'config_age_s': store.age_s(now),
        'config_digest': f'{store.digest:014x}',
        'versions': {
            name: item.version for name, item in sorted(store.stored.items())
        },
        'unreadable': {
            name: {'version': item.version, 'rules': item.rules}
            for name, item in sorted(store.unreadable.items())
        },
        'shared_keys': sorted(
            {
                name
                for owners in store.owners.values()
                for name in owners
                if len(owners) > 1
            }
        ),
        'forks': store.forks,
        'records_refused': store.rejected,
    }
