"""Reads message counters, processor time and memory of running roles."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

import psutil

from limpetlanding.bench.system import System, get_json

# Messages that do not advance a task: refused or repeated placements,
# revocations and the messages that they cause.
WASTED_TAGS = frozenset(
    ('revoke', 'revoked', 'move', 'place', 'placed', 'locate', 'located')
)
# Messages that are sent whether or not there are tasks; their cost counts per
# second, not per task.
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
class CounterReading:
    """Counters of all running entries and agents at one time.

    Parameters
    ----------
    messages : Counter
        Messages sent, by tag, over all roles.
    bytes_sent : Counter
        Bytes sent, by role.
    control_bytes : Counter
        Bytes sent in messages of `CONTROL_TAGS`, by role.
    cpu_s : Counter
        Processor seconds, by role.
    max_rss_bytes : dict
        Resident memory in bytes of the largest process, by role.
    dropped : int
        Replies discarded because nothing waited for them any more.
    repeated : int
        Requests that were sent again.
    """

    messages: Counter = field(default_factory=Counter)
    bytes_sent: Counter = field(default_factory=Counter)
    control_bytes: Counter = field(default_factory=Counter)
    cpu_s: Counter = field(default_factory=Counter)
    max_rss_bytes: dict[str, int] = field(default_factory=dict)
    dropped: int = 0
    repeated: int = 0

    def minus(self, earlier: 'CounterReading') -> 'CounterReading':
        """Return the increase since an earlier reading.

        The memory is that of this reading.
        """
        return CounterReading(
            messages=self.messages - earlier.messages,
            bytes_sent=self.bytes_sent - earlier.bytes_sent,
            control_bytes=self.control_bytes - earlier.control_bytes,
            cpu_s=self.cpu_s - earlier.cpu_s,
            max_rss_bytes=self.max_rss_bytes,
            dropped=self.dropped - earlier.dropped,
            repeated=self.repeated - earlier.repeated,
        )

    def task_messages(self) -> int:
        """Return the number of messages sent on behalf of tasks."""
        return sum(
            count
            for name, count in self.messages.items()
            if name not in CONTROL_TAGS
        )

    def wasted_messages(self) -> int:
        """Return the number of messages that did not advance a task."""
        wasted = sum(self.messages[name] for name in WASTED_TAGS)
        return wasted + self.dropped + self.repeated


async def read_counters(system: System) -> CounterReading:
    """Return the counters of all running entries and agents."""
    processes = [
        *system.running_processes('entry'),
        *system.running_processes('agent'),
    ]
    answers = await asyncio.gather(
        *(get_json(f'{process.http}/statusz') for process in processes)
    )
    reading = CounterReading()
    for process, answer in zip(processes, answers, strict=True):
        _add_message_counters(reading, process.role, answer.get('wire') or {})
        _add_process_usage(reading, process.role, process.child.pid)
    return reading


def _add_message_counters(
    reading: CounterReading, role: str, wire: dict
) -> None:
    sent = wire.get('messages_sent') or {}
    reading.messages.update(sent)
    sizes = wire.get('bytes_sent') or {}
    reading.bytes_sent[role] += sum(sizes.values())
    reading.control_bytes[role] += sum(
        size for name, size in sizes.items() if name in CONTROL_TAGS
    )
    reading.dropped += wire.get('replies_dropped', 0)
    reading.repeated += wire.get('requests_repeated', 0)


def _add_process_usage(reading: CounterReading, role: str, pid: int) -> None:
    try:
        process = psutil.Process(pid)
        times = process.cpu_times()
        memory = process.memory_info().rss
    except psutil.Error:
        return
    reading.cpu_s[role] += times.user + times.system
    reading.max_rss_bytes[role] = max(
        reading.max_rss_bytes.get(role, 0), memory
    )
