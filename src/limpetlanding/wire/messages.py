"""Messages between the processes of the system.

Times are in milliseconds and relative (time left, time taken), because
the processes share no clock. Payloads are JSON texts in bytes.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

PROTOCOL_VERSION = 1

MESSAGE_TYPES: dict[str, type] = {}


def message(tag: str) -> Callable[[type], type]:
    """Register a message class under the short tag used on the wire."""

    def register(cls: type) -> type:
        if tag in MESSAGE_TYPES:
            raise ValueError(f'message tag {tag!r} is taken')
        MESSAGE_TYPES[tag] = cls
        return cls

    return register


@message('hello')
@dataclass(slots=True)
class Hello:
    """First frame of a link, in each direction."""

    protocol: int
    role: str
    node: str
    incarnation: str
    failure_domain: str
    address: str
    http_address: str
    region: str = ''


@message('hb')
@dataclass(slots=True)
class Heartbeat:
    """Sent when a link has been idle; carries the configuration digest."""

    config_digest: int = 0


@message('error')
@dataclass(slots=True)
class ErrorReply:
    """Reply to a request whose handler failed at the peer."""

    step: str
    peer: str
    detail: str


@message('alloc')
@dataclass(slots=True)
class AllocateIds:
    """Entry to coordinator: asks for a block of sequence numbers."""

    count: int


@message('block')
@dataclass(slots=True)
class IdBlock:
    """Reply to `AllocateIds`."""

    incarnation: str
    first: int
    count: int
    secret: bytes


@dataclass(slots=True)
class TaskSpec:
    """One task of a submission."""

    index: int
    kind: str
    payload: bytes
    expected_ms: float
    p90_ms: float
    size: int = 0


@dataclass(slots=True)
class Placement:
    """Where one task is to run."""

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
    """Entry to coordinator: run this job, or join it."""

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
    """Entry to coordinator: record a refusal of this id."""

    job_id: str
    customer: str
    reason: str
    retry_after_ms: float
    request_id: str = ''


@message('query')
@dataclass(slots=True)
class QueryJob:
    """Entry to coordinator: the state of a job, after up to `wait_ms`."""

    job_id: str
    customer: str
    wait_ms: float = 0


@message('cancel')
@dataclass(slots=True)
class CancelJob:
    """Entry to coordinator: stop what has not started."""

    job_id: str
    customer: str
    request_id: str = ''


@message('answer')
@dataclass(slots=True)
class JobAnswer:
    """What is known of a job; `outcome` is empty while it runs."""

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
    """Coordinator to entry: new placements for tasks not started."""

    job_id: str
    customer: str
    tasks: list[TaskSpec]
    avoid: list[str]
    deadline_ms: float


@message('placed')
@dataclass(slots=True)
class Placements:
    """Reply to `PlaceAgain`; tasks without a place are left out."""

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

    Tasks not started within ``deadline_ms`` never start; a started one is
    awaited for ``run_limit_ms``, or until the deadline if that is 0.
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
    """Reply to `RevokeTasks`; `indices` are those that never start."""

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
    """Entries known to the sender."""

    entries: list[EntryInfo]


@message('want')
@dataclass(slots=True)
class ConfigRequest:
    """The sender's version for each customer.

    Without versions it asks only how old the receiver's knowledge is, which
    the receiver tells if `digest` is its own.
    """

    versions: dict[str, int]
    digest: int = 0


@message('records')
@dataclass(slots=True)
class ConfigRecords:
    """Log records (JSON) that the requester lacks.

    `age_s` is for how long the sender cannot tell whether newer versions
    exist; negative if it does not say.
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
    """Reply to `ShareRequest`."""

    customer: str
    amount: int
    lease_ms: float
    grant_id: str = ''


@message('return')
@dataclass(slots=True)
class ShareReturn:
    """Borrower to lender: the grant is no longer used."""

    customer: str
    grant_id: str


@message('handover')
@dataclass(slots=True)
class Handover:
    """Stopping agent to successor: its coordinator records."""

    incarnation: str
    secret: bytes
    next_sequence: int
    records: list[bytes]
    last: bool = True


@message('ack')
@dataclass(slots=True)
class Ack:
    """Reply without content."""

    ok: bool = True
    detail: str = ''


@message('moved')
@dataclass(slots=True)
class CoordinatorMoved:
    """A successor answers for an incarnation."""

    incarnation: str
    successor: str
    successor_incarnation: str


@message('locate')
@dataclass(slots=True)
class LocateCoordinator:
    """Asks whether the receiver answers for an incarnation."""

    incarnation: str


@message('located')
@dataclass(slots=True)
class Located:
    """Reply to `LocateCoordinator`."""

    incarnation: str
    known: bool
