"""Publishing of a contract: append, read back, tell what was decided."""

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
    """Closed set of results of a publication."""

    ACCEPTED = 'accepted'
    LOST = 'lost'
    INVALID = 'invalid'
    UNKNOWN = 'unknown'


class VersionUnknown(LimpetlandingError):
    """The retained log does not tell which version is in force."""


@dataclass(frozen=True, slots=True)
class PublicationReport:
    """What became of a publication.

    Parameters
    ----------
    result : PublicationResult
        The result.
    customer : str
        Whose contract it is.
    version : int
        Version of the contract if accepted; else the version in force as
        far as it was read.
    record_id : str
        Id under which the same publication may be repeated.
    detail : str
        What happened, in one sentence.
    winner : str
        Author of the contract that it lost to.
    changes : tuple of Change
        How the contract in force differs from the published one.
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
        What is published.
    author : str
        Who publishes.
    base : int or None
        Version that the contract was edited from; None takes the version
        in force.
    record_id : str
        Id of the record; the same for every attempt.
    progress : callable
        Called with a sentence at each step.
    wall_clock : callable
        Wall clock in seconds since 1970, for the record only.
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
        """State of the customer as far as the log was read."""
        return self.ledger.state(self.customer)

    async def run(
        self, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> PublicationReport:
        """Publish, and repeat the append by id until the result is known.

        Parameters
        ----------
        timeout_s : float
            Time after which the result is ``unknown``, in seconds.

        Raises
        ------
        LogUnavailable
            If the log cannot be read, so that nothing was published.
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
                    'no proof in time that the log has or lacks the record; '
                    'repeat with the same record id',
                )
            raise LogUnavailable(
                'the log could not be read; nothing was published',
                step='publish',
                peer=str(self.log.url),
            ) from error

    async def _run(self) -> PublicationReport:
        await self._read('reading the log')
        return self._known() or await self._append()

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
            # A lost answer is settled by what the log holds, not by a
            # second record.
            await self._read('reading back')
            settled = self._settled(record)
            if settled is not None:
                return settled

    async def _append_once(self, record: Record) -> None:
        self.sent = True
        await self.log.append(self.record_id, record.body())

    async def _read(self, step: str) -> None:
        self.progress(step)
        async for decisions in read_to_end(self.log, self.ledger):
            self._note(decisions)

    def _note(self, decisions: Iterable[Decision]) -> None:
        for decision in decisions:
            record = decision.entry.record
            mine = (record.record_id, record.customer) == (
                self.record_id,
                self.customer,
            )
            # Repeated appends do not change what the first one decided; a
            # decision that was open may be settled later.
            open_still = self.own and self.own.verdict is Verdict.UNDECIDED
            if mine and (self.own is None or open_still):
                self.own = decision

    def _known(self) -> PublicationReport | None:
        """Return a result that needs no append."""
        if self.own is not None:
            return self._decided(self.own)
        shared = self._shared_keys()
        if shared:
            detail = f'a key is already in the contract of {shared}'
            return self._result(PublicationResult.INVALID, detail)
        if self.base is None:
            self._check_certain()
        elif self.state.exact and self.base != self.state.version:
            return self._lost()
        current = self.state.current if self.state.exact else None
        if current and current.record.contract == self._content():
            return self._result(PublicationResult.ACCEPTED, 'already in force')
        return None

    def _settled(self, record: Record) -> PublicationReport | None:
        if self.own is not None:
            return self._decided(self.own)
        if self.state.exact and self.state.version >= record.version:
            # Should the record still arrive, it loses.
            return self._lost()
        return None

    def _decided(self, decision: Decision) -> PublicationReport:
        if decision.verdict is Verdict.ACCEPTED:
            return PublicationReport(
                PublicationResult.ACCEPTED,
                self.customer,
                decision.entry.record.version,
                self.record_id,
                f'accepted at offset {decision.entry.offset}',
            )
        if decision.verdict is Verdict.LOST:
            return self._lost(decision.winner)
        if decision.verdict is Verdict.INVALID:
            return self._result(PublicationResult.INVALID, decision.detail)
        return self._result(PublicationResult.UNKNOWN, decision.detail)

    def _lost(self, winner: LogEntry | None = None) -> PublicationReport:
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
            tuple(diff(before, self._content())),
        )

    def _result(
        self, result: PublicationResult, detail: str
    ) -> PublicationReport:
        return PublicationReport(
            result, self.customer, self.state.version, self.record_id, detail
        )

    def _check_certain(self) -> None:
        state = self.state
        if state.exact or not (state.version or state.pending):
            return
        raise VersionUnknown(
            f'the version of {self.customer} in force is at least '
            f'{state.version} but not certain from the retained log; '
            'see "limpetlanding status" and give --base',
            step='publish',
            peer=str(self.log.url),
        )

    def _shared_keys(self) -> str:
        keys = set(self.contract.keys)
        others = (
            name
            for name, state in self.ledger.customers.items()
            if name != self.customer
            and state.current
            and keys & set(state.current.record.contract.get('keys', ()))
        )
        return ', '.join(sorted(others))

    def _content(self) -> dict:
        return self.contract.model_dump(mode='json')

    def _record(self) -> Record:
        base = self.state.version if self.base is None else self.base
        return Record(
            record_id=self.record_id,
            customer=self.customer,
            base_version=base,
            version=base + 1,
            rules=CURRENT_RULES,
            contract=self._content(),
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
    """Publish `contract`; see `Publication`.

    See Also
    --------
    Publication : Options and progress.
    """
    return await Publication(log, contract, author, base).run(timeout_s)
