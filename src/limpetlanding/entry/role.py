"""The entry role: one process that serves callers."""

import asyncio
from collections.abc import Callable, Collection, Mapping, Sequence
from random import Random
from typing import Any, Protocol

from loguru import logger

from limpetlanding.config.reader import READERS_PER_REGION
from limpetlanding.config.replica import Replica as ConfigReplica
from limpetlanding.entry.admission import Policies, job_deadline_ms
from limpetlanding.entry.api import Submission
from limpetlanding.entry.auth import Contract, Contracts
from limpetlanding.entry.core import EntryCore
from limpetlanding.entry.http import CallerApi
from limpetlanding.entry.metrics import export_entry
from limpetlanding.entry.server import HttpServer
from limpetlanding.errors import LimpetlandingError
from limpetlanding.lifecycle import Lifecycle, ProcessState
from limpetlanding.membership import MemberTable, entry_info
from limpetlanding.policy import (
    Admission,
    AgentLoad,
    Estimator,
    Move,
    NaiveAdmission,
    OutlierDetector,
    PlacedTask,
    PlacementPlan,
    choose_placements_naive,
    place,
    plan_moves,
)
from limpetlanding.settings import Settings
from limpetlanding.startup import (
    ReplicaInterface,
    identity_status,
    new_hello,
    node_options,
    process_metrics,
    stop_on_signals,
    telemetry,
    wire_status,
)
from limpetlanding.telemetry.service import add_service_routes
from limpetlanding.wire import Channel, Node
from limpetlanding.wire.job_messages import Members, TaskSpec

NAIVE_DEADLINE_MS = 600_000
"""The naive policy refuses and drops nothing, so its deadline is the longest
time that a coordinator keeps a job."""

MEMBERS_EXCHANGE_INTERVAL_S = 2
"""The members are exchanged repeatedly in case messages are lost."""

FIRST_AGENT_TIMEOUT_S = 5
"""An entry without agents becomes ready after this time; agents reconnect
within about a second."""


class EntryReplica(ReplicaInterface, Contracts, Protocol):
    """Replica of the configuration that provides the contracts in force."""


class EntryRole:
    """One running entry.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    replica : EntryReplica
        Replica of the configuration.
    connect, serve : callable
        Functions that open and accept connections; tests replace them.
    """

    def __init__(
        self,
        settings: Settings,
        replica: EntryReplica,
        connect: Callable[..., Any] = asyncio.open_connection,
        serve: Callable[..., Any] = asyncio.start_server,
    ) -> None:
        self.settings = settings
        self.replica = replica
        self.loop = asyncio.get_running_loop()
        self.rng = Random()
        self.hello = new_hello(settings)
        self.started_at = self.loop.time()
        self.lifecycle = Lifecycle(ProcessState, settings.node)
        self.stop_wanted = asyncio.Event()
        self.members = MemberTable(settings.region)
        self.core = EntryCore(
            self.hello,
            replica,
            _make_policies(settings, self.rng),
            self._plan_moves,
            self.rng,
            self.loop.time,
        )
        self.node = Node(
            self.hello, self._handle, node_options(settings), connect, serve
        )
        self.node.config_digest = replica.digest
        self.node.on_heartbeat = replica.heartbeat
        self.node.on_peer_up = self._peer_up
        self.node.on_peer_down = self._peer_down
        app = CallerApi(
            self.core.submissions, replica, settings.max_body_bytes
        ).application()
        metrics = process_metrics(
            self.node.counters, self._unready_reason, replica.status
        )
        add_service_routes(
            app,
            self._unready_reason,
            self._status,
            self.stop_wanted.set,
            metrics,
        )
        self.http = HttpServer(app, settings.stop_grace_s)
        export_entry(self.core, lambda: self.http.in_flight, metrics)

    async def run(self) -> None:
        """Serve until a stop is requested; finish the requests in flight."""
        port = await self.http.start(self.settings.http)
        host = self.settings.advertise_host or self.settings.http.host
        # The first frame of every link has the address, so it is set first.
        self.hello.http_address = f'{host}:{port}'
        await self.node.start()
        self.members.own = entry_info(self.hello)
        logger.bind(step='start').info(
            'entry {} listens on {}, HTTP on {}',
            self.hello.node,
            self.hello.address,
            self.hello.http_address,
        )
        background_tasks = [
            asyncio.create_task(coroutine)
            for coroutine in (
                self.core.run(),
                self._exchange_members(),
                self.replica.run(self._reads_log),
            )
        ]
        self.lifecycle.transition_to(ProcessState.READY)
        try:
            await _wait_for_stop(self.stop_wanted, background_tasks)
        finally:
            await self._stop(background_tasks)

    async def _stop(
        self, background_tasks: Sequence[asyncio.Task[None]]
    ) -> None:
        self.lifecycle.transition_to(ProcessState.DRAINING)
        logger.bind(step='stop').info(
            'draining, {} requests in flight', self.http.in_flight
        )
        answered = await self.http.stop()
        if not answered:
            logger.bind(step='stop').warning(
                'requests still in flight after {} s',
                self.settings.stop_grace_s,
            )
        self.core.quota.give_back()
        for task in background_tasks:
            task.cancel()
        await asyncio.gather(*background_tasks, return_exceptions=True)
        await self.node.stop()
        self.lifecycle.transition_to(ProcessState.STOPPED)

    async def _handle(self, channel: Channel, message: Any) -> Any:
        if isinstance(message, Members):
            if self.members.merge(message, self.loop.time()):
                self._dial_members()
            if channel.peer.role == 'entry':
                self._share_limits()
                self.core.quota.message_received(channel)
            return None
        reply = await self.core.handle(channel, message)
        if reply is None:
            reply = await self.replica.handle(channel, message)
        return reply

    def _peer_up(self, channel: Channel) -> None:
        if channel.peer.role == 'agent':
            self.core.add_agent(channel)
        elif channel.peer.role == 'entry':
            self.core.add_entry(channel)
            info = entry_info(channel.peer)
            if self.members.mark_up(info, self.loop.time()):
                self._members_changed()
        channel.notify(self.members.members_message())

    def _peer_down(self, channel: Channel) -> None:
        incarnation = channel.peer.incarnation
        if channel.peer.role == 'agent':
            self.core.remove_agent(incarnation)
        elif self.members.mark_down(incarnation, self.loop.time()):
            self.core.remove_entry(channel)
            self._members_changed()

    def _members_changed(self) -> None:
        self._share_limits()
        self._dial_members()
        members = self.members.members_message()
        for channel in self.node.channels:
            channel.notify(members)

    def _dial_members(self) -> None:
        wanted = {*self.settings.entries, *self.members.addresses()}
        for address in wanted - {self.hello.address}:
            self.node.keep_dialing(address)
        for address in set(self.node.dialers) - wanted:
            self.node.stop_dialing(address)

    def _share_limits(self) -> None:
        now = self.loop.time()
        self.core.quota.ledger.set_members(self.members.share_holders(now), now)

    async def _exchange_members(self) -> None:
        while True:
            self.members.expire(self.loop.time())
            self._members_changed()
            await asyncio.sleep(MEMBERS_EXCHANGE_INTERVAL_S)

    def _reads_log(self) -> bool:
        """Tell whether this entry is one of the two that read the log."""
        readers = self.members.connected_nodes(self.settings.region)[
            :READERS_PER_REGION
        ]
        return self.hello.node in readers

    def _unready_reason(self) -> str:
        if self.lifecycle.state != ProcessState.READY:
            return str(self.lifecycle.state)
        return self._missing_condition()

    def _missing_condition(self) -> str:
        if not self.replica.loaded():
            return 'no configuration'
        if not self.core.quota.ledger.ready(self.loop.time()):
            return 'no share of the limits yet'
        waited_s = self.loop.time() - self.started_at
        if not self.core.view.agents and waited_s < FIRST_AGENT_TIMEOUT_S:
            return 'no agent'
        return ''

    def _status(self) -> dict[str, Any]:
        return {
            **identity_status(
                self.hello, self.lifecycle.state, self._missing_condition()
            ),
            'uptime_s': self.loop.time() - self.started_at,
            'requests_in_flight': self.http.in_flight,
            'entries': {
                node: member.state
                for node, member in self.members.entries.items()
            },
            **self.core.status(),
            'wire': wire_status(self.node.counters),
            **self.replica.status(),
        }

    def _plan_moves(
        self,
        placed: Sequence[PlacedTask],
        loads: Mapping[str, AgentLoad],
        now: float,
        budget: int,
    ) -> list[Move]:
        if self.settings.policy == 'naive':
            return []
        domain = self.hello.failure_domain
        return plan_moves(placed, loads, domain, self.rng, now, budget)


async def run_entry(
    settings: Settings, replica: EntryReplica | None = None
) -> None:
    """Run an entry until SIGTERM, SIGINT or ``POST /drain``.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    replica : EntryReplica, optional
        Replica of the configuration; by default one that follows the log in
        the settings and the peers.

    Raises
    ------
    OSError
        If an address cannot be used.
    """
    with telemetry(settings):
        role = EntryRole(settings, replica or ConfigReplica(settings))
        with stop_on_signals(role.stop_wanted.set):
            await role.run()


async def _wait_for_stop(
    stop: asyncio.Event, background_tasks: Sequence[asyncio.Task[None]]
) -> None:
    """Wait until a stop is requested.

    Raises
    ------
    LimpetlandingError
        If a background task ends before the stop. An exception of the task
        is raised as it is.
    """
    stopped = asyncio.create_task(stop.wait())
    try:
        done, _ = await asyncio.wait(
            (stopped, *background_tasks), return_when=asyncio.FIRST_COMPLETED
        )
    finally:
        stopped.cancel()
    for task in done - {stopped}:
        task.result()
        raise LimpetlandingError('a background task ended', step='run')


def _naive_deadline_ms(_contract: Contract, _submission: Submission) -> float:
    """Return the deadline of the naive policy, which refuses nothing."""
    return NAIVE_DEADLINE_MS


def _make_policies(settings: Settings, rng: Random) -> Policies:
    naive = settings.policy == 'naive'
    domain = settings.failure_domain

    def place_naively(
        tasks: Sequence[TaskSpec],
        loads: Mapping[str, AgentLoad],
        now: float,
        _avoid: Collection[str],
    ) -> PlacementPlan:
        return PlacementPlan(
            choose_placements_naive(tasks, loads, domain, rng, now)
        )

    def place_by_load(
        tasks: Sequence[TaskSpec],
        loads: Mapping[str, AgentLoad],
        now: float,
        avoid: Collection[str],
    ) -> PlacementPlan:
        return place(tasks, loads, domain, rng, now, avoid)

    return Policies(
        NaiveAdmission() if naive else Admission(),
        Estimator(),
        OutlierDetector(),
        place_naively if naive else place_by_load,
        _naive_deadline_ms if naive else job_deadline_ms,
    )
