"""Interface of the replica of the configuration."""

from collections.abc import Callable
from typing import Any, Protocol

from limpetlanding.wire import Channel


class ReplicaInterface(Protocol):
    """The methods of a replica of the configuration that a role calls.

    See Also
    --------
    limpetlanding.config.replica.Replica : The replica that roles use.
    """

    def digest(self) -> int:
        """Return the digest over all versions, for heartbeats."""

    def loaded(self) -> bool:
        """Return whether any configuration is known."""

    def status(self) -> dict[str, Any]:
        """Return the fields of ``/statusz`` on the configuration."""

    def heartbeat(self, channel: Channel, digest: int) -> None:
        """Compare a peer's digest and fetch the missing records."""

    async def handle(self, channel: Channel, message: Any) -> Any:
        """Serve a message of the configuration exchange."""

    async def run(self, reads_log: Callable[[], bool]) -> None:
        """Keep the replica current until cancelled."""
