"""Messages between fronts and workers about runs of tasks."""

from dataclasses import dataclass, field

from limpetlanding.wire.messages import message


def run_key(task: str, run: int) -> str:
    """Return the name of a run.

    Examples
    --------
    >>> run_key('5c0e.0.1.17', 2)
    '5c0e.0.1.17/2'
    """
    return f'{task}/{run}'


@dataclass(slots=True)
class RunOrder:
    """One run that a worker is asked to start."""

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
    """Worker to front: what can be started at its executor now.

    ``executor`` names one life of the executor and is empty while none is
    known; ``run_ratio`` is the run time of recent tasks as a multiple of
    their estimates.
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


@message('start')
@dataclass(slots=True)
class StartRuns:
    """Front to worker: start these runs of one job if there is room."""

    job_id: str
    pool: str
    spec: str
    orders: list[RunOrder]


@message('taken')
@dataclass(slots=True)
class RunsAccepted:
    """Reply to `StartRuns`: the tasks that were taken, and the room left."""

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
    """Worker to front: runs that have ended, and the room left."""

    outcomes: list[RunOutcome]
    report: WorkerReport


@message('stop')
@dataclass(slots=True)
class StopRuns:
    """Front to worker: stop these runs; `RunsEnded` follows for each.

    Runs that the worker does not hold are barred.
    """

    runs: list[str]
    reason: str


@message('held')
@dataclass(slots=True)
class ExpectedRuns:
    """Front to worker after a lost link: the runs it believes are there.

    The worker reports the end of those that it does not hold, and stops what
    it holds for this front beyond these and those that are being ordered.
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
    """A client has cancelled a job, which another front may be running."""

    job_id: str


@message('workers')
@dataclass(slots=True)
class KnownWorkers:
    """Addresses of workers that the sender knows."""

    addresses: list[str] = field(default_factory=list)
