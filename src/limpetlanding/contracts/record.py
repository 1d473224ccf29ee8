"""Records of the configuration stream."""

import json
from enum import StrEnum
from hashlib import sha256
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

MAX_RECORD_BYTES = 65_536
# Below the depth at which any decoder gives up, so that all readers agree.
MAX_RECORD_DEPTH = 16
MAX_VERSION = 2**53
NOTHING_READ = -1

_Number = Annotated[int, Field(ge=0, le=MAX_VERSION)]


class RecordKind(StrEnum):
    """What a record is for."""

    CONTRACT = 'contract'
    RESTATEMENT = 'restatement'
    MEMBER = 'member'


class InvalidRecord(ValueError):
    """The body is not a record; every reader ignores it."""


class Record(BaseModel):
    """One record of the configuration stream.

    Parameters
    ----------
    record_id : str
        Chosen by the author; an append is repeated under the same id.
    customer : str
        Whose contract it is.
    base_version : int
        Version that the author replaces, or that is restated.
    version : int
        ``base_version + 1``, or `base_version` in a restatement.
    rules : int
        Version of the rules that `contract` follows.
    contract : dict
        The contract, decoded JSON.
    author : str
        Operator, or the entry that restates.
    kind : RecordKind
        Purpose of the record.
    as_of : int
        Offset up to which the author had read the stream; -1 for nothing.
        At that offset `base_version` was in force, which lets a reader that
        starts in the middle of the stream decide on later records.
    origin : int
        Offset at which a restated version was accepted.
    written_s : float
        Wall clock of the author, in seconds since 1970. It only times
        restatements; no decision depends on it.
    """

    model_config = ConfigDict(frozen=True, strict=True, extra='ignore')

    record_id: Annotated[str, Field(min_length=1, max_length=128)]
    customer: Annotated[str, Field(min_length=1, max_length=64)]
    base_version: _Number
    version: _Number
    rules: Annotated[int, Field(ge=1, le=MAX_VERSION)]
    contract: dict[str, Any]
    author: Annotated[str, Field(max_length=128)] = ''
    kind: RecordKind = Field(default=RecordKind.CONTRACT, strict=False)
    as_of: Annotated[int, Field(ge=NOTHING_READ)] = NOTHING_READ
    origin: Annotated[int, Field(ge=NOTHING_READ)] = NOTHING_READ
    written_s: Annotated[float, Field(ge=0, allow_inf_nan=False)] = 0

    def body(self) -> dict[str, Any]:
        """Return the record as JSON data."""
        return self.model_dump(mode='json')


def parse_record(body: Any) -> Record:
    """Return the record in the decoded JSON `body`.

    Raises
    ------
    InvalidRecord
        If the body is no record. Every reader decides so, whatever rules
        it knows, because the envelope does not change with the rules.
    """
    if _deeper(body, MAX_RECORD_DEPTH):
        raise InvalidRecord(f'nested deeper than {MAX_RECORD_DEPTH}')
    try:
        text = canonical(body)
    except (TypeError, ValueError) as error:
        raise InvalidRecord(f'not JSON: {error}') from error
    if len(text) > MAX_RECORD_BYTES:
        raise InvalidRecord(f'{len(text)} bytes, most {MAX_RECORD_BYTES}')
    try:
        record = Record.model_validate(body)
    except ValidationError as error:
        raise InvalidRecord(str(error)) from error
    _check_numbers(record)
    return record


def canonical(data: Any) -> bytes:
    """Return JSON with sorted keys and without spaces.

    Examples
    --------
    >>> canonical({'b': 1, 'a': 2})
    b'{"a":2,"b":1}'
    """
    text = json.dumps(
        data, sort_keys=True, separators=(',', ':'), allow_nan=False
    )
    return text.encode()


def restatement_id(customer: str, version: int, contract: Any) -> str:
    """Return the record id of a restatement, equal for all authors."""
    return sha256(canonical([customer, version, contract])).hexdigest()


def _check_numbers(record: Record) -> None:
    is_contract = record.kind is RecordKind.CONTRACT
    if record.version - record.base_version != int(is_contract):
        raise InvalidRecord(
            f'version {record.version} does not follow from '
            f'{record.base_version}'
        )
    restates = record.kind is RecordKind.RESTATEMENT
    if restates and not 0 <= record.origin <= record.as_of:
        raise InvalidRecord('origin is not between 0 and as_of')


def _deeper(data: Any, depth: int) -> bool:
    level = [data]
    for _ in range(depth + 1):
        level = [item for value in level for item in _items(value)]
    return bool(level)


def _items(value: Any) -> Any:
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()
