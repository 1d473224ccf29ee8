"""Ledgers of different readers agree on a stream with lagging authors."""

from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limpetlanding.contracts import (
    Contract,
    Ledger,
    Record,
    RecordKind,
    Verdict,
    hash_key,
    restatement_id,
)

CUSTOMERS = ('apples', 'beans')
RULES_2 = {1: Contract, 2: Contract}


def contract(customer='apples', at_once=8):
    return {
        'customer': customer,
        'keys': [hash_key(customer)],
        'limits': {'tasks_at_once': at_once, 'tasks_per_second': 100},
        'answer_within_ms': 500,
        'may_refuse': ['overload'],
        'kinds': ['*'],
        'peak_share': 0.5,
        'max_task_size': 10,
    }


def record(base, record_id, **fields):
    customer = fields.pop('customer', 'apples')
    values = {
        'record_id': record_id,
        'customer': customer,
        'base_version': base,
        'version': base + 1,
        'rules': 1,
        'contract': contract(customer),
        'author': 'ana',
    }
    return Record(**values | fields)


def restatement(version, origin, as_of, content=None):
    content = content or contract()
    return record(
        version,
        restatement_id('apples', version, content),
        version=version,
        kind=RecordKind.RESTATEMENT,
        contract=content,
        origin=origin,
        as_of=as_of,
    )


def read(records, start=0, rules=RULES_2):
    """Return the ledger of a reader from `start`, and verdicts by offset."""
    ledger = Ledger(start, rules)
    verdicts = {}
    for offset, item in list(enumerate(records))[start:]:
        for decision in ledger.apply(offset, item):
            verdicts[decision.entry.offset] = decision.verdict
    return ledger, verdicts


class TestLedger:
    def test_first_of_two_concurrent_records_is_accepted(self):
        records = [record(0, 'a'), record(0, 'b', author='ben')]
        ledger = Ledger()
        ledger.apply(0, records[0])
        (lost,) = ledger.apply(1, records[1])
        assert lost.verdict is Verdict.LOST
        assert lost.winner.record.record_id == 'a'

    def test_repeated_append_is_not_applied_twice(self):
        first = record(0, 'a')
        ledger, verdicts = read([first, first, record(1, 'b'), first])
        assert verdicts[1] is verdicts[3] is Verdict.REPEATED
        assert ledger.state('apples').version == 2

    def test_invalid_contract_does_not_change_the_version(self):
        bad = record(0, 'a', contract=contract(at_once=0))
        of_other_customer = record(0, 'b', contract=contract('beans'))
        ledger, verdicts = read([bad, of_other_customer])
        assert set(verdicts.values()) == {Verdict.INVALID}
        assert ledger.state('apples').version == 0

    def test_record_under_unknown_rules_stays_undecided(self):
        # Guards against a reader that skips a record which readers with newer
        # rules accept, and then accepts a record that they reject.
        records = [
            record(0, 'a'),
            record(1, 'b', rules=2),
            record(1, 'c'),
        ]
        ledger, verdicts = read(records, rules={1: Contract})
        assert verdicts[1] is verdicts[2] is Verdict.UNDECIDED
        state = ledger.state('apples')
        assert (state.version, state.exact) == (1, False)
        ledger.apply(3, record(2, 'd', as_of=2))
        assert (state.version, state.exact) == (3, True)

    def test_reader_from_the_middle_does_not_accept_a_lost_record(self):
        # Retention has removed the accepted record at offset 1, but not the
        # lost one at offset 2.
        records = [record(0, 'a'), record(1, 'b'), record(1, 'c')]
        ledger, verdicts = read(records, start=2)
        assert verdicts == {2: Verdict.UNDECIDED}
        ledger.apply(3, restatement(2, origin=1, as_of=2))
        assert ledger.state('apples').version == 2

    def test_stale_restatement_does_not_hide_a_gap(self):
        # Guards against trusting a version that a record in the gap may have
        # replaced.
        ledger, _ = read([], start=0)
        ledger = Ledger(14)
        ledger.apply(20, restatement(5, origin=10, as_of=12))
        (decision,) = ledger.apply(21, record(5, 'x', as_of=12))
        assert decision.verdict is Verdict.UNDECIDED
        assert ledger.state('apples').version == 5

    def test_contract_accepted_at_lower_offset_wins(self):
        # Guards against last-writer-wins, which reverts an accepted contract.
        ledger = Ledger()
        ledger.apply(7, record(0, 'late', as_of=6))
        other = contract(at_once=99)
        ledger.apply(9, restatement(1, 3, 8, other))
        current = ledger.state('apples').current
        assert (current.offset, current.record.contract) == (3, other)
        ledger.apply(10, restatement(1, 7, 9))
        assert ledger.state('apples').current.record.contract == other

    def test_skipped_records_make_versions_inexact(self):
        ledger, _ = read([record(0, 'a')])
        ledger.skip_to(50)
        (decision,) = ledger.apply(50, record(1, 'b', as_of=10))
        assert decision.verdict is Verdict.UNDECIDED
        assert ledger.state('apples').version == 1

    @pytest.mark.parametrize('as_of', [4, 1000])
    def test_as_of_at_or_after_the_record_is_invalid(self, as_of):
        (decision,) = Ledger().apply(4, record(0, 'a', as_of=as_of))
        assert decision.verdict is Verdict.INVALID


@dataclass
class Simulation:
    """A stream whose authors append based on what they read earlier."""

    records: list = field(default_factory=list)
    states: list = field(default_factory=lambda: [{}])
    ledger: Ledger = field(default_factory=lambda: Ledger(0, RULES_2))
    verdicts: dict = field(default_factory=dict)

    def append(self, item):
        offset = len(self.records)
        self.records.append(item)
        for decision in self.ledger.apply(offset, item):
            self.verdicts[offset] = decision.verdict
        self.states.append(
            {name: s.current for name, s in self.ledger.customers.items()}
        )

    def act(self, kind, customer, lag, tasks_at_once):
        seen = max(0, len(self.records) - lag)
        entry = self.states[seen].get(customer)
        version = entry.record.version if entry else 0
        as_of = seen - 1
        if kind == 'repeat' and self.records:
            self.append(self.records[-1 - lag % len(self.records)])
        elif kind == 'restate' and entry:
            content = entry.record.contract
            self.append(
                record(
                    version,
                    restatement_id(customer, version, content),
                    customer=customer,
                    version=version,
                    kind=RecordKind.RESTATEMENT,
                    contract=content,
                    rules=entry.record.rules,
                    origin=entry.offset,
                    as_of=as_of,
                )
            )
        else:
            self.append(
                record(
                    version,
                    f'r{len(self.records)}',
                    customer=customer,
                    contract=contract(customer, tasks_at_once),
                    rules=2 if tasks_at_once == 2 else 1,
                    as_of=as_of,
                )
            )


# Kind of append, customer, number of newest records that the author had not
# read, and limit of tasks at once. A limit of 0 makes the contract invalid; a
# contract with 2 follows newer rules.
actions = st.lists(
    st.tuples(
        st.sampled_from(['publish', 'publish', 'restate', 'repeat']),
        st.sampled_from(CUSTOMERS),
        st.integers(0, 6),
        st.integers(0, 5),
    ),
    max_size=30,
)


def simulate(steps):
    simulation = Simulation()
    for step in steps:
        simulation.act(*step)
    return simulation


def assert_agrees(simulation, start, rules):
    """Compare a reader from `start` with a full one after every record."""
    ledger = Ledger(start, rules)
    versions = dict.fromkeys(CUSTOMERS, 0)
    for offset in range(start, len(simulation.records)):
        truth = simulation.states[offset + 1]
        for decision in ledger.apply(offset, simulation.records[offset]):
            full = simulation.verdicts[decision.entry.offset]
            accepts = decision.verdict is Verdict.ACCEPTED
            assert not accepts or full is Verdict.ACCEPTED
            assert full is not Verdict.ACCEPTED or decision.verdict in {
                Verdict.ACCEPTED,
                Verdict.UNDECIDED,
            }
        for name, state in ledger.customers.items():
            assert state.version >= versions[name]
            versions[name] = state.version
            entry = truth.get(name)
            version = entry.record.version if entry else 0
            assert state.version <= version
            if state.exact:
                assert state.version == version
                assert state.current == entry or (
                    state.current.record.contract == entry.record.contract
                    and state.current.offset == entry.offset
                )


class TestAgreement:
    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(actions, st.data())
    def test_all_starting_points_agree(self, steps, data):
        simulation = simulate(steps)
        start = data.draw(st.integers(0, len(simulation.records)))
        assert_agrees(simulation, start, RULES_2)

    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(actions, st.data())
    def test_older_rules_never_contradict(self, steps, data):
        simulation = simulate(steps)
        start = data.draw(st.integers(0, len(simulation.records)))
        assert_agrees(simulation, start, {1: Contract})

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(actions)
    def test_a_restatement_makes_every_reader_exact(self, steps):
        simulation = simulate(steps)
        for name in CUSTOMERS:
            simulation.act('restate', name, 0, 1)
        for start in range(len(simulation.records) - 1):
            ledger, _ = read(simulation.records, start)
            for name, entry in simulation.states[-1].items():
                if entry:
                    assert ledger.state(name).version == entry.record.version
