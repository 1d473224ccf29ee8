"""Admission of jobs at an entry."""

from dataclasses import dataclass

from limpetlanding.jobs import Reason
from limpetlanding.policy.load import SystemLoad


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """What admission needs to know of one job.

    `work_ms` is the sum of the expected run times at speed 1.0,
    `remaining_ms` the time left until the deadline.
    """

    customer: str
    task_count: int
    work_ms: float
    remaining_ms: float


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one customer at this entry, derived from its contract.

    `tasks_at_once` and `tasks_per_second` are this entry's current shares
    of the contract limits. `may_refuse` is a subset of ``overload`` and
    ``deadline``; what is missing is never given as a reason to refuse.
    """

    tasks_at_once: float
    tasks_per_second: float
    peak_share: float = 1.0
    may_refuse: frozenset[str] = frozenset(('overload', 'deadline'))


@dataclass(slots=True)
class Usage:
    """What one customer uses at this entry; see `Admission.usage`."""

    tasks: int = 0
    tokens: float = 0
    filled_at: float | None = None

    def refill(self, limits: Limits, now: float) -> None:
        """Add the tokens earned since the last call, up to one second's."""
        rate = limits.tasks_per_second
        if self.filled_at is None:
            self.tokens = rate
        else:
            earned = (now - self.filled_at) * rate
            self.tokens = min(self.tokens + earned, rate)
        self.filled_at = now


@dataclass(frozen=True, slots=True)
class Admitted:
    """The job may run."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The job is refused; the caller may retry after `retry_after_ms`."""

    reason: Reason
    retry_after_ms: float


class Admission:
    """Admission state of one entry."""

    def __init__(self) -> None:
        self.customers: dict[str, Usage] = {}

    def usage(self, customer: str) -> Usage:
        """Return the usage of a customer, created on demand."""
        return self.customers.setdefault(customer, Usage())

    def decide(
        self,
        request: AdmissionRequest,
        limits: Limits,
        predicted_ms: float,
        system: SystemLoad,
        now: float,
    ) -> Admitted | Refused:
        """Admit or refuse a whole job; an admitted one is counted.

        Parameters
        ----------
        predicted_ms : float
            Predicted time until the last task ends (`Plan.predicted_ms`).
        system : SystemLoad
            Load of all usable agents, from `system_load`.
        now : float
            Monotonic seconds.
        """
        usage = self.usage(request.customer)
        usage.refill(limits, now)
        if usage.tasks + request.task_count > limits.tasks_at_once:
            return Refused(Reason.OVER_LIMIT, 100)
        if usage.tokens < request.task_count:
            return Refused(Reason.OVER_LIMIT, 100)
        late = predicted_ms > request.remaining_ms
        if late and 'deadline' in limits.may_refuse:
            return Refused(Reason.OVERLOAD, 100)
        usage.tokens -= request.task_count
        usage.tasks += request.task_count
        return Admitted()

    def task_ended(self, customer: str, count: int = 1) -> None:
        """Count tasks of a customer as ended, or as never started."""
        usage = self.usage(customer)
        usage.tasks = max(0, usage.tasks - count)

    def job_ended(
        self, customer: str, predicted_ms: float, actual_ms: float
    ) -> None:
        """Learn from the error of a prediction."""


class NaiveAdmission(Admission):
    """Admits everything."""

    def decide(
        self,
        request: AdmissionRequest,
        limits: Limits,
        predicted_ms: float,
        system: SystemLoad,
        now: float,
    ) -> Admitted | Refused:
        """Admit and count the job."""
        self.usage(request.customer).tasks += request.task_count
        return Admitted()
