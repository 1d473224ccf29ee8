"""The experiments of the bench."""

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, replace

import aiohttp

from limpetlanding.bench import figures as fig
from limpetlanding.bench.caller import Callers, Offer
from limpetlanding.bench.deployments import ENDPOINT_COUNT, Deployment
from limpetlanding.bench.faults import FAULTS
from limpetlanding.bench.meters import Reading, read_meters
from limpetlanding.bench.system import System, running_system
from limpetlanding.bench.workload import (
    Arrival,
    Mix,
    RateAt,
    capacity_per_s,
    draw_arrivals,
    draw_speeds,
    mean_job,
)

POLICIES = ('limpetlanding', 'naive')
LOW_LOAD = 0.3
HIGH_LOAD = 0.8
CREST_LOAD = 3
LONG_WORK_LOAD = 0.7
LONG_WORK_SHARE = 0.1
# The crest takes the middle third of the run.
CREST_BEGIN = 1 / 3
CREST_END = 2 / 3
WARM_UP_S = 4
FAULT_LOAD = 0.5
WINDOW_S = 0.5
CLEARED_WAIT_MS = 50
FAULT_PAIRS = 3
# Jobs that arrive later than this after a fault must be served as if only
# the lost capacity were missing.
FAULT_RECOVERY_S = 2


@dataclass(frozen=True, slots=True)
class Plan:
    """One experiment at one load, the same for both policies."""

    experiment: str
    deployment: Deployment
    seed: int
    seconds: float
    load: float | None
    mix: Mix
    speeds: tuple[float, ...]
    arrivals: tuple[Arrival, ...]
    faults: tuple[str, ...] = ()

    def fault_at_s(self) -> float:
        """Return when the faults are caused, in seconds."""
        return CREST_BEGIN * self.seconds

    def capacity(self) -> float:
        """Return the tasks per second that all slots can serve."""
        return capacity_per_s(self.speeds, self.deployment, self.mix)

    def crest(self) -> tuple[float, float]:
        """Return begin and end of the crest, in seconds."""
        return CREST_BEGIN * self.seconds, CREST_END * self.seconds


@dataclass(slots=True)
class Run:
    """What one policy did with the plan."""

    offers: list[Offer]
    used: Reading
    system: System
    capacity_left: float = 1


def steady_plans(
    deployment: Deployment, seed: int, seconds: float
) -> list[Plan]:
    """Return plans at 30% and at 80% of the capacity."""
    return [
        make_plan('steady', deployment, seed, seconds, load, Mix())
        for load in (LOW_LOAD, HIGH_LOAD)
    ]


def head_of_line_plans(
    deployment: Deployment, seed: int, seconds: float
) -> list[Plan]:
    """Return a plan with 10% long jobs of one task, at 70% load."""
    mix = Mix(long_share=LONG_WORK_SHARE, single=True)
    plan = make_plan(
        'head-of-line', deployment, seed, seconds, LONG_WORK_LOAD, mix
    )
    return [plan]


def crest_plans(
    deployment: Deployment, seed: int, seconds: float
) -> list[Plan]:
    """Return a plan that swings from 30% to 300% and back."""
    return [make_plan('crest', deployment, seed, seconds, None, Mix())]


def fault_plans(
    deployment: Deployment, seed: int, seconds: float
) -> list[Plan]:
    """Return a plan for each fault alone, then for pairs from the seed."""
    base = make_plan('faults', deployment, seed, seconds, FAULT_LOAD, Mix())
    pairs = list(itertools.combinations(FAULTS, 2))
    drawn = random.Random(seed).sample(pairs, FAULT_PAIRS)
    singles = ((name,) for name in FAULTS)
    return [replace(base, faults=names) for names in (*singles, *drawn)]


PLANS = {
    'faults': fault_plans,
    'steady': steady_plans,
    'crest': crest_plans,
    'head-of-line': head_of_line_plans,
}


async def measure(plan: Plan, policy: str) -> fig.Figures:
    """Run the plan under one policy and return its figures."""
    async with running_system(plan.deployment, plan.speeds, policy) as system:
        run = await offer_load(plan, system)
    return summarise(plan, policy, run)


async def offer_load(plan: Plan, system: System) -> Run:
    """Offer the plan's arrivals to a running system, after a warm-up.

    The warm-up offers other jobs of the same kinds, so that both policies
    begin with open connections and what they learn in the first seconds.
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
        await callers.offer_all(warm_up.arrivals)
        before = await read_meters(system)
        faults = asyncio.create_task(_cause_faults(plan, system))
        offers = await callers.offer_all(plan.arrivals)
        after = await read_meters(system)
    return Run(offers, after.minus(before), system, await faults)


def summarise(plan: Plan, policy: str, run: Run) -> fig.Figures:
    """Return the figures of one run."""
    offers = run.offers
    judged = [offer for offer in offers if _is_judged(plan, offer)]
    ideal = fig.ideal_of(plan.deployment, plan.speeds)
    slowdowns = [fig.slowdown(offer, ideal) for offer in offers]
    overheads = [
        fig.overhead(offer, ideal)
        for offer in offers
        if offer.outcome == 'complete'
    ]
    tasks = sum(len(offer.arrival.tasks) for offer in offers)
    refused = sum(offer.outcome == 'not_run' for offer in offers)
    long_waits = fig.waits(offers, ideal, short=False)
    return fig.Figures(
        experiment=plan.experiment,
        deployment=plan.deployment.name,
        policy=policy,
        load=plan.load,
        seed=plan.seed,
        jobs=len(offers),
        tasks=tasks,
        on_time_share=sum(map(Offer.is_on_time, judged)) / len(judged),
        slowdown_p50=fig.finite(fig.percentile(slowdowns, 0.5)),
        slowdown_p99=fig.finite(fig.percentile(slowdowns, 0.99)),
        overhead_p50=fig.percentile(overheads, 0.5),
        overhead_p99=fig.percentile(overheads, 0.99),
        crest_on_time_per_s=_crest_rate(plan, offers),
        capacity_per_s=plan.capacity(),
        short_wait_p99_ms=fig.percentile(
            fig.waits(offers, ideal, short=True), 0.99
        ),
        long_wait_p99_ms=fig.percentile(long_waits, 0.99),
        messages_per_task=run.used.task_messages() / tasks,
        wasted_messages_per_task=run.used.wasted_messages() / tasks,
        refused_share=refused / len(offers),
        double_starts=run.system.starts.double_starts(),
        partial_answers=sum(offer.is_partial for offer in offers),
        false_not_run=fig.false_not_run(offers, run.system.starts),
        lost=fig.lost(offers),
        fault='+'.join(plan.faults) or None,
        capacity_left=run.capacity_left,
        backlog_cleared_s=_backlog_cleared_s(plan, offers, ideal),
        reasons=dict(Counter(offer.reason for offer in offers if offer.reason)),
    )


def crest_rate_at(plan: Plan) -> RateAt:
    """Return the job rate over time of the crest experiment."""
    jobs_per_s = _jobs_per_s(plan.deployment, plan.mix, plan.speeds)
    begin, end = plan.crest()

    def rate(at_s: float) -> float:
        load = CREST_LOAD if begin <= at_s < end else LOW_LOAD
        return load * jobs_per_s

    return rate


async def _cause_faults(plan: Plan, system: System) -> float:
    if not plan.faults:
        return 1
    await asyncio.sleep(plan.fault_at_s())
    rng = random.Random(plan.seed)
    left = [await FAULTS[name](system, rng) for name in plan.faults]
    return 1 - sum(1 - share for share in left)


def _is_judged(plan: Plan, offer: Offer) -> bool:
    if not plan.faults:
        return True
    return offer.arrival.at_s >= plan.fault_at_s() + FAULT_RECOVERY_S


def _crest_rate(plan: Plan, offers: Sequence[Offer]) -> float | None:
    if plan.experiment != 'crest':
        return None
    begin, end = plan.crest()
    on_time = sum(
        len(offer.arrival.tasks)
        for offer in offers
        if offer.is_on_time() and begin <= offer.finished_s < end
    )
    return on_time / (end - begin)


def _backlog_cleared_s(
    plan: Plan, offers: Sequence[Offer], ideal: fig.Ideal
) -> float | None:
    """Return when short work waits no longer, in s after the crest's end.

    That is the end of the first half second of arrivals whose median wait
    is below `CLEARED_WAIT_MS`; None if there is none.
    """
    if plan.experiment != 'crest':
        return None
    _, end = plan.crest()
    number = 0
    while end + number * WINDOW_S < plan.seconds:
        begin = end + number * WINDOW_S
        number += 1
        window = [
            offer
            for offer in offers
            if begin <= offer.arrival.at_s < begin + WINDOW_S
        ]
        waits = fig.waits(window, ideal, short=True)
        if waits and fig.percentile(waits, 0.5) < CLEARED_WAIT_MS:
            return number * WINDOW_S
    return None


def _jobs_per_s(
    deployment: Deployment, mix: Mix, speeds: Sequence[float]
) -> float:
    mean_tasks, _ = mean_job(deployment, mix)
    return capacity_per_s(speeds, deployment, mix) / mean_tasks


def make_plan(
    experiment: str,
    deployment: Deployment,
    seed: int,
    seconds: float,
    load: float | None,
    mix: Mix,
    workers: int = ENDPOINT_COUNT,
) -> Plan:
    """Draw speeds and arrivals; a `load` of None draws the crest."""
    rng = random.Random(seed)
    speeds = tuple(draw_speeds(rng, workers))
    plan = Plan(experiment, deployment, seed, seconds, load, mix, speeds, ())
    if load is None:
        rate = crest_rate_at(plan)
    else:
        constant = load * _jobs_per_s(deployment, mix, speeds)
        rate = _constant(constant)
    arrivals = draw_arrivals(rng, deployment, mix, rate, seconds)
    return Plan(
        experiment,
        deployment,
        seed,
        seconds,
        load,
        mix,
        speeds,
        tuple(arrivals),
    )


def _constant(jobs_per_s: float) -> RateAt:
    return lambda _at_s: jobs_per_s
