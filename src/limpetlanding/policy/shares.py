"""Split of the customers' limits over the entries."""

from collections.abc import Collection
from dataclasses import dataclass

from limpetlanding.wire import ShareGrant, ShareRequest, ShareReturn

LEASE_MS = 5000

LENDER_MARGIN = 1.01
"""The lender counts its lease 1% longer; clock rates differ by far less."""

BORROWER_PART = 0.8
"""The borrower admits nothing in the last fifth of a lease (1 s), so that the
common tasks that it has admitted end before the lender uses its share again."""

CHUNK = 0.25
"""A request asks for at least this part of the own base share: asking for
single tasks cost one round trip for each job."""


@dataclass(slots=True)
class _Grant:
    """Part of a share lent or borrowed until `ends_at`."""

    grant_id: str
    peer: str
    amount: int
    ends_at: float


class ShareLedger:
    """Shares of one entry, for all customers.

    Each entry has a base share of every limit, from the sorted list of the
    entries. It lends what it does not use of its base share under a lease;
    it shrinks when it answers the request, and the borrower grows when the
    answer arrives. Every lapse is checked at the time of use against the
    monotonic clock, so an entry that was paused finds its borrowed shares
    lapsed. The lease runs from the answer at the lender and from the earlier
    sending of the request at the borrower.

    Overshoot: as long as all entries have the same list of entries and the
    same limit, the shares of all entries add up to at most the limit at any
    moment, through crashes, pauses and lost, late or repeated messages.
    What can exceed it:

    - Running tasks: those admitted under a borrowed share and still running
      when its lease ends (at most the lent shares), and those of a crashed
      entry (at most its share at the crash), until they end.
    - An entry that joins while others have lent more than their new, smaller
      base share: at most the difference, for one lease.
    - A limit that is lowered: at most the difference until all entries have
      it, and for what is lent one lease longer.
    - An entry that has been alone since its start takes the whole limit
      after one lease, as it cannot tell this from being the only one.

    Parameters
    ----------
    node : str
        Name of this entry.
    incarnation : str
        Incarnation of this entry; makes the grant ids unique.
    now : float
        Monotonic seconds at the start of the process.
    lease_ms : float
        Time for which a grant holds.
    await_peers : bool
        Start without a share until all known peers have answered or one
        lease has passed: a former incarnation may have lent its share.
    """

    def __init__(
        self,
        node: str,
        incarnation: str,
        now: float,
        lease_ms: float = LEASE_MS,
        await_peers: bool = False,
    ) -> None:
        self.node = node
        self.incarnation = incarnation
        self.lease_ms = lease_ms
        self.ready_at = now
        if await_peers:
            self.ready_at = now + lease_ms * LENDER_MARGIN / 1000
        self.members: tuple[str, ...] = (node,)
        self.answered: set[str] = set()
        self.incarnations: dict[str, str] = {}
        self.limits: dict[str, int] = {}
        self.lent: dict[str, list[_Grant]] = {}
        self.borrowed: dict[str, list[_Grant]] = {}
        self.granted = 0
        self.asked = 0

    def set_members(self, nodes: Collection[str], now: float) -> None:
        """Set the entries (including this one) that share the limits.

        An entry is taken off the list only once it has been gone for a
        lease, as the others grow at once.
        """
        self.members = tuple(sorted({*nodes, self.node}))
        self._note_ready(now)

    def set_limit(self, customer: str, limit: int, now: float) -> None:
        """Set the customer's limit over all entries, from its contract."""
        self.limits[customer] = limit

    def peer_started(self, peer: str, incarnation: str) -> None:
        """Note a peer's incarnation; what a former one has lent is void.

        To be called before the peer is sent anything, because any message
        tells it that its former shares are no longer used here.
        """
        self.incarnations[peer] = incarnation
        for grants in self.borrowed.values():
            for grant in grants:
                if grant.peer == peer and not _is_from(grant, incarnation):
                    grant.amount = 0

    def peer_answered(self, peer: str, now: float) -> None:
        """Note that a peer knows this incarnation; see `peer_started`."""
        self.answered.add(peer)
        self._note_ready(now)

    def ready(self, now: float) -> bool:
        """Tell whether this entry has its share."""
        return now >= self.ready_at

    def share(self, customer: str, now: float) -> int:
        """Return the part of the limit that this entry may use now."""
        if not self.ready(now):
            return 0
        borrowed = _total(self._live(self.borrowed, customer, now))
        return max(0, self._unlent(customer, now) + borrowed)

    def request(
        self, customer: str, wanted: int, now: float
    ) -> tuple[str, ShareRequest] | None:
        """Return whom to ask for how much.

        None if `wanted` tasks fit into the share already, or if there is
        nobody to ask. Peers are asked in turn.
        """
        missing = wanted - self.share(customer, now)
        peers = [x for x in self.members if x != self.node]
        if missing <= 0 or not peers:
            return None
        self.asked += 1
        chunk = int(self._base(customer) * CHUNK)
        peer = peers[self.asked % len(peers)]
        return peer, ShareRequest(customer, max(missing, chunk))

    def on_request(
        self, borrower: str, request: ShareRequest, in_use: int, now: float
    ) -> ShareGrant:
        """Lend what is asked for, as far as this entry does not need it.

        Only the base share is lent: a borrowed one lapses earlier than the
        lease that this entry would give on it.
        """
        customer = request.customer
        spare = self.share(customer, now) - in_use
        amount = min(request.amount, spare, self._unlent(customer, now))
        if amount <= 0:
            return ShareGrant(customer, 0, self.lease_ms)
        self.granted += 1
        grant_id = f'{self.incarnation}.{self.granted}'
        ends_at = now + self.lease_ms * LENDER_MARGIN / 1000
        grant = _Grant(grant_id, borrower, amount, ends_at)
        self.lent.setdefault(customer, []).append(grant)
        return ShareGrant(customer, amount, self.lease_ms, grant_id)

    def on_grant(self, lender: str, grant: ShareGrant, asked_at: float) -> None:
        """Take a grant; its lease runs from when the request was sent."""
        ends_at = asked_at + grant.lease_ms * BORROWER_PART / 1000
        taken = _Grant(grant.grant_id, lender, grant.amount, ends_at)
        known = self.incarnations.get(lender)
        if known is not None and not _is_from(taken, known):
            return
        grants = self.borrowed.setdefault(grant.customer, [])
        if all(x.grant_id != grant.grant_id for x in grants):
            grants.append(taken)

    def return_unused(
        self, customer: str, in_use: int, now: float
    ) -> list[tuple[str, ShareReturn]]:
        """Stop using grants that are no longer needed; tell the lenders."""
        returns = []
        for grant in self._live(self.borrowed, customer, now):
            left = self.share(customer, now) - grant.amount
            if grant.amount and left >= in_use:
                # Kept with nothing in it until its lease ends, so that a
                # repeated answer does not bring it back.
                grant.amount = 0
                returned = ShareReturn(customer, grant.grant_id)
                returns.append((grant.peer, returned))
        return returns

    def on_return(self, borrower: str, returned: ShareReturn) -> None:
        """Use a lent share again."""
        grants = self.lent.get(returned.customer, [])
        self.lent[returned.customer] = [
            x for x in grants if x.grant_id != returned.grant_id
        ]

    def _note_ready(self, now: float) -> None:
        peers = set(self.members) - {self.node}
        if peers and peers <= self.answered:
            self.ready_at = min(self.ready_at, now)

    def _base(self, customer: str) -> int:
        limit = self.limits.get(customer, 0)
        size = len(self.members)
        rank = self.members.index(self.node)
        return limit // size + (rank < limit % size)

    def _unlent(self, customer: str, now: float) -> int:
        lent = _total(self._live(self.lent, customer, now))
        return self._base(customer) - lent

    def _live(
        self, grants: dict[str, list[_Grant]], customer: str, now: float
    ) -> list[_Grant]:
        known = grants.get(customer)
        if not known:
            return []
        live = [x for x in known if x.ends_at > now]
        grants[customer] = live
        return live


def _total(grants: list[_Grant]) -> int:
    return sum(x.amount for x in grants)


def _is_from(grant: _Grant, incarnation: str) -> bool:
    return grant.grant_id.startswith(f'{incarnation}.')
