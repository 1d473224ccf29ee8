"""Coordinator and executor of an agent, without its sockets."""

from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass, field
from typing import Any, Protocol

from limpetlanding.agent.calls import Caller
from limpetlanding.agent.coordinator import Coordinator
from limpetlanding.agent.endpoints import Endpoints, Speed
from limpetlanding.agent.executor import Executor, Queue
from limpetlanding.agent.handover import Handovers
from limpetlanding.agent.jobrun import JobInterfaces, Peer
from limpetlanding.agent.options import (
    CoordinatorOptions,
    EndpointOptions,
    ExecutorOptions,
)
from limpetlanding.agent.records import Ledger
from limpetlanding.policy import FifoQueue, SpeedTracker
from limpetlanding.wire import Hello
from limpetlanding.wire.job_messages import (
    AllocateIds,
    CancelJob,
    Handover,
    LoadReport,
    LocateCoordinator,
    MoveTasks,
    PlaceAgain,
    Placement,
    Placements,
    QueryJob,
    RefuseJob,
    RevokeTasks,
    RunTasks,
    SubmitJob,
    TaskReports,
)


class MessageChannel(Peer, Protocol):
    """The methods of a channel that the agent uses."""

    peer: Hello

    def notify(self, message: Any) -> None:
        """Send a message without reply."""


MessageHandler = Callable[[MessageChannel, Any], Awaitable[Any]]


@dataclass(slots=True)
class CoreOptions:
    """Options of the coordinator, the executor and the endpoints."""

    coordinator: CoordinatorOptions = field(default_factory=CoordinatorOptions)
    executor: ExecutorOptions = field(default_factory=ExecutorOptions)
    endpoints: EndpointOptions = field(default_factory=EndpointOptions)
    make_queue: Callable[[], Queue] = lambda: FifoQueue(0)
    make_speed: Callable[[], Speed] = SpeedTracker


@dataclass(slots=True)
class CoreInterfaces:
    """How the agent reaches other processes; see `JobInterfaces`."""

    connect: Callable[[Placement], Awaitable[Peer]]
    place: Callable[[PlaceAgain, Any], Awaitable[Placements]]
    clock: Callable[[], float]


@dataclass(slots=True)
class AgentCore:
    """Coordinator and executor of one agent.

    The coordinator calls the agent's own executor directly, without a link.
    """

    node: str
    incarnation: str
    secret: bytes
    interfaces: CoreInterfaces
    options: CoreOptions = field(default_factory=CoreOptions)
    endpoints: Endpoints = field(init=False)
    executor: Executor = field(init=False)
    coordinator: Coordinator = field(init=False)
    handovers: Handovers = field(init=False)
    handlers: dict[type, MessageHandler] = field(init=False)

    def __post_init__(self) -> None:
        options = self.options
        clock = self.interfaces.clock
        self.endpoints = Endpoints(clock, options.endpoints, options.make_speed)
        self.executor = Executor(
            self.incarnation,
            self.endpoints,
            Caller(self.node, clock, options.endpoints),
            options.make_queue(),
            clock,
            options.executor,
        )
        self.endpoints.on_change = self.executor.endpoints_changed
        self.coordinator = Coordinator(
            Ledger(self.incarnation, self.secret),
            JobInterfaces(self._connect, self.interfaces.place, clock),
            options.coordinator,
        )
        self.handovers = Handovers(self.coordinator)
        self.handlers = self._handlers()

    async def handle(self, channel: MessageChannel, message: Any) -> Any:
        """Handle one message and return the reply, None if there is none."""
        handler = self.handlers.get(type(message))
        return await handler(channel, message) if handler else None

    def tick(self) -> None:
        """Do the periodic work; called every `role.TICK_INTERVAL_S`."""
        self.executor.tick()
        self.coordinator.sweep()

    @property
    def busy(self) -> bool:
        """Whether a job runs or a task is queued or running here."""
        return self.coordinator.active > 0 or not self.executor.idle

    def load(self) -> LoadReport:
        """Return the load that is reported to the entries."""
        report = self.executor.load()
        report.draining = report.draining or self.coordinator.draining
        return report

    def status(self) -> dict[str, Any]:
        """Return the state of coordinator and executor for ``/statusz``."""
        coordinator = self.coordinator
        report = self.load()
        return {
            'endpoints': [asdict(x) for x in report.endpoints],
            'queued': report.queued,
            'running': len(self.executor.running),
            'jobs_active': coordinator.active,
            'job_records': sum(
                len(ledger.ended) for ledger in coordinator.ledgers.values()
            ),
            'incarnations': {
                incarnation: 'moved' if incarnation in coordinator.moved else ''
                for incarnation in coordinator.ledgers
            },
        }

    def peer_lost(self, incarnation: str) -> None:
        """Answer the handed-over jobs that the lost agent was still running."""
        self.coordinator.end_jobs_of_lost_agent(incarnation)

    async def _connect(self, placement: Placement) -> Peer:
        if placement.incarnation == self.incarnation:
            return _OwnExecutor(self)
        return await self.interfaces.connect(placement)

    def _handlers(self) -> dict[type, MessageHandler]:
        coordinator = self.coordinator
        return {
            SubmitJob: lambda peer, x: coordinator.submit(x, peer),
            RefuseJob: lambda _, x: coordinator.refuse(x),
            QueryJob: lambda _, x: coordinator.query(x),
            CancelJob: lambda _, x: coordinator.cancel(x),
            MoveTasks: lambda _, x: coordinator.move(x),
            AllocateIds: lambda _, x: _completed(coordinator.allocate(x)),
            LocateCoordinator: lambda _, x: _completed(coordinator.locate(x)),
            Handover: lambda _, x: _completed(self.handovers.receive(x)),
            RunTasks: lambda peer, x: self.executor.run(x, peer.notify),
            RevokeTasks: lambda _, x: _completed(self.executor.revoke(x)),
            TaskReports: lambda peer, x: _completed(
                coordinator.on_reports(peer.peer.incarnation, x)
            ),
        }


@dataclass(slots=True)
class _OwnExecutor:
    """The agent's own executor as a peer of its coordinator."""

    core: AgentCore

    async def request(self, message: Any, timeout_s: float) -> Any:
        if isinstance(message, RunTasks):
            return await self.core.executor.run(message, self._notify)
        return self.core.executor.revoke(message)

    def _notify(self, message: TaskReports) -> None:
        self.core.coordinator.on_reports(self.core.incarnation, message)


async def _completed(reply: Any) -> Any:
    return reply
