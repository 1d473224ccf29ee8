"""Split of the customers' limits over the entries."""

from collections.abc import Collection
from dataclasses import dataclass

from limpetlanding.wire import ShareGrant, ShareRequest, ShareReturn

LEASE_MS = 5000


@dataclass(slots=True)
class _Grant:
    grant_id: str
    peer: str
    amount: int
    ends_at: float


class ShareLedger:
    """Shares of one entry, for all customers.

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
    """

    def __init__(
        self,
        node: str,
        incarnation: str,
        now: float,
        lease_ms: float = LEASE_MS,
    ) -> None:
        self.node = node
        self.incarnation = incarnation
        self.lease_ms = lease_ms
        self.started_at = now
        self.members: tuple[str, ...] = (node,)
        self.limits: dict[str, int] = {}
        self.lent: dict[str, list[_Grant]] = {}
        self.borrowed: dict[str, list[_Grant]] = {}
        self.granted = 0

    def set_members(self, nodes: Collection[str], now: float) -> None:
        """Set the entries (including this one) that share the limits."""
        self.members = tuple(sorted({*nodes, self.node}))

    def set_limit(self, customer: str, limit: int, now: float) -> None:
        """Set the customer's limit over all entries, from its contract."""
        self.limits[customer] = limit

    def peer_answered(self, peer: str, now: float) -> None:
        """Note that a peer has told what this node lent to it."""

    def share(self, customer: str, now: float) -> int:
        """Return the part of the limit that this entry may use now."""
        total = self._base(customer)
        total -= sum(g.amount for g in self._live(self.lent, customer, now))
        total += sum(g.amount for g in self._live(self.borrowed, customer, now))
        return max(0, total)

    def request(
        self, customer: str, in_use: int, now: float
    ) -> tuple[str, ShareRequest] | None:
        """Return whom to ask for how much, or None if nothing is needed."""
        if in_use < self.share(customer, now) or len(self.members) < 2:
            return None
        peers = [x for x in self.members if x != self.node]
        amount = max(1, self._base(customer) // 4)
        return peers[0], ShareRequest(customer, amount)

    def on_request(
        self, borrower: str, request: ShareRequest, in_use: int, now: float
    ) -> ShareGrant:
        """Lend what is asked for, as far as this entry does not need it."""
        customer = request.customer
        spare = self.share(customer, now) - in_use
        amount = max(0, min(request.amount, spare))
        self.granted += 1
        grant_id = f'{self.incarnation}.{self.granted}'
        grant = _Grant(grant_id, borrower, amount, now + self.lease_ms / 1000)
        self.lent.setdefault(customer, []).append(grant)
        return ShareGrant(customer, amount, self.lease_ms, grant_id)

    def on_grant(self, lender: str, grant: ShareGrant, asked_at: float) -> None:
        """Take a grant; its lease runs from when the request was sent."""
        grants = self.borrowed.setdefault(grant.customer, [])
        if any(x.grant_id == grant.grant_id for x in grants):
            return
        ends_at = asked_at + grant.lease_ms / 1000
        grants.append(_Grant(grant.grant_id, lender, grant.amount, ends_at))

    def give_back(
        self, customer: str, in_use: int, now: float
    ) -> list[tuple[str, ShareReturn]]:
        """Stop using grants that are no longer needed; tell the lenders."""
        returns = []
        for grant in self._live(self.borrowed, customer, now):
            if self.share(customer, now) - grant.amount < in_use:
                break
            self.borrowed[customer].remove(grant)
            returns.append((grant.peer, ShareReturn(customer, grant.grant_id)))
        return returns

    def on_return(self, borrower: str, returned: ShareReturn) -> None:
        """Use a lent share again."""
        grants = self.lent.get(returned.customer, [])
        self.lent[returned.customer] = [
            x for x in grants if x.grant_id != returned.grant_id
        ]

    def _base(self, customer: str) -> int:
        limit = self.limits.get(customer, 0)
        count = len(self.members)
        rank = self.members.index(self.node)
        return limit // count + (rank < limit % count)

    def _live(
        self, grants: dict[str, list[_Grant]], customer: str, now: float
    ) -> list[_Grant]:
        live = [x for x in grants.get(customer, ()) if x.ends_at > now]
        if customer in grants:
            grants[customer] = live
        return list(live)
