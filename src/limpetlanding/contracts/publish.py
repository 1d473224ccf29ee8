"""Publishing of a contract: append it, then read what was decided."""

import asyncio
import time
import uuid
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from limpetlanding.contracts.diff import Change, diff
from limpetlanding.contracts.ledger import (
    CustomerState,
    Decision,
    Ledger,
    LogEntry,
    Verdict,
)
from limpetlanding.contracts.model import CURRENT_RULES, Contract
from limpetlanding.contracts.reading import read_to_end
from limpetlanding.contracts.record import Record
from limpetlanding.errors import LimpetlandingError
from limpetlanding.logservice import (
    LogClient,
    LogRefused,
    LogUnavailable,
    PageUnreadable,
    backoff_s,
)

DEFAULT_TIMEOUT_S = 60


class PublicationResult(StrEnum):
    """Result of a publication.

    UNKNOWN means that the log may or may not contain the record.
    """

    ACCEPTED = 'accepted'
    LOST = 'lost'
    INVALID = 'invalid'
    UNKNOWN = 'unknown'


class VersionUnknown(LimpetlandingError):
    """The records left in the log do not show which version is in force."""


@dataclass(frozen=True, slots=True)
class PublicationReport:
    """Result of a publication and the reason.

    Parameters
    ----------
    result : PublicationResult
        The result.
    customer : str
        Customer whose contract was published.
    version : int
        Version of the contract if accepted; otherwise the version in force
        as far as the log was read.
    record_id : str
        Record id with which the same publication may be repeated.
    detail : str
        Reason for the result.
    winner : str
        If the publication lost: author of the contract that was accepted
        instead.
    changes : tuple of Change
        If the publication lost: fields that it would change in the contract
        in force.
    """

    result: PublicationResult
    customer: str
    version: int
    record_id: str
    detail: str = ''
    winner: str = ''
    changes: tuple[Change, ...] = ()


@dataclass(slots=True)
class Publication:
    """One publication in progress.

    Parameters
    ----------
    log : LogClient
        The configuration stream.
    contract : Contract
        Contract to publish.
    author : str
        Name of the operator who publishes.
    base : int or None
        Version that the contract was edited from; None means the version
        in force.
    record_id : str
        Id of the record, the same for every append.
    progress : callable
        Called with a text at each step.
    wall_clock : callable
        Wall clock in seconds since 1970. It only goes into the record.
    ledger : Ledger
        Versions in force as far as the log was read.
    own : Decision or None
        Decision on the own record, once it was read back.
    sent : bool
        Whether an append was started.
    """

    log: LogClient
    contract: Contract
    author: str
    base: int | None = None
    record_id: str = field(default_factory=lambda: str(uuid.uuid4()))
    progress: Callable[[str], None] = lambda _: None
    wall_clock: Callable[[], float] = time.time
    ledger: Ledger = field(default_factory=Ledger)
    own: Decision | None = None
    sent: bool = False

    @property
    def customer(self) -> str:
        """Customer of the contract."""
        return self.contract.customer

    @property
    def state(self) -> CustomerState:
        """State of this customer as far as the log was read."""
        return self.ledger.state(self.customer)

    async def run(
        self, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> PublicationReport:
        """Publish; repeat the append by id until the result is known.

        Parameters
        ----------
        timeout_s : float
            Time limit in seconds. If the append was started by then, the
            result is UNKNOWN.

        Raises
        ------
        LogUnavailable
            If the log cannot be read in time; nothing was published.
        VersionUnknown
            If `base` is not given and the version in force is uncertain.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self._run()
        except TimeoutError as error:
            if self.sent:
                return self._result(
                    PublicationResult.UNKNOWN,
                    'could not determine in time whether the log has the '
                    'record; repeat with the same record id',
                )
            raise LogUnavailable(
                'the log could not be read; nothing was published',
                step='publish',
                peer=str(self.log.url),
            ) from error

    async def _run(self) -> PublicationReport:
        await self._read('reading the log')
        return self._result_without_append() or await self._append()

    async def _append(self) -> PublicationReport:
        record = self._record()
        attempt = 0
        while True:
            attempt += 1
            self.progress(f'appending record {self.record_id}')
            try:
                await self._append_once(record)
            except LogRefused as error:
                return self._result(PublicationResult.INVALID, error.detail)
            except (LogUnavailable, PageUnreadable) as error:
                self.progress(f'no answer to the append: {error.detail}')
                await asyncio.sleep(backoff_s(attempt, self.log.rng))
            # If the answer was lost, the log shows whether the record was
            # written. A record with another id could be a second version.
            await self._read('reading back')
            result = self._result_after_read(record)
            if result is not None:
                return result

    async def _append_once(self, record: Record) -> None:
        self.sent = True
        await self.log.append(self.record_id, record.body())

    async def _read(self, step: str) -> None:
        self.progress(step)
        async for decisions in read_to_end(self.log, self.ledger):
            self._keep_own_decision(decisions)

    def _keep_own_decision(self, decisions: Iterable[Decision]) -> None:
        for decision in decisions:
            record = decision.entry.record
            is_own = (record.record_id, record.customer) == (
                self.record_id,
                self.customer,
            )
            # Later copies of the record do not change the decision on the
            # first one. Only an undecided record may be decided later.
            still_undecided = self.own and self.own.verdict is Verdict.UNDECIDED
            if is_own and (self.own is None or still_undecided):
                self.own = decision

    def _result_without_append(self) -> PublicationReport | None:
        """Return the result if it is known without an append."""
        if self.own is not None:
            return self._result_of_decision(self.own)
        shared = self._customers_with_same_key()
        if shared:
            detail = f'a key is already in the contract of {shared}'
            return self._result(PublicationResult.INVALID, detail)
        if self.base is None:
            self._check_version_known()
        elif self.state.exact and self.base != self.state.version:
            return self._lost_result()
        current = self.state.current if self.state.exact else None
        if current and current.record.contract == self._contract_data():
            return self._result(PublicationResult.ACCEPTED, 'already in force')
        return None

    def _result_after_read(self, record: Record) -> PublicationReport | None:
        if self.own is not None:
            return self._result_of_decision(self.own)
        if self.state.exact and self.state.version >= record.version:
            # If the append takes effect later, its verdict is LOST, because
            # another record with this version was accepted.
            return self._lost_result()
        return None

    def _result_of_decision(self, decision: Decision) -> PublicationReport:
        if decision.verdict is Verdict.ACCEPTED:
            return PublicationReport(
                PublicationResult.ACCEPTED,
                self.customer,
                decision.entry.record.version,
                self.record_id,
                f'accepted at offset {decision.entry.offset}',
            )
        if decision.verdict is Verdict.LOST:
            return self._lost_result(decision.winner)
        if decision.verdict is Verdict.INVALID:
            return self._result(PublicationResult.INVALID, decision.detail)
        return self._result(PublicationResult.UNKNOWN, decision.detail)

    def _lost_result(self, winner: LogEntry | None = None) -> PublicationReport:
        winner = winner or self.state.current
        before = (
            self.state.current.record.contract if self.state.current else {}
        )
        return PublicationReport(
            PublicationResult.LOST,
            self.customer,
            self.state.version,
            self.record_id,
            f'version {self.state.version} is in force',
            winner.record.author if winner else '',
            tuple(diff(before, self._contract_data())),
        )

    def _result(
        self, result: PublicationResult, detail: str
    ) -> PublicationReport:
        return PublicationReport(
            result, self.customer, self.state.version, self.record_id, detail
        )

    def _check_version_known(self) -> None:
        state = self.state
        if state.exact or not (state.version or state.pending):
            return
        raise VersionUnknown(
            f'the version of {self.customer} in force is at least '
            f'{state.version}, but not certain from the records left in the '
            'log; see "limpetlanding status" and give --base',
            step='publish',
            peer=str(self.log.url),
        )

    def _customers_with_same_key(self) -> str:
        keys = set(self.contract.keys)
        others = (
            name
            for name, state in self.ledger.customers.items()
            if name != self.customer
            and state.current
            and keys & set(state.current.record.contract.get('keys', ()))
        )
        return ', '.join(sorted(others))

    def _contract_data(self) -> dict:
        return self.contract.model_dump(mode='json')

    def _record(self) -> Record:
        base = self.state.version if self.base is None else self.base
        return Record(
            record_id=self.record_id,
            customer=self.customer,
            base_version=base,
            version=base + 1,
            rules=CURRENT_RULES,
            contract=self._contract_data(),
            author=self.author,
            as_of=self.ledger.next - 1,
            written_s=self.wall_clock(),
        )


async def publish(
    log: LogClient,
    contract: Contract,
    author: str,
    base: int | None = None,
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> PublicationReport:
    """Publish `contract` and return the result.

    See Also
    --------
    Publication : Parameters, exceptions and further options.
    """
    return await Publication(log, contract, author, base).run(timeout_s)
