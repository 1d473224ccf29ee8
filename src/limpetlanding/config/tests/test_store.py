import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limpetlanding.config import ConfigStore, UnacceptableRecord
from limpetlanding.config.tests.samples import contract, entry_of, record


class TestConfigStore:
    def test_only_missing_records_are_exchanged(self):
        ahead, behind = ConfigStore(), ConfigStore()
        for name in ('apples', 'beans'):
            ahead.put(*entry_of(name, 1))
        behind.put(*entry_of('apples', 1))
        (encoded,) = ahead.missing_records(behind.vector())
        assert behind.adopt(encoded)
        assert behind.digest == ahead.digest
        assert not behind.missing_records(ahead.vector())

    def test_version_never_falls(self):
        # Guards against outdated contracts from a peer that was suspended.
        store = ConfigStore()
        store.put(*entry_of('apples', 5))
        old = ConfigStore()
        old.put(*entry_of('apples', 4))
        assert not store.adopt(old.missing_records({})[0])
        assert store.vector() == {'apples': 5}

    def test_removed_key_identifies_no_customer(self):
        store = ConfigStore()
        first = contract('apples')
        store.put(*entry_of('apples', 1, first))
        key = first['keys'][0]
        assert store.customer_of(key) == 'apples'
        store.put(*entry_of('apples', 2, first | {'keys': ['0' * 64]}))
        assert store.customer_of(key) is None

    def test_key_of_two_customers_identifies_neither(self):
        # Guards against a contract that lists the key of another customer and
        # would get its requests.
        store = ConfigStore()
        for name in ('apples', 'beans'):
            with_same_key = contract(name) | {'keys': ['0' * 64]}
            store.put(*entry_of(name, 1, with_same_key))
        assert store.customer_of('0' * 64) is None

    def test_contract_accepted_at_lower_offset_wins(self):
        store, other = ConfigStore(), ConfigStore()
        early = 3, record('apples', 1, contract('apples', 1))
        late = 9, record('apples', 1, contract('apples', 2))
        for offset, item in (early, late):
            store.put(offset, item)
        for offset, item in (late, early):
            other.put(offset, item)
        assert store.contract('apples') == other.contract('apples')
        assert store.contract('apples').limits.tasks_at_once == 1
        assert other.forks == 1

    def test_version_under_unknown_rules_is_not_applied(self):
        store = ConfigStore()
        store.put(*entry_of('apples', 1))
        newer = record('apples', 2, rules=7)
        assert not store.put(9, newer)
        assert store.unreadable['apples'].rules == 7
        assert store.contract('apples') is not None
        # The vector includes it, or every heartbeat would request it again.
        assert store.vector() == {'apples': 2}

    @pytest.mark.parametrize(
        'change',
        [
            {'offset': -1},
            {'offset': True},
            {'offset': None},
            {'record': None},
            {'record': {'record_id': 'a'}},
        ],
    )
    def test_malformed_record_is_refused(self, change):
        store, source = ConfigStore(), ConfigStore()
        source.put(*entry_of('apples', 1))
        data = json.loads(source.missing_records({})[0]) | change
        with pytest.raises(UnacceptableRecord):
            store.adopt(json.dumps(data).encode())
        assert store.rejected == 1

    def test_contract_that_breaks_its_rules_is_refused(self):
        store, source = ConfigStore(), ConfigStore()
        source.put(*entry_of('apples', 1))
        data = json.loads(source.missing_records({})[0])
        data['record']['contract']['peak_share'] = 50
        with pytest.raises(UnacceptableRecord):
            store.adopt(json.dumps(data).encode())

    def test_reply_is_bounded_and_makes_progress(self):
        store = ConfigStore()
        for n in range(50):
            store.put(*entry_of(f'c{n}', 1))
        other = ConfigStore()
        rounds = 0
        while records := store.missing_records(other.vector(), 2000):
            assert sum(map(len, records)) <= 2000
            for encoded in records:
                other.adopt(encoded)
            rounds += 1
        assert other.digest == store.digest
        assert rounds > 10

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(['apples', 'beans']),
                st.integers(1, 4),
                st.integers(1, 3),
            )
        ),
        st.randoms(use_true_random=False),
    )
    def test_replicas_agree_in_any_order(self, items, rng):
        # The offset is a function of version and content, as in a log.
        entries = [
            (
                version * 10 + at_once,
                record(name, version, contract(name, at_once)),
            )
            for name, version, at_once in items
        ]
        one, two = ConfigStore(), ConfigStore()
        for offset, item in entries:
            before = one.vector().get(item.customer, 0)
            one.put(offset, item)
            assert one.vector()[item.customer] >= before
        rng.shuffle(entries)
        for offset, item in entries:
            two.put(offset, item)
        assert one.stored == two.stored
        assert one.digest == two.digest
