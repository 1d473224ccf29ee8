"""Starts the roles as plain processes on loopback, for demo and bench.

This is a test runner and no part of the product: the roles themselves start
no process.
"""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from hashlib import sha256
from pathlib import Path

import aiohttp

from limpetlanding.bench.deployments import ENTRY_COUNT, Deployment
from limpetlanding.contracts import Contract, publish
from limpetlanding.contracts.publish import Result
from limpetlanding.errors import LimpetlandingError
from limpetlanding.logservice import LogClient

START_TIMEOUT_S = 60
READY_POLL_S = 0.1
_HOST = '127.0.0.1'
_HTTP_TIMEOUT = aiohttp.ClientTimeout(total=2)


@dataclass(slots=True)
class Process:
    """One running role."""

    name: str
    role: str
    http: str
    child: asyncio.subprocess.Process
    log_path: Path

    def signal(self, number: int) -> None:
        """Send a signal to the process by its id, if it still runs."""
        if self.child.returncode is None:
            os.kill(self.child.pid, number)


@dataclass(slots=True)
class StartRecord:
    """Starts that the stand-in endpoints printed, by task id."""

    counts: Counter = field(default_factory=Counter)
    by_job: Counter = field(default_factory=Counter)

    def add(self, line: bytes) -> None:
        """Count one line of a stand-in endpoint's output."""
        try:
            task_id = json.loads(line)['start']
        except (ValueError, KeyError, TypeError):
            return
        self.counts[task_id] += 1
        self.by_job[task_id.rpartition('/')[0]] += 1

    def double_starts(self) -> int:
        """Return how many tasks started more than once."""
        return sum(count > 1 for count in self.counts.values())


@dataclass(frozen=True, slots=True)
class Shape:
    """Numbers that the `overhead` experiment varies.

    Parameters
    ----------
    entries : int
        Number of entries.
    idle_customers : int
        Customers with a contract that submit nothing.
    """

    entries: int = ENTRY_COUNT
    idle_customers: int = 0


@dataclass(slots=True)
class System:
    """Handle of a running deployment."""

    deployment: Deployment
    policy: str
    folder: Path
    speeds: Sequence[float]
    shape: Shape = Shape()
    processes: dict[str, Process] = field(default_factory=dict)
    starts: StartRecord = field(default_factory=StartRecord)
    keys: dict[str, str] = field(default_factory=dict)
    readers: list[asyncio.Task] = field(default_factory=list)
    ports: dict[str, int] = field(default_factory=dict)

    def role(self, role: str) -> list[Process]:
        """Return the processes of a role that run."""
        return [
            process
            for process in self.processes.values()
            if process.role == role and process.child.returncode is None
        ]

    def entry_urls(self) -> list[str]:
        """Return base URLs of all entries, running or not."""
        return [
            f'http://{_HOST}:{self.ports[f"entry-{number}-http"]}'
            for number in range(self.shape.entries)
        ]


def free_ports(count: int) -> list[int]:
    """Return ports that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((_HOST, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


@asynccontextmanager
async def running_system(
    deployment: Deployment,
    speeds: Sequence[float],
    policy: str = 'limpetlanding',
    peak_share: float = 0.4,
    shape: Shape | None = None,
) -> AsyncIterator[System]:
    """Run a whole deployment and stop it at the end.

    Parameters
    ----------
    speeds : sequence of float
        Speed of each endpoint; their number is the number of workers.
    policy : str
        ``limpetlanding`` or ``naive``, for all roles.
    peak_share : float
        Share of the capacity that each contract gives at a peak.
    shape : Shape, optional
        Numbers of entries and customers; those of today by default.

    Raises
    ------
    LimpetlandingError
        If a process does not become ready within 60 s; names the process
        and the file with its log.
    """
    async with AsyncExitStack() as stack:
        folder = stack.enter_context(
            tempfile.TemporaryDirectory(prefix='limpetlanding-')
        )
        system = System(
            deployment, policy, Path(folder), speeds, shape or Shape()
        )
        stack.push_async_callback(_stop_all, system)
        _assign_ports(system)
        await start_log(system)
        await _wait_ready(system, 'log')
        await _publish_contracts(system, peak_share)
        await asyncio.gather(
            *(
                start_entry(system, number)
                for number in range(system.shape.entries)
            ),
            *(start_agent(system, number) for number in range(len(speeds))),
            *(start_endpoint(system, number) for number in range(len(speeds))),
        )
        await asyncio.gather(
            *(_wait_ready(system, name) for name in system.processes)
        )
        await _wait_placeable(system)
        yield system


async def start_log(system: System) -> None:
    """Start the stand-in log."""
    port = system.ports['log']
    await _start(system, 'log', 'log', port, 'standin', 'log', f'--port={port}')


async def start_entry(system: System, number: int) -> None:
    """Start, or start again, the entry with this number."""
    name = f'entry-{number}'
    settings = _common_settings(system, name, 'entry', number)
    settings['log'] = {'url': f'http://{_HOST}:{system.ports["log"]}'}
    await _start_role(system, name, 'entry', settings)


async def start_agent(system: System, number: int) -> None:
    """Start, or start again, the agent with this number."""
    name = f'agent-{number}'
    settings = _common_settings(system, name, 'agent', number)
    await _start_role(system, name, 'agent', settings)


async def start_endpoint(system: System, number: int) -> None:
    """Start, or start again, the stand-in endpoint with this number."""
    name = f'endpoint-{number}'
    port = system.ports[name]
    agent = system.ports[f'agent-{number}-http']
    await _start(
        system,
        name,
        'endpoint',
        port,
        'standin',
        'endpoint',
        f'--port={port}',
        f'--agent_url=http://{_HOST}:{agent}',
        f'--kinds={",".join(system.deployment.all_kinds())}',
        f'--endpoint_id={name}',
        f'--speed={system.speeds[number]}',
    )


async def get_json(url: str) -> dict:
    """Return the JSON object served at `url`, empty if it can't be had."""
    try:
        async with (
            aiohttp.ClientSession(timeout=_HTTP_TIMEOUT) as session,
            session.get(url) as response,
        ):
            return await response.json(content_type=None)
    except (aiohttp.ClientError, TimeoutError, ValueError):
        return {}


async def post_json(url: str, body: dict) -> int:
    """Post `body` and return the HTTP status."""
    async with (
        aiohttp.ClientSession(timeout=_HTTP_TIMEOUT) as session,
        session.post(url, json=body) as response,
    ):
        await response.read()
        return response.status


def _assign_ports(system: System) -> None:
    workers = range(len(system.speeds))
    names = [
        'log',
        *(f'entry-{number}-wire' for number in range(system.shape.entries)),
        *(f'entry-{number}-http' for number in range(system.shape.entries)),
        *(f'agent-{number}-wire' for number in workers),
        *(f'agent-{number}-http' for number in workers),
        *(f'endpoint-{number}' for number in workers),
    ]
    system.ports = dict(zip(names, free_ports(len(names)), strict=True))


def _common_settings(system: System, name: str, role: str, number: int) -> dict:
    deployment = system.deployment
    entries = [
        f'{_HOST}:{system.ports[f"entry-{other}-wire"]}'
        for other in range(system.shape.entries)
    ]
    return {
        'role': role,
        'node': name,
        'region': deployment.region,
        'failure_domain': deployment.failure_domain(number),
        'listen': {'host': _HOST, 'port': system.ports[f'{name}-wire']},
        'http': {'host': _HOST, 'port': system.ports[f'{name}-http']},
        'entries': entries,
        'policy': system.policy,
        'emulated_delay_ms': {
            'own': 0,
            'cross': deployment.cross_domain_delay_ms,
        },
        'log_level': 'WARNING',
    }


async def _start_role(
    system: System, name: str, role: str, settings: dict
) -> None:
    path = system.folder / f'{name}.json'
    path.write_text(json.dumps(settings, indent=2))
    port = system.ports[f'{name}-http']
    await _start(system, name, role, port, role, str(path))


async def _start(
    system: System, name: str, role: str, port: int, *arguments: str
) -> None:
    log_path = system.folder / f'{name}.log'
    records_starts = role == 'endpoint'
    with log_path.open('ab') as log:
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'limpetlanding',
            *arguments,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE if records_starts else log,
            stderr=log,
        )
    http = f'http://{_HOST}:{port}'
    system.processes[name] = Process(name, role, http, child, log_path)
    if records_starts:
        reader = asyncio.create_task(_read_starts(system, child))
        system.readers.append(reader)


async def _read_starts(
    system: System, child: asyncio.subprocess.Process
) -> None:
    async for line in child.stdout:
        system.starts.add(line)


async def _wait_ready(system: System, name: str) -> None:
    process = system.processes[name]
    path = {'log': '/healthz', 'endpoint': '/v1/health'}.get(
        process.role, '/readyz'
    )
    give_up = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < give_up:
        if process.child.returncode is not None:
            break
        if await _is_ok(process.http + path):
            return
        await asyncio.sleep(READY_POLL_S)
    log = process.log_path.read_text(errors='replace')[-2000:]
    raise LimpetlandingError(
        f'not ready within {START_TIMEOUT_S} s: {log}', step='start', peer=name
    )


async def _wait_placeable(system: System) -> None:
    """Wait until every entry has a load report of every agent."""
    give_up = time.monotonic() + START_TIMEOUT_S
    wanted = len(system.speeds)
    while time.monotonic() < give_up:
        answers = await asyncio.gather(
            *(get_json(f'{url}/statusz') for url in system.entry_urls())
        )
        if all(_placeable(answer) >= wanted for answer in answers):
            return
        await asyncio.sleep(READY_POLL_S)
    raise LimpetlandingError(
        f'entries do not know {wanted} serving endpoints', step='start'
    )


def _placeable(status: dict) -> int:
    return sum(bool(x['endpoints']) for x in status.get('agents', ()))


async def _is_ok(url: str) -> bool:
    try:
        async with (
            aiohttp.ClientSession(timeout=_HTTP_TIMEOUT) as session,
            session.get(url) as response,
        ):
            return response.status == 200
    except (aiohttp.ClientError, TimeoutError):
        return False


async def _publish_contracts(system: System, peak_share: float) -> None:
    url = f'http://{_HOST}:{system.ports["log"]}'
    async with LogClient(url, 'contracts') as log:
        idle = (f'idle-{n}' for n in range(system.shape.idle_customers))
        for customer in (*system.deployment.customers, *idle):
            key = f'key-of-{customer}'
            system.keys[customer] = key
            contract = _contract(customer, key, peak_share)
            published = await publish(log, contract, 'bench')
            if published.result != Result.ACCEPTED:
                raise LimpetlandingError(
                    f'contract not accepted: {published}',
                    step='publish',
                    peer=customer,
                )


def _contract(customer: str, key: str, peak_share: float) -> Contract:
    return Contract(
        customer=customer,
        keys=[sha256(key.encode()).hexdigest()],
        limits={'tasks_at_once': 2000, 'tasks_per_second': 5000},
        answer_within_ms=30_000,
        may_refuse=['overload', 'deadline'],
        kinds=['*'],
        peak_share=peak_share,
        max_task_size=1_000_000,
    )


async def _stop_all(system: System) -> None:
    for process in system.processes.values():
        process.signal(signal.SIGCONT)
        process.signal(signal.SIGKILL)
    await asyncio.gather(
        *(process.child.wait() for process in system.processes.values())
    )
    await asyncio.gather(*system.readers, return_exceptions=True)
