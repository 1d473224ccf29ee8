"""Minting of job ids from blocks of ids that agents allocate."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from itertools import repeat

from limpetlanding.jobs import JobId, mint_job_id
from limpetlanding.wire.job_messages import IdBlock

BLOCK_IDS = 1024
"""Ids per requested block: about one second of ids per agent at the planned
peak of one region."""

MAX_BLOCK_AGE_S = 60
"""Ids of older blocks are not used: the coordinator's window of sequence
numbers has moved on by then, and it would answer them as expired."""


@dataclass(slots=True)
class _StoredBlock:
    first: int
    end: int
    secret: bytes
    added_at: float


class IdPool:
    """Blocks of job ids of one entry, by the incarnation of their agent.

    Ids are minted from the usable agents in the entry's own failure domain
    in round-robin order, and from agents in other failure domains only if
    none of those has ids.

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
        """Accept id blocks of this agent from now on."""
        if incarnation in self.blocks:
            return
        self.blocks[incarnation] = deque()
        is_local = failure_domain == self.own_domain
        (self.local_agents if is_local else self.remote_agents).append(
            incarnation
        )

    def remove_agent(self, incarnation: str) -> None:
        """Discard the blocks of an agent that is gone or stopping."""
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
        """Return how many ids of an agent can still be minted."""
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
        """Return an unused id for `customer`, or None if none is available.

        Parameters
        ----------
        customer : str
            The only customer that may use the id.
        usable : callable
            Takes an incarnation and tells whether the agent may get new
            jobs; a suspect or stopping agent may not.
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
