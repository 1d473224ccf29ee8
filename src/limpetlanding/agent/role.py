"""Process of the role agent: its node, parts, HTTP service and stop."""

import asyncio
import secrets
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web
from loguru import logger

from limpetlanding.agent.core import AgentCore, CoreInterfaces, CoreOptions
from limpetlanding.agent.load import LoadReporter
from limpetlanding.agent.metrics import event_counts, export_agent
from limpetlanding.agent.options import (
    CoordinatorOptions,
    EndpointOptions,
    ExecutorOptions,
)
from limpetlanding.agent.peers import Peers
from limpetlanding.agent.records import RecordLimits
from limpetlanding.agent.service import announcement_app
from limpetlanding.config.replica import Replica as ConfigReplica
from limpetlanding.errors import LimpetlandingError
from limpetlanding.lifecycle import Lifecycle, ProcessState
from limpetlanding.policy import make_queue
from limpetlanding.settings import Settings
from limpetlanding.startup import (
    ReplicaInterface,
    identity_status,
    listen_http,
    new_hello,
    node_options,
    process_metrics,
    stop_on_signals,
    telemetry,
    wire_status,
)
from limpetlanding.telemetry.service import add_service_routes
from limpetlanding.wire import Channel, Hello, Node
from limpetlanding.wire.job_messages import (
    CoordinatorMoved,
    LoadReport,
    Members,
)

TICK_INTERVAL_S = 0.25
# A load report tells the entries of the stop within milliseconds. Tasks that
# were sent before it arrived are still accepted.
DRAIN_NOTICE_S = 0.5
SECRET_BYTES = 32
HTTP_KEEPALIVE_S = 75


class NullReplica:
    """Replica for an agent that runs without configuration."""

    def digest(self) -> int:
        """Return the digest of no records."""
        return 0

    def loaded(self) -> bool:
        """Return True: there is no configuration to load."""
        return True

    def status(self) -> dict[str, Any]:
        """Return no status."""
        return {}

    def heartbeat(self, channel: Channel, digest: int) -> None:
        """Ignore the digest."""

    async def handle(self, channel: Channel, message: Any) -> Any:
        """Ignore the message."""

    async def run(self, reads_log: Callable[[], bool]) -> None:
        """Wait until cancelled."""
        await asyncio.Event().wait()


@dataclass(slots=True)
class AgentRole:
    """One running agent.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    replica : ReplicaInterface
        Replica of the configuration.
    connect, serve : callable
        Replacements for the functions of asyncio in tests.
    """

    settings: Settings
    replica: ReplicaInterface = field(default_factory=NullReplica)
    connect: Callable[..., Any] = asyncio.open_connection
    serve: Callable[..., Any] = asyncio.start_server
    hello: Hello = field(init=False)
    node: Node = field(init=False)
    peers: Peers = field(init=False)
    core: AgentCore = field(init=False)
    reporter: LoadReporter = field(init=False)
    lifecycle: Lifecycle[ProcessState] = field(init=False)
    stop_wanted: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        settings = self.settings
        self.hello = new_hello(settings)
        self.lifecycle = Lifecycle(ProcessState, settings.node)
        self.node = Node(
            self.hello,
            self._handle,
            node_options(settings),
            self.connect,
            self.serve,
        )
        self.node.config_digest = self.replica.digest
        self.node.on_heartbeat = self.replica.heartbeat
        self.node.on_peer_up = self._peer_up
        self.node.on_peer_down = self._peer_down
        self.peers = Peers(self.node, frozenset(settings.entries))
        self.core = AgentCore(
            settings.node,
            self.hello.incarnation,
            secrets.token_bytes(SECRET_BYTES),
            CoreInterfaces(
                self.peers.connect,
                self.peers.place,
                asyncio.get_running_loop().time,
            ),
            core_options(settings),
        )
        self.reporter = LoadReporter(
            self._load,
            lambda: self.node.connected('entry'),
            settings.load_report_ms / 1000,
        )
        self.core.executor.on_load_change = self.reporter.mark_changed
        self.core.handovers.on_takeover = self._announce_takeover

    async def run(self) -> None:
        """Serve until a stop is requested, then drain and stop.

        Running jobs and tasks get `stop_grace_s` to end.
        """
        await self.node.start()
        runner = await self._start_http()
        self.peers.start()
        background_tasks = [
            asyncio.create_task(self.reporter.run()),
            asyncio.create_task(self._tick()),
            asyncio.create_task(self.replica.run(bool)),
        ]
        self.lifecycle.transition_to(ProcessState.READY)
        logger.bind(step='start').info(
            'agent {} listens on {}, HTTP on {}',
            self.hello.node,
            self.hello.address,
            self.hello.http_address,
        )
        try:
            await self._serve(background_tasks)
        finally:
            await self._close(background_tasks, runner)

    async def _serve(self, background_tasks: list[asyncio.Task[None]]) -> None:
        """Wait until a stop is requested, then drain.

        If a background task ends, this is an error, which is raised after the
        drain: the running jobs and tasks do not depend on background tasks.
        """
        stop = asyncio.create_task(self.stop_wanted.wait())
        done, _ = await asyncio.wait(
            (stop, *background_tasks), return_when=asyncio.FIRST_COMPLETED
        )
        stop.cancel()
        await self._drain()
        for task in done - {stop}:
            task.result()
            raise LimpetlandingError('a background task ended', step='run')

    async def _close(
        self, background_tasks: list[asyncio.Task[None]], runner: web.AppRunner
    ) -> None:
        for task in background_tasks:
            task.cancel()
        await asyncio.gather(*background_tasks, return_exceptions=True)
        await self.node.stop()
        await self.core.endpoints.close()
        await runner.cleanup()
        self.lifecycle.transition_to(ProcessState.STOPPED)

    async def _start_http(self) -> web.AppRunner:
        app = announcement_app(self.core.endpoints)
        metrics = process_metrics(
            self.node.counters, self._unready_reason, self.replica.status
        )
        export_agent(self.core, metrics)
        add_service_routes(
            app,
            self._unready_reason,
            self._status,
            self.stop_wanted.set,
            metrics,
        )
        runner = web.AppRunner(
            app,
            handle_signals=False,
            access_log=None,
            keepalive_timeout=HTTP_KEEPALIVE_S,
        )
        address = self.settings.http
        listener = await listen_http(runner, address)
        host = self.settings.advertise_host or address.host
        self.hello.http_address = f'{host}:{listener.port}'
        return runner

    async def _drain(self) -> None:
        """Refuse new work, hand over the records and wait for running tasks."""
        self.lifecycle.transition_to(ProcessState.DRAINING)
        core = self.core
        core.coordinator.draining = True
        self.reporter.send()
        await asyncio.sleep(DRAIN_NOTICE_S)
        core.executor.drain()
        logger.bind(step='stop').info(
            'draining: {} jobs, {} tasks queued, {} running',
            core.coordinator.active,
            len(core.executor.queue),
            len(core.executor.running),
        )
        await self._hand_over()
        with suppress(TimeoutError):
            async with asyncio.timeout(self.settings.stop_grace_s):
                while core.busy:  # noqa: ASYNC110
                    await asyncio.sleep(TICK_INTERVAL_S)
        core.executor.return_queued_tasks()
        await core.handovers.finish()

    async def _hand_over(self) -> None:
        core = self.core
        for successor in await self.peers.successors(
            core.endpoints.known_kinds
        ):
            accepted_all = await core.handovers.hand_over(successor)
            peer = successor.peer
            for incarnation in core.handovers.handed_over_to(successor):
                self._notify_entries(
                    CoordinatorMoved(incarnation, peer.node, peer.incarnation)
                )
            if accepted_all:
                logger.bind(step='handover', peer=peer.node).info(
                    'records handed over'
                )
                return
        logger.bind(step='handover').warning('no agent accepted all records')

    def _announce_takeover(self, incarnation: str) -> None:
        self._notify_entries(
            CoordinatorMoved(
                incarnation, self.hello.node, self.hello.incarnation
            )
        )

    def _notify_entries(self, message: Any) -> None:
        for channel in self.node.connected('entry'):
            channel.notify(message)

    async def _tick(self) -> None:
        while True:
            self.core.tick()
            self.peers.stop_dialing_unused(asyncio.get_running_loop().time())
            await asyncio.sleep(TICK_INTERVAL_S)

    async def _handle(self, channel: Channel, message: Any) -> Any:
        if isinstance(message, Members):
            self.peers.update_members(message)
            return None
        reply = await self.core.handle(channel, message)
        if reply is None:
            reply = await self.replica.handle(channel, message)
        return reply

    def _peer_up(self, channel: Channel) -> None:
        if channel.peer.role == 'entry':
            channel.notify(self._load())

    def _peer_down(self, channel: Channel) -> None:
        self.core.peer_lost(channel.peer.incarnation)

    def _load(self) -> LoadReport:
        return self.core.load()

    def _unready_reason(self) -> str:
        if self.lifecycle.state != ProcessState.READY:
            return str(self.lifecycle.state)
        if not any(self.node.connected('entry')):
            return 'no entry is connected'
        return '' if self.replica.loaded() else 'no configuration'

    def _status(self) -> dict[str, Any]:
        return {
            **identity_status(
                self.hello, self.lifecycle.state, self._unready_reason()
            ),
            **self.core.status(),
            'events': event_counts(self.core),
            'wire': wire_status(self.node.counters),
            **self.replica.status(),
        }


async def run_agent(
    settings: Settings, replica: ReplicaInterface | None = None
) -> None:
    """Run an agent until SIGTERM, SIGINT or ``POST /drain``.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    replica : ReplicaInterface, optional
        Replica of the configuration; by default one that pulls from the
        entries.

    Raises
    ------
    OSError
        If an address cannot be used.
    """
    with telemetry(settings):
        role = AgentRole(settings, replica or ConfigReplica(settings))
        with stop_on_signals(role.stop_wanted.set):
            await role.run()


def core_options(settings: Settings) -> CoreOptions:
    """Return the options that the settings of a process imply."""
    limits = RecordLimits(
        settings.retention_s, settings.max_records, settings.max_result_bytes
    )
    return CoreOptions(
        CoordinatorOptions(limits, settings.max_job_s),
        ExecutorOptions(
            settings.retention_s, settings.max_job_s, settings.max_result_bytes
        ),
        EndpointOptions(
            settings.endpoint_lease_ms / 1000,
            settings.endpoint_silence_ms / 1000,
        ),
        lambda: make_queue(settings.policy, slots=0),
    )
