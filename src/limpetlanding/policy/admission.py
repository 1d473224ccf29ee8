"""Admission of jobs at an entry."""

from array import array
from dataclasses import dataclass, field
from math import exp
from random import Random

from limpetlanding.jobs import Reason
from limpetlanding.policy.load import SystemLoad
from limpetlanding.policy.retries import spread_retry_ms

OVER_SHARE_BACKLOG_MS = 150
"""Above this backlog only customers inside their peak share are admitted. It
keeps all slots busy between two load reports (20 ms) and leaves customers
inside their share a short queue."""

MAX_BACKLOG_MS = 1000
"""The share that is still admitted falls to 0 at this backlog. If it did not
fall, customers that all use their full share would keep the backlog that the
start of a peak has left. It also bounds the time in which a backlog is
cleared after a peak."""

RATE_WINDOW_S = 1
"""Time constant of the work rate that is compared with the peak share."""

GRACE_MS = 2000
"""Work above the share that still counts as inside it: a few common tasks.
Without it the scatter of task sizes alone put a small customer that used 75%
of its share over it a tenth of the time."""

ERROR_WINDOW = 128
"""Past predictions kept for each customer."""

OVER_LIMIT_RETRY_MS = 300
"""A task slot of the customer comes free after about one common run time."""

_UNPROVED_RATIOS = (0.5, 1.5)
_MIN_ERRORS = 16
_SUM_UP_EVERY = 8
_LOW, _HIGH = 0.1, 0.9


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """What admission needs to know of one job.

    `work_ms` is the sum of the expected run times at speed 1.0,
    `remaining_ms` the time left until the deadline. `is_long` tells whether
    a task of it belongs to the long class.
    """

    customer: str
    task_count: int
    work_ms: float
    remaining_ms: float
    is_long: bool = False


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Limits of one customer at this entry, derived from its contract.

    `tasks_at_once` and `tasks_per_second` are this entry's current shares
    of the contract limits. `peak_share` is the part of the whole capacity
    that the customer is given at a peak. `may_refuse` is a subset of
    ``overload`` and ``deadline``; what is missing is never given as a reason
    to refuse.
    """

    tasks_at_once: float
    tasks_per_second: float
    peak_share: float = 1.0
    may_refuse: frozenset[str] = frozenset(('overload', 'deadline'))


@dataclass(frozen=True, slots=True)
class Admitted:
    """The job may run."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The job is refused; the caller may retry after `retry_after_ms`."""

    reason: Reason
    retry_after_ms: float


@dataclass(slots=True)
class PredictionErrors:
    """Ratios of actual to predicted time, as a low and a high quantile."""

    recent: array = field(default_factory=lambda: array('f'))
    position: int = 0
    low: float = _UNPROVED_RATIOS[0]
    high: float = _UNPROVED_RATIOS[1]

    def add(self, ratio: float) -> None:
        """Add one ratio; the quantiles follow every eighth one."""
        if len(self.recent) < ERROR_WINDOW:
            self.recent.append(ratio)
        else:
            self.recent[self.position] = ratio
        self.position = (self.position + 1) % ERROR_WINDOW
        count = len(self.recent)
        if count >= _MIN_ERRORS and self.position % _SUM_UP_EVERY == 0:
            ordered = sorted(self.recent)
            self.low = min(ordered[int(count * _LOW)], 1)
            self.high = max(ordered[int(count * _HIGH)], 1)


@dataclass(slots=True)
class CustomerUsage:
    """What one customer uses at this entry.

    Parameters
    ----------
    tasks : int
        Admitted tasks that have not ended.
    tokens : float
        Tasks that may start now under the rate limit; a job larger than one
        second's tokens leaves a debt.
    work_ms : float
        Admitted work, forgotten with the time constant `RATE_WINDOW_S`.
    errors : PredictionErrors
        Actual divided by predicted time of past jobs.
    """

    tasks: int = 0
    tokens: float = 0
    work_ms: float = 0
    seen_at: float | None = None
    errors: PredictionErrors = field(default_factory=PredictionErrors)

    def advance(self, limits: AdmissionLimits, now: float) -> None:
        """Add the tokens earned and forget old work."""
        depth = limits.tasks_per_second
        if self.seen_at is None:
            self.tokens = depth
        else:
            passed_s = now - self.seen_at
            earned = passed_s * limits.tasks_per_second
            self.tokens = min(self.tokens + earned, depth)
            self.work_ms *= exp(-passed_s / RATE_WINDOW_S)
        self.seen_at = now

    def within_share(self, share: float, part: float) -> bool:
        """Tell whether the work is within a part of `share` ms per ms."""
        allowed_ms = share * RATE_WINDOW_S * 1000 + GRACE_MS
        return self.work_ms <= allowed_ms * part


class Admission:
    """Admission of one entry: counts, limits and learnt margins.

    Parameters
    ----------
    rng : random.Random
        Spreads the retries.
    """

    def __init__(self, rng: Random | None = None) -> None:
        self.rng = rng or Random(0)
        self.customers: dict[str, CustomerUsage] = {}
        self.retries_until: float = 0

    def usage(self, customer: str) -> CustomerUsage:
        """Return the usage of a customer, created on demand."""
        usage = self.customers.get(customer)
        if usage is None:
            usage = CustomerUsage()
            self.customers[customer] = usage
        return usage

    def decide(
        self,
        request: AdmissionRequest,
        limits: AdmissionLimits,
        predicted_ms: float,
        system: SystemLoad,
        now: float,
    ) -> Admitted | Refused:
        """Admit or refuse a whole job; an admitted one is counted.

        - The contract limits hold at any load.
        - Above `OVER_SHARE_BACKLOG_MS` a job is refused unless it ends in
          time in 9 of 10 cases, judged by this customer's past predictions.
          Below, it takes no slot that other work needs, and is refused only
          if it would be late in 9 of 10 cases.
        - Above `OVER_SHARE_BACKLOG_MS` customers over their peak share are
          refused; the share shrinks to 0 at `MAX_BACKLOG_MS`.

        Parameters
        ----------
        predicted_ms : float
            Predicted time until the last task ends
            (`PlacementPlan.predicted_ms`).
        system : SystemLoad
            Load of all usable agents, from `system_load`.
        now : float
            Monotonic seconds.
        """
        usage = self.usage(request.customer)
        usage.advance(limits, now)
        reason = _limit_reason(request, limits, usage)
        if reason:
            wait_ms = max(
                OVER_LIMIT_RETRY_MS,
                -1000 * usage.tokens / max(limits.tasks_per_second, 1),
            )
            return Refused(reason, spread_retry_ms(wait_ms, self.rng))
        if _is_late(request, limits, predicted_ms, usage, system):
            reason = Reason.DEADLINE
        elif _is_overload(request, limits, usage, system):
            reason = Reason.OVERLOAD
        if reason:
            return Refused(reason, self._retry_ms(request, system, now))
        usage.tokens -= request.task_count
        usage.tasks += request.task_count
        usage.work_ms += request.work_ms
        return Admitted()

    def task_ended(self, customer: str, count: int = 1) -> None:
        """Count tasks of a customer as ended, or as never started."""
        usage = self.usage(customer)
        usage.tasks = max(0, usage.tasks - count)

    def record_prediction(
        self, customer: str, predicted_ms: float, actual_ms: float
    ) -> None:
        """Learn from a prediction.

        Jobs that were dropped past their deadline are reported as well, with
        the time until they were dropped; without them the predictions would
        look better than they are.
        """
        if predicted_ms > 0:
            self.usage(customer).errors.add(actual_ms / predicted_ms)

    def _retry_ms(
        self, request: AdmissionRequest, system: SystemLoad, now: float
    ) -> float:
        # Every refusal books capacity for its retry, so a wave of refusals
        # comes back over the time that it takes to serve it.
        capacity = max(system.capacity / system.entries, 1)
        start = max(self.retries_until, now)
        self.retries_until = start + request.work_ms / capacity / 1000
        excess_ms = (self.retries_until - now) * 1000
        backlog_ms = system.backlog_for(request.is_long)
        excess_ms += min(backlog_ms, MAX_BACKLOG_MS)
        return spread_retry_ms(excess_ms, self.rng)


class NaiveAdmission(Admission):
    """Admits everything."""

    def decide(
        self,
        request: AdmissionRequest,
        limits: AdmissionLimits,
        predicted_ms: float,
        system: SystemLoad,
        now: float,
    ) -> Admitted | Refused:
        """Admit and count the job."""
        self.usage(request.customer).tasks += request.task_count
        return Admitted()


def _limit_reason(
    request: AdmissionRequest, limits: AdmissionLimits, usage: CustomerUsage
) -> Reason | None:
    wanted = min(request.task_count, limits.tasks_per_second)
    over_rate = usage.tokens < wanted or limits.tasks_per_second <= 0
    if over_rate or usage.tasks + request.task_count > limits.tasks_at_once:
        return Reason.OVER_LIMIT
    return None


def _is_late(
    request: AdmissionRequest,
    limits: AdmissionLimits,
    predicted_ms: float,
    usage: CustomerUsage,
    system: SystemLoad,
) -> bool:
    if request.remaining_ms <= 0:
        return True
    if 'deadline' not in limits.may_refuse:
        return False
    backlog_ms = system.backlog_for(request.is_long)
    busy = backlog_ms > OVER_SHARE_BACKLOG_MS
    ratio = usage.errors.high if busy else usage.errors.low
    return predicted_ms * ratio > request.remaining_ms


def _is_overload(
    request: AdmissionRequest,
    limits: AdmissionLimits,
    usage: CustomerUsage,
    system: SystemLoad,
) -> bool:
    if 'overload' not in limits.may_refuse:
        return False
    backlog_ms = system.backlog_for(request.is_long)
    over_ms = backlog_ms - OVER_SHARE_BACKLOG_MS
    if over_ms <= 0:
        return False
    share = limits.peak_share * system.capacity / system.entries
    part = 1 - over_ms / (MAX_BACKLOG_MS - OVER_SHARE_BACKLOG_MS)
    return part <= 0 or not usage.within_share(share, part)
