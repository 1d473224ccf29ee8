"""Decodes pages and records of the platform's store."""

from loguru import logger

from limpetlanding.platform.decode import (
    Malformed,
    count_field,
    load_object,
    optional_field,
    required_field,
)
from limpetlanding.runs.model import Resources
from limpetlanding.runs.ports import WorkerRecord
from limpetlanding.wire import is_ipv4_address


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
    )
