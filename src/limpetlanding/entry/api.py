"""Models of the caller API, and parsing of request bodies within limits."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Annotated, Any, TypeVar

import pydantic_core
from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    StringConstraints,
    ValidationError,
)

from limpetlanding.errors import LimpetlandingError
from limpetlanding.jobs import payloads_digest

MAX_BODY_BYTES = 1_048_576
MAX_TASKS = 100
MAX_IDS = 1000
MAX_NESTING_LEVELS = 32
MAX_DEADLINE_MS = 600_000
MAX_WAIT_MS = 60_000
_MAX_REPORTED_ERRORS = 10
_MAX_ID_CHARS = 64

Kind = Annotated[
    str, StringConstraints(pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$')
]
DeadlineMs = Annotated[
    float, Field(gt=0, le=MAX_DEADLINE_MS, allow_inf_nan=False)
]


@dataclass(frozen=True, slots=True)
class FieldError:
    """What is wrong with one field of a request."""

    field: str
    message: str


class MalformedRequest(LimpetlandingError):
    """The request breaks the rules of the caller API.

    Parameters
    ----------
    errors : list of FieldError
        The fields at fault.
    """

    def __init__(self, errors: list[FieldError], step: str = 'parse') -> None:
        summary = '; '.join(f'{e.field}: {e.message}' for e in errors)
        super().__init__(summary, step=step)
        self.errors = errors


class _RequestBody(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True, strict=True)


class IdsBody(_RequestBody):
    """Body of ``POST /v1/ids``."""

    count: Annotated[int, Field(ge=1, le=MAX_IDS)] = 1


class TaskBody(_RequestBody):
    """One task of a submission.

    `size` is the declared size in the unit of the endpoints' ``max_size``
    and `run_ms` the declared run time in milliseconds.
    """

    kind: Kind
    payload: Any
    size: Annotated[int, Field(ge=0, le=2**53)] | None = None
    run_ms: DeadlineMs | None = None


class SubmitBody(_RequestBody):
    """Body of ``POST /v1/jobs``."""

    id: Annotated[str, Field(max_length=_MAX_ID_CHARS)] | None = None
    tasks: Annotated[list[TaskBody], Field(min_length=1, max_length=MAX_TASKS)]
    deadline_ms: DeadlineMs | None = None
    repeatable: bool = False
    wait: bool = True


class IdsAnswer(BaseModel):
    """Answer to ``POST /v1/ids``."""

    ids: list[str]


class ResultAnswer(BaseModel):
    """Result of one task.

    `queue_ms` is the time in the queue of the agent, `run_ms` the run time
    at the endpoint.
    """

    index: int
    payload: Any
    run_ms: float
    queue_ms: float
    agent: str
    endpoint: str


class JobStatus(BaseModel):
    """State of a job; `outcome` is null while it is not decided."""

    id: str
    outcome: str | None
    task_count: int
    digest: str
    results: list[ResultAnswer]
    reason: str = ''
    step: str = ''
    peer: str = ''
    detail: str = ''


class FieldProblem(BaseModel):
    """One field at fault in a `Problem`."""

    field: str
    message: str


class Problem(BaseModel):
    """Error body, ``application/problem+json`` (RFC 9457).

    `outcome` is null if the error concerns the request alone; the state of
    the job id is then unchanged. `next_id` is a fresh id after a refusal.
    """

    type: str
    title: str
    status: int
    detail: str
    outcome: str | None = None
    reason: str = ''
    step: str = ''
    peer: str = ''
    request_id: str = ''
    id: str | None = None
    next_id: str | None = None
    retry_after_ms: float | None = None
    errors: list[FieldProblem] = []


@dataclass(slots=True)
class SubmittedTask:
    """One task as submitted; `payload` is compact JSON."""

    kind: str
    payload: bytes
    size: int
    run_ms: float | None = None


@dataclass(slots=True)
class Submission:
    """One validated submission.

    `deadline_ms` is the deadline given by the caller, or None to use that of
    the contract.
    """

    job_id: str | None
    tasks: list[SubmittedTask]
    deadline_ms: float | None = None
    repeatable: bool = False
    wait: bool = True
    request_id: str = ''
    traceparent: str = ''
    body_digest: str = field(init=False, default='')

    def __post_init__(self) -> None:
        self.body_digest = payloads_digest(self._digest_parts())

    def _digest_parts(self) -> Iterator[bytes]:
        # The deadline and `wait` are not part of the digest: a caller that
        # resubmits a job has less time left but means the same job.
        yield b'repeatable' if self.repeatable else b'once'
        for task in self.tasks:
            yield task.kind.encode()
            yield task.payload
            yield f'{task.size} {task.run_ms}'.encode()


Model = TypeVar('Model', bound=BaseModel)


def parse_body(text: bytes, model: type[Model]) -> Model:
    """Return the validated model of a JSON body.

    Raises
    ------
    MalformedRequest
        If the text is not JSON, is nested too deeply or breaks the model.

    Examples
    --------
    >>> parse_body(b'{"count": 2}', IdsBody).count
    2
    >>> parse_body(b'{"count": 0}', IdsBody)
    Traceback (most recent call last):
    limpetlanding.entry.api.MalformedRequest: count: Input should be greater \
than or equal to 1 (step parse)
    """
    try:
        document = pydantic_core.from_json(text, allow_inf_nan=False)
    except ValueError as error:
        raise MalformedRequest(
            [FieldError('body', f'not JSON: {error}')]
        ) from error
    if exceeds_nesting(document, MAX_NESTING_LEVELS):
        message = f'nested more than {MAX_NESTING_LEVELS} levels deep'
        raise MalformedRequest([FieldError('body', message)])
    try:
        return model.model_validate(document)
    except ValidationError as error:
        raise MalformedRequest(_field_errors(error)) from error


def parse_submission(text: bytes) -> Submission:
    """Return the validated submission in a JSON body.

    Raises
    ------
    MalformedRequest
        If the body breaks the rules of the caller API.
    """
    body = parse_body(text, SubmitBody)
    if body.id is None and not body.repeatable:
        # The caller of an at-most-once job must know the id before it sends
        # the job. Otherwise it could not query the job if the answer is lost.
        message = 'needed unless repeatable is true; get one by POST /v1/ids'
        raise MalformedRequest([FieldError('id', message)])
    return Submission(
        body.id,
        [_submitted_task(index, task) for index, task in enumerate(body.tasks)],
        body.deadline_ms,
        body.repeatable,
        body.wait,
    )


def exceeds_nesting(document: Any, limit: int) -> bool:
    """Tell whether lists and maps are nested more than `limit` deep.

    Examples
    --------
    >>> exceeds_nesting([[1]], 2), exceeds_nesting([[[1]]], 2)
    (False, True)
    """
    level = _containers([document])
    for _ in range(limit):
        if not level:
            return False
        level = _containers(
            child for parent in level for child in _children(parent)
        )
    return bool(level)


def _containers(values: Iterable[Any]) -> list[Any]:
    return [value for value in values if isinstance(value, (dict, list))]


def _children(parent: dict[str, Any] | list[Any]) -> Any:
    return parent.values() if isinstance(parent, dict) else parent


def _submitted_task(index: int, task: TaskBody) -> SubmittedTask:
    try:
        payload = json.dumps(
            task.payload,
            ensure_ascii=False,
            allow_nan=False,
            separators=(',', ':'),
        ).encode()
    except ValueError as error:
        where = f'tasks.{index}.payload'
        raise MalformedRequest([FieldError(where, str(error))]) from error
    # The encoded payload is a lower bound of the size, whatever was declared.
    size = max(task.size or 0, len(payload))
    return SubmittedTask(task.kind, payload, size, task.run_ms)


def _field_errors(error: ValidationError) -> list[FieldError]:
    # Input values are left out because they may be large or confidential.
    details = error.errors(
        include_url=False, include_input=False, include_context=False
    )
    return [
        FieldError(
            '.'.join(map(str, item['loc']))[:_MAX_ID_CHARS] or 'body',
            item['msg'],
        )
        for item in details[:_MAX_REPORTED_ERRORS]
    ]
