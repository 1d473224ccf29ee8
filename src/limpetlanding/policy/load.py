"""Load of agents as known to an entry."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from limpetlanding.wire.job_messages import EndpointLoad, LoadReport

LONG_TASK_MS = 1000
"""Tasks expected to run at least this long belong to the long class."""

PENDING_SETTLE_MS = 10
"""Time that a placed task takes from the entry over the coordinator to the
executor. More recent placements may be missing in a report and stay pending."""


@dataclass(slots=True)
class KindLoad:
    """Endpoints of one agent for tasks of one kind, summed up.

    `speed` is the mean speed of the slots. A `max_size` of 0 means unlimited.
    """

    slots: int = 0
    busy: int = 0
    speed: float = 1.0
    max_size: int = 0
    serving: bool = False


@dataclass(slots=True, eq=False)
class PendingTask:
    """A placed task that the last report of its agent may not show.

    `placed_at` is in monotonic seconds, and `work_ms` is the expected run
    time at speed 1.0.
    """

    placed_at: float
    work_ms: float
    is_long: bool


@dataclass(slots=True, eq=False)
class AgentLoad:
    """Load of one agent: its last report and the tasks placed since.

    `queued_short_ms` and `queued_long_ms` are sums of expected run times at
    speed 1.0, without the running tasks. `pending_short_ms`,
    `pending_long_ms` and `pending_long` (a number of tasks) are the totals of
    `pending`. Clock values are monotonic seconds.
    """

    agent: str
    incarnation: str
    address: str
    failure_domain: str
    endpoints: list[EndpointLoad] = field(default_factory=list)
    queued_short_ms: float = 0
    queued_long_ms: float = 0
    long_busy: int = 0
    pending: dict[int, PendingTask] = field(default_factory=dict)
    suspect: bool = False
    draining: bool = False
    ejected: bool = False
    by_kind: dict[str, KindLoad] = field(default_factory=dict)
    pending_short_ms: float = 0
    pending_long_ms: float = 0
    pending_long: int = 0

    def __post_init__(self) -> None:
        self.update_by_kind()

    @property
    def usable(self) -> bool:
        """Whether new tasks may be placed on the agent."""
        return not (self.suspect or self.draining or self.ejected)

    def apply_report(self, report: LoadReport, now: float) -> None:
        """Replace the last report by one that arrived at `now`."""
        self.endpoints = report.endpoints
        self.queued_short_ms = report.queued_short_ms
        self.queued_long_ms = report.queued_long_ms
        self.long_busy = report.long_busy
        self.draining = report.draining
        settled_before = now - PENDING_SETTLE_MS / 1000
        kept = [
            x for x in self.pending.values() if x.placed_at > settled_before
        ]
        self.pending = {}
        self.pending_short_ms = 0
        self.pending_long_ms = 0
        self.pending_long = 0
        for pending in kept:
            self._count(pending)
        self.update_by_kind()

    def add_pending(
        self, work_ms: float, is_long: bool, now: float
    ) -> PendingTask:
        """Count a task placed on the agent at `now`."""
        pending = PendingTask(now, work_ms, is_long)
        self._count(pending)
        return pending

    def remove_pending(self, pending: PendingTask) -> None:
        """Undo `add_pending`, unless a report has included the task since."""
        if self.pending.pop(id(pending), None) is None:
            return
        if pending.is_long:
            self.pending_long_ms -= pending.work_ms
            self.pending_long -= 1
        else:
            self.pending_short_ms -= pending.work_ms

    def update_by_kind(self) -> None:
        """Sum up the endpoints by kind; call it after changing them."""
        self.by_kind = {}
        for endpoint in self.endpoints:
            for kind in endpoint.kinds:
                total = self.by_kind.setdefault(kind, KindLoad())
                _add_endpoint(total, endpoint)

    def _count(self, pending: PendingTask) -> None:
        self.pending[id(pending)] = pending
        if pending.is_long:
            self.pending_long_ms += pending.work_ms
            self.pending_long += 1
        else:
            self.pending_short_ms += pending.work_ms


@dataclass(frozen=True, slots=True)
class SystemLoad:
    """Total load of all usable agents.

    Parameters
    ----------
    capacity : float
        Milliseconds of work at speed 1.0 done per millisecond when all
        slots are busy: the sum of slots times speed.
    backlog_ms : float
        Time that the queued work takes at full capacity.
    entries : int
        Number of live entries, each assumed to get an equal part of the jobs.
    long_backlog_ms : float
        The part of the backlog that is long work. Short work overtakes it.
    """

    capacity: float
    backlog_ms: float
    entries: int = 1
    long_backlog_ms: float = 0

    def backlog_for(self, is_long: bool) -> float:
        """Return the backlog that delays work of this class, in ms.

        Examples
        --------
        >>> load = SystemLoad(88, 500, long_backlog_ms=400)
        >>> load.backlog_for(is_long=True), load.backlog_for(is_long=False)
        (500, 100)
        """
        if is_long:
            return self.backlog_ms
        return self.backlog_ms - self.long_backlog_ms


def system_load(loads: Iterable[AgentLoad], entries: int = 1) -> SystemLoad:
    """Sum up the load of all usable agents.

    It takes time in proportion to the number of agents, so it should be
    called once per report interval. Without usable capacity the backlog is
    infinite.
    """
    capacity: float = 0
    queued_ms: float = 0
    long_ms: float = 0
    for load in loads:
        if load.usable:
            serving = [x for x in load.endpoints if x.serving]
            capacity += sum(x.slots * x.speed for x in serving)
            queued_ms += load.queued_short_ms + load.queued_long_ms
            long_ms += load.queued_long_ms
            queued_ms += _pending_queued_ms(load, serving)
    if not capacity:
        return SystemLoad(0, float('inf'), entries)
    return SystemLoad(
        capacity, queued_ms / capacity, entries, long_ms / capacity
    )


def _pending_queued_ms(load: AgentLoad, serving: list[EndpointLoad]) -> float:
    """Return the work of the pending tasks beyond the free slots, in ms."""
    free = sum(x.slots - x.busy for x in serving)
    if len(load.pending) <= free:
        return 0
    queued_part = 1 - free / len(load.pending)
    return (load.pending_short_ms + load.pending_long_ms) * queued_part


def _add_endpoint(total: KindLoad, endpoint: EndpointLoad) -> None:
    if not endpoint.serving:
        return
    slots = total.slots + endpoint.slots
    if slots:
        work = total.speed * total.slots + endpoint.speed * endpoint.slots
        total.speed = work / slots
    unlimited = total.serving and total.max_size == 0
    if unlimited or endpoint.max_size == 0:
        total.max_size = 0
    else:
        total.max_size = max(total.max_size, endpoint.max_size)
    total.slots = slots
    total.busy += endpoint.busy
    total.serving = True
