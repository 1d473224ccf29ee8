"""Job ids minted from the blocks that agents hand out."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from itertools import repeat

from limpetlanding.jobs import JobId, mint_job_id
from limpetlanding.wire import IdBlock

BLOCK_IDS = 1024
"""About a second of ids at the planned peak of one region, per agent."""

BLOCK_MAX_AGE_S = 60
"""Ids older than this are not handed out, since the coordinator's window of
sequence numbers moves on and would answer them as expired."""


@dataclass(slots=True)
class _Block:
    first: int
    end: int
    secret: bytes
    added_at: float


class Mint:
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
        self.blocks: dict[str, deque[_Block]] = {}
        self.near: deque[str] = deque()
        self.far: deque[str] = deque()

    def add_agent(self, incarnation: str, failure_domain: str) -> None:
        """Take ids of this agent from now on."""
        if incarnation in self.blocks:
            return
        self.blocks[incarnation] = deque()
        near = failure_domain == self.own_domain
        (self.near if near else self.far).append(incarnation)

    def drop_agent(self, incarnation: str) -> None:
        """Forget the blocks of an agent that is gone or is stopping."""
        if self.blocks.pop(incarnation, None) is None:
            return
        turn = self.near if incarnation in self.near else self.far
        turn.remove(incarnation)

    def add_block(self, block: IdBlock, now: float) -> None:
        """Store a block; `now` is in monotonic seconds."""
        blocks = self.blocks.get(block.incarnation)
        if blocks is not None and block.count > 0:
            end = block.first + block.count
            blocks.append(_Block(block.first, end, block.secret, now))

    def left(self, incarnation: str, now: float) -> int:
        """Return how many ids of an agent can still be handed out."""
        blocks = self.blocks.get(incarnation, deque())
        while blocks and (
            blocks[0].first >= blocks[0].end
            or now - blocks[0].added_at > BLOCK_MAX_AGE_S
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
        for turn in (self.near, self.far):
            for _ in repeat(None, len(turn)):
                incarnation = turn[0]
                turn.rotate(-1)
                if usable(incarnation) and self.left(incarnation, now):
                    return self._take(incarnation, customer)
        return None

    def _take(self, incarnation: str, customer: str) -> JobId:
        block = self.blocks[incarnation][0]
        sequence = block.first
        block.first += 1
        return mint_job_id(incarnation, sequence, customer, block.secret)
