"""A small system of real processes, with proxies between its parts."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from itertools import chain
from pathlib import Path

import aiohttp
import orjson

from limpetlanding.lifecycle.serving import run_http_server
from limpetlanding.platform.store import CONFIG_KEY, CONFIG_TOPIC
from limpetlanding.soak.process import Process
from limpetlanding.soak.proxy import Proxy
from limpetlanding.standin import platform_checks
from limpetlanding.standin.platform_bodies import (
    announce,
    configuration,
    headers,
    process_settings,
    submission,
)
from limpetlanding.standin.platform_executor import StandinExecutor
from limpetlanding.standin.platform_store import StandinStore

HOST = 'desk.example'
PREFIX = '/quote/'
POOL = 'desk'
MAX_ATTEMPTS = 3
STORE_PORT = 7000
EXECUTOR_PORT = 7200
CONTROL_PORT = 7300
CLIENT_PORT = 7400
READINESS_PORT = 7500
LINK_PORT = 7720
HEARTBEAT_INTERVAL_S = 1.5
RETRY_S = 0.2
SHUTDOWN_S = 0.1
DOWN_S = 2
CPU_PER_TASK = 6000


class System:
    """Fronts and workers as processes, connected to stand-ins by proxies.

    Parameters
    ----------
    number : int
        Second byte of the loopback addresses; it is distinct for systems that
        run concurrently.
    directory : Path
        Directory for settings files and output.
    fronts, workers : int
        Number of fronts and workers.
    """

    def __init__(
        self, number: int, directory: Path, fronts: int, workers: int
    ) -> None:
        self.number = number
        self.directory = directory
        self.store = StandinStore()
        self.version = 0
        self.executors = [StandinExecutor(f'i-{x}') for x in range(workers)]
        self.processes: dict[str, Process] = {}
        self.proxies: dict[str, Proxy] = {}
        self.session: aiohttp.ClientSession | None = None
        self.clients: aiohttp.ClientSession | None = None
        for front in range(fronts):
            self._add_process('front', front)
        for worker in range(workers):
            self._add_process('worker', worker)

    @asynccontextmanager
    async def run(self) -> AsyncIterator['System']:
        """Run stand-ins, proxies and processes within the block."""
        async with AsyncExitStack() as stack:
            self.publish_configuration()
            self.session = aiohttp.ClientSession()
            stack.push_async_callback(self.session.close)
            self.clients = _new_clients()
            stack.push_async_callback(self.close_clients)
            store = f'{self._host(3, 0)}:{STORE_PORT}'
            await stack.enter_async_context(
                run_http_server(self.store.app(), store, SHUTDOWN_S)
            )
            for number, executor in enumerate(self.executors):
                address = f'{self._host(5, number)}:{EXECUTOR_PORT}'
                await stack.enter_async_context(
                    run_http_server(executor.app(), address, SHUTDOWN_S)
                )
                for work in (
                    self._send_heartbeats(number),
                    self._restart_after_crashes(number),
                ):
                    stack.callback(asyncio.create_task(work).cancel)
            for proxy in self.proxies.values():
                await proxy.start()
                stack.push_async_callback(proxy.close)
            for process in self.processes.values():
                running = asyncio.create_task(process.run())
                stack.callback(running.cancel)
                stack.push_async_callback(process.close)
            yield self

    def publish_configuration(self) -> None:
        """Publish the next version of the configuration."""
        self.version += 1
        content = configuration(
            self.version,
            HOST,
            PREFIX,
            POOL,
            maxAttempts=MAX_ATTEMPTS,
            targetLatencyMs=60 + self.version,
        )
        self.store.put(CONFIG_TOPIC, CONFIG_KEY, content)

    async def renew_clients(self) -> None:
        """Replace the connections of clients, some of which may be silenced."""
        await self.close_clients()
        self.clients = _new_clients()

    async def close_clients(self) -> None:
        """Close the connections of clients."""
        await self.clients.close()

    async def submit(self, job_id: str, tasks: int, wait_s: float, front: int):
        """Submit a job and return status and body of the answer.

        Raises
        ------
        OSError, aiohttp.ClientError
            If the connection breaks.
        TimeoutError
            If there is no answer within `wait_s`.
        """
        body = submission(tasks, cpu=CPU_PER_TASK, estimateMs=300)
        address = self.proxies[f'clients-{front}'].listen
        async with (
            asyncio.timeout(wait_s),
            self.clients.post(
                f'http://{address}{PREFIX}{job_id}',
                data=orjson.dumps(body),
                headers=headers(HOST, int(wait_s * 1000)),
            ) as response,
        ):
            return response.status, orjson.loads(await response.read())

    def guarantee_violations(
        self, refused: set[str], failed: set[str]
    ) -> list[str]:
        """Return a description of each violated guarantee.

        Parameters
        ----------
        refused : set of str
            Ids of the jobs that were refused at every submission. The system
            has guaranteed to their clients that they have not run.
        failed : set of str
            Ids of the jobs that were answered as failed.
        """
        history = [run for x in self.executors for run in x.history]
        pairs = platform_checks.overlapping_runs(history)
        violations = [
            f'{one.task} run {one.run} and {other.run} at the same time'
            for one, other in pairs
        ]
        violations += [
            f'{executor.executor_id}: start beyond its room'
            for executor in self.executors
            if platform_checks.starts_beyond_capacity(executor, CPU_PER_TASK)
        ]
        violations += [
            f'{task} was started too often, though it crashes executors'
            for task in platform_checks.deadly_starts(history)
        ]
        violations += [
            f'{job} was failed without cause'
            for job in platform_checks.failed_without_cause(failed, history)
        ]
        started = {run.task.partition('.')[0] for run in history}
        violations += [
            f'{job} was refused, and ran' for job in started & refused
        ]
        reported = [x.findings for x in self.processes.values()]
        return list(chain(violations, *reported))

    def running_tasks(self) -> list[str]:
        """Return the tasks that are running at the executors."""
        for executor in self.executors:
            executor.end_due_runs()
        return [task for x in self.executors for task in x.runs]

    def done_tasks(self, job_id: str) -> int:
        """Return how many tasks of a job have completed."""
        return len(
            {
                run.task
                for executor in self.executors
                for run in executor.history
                if run.how == 'done' and run.task.startswith(job_id)
            }
        )

    def _host(self, kind: int, number: int) -> str:
        return f'127.{self.number}.{kind}.{number + 1}'

    def _add_process(self, role: str, number: int) -> None:
        is_front = role == 'front'
        host = self._host(1 if is_front else 2, number)
        store = self._add_proxy(
            f'store-{role}-{number}',
            f'{self._host(4, number + 100 * is_front)}:{STORE_PORT}',
            f'{self._host(3, 0)}:{STORE_PORT}',
        )
        name = f'{role}-{number}'
        listen = {'control': f'{host}:{CONTROL_PORT}'}
        settings = process_settings(
            name,
            host,
            f'z{number % 3}',
            LINK_PORT,
            store,
            listen=listen,
            seeds=[f'{self._host(8, 0)}:{CONTROL_PORT}'],
        )
        if is_front:
            listen['front'] = f'{host}:{CLIENT_PORT}'
            listen['readinessAddr'] = f'{host}:{READINESS_PORT}'
            self._add_proxy(
                f'clients-{number}',
                f'{self._host(7, number)}:{CLIENT_PORT}',
                listen['front'],
            )
            self._add_proxy(
                f'links-{number}',
                f'{self._host(8, number)}:{LINK_PORT}',
                f'{host}:{LINK_PORT}',
            )
        else:
            settings['service'] = POOL
            settings['app'] = self._add_proxy(
                f'executor-{number}',
                f'{self._host(6, number)}:{EXECUTOR_PORT}',
                f'{self._host(5, number)}:{EXECUTOR_PORT}',
            )
        self.processes[name] = Process(name, role, settings, self.directory)

    def _add_proxy(self, name: str, listen: str, target: str) -> str:
        self.proxies[name] = Proxy(listen, target)
        return listen

    async def _restart_after_crashes(self, number: int) -> None:
        executor = self.executors[number]
        proxy = self.proxies[f'executor-{number}']
        while True:
            await executor.crashed.wait()
            await proxy.close()
            await asyncio.sleep(DOWN_S)
            executor.restart(f'i-{number}-{executor.born_ms}')
            await proxy.start()

    async def _send_heartbeats(self, number: int) -> None:
        executor = self.executors[number]
        control = f'{self._host(2, number)}:{CONTROL_PORT}'
        while True:
            if executor.crashed.is_set():
                await asyncio.sleep(RETRY_S)
                continue
            status = None
            with suppress(TimeoutError):
                async with asyncio.timeout(1):
                    status = await announce(
                        self.session,
                        control,
                        executor,
                        executor.announcement(),
                    )
            await asyncio.sleep(
                RETRY_S if status is None else HEARTBEAT_INTERVAL_S
            )


def _new_clients() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
