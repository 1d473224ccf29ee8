"""Job ids minted from the blocks that agents hand out."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from itertools import repeat

from limpetlanding.jobs import JobId, mint_job_id
from limpetlanding.wire import IdBlock

BLOCK_IDS = 1024
"""About a second of ids at the planned peak of one region, per agent."""

MAX_BLOCK_AGE_S = 60
"""Ids older than this are not handed out, since the coordinator's window of
sequence numbers moves on and would answer them as expired."""


@dataclass(slots=True)
class _StoredBlock:
    first: int
    end: int
    secret: bytes
    added_at: float


class IdPool:
    """Id blocks of one entry, by incarnation of the coordinator.

    Ids come from agents in the entry's own failure domain as long as one of
    them is usable, and from each agent in turn.

    Parameters
    ----------
    own_domain : str
        Failure domain of the entry.
    """

    def __init__(self, own_domain: str) -> None:
        self.own_domain = own_domain
        self.blocks: dict[str, deque[_StoredBlock]] = {}
        self.local_agents: deque[str] = deque()
        self.remote_agents: deque[str] = deque()

    def add_agent(self, incarnation: str, failure_domain: str) -> None:
        """Take ids of this agent from now on."""
        if incarnation in self.blocks:
            return
        self.blocks[incarnation] = deque()
        is_local = failure_domain == self.own_domain
        (self.local_agents if is_local else self.remote_agents).append(
            incarnation
        )

    def remove_agent(self, incarnation: str) -> None:
        """Forget the blocks of an agent that is gone or is stopping."""
        if self.blocks.pop(incarnation, None) is None:
            return
        rotation = (
            self.local_agents
            if incarnation in self.local_agents
            else self.remote_agents
        )
        rotation.remove(incarnation)

    def add_block(self, block: IdBlock, now: float) -> None:
        """Store a block; `now` is in monotonic seconds."""
        blocks = self.blocks.get(block.incarnation)
        if blocks is not None and block.count > 0:
            end = block.first + block.count
            blocks.append(_StoredBlock(block.first, end, block.secret, now))

    def remaining_ids(self, incarnation: str, now: float) -> int:
        """Return how many ids of an agent can still be handed out."""
        blocks = self.blocks.get(incarnation, deque())
        while blocks and (
            blocks[0].first >= blocks[0].end
            or now - blocks[0].added_at > MAX_BLOCK_AGE_S
        ):
            blocks.popleft()
        return sum(block.end - block.first for block in blocks)

    def mint(
        self, customer: str, usable: Callable[[str], bool], now: float
    ) -> JobId | None:
        """Return a fresh id for `customer`, or None if there is none.

        Parameters
        ----------
        customer : str
            The only customer that may use the id.
        usable : callable
            Tells by incarnation whether an agent may get new jobs; one that
            is suspect or stopping may not.
        now : float
            Monotonic seconds.
        """
        for rotation in (self.local_agents, self.remote_agents):
            for _ in repeat(None, len(rotation)):
                incarnation = rotation[0]
                rotation.rotate(-1)
                if usable(incarnation) and self.remaining_ids(incarnation, now):
                    return self._next_id(incarnation, customer)
        return None

    def _next_id(self, incarnation: str, customer: str) -> JobId:
        block = self.blocks[incarnation][0]
        sequence = block.first
        block.first += 1
        return mint_job_id(incarnation, sequence, customer, block.secret)
