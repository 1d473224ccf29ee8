"""Entries that a process knows, as pure state."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from limpetlanding.wire import EntryInfo, Hello, Members

EXPIRY_S = 7200
"""Twice the longest expected partition between regions (one hour): entries
behind it keep their shares of the limits until it has healed."""

SHARE_LEASE_S = 5
"""Time after which an entry that is down no longer holds a share."""

MAX_ENTRIES = 256
MAX_REMOVED_INCARNATIONS = 1024


class MemberState(StrEnum):
    """What is known of one entry.

    A `HEARD` entry was named by another process and never reached.
    """

    HEARD = 'heard'
    UP = 'up'
    DOWN = 'down'


@dataclass(slots=True)
class Member:
    """One entry; `since` is when it entered its state, in seconds."""

    info: EntryInfo
    state: MemberState
    since: float


class MemberTable:
    """Entries known to one process, at most one incarnation per node.

    Incarnations are random and have no order, so only a link tells which
    one of a node is the present one. What others tell adds entries that are
    not connected, and never replaces one that is.

    Parameters
    ----------
    region : str
        Region of the process.
    own : EntryInfo, optional
        The entry itself, if the process is one.

    Examples
    --------
    >>> table = MemberTable('punjab')
    >>> told = EntryInfo('entry-1', 'i1', '127.0.0.1:7100', 'kasur', 'punjab')
    >>> table.merge(Members([told]), 0.0)
    True
    >>> table.addresses()
    ['127.0.0.1:7100']
    """

    def __init__(self, region: str, own: EntryInfo | None = None) -> None:
        self.region = region
        self.own = own
        self.entries: dict[str, Member] = {}
        self.removed: dict[str, None] = {}

    def mark_up(self, info: EntryInfo, now: float) -> bool:
        """Note a link to an entry; tell whether the set changed.

        Another incarnation of the node, or another node at the address, has
        been replaced by this one.
        """
        self.removed.pop(info.incarnation, None)
        for member in self._replaced_by(info):
            self._remove(member.info)
        known = self.entries.get(info.node)
        if known is not None and known.state == MemberState.UP:
            known.info = info
            return False
        self.entries[info.node] = Member(info, MemberState.UP, now)
        return True

    def mark_down(self, incarnation: str, now: float) -> bool:
        """Note that an entry has no link; tell whether it had one."""
        for member in self.entries.values():
            up = member.state == MemberState.UP
            if up and member.info.incarnation == incarnation:
                member.state = MemberState.DOWN
                member.since = now
                return True
        return False

    def merge(self, members: Members, now: float) -> bool:
        """Add entries that another process knows; tell whether any is new."""
        added = [info for info in members.entries if self._is_news(info)]
        for info in added:
            if len(self.entries) < MAX_ENTRIES or info.node in self.entries:
                self.entries[info.node] = Member(info, MemberState.HEARD, now)
        return bool(added)

    def expire(self, now: float, expiry_s: float = EXPIRY_S) -> list[EntryInfo]:
        """Remove and return entries without a link for `forget_s`."""
        old = [
            member.info
            for member in self.entries.values()
            if member.state != MemberState.UP and now - member.since > expiry_s
        ]
        for info in old:
            self._remove(info)
        return old

    def members_message(self) -> Members:
        """Return the message that tells others of the known entries.

        Entries that are only heard of are left out: a process that repeats
        what it cannot check would keep a dead entry alive in all tables.
        """
        own = [self.own] if self.own else []
        seen = [
            member.info
            for member in self.entries.values()
            if member.state != MemberState.HEARD
        ]
        return Members(own + seen)

    def addresses(self, region: str | None = None) -> list[str]:
        """Return the addresses to keep a link to.

        Parameters
        ----------
        region : str, optional
            Only entries of this region; agents dial no others.
        """
        infos = (member.info for member in self.entries.values())
        return [x.address for x in infos if region in {None, x.region}]

    def connected_nodes(self, region: str | None = None) -> list[str]:
        """Return the connected entries and this one, in order of names."""
        infos = [
            member.info
            for member in self.entries.values()
            if member.state == MemberState.UP
        ]
        return _names(self._with_own(infos), region)

    def share_holders(
        self, now: float, lease_s: float = SHARE_LEASE_S
    ) -> list[str]:
        """Return the entries that hold a share of the limits.

        An entry of this region that is down loses its share after a lease.
        One of another region keeps it, because it is more likely to be cut
        off than dead, and goes on with its share on its side.
        """
        infos = [
            member.info
            for member in self.entries.values()
            if self._holds_share(member, now, lease_s)
        ]
        return _names(self._with_own(infos), None)

    def _holds_share(self, member: Member, now: float, lease_s: float) -> bool:
        if member.state == MemberState.UP:
            return True
        if member.info.region != self.region:
            return True
        return now - member.since <= lease_s

    def _is_news(self, info: EntryInfo) -> bool:
        if info.incarnation in self.removed or not info.address:
            return False
        if self.own is not None and info.node == self.own.node:
            return False
        known = self.entries.get(info.node)
        if known is None:
            return True
        same = known.info.incarnation == info.incarnation
        return known.state != MemberState.UP and not same

    def _replaced_by(self, info: EntryInfo) -> list[Member]:
        return [
            member
            for member in self.entries.values()
            if member.info.incarnation != info.incarnation
            and (
                member.info.node == info.node
                or member.info.address == info.address
            )
        ]

    def _remove(self, info: EntryInfo) -> None:
        self.entries.pop(info.node, None)
        self.removed[info.incarnation] = None
        while len(self.removed) > MAX_REMOVED_INCARNATIONS:
            self.removed.pop(next(iter(self.removed)))

    def _with_own(self, infos: Iterable[EntryInfo]) -> list[EntryInfo]:
        own = [self.own] if self.own else []
        return [*own, *infos]


def entry_info(hello: Hello) -> EntryInfo:
    """Return the entry behind the first frame of a link.

    Examples
    --------
    >>> entry_info(Hello(1, 'entry', 'entry-1', 'i1', 'kasur',
    ...     '127.0.0.1:7100', '', 'punjab')).region
    'punjab'
    """
    return EntryInfo(
        hello.node,
        hello.incarnation,
        hello.address,
        hello.failure_domain,
        hello.region,
        hello.http_address,
    )


def _names(infos: Iterable[EntryInfo], region: str | None) -> list[str]:
    return sorted(x.node for x in infos if region in {None, x.region})
