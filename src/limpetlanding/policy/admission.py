"""Admission of jobs at an entry."""

from array import array
from dataclasses import dataclass, field
from math import exp
from random import Random

from limpetlanding.jobs import Reason
from limpetlanding.policy.load import SystemLoad
from limpetlanding.policy.retries import spread_retry_ms

OVER_SHARE_BACKLOG_MS = 150
"""Above this backlog only customers within their peak share are admitted. It
is long enough to keep all slots busy between two load reports (20 ms), and
short enough that customers within their share wait little."""

MAX_BACKLOG_MS = 1000
"""The admitted part of the peak shares falls to 0 at this backlog. If it did
not fall, the backlog from the start of a peak would remain while all customers
use their full share. The value also bounds the time that it takes to clear the
backlog after a peak."""

RATE_WINDOW_S = 1
"""Time constant of the exponential decay of admitted work; the decayed sum is
compared with the peak share."""

SHARE_TOLERANCE_MS = 2000
"""Work above the share that is tolerated: a few typical tasks. Without it a
small customer that uses 75% of its share is over it a tenth of the time, only
because the sizes of its tasks vary."""

PREDICTION_WINDOW_SIZE = 128
"""Number of past predictions kept for each customer."""

OVER_LIMIT_RETRY_MS = 300
"""Shortest interval over which the retries of jobs over a contract limit are
spread: after about one typical run time a task of the customer has ended."""

_INITIAL_RATIOS = (0.5, 1.5)
_MIN_RATIOS = 16
_UPDATE_INTERVAL = 8
_LOW_QUANTILE, _HIGH_QUANTILE = 0.1, 0.9


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """Properties of a job that decide on its admission.

    `work_ms` is the sum of the expected run times at speed 1.0, and
    `remaining_ms` is the time left until the deadline. `is_long` tells
    whether any of its tasks belongs to the long class.
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
    ``overload`` and ``deadline``, the reasons for which the contract allows
    a refusal. Reaching a contract limit, and a deadline that has already
    passed, are always reasons to refuse.
    """

    tasks_at_once: float
    tasks_per_second: float
    peak_share: float = 1.0
    may_refuse: frozenset[str] = frozenset(('overload', 'deadline'))


@dataclass(frozen=True, slots=True)
class Admitted:
    """The job is admitted."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The job is refused; the caller may retry after `retry_after_ms`."""

    reason: Reason
    retry_after_ms: float


@dataclass(slots=True)
class PredictionErrors:
    """Low and high quantile of the ratios of actual to predicted time."""

    recent: array = field(default_factory=lambda: array('f'))
    position: int = 0
    low: float = _INITIAL_RATIOS[0]
    high: float = _INITIAL_RATIOS[1]

    def add(self, ratio: float) -> None:
        """Add a ratio; the quantiles are updated at every eighth one."""
        if len(self.recent) < PREDICTION_WINDOW_SIZE:
            self.recent.append(ratio)
        else:
            self.recent[self.position] = ratio
        self.position = (self.position + 1) % PREDICTION_WINDOW_SIZE
        count = len(self.recent)
        if count >= _MIN_RATIOS and self.position % _UPDATE_INTERVAL == 0:
            ordered = sorted(self.recent)
            self.low = min(ordered[int(count * _LOW_QUANTILE)], 1)
            self.high = max(ordered[int(count * _HIGH_QUANTILE)], 1)


@dataclass(slots=True)
class CustomerUsage:
    """Usage of the limits by one customer at this entry.

    Parameters
    ----------
    tasks : int
        Admitted tasks that have not ended.
    tokens : float
        Tasks that may start now under the rate limit. Negative after a job
        with more tasks than the limit allows in one second.
    work_ms : float
        Admitted work, which decays exponentially with the time constant
        `RATE_WINDOW_S`.
    updated_at : float, optional
        Monotonic seconds of the last call of `advance`.
    errors : PredictionErrors
        Actual divided by predicted time of past jobs.
    """

    tasks: int = 0
    tokens: float = 0
    work_ms: float = 0
    updated_at: float | None = None
    errors: PredictionErrors = field(default_factory=PredictionErrors)

    def advance(self, limits: AdmissionLimits, now: float) -> None:
        """Add the tokens earned since the last call and decay the work."""
        max_tokens = limits.tasks_per_second
        if self.updated_at is None:
            self.tokens = max_tokens
        else:
            passed_s = now - self.updated_at
            earned = passed_s * limits.tasks_per_second
            self.tokens = min(self.tokens + earned, max_tokens)
            self.work_ms *= exp(-passed_s / RATE_WINDOW_S)
        self.updated_at = now

    def within_share(self, share: float, part: float) -> bool:
        """Return whether the recent work is within the share.

        `share` is in milliseconds of work per millisecond. It is multiplied
        by `part`, and so is the tolerance `SHARE_TOLERANCE_MS`.
        """
        allowed_ms = share * RATE_WINDOW_S * 1000 + SHARE_TOLERANCE_MS
        return self.work_ms <= allowed_ms * part


class Admission:
    """Admission control of one entry.

    It counts the admitted tasks of each customer, enforces the limits and
    learns from past jobs how far predictions can be relied on.

    Parameters
    ----------
    rng : random.Random
        Spreads the retries of refused jobs over time.
    """

    def __init__(self, rng: Random | None = None) -> None:
        self.rng = rng or Random(0)
        self.customers: dict[str, CustomerUsage] = {}
        self.retry_capacity_until: float = 0

    def usage(self, customer: str) -> CustomerUsage:
        """Return the usage of a customer; create it at the first call."""
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
        """Admit or refuse a whole job, and count it if it is admitted.

        - The contract limits are enforced at any load.
        - Above `OVER_SHARE_BACKLOG_MS` a job is refused unless it is expected
          to end in time in 9 of 10 cases, according to the errors of past
          predictions for this customer. Below, it takes no slot that other
          work needs, and is refused only if it is expected to be late in 9
          of 10 cases.
        - Above `OVER_SHARE_BACKLOG_MS` customers over their peak share are
          refused. The admitted part of the share shrinks linearly to 0 at
          `MAX_BACKLOG_MS`.

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
        """Stop counting tasks that have ended or will never start."""
        usage = self.usage(customer)
        usage.tasks = max(0, usage.tasks - count)

    def record_prediction(
        self, customer: str, predicted_ms: float, actual_ms: float
    ) -> None:
        """Record the predicted and the actual time of a job.

        Jobs that were dropped past their deadline are recorded as well, with
        the time until they were dropped; without them the predictions would
        look better than they are.
        """
        if predicted_ms > 0:
            self.usage(customer).errors.add(actual_ms / predicted_ms)

    def _retry_ms(
        self, request: AdmissionRequest, system: SystemLoad, now: float
    ) -> float:
        # Each refusal reserves capacity for its retry, so that the retries
        # of many jobs refused at once are spread over the time that it takes
        # to serve them.
        capacity = max(system.capacity / system.entries, 1)
        start = max(self.retry_capacity_until, now)
        self.retry_capacity_until = start + request.work_ms / capacity / 1000
        excess_ms = (self.retry_capacity_until - now) * 1000
        backlog_ms = system.backlog_for(request.is_long)
        excess_ms += min(backlog_ms, MAX_BACKLOG_MS)
        return spread_retry_ms(excess_ms, self.rng)


class NaiveAdmission(Admission):
    """Admits every job; used with the setting ``policy: naive``."""

    def decide(
        self,
        request: AdmissionRequest,
        limits: AdmissionLimits,
        predicted_ms: float,
        system: SystemLoad,
        now: float,
    ) -> Admitted | Refused:
        """Admit the job and count its tasks."""
        self.usage(request.customer).tasks += request.task_count
        return Admitted()


def _limit_reason(
    request: AdmissionRequest, limits: AdmissionLimits, usage: CustomerUsage
) -> Reason | None:
    required_tokens = min(request.task_count, limits.tasks_per_second)
    over_rate = usage.tokens < required_tokens or limits.tasks_per_second <= 0
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
