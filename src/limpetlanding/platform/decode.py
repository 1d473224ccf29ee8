"""Decodes the platform's bodies into the types of `limpetlanding.runs`."""

import re
from collections.abc import Iterator
from contextlib import suppress
from typing import Any

import orjson
from loguru import logger

from limpetlanding.errors import LimpetlandingError
from limpetlanding.runs.model import (
    Catalog,
    Job,
    Queue,
    Resources,
    RunEnd,
    Step,
)
from limpetlanding.runs.ports import ActiveRun, EndedRun, Executor, Inventory

MAX_TASKS_PER_STEP = 100
"""The platform's jobs have at most this many tasks in one step."""

MAX_NUMBER = 2**53
"""Largest number in a body. All encoders of JSON and msgpack represent sums of
a few such numbers exactly."""

_RUN_ENDS = {
    'done': RunEnd.DONE,
    'failed': RunEnd.FAILED,
    'stopped': RunEnd.STOPPED,
    'lapsed': RunEnd.LAPSED,
    # Another member of the run's group ended, or the others did not start.
    'broken': RunEnd.LAPSED,
    'alone': RunEnd.LAPSED,
}
_EXECUTOR_ID = re.compile('[!-~]{1,255}')
_EXECUTOR_STATES = frozenset(('ready', 'draining'))
# Fields that request features for which the progress of a step must be recorded
# in the store, which is not implemented yet.
_UNSUPPORTED_STEP_FIELDS = ('gang', 'longRunning', 'fills')


class Malformed(LimpetlandingError):
    """A body does not have the form that the platform describes."""


class Unsupported(LimpetlandingError):
    """The job needs a feature that is not implemented yet."""


def load_object(body: bytes, step: str) -> dict[str, Any]:
    """Return the JSON object in a body.

    Raises
    ------
    Malformed
        If the body is not a JSON object.
    """
    try:
        fields = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise Malformed(f'not JSON: {error}', step=step) from error
    if not isinstance(fields, dict):
        raise Malformed('not a JSON object', step=step)
    return fields


def decode_job(job_id: str, body: bytes) -> Job:
    """Return the submitted job.

    Raises
    ------
    Malformed
        If a field is missing or wrong.
    Unsupported
        If the job needs a feature that is not implemented yet.

    Examples
    --------
    >>> job = decode_job('5c0e7a21d94b36f8', b'''{"spec": "x",
    ...     "bestEffort": true, "pipeline": [{"count": 2, "cpu": 500}]}''')
    >>> job.steps[0].count, job.steps[0].need
    (2, Resources(cpu=500, memory_mb=0, gpu=0))
    """
    fields = load_object(body, 'submit')
    spec = optional_field(fields, 'spec', str, '', 'submit')
    if not fields.get('bestEffort'):
        raise Unsupported('jobs that must be stored', step='submit')
    if fields.get('repeatCount'):
        raise Unsupported('repeated jobs', step='submit')
    pipeline = optional_field(fields, 'pipeline', list, [], 'submit')
    if not pipeline:
        raise Malformed('pipeline is empty', step='submit')
    steps = [_decode_step(index, step) for index, step in enumerate(pipeline)]
    return Job(job_id, spec, tuple(steps))


def decode_catalog(body: bytes) -> Catalog:
    """Return the published configuration.

    Raises
    ------
    Malformed
        If a field is missing or of another type.
    """
    fields = load_object(body, 'configure')
    limits = optional_field(fields, 'limits', dict, {}, 'configure')
    routes = optional_field(fields, 'routes', list, [], 'configure')
    services = optional_field(fields, 'services', list, [], 'configure')
    return Catalog(
        version=count_field(fields, 'version', 0, 'configure'),
        queues=[_decode_queue(route) for route in routes],
        pools=[_decode_pool(x) for x in services],
        max_body_bytes=count_field(
            limits, 'maxBodyBytes', 262_144, 'configure'
        ),
    )


def decode_executor(executor_id: str, body: bytes) -> Executor:
    """Return the announcement of an executor.

    Raises
    ------
    Malformed
        If the id is not usable, or a field is missing, of another type, out of
        range, or names an unknown state.
    """
    if not is_executor_id(executor_id):
        raise Malformed(f'id {executor_id[:50]!r}', step='announce')
    fields = load_object(body, 'announce')
    state = required_field(fields, 'state', str, 'announce')
    if state not in _EXECUTOR_STATES:
        raise Malformed(f'unknown state {state[:50]!r}', step='announce')
    labels = optional_field(fields, 'labels', list, [], 'announce')
    if not all(isinstance(label, str) for label in labels):
        raise Malformed('labels: expected texts', step='announce')
    room = required_field(fields, 'capacity', dict, 'announce')
    # Heartbeats in which these are wrong come from another writer. The number
    # of slots may be omitted, as all fields whose value is 0.
    for name in ('address', 'zone', 'version'):
        required_field(fields, name, str, 'announce')
    count_field(fields, 'slots', 0, 'announce')
    return Executor(
        executor_id=executor_id,
        start_time_ms=count_field(fields, 'born', 0, 'announce'),
        pool=required_field(fields, 'service', str, 'announce'),
        capacity=_decode_room(room, 'announce'),
        labels=tuple(labels),
        draining=state == 'draining',
        sequence=required_count(fields, 'seq', 'announce'),
    )


def is_executor_id(text: str) -> bool:
    """Tell whether a text can be the id of an executor.

    Calls carry the id in a header, which holds no other characters.
    """
    return _EXECUTOR_ID.fullmatch(text) is not None


def decode_inventory(body: bytes) -> Inventory:
    """Return the runs that an executor lists.

    Active runs that cannot be read are left out. None of them was ordered,
    since its task and number would be readable.

    Raises
    ------
    Malformed
        If the lists cannot be read, or another field is missing or wrong.
    """
    fields = load_object(body, 'look')
    running = required_field(fields, 'running', list, 'look')
    ends = required_field(fields, 'endedRuns', list, 'look')
    active = [run for row in running for run in _decode_active(row)]
    if len(active) < len(running):
        logger.bind(step='look').error(
            '{} unreadable active runs ignored', len(running) - len(active)
        )
    return Inventory(
        clock_ms=required_count(fields, 'clockMs', 'look'),
        start_time_ms=count_field(fields, 'born', 0, 'look'),
        active=active,
        ended=sorted(map(_decode_ended, ends), key=lambda end: end.number),
    )


def _decode_active(row: Any) -> Iterator[ActiveRun]:
    """Yield the active run of a row, or nothing if it cannot be read.

    Without a readable percentage the run counts as one without progress.
    """
    with suppress(TypeError, LookupError):
        task, run, percent = row[0], row[1], row[3]
        if _is_run(task, run):
            is_number = percent.__class__ in {int, float}
            yield ActiveRun(
                task,
                run,
                float(min(max(percent, 0), 100)) if is_number else 0,
            )


def _decode_ended(row: Any) -> EndedRun:
    """Return the ended run of a row.

    An end whose other parts cannot be read is acknowledged like all others, so
    that the executor does not list it again. One without a number could not be
    acknowledged, and would be listed in each answer.

    Raises
    ------
    Malformed
        If the number cannot be read.
    """
    try:
        number, task, run, how = row[:4]
    except (TypeError, LookupError, ValueError) as error:
        raise Malformed(f'ended runs: {error}', step='look') from error
    if not is_count(number):
        raise Malformed('ended runs: a number is wrong', step='look')
    if not _is_run(task, run):
        task, run = '', 0
    known = _RUN_ENDS.get(how) if isinstance(how, str) else None
    if known is None or not task:
        logger.bind(step='look', number=number).error('unreadable end of a run')
    return EndedRun(number, task, run, known or RunEnd.LAPSED)


def _is_run(task: Any, run: Any) -> bool:
    return isinstance(task, str) and is_count(run)


def is_count(value: Any) -> bool:
    """Tell whether a value is a whole number from 0 to `MAX_NUMBER`."""
    return value.__class__ is int and 0 <= value <= MAX_NUMBER


def _decode_step(index: int, fields: Any) -> Step:
    if not isinstance(fields, dict):
        raise Malformed(f'step {index} is not an object', step='submit')
    for name in _UNSUPPORTED_STEP_FIELDS:
        if fields.get(name):
            raise Unsupported(f'steps with {name}', step='submit')
    count = optional_field(fields, 'count', int, 1, 'submit')
    if not 1 <= count <= MAX_TASKS_PER_STEP:
        raise Malformed(f'step {index}: count {count}', step='submit')
    after = tuple(optional_field(fields, 'dependsOn', list, [], 'submit'))
    if not all(is_count(x) and x < index for x in after):
        raise Malformed(f'step {index}: dependsOn is wrong', step='submit')
    return Step(
        count=count,
        need=_decode_room(fields, 'submit'),
        estimate_ms=float(optional_number(fields, 'estimateMs', 'submit')),
        after=after,
        label=optional_field(fields, 'requirements', str, '', 'submit'),
        data_rack=optional_field(fields, 'affinity', str, '', 'submit'),
        max_tasks_per_worker=count_field(fields, 'antiAffinity', 0, 'submit'),
    )


def _decode_queue(fields: Any) -> Queue:
    if not isinstance(fields, dict):
        raise Malformed('a route is not an object', step='configure')
    return Queue(
        name=optional_field(fields, 'name', str, '', 'configure'),
        host=required_field(fields, 'host', str, 'configure').lower(),
        prefix=required_field(fields, 'pathPrefix', str, 'configure'),
        pool=required_field(fields, 'service', str, 'configure'),
        priority=count_field(fields, 'priority', 0, 'configure'),
        max_attempts=count_field(fields, 'maxAttempts', 1, 'configure'),
        stretch=float(optional_number(fields, 'stretch', 'configure') or 1),
        target_ms=float(
            optional_number(fields, 'targetLatencyMs', 'configure')
        ),
    )


def _decode_pool(fields: Any) -> str:
    if not isinstance(fields, dict):
        raise Malformed('a service is not an object', step='configure')
    return required_field(fields, 'name', str, 'configure')


def _decode_room(fields: dict[str, Any], step: str) -> Resources:
    return Resources(
        cpu=count_field(fields, 'cpu', 0, step),
        memory_mb=count_field(fields, 'memMb', 0, step),
        gpu=count_field(fields, 'gpu', 0, step),
    )


def optional_number(fields: dict[str, Any], name: str, step: str) -> float:
    """Return a number from 0 to `MAX_NUMBER`; 0 if the field is missing.

    Raises
    ------
    Malformed
        If the field is of another type or out of range.
    """
    value = fields.get(name) or 0
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise Malformed(f'{name}: expected a number', step=step)
    if not 0 <= value <= MAX_NUMBER:
        raise Malformed(f'{name}: {value} is out of range', step=step)
    return value


def count_field(
    fields: dict[str, Any], name: str, default: int, step: str
) -> int:
    """Return a whole number from 0 to `MAX_NUMBER`.

    Raises
    ------
    Malformed
        If the field is of another type or out of range.
    """
    value = optional_field(fields, name, int, default, step)
    if not 0 <= value <= MAX_NUMBER:
        raise Malformed(f'{name}: {value} is out of range', step=step)
    return value


def required_count(fields: dict[str, Any], name: str, step: str) -> int:
    """Return a whole number from 0 to `MAX_NUMBER`.

    Raises
    ------
    Malformed
        If the field is missing, of another type or out of range.
    """
    required_field(fields, name, int, step)
    return count_field(fields, name, 0, step)


def optional_field(
    fields: dict[str, Any], name: str, kind: type, default: Any, step: str
) -> Any:
    """Return a field of the given type, or the default if it is missing.

    Raises
    ------
    Malformed
        If the field is of another type.
    """
    # The platform omits fields whose value is zero, false or empty.
    value = fields.get(name)
    if value is None:
        return default
    if value.__class__ is not kind:
        raise Malformed(f'{name}: expected {kind.__name__}', step=step)
    return value


def required_field(
    fields: dict[str, Any], name: str, kind: type, step: str
) -> Any:
    """Return a field of the given type.

    Raises
    ------
    Malformed
        If the field is missing or of another type.
    """
    if fields.get(name) is None:
        raise Malformed(f'{name} is missing', step=step)
    return optional_field(fields, name, kind, None, step)
