"""Messages between entries and agents.

Times are in milliseconds unless the name of a field says otherwise. They are
durations (time left, time spent), because the processes share no clock.
Payloads are JSON texts encoded as bytes.
"""

from dataclasses import dataclass, field

from limpetlanding.wire.messages import message


@message('alloc')
@dataclass(slots=True)
class AllocateIds:
    """Entry to coordinator: asks for a block of sequence numbers."""

    count: int


@message('block')
@dataclass(slots=True)
class IdBlock:
    """Reply to `AllocateIds`: ``count`` sequence numbers from ``first`` on."""

    incarnation: str
    first: int
    count: int
    secret: bytes


@dataclass(slots=True)
class TaskSpec:
    """One task of a job."""

    index: int
    kind: str
    payload: bytes
    expected_ms: float
    p90_ms: float
    size: int = 0


@dataclass(slots=True)
class Placement:
    """Agent on which one task is to run."""

    index: int
    agent: str
    incarnation: str
    address: str


@dataclass(slots=True)
class TaskResult:
    """Result of one finished task."""

    index: int
    payload: bytes
    run_ms: float
    queue_ms: float
    agent: str
    endpoint: str
    speed: float = 1.0


@message('submit')
@dataclass(slots=True)
class SubmitJob:
    """Entry to coordinator: run a job, or wait for it if it runs already."""

    job_id: str
    customer: str
    body_digest: str
    tasks: list[TaskSpec]
    placements: list[Placement]
    deadline_ms: float
    repeatable: bool
    weight: float = 1.0
    wait_ms: float = 0
    request_id: str = ''
    traceparent: str = ''


@message('refuse')
@dataclass(slots=True)
class RefuseJob:
    """Entry to coordinator: record that a job is refused."""

    job_id: str
    customer: str
    reason: str
    retry_after_ms: float
    request_id: str = ''


@message('query')
@dataclass(slots=True)
class QueryJob:
    """Entry to coordinator: asks for the state of a job.

    If the job has not ended, the reply is delayed by at most ``wait_ms``.
    """

    job_id: str
    customer: str
    wait_ms: float = 0


@message('cancel')
@dataclass(slots=True)
class CancelJob:
    """Entry to coordinator: cancel the tasks that have not started."""

    job_id: str
    customer: str
    request_id: str = ''


@message('answer')
@dataclass(slots=True)
class JobAnswer:
    """State of a job; ``outcome`` is empty while it runs."""

    job_id: str
    outcome: str
    reason: str = ''
    task_count: int = 0
    digest: str = ''
    results: list[TaskResult] = field(default_factory=list)
    step: str = ''
    peer: str = ''
    detail: str = ''
    retry_after_ms: float = 0
    blame: str = ''


@message('place')
@dataclass(slots=True)
class PlaceAgain:
    """Coordinator to entry: asks for new placements of tasks not started."""

    job_id: str
    customer: str
    tasks: list[TaskSpec]
    avoid: list[str]
    deadline_ms: float


@message('placed')
@dataclass(slots=True)
class Placements:
    """Reply to `PlaceAgain`; tasks that cannot be placed are left out."""

    placements: list[Placement]
    reason: str = ''


@message('move')
@dataclass(slots=True)
class MoveTasks:
    """Entry to coordinator: move tasks that have not started."""

    job_id: str
    placements: list[Placement]


@message('run')
@dataclass(slots=True)
class RunTasks:
    """Coordinator to executor: queue and run these tasks.

    Tasks not started within ``deadline_ms`` never start. The executor waits for
    a started task until ``run_limit_ms`` or ``deadline_ms`` has passed,
    whichever is later; both count from the arrival of the message.
    """

    job_id: str
    target_incarnation: str
    customer: str
    tasks: list[TaskSpec]
    deadline_ms: float
    weight: float = 1.0
    request_id: str = ''
    traceparent: str = ''
    run_limit_ms: float = 0


@dataclass(slots=True)
class TaskReport:
    """State of one task at the executor."""

    index: int
    state: str
    reason: str = ''
    result: TaskResult | None = None
    detail: str = ''
    blame: str = ''


@message('report')
@dataclass(slots=True)
class TaskReports:
    """Executor to coordinator: states of tasks of one job."""

    job_id: str
    reports: list[TaskReport]


@message('revoke')
@dataclass(slots=True)
class RevokeTasks:
    """Coordinator to executor: never start these tasks."""

    job_id: str
    target_incarnation: str
    indices: list[int]


@message('revoked')
@dataclass(slots=True)
class Revoked:
    """Reply to `RevokeTasks`; ``indices`` are those that will never start."""

    job_id: str
    indices: list[int]


@dataclass(slots=True)
class EndpointLoad:
    """Load of one endpoint."""

    endpoint: str
    kinds: list[str]
    slots: int
    busy: int
    speed: float
    serving: bool = True
    max_size: int = 0


@message('load')
@dataclass(slots=True)
class LoadReport:
    """Agent to entry: load of its executor."""

    endpoints: list[EndpointLoad]
    queued_short_ms: float
    queued_long_ms: float
    queued: int
    long_busy: int
    received: int
    draining: bool = False


@dataclass(slots=True)
class EntryInfo:
    """Address of one entry."""

    node: str
    incarnation: str
    address: str
    failure_domain: str
    region: str
    http_address: str = ''


@message('members')
@dataclass(slots=True)
class Members:
    """Entries that the sender knows."""

    entries: list[EntryInfo]


@message('want')
@dataclass(slots=True)
class ConfigRequest:
    """Asks for configuration records newer than the sender's.

    ``versions`` maps each customer to the version that the sender has, and
    ``digest`` is the digest of the sender's configuration. A request with a
    digest but without versions asks only for ``age_s``.
    """

    versions: dict[str, int]
    digest: int = 0


@message('records')
@dataclass(slots=True)
class ConfigRecords:
    """Reply to `ConfigRequest`: log records (JSON) that the requester lacks.

    ``age_s`` is the time in seconds since the sender last knew that no newer
    version existed. It is negative if the sender does not know, or if the
    digest in the request differs from its own.
    """

    records: list[bytes]
    age_s: float = -1


@message('share')
@dataclass(slots=True)
class ShareRequest:
    """Entry to entry: asks to borrow part of a customer's limit."""

    customer: str
    amount: int


@message('grant')
@dataclass(slots=True)
class ShareGrant:
    """Reply to `ShareRequest`: the amount lent, for ``lease_ms``."""

    customer: str
    amount: int
    lease_ms: float
    grant_id: str = ''


@message('return')
@dataclass(slots=True)
class ShareReturn:
    """Borrowing entry to lending entry: the grant is no longer used."""

    customer: str
    grant_id: str


@message('handover')
@dataclass(slots=True)
class Handover:
    """Stopping agent to its successor: the records of its coordinator.

    Several messages may follow one another; ``last`` marks the last one.
    """

    incarnation: str
    secret: bytes
    next_sequence: int
    records: list[bytes]
    last: bool = True


@message('moved')
@dataclass(slots=True)
class CoordinatorMoved:
    """Tells that a successor now coordinates the jobs of an incarnation."""

    incarnation: str
    successor: str
    successor_incarnation: str


@message('locate')
@dataclass(slots=True)
class LocateCoordinator:
    """Asks whether the receiver coordinates the jobs of an incarnation."""

    incarnation: str


@message('located')
@dataclass(slots=True)
class Located:
    """Reply to `LocateCoordinator`."""

    incarnation: str
    known: bool
