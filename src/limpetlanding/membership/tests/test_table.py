import pytest

from limpetlanding.membership import MemberTable
from limpetlanding.wire.job_messages import EntryInfo, Members


def info(node, incarnation, address=None, region='punjab'):
    return EntryInfo(node, incarnation, address or f'{node}:1', 'kasur', region)


@pytest.fixture
def table():
    return MemberTable('punjab', info('entry-1', 'a1'))


class TestReplacedEntry:
    def test_new_incarnation_replaces_the_old_one(self, table):
        # Guards against two incarnations of one node with a share each.
        table.mark_up(info('entry-2', 'b1'), 0)
        assert table.mark_up(info('entry-2', 'b2', 'moved:1'), 1)
        assert table.addresses() == ['moved:1']
        assert table.share_holders(1) == ['entry-1', 'entry-2']

    def test_late_report_of_a_replaced_incarnation_is_ignored(self, table):
        # Guards against a late report that adds a replaced entry again.
        table.mark_up(info('entry-2', 'b1'), 0)
        table.mark_up(info('entry-2', 'b2', 'moved:1'), 1)
        table.mark_down('b2', 2)
        assert not table.merge(Members([info('entry-2', 'b1')]), 3)
        assert table.addresses() == ['moved:1']

    def test_another_node_at_the_address_replaces_the_first(self, table):
        # Guards against dialing an address for a node that no longer uses it.
        table.mark_up(info('entry-2', 'b1', 'host:1'), 0)
        table.mark_up(info('entry-3', 'c1', 'host:1'), 1)
        assert table.connected_nodes() == ['entry-1', 'entry-3']

    def test_late_close_of_the_old_connection_keeps_the_new_one(self, table):
        table.mark_up(info('entry-2', 'b1'), 0)
        table.mark_up(info('entry-2', 'b2'), 1)
        assert not table.mark_down('b1', 2)
        assert table.connected_nodes() == ['entry-1', 'entry-2']


class TestExchange:
    def test_reports_never_replace_a_connected_entry(self, table):
        table.mark_up(info('entry-2', 'b1'), 0)
        assert not table.merge(Members([info('entry-2', 'b9', 'x:1')]), 1)
        assert table.addresses() == ['entry-2:1']

    def test_reports_replace_an_entry_that_is_down(self, table):
        # Guards against an entry that restarts elsewhere and is never dialed.
        table.mark_up(info('entry-2', 'b1'), 0)
        table.mark_down('b1', 1)
        assert table.merge(Members([info('entry-2', 'b2', 'moved:1')]), 2)
        assert table.addresses() == ['moved:1']

    def test_unverified_entry_is_not_reported(self, table):
        # Guards against a dead entry that stays in all tables because
        # processes repeat reports that they have not verified.
        table.merge(Members([info('entry-2', 'b1')]), 0)
        assert [x.node for x in table.members_message().entries] == ['entry-1']

    def test_reports_of_the_own_node_are_ignored(self, table):
        assert not table.merge(Members([info('entry-1', 'old')]), 0)

    def test_number_of_entries_is_bounded(self, table):
        many = [info(f'entry-{n}', f'i{n}') for n in range(2, 1000)]
        table.merge(Members(many), 0)
        assert len(table.entries) == 256

    def test_addresses_of_one_region(self, table):
        table.mark_up(info('entry-2', 'b1'), 0)
        table.mark_up(info('entry-3', 'c1', region='bagmati'), 0)
        assert table.addresses('punjab') == ['entry-2:1']


class TestShares:
    def test_dead_entry_of_the_region_loses_its_share_after_the_lease(
        self, table
    ):
        table.mark_up(info('entry-2', 'b1'), 0)
        table.mark_down('b1', 10)
        assert table.share_holders(15) == ['entry-1', 'entry-2']
        assert table.share_holders(15.1) == ['entry-1']

    def test_entry_behind_a_partition_keeps_its_share(self, table):
        # Guards against both sides of a partition using the whole limit.
        table.mark_up(info('entry-3', 'c1', region='bagmati'), 0)
        table.mark_down('c1', 10)
        assert table.share_holders(3600) == ['entry-1', 'entry-3']

    def test_entry_that_is_down_expires(self, table):
        table.mark_up(info('entry-3', 'c1', region='bagmati'), 0)
        table.mark_down('c1', 10)
        assert [x.node for x in table.expire(7211)] == ['entry-3']
        assert table.share_holders(7211) == ['entry-1']
        assert not table.merge(Members([info('entry-3', 'c1')]), 7212)
