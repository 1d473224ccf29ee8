"""Test bed of the review: the project's programs as processes, and stand-ins.

Fronts and workers are started with the commands of deploy/system.toml. Store
and executors are the stand-ins of the project. All addresses are loopback
addresses; each machine has one of its own.
"""

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import aiohttp

from limpetlanding.lifecycle.serving import run_http_server
from limpetlanding.standin.platform_bodies import announce, configuration
from limpetlanding.standin.platform_executor import StandinExecutor
from limpetlanding.standin.platform_store import StandinStore

ROOT = Path(__file__).resolve().parent.parent
HOST = 'nony24.example'
PREFIX = '/lohu930/'
OTHER_PREFIX = '/bopu901/'
POOL = 'bundle-desk'
ZONES = ('sialkot', 'kasur', 'lahore')
METRICS_PORT = 9464
HEARTBEAT_S = 1.5
READY_S = 20

# The figures of sites/soc-limpet.toml, as SYSTEM.md and DEPLOY.md state them.
BOUNDS = {
    'seedLagS': 3,
    'reuseAfterS': 2,
    'contactMs': 3000,
    'ackMs': 4000,
    'catchUpS': 4,
    'drainMs': 2000,
    'graceS': 6,
    'lossSlackMs': 200,
    'configApplyMs': 2000,
    'rollbackSlackMs': 250,
    'maxStretchMs': 5000,
    'recoveryS': 12,
    'holdMaxMs': 1000,
    'stopGraceMs': 50,
    'cancel_ms': 3000,
    'visible_ms': 3000,
    'leaseMs': 3000,
    'resendMs': 1300,
}


class CannotRun(Exception):
    """The case could not be set up."""


class Bed:
    """One small deployment.

    Parameters
    ----------
    directory : Path
        Temporary folder for settings files and output.
    record : Path
        File that receives what was sent, answered and run.
    """

    def __init__(self, directory: Path, record: Path) -> None:
        self.directory = directory
        self.record = record.open('w')
        self.began = time.monotonic()
        self.network = _free_network()
        self.ports = [random.randrange(20_000, 30_000) + 20 * x for x in range(6)]
        self.deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text()
        )
        self.store = StandinStore()
        self.store_address = f'{self.network}.250:{self.ports[0]}'
        self.fronts: dict[str, asyncio.subprocess.Process] = {}
        self.workers: dict[str, asyncio.subprocess.Process] = {}
        self.executors: dict[str, StandinExecutor] = {}
        self.hosts: dict[str, str] = {}
        self.seeds: list[str] = []
        self.tasks: list[asyncio.Task] = []
        self.stack = None
        self.session: aiohttp.ClientSession | None = None

    def note(self, text: str) -> None:
        """Write a line with the time since the start to the record."""
        line = f'{time.monotonic() - self.began:8.3f} {text}'
        self.record.write(f'{line}\n')
        self.record.flush()
        print(line, flush=True)

    def host(self, name: str) -> str:
        """Return the address of a machine; the first call assigns it."""
        return self.hosts.setdefault(
            name, f'{self.network}.{10 + len(self.hosts)}'
        )

    def control(self, name: str) -> str:
        """Return the control address of a machine."""
        return f'{self.host(name)}:{self.ports[1]}'

    async def start_worker(self, name: str, work_s, cpu: int = 64_000) -> None:
        """Start an executor and the worker beside it."""
        host = self.host(name)
        executor = StandinExecutor(
            f'i-{random.randrange(16**8):08x}',
            cpu=cpu,
            work_s=work_s,
            pool=POOL,
            born_ms=int(time.time() * 1000),
        )
        self.executors[name] = executor
        app = f'{host}:{self.ports[5]}'
        await self.stack.enter_async_context(
            run_http_server(executor.app(), app, 0.1)
        )
        self.workers[name] = await self._start(
            name,
            'worker',
            'side',
            {'control': self.control(name)},
            app=app,
            service=POOL,
        )
        self.tasks.append(asyncio.create_task(self._beat(name)))

    async def start_front(self, name: str, seeds: list[str]) -> None:
        """Start a front whose settings name the given seeds."""
        host = self.host(name)
        self.fronts[name] = await self._start(
            name,
            'front',
            'front',
            {
                'front': f'{host}:{self.ports[3]}',
                'readinessAddr': f'{host}:{self.ports[4]}',
                'control': self.control(name),
            },
            seeds=seeds,
        )

    async def wait_ready(self, name: str) -> None:
        """Wait until a front answers the readiness check with 200."""
        url = f'http://{self.host(name)}:{self.ports[4]}/api/ready'
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            with suppress(aiohttp.ClientError, TimeoutError):
                async with asyncio.timeout(1):
                    async with self.session.get(url) as response:
                        if response.status == 200:
                            self.note(f'{name} is ready')
                            return
            await asyncio.sleep(0.1)
        raise CannotRun(f'{name} is not ready')

    async def stop_front(self, name: str) -> None:
        """Stop a front for good as the platform does."""
        process = self.fronts.pop(name)
        process.send_signal(signal.SIGTERM)
        self.note(f'SIGTERM to {name}')
        try:
            async with asyncio.timeout(BOUNDS['graceS']):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
        self.note(f'{name} has ended ({process.returncode})')

    async def call(
        self, method: str, front: str, job: str, wait_s: float, body=None
    ) -> int:
        """Send a request about a job to a front; return the status, or 0."""
        url = f'http://{self.host(front)}:{self.ports[3]}{PREFIX}{job}'
        headers = {
            'Host': HOST,
            'X-Deadline-Ms': str(round(wait_s * 1000)),
            'Content-Type': 'application/json',
        }
        self.note(f'{method} {job} to {front} sent')
        try:
            async with asyncio.timeout(wait_s):
                async with self.session.request(
                    method,
                    url,
                    headers=headers,
                    data=None if body is None else json.dumps(body),
                ) as response:
                    text = await response.text()
                    self.note(
                        f'{method} {job} to {front} answered: '
                        f'{response.status} {text}'
                    )
                    return response.status
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self.note(f'{method} {job} to {front} not answered: {error!r}')
            return 0

    def runs(self, job: str):
        """Return the runs of a job with executor, start and end, in order.

        Times are those of the record; the end is None while a run is active.
        """
        offset = self.began - (
            time.monotonic() - asyncio.get_running_loop().time()
        )
        found = []
        for name, executor in self.executors.items():
            executor.end_due_runs()
            for run in executor.history:
                if run.task.startswith(job):
                    end = None if run.ended is None else run.ended - offset
                    found.append(
                        (run.started - offset, end, name, run.task, run.run, run.how)
                    )
        return sorted(found, key=lambda x: x[0])

    def record_runs(self, job: str) -> None:
        """Write all runs of a job to the record."""
        for start, end, name, task, run, how in self.runs(job):
            ended = 'still at work' if end is None else f'{end:.3f} {how}'
            self.note(
                f'run at {name}: {task} run {run} from {start:.3f} to {ended}'
            )

    def now(self) -> float:
        """Return the time of the record."""
        return time.monotonic() - self.began

    async def _start(
        self, name: str, role: str, machine_class: str, listen, **changes
    ) -> asyncio.subprocess.Process:
        number = len(self.hosts)
        settings = {
            'nodeName': name,
            'role': role,
            'machineClass': machine_class,
            'serves': ['front', 'control'] if role == 'front' else ['side'],
            'ip': self.host(name),
            'zone': ZONES[number % 3],
            'region': 'punjab',
            'zones': dict.fromkeys(ZONES, 'punjab'),
            'listen': listen,
            'portRange': [self.ports[2], self.ports[2] + 15],
            'seeds': self.seeds,
            'bootstrap': True,
            'heartbeatMs': 1500,
            'bounds': BOUNDS,
            'orders': 'rpc',
            'platform': {'address': self.store_address, 'form': 'log'},
            **changes,
        }
        path = self.directory / f'{name}.json'
        path.write_text(json.dumps(settings))
        role_file = self.deploy['roles'][role]
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment |= role_file.get('env', {})
        environment |= {
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'LIMPETLANDING_CONFIG': str(path),
        }
        with (self.directory / f'{name}.log').open('ab') as output:
            process = await asyncio.create_subprocess_exec(
                *role_file['run'].split(),
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        self.note(f'{name} started')
        return process

    async def _beat(self, name: str) -> None:
        executor = self.executors[name]
        while True:
            status = None
            with suppress(TimeoutError):
                async with asyncio.timeout(1):
                    status = await announce(
                        self.session,
                        self.control(name),
                        executor,
                        executor.announcement(),
                    )
            await asyncio.sleep(0.2 if status is None else HEARTBEAT_S)

    def publish(self, version: int, prefixes: tuple[str, ...]) -> None:
        """Publish a configuration with one route for each path prefix."""
        contents = [
            configuration(
                version,
                HOST,
                prefix,
                POOL,
                name=f'r{prefix.strip("/")}',
                maxAttempts=3,
                stretch=1.6,
                targetLatencyMs=60,
            )
            for prefix in prefixes
        ]
        routes = [content['routes'][0] for content in contents]
        self.store.put('keyed.op', 'config', contents[0] | {'routes': routes})
        self.note(f'configuration {version} acknowledged: {prefixes}')


@asynccontextmanager
async def deployment(directory: Path, record: Path):
    """Yield a bed with a running store; end all its processes afterwards."""
    from contextlib import AsyncExitStack

    bed = Bed(directory, record)
    async with AsyncExitStack() as stack:
        bed.stack = stack
        bed.session = await stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        )
        bed.publish(7, (PREFIX, OTHER_PREFIX))
        await stack.enter_async_context(
            run_http_server(bed.store.app(), bed.store_address, 0.1)
        )
        try:
            yield bed
        finally:
            for process in [*bed.fronts.values(), *bed.workers.values()]:
                if process.returncode is None:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                    await process.wait()
            for task in bed.tasks:
                task.cancel()


def job_id() -> str:
    """Return a new job id."""
    return f'{random.randrange(16**16):016x}'


def main(case, folder: Path) -> None:
    """Run a case and exit with its verdict.

    Parameters
    ----------
    case : callable
        Coroutine function with the bed and whether the disruption takes place;
        it returns the descriptions of the broken rules.
    folder : Path
        Folder of the case, which receives ``record.txt``.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'

    async def run() -> int:
        with tempfile.TemporaryDirectory() as directory:
            async with deployment(
                Path(directory), folder / 'record.txt'
            ) as bed:
                bed.note(f'disruption: {"yes" if trouble else "no"}')
                try:
                    async with asyncio.timeout(110):
                        broken = await case(bed, trouble)
                except (CannotRun, TimeoutError, OSError) as error:
                    bed.note(f'the case could not run: {error!r}')
                    return 2
                for line in broken:
                    bed.note(f'BROKEN {line}')
                bed.note('the rule was broken' if broken else 'the rule held')
                return 1 if broken else 0

    try:
        status = asyncio.run(run())
    except Exception as error:
        print(f'the case could not run: {error!r}')
        status = 2
    sys.exit(status)


def _free_network() -> str:
    """Return the first three bytes of unused loopback addresses."""
    for _ in range(50):
        network = f'127.{random.randrange(20, 250)}.{random.randrange(1, 250)}'
        try:
            for last in (10, 11, 12, 250):
                with socket.socket() as probe:
                    probe.bind((f'{network}.{last}', METRICS_PORT))
        except OSError:
            continue
        return network
    raise CannotRun('no free loopback network')
