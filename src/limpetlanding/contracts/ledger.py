"""Decides from records in offset order which versions are in force.

Every reader applies the same rules to the same records in the same order,
so all readers reach the same result without communicating. A reader has a
gap in its knowledge if retention has removed older records, or if a record
follows rules that this program does not know. Later records then stay
undecided until the reader gets a record whose author had read past the gap
(`Record.as_of`) and which therefore states the version after it.
"""

from collections import deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from limpetlanding.contracts.model import (
    RULES,
    Contract,
    InvalidContract,
    check_contract,
)
from limpetlanding.contracts.record import Record, RecordKind

# Number of accepted records kept per customer. They serve to recognize repeated
# appends, and to name the record that was accepted instead of a lost one.
RECENT_VERSIONS = 32


class Verdict(StrEnum):
    """What a reader decides on one record.

    LOST means that the record is not based on the version in force, because
    another one was accepted first. REPEATED is a second append of an
    accepted record. RESTATED means that the record confirms or supplies the
    contract in force; IGNORED records change nothing.
    """

    ACCEPTED = 'accepted'
    LOST = 'lost'
    REPEATED = 'repeated'
    INVALID = 'invalid'
    UNDECIDED = 'undecided'
    RESTATED = 'restated'
    IGNORED = 'ignored'


@dataclass(frozen=True, slots=True)
class LogEntry:
    """A record of the stream with its offset."""

    offset: int
    record: Record


@dataclass(frozen=True, slots=True)
class Decision:
    """Verdict on one record.

    Parameters
    ----------
    entry : LogEntry
        The record and its offset.
    verdict : Verdict
        The decision.
    detail : str
        Reason for the verdict.
    winner : LogEntry or None
        The record that was accepted instead of a lost one, if it is still
        known.
    """

    entry: LogEntry
    verdict: Verdict
    detail: str = ''
    winner: LogEntry | None = None


@dataclass(slots=True)
class CustomerState:
    """Version of one customer that is in force, as one reader knows it.

    Parameters
    ----------
    version : int
        Version in force; 0 before the first.
    current : LogEntry or None
        Record that carries the contract in force, with the offset at which
        the version was accepted; None if this contract is not known.
    latest_offset : int
        Offset of the newest record with the current contract.
    required_as_of : int or None
        None if the version is exact. Otherwise only a record whose author
        had read at least up to this offset makes it exact again.
    pending : list of LogEntry
        Undecided records, in offset order.
    recent : deque of LogEntry
        Newest accepted records, at most `RECENT_VERSIONS`.
    """

    version: int = 0
    current: LogEntry | None = None
    latest_offset: int = -1
    required_as_of: int | None = None
    pending: list[LogEntry] = field(default_factory=list)
    recent: deque[LogEntry] = field(
        default_factory=lambda: deque(maxlen=RECENT_VERSIONS)
    )

    @property
    def exact(self) -> bool:
        """Whether `version` is known to be in force at the last read offset."""
        return self.required_as_of is None

    def accepted_entry(self, version: int) -> LogEntry | None:
        """Return the accepted record of `version`, if it is known."""
        matches = (e for e in self.recent if e.record.version == version)
        return next(matches, None)


class Ledger:
    """Versions in force as far as one reader has read the stream.

    Parameters
    ----------
    start : int
        Offset of the first record that the reader gets; above 0 if
        retention has removed older ones.
    rules : mapping of int to model
        Rules versions that this program knows.
    """

    def __init__(
        self,
        start: int = 0,
        rules: Mapping[int, type[Contract]] = RULES,
    ) -> None:
        self.rules = rules
        self.customers: dict[str, CustomerState] = {}
        self.start = start
        self.next = start

    def state(self, customer: str) -> CustomerState:
        """Return the state of `customer`, and create it if there is none."""
        if customer not in self.customers:
            required_as_of = self.start - 1 if self.start else None
            self.customers[customer] = CustomerState(
                required_as_of=required_as_of
            )
        return self.customers[customer]

    def skip_to(self, first: int) -> None:
        """Continue at offset `first`, the oldest that retention has left.

        The known versions stay, but are no longer exact, and undecided
        records are dropped. An offset that was already read has no effect.
        """
        if first <= self.next:
            return
        self.start = first
        self.next = first
        for state in self.customers.values():
            state.required_as_of = first - 1
            state.pending.clear()

    def apply(self, offset: int, record: Record) -> list[Decision]:
        """Decide on the next record, and on undecided ones where possible.

        Parameters
        ----------
        offset : int
            Offset of the record, at least `next`.
        record : Record
            The record.

        Returns
        -------
        list of Decision
            In offset order; the last one is on `record`.

        Raises
        ------
        ValueError
            If `offset` is below `next`.
        """
        if offset < self.next:
            raise ValueError(f'offset {offset} is before {self.next}')
        self.next = offset + 1
        entry = LogEntry(offset, record)
        if record.kind is RecordKind.MEMBER:
            return [Decision(entry, Verdict.IGNORED)]
        if record.as_of >= offset:
            detail = 'as_of is not below the offset of the record'
            return [Decision(entry, Verdict.INVALID, detail)]
        state = self.state(record.customer)
        if state.exact:
            return [self._decide(state, entry)]
        return list(self._decide_after_gap(state, entry))

    def _decide_after_gap(
        self, state: CustomerState, entry: LogEntry
    ) -> Iterator[Decision]:
        record = entry.record
        problem = self._check_rules(record)
        if problem and problem.verdict is Verdict.INVALID:
            yield Decision(entry, problem.verdict, problem.detail)
        elif record.base_version < state.version:
            # Versions only rise, so no correct author states a version below
            # one that is known.
            yield _decide_outdated(state, entry)
        elif problem:
            state.pending.append(entry)
            yield Decision(entry, problem.verdict, problem.detail)
        elif record.as_of < state.required_as_of:
            yield _decide_without_state(state, entry)
        else:
            pending = [e for e in state.pending if e.offset > record.as_of]
            _close_gap(state, record)
            yield from self._replay(state, [*pending, entry])

    def _replay(
        self, state: CustomerState, entries: list[LogEntry]
    ) -> Iterator[Decision]:
        for position, entry in enumerate(entries):
            if not state.exact:
                state.pending.extend(entries[position:])
                detail = 'a record before it is undecided'
                yield Decision(entries[-1], Verdict.UNDECIDED, detail)
                return
            yield self._decide(state, entry)

    def _decide(self, state: CustomerState, entry: LogEntry) -> Decision:
        record = entry.record
        problem = self._check_rules(record)
        if problem and problem.verdict is Verdict.INVALID:
            return Decision(entry, problem.verdict, problem.detail)
        if record.kind is RecordKind.RESTATEMENT:
            decision = _decide_restatement(state, entry)
        elif record.base_version == state.version:
            decision = None
        else:
            decision = _decide_outdated(state, entry)
        if decision:
            return decision
        if problem:
            state.required_as_of = entry.offset
            state.pending = [entry]
            return Decision(entry, problem.verdict, problem.detail)
        return _accept(state, entry)

    def _check_rules(self, record: Record) -> '_RulesProblem | None':
        if record.rules not in self.rules:
            newest = max(self.rules)
            return _RulesProblem(
                Verdict.UNDECIDED,
                f'rules {record.rules} are unknown, the newest known are '
                f'{newest}',
            )
        try:
            contract = check_contract(record.contract, record.rules, self.rules)
        except InvalidContract as error:
            return _RulesProblem(Verdict.INVALID, str(error))
        if contract.customer != record.customer:
            return _RulesProblem(
                Verdict.INVALID, 'contract of another customer'
            )
        return None


@dataclass(frozen=True, slots=True)
class _RulesProblem:
    verdict: Verdict
    detail: str


def _accept(state: CustomerState, entry: LogEntry) -> Decision:
    if entry.record.kind is RecordKind.RESTATEMENT:
        _adopt_restatement(state, entry)
        return Decision(entry, Verdict.RESTATED)
    state.version = entry.record.version
    state.current = entry
    state.latest_offset = entry.offset
    state.recent.append(entry)
    return Decision(entry, Verdict.ACCEPTED)


def _adopt_restatement(state: CustomerState, entry: LogEntry) -> None:
    state.version = entry.record.version
    state.current = LogEntry(entry.record.origin, entry.record)
    state.latest_offset = entry.offset


def _decide_restatement(
    state: CustomerState, entry: LogEntry
) -> Decision | None:
    # Returns None if the restated contract replaces the known one.
    record = entry.record
    current = state.current
    if record.version < state.version:
        return Decision(entry, Verdict.IGNORED, 'older version')
    if record.version > state.version or current is None:
        return None
    if record.contract == current.record.contract:
        state.latest_offset = entry.offset
        return Decision(entry, Verdict.RESTATED)
    if record.origin < current.offset:
        # Two contracts have the same version: the one accepted at the lower
        # offset is in force.
        return None
    return Decision(
        entry,
        Verdict.IGNORED,
        'another contract of this version was accepted first',
    )


def _decide_without_state(state: CustomerState, entry: LogEntry) -> Decision:
    record = entry.record
    if record.kind is RecordKind.CONTRACT:
        state.pending.append(entry)
        detail = f'needs the state at offset {record.as_of}, which is not known'
        return Decision(entry, Verdict.UNDECIDED, detail)
    if record.version > state.version:
        # The version was in force when the author wrote this, but the gap
        # may contain newer records.
        _adopt_restatement(state, entry)
        return Decision(entry, Verdict.RESTATED, 'a newer version may exist')
    return Decision(entry, Verdict.IGNORED)


def _close_gap(state: CustomerState, record: Record) -> None:
    # The author had read past the gap, so the version on which the record
    # is based was in force after it.
    state.required_as_of = None
    state.pending = []
    if record.base_version > state.version:
        state.version = record.base_version
        state.current = None


def _decide_outdated(state: CustomerState, entry: LogEntry) -> Decision:
    record = entry.record
    if record.kind is RecordKind.RESTATEMENT:
        return Decision(entry, Verdict.IGNORED, 'older version')
    winner = state.accepted_entry(record.version)
    if winner and winner.record.record_id == record.record_id:
        return Decision(entry, Verdict.REPEATED, 'accepted before', winner)
    detail = (
        f'based on version {record.base_version}, '
        f'but version {state.version} is in force'
    )
    return Decision(entry, Verdict.LOST, detail, winner)
