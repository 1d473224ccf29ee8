"""Table of the entries that a process knows; it does no input or output."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from limpetlanding.wire import Hello
from limpetlanding.wire.job_messages import EntryInfo, Members

EXPIRY_S = 7200
"""Time without a connection after which an entry is removed. It is twice the
longest expected partition between regions (one hour), so that entries of
another region keep their shares of the limits until the partition ends."""

SHARE_LEASE_S = 5
"""Time after which an entry of the same region that is down loses its share
of the limits."""

MAX_ENTRIES = 256
MAX_REMOVED_INCARNATIONS = 1024


class MemberState(StrEnum):
    """State of the connection to one entry.

    A `HEARD` entry was named by another process; this process has had no
    connection to it.
    """

    HEARD = 'heard'
    UP = 'up'
    DOWN = 'down'


@dataclass(slots=True)
class Member:
    """One entry of the table.

    Parameters
    ----------
    info : EntryInfo
        Node, incarnation and address of the entry.
    state : MemberState
        State of the connection to it.
    since : float
        When the entry got this state, in seconds of the caller's clock.
    """

    info: EntryInfo
    state: MemberState
    since: float


class MemberTable:
    """Entries known to one process, at most one incarnation per node.

    Incarnations are random and have no order, so only a connection shows
    which incarnation of a node is the current one. Reports of other processes
    add entries and replace those without a connection; they never replace a
    connected entry.

    Parameters
    ----------
    region : str
        Region of the process.
    own : EntryInfo, optional
        The process itself, if it is an entry.

    Examples
    --------
    >>> table = MemberTable('punjab')
    >>> info = EntryInfo('entry-1', 'i1', '127.0.0.1:7100', 'kasur', 'punjab')
    >>> table.merge(Members([info]), 0.0)
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
        """Record a connection to an entry.

        Other incarnations of the node and other nodes at the address are
        removed, because this entry has replaced them.

        Returns
        -------
        bool
            False if the entry was already connected, True otherwise.
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
        """Record that an entry has lost its connection.

        Returns
        -------
        bool
            False if this incarnation was not connected.
        """
        for member in self.entries.values():
            up = member.state == MemberState.UP
            if up and member.info.incarnation == incarnation:
                member.state = MemberState.DOWN
                member.since = now
                return True
        return False

    def merge(self, members: Members, now: float) -> bool:
        """Add the entries that another process reports.

        Returns
        -------
        bool
            Whether any of them is new, even if the table is full.
        """
        added = [info for info in members.entries if self._should_add(info)]
        for info in added:
            if len(self.entries) < MAX_ENTRIES or info.node in self.entries:
                self.entries[info.node] = Member(info, MemberState.HEARD, now)
        return bool(added)

    def expire(self, now: float, expiry_s: float = EXPIRY_S) -> list[EntryInfo]:
        """Remove and return entries without a connection for `expiry_s`."""
        expired = [
            member.info
            for member in self.entries.values()
            if member.state != MemberState.UP and now - member.since > expiry_s
        ]
        for info in expired:
            self._remove(info)
        return expired

    def members_message(self) -> Members:
        """Return the message that reports the known entries to other processes.

        `HEARD` entries are left out. If processes repeated reports that they
        have not verified, a dead entry would stay in all tables.
        """
        own = [self.own] if self.own else []
        verified = [
            member.info
            for member in self.entries.values()
            if member.state != MemberState.HEARD
        ]
        return Members(own + verified)

    def addresses(self, region: str | None = None) -> list[str]:
        """Return the addresses to stay connected to.

        Parameters
        ----------
        region : str, optional
            Only entries of this region; agents connect to no others.
        """
        infos = (member.info for member in self.entries.values())
        return [x.address for x in infos if region in {None, x.region}]

    def connected_nodes(self, region: str | None = None) -> list[str]:
        """Return the sorted node names of connected entries and this one."""
        infos = [
            member.info
            for member in self.entries.values()
            if member.state == MemberState.UP
        ]
        return _node_names(self._with_own(infos), region)

    def share_holders(
        self, now: float, lease_s: float = SHARE_LEASE_S
    ) -> list[str]:
        """Return the sorted node names of entries with a share of the limits.

        An entry of this region that is down loses its share after `lease_s`.
        An entry of another region keeps its share until it is removed: it is
        more likely to be behind a partition than dead, and then it still uses
        its share there.
        """
        infos = [
            member.info
            for member in self.entries.values()
            if self._holds_share(member, now, lease_s)
        ]
        return _node_names(self._with_own(infos), None)

    def _holds_share(self, member: Member, now: float, lease_s: float) -> bool:
        if member.state == MemberState.UP:
            return True
        if member.info.region != self.region:
            return True
        return now - member.since <= lease_s

    def _should_add(self, info: EntryInfo) -> bool:
        if info.incarnation in self.removed or not info.address:
            return False
        if self.own is not None and info.node == self.own.node:
            return False
        known = self.entries.get(info.node)
        if known is None:
            return True
        same_incarnation = known.info.incarnation == info.incarnation
        return known.state != MemberState.UP and not same_incarnation

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
    """Return the entry that sent the first frame of a connection.

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


def _node_names(infos: Iterable[EntryInfo], region: str | None) -> list[str]:
    return sorted(x.node for x in infos if region in {None, x.region})
