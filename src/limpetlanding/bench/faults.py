"""Faults that the bench causes in a running system.

Each function causes one fault and returns the share of the endpoints'
capacity that is left.
"""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from limpetlanding.bench.system import System, post_json

PAUSE_S = 5
OUTAGE_S = 8
SLOW_FACTOR = 8

Fault = Callable[[System, random.Random], Awaitable[float]]


async def agent_killed(system: System, rng: random.Random) -> float:
    """Kill one agent; its endpoint stays without an agent."""
    number = _pick(system, rng)
    system.processes[f'agent-{number}'].signal(signal.SIGKILL)
    return _left(system, number)


async def agent_paused(system: System, rng: random.Random) -> float:
    """Pause one agent for 5 s."""
    number = _pick(system, rng)
    process = system.processes[f'agent-{number}']
    process.signal(signal.SIGSTOP)
    asyncio.get_running_loop().call_later(
        PAUSE_S, process.signal, signal.SIGCONT
    )
    return _left(system, number)


async def agent_stopped(system: System, rng: random.Random) -> float:
    """Stop one agent as planned."""
    number = _pick(system, rng)
    system.processes[f'agent-{number}'].signal(signal.SIGTERM)
    return _left(system, number)


async def entry_killed(system: System, rng: random.Random) -> float:
    """Kill one entry; callers go to the others."""
    rng.choice(system.role('entry')).signal(signal.SIGKILL)
    return 1


async def entry_stopped(system: System, rng: random.Random) -> float:
    """Stop one entry as planned."""
    rng.choice(system.role('entry')).signal(signal.SIGTERM)
    return 1


async def endpoint_killed(system: System, rng: random.Random) -> float:
    """Kill one endpoint."""
    number = _pick(system, rng)
    system.processes[f'endpoint-{number}'].signal(signal.SIGKILL)
    return _left(system, number)


async def endpoint_fails_all(system: System, rng: random.Random) -> float:
    """Make one endpoint fail every task at once."""
    return await _switch(system, rng, fail_all=True)


async def endpoint_slow(system: System, rng: random.Random) -> float:
    """Make one endpoint 8 times slower."""
    return await _switch(system, rng, slow_factor=SLOW_FACTOR)


async def endpoint_silent(system: System, rng: random.Random) -> float:
    """Silence the open connections of one endpoint; new ones work."""
    await _switch(system, rng, silence_open=True)
    return 1


async def endpoint_leaves(system: System, rng: random.Random) -> float:
    """Let one endpoint announce that it leaves."""
    return await _switch(system, rng, leaving=True)


async def log_out(system: System, rng: random.Random) -> float:
    """Take the log down for 8 s."""
    process = system.processes['log']
    process.signal(signal.SIGSTOP)
    asyncio.get_running_loop().call_later(
        OUTAGE_S, process.signal, signal.SIGCONT
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


def _pick(system: System, rng: random.Random) -> int:
    return rng.randrange(len(system.speeds))


def _left(system: System, number: int) -> float:
    return 1 - system.speeds[number] / sum(system.speeds)


async def _switch(
    system: System, rng: random.Random, **switches: object
) -> float:
    number = _pick(system, rng)
    process = system.processes[f'endpoint-{number}']
    await post_json(f'{process.http}/faults', switches)
    return _left(system, number)
