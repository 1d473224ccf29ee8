"""What the control work of each role costs, and how it grows.

Each point runs a deployment, idle and then at 30% load. The slopes over the
numbers of workers, entries and customers are least-squares lines; CAPACITY
in the documentation is worked out from them.
"""

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from limpetlanding.bench.deployments import Deployment
from limpetlanding.bench.experiments import LOW_LOAD, make_plan, offer_load
from limpetlanding.bench.meters import Reading, read_meters
from limpetlanding.bench.system import Shape, System, running_system
from limpetlanding.bench.workload import Mix

ROLES = ('entry', 'agent')
SETTLE_S = 3
# The cost of the bench's own requests for status is left out of the idle
# time: the counters are read only at its two ends.
_MEGABYTE = 1_000_000
_MS_PER_S = 1000
_WORKERS = (4, 11, 22)
_ENTRIES = (1, 3, 6)
_CUSTOMERS = (0, 60, 120)


@dataclass(frozen=True, slots=True)
class Point:
    """Cost of one process of a role at one size of the system."""

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
    """Growth of a cost of one process for one more of `over`."""

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
    """Measure all points, report each, and return the slopes."""
    sizes = {
        'workers': [(n, Shape()) for n in _WORKERS],
        'entries': [(11, Shape(entries=n)) for n in _ENTRIES],
        'customers': [(11, Shape(idle_customers=n)) for n in _CUSTOMERS],
    }
    slopes = []
    for over, shapes in sizes.items():
        points = []
        for workers, shape in shapes:
            points.extend(
                await _measure(deployment, seed, seconds, workers, shape)
            )
        for point in points:
            on_point(point)
        slopes += _slopes(points, over)
    return slopes


async def _measure(
    deployment: Deployment,
    seed: int,
    seconds: float,
    workers: int,
    shape: Shape,
) -> list[Point]:
    plan = make_plan(
        'overhead', deployment, seed, seconds, LOW_LOAD, Mix(), workers
    )
    async with running_system(deployment, plan.speeds, shape=shape) as system:
        await asyncio.sleep(SETTLE_S)
        idle, idle_s = await _idle(system, seconds)
        run = await offer_load(plan, system)
    tasks = sum(len(offer.arrival.tasks) for offer in run.offers)
    counts = {'entry': shape.entries, 'agent': workers}
    return [
        Point(
            role=role,
            workers=workers,
            entries=shape.entries,
            customers=len(deployment.customers) + shape.idle_customers,
            idle_cpu_share=idle.cpu_s[role] / idle_s / counts[role],
            idle_bytes_per_s=idle.bytes_sent[role] / idle_s / counts[role],
            memory_mb=run.used.memory[role] / _MEGABYTE,
            # Over all processes of the role, for one task.
            busy_cpu_ms_per_task=run.used.cpu_s[role] * _MS_PER_S / tasks,
            busy_bytes_per_task=run.used.bytes_sent[role] / tasks,
        )
        for role in ROLES
    ]


async def _idle(system: System, seconds: float) -> tuple[Reading, float]:
    before = await read_meters(system)
    started = time.monotonic()
    await asyncio.sleep(seconds)
    passed_s = time.monotonic() - started
    after = await read_meters(system)
    return after.minus(before), passed_s


def _slopes(points: Sequence[Point], over: str) -> list[Slope]:
    figures = (
        'idle_cpu_share',
        'idle_bytes_per_s',
        'memory_mb',
        'busy_cpu_ms_per_task',
        'busy_bytes_per_task',
    )
    return [
        _line([x for x in points if x.role == role], over, figure)
        for role in ROLES
        for figure in figures
    ]


def _line(points: Sequence[Point], over: str, figure: str) -> Slope:
    xs = [getattr(point, over) for point in points]
    ys = [getattr(point, figure) for point in points]
    mean_x = sum(xs) / len(xs)
    mean_y = sum(ys) / len(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    per_unit = (
        sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True))
        / spread
    )
    at_zero = mean_y - per_unit * mean_x
    return Slope(points[0].role, over, figure, per_unit, at_zero)
