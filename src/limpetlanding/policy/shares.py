"""Split of the customers' limits among the entries."""

from collections.abc import Collection
from dataclasses import dataclass

from limpetlanding.wire.job_messages import (
    ShareGrant,
    ShareRequest,
    ShareReturn,
)

LEASE_MS = 5000

LENDER_MARGIN = 1.01
"""The lender waits 1% longer than the lease, so that it never uses a lent share
before the borrower has stopped. Clock rates differ by far less than 1%."""

BORROWER_LEASE_PART = 0.8
"""The borrower admits nothing under a grant in the last fifth of its lease
(1 s), so that typical tasks end before the lender uses its share again."""

MIN_REQUEST_PART = 0.25
"""A request asks for at least this part of the base share. Requests for single
tasks would cost one round trip for each job."""


@dataclass(slots=True)
class _Grant:
    """Part of a share lent to or borrowed from a peer.

    It ends at `ends_at`, in monotonic seconds.
    """

    grant_id: str
    peer: str
    amount: int
    ends_at: float


class ShareLedger:
    """Shares of one entry in the limits of all customers.

    Each entry computes its base share of every limit from the sorted list of
    the entries. It lends the unused part of its base share under a lease. The
    share of the lender shrinks when it answers the request, and that of the
    borrower grows when the answer arrives. The end of a lease is checked
    against the monotonic clock at each use, so that an entry that was
    suspended does not use expired grants. At the lender the lease starts when
    it answers, at the borrower already when it sends the request.

    As long as all entries have the same list of entries and the same limit,
    the sum of their shares never exceeds the limit. Crashes and suspensions
    of entries and lost, late or repeated messages do not change that. The
    limit can be exceeded in these cases:

    - Running tasks: tasks admitted under a borrowed share that still run when
      its lease ends (at most the lent shares), and tasks of a crashed entry
      (at most its share at the crash), until they end.
    - An entry joins while others have lent more than their new, smaller base
      share: at most by the difference, for one lease.
    - A limit is lowered: at most by the difference until all entries have the
      new limit, and one lease longer for lent shares.
    - An entry that has reached no other entry since its start uses the whole
      limit after one lease, as it cannot know that others exist.

    Parameters
    ----------
    node : str
        Name of this entry.
    incarnation : str
        Incarnation of this entry, which is part of the grant ids.
    now : float
        Monotonic seconds at the start of the process.
    lease_ms : float
        Lease of a grant.
    await_peers : bool
        Start without a share until all known peers have answered or one
        lease has passed, since a former incarnation may have lent its share.
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
        self.answered_peers: set[str] = set()
        self.incarnations: dict[str, str] = {}
        self.limits: dict[str, int] = {}
        self.lent: dict[str, list[_Grant]] = {}
        self.borrowed: dict[str, list[_Grant]] = {}
        self.grant_count = 0
        self.request_count = 0

    def set_members(self, nodes: Collection[str], now: float) -> None:
        """Set the entries (including this one) that share the limits.

        The caller must remove an entry only after it has been gone for one
        lease, as the shares of the other entries grow at once.
        """
        self.members = tuple(sorted({*nodes, self.node}))
        self._update_ready(now)

    def set_limit(self, customer: str, limit: int, now: float) -> None:
        """Set the customer's limit over all entries, from its contract."""
        self.limits[customer] = limit

    def peer_started(self, peer: str, incarnation: str) -> None:
        """Record the incarnation of a peer; drop grants of former ones.

        Must be called before anything is sent to the peer, because the peer
        concludes from any message that its former grants are not used here.
        """
        self.incarnations[peer] = incarnation
        for grants in self.borrowed.values():
            for grant in grants:
                if grant.peer == peer and not _is_issued_by(grant, incarnation):
                    grant.amount = 0

    def peer_answered(self, peer: str, now: float) -> None:
        """Record that a peer knows this incarnation; see `peer_started`."""
        self.answered_peers.add(peer)
        self._update_ready(now)

    def ready(self, now: float) -> bool:
        """Return whether this entry may use its share."""
        return now >= self.ready_at

    def share(self, customer: str, now: float) -> int:
        """Return the part of the limit that this entry may use now."""
        if not self.ready(now):
            return 0
        borrowed = _total(self._active(self.borrowed, customer, now))
        return max(0, self._unlent_share(customer, now) + borrowed)

    def request(
        self, customer: str, wanted: int, now: float
    ) -> tuple[str, ShareRequest] | None:
        """Return the next peer to ask, and the request to send to it.

        Returns None if the share already allows `wanted` tasks, or if there
        are no peers. Peers are asked in turn.
        """
        missing = wanted - self.share(customer, now)
        peers = [x for x in self.members if x != self.node]
        if missing <= 0 or not peers:
            return None
        self.request_count += 1
        min_amount = int(self._base_share(customer) * MIN_REQUEST_PART)
        peer = peers[self.request_count % len(peers)]
        return peer, ShareRequest(customer, max(missing, min_amount))

    def on_request(
        self, borrower: str, request: ShareRequest, in_use: int, now: float
    ) -> ShareGrant:
        """Lend the requested amount, or as much as this entry can spare.

        Only the base share is lent: a borrowed share expires before the
        lease that this entry would grant on it.
        """
        customer = request.customer
        spare = self.share(customer, now) - in_use
        amount = min(request.amount, spare, self._unlent_share(customer, now))
        if amount <= 0:
            return ShareGrant(customer, 0, self.lease_ms)
        self.grant_count += 1
        grant_id = f'{self.incarnation}.{self.grant_count}'
        ends_at = now + self.lease_ms * LENDER_MARGIN / 1000
        grant = _Grant(grant_id, borrower, amount, ends_at)
        self.lent.setdefault(customer, []).append(grant)
        return ShareGrant(customer, amount, self.lease_ms, grant_id)

    def on_grant(self, lender: str, grant: ShareGrant, asked_at: float) -> None:
        """Add a grant; its lease starts when the request was sent."""
        ends_at = asked_at + grant.lease_ms * BORROWER_LEASE_PART / 1000
        new_grant = _Grant(grant.grant_id, lender, grant.amount, ends_at)
        known = self.incarnations.get(lender)
        if known is not None and not _is_issued_by(new_grant, known):
            return
        grants = self.borrowed.setdefault(grant.customer, [])
        if all(x.grant_id != grant.grant_id for x in grants):
            grants.append(new_grant)

    def return_unused(
        self, customer: str, in_use: int, now: float
    ) -> list[tuple[str, ShareReturn]]:
        """Stop using unneeded grants; return the messages to the lenders.

        `in_use` is the number of tasks of the customer that are running.
        """
        returns = []
        for grant in self._active(self.borrowed, customer, now):
            left = self.share(customer, now) - grant.amount
            if grant.amount and left >= in_use:
                # The grant is kept with amount 0 until its lease ends, so
                # that a repeated answer does not add it again.
                grant.amount = 0
                returned = ShareReturn(customer, grant.grant_id)
                returns.append((grant.peer, returned))
        return returns

    def on_return(self, borrower: str, returned: ShareReturn) -> None:
        """Handle the return of a lent share, which is usable here again."""
        grants = self.lent.get(returned.customer, [])
        self.lent[returned.customer] = [
            x for x in grants if x.grant_id != returned.grant_id
        ]

    def _update_ready(self, now: float) -> None:
        peers = set(self.members) - {self.node}
        if peers and peers <= self.answered_peers:
            self.ready_at = min(self.ready_at, now)

    def _base_share(self, customer: str) -> int:
        limit = self.limits.get(customer, 0)
        size = len(self.members)
        rank = self.members.index(self.node)
        return limit // size + (rank < limit % size)

    def _unlent_share(self, customer: str, now: float) -> int:
        lent = _total(self._active(self.lent, customer, now))
        return self._base_share(customer) - lent

    def _active(
        self, grants: dict[str, list[_Grant]], customer: str, now: float
    ) -> list[_Grant]:
        known = grants.get(customer)
        if not known:
            return []
        active = [x for x in known if x.ends_at > now]
        grants[customer] = active
        return active


def _total(grants: list[_Grant]) -> int:
    return sum(x.amount for x in grants)


def _is_issued_by(grant: _Grant, incarnation: str) -> bool:
    return grant.grant_id.startswith(f'{incarnation}.')
