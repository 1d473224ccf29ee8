"""Decodes pages and records of the platform's store."""

import base64
import json
from collections.abc import Iterator
from typing import Any

from loguru import logger

from limpetlanding.platform.decode import (
    Malformed,
    count_field,
    load_object,
    optional_field,
    required_count,
    required_field,
)
from limpetlanding.runs.model import Resources
from limpetlanding.runs.ports import WorkerRecord
from limpetlanding.wire import is_ipv4_address

Record = tuple[str, bytes]
"""Key and value of a record."""

_NUMBER_BYTES = 8
_LENGTH_BYTES = 4
_HEADER_BYTES = 2 * _NUMBER_BYTES
_PAGE_STEP = 'log-newest'
_READ_STEP = 'log-read'


def worker_record(name: str, value: bytes) -> WorkerRecord | None:
    """Return the record of a worker, or None if it is not readable.

    Unreadable records are logged: those of another writer must not hide the
    other ones.
    """
    try:
        return _decode_worker(name, value)
    except Malformed as error:
        logger.bind(step=error.step, peer=name).error(
            'record of the worker ignored: {}', error.detail
        )
        return None


def decode_page(content: bytes) -> tuple[list[Record], int, str]:
    """Return the records of a page, the end, and the key to continue with.

    The key is empty for the last page. Items that are no records are left out.

    Raises
    ------
    Malformed
        If the page cannot be read.
    """
    page = _load_page(content)
    items = required_field(page, 'items', list, _PAGE_STEP)
    records = [record for item in items for record in _decode_item(item)]
    if len(records) < len(items):
        logger.bind(step=_PAGE_STEP).error(
            '{} unreadable items of a page ignored', len(items) - len(records)
        )
    last_key = records[-1][0] if records and page.get('hasMore') else ''
    return records, required_count(page, 'end', _PAGE_STEP), last_key


def encode_record(key: bytes, value: bytes) -> bytes:
    """Return a record in the form that the store reads.

    It consists of the record's length, the length of its key, key and value.

    Examples
    --------
    >>> list(encode_record(b'w', b'7'))
    [0, 0, 0, 3, 1, 119, 55]
    """
    content = bytes((len(key),)) + key + value
    return len(content).to_bytes(_LENGTH_BYTES, 'big') + content


def decode_records(content: bytes, start: int) -> tuple[list[Record], int]:
    """Return the records of an answer, and the offset after the last one.

    An incomplete record at the end is left to the next call.

    Parameters
    ----------
    content : bytes
        Body of the answer.
    start : int
        Offset of the first record.

    Raises
    ------
    Malformed
        If the answer cannot be read, or if reading on from `start` would lead
        nowhere: the store ends before it, or its record is incomplete.
    """
    if len(content) < _HEADER_BYTES:
        raise Malformed('answer without the end', step=_READ_STEP)
    end = int.from_bytes(content[:_NUMBER_BYTES], 'big')
    if end < start:
        raise Malformed(f'end {end} before offset {start}', step=_READ_STEP)
    records = list(_split_records(content[_HEADER_BYTES:]))
    if not records and len(content) > _HEADER_BYTES:
        raise Malformed(f'incomplete record {start}', step=_READ_STEP)
    changes = [_decode_record(record) for record in records if record]
    # A record without a value deletes its key.
    kept = [(key, value) for key, value in changes if value]
    return kept, start + len(records)


def _decode_worker(name: str, value: bytes) -> WorkerRecord:
    step = 'members'
    fields = load_object(value, step)
    address = required_field(fields, 'address', str, step)
    if not is_ipv4_address(address):
        raise Malformed(f'address {address[:50]!r}', step=step)
    room = optional_field(fields, 'capacity', dict, {}, step)
    return WorkerRecord(
        name,
        address,
        Resources(
            cpu=count_field(room, 'cpu', 0, step),
            memory_mb=count_field(room, 'memory_mb', 0, step),
            gpu=count_field(room, 'gpu', 0, step),
        )
        if room
        else None,
        optional_field(fields, 'failure_domain', str, '', step),
        optional_field(fields, 'executor', str, '', step),
        optional_field(fields, 'draining', bool, False, step),
    )


def _load_page(content: bytes) -> dict[str, Any]:
    try:
        return load_object(content, _PAGE_STEP)
    except Malformed:
        # Keys that are no text may be escaped as lone surrogates, which only
        # the slower decoder accepts.
        page = _load_leniently(content)
    if not isinstance(page, dict):
        raise Malformed('not a JSON object', step=_PAGE_STEP)
    return page


def _load_leniently(content: bytes) -> Any:
    try:
        return json.loads(content)
    except (ValueError, RecursionError) as error:
        raise Malformed(f'not JSON: {error}', step=_PAGE_STEP) from error


def _decode_item(item: Any) -> Iterator[Record]:
    """Yield the record of an item, or nothing if it cannot be read."""
    try:
        key = required_field(item, 'key', str, _PAGE_STEP)
        value = required_field(item, 'value', str, _PAGE_STEP)
        key.encode()
        yield key, base64.b64decode(value)
    except (Malformed, AttributeError, ValueError):
        return


def _decode_record(record: bytes) -> Record:
    size = 1 + record[0]
    return record[1:size].decode(errors='replace'), record[size:]


def _split_records(content: bytes) -> Iterator[bytes]:
    position = 0
    while position + _LENGTH_BYTES <= len(content):
        begin = position + _LENGTH_BYTES
        position = begin + int.from_bytes(content[position:begin], 'big')
        if position > len(content):
            return
        yield content[begin:position]
