"""Figures of one run, from offers, start records and counters."""

import math
from collections.abc import Sequence
from dataclasses import asdict, dataclass

from limpetlanding.bench.caller import UNANSWERED, Offer
from limpetlanding.bench.deployments import Deployment
from limpetlanding.bench.system import StartRecord

_MS_PER_S = 1000


@dataclass(slots=True)
class Figures:
    """One line of the bench; times in milliseconds, rates per second."""

    experiment: str
    deployment: str
    policy: str
    load: float | None
    seed: int
    jobs: int
    tasks: int
    on_time_share: float
    slowdown_p50: float
    slowdown_p99: float
    overhead_p50: float
    overhead_p99: float
    crest_on_time_per_s: float | None
    capacity_per_s: float
    short_wait_p99_ms: float
    long_wait_p99_ms: float | None
    messages_per_task: float
    wasted_messages_per_task: float
    refused_share: float
    double_starts: int
    partial_answers: int
    false_not_run: int
    lost: int
    fault: str | None = None
    capacity_left: float | None = None
    backlog_cleared_s: float | None = None
    reasons: dict[str, int] | None = None

    def as_dict(self) -> dict:
        """Return the figures rounded for a JSON line."""
        return {
            name: round(value, 4) if isinstance(value, float) else value
            for name, value in asdict(self).items()
        }


@dataclass(frozen=True, slots=True)
class Ideal:
    """Fastest possible service: no queue, the fastest endpoint.

    Parameters
    ----------
    fastest : float
        Speed of the fastest endpoint.
    round_trip_ms : float
        From caller to endpoint and back, in milliseconds.
    """

    fastest: float
    round_trip_ms: float

    def response_ms(self, offer: Offer) -> float:
        """Return the ideal response time of a job."""
        work_ms = max(task.work_ms for task in offer.arrival.tasks)
        return work_ms / self.fastest + self.round_trip_ms


def percentile(values: Sequence[float], share: float) -> float:
    """Return the nearest-rank percentile; 0 for no values.

    Examples
    --------
    >>> percentile([3, 1, 2], 0.5)
    2
    """
    if not values:
        return 0
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def ideal_of(deployment: Deployment, speeds: Sequence[float]) -> Ideal:
    """Return the ideal of a deployment: both legs once, one crossing."""
    one_way_ms = deployment.caller_delay_ms + deployment.cross_domain_delay_ms
    return Ideal(max(speeds), 2 * one_way_ms)


def slowdown(offer: Offer, ideal: Ideal) -> float:
    """Return response time over the ideal; without an answer, infinite.

    A refused or failed job never met its purpose, so that it counts as
    infinitely slow in the percentiles over all jobs.
    """
    if offer.outcome != 'complete':
        return math.inf
    return offer.response_ms / ideal.response_ms(offer)


def overhead(offer: Offer, ideal: Ideal) -> float:
    """Return response time over the ideal at the endpoints that ran it."""
    run_ms = max(result['run_ms'] for result in offer.results)
    return offer.response_ms / (run_ms + ideal.round_trip_ms)


def wait_ms(offer: Offer, ideal: Ideal) -> float:
    """Return the time a complete job spent neither running nor travelling."""
    run_ms = max(result['run_ms'] for result in offer.results)
    return max(0, offer.response_ms - run_ms - ideal.round_trip_ms)


def finite(value: float) -> float | None:
    """Return None for infinity, which JSON does not have."""
    return value if math.isfinite(value) else None


def false_not_run(offers: Sequence[Offer], starts: StartRecord) -> int:
    """Count jobs refused as not run although a task of them started."""
    return sum(
        offer.outcome == 'not_run' and starts.by_job[offer.job_id] > 0
        for offer in offers
    )


def lost(offers: Sequence[Offer]) -> int:
    """Count jobs whose caller never got an answer."""
    return sum(offer.outcome == UNANSWERED for offer in offers)


def waits(offers: Sequence[Offer], ideal: Ideal, short: bool) -> list[float]:
    """Return the waits of complete jobs that are all short, or not."""
    return [
        wait_ms(offer, ideal)
        for offer in offers
        if offer.outcome == 'complete' and offer.arrival.is_short() == short
    ]
