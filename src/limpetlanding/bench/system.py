"""Starts the roles as processes on loopback, for the demo and the benchmark.

This is a test runner and not part of the product: the roles themselves start
no processes.
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
from limpetlanding.contracts.publish import PublicationResult
from limpetlanding.errors import LimpetlandingError
from limpetlanding.logservice import LogClient

START_TIMEOUT_S = 60
READY_POLL_S = 0.1
_HOST = '127.0.0.1'
_HTTP_TIMEOUT = aiohttp.ClientTimeout(total=2)


@dataclass(slots=True)
class Process:
    """One process of a role, and where it serves HTTP and writes its log."""

    name: str
    role: str
    http: str
    child: asyncio.subprocess.Process
    log_path: Path

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is still running."""
        if self.child.returncode is None:
            os.kill(self.child.pid, number)


@dataclass(slots=True)
class StartRecord:
    """Numbers of task starts that the stand-in endpoints reported."""

    starts_by_task: Counter = field(default_factory=Counter)
    starts_by_job: Counter = field(default_factory=Counter)

    def add_output_line(self, line: bytes) -> None:
        """Count the start in one output line of an endpoint, if it has one."""
        try:
            task_id = json.loads(line)['start']
        except (ValueError, KeyError, TypeError):
            return
        self.starts_by_task[task_id] += 1
        self.starts_by_job[task_id.rpartition('/')[0]] += 1

    def double_starts(self) -> int:
        """Return the number of tasks that started more than once."""
        return sum(count > 1 for count in self.starts_by_task.values())


@dataclass(frozen=True, slots=True)
class SystemSize:
    """Numbers of entries and customers, varied by the overhead experiment.

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
    """A running deployment: its processes, ports, keys and start record."""

    deployment: Deployment
    policy: str
    folder: Path
    speeds: Sequence[float]
    size: SystemSize = SystemSize()
    processes: dict[str, Process] = field(default_factory=dict)
    starts: StartRecord = field(default_factory=StartRecord)
    keys: dict[str, str] = field(default_factory=dict)
    output_readers: list[asyncio.Task] = field(default_factory=list)
    ports: dict[str, int] = field(default_factory=dict)

    def running_processes(self, role: str) -> list[Process]:
        """Return the running processes of a role."""
        return [
            process
            for process in self.processes.values()
            if process.role == role and process.child.returncode is None
        ]

    def entry_urls(self) -> list[str]:
        """Return the base URLs of all entries, including stopped ones."""
        return [
            f'http://{_HOST}:{self.ports[f"entry-{number}-http"]}'
            for number in range(self.size.entries)
        ]


def free_ports(count: int) -> list[int]:
    """Return distinct TCP ports that are currently free."""
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
    size: SystemSize | None = None,
) -> AsyncIterator[System]:
    """Run a whole deployment and stop it at the end.

    Parameters
    ----------
    speeds : sequence of float
        Speed of each endpoint; their number is the number of workers.
    policy : str
        ``limpetlanding`` or ``naive``, for all roles.
    peak_share : float
        Share of the capacity at a load peak in each contract.
    size : SystemSize, optional
        Numbers of entries and customers; by default those in production.

    Raises
    ------
    LimpetlandingError
        If a process does not become ready within 60 s (the error names the
        process and contains the end of its log), if a contract is not
        accepted, or if the entries do not know all agents within 60 s.
    """
    async with AsyncExitStack() as stack:
        folder = stack.enter_context(
            tempfile.TemporaryDirectory(prefix='limpetlanding-')
        )
        system = System(
            deployment, policy, Path(folder), speeds, size or SystemSize()
        )
        stack.push_async_callback(_kill_all, system)
        _assign_ports(system)
        await start_log(system)
        await _wait_ready(system, 'log')
        await _publish_contracts(system, peak_share)
        await asyncio.gather(
            *(
                start_entry(system, number)
                for number in range(system.size.entries)
            ),
            *(start_agent(system, number) for number in range(len(speeds))),
            *(start_endpoint(system, number) for number in range(len(speeds))),
        )
        await asyncio.gather(
            *(_wait_ready(system, name) for name in system.processes)
        )
        await _wait_for_endpoints(system)
        yield system


async def start_log(system: System) -> None:
    """Start the stand-in log."""
    port = system.ports['log']
    await _start_process(
        system, 'log', 'log', port, 'standin', 'log', f'--port={port}'
    )


async def start_entry(system: System, number: int) -> None:
    """Start or restart the entry with this number."""
    name = f'entry-{number}'
    settings = _common_settings(system, name, 'entry', number)
    settings['log'] = {'url': f'http://{_HOST}:{system.ports["log"]}'}
    await _start_role(system, name, 'entry', settings)


async def start_agent(system: System, number: int) -> None:
    """Start or restart the agent with this number."""
    name = f'agent-{number}'
    settings = _common_settings(system, name, 'agent', number)
    await _start_role(system, name, 'agent', settings)


async def start_endpoint(system: System, number: int) -> None:
    """Start or restart the stand-in endpoint with this number."""
    name = f'endpoint-{number}'
    port = system.ports[name]
    agent = system.ports[f'agent-{number}-http']
    await _start_process(
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
    """Return the JSON object at `url`, or an empty one if the request fails."""
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
        *(f'entry-{number}-wire' for number in range(system.size.entries)),
        *(f'entry-{number}-http' for number in range(system.size.entries)),
        *(f'agent-{number}-wire' for number in workers),
        *(f'agent-{number}-http' for number in workers),
        *(f'endpoint-{number}' for number in workers),
    ]
    system.ports = dict(zip(names, free_ports(len(names)), strict=True))


def _common_settings(system: System, name: str, role: str, number: int) -> dict:
    deployment = system.deployment
    entries = [
        f'{_HOST}:{system.ports[f"entry-{other}-wire"]}'
        for other in range(system.size.entries)
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
    await _start_process(system, name, role, port, role, str(path))


async def _start_process(
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
        system.output_readers.append(reader)


async def _read_starts(
    system: System, child: asyncio.subprocess.Process
) -> None:
    async for line in child.stdout:
        system.starts.add_output_line(line)


async def _wait_ready(system: System, name: str) -> None:
    process = system.processes[name]
    path = {'log': '/healthz', 'endpoint': '/v1/health'}.get(
        process.role, '/readyz'
    )
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        if process.child.returncode is not None:
            break
        if await _answers_ok(process.http + path):
            return
        await asyncio.sleep(READY_POLL_S)
    log = process.log_path.read_text(errors='replace')[-2000:]
    raise LimpetlandingError(
        f'process not ready within {START_TIMEOUT_S} s; end of its log: {log}',
        step='start',
        peer=name,
    )


async def _wait_for_endpoints(system: System) -> None:
    """Wait until every entry knows the endpoint of every agent.

    Raises
    ------
    LimpetlandingError
        If that takes longer than 60 s.
    """
    deadline = time.monotonic() + START_TIMEOUT_S
    wanted = len(system.speeds)
    while time.monotonic() < deadline:
        answers = await asyncio.gather(
            *(get_json(f'{url}/statusz') for url in system.entry_urls())
        )
        if all(_agents_with_endpoints(answer) >= wanted for answer in answers):
            return
        await asyncio.sleep(READY_POLL_S)
    raise LimpetlandingError(
        f'some entries do not know {wanted} serving endpoints', step='start'
    )


def _agents_with_endpoints(status: dict) -> int:
    return sum(bool(x['endpoints']) for x in status.get('agents', ()))


async def _answers_ok(url: str) -> bool:
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
        idle = (f'idle-{n}' for n in range(system.size.idle_customers))
        for customer in (*system.deployment.customers, *idle):
            key = f'key-of-{customer}'
            system.keys[customer] = key
            contract = _contract(customer, key, peak_share)
            published = await publish(log, contract, 'bench')
            if published.result != PublicationResult.ACCEPTED:
                raise LimpetlandingError(
                    f'contract was not accepted: {published}',
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


async def _kill_all(system: System) -> None:
    for process in system.processes.values():
        process.signal(signal.SIGCONT)
        process.signal(signal.SIGKILL)
    await asyncio.gather(
        *(process.child.wait() for process in system.processes.values())
    )
    await asyncio.gather(*system.output_readers, return_exceptions=True)
