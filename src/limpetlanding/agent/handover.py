"""Handover of job records to a successor agent at a planned stop.

The old agent sends all records, then a last message that makes the successor
responsible for them. Until that message is sent, the old agent may continue
or try another successor. If the message was sent but not answered, the
successor may already have decided on ids, so no other agent may decide on
them: the incarnation then counts as lost.
"""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field

from limpetlanding.agent.coordinator import Coordinator
from limpetlanding.agent.jobrun import Peer
from limpetlanding.agent.records import (
    JobRecord,
    Ledger,
    pack_ledger,
    pack_record,
    unpack_answer,
    unpack_into,
)
from limpetlanding.errors import LimpetlandingError
from limpetlanding.wire import Ack
from limpetlanding.wire.job_messages import Handover

_CHUNK_BYTES = 1024 * 1024
_REQUEST_TIMEOUT_S = 5


@dataclass(slots=True)
class Handovers:
    """Sends and receives `Handover` messages for one agent.

    `staged` holds received ledgers that are not active yet, `updates` the
    answers that are being sent to a successor.

    Parameters
    ----------
    on_takeover : callable
        Called with an incarnation that this agent has become responsible for.
    """

    coordinator: Coordinator
    on_takeover: Callable[[str], None] = lambda incarnation: None
    staged: dict[str, Ledger] = field(default_factory=dict)
    updates: set[asyncio.Task[None]] = field(default_factory=set)

    def receive(self, message: Handover) -> Ack:
        """Store records; the last message makes the ledger active."""
        coordinator = self.coordinator
        existing = coordinator.ledgers.get(message.incarnation)
        if existing is not None:
            self._receive_answers(existing, message)
            return Ack()
        if coordinator.draining:
            return Ack(ok=False, detail='the agent is stopping')
        ledger = self.staged.setdefault(
            message.incarnation, Ledger(message.incarnation, message.secret)
        )
        ledger.next_sequence = max(ledger.next_sequence, message.next_sequence)
        now = coordinator.interfaces.clock()
        for packed in message.records:
            unpack_into(ledger, packed, now)
        if message.last:
            ledger.taken_over_at = now
            coordinator.ledgers[message.incarnation] = ledger
            del self.staged[message.incarnation]
            self.on_takeover(message.incarnation)
        return Ack()

    async def hand_over(self, successor: Peer) -> bool:
        """Hand all ledgers to `successor`.

        Running jobs continue here, and their answers are sent to the
        successor as they end. Requests for ids without a record wait for the
        handover and are then forwarded.

        Returns
        -------
        bool
            False if the successor did not accept every ledger; the caller may
            then try another one for the rest.
        """
        coordinator = self.coordinator
        coordinator.draining = True
        coordinator.on_job_end = self._send_answer
        owned = [
            ledger
            for incarnation, ledger in coordinator.ledgers.items()
            if incarnation not in coordinator.moved
        ]
        accepted = [
            await self._hand_over(ledger, successor) for ledger in owned
        ]
        return all(accepted)

    def handed_over_to(self, successor: Peer) -> list[str]:
        """Return the incarnations that were handed over to `successor`."""
        return [
            incarnation
            for incarnation, moved in self.coordinator.moved.items()
            if moved.done() and moved.result() is successor
        ]

    async def finish(self) -> None:
        """Wait until the answers of ended jobs have been sent to successors."""
        while self.updates:
            await asyncio.gather(*self.updates)

    async def _hand_over(self, ledger: Ledger, successor: Peer) -> bool:
        coordinator = self.coordinator
        moved = asyncio.get_running_loop().create_future()
        coordinator.moved[ledger.incarnation] = moved
        running = list(ledger.active.values())
        records = pack_ledger(
            ledger,
            coordinator.ledger.incarnation,
            coordinator.interfaces.clock(),
        )
        try:
            for chunk in _chunks(list(records)):
                await _send(ledger, successor, chunk, last=False)
        except LimpetlandingError:
            self._resume(ledger)
            return False
        try:
            await _send(ledger, successor, [], last=True)
        except _Refused:
            self._resume(ledger)
            return False
        except LimpetlandingError:
            moved.set_result(None)
            return False
        moved.set_result(successor)
        # Send the answers of jobs that ended during the handover.
        for record in running:
            if record.answer is not None:
                self._send_answer(ledger, record)
        return True

    def _resume(self, ledger: Ledger) -> None:
        moved = self.coordinator.moved.pop(ledger.incarnation)
        moved.set_result(None)

    def _receive_answers(self, ledger: Ledger, message: Handover) -> None:
        for packed in message.records:
            answer = unpack_answer(ledger, packed)
            if answer is not None:
                sequence = int(answer.job_id.split('.')[1])
                record = ledger.active[sequence]
                self.coordinator.end_job(ledger, record, answer)

    def _send_answer(self, ledger: Ledger, record: JobRecord) -> None:
        moved = self.coordinator.moved.get(ledger.incarnation)
        if moved is None or not moved.done() or moved.result() is None:
            return
        packed = pack_record(
            record,
            self.coordinator.ledger.incarnation,
            self.coordinator.interfaces.clock(),
        )
        update = asyncio.create_task(
            _send_update(ledger, moved.result(), packed)
        )
        self.updates.add(update)
        update.add_done_callback(self.updates.discard)


class _Refused(LimpetlandingError):
    """The successor did not apply the message."""


async def _send(
    ledger: Ledger, successor: Peer, records: list[bytes], *, last: bool
) -> None:
    message = Handover(
        ledger.incarnation, ledger.secret, ledger.next_sequence, records, last
    )
    reply = await successor.request(message, _REQUEST_TIMEOUT_S)
    if not reply.ok:
        raise _Refused(reply.detail, step='handover')


async def _send_update(ledger: Ledger, successor: Peer, packed: bytes) -> None:
    # If the message is lost, the successor answers `may_have_run`.
    with suppress(LimpetlandingError):
        await _send(ledger, successor, [packed], last=True)


def _chunks(records: list[bytes]) -> Iterator[list[bytes]]:
    """Split records into lists of at most 1 MiB, or of one larger record."""
    chunk: list[bytes] = []
    size = 0
    for packed in records:
        if chunk and size + len(packed) > _CHUNK_BYTES:
            yield chunk
            chunk, size = [], 0
        chunk.append(packed)
        size += len(packed)
    yield chunk
