"""A small system on the platform: fronts, workers, executors and a store."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from random import Random

import aiohttp
import orjson

from limpetlanding.lifecycle.serving import run_http_server
from limpetlanding.platform.control import control_app
from limpetlanding.platform.executor import ExecutorClient
from limpetlanding.platform.ingress import client_app, readiness_app
from limpetlanding.platform.roles import LINK_TIMING
from limpetlanding.platform.store import CONFIG_KEY, CONFIG_TOPIC, LogStore
from limpetlanding.runs.front import Front
from limpetlanding.runs.registration import Registration
from limpetlanding.runs.worker import Worker
from limpetlanding.standin.platform_bodies import (
    announce,
    configuration,
    headers,
    submission,
)
from limpetlanding.standin.platform_executor import StandinExecutor
from limpetlanding.standin.platform_store import StandinStore
from limpetlanding.wire import PROTOCOL_VERSION, Hello, Node, NodeOptions

HOST = 'desk.example'
STORE_PORT = 7000
LINK_PORT = 7100
EXECUTOR_PORT = 7200
CONTROL_PORT = 7300
CLIENT_PORT = 7400
READINESS_PORT = 7500
HEARTBEAT_INTERVAL_S = 1.5
DOWN_S = 3.2


def config(version=1, **changes):
    """Return a configuration with one queue."""
    return configuration(version, HOST, '/quote/', 'desk', **changes)


def body(count=2, **changes):
    """Return the body of a submission with one step."""
    return submission(count, **changes)


def serve(app, port):
    """Serve an application at a loopback port."""
    return run_http_server(app, f'127.0.0.1:{port}', 0)


@asynccontextmanager
async def store_client(store):
    """Serve a store and yield a client of it."""
    async with serve(store.app(), STORE_PORT):
        client = LogStore(f'127.0.0.1:{STORE_PORT}')
        try:
            yield client
        finally:
            await client.close()


@asynccontextmanager
async def running(work):
    """Run a coroutine within the block."""
    task = asyncio.create_task(work)
    try:
        yield
    finally:
        task.cancel()
        await asyncio.wait([task])


def new_node(role, name, number, incarnation=1, clock=None, **streams):
    """Return a node whose link port follows from its number.

    `clock` is the clock that advances while the process is suspended.
    """
    hello = Hello(
        PROTOCOL_VERSION,
        role,
        name,
        f'{name}-{incarnation}',
        'z1',
        f'127.0.0.1:{LINK_PORT + number}',
        '',
        loss_reports=True,
        cancel_lists=True,
    )
    options = NodeOptions(timing=LINK_TIMING, rng=Random(1), clock=clock)
    return Node(hello, None, options, **streams)


class System:
    """Fronts, workers with their executors, a store and a client.

    Parameters
    ----------
    worker_count : int
        Number of workers and of executors; they are numbered from 0.
    front_count : int
        Number of fronts; they are numbered from 0.
    """

    # Own host in the settings of the workers.
    worker_host = '127.0.0.1'

    def __init__(self, worker_count=2, front_count=1):
        self.worker_count = worker_count
        self.front_count = front_count
        self.store = StandinStore()
        self.fronts = []
        self.workers = []
        self.registrations = []
        self.executors = []
        self.stacks = {}
        self.heartbeats = []
        self.crash_count = 0
        self.session = None
        # Time in seconds for which the machines of the fronts were suspended.
        self.suspended_s = 0

    @asynccontextmanager
    async def run(self) -> AsyncIterator['System']:
        """Run everything within the block."""
        async with AsyncExitStack() as stack:
            self.store.put(CONFIG_TOPIC, CONFIG_KEY, config())
            await stack.enter_async_context(serve(self.store.app(), STORE_PORT))
            self.session = aiohttp.ClientSession()
            stack.push_async_callback(self.session.close)
            for number in range(self.worker_count):
                await self.start_executor(stack, number)
                await self.start_worker(number)
            for number in range(self.front_count):
                await self.start_front(number)
            await self.settle()
            try:
                yield self
            finally:
                for name in list(self.stacks):
                    await self.kill(name)

    def new_node(self, role, name, number, incarnation):
        """Return the node of a front or worker."""
        loop = asyncio.get_running_loop()

        def clock():
            return loop.time() + self.suspended_s

        return new_node(
            role,
            name,
            number,
            incarnation,
            clock if role == 'front' else None,
        )

    def executor_address(self, number):
        """Return the address at which a worker calls its executor."""
        return f'127.0.0.1:{EXECUTOR_PORT + number}'

    async def settle(self, seconds=2.5):
        """Wait until links are up and executors have announced themselves."""
        await asyncio.sleep(seconds)

    async def start_executor(self, stack, number):
        """Start an executor and its heartbeats."""
        executor = StandinExecutor(f'i-{number}')
        self.executors.append(executor)
        await stack.enter_async_context(running(self.serve_executor(number)))
        self.heartbeats.append(
            asyncio.create_task(self.send_heartbeats(number))
        )
        stack.callback(self.heartbeats[-1].cancel)

    async def serve_executor(self, number):
        """Serve an executor, and restart it after each crash."""
        executor = self.executors[number]
        while True:
            async with serve(executor.app(), EXECUTOR_PORT + number):
                await executor.crashed.wait()
                self.crash_count += 1
                if executor.faults.silent:
                    await asyncio.sleep(DOWN_S)
            if not executor.faults.silent:
                await asyncio.sleep(DOWN_S)
            executor.restart(f'i-{number}-{executor.born_ms}')
            await self.announce(number, executor.announcement())

    async def send_heartbeats(self, number):
        """Send heartbeats of an executor until cancelled."""
        executor = self.executors[number]
        while True:
            if not executor.crashed.is_set():
                await self.announce(number, executor.announcement())
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def announce(self, number, fields):
        """Send one heartbeat; return the status, or None without an answer."""
        control = f'127.0.0.1:{CONTROL_PORT + number}'
        return await announce(
            self.session, control, self.executors[number], fields
        )

    async def start_worker(self, number, incarnation=1):
        """Start the worker of an executor."""
        stack = AsyncExitStack()
        node = self.new_node('worker', f'w{number}', number, incarnation)
        port = ExecutorClient(self.executor_address(number), self.worker_host)
        worker = Worker(node, port)
        stack.push_async_callback(port.close)
        stack.push_async_callback(worker.supervisor.close)
        stack.push_async_callback(node.stop, False)
        await node.start()
        await stack.enter_async_context(
            serve(control_app(worker), CONTROL_PORT + number)
        )
        await stack.enter_async_context(running(worker.run()))
        store = LogStore(f'127.0.0.1:{STORE_PORT}')
        stack.push_async_callback(store.close)
        registration = Registration(worker, store, port, 'desk', Random(3))
        self.registrations[number : number + 1] = [registration]
        await stack.enter_async_context(running(registration.run()))
        self.stacks[f'w{number}'] = stack
        self.workers[number : number + 1] = [worker]

    async def start_front(self, number, incarnation=1):
        """Start a front."""
        stack = AsyncExitStack()
        node = self.new_node('front', f'f{number}', 50 + number, incarnation)
        store = LogStore(f'127.0.0.1:{STORE_PORT}')
        seeds = [f'127.0.0.1:{LINK_PORT + 50}']
        front = Front(node, store, seeds, Random(2))
        stack.push_async_callback(store.close)
        stack.push_async_callback(node.stop, False)
        await node.start()
        await stack.enter_async_context(running(front.run()))
        for app, port in (
            (client_app(front), CLIENT_PORT),
            (readiness_app(front), READINESS_PORT),
        ):
            await stack.enter_async_context(serve(app, port + number))
        self.stacks[f'f{number}'] = stack
        self.fronts[number : number + 1] = [front]

    async def kill(self, name):
        """End a front or worker without an orderly stop."""
        await self.stacks.pop(name).aclose()

    async def call(self, method, path, content=None, wait_ms=2000, front=0):
        """Send a request; return status, body and headers."""
        async with self.session.request(
            method,
            f'http://127.0.0.1:{CLIENT_PORT + front}{path}',
            data=None if content is None else orjson.dumps(content),
            headers=headers(HOST, wait_ms),
        ) as response:
            received = await response.read()
            fields = orjson.loads(received) if received else {}
            return response.status, fields, response.headers

    async def submit(self, job_id, content=None, wait_ms=2000, front=0):
        """Submit a job; return status and body."""
        status, fields, _ = await self.call(
            'POST', f'/quote/{job_id}', content or body(), wait_ms, front
        )
        return status, fields

    def history(self):
        """Return all runs of all executors."""
        return [run for x in self.executors for run in x.history]
