"""Choice of the queued tasks that are worth moving."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from random import Random

from limpetlanding.policy.load import AgentLoad
from limpetlanding.wire import Placement, TaskSpec

MAX_MOVED_SHARE = 0.05
"""A move costs 4 messages (revoke, its answer, run and load share of the
report); 0.05 of the tasks cost 0.2 messages a task."""


@dataclass(slots=True)
class PlacedTask:
    """A task that was placed and has not been reported as started."""

    job_id: str
    task: TaskSpec
    agent: str
    placed_at: float


@dataclass(slots=True)
class Move:
    """One task to move."""

    job_id: str
    placement: Placement


def plan_moves(
    queued: Sequence[PlacedTask],
    view: Mapping[str, AgentLoad],
    own_domain: str,
    rng: Random,
    now: float,
    budget: int,
) -> list[Move]:
    """Return at most `budget` moves that are worth their messages."""
    return []
