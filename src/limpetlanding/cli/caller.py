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
        File with the customer key; the variable LIMPETLANDING_KEY if empty.
    id : str
        Job id; taken from FILE or minted if empty.
    retry : bool
        Submit again after a lost connection or a refusal.
    retries : int
        Most retries.
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
        How long to wait for the end of the job.
    entries : str
        Base URLs of the entries, separated by commas.
    key_file : str
        File with the customer key; the variable LIMPETLANDING_KEY if empty.
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
    """Cancel what has not started of the job ID.

    Parameters
    ----------
    id : str
        Job id.
    entries : str
        Base URLs of the entries, separated by commas.
    key_file : str
        File with the customer key; the variable LIMPETLANDING_KEY if empty.
    json : bool
        Print the whole answer as JSON.
    """
    options = _options(entries, key_file)
    _run(options, lambda client: client.cancel(str(id)), json, ends=True)


def exit_code(answer: Answer, ends: bool = False) -> int:
    """Return the exit code for an answer.

    Parameters
    ----------
    answer : Answer
        Last answer.
    ends : bool
        Whether the verb aims at the end of the job rather than its success.

    Examples
    --------
    >>> exit_code(Answer(200, {'outcome': 'complete'}))
    0
    >>> exit_code(Answer())
    4
    """
    if answer.outcome == Outcome.MAY_HAVE_RUN or answer.status == 0:
        return UNKNOWN
    if answer.status == 500 or (answer.status > 500 and not answer.body):
        return UNKNOWN
    if answer.status in {200, 202} and answer.outcome in {
        '',
        Outcome.COMPLETE,
    }:
        return OK
    return OK if ends and answer.status == 200 else FAILURE


def render(answer: Answer) -> str:
    """Return the answer in a few lines for people."""
    body = answer.body
    if not answer.status:
        return f'no answer: {answer.detail}'
    undecided = 'running' if answer.status == 202 else 'undecided'
    outcome = answer.outcome or undecided
    lines = [f'job {body.get("id") or "-"}: {outcome}']
    lines.extend(
        f'  {name}: {body[name]}'
        for name in ('reason', 'detail', 'step', 'peer', 'next_id')
        if body.get(name)
    )
    lines.extend(
        f'  task {item["index"]}: {item["run_ms"]:.0f} ms at '
        f'{item["endpoint"]}: {orjson.dumps(item["payload"]).decode()}'
        for item in body.get('results', ())
    )
    return '\n'.join(lines)


def _run(
    options: ClientOptions, call: Call, as_json: bool, ends: bool = False
) -> None:
    try:
        answer = asyncio.run(_called(options, call))
    except NoAnswer as error:
        # Without an id nothing was submitted.
        print(error, file=sys.stderr)
        sys.exit(FAILURE)
    if as_json:
        shown = answer.body or {'outcome': None, 'detail': answer.detail}
        print(orjson.dumps(shown).decode())
    else:
        print(render(answer))
    sys.exit(exit_code(answer, ends))


async def _called(options: ClientOptions, call: Call) -> Answer:
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
        _exit_usage(f'needs --key-file or the variable {KEY_VARIABLE}')
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
