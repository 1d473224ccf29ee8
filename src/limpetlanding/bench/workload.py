"""Arrivals drawn from a seed: the same for both policies of one run."""

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from limpetlanding.bench.deployments import (
    ENDPOINT_COUNT,
    SLOTS_PER_ENDPOINT,
    Deployment,
)

SHORT_MIN_MS = 50
SHORT_MAX_MS = 1000
LONG_MIN_MS = 2000
LONG_MAX_MS = 6000
STRAGGLER_FACTOR_MIN = 10
STRAGGLER_FACTOR_MAX = 20
STRAGGLER_SHARE = 0.002
LONG_SHARE = 0.03
DECLARED_SHARE = 0.7
DECLARED_LOG_ERROR = 1.2
SPEED_RANGE = 4
SHORT_DEADLINE_MS = 3000
LONG_DEADLINE_MS = 30_000
# Share of jobs, smallest and largest number of tasks.
_JOB_SIZES = ((0.6, 1, 1), (0.35, 2, 8), (0.05, 9, 40))

RateAt = Callable[[float], float]


@dataclass(frozen=True, slots=True)
class Task:
    """One task; ``work_ms`` is its run time at speed 1.0."""

    kind: str
    work_ms: float
    declared_ms: float | None
    is_long: bool


@dataclass(frozen=True, slots=True)
class Arrival:
    """One job offered at ``at_s`` seconds after the start."""

    at_s: float
    customer: str
    tasks: tuple[Task, ...]
    deadline_ms: float
    repeatable: bool

    def is_short(self) -> bool:
        """Tell whether no task of the job is long."""
        return not any(task.is_long for task in self.tasks)


@dataclass(frozen=True, slots=True)
class Mix:
    """What jobs are made of.

    Parameters
    ----------
    long_share : float
        Share of jobs with long tasks.
    single : bool
        Whether every job has one task.
    """

    long_share: float = LONG_SHARE
    single: bool = False
    straggler_share: float = STRAGGLER_SHARE


def draw_speeds(rng: random.Random, count: int = ENDPOINT_COUNT) -> list[float]:
    """Return speeds around 1.0, the fastest 4 times the slowest.

    Examples
    --------
    >>> speeds = draw_speeds(random.Random(1))
    >>> round(max(speeds) / min(speeds), 6)
    4.0
    """
    half = math.sqrt(SPEED_RANGE)
    inner = (half ** rng.uniform(-1, 1) for _ in range(count - 2))
    speeds = [1 / half, half, *inner]
    rng.shuffle(speeds)
    return speeds


def draw_task(rng: random.Random, kind: str, mix: Mix, is_long: bool) -> Task:
    """Return one task with its true and declared run time."""
    if is_long:
        work_ms = rng.uniform(LONG_MIN_MS, LONG_MAX_MS)
    else:
        exponent = rng.uniform(math.log(SHORT_MIN_MS), math.log(SHORT_MAX_MS))
        work_ms = math.exp(exponent)
    declared = None
    if rng.random() < DECLARED_SHARE:
        declared = work_ms * rng.lognormvariate(0, DECLARED_LOG_ERROR)
    if rng.random() < mix.straggler_share:
        work_ms *= rng.uniform(STRAGGLER_FACTOR_MIN, STRAGGLER_FACTOR_MAX)
    return Task(kind, work_ms, declared, is_long)


def draw_job(
    rng: random.Random, deployment: Deployment, mix: Mix, at_s: float
) -> Arrival:
    """Return one job that arrives at `at_s` seconds."""
    is_long = rng.random() < mix.long_share
    kind = deployment.long_kind if is_long else rng.choice(deployment.kinds)
    size = 1 if mix.single or is_long else _draw_size(rng)
    return Arrival(
        at_s=at_s,
        customer=rng.choice(deployment.customers),
        tasks=tuple(draw_task(rng, kind, mix, is_long) for _ in range(size)),
        deadline_ms=LONG_DEADLINE_MS if is_long else SHORT_DEADLINE_MS,
        repeatable=kind == deployment.kinds[0],
    )


def mean_job(
    deployment: Deployment, mix: Mix, samples: int = 20_000
) -> tuple[float, float]:
    """Return the mean tasks and the mean work (s) of a job, by sampling."""
    rng = random.Random(0)
    jobs = [draw_job(rng, deployment, mix, 0) for _ in range(samples)]
    tasks = [task for job in jobs for task in job.tasks]
    work_s = sum(task.work_ms for task in tasks) / 1000
    return len(tasks) / samples, work_s / samples


def capacity_per_s(
    speeds: Sequence[float], deployment: Deployment, mix: Mix
) -> float:
    """Return the tasks per second that all slots together can serve."""
    mean_tasks, mean_work_s = mean_job(deployment, mix)
    return SLOTS_PER_ENDPOINT * sum(speeds) * mean_tasks / mean_work_s


def draw_arrivals(
    rng: random.Random,
    deployment: Deployment,
    mix: Mix,
    jobs_per_s: RateAt,
    seconds: float,
) -> list[Arrival]:
    """Return Poisson arrivals whose rate follows `jobs_per_s`.

    The rate is taken at the time of the arrival before, which is accurate
    enough for rates that change over seconds.
    """
    arrivals = []
    at_s = rng.expovariate(jobs_per_s(0))
    while at_s < seconds:
        arrivals.append(draw_job(rng, deployment, mix, at_s))
        at_s += rng.expovariate(jobs_per_s(at_s))
    return arrivals


def _draw_size(rng: random.Random) -> int:
    point = rng.random()
    for share, smallest, largest in _JOB_SIZES:
        if point < share:
            return rng.randint(smallest, largest)
        point -= share
    return 1
