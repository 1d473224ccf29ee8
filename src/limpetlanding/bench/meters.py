"""Reads the message counters and processor use of running roles."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

import psutil

from limpetlanding.bench.system import System, get_json

# Sent messages that bring no task nearer to its answer: refused or repeated
# placements, revocations and what follows from them.
WASTED_TAGS = frozenset(
    ('revoke', 'revoked', 'move', 'place', 'placed', 'locate', 'located')
)
# Sent whether or not there are tasks; counted per second, not per task.
CONTROL_TAGS = frozenset(
    (
        'hello',
        'hb',
        'load',
        'members',
        'want',
        'records',
        'share',
        'grant',
        'return',
        'alloc',
        'block',
    )
)


@dataclass(slots=True)
class Reading:
    """Counters of all roles at one moment.

    Parameters
    ----------
    messages : Counter
        Messages sent, by tag, over all roles.
    bytes_sent : Counter
        Bytes sent, by role.
    cpu_s : Counter
        Processor seconds, by role.
    memory : dict
        Largest resident memory in bytes, by role.
    """

    messages: Counter = field(default_factory=Counter)
    bytes_sent: Counter = field(default_factory=Counter)
    control_bytes: Counter = field(default_factory=Counter)
    cpu_s: Counter = field(default_factory=Counter)
    memory: dict[str, int] = field(default_factory=dict)
    dropped: int = 0
    repeated: int = 0

    def minus(self, earlier: 'Reading') -> 'Reading':
        """Return what was counted since an earlier reading."""
        return Reading(
            messages=self.messages - earlier.messages,
            bytes_sent=self.bytes_sent - earlier.bytes_sent,
            control_bytes=self.control_bytes - earlier.control_bytes,
            cpu_s=self.cpu_s - earlier.cpu_s,
            memory=self.memory,
            dropped=self.dropped - earlier.dropped,
            repeated=self.repeated - earlier.repeated,
        )

    def task_messages(self) -> int:
        """Return the messages sent on behalf of tasks."""
        return sum(
            count
            for name, count in self.messages.items()
            if name not in CONTROL_TAGS
        )

    def wasted_messages(self) -> int:
        """Return the messages that brought no task nearer to its answer."""
        wasted = sum(self.messages[name] for name in WASTED_TAGS)
        return wasted + self.dropped + self.repeated


async def read_meters(system: System) -> Reading:
    """Return the counters of all entries and agents that run."""
    processes = [*system.role('entry'), *system.role('agent')]
    answers = await asyncio.gather(
        *(get_json(f'{process.http}/statusz') for process in processes)
    )
    reading = Reading()
    for process, answer in zip(processes, answers, strict=True):
        _add(reading, process.role, answer.get('wire') or {})
        _add_usage(reading, process.role, process.child.pid)
    return reading


def _add(reading: Reading, role: str, wire: dict) -> None:
    sent = wire.get('messages_sent') or {}
    reading.messages.update(sent)
    sizes = wire.get('bytes_sent') or {}
    reading.bytes_sent[role] += sum(sizes.values())
    reading.control_bytes[role] += sum(
        size for name, size in sizes.items() if name in CONTROL_TAGS
    )
    reading.dropped += wire.get('replies_dropped', 0)
    reading.repeated += wire.get('requests_repeated', 0)


def _add_usage(reading: Reading, role: str, pid: int) -> None:
    try:
        process = psutil.Process(pid)
        times = process.cpu_times()
        memory = process.memory_info().rss
    except psutil.Error:
        return
    reading.cpu_s[role] += times.user + times.system
    reading.memory[role] = max(reading.memory.get(role, 0), memory)
