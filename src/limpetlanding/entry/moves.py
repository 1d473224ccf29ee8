"""Moves of queued tasks that would wait much less elsewhere."""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence

from limpetlanding.entry.admission import Gate
from limpetlanding.entry.router import Router
from limpetlanding.jobs import parse_job_id
from limpetlanding.policy import AgentLoad, Move, PlacedTask
from limpetlanding.policy.moves import MAX_MOVED_SHARE
from limpetlanding.wire import MoveTasks, Placement

INTERVAL_S = 0.1
MAX_BUDGET = 100

Planner = Callable[
    [Sequence[PlacedTask], Mapping[str, AgentLoad], float, int], list[Move]
]


class Mover:
    """Asks coordinators to move queued tasks.

    Parameters
    ----------
    gate : Gate
        Holds the admitted jobs and their placements.
    router : Router
        Knows the coordinators.
    plan : callable
        Chooses the moves: placed tasks, loads, clock and budget as
        arguments.
    """

    def __init__(self, gate: Gate, router: Router, plan: Planner) -> None:
        self.gate = gate
        self.router = router
        self.plan = plan
        self.budget: float = 0
        self.moved = 0

    def placed(self, count: int) -> None:
        """Count newly placed tasks; a share of them may be moved."""
        earned = self.budget + count * MAX_MOVED_SHARE
        self.budget = min(earned, MAX_BUDGET)

    async def run(self) -> None:
        """Look for moves ten times a second."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            self.move()

    def move(self) -> None:
        """Send the moves that are worth their messages."""
        if self.budget < 1:
            return
        now = self.gate.clock()
        moves = self.plan(
            self._placed_tasks(),
            self.gate.view.loads(now),
            now,
            int(self.budget),
        )
        by_job: dict[str, list[Placement]] = defaultdict(list)
        for move in moves:
            by_job[move.job_id].append(move.placement)
        for job_id, placements in by_job.items():
            self._send(job_id, placements)

    def _placed_tasks(self) -> list[PlacedTask]:
        # A task is moved once at most; it may have started since it was
        # placed, which the coordinator finds out when it revokes the task.
        return [
            PlacedTask(job_id, task, placement.agent, ticket.admitted_at)
            for job_id, ticket in self.gate.tickets.items()
            for task, placement in zip(
                ticket.tasks, ticket.placements, strict=True
            )
            if task.index not in ticket.moved
        ]

    def _send(self, job_id: str, placements: list[Placement]) -> None:
        incarnation = parse_job_id(job_id).incarnation
        channel = self.router.coordinator(incarnation)
        if channel is None:
            return
        channel.notify(MoveTasks(job_id, placements))
        ticket = self.gate.tickets[job_id]
        for placement in placements:
            ticket.moved.add(placement.index)
            ticket.placements[placement.index] = placement
        self.budget -= len(placements)
        self.moved += len(placements)
