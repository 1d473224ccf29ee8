"""Reading of the configuration stream into a ledger."""

from collections.abc import AsyncIterator, Iterable

from limpetlanding.contracts.ledger import Decision, Ledger
from limpetlanding.contracts.record import InvalidRecord, parse_record
from limpetlanding.logservice import LogClient, LogRecord, LogTruncated, Page


def apply_records(
    ledger: Ledger, records: Iterable[LogRecord]
) -> list[Decision]:
    """Apply log records in offset order; skip invalid bodies.

    Parameters
    ----------
    ledger : Ledger
        Ledger of the reader; it is updated.
    records : iterable of LogRecord
        Records, the first at offset ``ledger.next`` or later.
    """
    decisions = []
    for item in records:
        try:
            record = parse_record(item.body)
        except InvalidRecord:
            continue
        decisions.extend(ledger.apply(item.offset, record))
    return decisions


async def read_page(
    log: LogClient, ledger: Ledger, wait_ms: int = 0
) -> tuple[Page, list[Decision]]:
    """Read and apply the next page; retry until the log answers.

    If retention has removed records that were not read, the ledger records
    the gap and reading continues at the oldest record that is left.

    Parameters
    ----------
    wait_ms : int
        How long the log may wait for a record, in milliseconds.
    """
    while True:
        try:
            page = await log.read_with_retries(ledger.next, wait_ms)
        except LogTruncated as error:
            ledger.skip_to(error.first)
        else:
            decisions = apply_records(ledger, page.records)
            ledger.next = max(ledger.next, page.next)
            return page, decisions


async def read_to_end(
    log: LogClient, ledger: Ledger
) -> AsyncIterator[list[Decision]]:
    """Yield the decisions on each page, up to the present end of the log."""
    while True:
        page, decisions = await read_page(log, ledger)
        if not page.records:
            return
        yield decisions
