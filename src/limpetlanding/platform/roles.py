"""Front and worker processes on the platform: start, service and stop."""

import asyncio
import signal
import sys
import time
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from contextlib import (
    asynccontextmanager,
    contextmanager,
    suppress,
)
from importlib import import_module
from pathlib import Path
from random import SystemRandom
from types import ModuleType
from typing import Any, TypeVar

from aiohttp import web
from loguru import logger

from limpetlanding.jobs import new_incarnation
from limpetlanding.lifecycle.serving import run_http_server
from limpetlanding.lifecycle.signals import (
    STOP_SIGNALS,
    on_signal,
    stop_on_signals,
)
from limpetlanding.platform.control import control_app
from limpetlanding.platform.executor import ExecutorClient
from limpetlanding.platform.ingress import client_app, readiness_app
from limpetlanding.platform.settings import (
    ProcessSettings,
    SettingsError,
    read_settings,
    settings_path,
)
from limpetlanding.platform.store import LogStore
from limpetlanding.runs import Front, Worker
from limpetlanding.runs.background import log_task_exception
from limpetlanding.runs.registration import Registration
from limpetlanding.telemetry.logs import start_logs
from limpetlanding.telemetry.output import BoundedOutput
from limpetlanding.wire import (
    PROTOCOL_VERSION,
    Hello,
    Node,
    NodeOptions,
    Timing,
)

Client = TypeVar('Client', LogStore, ExecutorClient)

LINK_TIMING = Timing(
    heartbeat_s=0.15,
    digest_s=2,
    silence_s=0.45,
    suspect_s=0.35,
    idle_slowdown=4,
    down_s=0.3,
    hello_s=0.5,
    redial_min_s=0.05,
    redial_max_s=0.3,
    max_suspension_s=1,
)
"""A worker declares a front lost 0.75 s after its last message, so that the
front's runs have ended before a client resubmits its job, 1.3 s after its
connection broke. Links without runs or orders may be four times as slow: an
order that is not answered within 0.35 s shows a lost worker there. An order
that waited for longer than 1 s while its worker was suspended is stale: the
front may have given the task to another worker."""

SETTINGS_POLL_INTERVAL_S = 1
"""Interval of checks whether the settings file has changed without a SIGHUP."""

BALANCER_DELAY_S = 2.5
"""Time until the load balancer sends no more requests to a stopping front. It
checks once a second and removes a front after two failed checks."""

SHUTDOWN_TIMEOUT_S = 0.2
"""Time for requests in progress after a listener has closed; jobs have been
answered before."""

METRICS_PORT = 9464
"""Port of metrics and status; `deploy/system.toml` has the same value."""

DRAIN_SHARE = 5 / 6
"""Share of the grace period in which jobs and runs may finish. The rest is for
sending answers, stopping runs and closing connections; according to the
documentation of the platform, unfinished work may be stopped in it."""


async def run_front() -> None:
    """Serve clients until SIGTERM, then finish the jobs in progress."""
    settings, output = _start_process('front')
    stop = asyncio.Event()
    async with (
        _link_node('front', settings) as node,
        _closing(LogStore(settings.store_address)) as store,
    ):
        front = Front(node, store, settings.seeds, SystemRandom())
        await node.start()
        async with (
            _background_task(front.run()),
            run_http_server(
                readiness_app(front),
                settings.readiness_address,
                SHUTDOWN_TIMEOUT_S,
            ),
            run_http_server(
                client_app(front), settings.client_address, SHUTDOWN_TIMEOUT_S
            ),
            _background_task(
                _follow_settings(lambda x: front.add_seeds(x.seeds))
            ),
            _metrics_served(
                settings,
                front.not_ready_reason,
                lambda: _load_metrics_module().front_status(front),
                stop.set,
                lambda: _load_metrics_module().front_metrics(front, output),
            ),
        ):
            await _wait_for_stop(stop)
            front.begin_stop(settings.grace_s * DRAIN_SHARE)
            await _finish_jobs(front)
            logger.bind(step='stop', jobs=len(front.dispatcher.jobs)).info(
                'closing connections'
            )
    logger.bind(step='stop').info('stopped')


async def run_worker() -> None:
    """Run tasks at the executor on this machine until SIGTERM, then drain."""
    settings, output = _start_process('worker')
    stop = asyncio.Event()
    async with (
        _link_node('worker', settings) as node,
        _closing(LogStore(settings.store_address)) as store,
        _closing(
            ExecutorClient(
                settings.executor_address, settings.address.rpartition(':')[0]
            )
        ) as port,
    ):
        worker = Worker(node, port, settings.stop_s)
        registration = Registration(
            worker, store, port, settings.pool, SystemRandom()
        )
        worker.seed_links.add(settings.seeds)
        await node.start()
        async with (
            run_http_server(
                control_app(worker),
                settings.control_address,
                SHUTDOWN_TIMEOUT_S,
            ),
            _background_task(worker.run()),
            _background_task(registration.run()),
            _background_task(
                _follow_settings(lambda x: worker.seed_links.add(x.seeds))
            ),
            _metrics_served(
                settings,
                lambda: '' if worker.supervisor.reachable else 'no executor',
                lambda: _load_metrics_module().worker_status(worker),
                stop.set,
                lambda: _load_metrics_module().worker_metrics(worker, output),
            ),
        ):
            await _wait_for_stop(stop)
            await worker.drain(settings.grace_s * DRAIN_SHARE)
        await worker.supervisor.close()
    logger.bind(step='stop').info('stopped')


def _start_process(role: str) -> tuple[ProcessSettings, BoundedOutput]:
    settings = read_settings(settings_path())
    output = BoundedOutput(sys.stdout.fileno())
    start_logs('INFO', role, settings.node, output.write)
    logger.bind(step='start', address=settings.address).info('started')
    return settings, output


@asynccontextmanager
async def _link_node(
    role: str, settings: ProcessSettings
) -> AsyncIterator[Node]:
    hello = Hello(
        PROTOCOL_VERSION,
        role,
        settings.node,
        new_incarnation(),
        settings.failure_domain,
        settings.address,
        settings.client_address,
        settings.region,
        slow_heartbeats=True,
        loss_reports=True,
    )
    node = Node(
        hello, _no_handler, NodeOptions(timing=LINK_TIMING, clock=_boottime_s)
    )
    try:
        yield node
    finally:
        await node.stop(drain=False)


def _boottime_s() -> float:
    """Return a clock in seconds that also runs while the machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


async def _no_handler(_channel: Any, _message: Any) -> None:
    """Ignore messages until the role has set its handler."""


@asynccontextmanager
async def _closing(client: Client) -> AsyncIterator[Client]:
    try:
        yield client
    finally:
        await client.close()


def _load_metrics_module() -> ModuleType:
    """Import the metrics module.

    The import takes 0.1 s, so it is done after the process serves clients.
    """
    return import_module('limpetlanding.runs.metrics')


@asynccontextmanager
async def _metrics_served(
    settings: ProcessSettings,
    missing: Callable[[], str],
    status: Callable[[], dict[str, Any]],
    stop: Callable[[], None],
    create: Callable[[], Any],
) -> AsyncIterator[None]:
    from limpetlanding.telemetry.service import add_service_routes

    host = settings.address.rpartition(':')[0]
    app = web.Application()
    add_service_routes(app, missing, status, stop, create())
    async with run_http_server(
        app, f'{host}:{METRICS_PORT}', SHUTDOWN_TIMEOUT_S
    ):
        yield


@asynccontextmanager
async def _background_task(
    work: Coroutine[Any, Any, None],
) -> AsyncIterator[None]:
    task = asyncio.create_task(work)
    task.add_done_callback(log_task_exception)
    try:
        yield
    finally:
        task.cancel()
        await asyncio.wait([task])


async def _wait_for_stop(stop: asyncio.Event) -> None:
    with stop_on_signals(stop.set):
        await stop.wait()
    # Another signal must not interrupt the orderly stop.
    for number in STOP_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
    logger.bind(step='stop').info('stop requested')


async def _finish_jobs(front: Front) -> None:
    loop = asyncio.get_running_loop()
    balancer_informed_at = loop.time() + BALANCER_DELAY_S
    while loop.time() < front.stop_deadline:
        if not front.dispatcher.jobs and loop.time() > balancer_informed_at:
            return
        await asyncio.sleep(0.05)


async def _follow_settings(apply: Callable[[ProcessSettings], None]) -> None:
    path = settings_path()
    reload_requested = asyncio.Event()
    applied = _modified_ns(path)
    with _reload_signal(reload_requested.set):
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(SETTINGS_POLL_INTERVAL_S):
                    await reload_requested.wait()
            newest = _modified_ns(path)
            if reload_requested.is_set() or newest != applied:
                reload_requested.clear()
                applied = newest
                _apply_settings(path, apply)


@contextmanager
def _reload_signal(request_reload: Callable[[], None]) -> Iterator[None]:
    try:
        with on_signal(signal.SIGHUP, request_reload):
            yield
    finally:
        # The default action of SIGHUP would end the process, which may still
        # be finishing its work.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)


def _modified_ns(path: Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except FileNotFoundError:
        # The file is missing for a moment while it is replaced.
        return 0


def _apply_settings(
    path: Path, apply: Callable[[ProcessSettings], None]
) -> None:
    try:
        apply(read_settings(path))
    except SettingsError as error:
        logger.bind(step='reload').error('new settings rejected: {}', error)
    else:
        logger.bind(step='reload').info('settings reloaded')
