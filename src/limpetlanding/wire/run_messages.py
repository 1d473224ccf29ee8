"""Messages between fronts and workers.

A run is one attempt to execute a task; the runs of a task are numbered.
"""

from dataclasses import dataclass, field

from limpetlanding.wire.messages import message


def run_key(task: str, run: int) -> str:
    """Return the key of a run: the name of its task and its run number.

    Examples
    --------
    >>> run_key('5c0e.0.1.17', 2)
    '5c0e.0.1.17/2'
    """
    return f'{task}/{run}'


@dataclass(slots=True)
class RunOrder:
    """One run that a worker is asked to start, and the resources it needs."""

    task: str
    run: int
    cpu: int
    memory_mb: int
    gpu: int
    estimate_ms: float
    checkpoint: str = ''


@message('worker')
@dataclass(slots=True)
class WorkerReport:
    """Worker to front: state and free resources of the worker's executor.

    ``executor`` names an incarnation of the executor and is empty while none
    is known. ``run_ratio`` is the run time of recent tasks as a multiple of
    their estimates. ``revision`` rises when the executor is replaced, or
    announces another pool or other labels; an earlier build leaves it 0.
    """

    executor: str
    pool: str
    failure_domain: str
    labels: list[str]
    cpu: int
    memory_mb: int
    gpu: int
    free_cpu: int
    free_memory_mb: int
    free_gpu: int
    accepting: bool
    health: str
    run_ratio: float = 1
    revision: int = 0


@message('start')
@dataclass(slots=True)
class StartRuns:
    """Front to worker: start these runs of one job if resources allow it.

    If ``is_trial``, they may crash the executor: no run of another job is
    started shortly before or after them, so that a crash shows its cause.
    ``executor`` and ``revision`` are those of the report by which the front
    chose the worker; the order is rejected if they have changed. An earlier
    build leaves them empty.
    """

    job_id: str
    pool: str
    spec: str
    orders: list[RunOrder]
    is_trial: bool = False
    executor: str = ''
    revision: int = 0


@message('taken')
@dataclass(slots=True)
class RunsAccepted:
    """Reply to `StartRuns`: the accepted tasks, and the free resources."""

    taken: list[str]
    reason: str
    report: WorkerReport


@dataclass(slots=True)
class RunOutcome:
    """End of one run."""

    task: str
    run: int
    how: str
    run_ms: float = 0
    suspect: bool = False


@message('ended')
@dataclass(slots=True)
class RunsEnded:
    """Worker to front: runs that have ended, and the free resources."""

    outcomes: list[RunOutcome]
    report: WorkerReport


@message('crash')
@dataclass(slots=True)
class ExecutorLost:
    """Worker or front to front: an executor is lost, or has answered again.

    The tasks are those that had runs there; ``recent_tasks`` were started
    shortly before, and ``unconfirmed_tasks`` perhaps not at all. ``kind`` is 0
    if it is only silent so far, 1 if it has crashed, 2 if it has answered
    again.
    """

    loss_id: str
    recent_tasks: list[str]
    other_tasks: list[str]
    kind: int
    age_ms: float = 0
    unconfirmed_tasks: list[str] = field(default_factory=list)


@message('stop')
@dataclass(slots=True)
class StopRuns:
    """Front to worker: stop these runs; `RunsEnded` follows for each.

    The worker blocks a later start of those that it does not have.
    """

    runs: list[str]
    reason: str


@message('held')
@dataclass(slots=True)
class ExpectedRuns:
    """Front to worker after a lost link: the runs that the worker should have.

    The worker reports the end of those in ``runs`` that it does not have. It
    stops the runs of this front that are neither in ``runs`` nor in
    ``ordered``, which are those that the front is ordering at the moment.
    """

    runs: list[str]
    ordered: list[str]


@message('catalog')
@dataclass(slots=True)
class CatalogUpdate:
    """The newest configuration that the sender knows."""

    version: int
    body: bytes


@message('job.cancelled')
@dataclass(slots=True)
class JobCancelled:
    """Request, front to front: a client has cancelled a job.

    The receiver may be the front that runs the job. The reply follows once the
    receiver and the fronts to which it passes the message on know it.

    ``told`` names the fronts that the sender and those before it tell, and the
    receiver does not. ``wave`` identifies the cancellation by a client; the
    receiver has until ``deadline_ms``. An earlier build sends a notification
    without these fields.
    """

    job_id: str
    told: list[str] = field(default_factory=list)
    deadline_ms: float = 0
    wave: str = ''


@message('jobs.cancelled')
@dataclass(slots=True)
class CancelledJobs:
    """Request, front to front over a new link: the known cancelled jobs.

    ``ages_ms`` has the time since each of them was cancelled.
    """

    job_ids: list[str]
    ages_ms: list[float]


@message('workers')
@dataclass(slots=True)
class KnownWorkers:
    """Front to front: addresses of the workers that the sender knows.

    ``failure_domains`` has the domain of each address, empty if unknown; it is
    empty as a whole if the sender does not know any.
    """

    addresses: list[str] = field(default_factory=list)
    failure_domains: list[str] = field(default_factory=list)
