"""Reads the log in an entry, and appends old contracts to it again."""

import asyncio
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from loguru import logger

from limpetlanding.config.store import ConfigStore
from limpetlanding.contracts import (
    CustomerState,
    Decision,
    Ledger,
    LogEntry,
    Record,
    RecordKind,
    Verdict,
    read_page,
    restatement_id,
)
from limpetlanding.errors import LimpetlandingError
from limpetlanding.logservice import LogClient
from limpetlanding.wire.job_messages import EntryInfo

READERS_PER_REGION = 2
LONG_POLL_MS = 10_000
# Log records carry the wall clock of their author. If that time is further in
# the future than this, the reader uses its own time instead.
MAX_CLOCK_SKEW_S = 3_600
# The readers of all regions find the same contracts due for restatement. Each
# waits a random part of this time, and none appends what another one has
# appended meanwhile.
RESTATE_SPREAD_S = 120
RESTATE_CHECK_INTERVAL_S = 30
READ_ERROR_PAUSE_S = 5


def is_reader(own: EntryInfo, live: Iterable[EntryInfo]) -> bool:
    """Return whether the entry `own` reads the log.

    In each region, the two live entries with the lowest node names read the
    log, so that changes still arrive if one of them fails.

    Parameters
    ----------
    own : EntryInfo
        This entry.
    live : iterable of EntryInfo
        Other live entries, of any region.

    Examples
    --------
    >>> entries = [EntryInfo(name, '', '', '', 'punjab') for name in 'abc']
    >>> [is_reader(entry, entries) for entry in entries]
    [True, True, False]
    """
    region_nodes = {entry.node for entry in live if entry.region == own.region}
    return (
        sorted(region_nodes | {own.node}).index(own.node) < READERS_PER_REGION
    )


@dataclass(frozen=True, slots=True)
class _VersionTime:
    # Wall-clock time in seconds that belongs to one version of a customer.
    version: int
    at: float


@dataclass(frozen=True, slots=True)
class _Restatement:
    # A contract to append again, and the offset at which it is known to have
    # been in force.
    entry: LogEntry
    as_of: int


class ConfigReader:
    """Reads the log into the store while this entry is one of the readers.

    Parameters
    ----------
    store : ConfigStore
        Store for the accepted contracts.
    log : LogClient
        The configuration stream.
    node : str
        Node name of this entry, written as author of restatements.
    retention_s : float
        Age at which the log removes records, in seconds.
    wall_clock : callable
        Wall clock in seconds since 1970.
    rng : Random, optional
        Source of the random delays of restatements.
    """

    def __init__(
        self,
        store: ConfigStore,
        log: LogClient,
        node: str,
        retention_s: float,
        wall_clock: Callable[[], float] = time.time,
        rng: Random | None = None,
    ) -> None:
        self.store = store
        self.log = log
        self.node = node
        self.retention_s = retention_s
        self.wall_clock = wall_clock
        self.rng = rng or Random()
        self.ledger = Ledger(rules=store.rules)
        # By customer: when the version in force was last written to the log,
        # and when to write it again unless another reader has done so.
        self.last_written: dict[str, _VersionTime] = {}
        self.restate_at: dict[str, _VersionTime] = {}
        self.caught_up = False

    async def run(self, is_reading: Callable[[], bool]) -> None:
        """Read the log while `is_reading` returns true; check once a second.

        Parameters
        ----------
        is_reading : callable
            Returns whether this entry is one of the readers now.
        """
        while True:
            if is_reading():
                await self._read_while(is_reading)
            await asyncio.sleep(1)

    async def read(self) -> None:
        """Read the log into the store until cancelled."""
        while True:
            try:
                page, decisions = await read_page(
                    self.log, self.ledger, LONG_POLL_MS if self.caught_up else 0
                )
            except LimpetlandingError as error:
                logger.bind(step=error.step, peer=error.peer).error(
                    'log cannot be read: {}', error.detail
                )
                await asyncio.sleep(READ_ERROR_PAUSE_S)
                continue
            for decision in decisions:
                self._apply_decision(decision)
            if page.at_end:
                self.caught_up = True
                self.store.informed = True
                self.store.mark_current(asyncio.get_running_loop().time())

    async def restate(self) -> None:
        """Append old contracts again before retention ends, until cancelled."""
        while True:
            await asyncio.sleep(RESTATE_CHECK_INTERVAL_S)
            if self.caught_up:
                await self.restate_due()

    async def restate_due(self) -> None:
        """Append the restatements that are due."""
        for customer in sorted({*self.store.stored, *self.ledger.customers}):
            item = self._restatement_of(customer)
            if item is None:
                self.restate_at.pop(customer, None)
            elif self._is_due(customer, item.entry.record.version):
                await self._append(item)

    def _restatement_of(self, customer: str) -> _Restatement | None:
        state = self.ledger.customers.get(customer, CustomerState())
        stored = self.store.stored.get(customer)
        if stored and stored.version > state.version:
            # The log has lost this version, or does not show it yet. It was
            # in force at its own offset; whether it still was at later ones
            # is not known, so `as_of` is that offset.
            entry = LogEntry(stored.offset, stored.record)
            return _Restatement(entry, stored.offset)
        if state.current is None or self._is_recently_written(
            customer, state.version
        ):
            return None
        as_of = self.ledger.next - 1 if state.exact else state.current.offset
        return _Restatement(state.current, as_of)

    def _is_recently_written(self, customer: str, version: int) -> bool:
        written = self.last_written.get(customer)
        if written is None or written.version != version:
            return False
        return self.wall_clock() - written.at < self.retention_s / 2

    def _is_due(self, customer: str, version: int) -> bool:
        now = self.wall_clock()
        due = self.restate_at.get(customer)
        if due is None or due.version != version:
            at = now + self.rng.uniform(0, RESTATE_SPREAD_S)
            self.restate_at[customer] = _VersionTime(version, at)
            return False
        return now >= due.at

    async def _append(self, item: _Restatement) -> None:
        old = item.entry.record
        record_id = restatement_id(old.customer, old.version, old.contract)
        record = old.model_copy(
            update={
                'record_id': record_id,
                'base_version': old.version,
                'kind': RecordKind.RESTATEMENT,
                'author': self.node,
                'origin': item.entry.offset,
                'as_of': item.as_of,
                'written_s': self.wall_clock(),
            }
        )
        try:
            await self.log.append(record_id, record.body())
        except LimpetlandingError as error:
            # Repeated at the next check: a second copy does no harm.
            logger.bind(step=error.step, peer=error.peer).warning(
                'restatement of {} not appended: {}',
                old.customer,
                error.detail,
            )
        else:
            self.restate_at.pop(old.customer, None)

    async def _read_while(self, is_reading: Callable[[], bool]) -> None:
        tasks = [
            asyncio.create_task(self.read()),
            asyncio.create_task(self.restate()),
        ]
        try:
            while is_reading():
                done, _ = await asyncio.wait(tasks, timeout=1)
                for task in done:
                    task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self.caught_up = False

    def _apply_decision(self, decision: Decision) -> None:
        record = decision.entry.record
        logger.bind(step='configuration', peer=record.author).debug(
            'offset {}: {} version {} {}: {}',
            decision.entry.offset,
            record.customer,
            record.version,
            decision.verdict,
            decision.detail,
        )
        state = self.ledger.customers.get(record.customer)
        if state is None or state.current is None:
            return
        if decision.verdict not in {Verdict.ACCEPTED, Verdict.RESTATED}:
            return
        self.store.put(state.current.offset, state.current.record)
        if record.version == state.version:
            at = self._written_at(record)
            self.last_written[record.customer] = _VersionTime(
                record.version, at
            )

    def _written_at(self, record: Record) -> float:
        now = self.wall_clock()
        if 0 < record.written_s <= now + MAX_CLOCK_SKEW_S:
            return record.written_s
        return now
