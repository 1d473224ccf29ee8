"""Moves of queued tasks to agents where they would wait much less."""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence

from limpetlanding.entry.admission import AdmissionController
from limpetlanding.entry.router import Router
from limpetlanding.jobs import parse_job_id
from limpetlanding.policy import AgentLoad, Move, PlacedTask
from limpetlanding.policy.moves import MAX_MOVED_SHARE
from limpetlanding.wire.job_messages import MoveTasks, Placement

MOVE_INTERVAL_S = 0.1
MAX_BUDGET_TASKS = 100

MovePlanner = Callable[
    [Sequence[PlacedTask], Mapping[str, AgentLoad], float, int], list[Move]
]


class Mover:
    """Asks coordinators to move queued tasks.

    Parameters
    ----------
    admission : AdmissionController
        Provides the admitted jobs and their placements.
    router : Router
        Finds the coordinators.
    plan_moves : callable
        Chooses the moves from the placed tasks, the loads of the agents, the
        time in monotonic seconds and the largest number of moves.
    """

    def __init__(
        self,
        admission: AdmissionController,
        router: Router,
        plan_moves: MovePlanner,
    ) -> None:
        self.admission = admission
        self.router = router
        self.plan_moves = plan_moves
        self.budget: float = 0
        self.moved_count = 0

    def count_placed(self, count: int) -> None:
        """Count newly placed tasks; a fraction of them may be moved."""
        raised = self.budget + count * MAX_MOVED_SHARE
        self.budget = min(raised, MAX_BUDGET_TASKS)

    async def run(self) -> None:
        """Plan and send moves ten times a second."""
        while True:
            await asyncio.sleep(MOVE_INTERVAL_S)
            self.move()

    def move(self) -> None:
        """Send the planned moves, as many as the budget allows."""
        if self.budget < 1:
            return
        now = self.admission.clock()
        moves = self.plan_moves(
            self._placed_tasks(),
            self.admission.view.loads(now),
            now,
            int(self.budget),
        )
        by_job: dict[str, list[Placement]] = defaultdict(list)
        for move in moves:
            by_job[move.job_id].append(move.placement)
        for job_id, placements in by_job.items():
            self._send(job_id, placements)

    def _placed_tasks(self) -> list[PlacedTask]:
        # A task is moved at most once. It may have started since it was
        # placed; the coordinator finds this out when it revokes the task.
        return [
            PlacedTask(job_id, task, placement.agent, admitted.admitted_at)
            for job_id, admitted in self.admission.admitted_jobs.items()
            for task, placement in zip(
                admitted.tasks, admitted.placements, strict=True
            )
            if task.index not in admitted.moved
        ]

    def _send(self, job_id: str, placements: list[Placement]) -> None:
        incarnation = parse_job_id(job_id).incarnation
        channel = self.router.coordinator(incarnation)
        if channel is None:
            return
        channel.notify(MoveTasks(job_id, placements))
        admitted = self.admission.admitted_jobs[job_id]
        for placement in placements:
            admitted.moved.add(placement.index)
            admitted.placements[placement.index] = placement
        self.budget -= len(placements)
        self.moved_count += len(placements)
