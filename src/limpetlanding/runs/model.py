"""Jobs of steps, the room they need, and the catalog of queues."""

from dataclasses import dataclass, field
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class Resources:
    """Capacity of a worker, or the part of it that a task needs.

    Parameters
    ----------
    cpu : int
        Thousandths of a core.
    memory_mb : int
        Memory in MB.
    gpu : int
        Accelerators.
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
        """Tell whether `need` is at most this room in every dimension.

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
    """Tasks of a job that have the same needs.

    Parameters
    ----------
    count : int
        Number of tasks.
    need : Resources
        What each task occupies while it runs.
    estimate_ms : float
        Declared run time of a task; 0 if none was declared.
    after : tuple of int
        Earlier steps whose tasks must all be done first.
    label : str
        Label that the worker must have; empty for any worker.
    data_rack : str
        Rack of the data; tasks are slower on other racks.
    max_tasks_per_worker : int
        Bound on the tasks of the step on one worker; 0 for none.
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
        The steps; a step refers to earlier ones only.
    """

    job_id: str
    spec: str
    steps: tuple[Step, ...]


@dataclass(frozen=True, slots=True)
class Queue:
    """Contract of one queue of jobs.

    Parameters
    ----------
    name : str
        Name.
    host, prefix : str
        Host and path prefix that select the queue.
    pool : str
        Pool of workers that runs the tasks.
    priority : int
        0 comes first.
    max_attempts : int
        A job has failed once a task has failed this often.
    stretch : float
        Accepted run time of a job, as a multiple of its longest chain.
    target_ms : float
        Accepted latency on top of the stretched chain.
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
        Rises with each change.
    queues : list of Queue
        All queues.
    pools : list of str
        All pools of workers.
    max_body_bytes : int
        Longest accepted body of a submission.
    """

    version: int = 0
    queues: list[Queue] = field(default_factory=list)
    pools: list[str] = field(default_factory=list)
    max_body_bytes: int = 262_144


class JobState(StrEnum):
    """State of a job that its client is told."""

    COMPLETED = 'completed'
    FAILED = 'failed'


class RunEnd(StrEnum):
    """How a run of a task ended."""

    DONE = 'done'
    FAILED = 'failed'
    # Stopped because the job or its front is gone.
    STOPPED = 'stopped'
    # The lease ran out, or the executor restarted.
    LAPSED = 'lapsed'
    # The executor refused the start; the run has not begun and never will.
    REFUSED = 'refused'
    # The executor has seen this run number or a higher one.
    OUTDATED = 'outdated'
    # Stopped since it made no progress.
    STALLED = 'stalled'
