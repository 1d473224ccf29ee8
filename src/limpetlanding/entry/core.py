"""Components of one entry, without its sockets."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from limpetlanding.entry.admission import AdmissionController, Policies
from limpetlanding.entry.auth import Contract, Contracts
from limpetlanding.entry.minting import IdPool
from limpetlanding.entry.moves import MovePlanner, Mover
from limpetlanding.entry.quota import Quota
from limpetlanding.entry.router import Peer, Router, RouterOptions
from limpetlanding.entry.submissions import SubmissionOptions, Submissions
from limpetlanding.entry.supply import IdSupply
from limpetlanding.entry.view import LoadView
from limpetlanding.policy import AgentLoad, ShareLedger
from limpetlanding.wire import Hello
from limpetlanding.wire.job_messages import (
    CoordinatorMoved,
    JobAnswer,
    LoadReport,
    PlaceAgain,
    Placements,
    ShareRequest,
    ShareReturn,
)


@dataclass(slots=True)
class CoreOptions:
    """Options of the components of an entry.

    Parameters
    ----------
    router : RouterOptions
        Options of the router.
    submissions : SubmissionOptions
        Options of the submissions.
    await_peers : bool
        Whether the entry starts without a share of the limits, until the
        other entries have answered or one lease has expired.
    """

    router: RouterOptions = field(default_factory=RouterOptions)
    submissions: SubmissionOptions = field(default_factory=SubmissionOptions)
    await_peers: bool = True


class EntryCore:
    """Creates and connects the components of one entry.

    Parameters
    ----------
    hello : Hello
        First frame of the entry, with its node and failure domain.
    contracts : Contracts
        Contracts in force.
    policies : Policies
        Policies.
    plan_moves : callable
        Chooses the queued tasks to move.
    rng : random.Random
        Source of randomness.
    clock : callable
        Returns monotonic seconds.
    options : CoreOptions, optional
        Options.
    """

    def __init__(
        self,
        hello: Hello,
        contracts: Contracts,
        policies: Policies,
        plan_moves: MovePlanner,
        rng: Random,
        clock: Callable[[], float],
        options: CoreOptions | None = None,
    ) -> None:
        options = options or CoreOptions()
        self.hello = hello
        self.clock = clock
        self.contracts = contracts
        self.view = LoadView(policies.detector)
        self.id_pool = IdPool(hello.failure_domain)
        self.router = Router(options.router, rng)
        self.admission = AdmissionController(
            policies, self.view, self._share, clock, self._live_entries, rng
        )
        self.quota = Quota(
            ShareLedger(
                hello.node,
                hello.incarnation,
                clock(),
                await_peers=options.await_peers,
            ),
            self.admission.in_use,
            clock,
            contracts,
        )
        self.supply = IdSupply(
            self.id_pool, self.router.agents, self.view.may_coordinate, clock
        )
        self.mover = Mover(self.admission, self.router, plan_moves)
        self.submissions = Submissions(
            self.router,
            self.id_pool,
            self.admission,
            self.supply.wait_for_block,
            self.quota.borrow,
            options.submissions,
        )
        self.submissions.on_placed = self.mover.count_placed

    def add_agent(self, channel: Peer) -> None:
        """Start to use an agent that has connected."""
        hello = channel.peer
        replaced = self.view.incarnation_of(hello.node)
        if replaced not in {'', hello.incarnation}:
            self.remove_agent(replaced)
        self.router.add_agent(channel)
        self.view.add_agent(hello, lambda: channel.suspect)
        self.id_pool.add_agent(hello.incarnation, hello.failure_domain)
        self.supply.request_blocks()

    def remove_agent(self, incarnation: str) -> None:
        """Stop placing tasks on an agent that is down, replaced or gone."""
        self.view.remove_agent(incarnation)
        self.id_pool.remove_agent(incarnation)

    def add_entry(self, channel: Peer) -> None:
        """Start to exchange shares with another entry."""
        self.quota.add_entry(channel)

    def remove_entry(self, channel: Peer) -> None:
        """Stop requesting shares from another entry."""
        self.quota.remove_entry(channel)

    async def handle(self, channel: Peer, message: Any) -> Any:
        """Handle one message of an agent or entry and return the reply."""
        incarnation = channel.peer.incarnation
        match message:
            case LoadReport():
                self.view.report(incarnation, message, self.clock())
            case PlaceAgain():
                return self._place_again(message)
            case CoordinatorMoved():
                self.router.coordinator_moved(
                    message.incarnation, message.successor_incarnation
                )
                self.id_pool.remove_agent(message.incarnation)
            case ShareRequest():
                return self.quota.lend(channel, message)
            case ShareReturn():
                self.quota.take_back(channel, message)
            case JobAnswer():
                self.router.drop_late_answer(channel, message)
        return None

    def loops(self) -> list[Any]:
        """Return the coroutines of the entry's background work."""
        return [self.supply.run(), self.quota.run(), self.mover.run()]

    async def run(self) -> None:
        """Run the background work of the entry until cancelled."""
        async with asyncio.TaskGroup() as group:
            for coroutine in self.loops():
                group.create_task(coroutine)

    def status(self) -> dict[str, Any]:
        """Return the fields of ``/statusz`` about the work of the entry."""
        now = self.clock()
        loads = self.view.loads(now).values()
        usages = self.admission.policies.admission.customers
        return {
            'agents': [_agent_status(load) for load in loads],
            'jobs_in_flight': len(self.admission.admitted_jobs),
            'tasks_by_customer': {
                customer: usage.tasks
                for customer, usage in usages.items()
                if usage.tasks
            },
            'kinds': sorted(self.view.kinds),
            'tasks_moved': self.mover.moved_count,
            'refusals': dict(self.admission.refusals),
            'events': dict(self.router.events),
        }

    def _live_entries(self) -> int:
        # The agents of a region are shared by the entries of that region.
        peers = self.quota.entries.values()
        return 1 + sum(x.peer.region == self.hello.region for x in peers)

    def _share(self, contract: Contract) -> int:
        return self.quota.share(contract)

    def _place_again(self, message: PlaceAgain) -> Placements:
        plan = self.admission.place_again(message.tasks, message.avoid)
        placements = [placement for placement in plan.placements if placement]
        missing = [
            task
            for task, placement in zip(
                message.tasks, plan.placements, strict=True
            )
            if placement is None
        ]
        reason = self.admission.no_place_reason(missing[0]) if missing else ''
        admitted = self.admission.admitted_jobs.get(message.job_id)
        if admitted is not None:
            for placement in placements:
                admitted.placements[placement.index] = placement
        return Placements(placements, reason)


def _agent_status(load: AgentLoad) -> dict[str, Any]:
    return {
        'node': load.agent,
        'incarnation': load.incarnation,
        'failure_domain': load.failure_domain,
        'queued_ms': load.queued_short_ms + load.queued_long_ms,
        'slots': sum(x.slots for x in load.endpoints),
        'busy': sum(x.busy for x in load.endpoints),
        'endpoints': [
            {
                'endpoint': x.endpoint,
                'kinds': x.kinds,
                'slots': x.slots,
                'busy': x.busy,
                'speed': x.speed,
                'serving': x.serving,
            }
            for x in load.endpoints
        ],
        'suspect': load.suspect,
        'draining': load.draining,
        'ejected': load.ejected,
    }
