"""Load of an agent as an entry sees it."""

from dataclasses import dataclass, field

from limpetlanding.wire import EndpointLoad, LoadReport

LONG_MS = 1000
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


@dataclass(slots=True)
class Pending:
    """A task placed since the last report."""

    placed_at: float
    work_ms: float
    is_long: bool


@dataclass(slots=True)
class AgentLoad:
    """Load of one agent: its last report and what was placed since.

    Work (``queued_short_ms``, ``queued_long_ms``) is the sum of expected run
    times at speed 1.0 in milliseconds, without the running tasks. Clock
    values are monotonic seconds.
    """

    agent: str
    incarnation: str
    address: str
    failure_domain: str
    endpoints: list[EndpointLoad] = field(default_factory=list)
    queued_short_ms: float = 0
    queued_long_ms: float = 0
    long_busy: int = 0
    pending: list[Pending] = field(default_factory=list)
    suspect: bool = False
    draining: bool = False
    ejected: bool = False
    by_kind: dict[str, KindLoad] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.refresh()

    @property
    def usable(self) -> bool:
        """Whether new tasks may be placed here."""
        return not (self.suspect or self.draining or self.ejected)

    def apply(self, report: LoadReport, now: float) -> None:
        """Take over a report that arrived at `now`."""
        self.endpoints = report.endpoints
        self.queued_short_ms = report.queued_short_ms
        self.queued_long_ms = report.queued_long_ms
        self.long_busy = report.long_busy
        self.draining = report.draining
        settled = now - PENDING_SETTLE_MS / 1000
        self.pending = [p for p in self.pending if p.placed_at > settled]
        self.refresh()

    def add_pending(self, expected_ms: float, now: float) -> Pending:
        """Count a task placed here at `now`."""
        pending = Pending(now, expected_ms, expected_ms >= LONG_MS)
        self.pending.append(pending)
        return pending

    def drop_pending(self, pending: Pending) -> None:
        """Take back `add_pending`; a no-op once a report settled it."""
        self.pending = [p for p in self.pending if p is not pending]

    def refresh(self) -> None:
        """Sum up the endpoints by kind; needed after changing them."""
        self.by_kind = {}
        for endpoint in self.endpoints:
            for kind in endpoint.kinds:
                total = self.by_kind.setdefault(kind, KindLoad())
                _add_endpoint(total, endpoint)


def _add_endpoint(total: KindLoad, endpoint: EndpointLoad) -> None:
    if not endpoint.serving:
        return
    slots = total.slots + endpoint.slots
    if slots:
        work = total.speed * total.slots + endpoint.speed * endpoint.slots
        total.speed = work / slots
    unlimited = endpoint.max_size == 0 or (total.serving and not total.max_size)
    total.max_size = 0 if unlimited else max(total.max_size, endpoint.max_size)
    total.slots = slots
    total.busy += endpoint.busy
    total.serving = True
