"""Faults that the benchmark injects into a running system.

Each function injects one fault and returns the share of the endpoints'
capacity that remains. The names of the functions are the names of the faults
in the output.
"""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from limpetlanding.bench.system import System, post_json

PAUSE_S = 5
LOG_OUTAGE_S = 8
SLOWDOWN_FACTOR = 8

Fault = Callable[[System, random.Random], Awaitable[float]]


async def agent_killed(system: System, rng: random.Random) -> float:
    """Kill one agent; its endpoint is left without an agent."""
    number = _random_worker(system, rng)
    system.processes[f'agent-{number}'].signal(signal.SIGKILL)
    return _remaining_share(system, number)


async def agent_paused(system: System, rng: random.Random) -> float:
    """Suspend one agent for 5 s."""
    number = _random_worker(system, rng)
    process = system.processes[f'agent-{number}']
    process.signal(signal.SIGSTOP)
    asyncio.get_running_loop().call_later(
        PAUSE_S, process.signal, signal.SIGCONT
    )
    return _remaining_share(system, number)


async def agent_stopped(system: System, rng: random.Random) -> float:
    """Shut one agent down gracefully."""
    number = _random_worker(system, rng)
    system.processes[f'agent-{number}'].signal(signal.SIGTERM)
    return _remaining_share(system, number)


async def entry_killed(system: System, rng: random.Random) -> float:
    """Kill one entry; callers use the others."""
    rng.choice(system.running_processes('entry')).signal(signal.SIGKILL)
    return 1


async def entry_stopped(system: System, rng: random.Random) -> float:
    """Shut one entry down gracefully."""
    rng.choice(system.running_processes('entry')).signal(signal.SIGTERM)
    return 1


async def endpoint_killed(system: System, rng: random.Random) -> float:
    """Kill one endpoint."""
    number = _random_worker(system, rng)
    system.processes[f'endpoint-{number}'].signal(signal.SIGKILL)
    return _remaining_share(system, number)


async def endpoint_fails_all(system: System, rng: random.Random) -> float:
    """Make one endpoint fail every task immediately."""
    return await _set_endpoint_fault(system, rng, fail_all=True)


async def endpoint_slow(system: System, rng: random.Random) -> float:
    """Make one endpoint 8 times slower."""
    return await _set_endpoint_fault(system, rng, slow_factor=SLOWDOWN_FACTOR)


async def endpoint_silent(system: System, rng: random.Random) -> float:
    """Make one endpoint stop answering on connections that are open now.

    New connections work, so that the capacity remains.
    """
    await _set_endpoint_fault(system, rng, silence_open=True)
    return 1


async def endpoint_leaves(system: System, rng: random.Random) -> float:
    """Make one endpoint announce that it is leaving."""
    return await _set_endpoint_fault(system, rng, leaving=True)


async def log_out(system: System, rng: random.Random) -> float:
    """Suspend the log for 8 s."""
    process = system.processes['log']
    process.signal(signal.SIGSTOP)
    asyncio.get_running_loop().call_later(
        LOG_OUTAGE_S, process.signal, signal.SIGCONT
    )
    return 1


FAULTS: dict[str, Fault] = {
    fault.__name__.replace('_', '-'): fault
    for fault in (
        agent_killed,
        agent_paused,
        agent_stopped,
        entry_killed,
        entry_stopped,
        endpoint_killed,
        endpoint_fails_all,
        endpoint_slow,
        endpoint_silent,
        endpoint_leaves,
        log_out,
    )
}


def _random_worker(system: System, rng: random.Random) -> int:
    return rng.randrange(len(system.speeds))


def _remaining_share(system: System, number: int) -> float:
    return 1 - system.speeds[number] / sum(system.speeds)


async def _set_endpoint_fault(
    system: System, rng: random.Random, **switches: object
) -> float:
    number = _random_worker(system, rng)
    process = system.processes[f'endpoint-{number}']
    await post_json(f'{process.http}/faults', switches)
    return _remaining_share(system, number)
