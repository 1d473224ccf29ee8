"""Choice of the queued tasks to move to another agent."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from operator import attrgetter
from random import Random

from limpetlanding.policy.load import AgentLoad
from limpetlanding.policy.placement import completion_ms, place, wait_ms
from limpetlanding.wire.job_messages import Placement, TaskSpec

MAX_MOVED_SHARE = 0.04
"""Share of the placed tasks that may be moved. A move costs 5 messages (move,
revoke, its answer, run, its report), so 4% cost 0.2 messages per task."""

MIN_GAIN_MS = 100
MIN_GAIN_SHARE = 0.5
"""A move must save at least 100 ms and half of the expected run time. Smaller
gains are within the error of the predictions."""

MAX_ELAPSED_WAIT_PART = 0.5
"""A task counts as queued while less than this part of its predicted wait has
passed since it was placed. The entry does not learn when tasks start, and
messages to move a started task are wasted."""


@dataclass(slots=True)
class PlacedTask:
    """A placed task whose end has not been reported.

    `placed_at` is in monotonic seconds.
    """

    job_id: str
    task: TaskSpec
    agent: str
    placed_at: float


@dataclass(slots=True)
class Move:
    """A task to move, and its new placement."""

    job_id: str
    placement: Placement


@dataclass(slots=True)
class _Candidate:
    placed: PlacedTask
    load: AgentLoad
    left_ms: float


def plan_moves(
    queued: Sequence[PlacedTask],
    view: Mapping[str, AgentLoad],
    own_domain: str,
    rng: Random,
    now: float,
    budget: int,
) -> list[Move]:
    """Return at most `budget` moves that save enough time.

    Parameters
    ----------
    queued : sequence of PlacedTask
        Tasks that may still be queued.
    view : mapping of str to AgentLoad
        Load of the agents. Moved tasks are added to it as pending tasks of
        their new agents.
    own_domain : str
        Failure domain of the entry.
    rng : random.Random
        Draws among near-equal agents.
    now : float
        Monotonic seconds.
    budget : int
        Number of moves allowed now. The caller limits the messages by
        allowing moves for `MAX_MOVED_SHARE` of the placed tasks.

    See Also
    --------
    limpetlanding.policy.placement.place : chooses the new agents.
    """
    moves: list[Move] = []
    relief_ms: dict[str, float] = {}
    for candidate in _sort_by_wait(queued, view.values(), now):
        if len(moves) >= budget:
            break
        agent, task = candidate.load.agent, candidate.placed.task
        left_ms = candidate.left_ms - relief_ms.get(agent, 0)
        placement = _better_placement(
            candidate, left_ms, view, own_domain, rng, now
        )
        if placement is None:
            continue
        moves.append(Move(candidate.placed.job_id, placement))
        # The move shortens the wait of the tasks that stay in this queue.
        kind = candidate.load.by_kind[task.kind]
        relief = task.expected_ms / (kind.slots * kind.speed)
        relief_ms[agent] = relief_ms.get(agent, 0) + relief
    return moves


def _sort_by_wait(
    queued: Iterable[PlacedTask], loads: Iterable[AgentLoad], now: float
) -> list[_Candidate]:
    """Return candidates for moves, longest predicted remaining wait first."""
    waiting = {
        load.agent: load
        for load in loads
        if load.queued_short_ms + load.queued_long_ms and not load.suspect
    }
    candidates = []
    for placed in queued:
        load = waiting.get(placed.agent)
        kind = load and load.by_kind.get(placed.task.kind)
        if load is None or kind is None or not kind.slots:
            continue
        total_ms = wait_ms(placed.task, load)
        passed_ms = (now - placed.placed_at) * 1000
        if passed_ms < MAX_ELAPSED_WAIT_PART * total_ms:
            left_ms = total_ms - passed_ms
            candidates.append(_Candidate(placed, load, left_ms))
    candidates = [x for x in candidates if x.left_ms >= MIN_GAIN_MS]
    return sorted(candidates, key=attrgetter('left_ms'), reverse=True)


def _better_placement(
    candidate: _Candidate,
    left_ms: float,
    view: Mapping[str, AgentLoad],
    own_domain: str,
    rng: Random,
    now: float,
) -> Placement | None:
    load, task = candidate.load, candidate.placed.task
    plan = place([task], view, own_domain, rng, now, avoid=(load.agent,))
    placement = plan.placements[0]
    stay_ms = completion_ms(task, load, own_domain)
    stay_ms += left_ms - wait_ms(task, load)
    gain_ms = stay_ms - plan.predicted_ms
    needed_ms = max(MIN_GAIN_MS, MIN_GAIN_SHARE * task.expected_ms)
    elsewhere = placement is not None and placement.agent != load.agent
    if elsewhere and gain_ms >= needed_ms:
        return placement
    plan.undo()
    return None
