"""Measures the overhead of each role and its growth with the system size.

For each point, a deployment runs idle and then at 30% load. Least-squares
lines give the growth over the numbers of workers, entries and customers; the
capacity page of the documentation is derived from them.
"""

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from limpetlanding.bench.counters import CounterReading, read_counters
from limpetlanding.bench.deployments import Deployment
from limpetlanding.bench.experiments import LOW_LOAD, make_plan, submit_load
from limpetlanding.bench.system import System, SystemSize, running_system
from limpetlanding.bench.workload import JobMix

ROLES = ('entry', 'agent')
SETTLE_S = 3
_MEGABYTE = 1_000_000
_MS_PER_S = 1000
_WORKER_COUNTS = (4, 11, 22)
_ENTRY_COUNTS = (1, 3, 6)
_CUSTOMER_COUNTS = (0, 60, 120)


@dataclass(frozen=True, slots=True)
class Point:
    """Cost of one role at one system size.

    The idle figures and the memory are those of one process. The busy
    figures are per task, summed over all processes of the role.
    """

    role: str
    workers: int
    entries: int
    customers: int
    idle_cpu_share: float
    idle_bytes_per_s: float
    memory_mb: float
    busy_cpu_ms_per_task: float
    busy_bytes_per_task: float


@dataclass(frozen=True, slots=True)
class Slope:
    """Line fitted to one figure of the points of a role.

    Parameters
    ----------
    over : str
        Size that was varied: ``workers``, ``entries`` or ``customers``.
    figure : str
        Field of `Point`.
    per_unit : float
        Growth of the figure for one more of `over`.
    at_zero : float
        Value of the line at 0 of `over`.
    """

    role: str
    over: str
    figure: str
    per_unit: float
    at_zero: float


async def measure_overhead(
    deployment: Deployment,
    seed: int,
    seconds: float,
    on_point: Callable[[Point], None],
) -> list[Slope]:
    """Measure all points, pass each to `on_point`, and return the slopes."""
    sizes_by_dimension = {
        'workers': [(n, SystemSize()) for n in _WORKER_COUNTS],
        'entries': [(11, SystemSize(entries=n)) for n in _ENTRY_COUNTS],
        'customers': [
            (11, SystemSize(idle_customers=n)) for n in _CUSTOMER_COUNTS
        ],
    }
    slopes = []
    for over, sizes in sizes_by_dimension.items():
        points = []
        for workers, size in sizes:
            points.extend(
                await _measure(deployment, seed, seconds, workers, size)
            )
        for point in points:
            on_point(point)
        slopes += _fit_slopes(points, over)
    return slopes


async def _measure(
    deployment: Deployment,
    seed: int,
    seconds: float,
    workers: int,
    size: SystemSize,
) -> list[Point]:
    plan = make_plan(
        'overhead', deployment, seed, seconds, LOW_LOAD, JobMix(), workers
    )
    async with running_system(deployment, plan.speeds, size=size) as system:
        await asyncio.sleep(SETTLE_S)
        idle, idle_s = await _measure_idle(system, seconds)
        run = await submit_load(plan, system)
    tasks = sum(len(job.arrival.tasks) for job in run.jobs)
    process_counts = {'entry': size.entries, 'agent': workers}
    return [
        Point(
            role=role,
            workers=workers,
            entries=size.entries,
            customers=len(deployment.customers) + size.idle_customers,
            idle_cpu_share=idle.cpu_s[role] / idle_s / process_counts[role],
            idle_bytes_per_s=idle.bytes_sent[role]
            / idle_s
            / process_counts[role],
            memory_mb=run.counters.max_rss_bytes[role] / _MEGABYTE,
            # Summed over all processes of the role, for one task.
            busy_cpu_ms_per_task=run.counters.cpu_s[role] * _MS_PER_S / tasks,
            busy_bytes_per_task=run.counters.bytes_sent[role] / tasks,
        )
        for role in ROLES
    ]


async def _measure_idle(
    system: System, seconds: float
) -> tuple[CounterReading, float]:
    # The counters are read only before and after the idle time, so that it
    # does not include the status requests of the benchmark.
    before = await read_counters(system)
    started = time.monotonic()
    await asyncio.sleep(seconds)
    passed_s = time.monotonic() - started
    after = await read_counters(system)
    return after.minus(before), passed_s


def _fit_slopes(points: Sequence[Point], over: str) -> list[Slope]:
    figures = (
        'idle_cpu_share',
        'idle_bytes_per_s',
        'memory_mb',
        'busy_cpu_ms_per_task',
        'busy_bytes_per_task',
    )
    return [
        _fit_line([x for x in points if x.role == role], over, figure)
        for role in ROLES
        for figure in figures
    ]


def _fit_line(points: Sequence[Point], over: str, figure: str) -> Slope:
    xs = [getattr(point, over) for point in points]
    ys = [getattr(point, figure) for point in points]
    mean_x = sum(xs) / len(xs)
    mean_y = sum(ys) / len(ys)
    sum_squared_x = sum((x - mean_x) ** 2 for x in xs)
    per_unit = (
        sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True))
        / sum_squared_x
    )
    at_zero = mean_y - per_unit * mean_x
    return Slope(points[0].role, over, figure, per_unit, at_zero)
