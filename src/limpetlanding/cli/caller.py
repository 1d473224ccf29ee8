"""Verbs for callers: submit, status-job and cancel."""

import asyncio
import os
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from typing import Any

import aiohttp
import orjson

from limpetlanding.cli.client import Answer, Client, ClientOptions, NoAnswer
from limpetlanding.cli.exits import FAILURE, OK, UNKNOWN, USAGE
from limpetlanding.jobs import Outcome

KEY_VARIABLE = 'LIMPETLANDING_KEY'
DEFAULT_ENTRY = 'http://127.0.0.1:8000'
DEFAULT_RETRIES = 5

Call = Callable[[Client], Awaitable[Answer]]


def submit(
    file: str,
    *,
    entries: str = DEFAULT_ENTRY,
    key_file: str = '',
    id: str = '',
    retry: bool = False,
    retries: int = DEFAULT_RETRIES,
    json: bool = False,
) -> None:
    """Submit the job in FILE, or on standard input if FILE is ``-``.

    Parameters
    ----------
    file : str
        JSON as for ``POST /v1/jobs``.
    entries : str
        Base URLs of the entries, separated by commas.
    key_file : str
        File with the customer key; if empty, the key is read from the
        environment variable LIMPETLANDING_KEY.
    id : str
        Job id; if empty, the id in FILE or else a new one from an entry.
    retry : bool
        Submit again after a lost connection or a refusal.
    retries : int
        Largest number of retries.
    json : bool
        Print the whole answer as JSON.
    """
    body = _read_body(file)
    if id:
        body['id'] = id
    options = _options(entries, key_file, retries if retry else 0)
    deadline_ms = body.get('deadline_ms')
    if isinstance(deadline_ms, (int, float)):
        options.timeout_s = max(options.timeout_s, 2 * deadline_ms / 1000)
    _run(options, lambda client: client.submit(body), json)


def status_job(
    id: str,
    *,
    wait_ms: int = 0,
    entries: str = DEFAULT_ENTRY,
    key_file: str = '',
    json: bool = False,
) -> None:
    """Show the state of the job ID.

    Parameters
    ----------
    id : str
        Job id.
    wait_ms : int
        Longest time to wait for the end of the job, in milliseconds.
    entries : str
        Base URLs of the entries, separated by commas.
    key_file : str
        File with the customer key; if empty, the key is read from the
        environment variable LIMPETLANDING_KEY.
    json : bool
        Print the whole answer as JSON.
    """
    options = _options(entries, key_file)
    _run(options, lambda client: client.status(str(id), wait_ms), json)


def cancel(
    id: str,
    *,
    entries: str = DEFAULT_ENTRY,
    key_file: str = '',
    json: bool = False,
) -> None:
    """Cancel the tasks of the job ID that have not started.

    Parameters
    ----------
    id : str
        Job id.
    entries : str
        Base URLs of the entries, separated by commas.
    key_file : str
        File with the customer key; if empty, the key is read from the
        environment variable LIMPETLANDING_KEY.
    json : bool
        Print the whole answer as JSON.
    """
    options = _options(entries, key_file)
    _run(options, lambda client: client.cancel(str(id)), json, is_cancel=True)


def exit_code(answer: Answer, is_cancel: bool = False) -> int:
    """Return the exit code for an answer.

    Parameters
    ----------
    answer : Answer
        Last answer.
    is_cancel : bool
        Whether the verb is ``cancel``, which succeeds with status 200
        whatever the outcome of the job.

    Examples
    --------
    >>> exit_code(Answer(200, {'outcome': 'complete'}))
    0
    >>> exit_code(Answer())
    4
    """
    if answer.outcome == Outcome.MAY_HAVE_RUN or answer.status == 0:
        return UNKNOWN
    if answer.earlier_may_have_run and answer.outcome != Outcome.COMPLETE:
        return UNKNOWN
    if answer.status == 500 or (answer.status > 500 and not answer.body):
        return UNKNOWN
    if answer.status in {200, 202} and answer.outcome in {
        '',
        Outcome.COMPLETE,
    }:
        return OK
    return OK if is_cancel and answer.status == 200 else FAILURE


def render(answer: Answer) -> str:
    """Return the answer as a few lines of readable text."""
    body = answer.body
    if not answer.status:
        return f'no answer: {answer.detail}'
    default_state = 'running' if answer.status == 202 else 'undecided'
    outcome = answer.outcome or default_state
    lines = [f'job {body.get("id") or "-"}: {outcome}']
    lines.extend(
        f'  {name}: {body[name]}'
        for name in ('reason', 'detail', 'step', 'peer', 'next_id')
        if body.get(name)
    )
    if answer.earlier_may_have_run:
        lines.append('  an earlier request may have run the job')
    lines.extend(
        f'  task {item["index"]}: {item["run_ms"]:.0f} ms at '
        f'{item["endpoint"]}: {orjson.dumps(item["payload"]).decode()}'
        for item in body.get('results', ())
    )
    return '\n'.join(lines)


def _run(
    options: ClientOptions, call: Call, as_json: bool, is_cancel: bool = False
) -> None:
    try:
        answer = asyncio.run(_call_entries(options, call))
    except NoAnswer as error:
        # Without a job id nothing was submitted.
        print(error, file=sys.stderr)
        sys.exit(FAILURE)
    if as_json:
        output = answer.body or {'outcome': None, 'detail': answer.detail}
        if answer.earlier_may_have_run:
            output = output | {'earlier_may_have_run': True}
        print(orjson.dumps(output).decode())
    else:
        print(render(answer))
    sys.exit(exit_code(answer, is_cancel))


async def _call_entries(options: ClientOptions, call: Call) -> Answer:
    async with aiohttp.ClientSession() as session:
        return await call(Client(session, options, Random()))


def _options(entries: Any, key_file: str, retries: int = 0) -> ClientOptions:
    # fire turns "a,b" into a tuple.
    urls = entries.split(',') if isinstance(entries, str) else entries
    if key_file:
        try:
            key = Path(key_file).read_text().strip()
        except OSError as error:
            _exit_usage(f'cannot read the key: {error}')
    else:
        key = os.environ.get(KEY_VARIABLE, '')
    if not key:
        _exit_usage(f'no customer key: use --key-file or set {KEY_VARIABLE}')
    return ClientOptions([str(url) for url in urls], key, retries)


def _read_body(file: str) -> dict[str, Any]:
    try:
        text = sys.stdin.read() if file == '-' else Path(file).read_text()
        body = orjson.loads(text)
    except (OSError, ValueError) as error:
        _exit_usage(f'cannot read the job: {error}')
    if not isinstance(body, dict):
        _exit_usage('the job is not a JSON object')
    return body


def _exit_usage(message: str) -> None:
    print(message, file=sys.stderr)
    sys.exit(USAGE)
