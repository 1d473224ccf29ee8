"""Contract of one customer, and its validation by versioned rules."""

from collections.abc import Mapping
from typing import Annotated, Any, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    StringConstraints,
    ValidationError,
)

from limpetlanding.settings import (
    parse_document,
    read_document,
    validate,
)

CURRENT_RULES = 1
ANY_KIND = '*'

_Key = Annotated[str, StringConstraints(pattern='^[0-9a-f]{64}$')]
_Kind = Annotated[
    str, StringConstraints(pattern=r'^(\*|[A-Za-z0-9][A-Za-z0-9._-]{0,63})$')
]


def _check_distinct(values: list[str]) -> list[str]:
    if len(set(values)) < len(values):
        raise ValueError('values are repeated')
    return values


def _check_kinds(kinds: list[str]) -> list[str]:
    if ANY_KIND in kinds and len(kinds) > 1:
        raise ValueError('"*" allows all kinds and must be alone')
    return _check_distinct(kinds)


class _StrictModel(BaseModel):
    model_config = ConfigDict(
        extra='forbid', frozen=True, strict=True, allow_inf_nan=False
    )


class Limits(_StrictModel):
    """Limits on the tasks of a customer.

    Parameters
    ----------
    tasks_at_once : int
        Largest number of concurrent tasks.
    tasks_per_second : float
        Largest rate of task starts, per second.
    """

    tasks_at_once: Annotated[int, Field(ge=1, le=1_000_000)]
    tasks_per_second: Annotated[float, Field(gt=0, le=1_000_000)]


class Contract(_StrictModel):
    """Contract of one customer, rules version 1.

    Parameters
    ----------
    customer : str
        Name, at most 64 letters, digits, dots, dashes or underscores.
    keys : list of str
        SHA-256 of each customer key, 64 hexadecimal characters.
    limits : Limits
        Limits on concurrent tasks and on task starts.
    answer_within_ms : float
        Time within which an answer is promised, in milliseconds.
    may_refuse : list of str
        Reasons for which tasks may be refused: ``overload``, ``deadline``.
    kinds : list of str
        Allowed kinds of tasks; ``["*"]`` allows all.
    peak_share : float
        Share of the capacity at a load peak, above 0 and at most 1.
    max_task_size : int
        Largest declared size of a task, in the units of the endpoints.
    """

    customer: Annotated[
        str, StringConstraints(pattern='^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$')
    ]
    keys: Annotated[
        list[_Key],
        Field(min_length=1, max_length=32),
        AfterValidator(_check_distinct),
    ]
    limits: Limits
    answer_within_ms: Annotated[float, Field(gt=0, le=600_000)]
    may_refuse: Annotated[
        list[Literal['overload', 'deadline']],
        AfterValidator(_check_distinct),
    ]
    kinds: Annotated[
        list[_Kind],
        Field(min_length=1, max_length=64),
        AfterValidator(_check_kinds),
    ]
    peak_share: Annotated[float, Field(gt=0, le=1)]
    max_task_size: Annotated[int, Field(ge=1, le=1_000_000_000)]

    def allows(self, kind: str) -> bool:
        """Return whether the contract allows tasks of `kind`."""
        return ANY_KIND in self.kinds or kind in self.kinds


# Model of a contract under each version of the rules.
RULES: Mapping[int, type[Contract]] = {1: Contract}


class InvalidContract(ValueError):
    """The contract breaks its rules."""


def check_contract(
    contract: Any,
    rules: int,
    known: Mapping[int, type[Contract]] = RULES,
) -> Contract:
    """Validate decoded JSON as a contract under the rules version `rules`.

    Raises
    ------
    InvalidContract
        If the contract breaks the rules; the text names the fields.
    KeyError
        If this program does not know the rules version.
    """
    model = known[rules]
    try:
        return model.model_validate(contract)
    except ValidationError as error:
        fields = (
            f'{".".join(map(str, item["loc"]))}: {item["msg"]}'
            for item in error.errors()
        )
        raise InvalidContract('; '.join(fields)) from error


def parse_contract(text: str, file: str) -> Contract:
    """Return the contract in `text`, which is JSON with comments.

    Raises
    ------
    DocumentError
        If it is not valid; names file, line, field and unit.
    """
    return validate(parse_document(text, file), RULES[CURRENT_RULES])


def load_contract(path: str) -> Contract:
    """Return the contract in a file of JSON with comments.

    Raises
    ------
    DocumentError
        If it is not valid; names file, line, field and unit.
    """
    return validate(read_document(path), RULES[CURRENT_RULES])
