"""Jobs and their steps, the resources they need, and the queues."""

from dataclasses import dataclass, field
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class Resources:
    """Resources of a worker, or those that a task needs.

    Parameters
    ----------
    cpu : int
        Processors, in thousandths of a core.
    memory_mb : int
        Memory in MB.
    gpu : int
        Number of accelerators.
    """

    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0

    def __add__(self, other: 'Resources') -> 'Resources':
        return Resources(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.gpu + other.gpu,
        )

    def __sub__(self, other: 'Resources') -> 'Resources':
        return Resources(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.gpu - other.gpu,
        )

    def covers(self, need: 'Resources') -> bool:
        """Tell whether each resource in `need` is available here.

        Examples
        --------
        >>> Resources(4000, 1024).covers(Resources(4000, 64))
        True
        >>> Resources(4000, 1024).covers(Resources(1, 1, 1))
        False
        """
        return (
            need.cpu <= self.cpu
            and need.memory_mb <= self.memory_mb
            and need.gpu <= self.gpu
        )


@dataclass(frozen=True, slots=True)
class Step:
    """A group of identical tasks of a job.

    Parameters
    ----------
    count : int
        Number of tasks.
    need : Resources
        Resources that each task occupies while it runs.
    estimate_ms : float
        Declared run time of a task in milliseconds; 0 if none was declared.
    after : tuple of int
        Indexes of the steps whose tasks must all be done first.
    label : str
        Label that the worker must have; empty if any worker will do.
    data_rack : str
        Rack that stores the data; tasks are slower on other racks. Empty if
        no rack is preferred.
    max_tasks_per_worker : int
        Most tasks of the step on one worker at a time; 0 for no limit.
    """

    count: int
    need: Resources
    estimate_ms: float = 0
    after: tuple[int, ...] = ()
    label: str = ''
    data_rack: str = ''
    max_tasks_per_worker: int = 0


@dataclass(frozen=True, slots=True)
class Job:
    """A submitted job.

    Parameters
    ----------
    job_id : str
        Id chosen by the client.
    spec : str
        Opaque text that is passed to each task.
    steps : tuple of Step
        The steps; a step depends on earlier ones only.
    """

    job_id: str
    spec: str
    steps: tuple[Step, ...]


@dataclass(frozen=True, slots=True)
class Queue:
    """Settings of one queue of jobs.

    Parameters
    ----------
    name : str
        Name of the queue.
    host, prefix : str
        Host and path prefix of the requests that belong to the queue.
    pool : str
        Pool of workers that runs the tasks.
    priority : int
        Priority of its jobs; 0 is the highest.
    max_attempts : int
        A job fails once one of its tasks has failed this many times.
    stretch : float
        Accepted run time of a job, as a multiple of the declared run time
        of its longest chain of dependent steps.
    target_ms : float
        Accepted latency in milliseconds in addition to that run time.
    """

    name: str
    host: str
    prefix: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1
    target_ms: float = 0


@dataclass(frozen=True, slots=True)
class Catalog:
    """One version of the configuration: all queues and limits.

    Parameters
    ----------
    version : int
        Version number; it rises with each change.
    queues : list of Queue
        All queues.
    pools : list of str
        Names of all pools of workers.
    max_body_bytes : int
        Size limit of the body of a submission.
    """

    version: int = 0
    queues: list[Queue] = field(default_factory=list)
    pools: list[str] = field(default_factory=list)
    max_body_bytes: int = 262_144


class JobState(StrEnum):
    """Final state of a job, as reported to its client."""

    COMPLETED = 'completed'
    FAILED = 'failed'


class RunEnd(StrEnum):
    """How a run of a task ended."""

    DONE = 'done'
    FAILED = 'failed'
    # Stopped because the job has ended, its front was lost or the worker stops.
    STOPPED = 'stopped'
    # The lease expired, the executor has left or the run was not found.
    LAPSED = 'lapsed'
    # The executor crashed.
    CRASHED = 'crashed'
    # The start was refused, dropped or not answered; if the run may have
    # started nevertheless, it has been stopped.
    REFUSED = 'refused'
    # The executor has seen this run number or a higher one.
    OUTDATED = 'outdated'
    # Stopped because it made no progress.
    STALLED = 'stalled'
