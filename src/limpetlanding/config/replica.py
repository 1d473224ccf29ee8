"""Configuration of one process: store, exchange with peers, log reader."""

import asyncio
import time
from collections.abc import Callable
from random import Random
from typing import Any

from limpetlanding.config.reader import ConfigReader
from limpetlanding.config.replication import Replication
from limpetlanding.config.store import ConfigStore
from limpetlanding.contracts import Contract
from limpetlanding.logservice import LogClient
from limpetlanding.settings import Settings
from limpetlanding.wire import Channel, ConfigWanted


class ConfigReplica:
    """What a role needs of the configuration.

    Parameters
    ----------
    settings : Settings
        Settings of the process. Without ``log`` it learns from peers only.
    wall : callable
        Wall clock in seconds since 1970, which times restatements.
    rng : Random, optional
        Source of the spread of requests.

    See Also
    --------
    ConfigStore : Contracts in force.
    Replication : Exchange with peers.
    ConfigReader : Reading of the log.
    """

    def __init__(
        self,
        settings: Settings,
        wall: Callable[[], float] = time.time,
        rng: Random | None = None,
    ) -> None:
        self.store = ConfigStore()
        self.replication = Replication(self.store, rng=rng)
        self.heartbeat = self.replication.on_heartbeat
        self.status = self.replication.status
        self.contract = self.store.contract
        self.customer_of_key = self.store.customer_of
        self.reader: ConfigReader | None = None
        if settings.log is not None:
            self.reader = ConfigReader(
                self.store,
                LogClient(
                    settings.log.url,
                    settings.log.stream,
                    settings.log.timeout_ms,
                    rng,
                ),
                settings.node,
                settings.log.retention_s,
                wall,
                rng,
            )

    def contracts(self) -> dict[str, Contract]:
        """Return the contracts in force by customer."""
        return {name: item.contract for name, item in self.store.stored.items()}

    def digest(self) -> int:
        """Return the digest over all versions, for heartbeats."""
        return self.store.digest

    def loaded(self) -> bool:
        """Tell whether the log or a peer has answered."""
        return self.store.informed

    async def handle(self, channel: Channel, message: Any) -> Any:
        """Serve a message of the configuration exchange."""
        if isinstance(message, ConfigWanted):
            return self.replication.answer(message)
        return None

    async def run(self, reads_log: Callable[[], bool]) -> None:
        """Read the log while `reads_log` holds, until cancelled.

        Parameters
        ----------
        reads_log : callable
            Whether this process is one of the readers now.
        """
        try:
            if self.reader is None:
                await asyncio.Event().wait()
            else:
                await self.reader.run(reads_log)
        finally:
            await self.replication.stop()
            if self.reader is not None:
                await self.reader.log.close()
