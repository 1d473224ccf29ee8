"""Choice of the agent that runs each task."""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random

from limpetlanding.jobs import Reason
from limpetlanding.policy.load import (
    LONG_TASK_MS,
    AgentLoad,
    KindLoad,
    PendingTask,
)
from limpetlanding.policy.waits import (
    SlotLoad,
    long_slots,
    predict_wait_ms,
    short_wait_ms,
)
from limpetlanding.wire.job_messages import Placement, TaskSpec

CROSSING_MS = 1.5
"""One-way delay between failure domains."""

NEAR_MS = 4
NEAR_SHARE = 0.05
"""Candidates whose completion time exceeds the best one by at most the sum of
both tolerances (4 ms + 5%) count as equal."""

SLOT_TAKEN_PROBABILITY = 0.5
"""Probability that another entry uses a slot that was reported as free before
the task arrives. It applies to three entries and reports every 20 ms."""

MANY_FREE_SLOTS = 5
"""With this many free slots or more the predicted wait of a short task is 0.
The risk that other entries use all of them costs about 1 ms on average."""

WAIT_WEIGHT = 6
"""Weight of the predicted wait in the comparison of agents, as it is the least
certain part of a completion time. With weight 1 the fast agents have queues at
30% load."""

SAMPLE_SIZE = 16
"""Number of agents drawn as candidates from a view with more than twice as
many, so that the cost of a task does not grow with the number of agents."""


@dataclass(slots=True)
class PlacementPlan:
    """Placements of the tasks of one job.

    `placements` has one item per task, which is None if no agent can run the
    task. `predicted_ms` is the predicted time until the last placed task
    ends. The view already counts the placed tasks as pending; call `undo` if
    the job is not submitted.
    """

    placements: list[Placement | None] = field(default_factory=list)
    predicted_ms: float = 0
    pending_tasks: list[tuple[AgentLoad, PendingTask]] = field(
        default_factory=list
    )

    def undo(self) -> None:
        """Remove the placed tasks from the view."""
        for load, pending in self.pending_tasks:
            load.remove_pending(pending)
        self.pending_tasks = []


@dataclass(frozen=True, slots=True)
class _Origin:
    """Failure domain of the entry, and its delay to the other domains."""

    domain: str
    crossing_ms: float


def place(
    tasks: Sequence[TaskSpec],
    view: Mapping[str, AgentLoad],
    own_domain: str,
    rng: Random,
    now: float = 0,
    avoid: Collection[str] = (),
    crossing_ms: float = CROSSING_MS,
) -> PlacementPlan:
    """Place each task on the agent where it is predicted to end first.

    Parameters
    ----------
    tasks : sequence of TaskSpec
        Tasks of one job.
    view : mapping of str to AgentLoad
        Load by agent; the placed tasks are added to it as pending.
    own_domain : str
        Failure domain of the entry.
    rng : random.Random
        Draws among near-equal candidates, so that entries with the same view
        do not all choose the same slot.
    now : float
        Monotonic seconds.
    avoid : collection of str
        Agents that are used only if no other can run the task.
    crossing_ms : float
        One-way delay between failure domains.
    """
    plan = PlacementPlan()
    loads = list(view.values())
    origin = _Origin(own_domain, crossing_ms)
    for task in tasks:
        load, ms = _best(
            task, _candidates(task, loads, avoid, rng), origin, rng
        )
        if load is None:
            plan.placements.append(None)
            continue
        is_long = (
            task.expected_ms >= LONG_TASK_MS * load.by_kind[task.kind].speed
        )
        pending = load.add_pending(task.expected_ms, is_long, now)
        plan.pending_tasks.append((load, pending))
        plan.predicted_ms = max(plan.predicted_ms, ms)
        plan.placements.append(_placement(task, load))
    return plan


def choose_placements(
    tasks: Sequence[TaskSpec],
    view: Mapping[str, AgentLoad],
    own_domain: str,
    rng: Random,
    now: float = 0,
) -> list[Placement | None]:
    """Return only the placements of `place`, with its default options."""
    return place(tasks, view, own_domain, rng, now).placements


def choose_placements_naive(
    tasks: Sequence[TaskSpec],
    view: Mapping[str, AgentLoad],
    own_domain: str,
    rng: Random,
    now: float = 0,
) -> list[Placement | None]:
    """Place each task on a random agent that has an endpoint of its kind.

    Load, health and size limits are ignored. Used with the setting
    ``policy: naive``.
    """
    placements = []
    for task in tasks:
        loads = [x for x in view.values() if task.kind in x.by_kind]
        load = rng.choice(loads) if loads else None
        placements.append(_placement(task, load) if load else None)
    return placements


def no_placement_reason(
    task: TaskSpec,
    view: Mapping[str, AgentLoad],
    known_kinds: Collection[str] = (),
) -> Reason:
    """Return the reason why a task has no placement.

    With `NO_ENDPOINT` and `TOO_LARGE` the task cannot run on any known
    endpoint. With `ENDPOINT_AWAY` it can run when an endpoint becomes
    available again. `known_kinds` are kinds seen at any agent, including
    those that have left the view.

    See Also
    --------
    place : returns None for such a task.
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
    if serving and not any(_fits(task, kind) for kind in serving):
        return Reason.TOO_LARGE
    return Reason.ENDPOINT_AWAY


def can_run(task: TaskSpec, load: AgentLoad) -> bool:
    """Return whether the agent accepts new tasks of this kind and size."""
    kind = load.by_kind.get(task.kind)
    if kind is None or not load.usable:
        return False
    return kind.serving and kind.slots > 0 and _fits(task, kind)


def completion_ms(
    task: TaskSpec,
    load: AgentLoad,
    own_domain: str,
    crossing_ms: float = CROSSING_MS,
    wait_weight: float = 1,
) -> float:
    """Predict the time until the task ends at this agent, in ms.

    The time in the queue is multiplied by `wait_weight`.
    """
    speed = load.by_kind[task.kind].speed
    cross_ms = 0 if load.failure_domain == own_domain else 2 * crossing_ms
    return (
        wait_weight * wait_ms(task, load) + task.expected_ms / speed + cross_ms
    )


def wait_ms(task: TaskSpec, load: AgentLoad) -> float:
    """Predict how long the task is queued at this agent, in ms.

    A slot reported as free may be busy when the task arrives. The expected
    wait is therefore that of an agent without free slots times the
    probability that other entries use all free slots first. This keeps fast
    agents from being filled to the last slot while others are idle.
    """
    kind = load.by_kind[task.kind]
    free = kind.slots - kind.busy - len(load.pending)
    is_long = task.expected_ms >= LONG_TASK_MS * kind.speed
    if free >= MANY_FREE_SLOTS and not is_long:
        return 0
    slots = _slot_load(kind, load, free)
    if is_long:
        allowed = long_slots(kind.slots) - slots.long_busy
        if allowed <= 0 or free <= 0:
            return predict_wait_ms(slots, is_long=True)
    elif free <= 0:
        return short_wait_ms(slots)
    return short_wait_ms(slots) * SLOT_TAKEN_PROBABILITY**free


def _slot_load(kind: KindLoad, load: AgentLoad, free: int) -> SlotLoad:
    # Pending tasks beyond the number of free slots are queued: their
    # part of the pending work counts as queued work.
    queued_part = min(1, -free / len(load.pending)) if free < 0 else 0
    if not load.pending:
        queued_part = 0
    return SlotLoad(
        kind.slots,
        kind.speed,
        kind.slots - max(free, 0),
        min(load.long_busy + load.pending_long, kind.slots),
        load.queued_short_ms + load.pending_short_ms * queued_part,
        load.queued_long_ms + load.pending_long_ms * queued_part,
        fresh=len(load.pending),
    )


def _candidates(
    task: TaskSpec,
    loads: list[AgentLoad],
    avoid: Collection[str],
    rng: Random,
) -> list[AgentLoad]:
    count = len(loads)
    if count > 2 * SAMPLE_SIZE and not avoid:
        chosen = {int(rng.random() * count) for _ in range(SAMPLE_SIZE)}
        # Sorted, because the order of a set does not depend on the seed alone.
        sample = [loads[i] for i in sorted(chosen)]
        sample = [x for x in sample if can_run(task, x)]
        if len(sample) * 2 >= SAMPLE_SIZE:
            return sample
    possible = [x for x in loads if can_run(task, x)]
    return [x for x in possible if x.agent not in avoid] or possible


def _best(
    task: TaskSpec, loads: list[AgentLoad], origin: _Origin, rng: Random
) -> tuple[AgentLoad | None, float]:
    if not loads:
        return None, 0
    domain, crossing_ms = origin.domain, origin.crossing_ms
    times = [
        completion_ms(task, x, domain, crossing_ms, WAIT_WEIGHT) for x in loads
    ]
    limit_ms = min(times) * (1 + NEAR_SHARE) + NEAR_MS
    near = [i for i, ms in enumerate(times) if ms <= limit_ms]
    chosen = loads[near[int(rng.random() * len(near))]]
    return chosen, completion_ms(task, chosen, domain, crossing_ms)


def _fits(task: TaskSpec, kind: KindLoad) -> bool:
    return kind.max_size == 0 or task.size <= kind.max_size


def _placement(task: TaskSpec, load: AgentLoad) -> Placement:
    return Placement(task.index, load.agent, load.incarnation, load.address)
