"""Decodes the platform's bodies into the types of `limpetlanding.runs`."""

from typing import Any

import orjson

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

_RUN_ENDS = {
    'done': RunEnd.DONE,
    'failed': RunEnd.FAILED,
    'stopped': RunEnd.STOPPED,
    'lapsed': RunEnd.LAPSED,
    # Another member of the run's group ended, or the others did not start.
    'broken': RunEnd.LAPSED,
    'alone': RunEnd.LAPSED,
}
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
        version=optional_field(fields, 'version', int, 0, 'configure'),
        queues=[_decode_queue(route) for route in routes],
        pools=[_decode_pool(x) for x in services],
        max_body_bytes=optional_field(
            limits, 'maxBodyBytes', int, 262_144, 'configure'
        ),
    )


def decode_executor(executor_id: str, body: bytes) -> Executor:
    """Return the announcement of an executor.

    Raises
    ------
    Malformed
        If a field is missing, of another type, or names an unknown state.
    """
    fields = load_object(body, 'announce')
    state = required_field(fields, 'state', str, 'announce')
    if state not in _EXECUTOR_STATES:
        raise Malformed(f'unknown state {state!r}', step='announce')
    labels = optional_field(fields, 'labels', list, [], 'announce')
    room = required_field(fields, 'capacity', dict, 'announce')
    required_field(fields, 'address', str, 'announce')
    return Executor(
        executor_id=executor_id,
        start_time_ms=optional_field(fields, 'born', int, 0, 'announce'),
        pool=required_field(fields, 'service', str, 'announce'),
        capacity=_decode_room(room, 'announce'),
        labels=tuple(str(label) for label in labels),
        draining=state == 'draining',
        sequence=required_field(fields, 'seq', int, 'announce'),
    )


def decode_inventory(body: bytes) -> Inventory:
    """Return the runs that an executor lists.

    Raises
    ------
    Malformed
        If the lists cannot be read, or another field is missing or wrong.
    """
    fields = load_object(body, 'look')
    try:
        active = [
            ActiveRun(row[0], row[1], float(row[3]))
            for row in fields['running']
        ]
        ended = [
            EndedRun(row[0], row[1], row[2], _RUN_ENDS[row[3]])
            for row in fields['endedRuns']
        ]
    except (LookupError, TypeError, ValueError) as error:
        raise Malformed(f'lists of runs: {error!r}', step='look') from error
    return Inventory(
        clock_ms=required_field(fields, 'clockMs', int, 'look'),
        start_time_ms=optional_field(fields, 'born', int, 0, 'look'),
        active=active,
        ended=sorted(ended, key=lambda end: end.number),
    )


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
    if not all(isinstance(x, int) and 0 <= x < index for x in after):
        raise Malformed(f'step {index}: dependsOn {after}', step='submit')
    need = _decode_room(fields, 'submit')
    if not need.covers(Resources()):
        # Such a task would make room for others beyond the capacity.
        raise Malformed(f'step {index}: negative resources', step='submit')
    return Step(
        count=count,
        need=need,
        estimate_ms=float(optional_number(fields, 'estimateMs', 'submit')),
        after=after,
        label=optional_field(fields, 'requirements', str, '', 'submit'),
        data_rack=optional_field(fields, 'affinity', str, '', 'submit'),
        max_tasks_per_worker=optional_field(
            fields, 'antiAffinity', int, 0, 'submit'
        ),
    )


def _decode_queue(fields: Any) -> Queue:
    if not isinstance(fields, dict):
        raise Malformed('a route is not an object', step='configure')
    return Queue(
        name=optional_field(fields, 'name', str, '', 'configure'),
        host=required_field(fields, 'host', str, 'configure').lower(),
        prefix=required_field(fields, 'pathPrefix', str, 'configure'),
        pool=required_field(fields, 'service', str, 'configure'),
        priority=optional_field(fields, 'priority', int, 0, 'configure'),
        max_attempts=optional_field(fields, 'maxAttempts', int, 1, 'configure'),
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
        cpu=optional_field(fields, 'cpu', int, 0, step),
        memory_mb=optional_field(fields, 'memMb', int, 0, step),
        gpu=optional_field(fields, 'gpu', int, 0, step),
    )


def optional_number(fields: dict[str, Any], name: str, step: str) -> float:
    """Return a number; 0 if the field is missing.

    Raises
    ------
    Malformed
        If the field is of another type.
    """
    value = fields.get(name) or 0
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise Malformed(f'{name}: expected a number', step=step)
    return value


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
