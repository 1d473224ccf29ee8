"""Draws the arrivals of a run from its seed, the same for both policies."""

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
DECLARED_ERROR_SIGMA = 1.2
SPEED_RATIO = 4
SHORT_DEADLINE_MS = 3000
LONG_DEADLINE_MS = 30_000
# Share of the jobs, smallest and largest number of their tasks.
_JOB_SIZES = ((0.6, 1, 1), (0.35, 2, 8), (0.05, 9, 40))

RateFunction = Callable[[float], float]


@dataclass(frozen=True, slots=True)
class Task:
    """One task of a job.

    Parameters
    ----------
    work_ms : float
        Run time on an endpoint of speed 1.0, in milliseconds.
    declared_ms : float or None
        Run time that the caller declares, in milliseconds; None if it
        declares none.
    """

    kind: str
    work_ms: float
    declared_ms: float | None
    is_long: bool


@dataclass(frozen=True, slots=True)
class Arrival:
    """One job, submitted ``at_s`` seconds after the start of the load."""

    at_s: float
    customer: str
    tasks: tuple[Task, ...]
    deadline_ms: float
    repeatable: bool

    def is_short(self) -> bool:
        """Tell whether no task of the job is long."""
        return not any(task.is_long for task in self.tasks)


@dataclass(frozen=True, slots=True)
class JobMix:
    """Distribution of the sizes and run times of jobs.

    Parameters
    ----------
    long_share : float
        Share of jobs with long tasks.
    single_task : bool
        Whether every job has exactly one task.
    straggler_share : float
        Share of tasks that run 10 to 20 times as long as drawn.
    """

    long_share: float = LONG_SHARE
    single_task: bool = False
    straggler_share: float = STRAGGLER_SHARE


def draw_speeds(rng: random.Random, count: int = ENDPOINT_COUNT) -> list[float]:
    """Return endpoint speeds around 1.0, the fastest 4 times the slowest.

    Examples
    --------
    >>> speeds = draw_speeds(random.Random(1))
    >>> round(max(speeds) / min(speeds), 6)
    4.0
    """
    sqrt_ratio = math.sqrt(SPEED_RATIO)
    inner = (sqrt_ratio ** rng.uniform(-1, 1) for _ in range(count - 2))
    speeds = [1 / sqrt_ratio, sqrt_ratio, *inner]
    rng.shuffle(speeds)
    return speeds


def draw_task(
    rng: random.Random, kind: str, mix: JobMix, is_long: bool
) -> Task:
    """Return one task with its actual and its declared run time."""
    if is_long:
        work_ms = rng.uniform(LONG_MIN_MS, LONG_MAX_MS)
    else:
        exponent = rng.uniform(math.log(SHORT_MIN_MS), math.log(SHORT_MAX_MS))
        work_ms = math.exp(exponent)
    declared = None
    if rng.random() < DECLARED_SHARE:
        declared = work_ms * rng.lognormvariate(0, DECLARED_ERROR_SIGMA)
    if rng.random() < mix.straggler_share:
        work_ms *= rng.uniform(STRAGGLER_FACTOR_MIN, STRAGGLER_FACTOR_MAX)
    return Task(kind, work_ms, declared, is_long)


def draw_job(
    rng: random.Random, deployment: Deployment, mix: JobMix, at_s: float
) -> Arrival:
    """Return one job that arrives at `at_s` seconds."""
    is_long = rng.random() < mix.long_share
    kind = deployment.long_kind if is_long else rng.choice(deployment.kinds)
    size = 1 if mix.single_task or is_long else _draw_size(rng)
    return Arrival(
        at_s=at_s,
        customer=rng.choice(deployment.customers),
        tasks=tuple(draw_task(rng, kind, mix, is_long) for _ in range(size)),
        deadline_ms=LONG_DEADLINE_MS if is_long else SHORT_DEADLINE_MS,
        repeatable=kind == deployment.kinds[0],
    )


def mean_job_size(
    deployment: Deployment, mix: JobMix, samples: int = 20_000
) -> tuple[float, float]:
    """Estimate the mean size of a job by sampling.

    Returns
    -------
    tuple of float
        Mean number of tasks, and mean work in seconds at speed 1.0.
    """
    rng = random.Random(0)
    jobs = [draw_job(rng, deployment, mix, 0) for _ in range(samples)]
    tasks = [task for job in jobs for task in job.tasks]
    work_s = sum(task.work_ms for task in tasks) / 1000
    return len(tasks) / samples, work_s / samples


def capacity_per_s(
    speeds: Sequence[float], deployment: Deployment, mix: JobMix
) -> float:
    """Return the tasks per second that all slots together can serve."""
    mean_tasks, mean_work_s = mean_job_size(deployment, mix)
    return SLOTS_PER_ENDPOINT * sum(speeds) * mean_tasks / mean_work_s


def draw_arrivals(
    rng: random.Random,
    deployment: Deployment,
    mix: JobMix,
    jobs_per_s: RateFunction,
    seconds: float,
) -> list[Arrival]:
    """Return Poisson arrivals whose rate follows `jobs_per_s`.

    Each gap is drawn at the rate of the previous arrival, which is accurate
    enough for rates that change over seconds.
    """
    arrivals = []
    at_s = rng.expovariate(jobs_per_s(0))
    while at_s < seconds:
        arrivals.append(draw_job(rng, deployment, mix, at_s))
        at_s += rng.expovariate(jobs_per_s(at_s))
    return arrivals


def _draw_size(rng: random.Random) -> int:
    remainder = rng.random()
    for share, smallest, largest in _JOB_SIZES:
        if remainder < share:
            return rng.randint(smallest, largest)
        remainder -= share
    return 1
