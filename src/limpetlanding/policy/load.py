"""Load of an agent as an entry sees it."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from limpetlanding.wire import EndpointLoad, LoadReport

LONG_TASK_MS = 1000
"""Tasks expected to run at least this long belong to the long class."""

PENDING_SETTLE_MS = 10
"""A report shows a task only after its way entry - coordinator - executor;
younger placements stay counted on top of the report."""


@dataclass(slots=True)
class KindLoad:
    """What one agent offers to tasks of one kind.

    `speed` is the mean speed of the slots; `max_size` of 0 means unlimited.
    """

    slots: int = 0
    busy: int = 0
    speed: float = 1.0
    max_size: int = 0
    serving: bool = False


@dataclass(slots=True, eq=False)
class PendingTask:
    """A task placed since the last report."""

    placed_at: float
    work_ms: float
    is_long: bool


@dataclass(slots=True, eq=False)
class AgentLoad:
    """Load of one agent: its last report and what was placed since.

    Work (``queued_short_ms``, ``queued_long_ms``) is the sum of expected run
    times at speed 1.0 in milliseconds, without the running tasks. Clock
    values are monotonic seconds. ``pending_*`` sum up ``pending``.
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
        """Whether new tasks may be placed here."""
        return not (self.suspect or self.draining or self.ejected)

    def apply_report(self, report: LoadReport, now: float) -> None:
        """Take over a report that arrived at `now`."""
        self.endpoints = report.endpoints
        self.queued_short_ms = report.queued_short_ms
        self.queued_long_ms = report.queued_long_ms
        self.long_busy = report.long_busy
        self.draining = report.draining
        settled = now - PENDING_SETTLE_MS / 1000
        kept = [x for x in self.pending.values() if x.placed_at > settled]
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
        """Count a task placed here at `now`."""
        pending = PendingTask(now, work_ms, is_long)
        self._count(pending)
        return pending

    def remove_pending(self, pending: PendingTask) -> None:
        """Take back `add_pending`; a no-op once a report settled it."""
        if self.pending.pop(id(pending), None) is None:
            return
        if pending.is_long:
            self.pending_long_ms -= pending.work_ms
            self.pending_long -= 1
        else:
            self.pending_short_ms -= pending.work_ms

    def update_by_kind(self) -> None:
        """Sum up the endpoints by kind; needed after changing them."""
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
    """Load of all usable agents together.

    Parameters
    ----------
    capacity : float
        Milliseconds of work at speed 1.0 done per millisecond when all
        slots are busy: the sum of slots times speed.
    backlog_ms : float
        Time that the queued work takes at full capacity.
    entries : int
        Live entries; each is taken to see an equal part of the demand.
    long_backlog_ms : float
        The part of the backlog that is long work; short work passes it.
    """

    capacity: float
    backlog_ms: float
    entries: int = 1
    long_backlog_ms: float = 0

    def backlog_for(self, is_long: bool) -> float:
        """Return the backlog that work of this class waits for, in ms.

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
    """Sum up a view; O(agents), so meant for once per report interval."""
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
    """Return the work of the pending tasks that find no free slot."""
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
