"""Verbs for the operator: contract check, diff, publish, show, history."""

import asyncio
import getpass
import os
import sys
from collections.abc import Awaitable, Callable
from dataclasses import asdict
from typing import Any

import orjson

from limpetlanding.cli.exits import FAILURE, LOST_RACE, OK, UNKNOWN
from limpetlanding.contracts import (
    Contract,
    Decision,
    Ledger,
    Publication,
    PublicationReport,
    PublicationResult,
    diff,
    hash_key,
    load_contract,
    new_key,
    read_to_end,
)
from limpetlanding.errors import LimpetlandingError
from limpetlanding.logservice import LogClient

LOG_VARIABLE = 'LIMPETLANDING_LOG'
DEFAULT_LOG = 'http://127.0.0.1:7400'
DEFAULT_STREAM = 'contracts'
READ_TIMEOUT_S = 60

_EXIT_CODES = {
    PublicationResult.ACCEPTED: OK,
    PublicationResult.LOST: LOST_RACE,
    PublicationResult.INVALID: FAILURE,
    PublicationResult.UNKNOWN: UNKNOWN,
}


def check(*files: str, json: bool = False) -> None:
    """Check contract FILES without publishing them.

    Parameters
    ----------
    json : bool
        Print JSON.
    """
    if not files:
        raise LimpetlandingError(
            'no contract file is given', step='check contract'
        )
    contracts = {file: load_contract(file) for file in files}
    if json:
        _print_json(
            [{'file': f, 'customer': c.customer} for f, c in contracts.items()]
        )
    else:
        for file, contract in contracts.items():
            print(f'{file}: valid contract of {contract.customer}')


def show_diff(file: str, *, log: str = '', json: bool = False) -> None:
    """Compare FILE with the contract in force in the log.

    Parameters
    ----------
    log : str
        URL of the log; if empty, it is read from the environment variable
        LIMPETLANDING_LOG.
    json : bool
        Print JSON.
    """
    contract = load_contract(file)
    state = _read(log)[0].state(contract.customer)
    before = state.current.record.contract if state.current else {}
    changes = diff(before, _contract_fields(contract))
    if json:
        _print_json(
            {
                'customer': contract.customer,
                'version': state.version,
                'certain': state.exact,
                'changes': [asdict(change) for change in changes],
            }
        )
        return
    print(f'{contract.customer}: version {state.version} is in force')
    print(*(changes or ['no difference']), sep='\n')


def publish(
    file: str,
    *,
    log: str = '',
    author: str = '',
    base: int | None = None,
    record_id: str = '',
    timeout_s: float = READ_TIMEOUT_S,
    json: bool = False,
) -> None:
    """Publish the contract in FILE and print whether it is in force.

    Exit code 3 means that another operator published first. Exit code 4
    means that the result is unknown; repeat with the printed record id.

    Parameters
    ----------
    log : str
        URL of the log; if empty, it is read from the environment variable
        LIMPETLANDING_LOG.
    author : str
        Author of the publication; if empty, the name of the user.
    base : int
        Version that FILE was edited from. The publication loses if another
        version has come into force since, so that it does not undo that
        change. Without it, the version in force is replaced.
    record_id : str
        Id that was printed by a publication with unknown result.
    timeout_s : float
        Time after which the result counts as unknown, in seconds.
    json : bool
        Print JSON.
    """
    contract = load_contract(file)
    options = {'record_id': str(record_id)} if record_id else {}

    async def run(client: LogClient) -> PublicationReport:
        publication = Publication(
            client,
            contract,
            author or getpass.getuser(),
            base,
            progress=_print_progress,
            **options,
        )
        return await publication.run(timeout_s)

    published = _with_log(log, run)
    if json:
        _print_json(asdict(published))
    else:
        _print_published(published)
    sys.exit(_EXIT_CODES[published.result])


def show(customer: str, *, log: str = '', json: bool = False) -> None:
    """Show the contract of CUSTOMER that is in force in the log.

    Parameters
    ----------
    log : str
        URL of the log; if empty, it is read from the environment variable
        LIMPETLANDING_LOG.
    json : bool
        Print JSON, with the offset and the author of the record as well.
    """
    state = _read(log)[0].state(str(customer))
    if state.current is None:
        raise LimpetlandingError(
            f'the log has no contract of {customer}', step='show contract'
        )
    contract = state.current.record.contract
    if json:
        _print_json(
            {
                'version': state.version,
                'certain': state.exact,
                'offset': state.current.offset,
                'author': state.current.record.author,
                'contract': contract,
            }
        )
        return
    uncertainty = '' if state.exact else ' (newer versions may exist)'
    print(f'// {customer}, version {state.version}{uncertainty}')
    print(orjson.dumps(contract, option=orjson.OPT_INDENT_2).decode())


def history(customer: str, *, log: str = '', json: bool = False) -> None:
    """List the records of CUSTOMER in the log with the verdict on each.

    Parameters
    ----------
    log : str
        URL of the log; if empty, it is read from the environment variable
        LIMPETLANDING_LOG.
    json : bool
        Print JSON.
    """
    decisions = {
        decision.entry.offset: decision
        for decision in _read(log)[1]
        if decision.entry.record.customer == str(customer)
    }
    rows = [_history_row(decisions[offset]) for offset in sorted(decisions)]
    if json:
        _print_json(rows)
        return
    for row in rows:
        detail = f': {row["detail"]}' if row['detail'] else ''
        print(
            f'offset {row["offset"]}: version {row["version"]} by '
            f'{row["author"]}, {row["verdict"]}{detail}'
        )


def make_key(*, json: bool = False) -> None:
    """Generate a customer key and the hash to list in the contract.

    Parameters
    ----------
    json : bool
        Print JSON.
    """
    key = new_key()
    key_hash = hash_key(key)
    if json:
        _print_json({'key': key, 'hash': key_hash})
    else:
        print(f'key for the customer: {key}')
        print(f'hash for the contract: {key_hash}')


VERBS = {
    'check': check,
    'diff': show_diff,
    'publish': publish,
    'show': show,
    'history': history,
    'new-key': make_key,
}


def _with_log(url: str, work: Callable[[LogClient], Awaitable[Any]]) -> Any:
    address = url or os.environ.get(LOG_VARIABLE) or DEFAULT_LOG

    async def run() -> Any:
        async with LogClient(address, DEFAULT_STREAM) as client:
            return await work(client)

    return asyncio.run(run())


def _read(url: str) -> tuple[Ledger, list[Decision]]:
    async def read(client: LogClient) -> tuple[Ledger, list[Decision]]:
        ledger = Ledger()
        decisions: list[Decision] = []
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                async for page in read_to_end(client, ledger):
                    decisions.extend(page)
                    _print_progress(f'read up to offset {ledger.next}')
        except TimeoutError as error:
            raise LimpetlandingError(
                f'no answer within {READ_TIMEOUT_S} s',
                step='read log',
                peer=str(client.url),
            ) from error
        return ledger, decisions

    return _with_log(url, read)


def _history_row(decision: Decision) -> dict[str, Any]:
    record = decision.entry.record
    return {
        'offset': decision.entry.offset,
        'version': record.version,
        'author': record.author,
        'kind': record.kind,
        'verdict': decision.verdict,
        'detail': decision.detail,
        'record_id': record.record_id,
    }


def _print_published(published: PublicationReport) -> None:
    print(f'{published.customer}: {published.result}, {published.detail}')
    if published.result is PublicationResult.ACCEPTED:
        print(f'version {published.version}')
    elif published.result is PublicationResult.LOST:
        print(
            f'lost to {published.winner}, who was first; the file would change:'
        )
        print(*published.changes, sep='\n')
    elif published.result is PublicationResult.UNKNOWN:
        print(f'repeat with --record-id {published.record_id}')


def _contract_fields(contract: Contract) -> dict[str, Any]:
    return contract.model_dump(mode='json')


def _print_progress(text: str) -> None:
    print(text, file=sys.stderr)


def _print_json(data: Any) -> None:
    print(orjson.dumps(data, option=orjson.OPT_INDENT_2).decode())
