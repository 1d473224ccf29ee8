"""Records of the configuration stream."""

import json
from enum import StrEnum
from hashlib import sha256
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

MAX_RECORD_BYTES = 65_536
# Below the depth limit of every JSON decoder, so that all readers accept the
# same records.
MAX_RECORD_DEPTH = 16
MAX_VERSION = 2**53
# Value of `Record.as_of` if the author had read no record.
NOTHING_READ = -1

_Number = Annotated[int, Field(ge=0, le=MAX_VERSION)]


class RecordKind(StrEnum):
    """Purpose of a record."""

    CONTRACT = 'contract'
    RESTATEMENT = 'restatement'
    MEMBER = 'member'


class InvalidRecord(ValueError):
    """The body is not a valid record; every reader ignores it."""


class Record(BaseModel):
    """One record of the configuration stream.

    Parameters
    ----------
    record_id : str
        Id chosen by the author; an append is repeated under the same id.
    customer : str
        Customer of the contract.
    base_version : int
        Version that the record replaces, or restates.
    version : int
        ``base_version + 1`` in a record of the kind contract, `base_version`
        in any other.
    rules : int
        Version of the rules that `contract` follows.
    contract : dict
        The contract, decoded JSON.
    author : str
        Name of the operator, or of the entry that restates the contract.
    kind : RecordKind
        Purpose of the record.
    as_of : int
        Offset up to which the author had read the stream; -1 if it had read
        nothing. At that offset `base_version` was in force, so a reader that
        starts in the middle of the stream can decide on later records.
    origin : int
        Offset at which a restated version was accepted.
    written_s : float
        Wall clock of the author, in seconds since 1970. It determines only
        when the contract is restated; no decision depends on it.
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
        If the body is not a valid record. Every reader decides alike,
        because the rules version concerns only the contract in the record.
    """
    if _is_deeper(body, MAX_RECORD_DEPTH):
        raise InvalidRecord(f'nested deeper than {MAX_RECORD_DEPTH}')
    try:
        text = canonical(body)
    except (TypeError, ValueError) as error:
        raise InvalidRecord(f'not JSON: {error}') from error
    if len(text) > MAX_RECORD_BYTES:
        raise InvalidRecord(
            f'{len(text)} bytes, above the limit of {MAX_RECORD_BYTES}'
        )
    try:
        record = Record.model_validate(body)
    except ValidationError as error:
        raise InvalidRecord(str(error)) from error
    _check_numbers(record)
    return record


def canonical(data: Any) -> bytes:
    """Return `data` as JSON with sorted keys and without spaces.

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
    """Return the record id of a restatement.

    It depends only on the content, so all authors use the same id.
    """
    return sha256(canonical([customer, version, contract])).hexdigest()


def _check_numbers(record: Record) -> None:
    is_contract = record.kind is RecordKind.CONTRACT
    if record.version - record.base_version != int(is_contract):
        raise InvalidRecord(
            f'version {record.version} does not follow from base version '
            f'{record.base_version}'
        )
    is_restatement = record.kind is RecordKind.RESTATEMENT
    if is_restatement and not 0 <= record.origin <= record.as_of:
        raise InvalidRecord('origin is not between 0 and as_of')


def _is_deeper(data: Any, depth: int) -> bool:
    level = [data]
    for _ in range(depth + 1):
        level = [item for value in level for item in _children(value)]
    return bool(level)


def _children(value: Any) -> Any:
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()
