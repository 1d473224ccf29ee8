"""Links of a worker to the fronts that its settings name.

The fronts choose their workers and dial them. A worker that too few fronts have
chosen, or that the store could not tell the fronts, dials the seeds itself.
"""

from limpetlanding.wire import Node

MIN_FRONTS = 2
"""Number of linked fronts below which a worker dials its seeds."""

ENOUGH_FRONTS = 4
"""Number of linked fronts from which on it needs none of its own links to
seeds; the difference avoids that it dials and releases them in turn."""


class SeedLinks:
    """Dials the seeds while too few fronts have a link to this worker.

    Parameters
    ----------
    node : Node
        Links of the worker.
    """

    def __init__(self, node: Node) -> None:
        self.node = node
        self.seeds: set[str] = set()
        self.is_dialing = False

    def add(self, addresses: list[str]) -> None:
        """Add seeds, for example from new settings."""
        self.seeds.update(addresses)
        if self.is_dialing:
            self._dial()

    def update(self) -> None:
        """Dial or release the seeds, as the number of linked fronts requires.

        A link with work in progress is kept.
        """
        fronts = self.node.connected('front')
        if len(fronts) < MIN_FRONTS:
            self.is_dialing = True
            self._dial()
        elif self.is_dialing and len(fronts) >= ENOUGH_FRONTS:
            self.is_dialing = False
            for address in self.seeds:
                self.node.stop_dialing(address)
            idle = (
                channel
                for channel in fronts
                if channel.peer.address in self.seeds and channel.is_idle
            )
            for channel in idle:
                # A seed that has chosen this worker dials it again.
                self.node.release(channel)

    def _dial(self) -> None:
        for address in self.seeds:
            self.node.keep_dialing(address)
