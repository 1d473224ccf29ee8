"""Result figures of one run, computed from its jobs and start record."""

import math
from collections.abc import Sequence
from dataclasses import asdict, dataclass

from limpetlanding.bench.caller import UNANSWERED, SubmittedJob
from limpetlanding.bench.deployments import Deployment
from limpetlanding.bench.system import StartRecord

_MS_PER_S = 1000


@dataclass(slots=True)
class Figures:
    """One result line of the benchmark.

    Names that end in ``_ms`` are milliseconds, in ``_s`` seconds, in
    ``_per_s`` rates per second. The field names are the keys of the output.
    """

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
class IdealService:
    """Fastest possible service: no queueing, on the fastest endpoint.

    Parameters
    ----------
    fastest_speed : float
        Speed of the fastest endpoint.
    round_trip_ms : float
        Network time from caller to endpoint and back, in milliseconds.
    """

    fastest_speed: float
    round_trip_ms: float

    def response_ms(self, job: SubmittedJob) -> float:
        """Return the ideal response time of a job, in milliseconds."""
        work_ms = max(task.work_ms for task in job.arrival.tasks)
        return work_ms / self.fastest_speed + self.round_trip_ms


def percentile(values: Sequence[float], share: float) -> float:
    """Return the nearest-rank percentile, or 0 if there are no values.

    Parameters
    ----------
    share : float
        Rank of the percentile from 0 to 1, 0.99 for the 99th.

    Examples
    --------
    >>> percentile([3, 1, 2], 0.5)
    2
    """
    if not values:
        return 0
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def ideal_service(
    deployment: Deployment, speeds: Sequence[float]
) -> IdealService:
    """Return the ideal service of a deployment.

    Its round trip crosses from the caller to an entry and from there to
    another failure domain, once in each direction.
    """
    one_way_ms = deployment.caller_delay_ms + deployment.cross_domain_delay_ms
    return IdealService(max(speeds), 2 * one_way_ms)


def slowdown(job: SubmittedJob, ideal: IdealService) -> float:
    """Return the response time divided by the ideal response time.

    It is infinite for a job that is not complete: a refused or failed job is
    of no use to its caller, so the percentiles over all jobs count it as
    infinitely slow.
    """
    if job.outcome != 'complete':
        return math.inf
    return job.response_ms / ideal.response_ms(job)


def overhead(job: SubmittedJob, ideal: IdealService) -> float:
    """Return the response time of a complete job divided by its minimum.

    The minimum is the longest run time of its tasks, at the endpoints that
    ran them, and the ideal round trip.
    """
    run_ms = max(result['run_ms'] for result in job.results)
    return job.response_ms / (run_ms + ideal.round_trip_ms)


def wait_ms(job: SubmittedJob, ideal: IdealService) -> float:
    """Return the waiting time of a complete job, in milliseconds.

    That is its response time without the longest run time of its tasks and
    without the ideal round trip.
    """
    run_ms = max(result['run_ms'] for result in job.results)
    return max(0, job.response_ms - run_ms - ideal.round_trip_ms)


def finite(value: float) -> float | None:
    """Return None for infinity, which JSON does not have."""
    return value if math.isfinite(value) else None


def false_not_run(jobs: Sequence[SubmittedJob], starts: StartRecord) -> int:
    """Count the jobs answered ``not_run`` of which a task started."""
    return sum(
        job.outcome == 'not_run' and starts.starts_by_job[job.job_id] > 0
        for job in jobs
    )


def lost(jobs: Sequence[SubmittedJob]) -> int:
    """Count the jobs whose caller never received an answer."""
    return sum(job.outcome == UNANSWERED for job in jobs)


def waits(
    jobs: Sequence[SubmittedJob], ideal: IdealService, short: bool
) -> list[float]:
    """Return the waiting times of complete jobs, in milliseconds.

    Parameters
    ----------
    short : bool
        Whether to select the jobs without a long task, or those with one.
    """
    return [
        wait_ms(job, ideal)
        for job in jobs
        if job.outcome == 'complete' and job.arrival.is_short() == short
    ]
