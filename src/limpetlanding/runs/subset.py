"""Chooses the workers that a front keeps links to.

A front uses a subset of the fleet, so that its links and the messages on them
do not grow with the fleet. Rendezvous hashing selects the subset: a worker that
joins or leaves changes few subsets by one member, and a front that restarts
finds the same workers again.

The decisions answer two loads: a fleet of any size in steady state, and a front
whose subset is full beside a fleet that is not, as after the loss of many
fronts or during a burst at one front.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from hashlib import blake2b
from math import inf

BASE_SIZE = 32
"""Number of workers in a subset. Fewer make it likely that all of them are busy
while others are free."""

MAX_SIZE = 64
"""Largest subset, during a shortage."""

GROWTH = 8
"""Number of workers that a shortage adds at a time."""

GROWTH_INTERVAL_S = 1
"""Shortest time between two additions; new links need some 10 ms to help."""

SHRINK_DELAY_S = 10
"""Time without a shortage after which a subset has its normal size again."""

LINK_PATIENCE_S = 1
"""A worker without a link for this long is replaced by the next one. A process
that restarts takes less."""

RETRY_DELAY_S = 2
"""Time until a replaced worker is tried again."""


@dataclass(slots=True, eq=False)
class Candidate:
    """A worker as the choice sees it.

    Parameters
    ----------
    address : str
        ``host:port`` of the worker.
    failure_domain : str
        Failure domain; empty if unknown.
    rank : bytes
        Hash of the front and the worker; lower ones are preferred.
    unlinked_since : float
        When the front began to dial or lost the link, in monotonic seconds.
    left_out_until : float
        Until then the worker is not chosen, in monotonic seconds.
    """

    address: str
    failure_domain: str
    rank: bytes
    unlinked_since: float = inf
    left_out_until: float = -inf


@dataclass(slots=True)
class SubsetChange:
    """Addresses of the workers to dial, and of those to release."""

    dial: list[str] = field(default_factory=list)
    release: list[str] = field(default_factory=list)


class WorkerSubset:
    """Workers that one front uses.

    Parameters
    ----------
    front : str
        Name of the front.
    failure_domain : str
        Failure domain of the front; half of the subset is in it if possible.
    base_size : int
        Number of workers in normal operation.

    Examples
    --------
    >>> subset = WorkerSubset('front-1', 'a', base_size=2)
    >>> for number in range(4):
    ...     _ = subset.add(f'10.0.0.{number}:7000', 'a')
    >>> change = subset.update(0, linked=(), shortage=False)
    >>> len(change.dial), change.release
    (2, [])
    """

    def __init__(
        self, front: str, failure_domain: str, base_size: int = BASE_SIZE
    ) -> None:
        self.front = front
        self.failure_domain = failure_domain
        self.base_size = base_size
        self.size = base_size
        self.grown_at = -inf
        self.shortage_at = -inf
        self.candidates: dict[str, Candidate] = {}
        # Addresses that the front dials or is linked to at its own wish.
        self.members: set[str] = set()

    def add(self, address: str, failure_domain: str) -> bool:
        """Record a worker; return whether its address is new."""
        known = self.candidates.get(address)
        if known is not None:
            known.failure_domain = failure_domain or known.failure_domain
            if known.left_out_until == inf:
                known.left_out_until = -inf
            return False
        rank = blake2b(f'{self.front} {address}'.encode(), digest_size=8)
        self.candidates[address] = Candidate(
            address, failure_domain, rank.digest()
        )
        return True

    def update(
        self, now: float, linked: Collection[str], shortage: bool
    ) -> SubsetChange:
        """Decide which workers to dial and which to release.

        A worker that is not chosen any more is released once all chosen ones
        have a link.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        linked : collection of str
            Addresses of the workers that have a link to this front.
        shortage : bool
            Whether tasks wait because no worker of the subset has room.
        """
        self._adapt_size(now, shortage)
        for address in self.members:
            self._record_link(self.candidates[address], now, address in linked)
        chosen = {
            candidate.address
            for candidate in choose(
                (
                    candidate
                    for candidate in self.candidates.values()
                    if candidate.left_out_until <= now
                ),
                self.failure_domain,
                self.size,
            )
        }
        change = SubsetChange(dial=sorted(chosen - self.members))
        surplus = self.members - chosen
        if chosen <= set(linked):
            change.release = sorted(surplus)
        else:
            change.release = sorted(surplus.difference(linked))
        for address in change.dial:
            self.candidates[address].unlinked_since = now
        self.members |= chosen
        return change

    def forget(self, address: str) -> None:
        """Remove a worker whose record names another address now."""
        candidate = self.candidates.get(address)
        if candidate is not None:
            candidate.left_out_until = inf

    def released(self, address: str) -> None:
        """Record that the front neither dials a worker nor has a link to it."""
        self.members.discard(address)

    def _adapt_size(self, now: float, shortage: bool) -> None:
        if shortage:
            self.shortage_at = now
            if now - self.grown_at >= GROWTH_INTERVAL_S:
                self.grown_at = now
                limit = max(self.base_size, MAX_SIZE)
                self.size = min(self.size + GROWTH, limit)
        elif now - self.shortage_at >= SHRINK_DELAY_S:
            self.size = self.base_size

    def _record_link(
        self, candidate: Candidate, now: float, linked: bool
    ) -> None:
        if linked:
            candidate.unlinked_since = inf
            return
        candidate.unlinked_since = min(candidate.unlinked_since, now)
        if now - candidate.unlinked_since >= LINK_PATIENCE_S:
            candidate.left_out_until = max(
                candidate.left_out_until, now + RETRY_DELAY_S
            )
            candidate.unlinked_since = inf


def choose(
    candidates: Iterable[Candidate], failure_domain: str, size: int
) -> list[Candidate]:
    """Return the workers of a subset, those of the own failure domain first.

    Up to half of them are taken from the own failure domain, the others from
    the whole fleet.
    """
    ranked = sorted(candidates, key=lambda x: x.rank)
    near = [x for x in ranked if x.failure_domain == failure_domain]
    chosen = near[: size // 2]
    others = [x for x in ranked if x not in chosen]
    return chosen + others[: size - len(chosen)]
