"""Choice of the agent for each task."""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random

from limpetlanding.jobs import Reason
from limpetlanding.policy.load import AgentLoad, Pending
from limpetlanding.wire import Placement, TaskSpec

CROSSING_MS = 1.5
"""One-way delay between failure domains."""


@dataclass(slots=True)
class Plan:
    """Places for the tasks of one job.

    ``placements`` has one item per task, None where no place is possible;
    ``predicted_ms`` is the predicted time until the last placed task ends.
    The view already counts the placed tasks; `undo` takes them back when the
    job is refused after all.
    """

    placements: list[Placement | None] = field(default_factory=list)
    predicted_ms: float = 0
    counted: list[tuple[AgentLoad, Pending]] = field(default_factory=list)

    def undo(self) -> None:
        """Take the placed tasks out of the view."""
        for load, pending in self.counted:
            load.drop_pending(pending)
        self.counted = []


def place(
    tasks: Sequence[TaskSpec],
    view: Mapping[str, AgentLoad],
    own_domain: str,
    rng: Random,
    now: float = 0,
    avoid: Collection[str] = (),
    crossing_ms: float = CROSSING_MS,
) -> Plan:
    """Place each task where it is predicted to end first.

    Parameters
    ----------
    tasks : sequence of TaskSpec
        Tasks of one job.
    view : mapping of str to AgentLoad
        Load by agent; the placed tasks are added to it as pending.
    own_domain : str
        Failure domain of the entry.
    rng : random.Random
        Draws among near-equal candidates.
    now : float
        Monotonic seconds.
    avoid : collection of str
        Agents that are taken only if no other is possible.
    crossing_ms : float
        One-way delay between failure domains.
    """
    plan = Plan()
    for task in tasks:
        loads = [x for x in view.values() if can_run(task, x)]
        loads = [x for x in loads if x.agent not in avoid] or loads
        if not loads:
            plan.placements.append(None)
            continue
        best_ms, _, best = min(
            (completion_ms(task, x, own_domain, crossing_ms), rng.random(), x)
            for x in loads
        )
        pending = best.add_pending(task.expected_ms, now)
        plan.counted.append((best, pending))
        plan.predicted_ms = max(plan.predicted_ms, best_ms)
        plan.placements.append(_placement(task, best))
    return plan


def choose(
    tasks: Sequence[TaskSpec],
    view: Mapping[str, AgentLoad],
    own_domain: str,
    rng: Random,
    now: float = 0,
) -> list[Placement | None]:
    """Return the placements of `place`."""
    return place(tasks, view, own_domain, rng, now).placements


def choose_naive(
    tasks: Sequence[TaskSpec],
    view: Mapping[str, AgentLoad],
    own_domain: str,
    rng: Random,
    now: float = 0,
) -> list[Placement | None]:
    """Draw a random agent with an endpoint of the kind, nothing else."""
    placements = []
    for task in tasks:
        loads = [x for x in view.values() if task.kind in x.by_kind]
        load = rng.choice(loads) if loads else None
        placements.append(_placement(task, load) if load else None)
    return placements


def no_place_reason(
    task: TaskSpec,
    view: Mapping[str, AgentLoad],
    known_kinds: Collection[str] = (),
) -> Reason:
    """Tell why a task got no place.

    `NO_ENDPOINT` and `TOO_LARGE` mean that it can never run as the system
    is known; `ENDPOINT_AWAY` that it can once an endpoint is back.
    `known_kinds` are kinds seen at agents that have left the view.
    """
    kinds = [
        load.by_kind[task.kind]
        for load in view.values()
        if task.kind in load.by_kind
    ]
    if not kinds:
        if task.kind in known_kinds:
            return Reason.ENDPOINT_AWAY
        return Reason.NO_ENDPOINT
    serving = [kind for kind in kinds if kind.serving]
    if serving and not any(_fits(task, kind.max_size) for kind in serving):
        return Reason.TOO_LARGE
    return Reason.ENDPOINT_AWAY


def can_run(task: TaskSpec, load: AgentLoad) -> bool:
    """Tell whether the agent takes new tasks of this kind and size."""
    kind = load.by_kind.get(task.kind)
    if kind is None or not load.usable:
        return False
    return kind.serving and kind.slots > 0 and _fits(task, kind.max_size)


def completion_ms(
    task: TaskSpec,
    load: AgentLoad,
    own_domain: str,
    crossing_ms: float = CROSSING_MS,
) -> float:
    """Predict the time until the task ends at this agent."""
    kind = load.by_kind[task.kind]
    run_ms = task.expected_ms / kind.speed
    cross_ms = 0 if load.failure_domain == own_domain else 2 * crossing_ms
    return wait_ms(task, load) + run_ms + cross_ms


def wait_ms(task: TaskSpec, load: AgentLoad) -> float:
    """Predict how long the task is queued at this agent."""
    kind = load.by_kind[task.kind]
    work_ms = load.queued_short_ms + sum(p.work_ms for p in load.pending)
    if kind.busy + len(load.pending) < kind.slots:
        return 0
    return (work_ms + task.expected_ms) / (kind.slots * kind.speed)


def _fits(task: TaskSpec, max_size: int) -> bool:
    return max_size == 0 or task.size <= max_size


def _placement(task: TaskSpec, load: AgentLoad) -> Placement:
    return Placement(task.index, load.agent, load.incarnation, load.address)
