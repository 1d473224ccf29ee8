"""Replica of the configuration as the roles use it."""

import asyncio
from collections.abc import Callable
from typing import Any

from limpetlanding.config.reader import ConfigReader
from limpetlanding.config.replication import Replication
from limpetlanding.config.store import ConfigStore
from limpetlanding.contracts import Contract
from limpetlanding.logservice import LogClient
from limpetlanding.settings import Settings
from limpetlanding.wire import Channel, ConfigRequest


class Replica:
    """Store, replication and, at an entry, the reading of the log.

    Parameters
    ----------
    settings : Settings
        Settings of the process; without ``log`` it only pulls from peers.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.store = ConfigStore()
        self.replication = Replication(self.store)

    def contract(self, customer: str) -> Contract | None:
        """Return the contract in force for a customer."""
        return self.store.contract(customer)

    def customer_of_key(self, key_hash: str) -> str | None:
        """Return the customer whose contract lists this key hash."""
        return self.store.customer_of(key_hash)

    def digest(self) -> int:
        """Return the digest over all versions, for heartbeats."""
        return self.store.digest

    def loaded(self) -> bool:
        """Tell whether any configuration is known."""
        return self.store.informed

    def status(self) -> dict[str, Any]:
        """Return what ``/statusz`` tells of the configuration."""
        return dict(self.replication.status())

    def heartbeat(self, channel: Channel, digest: int) -> None:
        """Compare a peer's digest and fetch what is missing."""
        self.replication.on_heartbeat(channel, digest)

    async def handle(self, channel: Channel, message: Any) -> Any:
        """Serve a message of the configuration exchange."""
        if isinstance(message, ConfigRequest):
            return self.replication.answer(message)
        return None

    async def run(self, reads_log: Callable[[], bool]) -> None:
        """Keep the replica current until cancelled.

        Parameters
        ----------
        reads_log : callable
            Whether this entry is one of those that read the log now.
        """
        log = self.settings.log
        try:
            if log is None:
                await asyncio.Event().wait()
            else:
                await self._read(reads_log)
        finally:
            await self.replication.stop()

    async def _read(self, reads_log: Callable[[], bool]) -> None:
        settings = self.settings.log
        async with LogClient(
            settings.url, settings.stream, settings.timeout_ms
        ) as log:
            reader = ConfigReader(
                self.store, log, self.settings.node, settings.retention_s
            )
            await reader.run(reads_log)
