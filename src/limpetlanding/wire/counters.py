"""Counters of one node."""

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True)
class Traffic:
    """Messages and bytes by message tag, in one direction.

    Heartbeats are counted separately, because they do not depend on the load.
    """

    messages: Counter[str] = field(default_factory=Counter)
    byte_counts: Counter[str] = field(default_factory=Counter)
    heartbeats: int = 0
    heartbeat_bytes: int = 0

    def add(self, tag: str, byte_count: int) -> None:
        """Count one frame of `byte_count` bytes."""
        if tag == 'hb':
            self.heartbeats += 1
            self.heartbeat_bytes += byte_count
            return
        self.messages[tag] += 1
        self.byte_counts[tag] += byte_count


@dataclass(slots=True)
class Counters:
    """Traffic and events of one node.

    Parameters
    ----------
    sent, received : Traffic
        Frames sent and received.
    events : Counter
        Number of occurrences of each unusual event, by name, such as
        ``replies_dropped`` or ``links_silent``.
    """

    sent: Traffic = field(default_factory=Traffic)
    received: Traffic = field(default_factory=Traffic)
    events: Counter[str] = field(default_factory=Counter)
