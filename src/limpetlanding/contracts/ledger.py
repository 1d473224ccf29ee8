"""Decides from records in offset order which versions are in force.

Every reader applies the same rules to the same records, so all reach the
same result without talking to each other. A reader whose knowledge has a
gap (retention has removed older records, or a record follows rules that it
does not know) does not guess: records stay undecided until an author that
had read past the gap states the version (`Record.as_of`).
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

# Accepted records kept per customer to name the winner of a race.
RECENT_VERSIONS = 32


class Verdict(StrEnum):
    """What a reader decides on one record."""

    ACCEPTED = 'accepted'
    LOST = 'lost'
    REPEATED = 'repeated'
    INVALID = 'invalid'
    UNDECIDED = 'undecided'
    RESTATED = 'restated'
    IGNORED = 'ignored'


@dataclass(frozen=True, slots=True)
class LogEntry:
    """A record at its offset."""

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
        Why, in one sentence.
    winner : LogEntry or None
        The record that a lost one lost to, if it is still known.
    """

    entry: LogEntry
    verdict: Verdict
    detail: str = ''
    winner: LogEntry | None = None


@dataclass(slots=True)
class CustomerState:
    """Version of one customer that is in force.

    Parameters
    ----------
    version : int
        Version in force; 0 before the first.
    current : LogEntry or None
        Record that carries the contract; its offset is where the version
        was accepted.
    latest_offset : int
        Offset of the newest record with the current contract.
    required_as_of : int or None
        None if the version is exact. Otherwise a record decides only if
        its author had read at least up to this offset.
    pending : list of LogEntry
        Undecided records.
    recent : deque of LogEntry
        Newest accepted records.
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
        """Whether `version` is certain at the reader's position."""
        return self.required_as_of is None

    def accepted_entry(self, version: int) -> LogEntry | None:
        """Return the accepted record of `version`, if it is known."""
        found = (e for e in self.recent if e.record.version == version)
        return next(found, None)


class Ledger:
    """State of a reader of the configuration stream.

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
        """Return the state of `customer`, new if it is not known."""
        if customer not in self.customers:
            required_as_of = self.start - 1 if self.start else None
            self.customers[customer] = CustomerState(
                required_as_of=required_as_of
            )
        return self.customers[customer]

    def skip_to(self, first: int) -> None:
        """Continue at `first`, because retention removed what is before.

        Versions stay, but are no longer exact.
        """
        if first <= self.next:
            return
        self.start = first
        self.next = first
        for state in self.customers.values():
            state.required_as_of = first - 1
            state.pending.clear()

    def apply(self, offset: int, record: Record) -> list[Decision]:
        """Decide on the next record, and on earlier ones that it settles.

        Parameters
        ----------
        offset : int
            Offset of the record; rises from call to call.
        record : Record
            The record.

        Returns
        -------
        list of Decision
            In offset order; the last one is on `record`.
        """
        if offset < self.next:
            raise ValueError(f'offset {offset} is before {self.next}')
        self.next = offset + 1
        entry = LogEntry(offset, record)
        if record.kind is RecordKind.MEMBER:
            return [Decision(entry, Verdict.IGNORED)]
        if record.as_of >= offset:
            detail = 'as_of is not before the record'
            return [Decision(entry, Verdict.INVALID, detail)]
        state = self.state(record.customer)
        if state.exact:
            return [self._judge(state, entry)]
        return list(self._judge_behind_gap(state, entry))

    def _judge_behind_gap(
        self, state: CustomerState, entry: LogEntry
    ) -> Iterator[Decision]:
        record = entry.record
        flaw = self._flaw(record)
        if flaw and flaw.verdict is Verdict.INVALID:
            yield Decision(entry, flaw.verdict, flaw.detail)
        elif record.base_version < state.version:
            # No honest author states a version below one that is known.
            yield _outdated(state, entry)
        elif flaw:
            state.pending.append(entry)
            yield Decision(entry, flaw.verdict, flaw.detail)
        elif record.as_of < state.required_as_of:
            yield _hold(state, entry)
        else:
            pending = [e for e in state.pending if e.offset > record.as_of]
            _settle(state, record)
            yield from self._replay(state, [*pending, entry])

    def _replay(
        self, state: CustomerState, entries: list[LogEntry]
    ) -> Iterator[Decision]:
        for position, entry in enumerate(entries):
            if not state.exact:
                state.pending.extend(entries[position:])
                detail = 'follows a record that is undecided'
                yield Decision(entries[-1], Verdict.UNDECIDED, detail)
                return
            yield self._judge(state, entry)

    def _judge(self, state: CustomerState, entry: LogEntry) -> Decision:
        record = entry.record
        flaw = self._flaw(record)
        if flaw and flaw.verdict is Verdict.INVALID:
            return Decision(entry, flaw.verdict, flaw.detail)
        if record.kind is RecordKind.RESTATEMENT:
            decision = _judge_restatement(state, entry)
        elif record.base_version == state.version:
            decision = None
        else:
            decision = _outdated(state, entry)
        if decision:
            return decision
        if flaw:
            state.required_as_of = entry.offset
            state.pending = [entry]
            return Decision(entry, flaw.verdict, flaw.detail)
        return _accept(state, entry)

    def _flaw(self, record: Record) -> '_Flaw | None':
        if record.rules not in self.rules:
            newest = max(self.rules)
            return _Flaw(
                Verdict.UNDECIDED,
                f'rules {record.rules} are unknown, newest known {newest}',
            )
        try:
            contract = check_contract(record.contract, record.rules, self.rules)
        except InvalidContract as error:
            return _Flaw(Verdict.INVALID, str(error))
        if contract.customer != record.customer:
            return _Flaw(Verdict.INVALID, 'contract of another customer')
        return None


@dataclass(frozen=True, slots=True)
class _Flaw:
    verdict: Verdict
    detail: str


def _accept(state: CustomerState, entry: LogEntry) -> Decision:
    if entry.record.kind is RecordKind.RESTATEMENT:
        _adopt(state, entry)
        return Decision(entry, Verdict.RESTATED)
    state.version = entry.record.version
    state.current = entry
    state.latest_offset = entry.offset
    state.recent.append(entry)
    return Decision(entry, Verdict.ACCEPTED)


def _adopt(state: CustomerState, entry: LogEntry) -> None:
    state.version = entry.record.version
    state.current = LogEntry(entry.record.origin, entry.record)
    state.latest_offset = entry.offset


def _judge_restatement(
    state: CustomerState, entry: LogEntry
) -> Decision | None:
    # Returns None if the restated contract is to be adopted.
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
        # Two contracts under one version: the first by offset wins.
        return None
    return Decision(entry, Verdict.IGNORED, 'fork, accepted later')


def _hold(state: CustomerState, entry: LogEntry) -> Decision:
    record = entry.record
    if record.kind is RecordKind.CONTRACT:
        state.pending.append(entry)
        detail = f'needs the state at offset {record.as_of}, not available'
        return Decision(entry, Verdict.UNDECIDED, detail)
    if record.version > state.version:
        # True when written, but the gap may hide newer records.
        _adopt(state, entry)
        return Decision(entry, Verdict.RESTATED, 'newer may exist')
    return Decision(entry, Verdict.IGNORED)


def _settle(state: CustomerState, record: Record) -> None:
    # The author had read past the gap and states the version there.
    state.required_as_of = None
    state.pending = []
    if record.base_version > state.version:
        state.version = record.base_version
        state.current = None


def _outdated(state: CustomerState, entry: LogEntry) -> Decision:
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
