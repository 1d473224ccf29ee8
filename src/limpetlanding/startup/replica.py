"""Replica of the configuration as a role sees it."""

from collections.abc import Callable
from typing import Any, Protocol

from limpetlanding.wire import Channel


class ReplicaInterface(Protocol):
    """What a role needs of its replica of the configuration.

    See Also
    --------
    limpetlanding.config.replica.Replica : The replica that roles use.
    """

    def digest(self) -> int:
        """Return the digest over all versions, for heartbeats."""

    def loaded(self) -> bool:
        """Tell whether any configuration is known."""

    def status(self) -> dict[str, Any]:
        """Return what ``/statusz`` tells of the configuration."""

    def heartbeat(self, channel: Channel, digest: int) -> None:
        """Compare a peer's digest and fetch what is missing."""

    async def handle(self, channel: Channel, message: Any) -> Any:
        """Serve a message of the configuration exchange."""

    async def run(self, reads_log: Callable[[], bool]) -> None:
        """Keep the replica current until cancelled."""
