"""Verbs for the operator: status, drain and explain."""

import asyncio
import sys
from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path
from typing import Any

import aiohttp
import orjson
from rich.console import Console
from rich.table import Table

from limpetlanding.cli.exits import FAILURE
from limpetlanding.errors import LimpetlandingError

DEFAULT_ENTRIES = 'http://127.0.0.1:8000'
REQUEST_TIMEOUT_S = 5
# Longer lines are read in pieces, so that a file without line ends does not
# exhaust the memory.
MAX_LINE_CHARS = 1_000_000
# Fields that say what a log line is about. All others are inputs of the
# decision that the line reports.
_COMMON_FIELDS = frozenset(
    (
        *('time', 'level', 'message', 'logger', 'traceback'),
        *('role', 'node', 'peer', 'step', 'request_id', 'job_id', 'id'),
    )
)


def status(*, entries: str = DEFAULT_ENTRIES, json: bool = False) -> None:
    """Show entries, agents, endpoints and contracts in force.

    Exit code 1 means that an entry did not answer.

    Parameters
    ----------
    entries : str
        Base URLs of the entries, separated by commas.
    json : bool
        Print the answers as JSON.
    """
    urls = _split_urls(entries)
    answers = asyncio.run(_get_all([f'{url}/statusz' for url in urls]))
    by_entry = dict(zip(urls, answers, strict=True))
    if json:
        print(orjson.dumps(by_entry, option=orjson.OPT_INDENT_2).decode())
    else:
        console = Console()
        for table in status_tables(by_entry):
            console.print(table)
    if any('error' in answer for answer in answers):
        sys.exit(FAILURE)


def drain(node: str, *, json: bool = False) -> None:
    """Stop a process without interrupting a request.

    Parameters
    ----------
    node : str
        Address of its HTTP port, such as ``127.0.0.1:8000``.
    json : bool
        Print JSON.
    """
    base = node if '//' in node else f'http://{node}'
    answer = asyncio.run(_call('POST', f'{base.rstrip("/")}/drain'))
    if json:
        print(orjson.dumps(answer).decode())
    if 'error' in answer:
        raise LimpetlandingError(answer['error'], step='drain', peer=node)
    if not json:
        print(f'{node}: {answer.get("state", "draining")}')


def explain(request_id: str, *files: str, json: bool = False) -> None:
    """Show each step and decision of a request, from log lines in FILES.

    Parameters
    ----------
    request_id : str
        Request id or job id.
    files : str
        Files with the JSON log lines of the processes; standard input if
        none is given.
    json : bool
        Print the log lines as JSON.
    """
    records = sorted(
        find_log_records(str(request_id), _read_lines(files)),
        key=lambda fields: fields['time'],
    )
    if not records:
        raise LimpetlandingError(
            f'no log line has the id {request_id}', step='explain'
        )
    if json:
        print(orjson.dumps(records, option=orjson.OPT_INDENT_2).decode())
        return
    for fields in records:
        route = ' -> '.join(filter(None, (fields['node'], fields['peer'])))
        text = ' '.join(filter(None, (fields['text'], fields['inputs'])))
        print(f'{fields["time"]} {route} [{fields["step"]}] {text}')


def find_log_records(
    request_id: str, lines: Iterable[str]
) -> Iterator[dict[str, str]]:
    """Yield the fields of each log line that belongs to one request.

    Lines that are not JSON objects are skipped, because the output of other
    programs may be mixed in.

    Parameters
    ----------
    request_id : str
        Request id or job id.
    lines : iterable of str
        Lines of loguru's JSON output, or flat JSON objects.

    Examples
    --------
    >>> line = '{"request_id": "r1", "step": "admission", "message": "ok"}'
    >>> [fields['step'] for fields in find_log_records('r1', ['noise', line])]
    ['admission']
    """
    for line in lines:
        if request_id not in line:
            continue
        try:
            # Log collectors write the time and the host before the line.
            data = orjson.loads(line[max(line.find('{'), 0) :])
        except ValueError:
            continue
        if isinstance(data, dict):
            fields, ids = _parse_record(data)
            if request_id in ids:
                yield fields


def status_tables(by_entry: Mapping[str, Mapping[str, Any]]) -> Iterator[Table]:
    """Yield the tables that `status` prints.

    Parameters
    ----------
    by_entry : mapping of str to mapping
        Answer of ``/statusz`` by URL; it has the key ``error`` if the entry
        did not answer.
    """
    yield _entries_table(by_entry)
    answers = [a for a in by_entry.values() if 'error' not in a]
    agents = {
        agent['node']: agent
        for answer in answers
        for agent in answer.get('agents', ())
    }
    yield _agents_table(agents.values())
    yield _versions_table(by_entry)
    yield _refusals_table(answers)


def _entries_table(by_entry: Mapping[str, Mapping[str, Any]]) -> Table:
    table = Table(
        'entry', 'state', 'in flight', 'config age s', title='entries'
    )
    for url, answer in by_entry.items():
        if 'error' in answer:
            table.add_row(url, f'no answer: {answer["error"]}', '', '')
            continue
        age_s = answer.get('config_age_s')
        missing = answer.get('missing')
        state = str(answer.get('state', ''))
        table.add_row(
            str(answer.get('node', url)),
            f'{state} ({missing})' if missing else state,
            str(answer.get('requests_in_flight', '')),
            'unknown' if age_s is None else f'{age_s:.0f}',
        )
    return table


def _agents_table(agents: Iterable[Mapping[str, Any]]) -> Table:
    table = Table(
        'agent',
        'failure domain',
        'state',
        'queue ms',
        'endpoint',
        'kinds',
        'busy/slots',
        'speed',
        title='agents and endpoints',
    )
    for agent in sorted(agents, key=lambda item: item['node']):
        flags = ('suspect', 'draining', 'ejected')
        state = ', '.join(flag for flag in flags if agent.get(flag))
        agent_cells = (
            str(agent['node']),
            str(agent.get('failure_domain', '')),
            state or 'up',
            f'{agent.get("queued_ms", 0):.0f}',
        )
        for endpoint in agent.get('endpoints') or [{}]:
            table.add_row(*agent_cells, *_endpoint_cells(endpoint))
    return table


def _endpoint_cells(endpoint: Mapping[str, Any]) -> tuple[str, ...]:
    if not endpoint:
        return ('none', '', '', '')
    name = str(endpoint.get('endpoint', ''))
    if not endpoint.get('serving', True):
        name = f'{name} (leaving)'
    return (
        name,
        ' '.join(endpoint.get('kinds', ())),
        f'{endpoint.get("busy", 0)}/{endpoint.get("slots", 0)}',
        f'{endpoint.get("speed", 1):.2f}',
    )


def _versions_table(by_entry: Mapping[str, Mapping[str, Any]]) -> Table:
    answers = [a for a in by_entry.values() if 'error' not in a]
    names = [str(answer.get('node', '')) for answer in answers]
    table = Table('customer', *names, title='contract versions in force')
    customers = {c for answer in answers for c in answer.get('versions', ())}
    for customer in sorted(customers):
        versions = [
            str(answer.get('versions', {}).get(customer, 0))
            for answer in answers
        ]
        table.add_row(customer, *versions)
    return table


def _refusals_table(answers: Iterable[Mapping[str, Any]]) -> Table:
    table = Table('reason', 'refusals', title='refusals by reason')
    totals: dict[str, int] = {}
    for answer in answers:
        for reason, count in answer.get('refusals', {}).items():
            totals[reason] = totals.get(reason, 0) + count
    for reason in sorted(totals):
        table.add_row(reason, str(totals[reason]))
    return table


def _parse_record(data: Mapping[str, Any]) -> tuple[dict[str, str], set[str]]:
    # In loguru's own JSON the fields are nested; other lines are flat.
    record = data.get('record', data)
    extra = record.get('extra', record)
    time = record.get('time', '')
    if isinstance(time, Mapping):
        time = time.get('repr', '')
    fields = {
        'time': str(time),
        'node': str(extra.get('node', '')),
        'peer': str(extra.get('peer', '')),
        'step': str(extra.get('step', '')),
        'text': str(record.get('message', '')),
        'inputs': ' '.join(
            f'{key}={value}'
            for key, value in extra.items()
            if key not in _COMMON_FIELDS
        ),
    }
    ids = {str(extra.get(key)) for key in ('request_id', 'job_id', 'id')}
    return fields, ids


def _read_lines(files: Iterable[str]) -> Iterator[str]:
    if not files:
        yield from sys.stdin
    for file in files:
        print(f'reading {file}', file=sys.stderr)
        try:
            with Path(file).open(encoding='utf-8', errors='replace') as lines:
                while line := lines.readline(MAX_LINE_CHARS):
                    yield line
        except OSError as error:
            raise LimpetlandingError(
                str(error), step='explain', peer=file
            ) from error


def _split_urls(entries: str | Iterable[str]) -> list[str]:
    # fire turns a list with commas into a tuple.
    urls = entries.split(',') if isinstance(entries, str) else entries
    return [str(url).strip().rstrip('/') for url in urls]


async def _get_all(urls: Iterable[str]) -> list[dict[str, Any]]:
    return await asyncio.gather(*[_call('GET', url) for url in urls])


async def _call(method: str, url: str) -> dict[str, Any]:
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, url) as response,
        ):
            text = await response.read()
            if response.status >= 400:
                return {'error': f'{response.status} {text[:200].decode()}'}
            return orjson.loads(text)
    except TimeoutError:
        return {'error': f'no answer within {REQUEST_TIMEOUT_S} s'}
    except (aiohttp.ClientError, ValueError) as error:
        return {'error': str(error)}
