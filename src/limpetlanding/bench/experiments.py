"""The experiments of the benchmark."""

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, replace

import aiohttp

from limpetlanding.bench import figures as fig
from limpetlanding.bench.caller import Callers, SubmittedJob
from limpetlanding.bench.counters import CounterReading, read_counters
from limpetlanding.bench.deployments import ENDPOINT_COUNT, Deployment
from limpetlanding.bench.faults import FAULTS
from limpetlanding.bench.system import System, running_system
from limpetlanding.bench.workload import (
    Arrival,
    JobMix,
    RateFunction,
    capacity_per_s,
    draw_arrivals,
    draw_speeds,
    mean_job_size,
)

POLICIES = ('limpetlanding', 'naive')
LOW_LOAD = 0.3
HIGH_LOAD = 0.8
CREST_LOAD = 3
HEAD_OF_LINE_LOAD = 0.7
HEAD_OF_LINE_LONG_SHARE = 0.1
# The crest, a period of overload, is the middle third of the run.
CREST_BEGIN_SHARE = 1 / 3
CREST_END_SHARE = 2 / 3
WARM_UP_S = 4
FAULT_LOAD = 0.5
BACKLOG_WINDOW_S = 0.5
BACKLOG_CLEARED_WAIT_MS = 50
FAULT_PAIR_COUNT = 3
# Jobs that arrive later than this after a fault must be served as well as the
# remaining capacity allows.
FAULT_RECOVERY_S = 2


@dataclass(frozen=True, slots=True)
class ExperimentPlan:
    """One experiment at one load, the same for both policies."""

    experiment: str
    deployment: Deployment
    seed: int
    seconds: float
    load: float | None
    mix: JobMix
    speeds: tuple[float, ...]
    arrivals: tuple[Arrival, ...]
    faults: tuple[str, ...] = ()

    def fault_at_s(self) -> float:
        """Return when the faults are injected, in seconds after the start."""
        return CREST_BEGIN_SHARE * self.seconds

    def total_capacity_per_s(self) -> float:
        """Return the tasks per second that all slots together can serve."""
        return capacity_per_s(self.speeds, self.deployment, self.mix)

    def crest_interval_s(self) -> tuple[float, float]:
        """Return begin and end of the crest, in seconds after the start."""
        return CREST_BEGIN_SHARE * self.seconds, CREST_END_SHARE * self.seconds


@dataclass(slots=True)
class RunResult:
    """Jobs and counters of one plan under one policy."""

    jobs: list[SubmittedJob]
    counters: CounterReading
    system: System
    capacity_left: float = 1


def steady_plans(
    deployment: Deployment, seed: int, seconds: float
) -> list[ExperimentPlan]:
    """Return plans at 30% and at 80% of the capacity."""
    return [
        make_plan('steady', deployment, seed, seconds, load, JobMix())
        for load in (LOW_LOAD, HIGH_LOAD)
    ]


def head_of_line_plans(
    deployment: Deployment, seed: int, seconds: float
) -> list[ExperimentPlan]:
    """Return a plan with 10% long jobs of one task, at 70% load."""
    mix = JobMix(long_share=HEAD_OF_LINE_LONG_SHARE, single_task=True)
    plan = make_plan(
        'head-of-line', deployment, seed, seconds, HEAD_OF_LINE_LOAD, mix
    )
    return [plan]


def crest_plans(
    deployment: Deployment, seed: int, seconds: float
) -> list[ExperimentPlan]:
    """Return a plan whose load rises from 30% to 300% and falls back."""
    return [make_plan('crest', deployment, seed, seconds, None, JobMix())]


def fault_plans(
    deployment: Deployment, seed: int, seconds: float
) -> list[ExperimentPlan]:
    """Return a plan for each single fault, then for pairs drawn by seed."""
    base = make_plan('faults', deployment, seed, seconds, FAULT_LOAD, JobMix())
    pairs = list(itertools.combinations(FAULTS, 2))
    drawn = random.Random(seed).sample(pairs, FAULT_PAIR_COUNT)
    singles = ((name,) for name in FAULTS)
    return [replace(base, faults=names) for names in (*singles, *drawn)]


PLANS = {
    'faults': fault_plans,
    'steady': steady_plans,
    'crest': crest_plans,
    'head-of-line': head_of_line_plans,
}


async def measure(plan: ExperimentPlan, policy: str) -> fig.Figures:
    """Run the plan under one policy and return its figures."""
    async with running_system(plan.deployment, plan.speeds, policy) as system:
        run = await submit_load(plan, system)
    return summarise(plan, policy, run)


async def submit_load(plan: ExperimentPlan, system: System) -> RunResult:
    """Submit the jobs of the plan to a running system, after a warm-up.

    The warm-up submits other jobs of the same kinds, so that both policies
    start with open connections and with the estimates that they learn in the
    first seconds.
    """
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        callers = Callers(system, session, random.Random(plan.seed))
        await callers.prepare()
        warm_up = make_plan(
            'warm-up',
            plan.deployment,
            plan.seed + 1_000_000,
            WARM_UP_S,
            LOW_LOAD,
            plan.mix,
        )
        await callers.submit_all(warm_up.arrivals)
        before = await read_counters(system)
        faults = asyncio.create_task(_inject_faults(plan, system))
        jobs = await callers.submit_all(plan.arrivals)
        after = await read_counters(system)
    return RunResult(jobs, after.minus(before), system, await faults)


def summarise(plan: ExperimentPlan, policy: str, run: RunResult) -> fig.Figures:
    """Return the figures of one run."""
    jobs = run.jobs
    counted = [job for job in jobs if _counts_for_on_time(plan, job)]
    ideal = fig.ideal_service(plan.deployment, plan.speeds)
    slowdowns = [fig.slowdown(job, ideal) for job in jobs]
    overheads = [
        fig.overhead(job, ideal) for job in jobs if job.outcome == 'complete'
    ]
    tasks = sum(len(job.arrival.tasks) for job in jobs)
    refused = sum(job.outcome == 'not_run' for job in jobs)
    long_waits = fig.waits(jobs, ideal, short=False)
    return fig.Figures(
        experiment=plan.experiment,
        deployment=plan.deployment.name,
        policy=policy,
        load=plan.load,
        seed=plan.seed,
        jobs=len(jobs),
        tasks=tasks,
        on_time_share=sum(map(SubmittedJob.is_on_time, counted)) / len(counted),
        slowdown_p50=fig.finite(fig.percentile(slowdowns, 0.5)),
        slowdown_p99=fig.finite(fig.percentile(slowdowns, 0.99)),
        overhead_p50=fig.percentile(overheads, 0.5),
        overhead_p99=fig.percentile(overheads, 0.99),
        crest_on_time_per_s=_crest_on_time_per_s(plan, jobs),
        capacity_per_s=plan.total_capacity_per_s(),
        short_wait_p99_ms=fig.percentile(
            fig.waits(jobs, ideal, short=True), 0.99
        ),
        long_wait_p99_ms=fig.percentile(long_waits, 0.99),
        messages_per_task=run.counters.task_messages() / tasks,
        wasted_messages_per_task=run.counters.wasted_messages() / tasks,
        refused_share=refused / len(jobs),
        double_starts=run.system.starts.double_starts(),
        partial_answers=sum(job.is_partial for job in jobs),
        false_not_run=fig.false_not_run(jobs, run.system.starts),
        lost=fig.lost(jobs),
        fault='+'.join(plan.faults) or None,
        capacity_left=run.capacity_left,
        backlog_cleared_s=_backlog_cleared_s(plan, jobs, ideal),
        reasons=dict(Counter(job.reason for job in jobs if job.reason)),
    )


def crest_rate_at(plan: ExperimentPlan) -> RateFunction:
    """Return the job rate over time of the crest experiment."""
    jobs_per_s = _jobs_per_s(plan.deployment, plan.mix, plan.speeds)
    begin, end = plan.crest_interval_s()

    def rate(at_s: float) -> float:
        load = CREST_LOAD if begin <= at_s < end else LOW_LOAD
        return load * jobs_per_s

    return rate


async def _inject_faults(plan: ExperimentPlan, system: System) -> float:
    if not plan.faults:
        return 1
    await asyncio.sleep(plan.fault_at_s())
    rng = random.Random(plan.seed)
    remaining_shares = [await FAULTS[name](system, rng) for name in plan.faults]
    return 1 - sum(1 - share for share in remaining_shares)


def _counts_for_on_time(plan: ExperimentPlan, job: SubmittedJob) -> bool:
    if not plan.faults:
        return True
    return job.arrival.at_s >= plan.fault_at_s() + FAULT_RECOVERY_S


def _crest_on_time_per_s(
    plan: ExperimentPlan, jobs: Sequence[SubmittedJob]
) -> float | None:
    if plan.experiment != 'crest':
        return None
    begin, end = plan.crest_interval_s()
    on_time = sum(
        len(job.arrival.tasks)
        for job in jobs
        if job.is_on_time() and begin <= job.finished_s < end
    )
    return on_time / (end - begin)


def _backlog_cleared_s(
    plan: ExperimentPlan, jobs: Sequence[SubmittedJob], ideal: fig.IdealService
) -> float | None:
    """Return how long after the crest short jobs still wait, in seconds.

    The backlog counts as cleared at the end of the first window of
    `BACKLOG_WINDOW_S` whose arrivals have a median wait below
    `BACKLOG_CLEARED_WAIT_MS`. None if there is no such window, or if the
    experiment is not the crest.
    """
    if plan.experiment != 'crest':
        return None
    _, end = plan.crest_interval_s()
    number = 0
    while end + number * BACKLOG_WINDOW_S < plan.seconds:
        begin = end + number * BACKLOG_WINDOW_S
        number += 1
        window = [
            job
            for job in jobs
            if begin <= job.arrival.at_s < begin + BACKLOG_WINDOW_S
        ]
        waits = fig.waits(window, ideal, short=True)
        if waits and fig.percentile(waits, 0.5) < BACKLOG_CLEARED_WAIT_MS:
            return number * BACKLOG_WINDOW_S
    return None


def _jobs_per_s(
    deployment: Deployment, mix: JobMix, speeds: Sequence[float]
) -> float:
    mean_tasks, _ = mean_job_size(deployment, mix)
    return capacity_per_s(speeds, deployment, mix) / mean_tasks


def make_plan(
    experiment: str,
    deployment: Deployment,
    seed: int,
    seconds: float,
    load: float | None,
    mix: JobMix,
    workers: int = ENDPOINT_COUNT,
) -> ExperimentPlan:
    """Draw the endpoint speeds and the arrivals of a plan.

    Parameters
    ----------
    load : float or None
        Offered load as a share of the capacity; None for the load of the
        crest experiment.
    """
    rng = random.Random(seed)
    speeds = tuple(draw_speeds(rng, workers))
    plan = ExperimentPlan(
        experiment, deployment, seed, seconds, load, mix, speeds, ()
    )
    if load is None:
        rate = crest_rate_at(plan)
    else:
        jobs_per_s = load * _jobs_per_s(deployment, mix, speeds)
        rate = _constant_rate(jobs_per_s)
    arrivals = draw_arrivals(rng, deployment, mix, rate, seconds)
    return ExperimentPlan(
        experiment,
        deployment,
        seed,
        seconds,
        load,
        mix,
        speeds,
        tuple(arrivals),
    )


def _constant_rate(jobs_per_s: float) -> RateFunction:
    return lambda _at_s: jobs_per_s
