"""Job records of one coordinator incarnation.

For every issued sequence number, a ledger can tell whether it is unused, has a
record or has expired. Expired numbers are stored as intervals. So an id is
never treated as new after its record was dropped, and an id that was issued
long ago but never used remains usable.
"""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from typing import Any

import msgpack

from limpetlanding.agent.intervals import IntervalSet
from limpetlanding.wire.job_messages import JobAnswer, TaskResult

_RECORD_OVERHEAD_BYTES = 200
_RESULT_OVERHEAD_BYTES = 200


@dataclass(slots=True)
class JobRecord:
    """Record of one submitted or refused job.

    Parameters
    ----------
    body_digest : str
        Digest of the submission; empty if the job was refused before any
        submission arrived.
    answer : JobAnswer or None
        The final answer; None while the job runs.
    origin : str
        Incarnation of the agent that still runs the job, for a record that
        was handed over before the job ended; empty otherwise.
    """

    sequence: int
    customer: str
    body_digest: str
    task_count: int
    answer: JobAnswer | None = None
    ended_at: float = 0
    origin: str = ''
    size: int = _RECORD_OVERHEAD_BYTES


@dataclass(slots=True)
class RecordLimits:
    """Limits of the records of ended jobs in one ledger."""

    retention_s: float = 120
    max_records: int = 200_000
    max_bytes: int = 64 * 1024 * 1024


@dataclass(slots=True)
class Ledger:
    """Records and issued sequence numbers of one incarnation.

    `active` holds the records of running jobs. `ended` holds those of ended
    jobs, in the order in which they ended; `stored_bytes` is their total size.
    `taken_over_at` is when the ledger was taken over from another agent, in
    monotonic seconds, and None for the agent's own ledger.
    """

    incarnation: str
    secret: bytes
    next_sequence: int = 1
    active: dict[int, JobRecord] = field(default_factory=dict)
    ended: OrderedDict[int, JobRecord] = field(default_factory=OrderedDict)
    expired: IntervalSet = field(default_factory=IntervalSet)
    stored_bytes: int = 0
    taken_over_at: float | None = None

    def issue(self, count: int) -> int:
        """Issue a block of sequence numbers and return the first."""
        first = self.next_sequence
        self.next_sequence += count
        return first

    def find(self, sequence: int) -> JobRecord | None:
        """Return the record of a sequence number, None if there is none."""
        return self.active.get(sequence) or self.ended.get(sequence)

    def add_active(self, record: JobRecord) -> None:
        """Add the record of a running job."""
        self.active[record.sequence] = record

    def end(self, record: JobRecord, answer: JobAnswer, now: float) -> None:
        """Store the final answer of a job; later answers are ignored."""
        if record.sequence in self.ended:
            return
        self.active.pop(record.sequence, None)
        record.answer = answer
        record.ended_at = now
        record.origin = ''
        record.size = _RECORD_OVERHEAD_BYTES + sum(
            len(x.payload) + _RESULT_OVERHEAD_BYTES for x in answer.results
        )
        self.ended[record.sequence] = record
        self.stored_bytes += record.size

    def can_be_dropped(self, now: float, keep_s: float) -> bool:
        """Whether a taken-over ledger is old enough and has no records.

        Once it is dropped, its unused ids count as those of a lost
        coordinator.
        """
        if self.taken_over_at is None or self.active or self.ended:
            return False
        return now > self.taken_over_at + keep_s

    def sweep(self, now: float, limits: RecordLimits) -> int:
        """Drop the oldest ended records while they exceed the limits.

        Returns the number of dropped records.
        """
        dropped = 0
        while self.ended:
            oldest = next(iter(self.ended.values()))
            fits = (
                len(self.ended) <= limits.max_records
                and self.stored_bytes <= limits.max_bytes
            )
            if fits and oldest.ended_at + limits.retention_s > now:
                break
            del self.ended[oldest.sequence]
            self.stored_bytes -= oldest.size
            self.expired.add(oldest.sequence)
            dropped += 1
        return dropped


def pack_ledger(ledger: Ledger, origin: str, now: float) -> Iterator[bytes]:
    """Yield the content of a ledger as records of `Handover`.

    The first record holds the expired numbers, each other record one job, the
    ended jobs first and oldest first. `origin` is the incarnation of the agent
    that runs the active jobs.
    """
    yield msgpack.packb(['expired', ledger.expired.intervals])
    for record in (*ledger.ended.values(), *ledger.active.values()):
        yield pack_record(record, origin, now)


def pack_record(record: JobRecord, origin: str, now: float) -> bytes:
    """Return one job as a record of `Handover`."""
    answer = asdict(record.answer) if record.answer else None
    age_s = now - record.ended_at if record.answer else 0
    return msgpack.packb(
        [
            'job',
            {
                'sequence': record.sequence,
                'customer': record.customer,
                'body_digest': record.body_digest,
                'task_count': record.task_count,
                'origin': '' if record.answer else record.origin or origin,
            },
            answer,
            age_s,
        ]
    )


def unpack_into(ledger: Ledger, packed: bytes, now: float) -> None:
    """Add one record of `Handover` to a ledger that is not active yet."""
    tag, *content = msgpack.unpackb(packed)
    if tag == 'expired':
        ledger.expired = IntervalSet(content[0])
        return
    fields, answer, age_s = content
    record = ledger.find(fields['sequence'])
    if record is None:
        record = JobRecord(**fields)
        ledger.add_active(record)
    if answer is not None:
        ledger.end(record, _to_answer(answer), now - age_s)


def unpack_answer(ledger: Ledger, packed: bytes) -> JobAnswer | None:
    """Return the answer in `packed` if the ledger waits for it.

    An active ledger accepts nothing else from `Handover`: a repeated message
    must not restore records that the ledger has dropped, or undo decisions
    that it has made since.
    """
    tag, *content = msgpack.unpackb(packed)
    if tag != 'job':
        return None
    fields, answer, _ = content
    record = ledger.active.get(fields['sequence'])
    if record is None or not record.origin or answer is None:
        return None
    return _to_answer(answer)


def _to_answer(fields: dict[str, Any]) -> JobAnswer:
    results = [TaskResult(**x) for x in fields.pop('results')]
    return JobAnswer(**fields, results=results)
