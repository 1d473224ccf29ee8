"""What front and worker processes share: start, settings, metrics and stop.

The roles have modules of their own, so that a process loads only its own role.
"""

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
from types import ModuleType
from typing import Any, Protocol, TypeVar

from aiohttp import web
from loguru import logger

from limpetlanding.jobs import new_incarnation
from limpetlanding.lifecycle.serving import run_http_server
from limpetlanding.lifecycle.signals import (
    STOP_SIGNALS,
    on_signal,
    stop_on_signals,
)
from limpetlanding.platform.settings import (
    ProcessSettings,
    SettingsError,
    read_settings,
    settings_path,
)
from limpetlanding.runs.background import log_task_exception
from limpetlanding.telemetry.logs import start_logs
from limpetlanding.telemetry.output import BoundedOutput
from limpetlanding.wire import (
    PROTOCOL_VERSION,
    Hello,
    Node,
    NodeOptions,
    Timing,
)

Client = TypeVar('Client', bound='Closeable')

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
connection broke. There is no margin for a client that does so at once. Links
without runs or orders may be four times as slow: an order that is not answered
within 0.35 s shows a lost worker there. An order that waited for longer than
1 s while its worker was suspended is stale: the front may have given the task
to another worker."""

SETTINGS_POLL_INTERVAL_S = 1
"""Interval of checks whether the settings file has changed without a SIGHUP."""

SHUTDOWN_TIMEOUT_S = 0.2
"""Time for requests in progress after a listener has closed; jobs have been
answered before."""

METRICS_PORT = 9464
"""Port of metrics and status; `deploy/system.toml` has the same value."""

DRAIN_SHARE = 5 / 6
"""Share of the grace period in which jobs and runs may finish. The rest is for
sending answers, stopping runs and closing connections; according to the
documentation of the platform, unfinished work may be stopped in it."""


class Closeable(Protocol):
    """Client of another system with a connection to close."""

    async def close(self) -> None:
        """Close the connections."""


def start_process(role: str) -> tuple[ProcessSettings, BoundedOutput]:
    """Read the settings and start the logs of a process.

    Raises
    ------
    SettingsError
        If the settings cannot be used.
    """
    settings = read_settings(settings_path())
    output = BoundedOutput(sys.stdout.fileno())
    start_logs('INFO', role, settings.node, output.write)
    logger.bind(step='start', address=settings.address).info('started')
    return settings, output


@asynccontextmanager
async def link_node(
    role: str, settings: ProcessSettings
) -> AsyncIterator[Node]:
    """Yield the node of a process, not yet started, and stop it afterwards."""
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
        cancel_lists=True,
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
async def closing(client: Client) -> AsyncIterator[Client]:
    """Yield `client` and close it afterwards."""
    try:
        yield client
    finally:
        await client.close()


def load_metrics_module() -> ModuleType:
    """Import the metrics module.

    It loads aioprometheus, so it is imported after the process serves clients.
    """
    return import_module('limpetlanding.runs.metrics')


@asynccontextmanager
async def metrics_served(
    settings: ProcessSettings,
    missing: Callable[[], str],
    status: Callable[[], dict[str, Any]],
    stop: Callable[[], None],
    create: Callable[[], Any],
) -> AsyncIterator[None]:
    """Serve metrics and status while the block runs.

    Parameters
    ----------
    settings : ProcessSettings
        They contain the host to listen on.
    missing : callable
        Returns why the process is not ready, or an empty text.
    status : callable
        Returns the status page.
    stop : callable
        Called when an operator asks the process to stop.
    create : callable
        Returns the metrics.
    """
    from limpetlanding.telemetry.service import add_service_routes

    host = settings.address.rpartition(':')[0]
    app = web.Application()
    add_service_routes(app, missing, status, stop, create())
    async with run_http_server(
        app, f'{host}:{METRICS_PORT}', SHUTDOWN_TIMEOUT_S
    ):
        yield


@asynccontextmanager
async def background_task(
    work: Coroutine[Any, Any, None],
) -> AsyncIterator[None]:
    """Run `work` as a task while the block runs; log its exception."""
    task = asyncio.create_task(work)
    task.add_done_callback(log_task_exception)
    try:
        yield
    finally:
        task.cancel()
        await asyncio.wait([task])


async def wait_for_stop(stop: asyncio.Event) -> None:
    """Wait for SIGTERM, SIGINT or `stop`, and ignore the signals from then."""
    with stop_on_signals(stop.set):
        await stop.wait()
    # Another signal must not interrupt the orderly stop.
    for number in STOP_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
    logger.bind(step='stop').info('stop requested')


async def follow_settings(apply: Callable[[ProcessSettings], None]) -> None:
    """Call `apply` with the settings after each change of their file."""
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
