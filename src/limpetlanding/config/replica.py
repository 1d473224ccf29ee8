"""Replica of the configuration with the interface that the roles use."""

import asyncio
from collections.abc import Callable
from typing import Any

from limpetlanding.config.reader import ConfigReader
from limpetlanding.config.replication import Replication
from limpetlanding.config.store import ConfigStore
from limpetlanding.contracts import Contract
from limpetlanding.logservice import LogClient
from limpetlanding.settings import Settings
from limpetlanding.wire import Channel
from limpetlanding.wire.job_messages import ConfigRequest


class Replica:
    """Store and replication of the configuration; log reader in an entry.

    Parameters
    ----------
    settings : Settings
        Settings of the process. Without ``log``, the replica gets the
        configuration only from peers.
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
        """Return the digest of all versions, which heartbeats carry."""
        return self.store.digest

    def loaded(self) -> bool:
        """Return whether the configuration was received at least once."""
        return self.store.informed

    def status(self) -> dict[str, Any]:
        """Return the part of ``/statusz`` on the configuration."""
        return dict(self.replication.status())

    def heartbeat(self, channel: Channel, digest: int) -> None:
        """Compare a peer's digest with the own; fetch missing versions."""
        self.replication.on_heartbeat(channel, digest)

    async def handle(self, channel: Channel, message: Any) -> Any:
        """Answer a request for configuration, and nothing else."""
        if isinstance(message, ConfigRequest):
            return self.replication.answer(message)
        return None

    async def run(self, reads_log: Callable[[], bool]) -> None:
        """Keep the replica current until cancelled.

        Parameters
        ----------
        reads_log : callable
            Returns whether this entry is one of the log readers now.
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
