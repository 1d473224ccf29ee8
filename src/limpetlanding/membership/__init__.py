"""Table of the entries that a process knows."""

from limpetlanding.membership.table import (
    Member,
    MemberState,
    MemberTable,
    entry_info,
)

__all__ = ('Member', 'MemberState', 'MemberTable', 'entry_info')
