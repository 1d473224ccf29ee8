"""State of the active jobs of a front."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from math import inf

from limpetlanding.runs.model import Job, JobState, Queue, Step
from limpetlanding.wire.run_messages import run_key

MAX_SUSPECT_FAILURES = 6
"""Failures of one task at suspect executors after which its job fails; stalled
runs count as such. They say little about the task, but a task that crashes its
executors must not be repeated without limit."""

USELESS_AFTER_FACTOR = 3
"""Multiple of its objective within which the answer of a late job has a value
for the client, according to the documentation of the platform."""


@dataclass(slots=True, eq=False)
class ActiveTask:
    """One task of an active job.

    Parameters
    ----------
    job : ActiveJob
        Job of the task.
    step : Step
        Step of the task.
    step_index : int
        Index of the step in the job.
    name : str
        Name of the task at the executors.
    """

    job: 'ActiveJob'
    step: Step
    step_index: int
    name: str
    run: int = 0
    worker: str = ''
    failures: int = 0
    suspect_failures: int = 0
    # Workers at which a run of the task ended before it was done.
    failed_workers: set[str] = field(default_factory=set)
    # Monotonic time until which a worker that refused this task is left out.
    excluded_until: dict[str, float] = field(default_factory=dict)
    done: bool = False

    @property
    def key(self) -> str:
        """Name of the current run."""
        return run_key(self.name, self.run)


@dataclass(slots=True, eq=False)
class ActiveJob:
    """A job from its submission until its answer.

    Parameters
    ----------
    job : Job
        The job as submitted.
    queue : Queue
        Queue of the job.
    submitted_at : float
        Time of the submission, in monotonic seconds.
    catalog_version : int
        Version of the configuration under which the job was accepted.
    outcome : asyncio.Future
        Receives the final state, or the error that the clients receive.
    wait_s : float
        How long the client waits, in seconds.
    """

    job: Job
    queue: Queue
    submitted_at: float
    catalog_version: int
    outcome: asyncio.Future[JobState]
    wait_s: float = inf
    waiting: list[ActiveTask] = field(default_factory=list)
    placed: dict[str, ActiveTask] = field(default_factory=dict)
    unfinished_tasks: Counter[int] = field(default_factory=Counter)
    started_steps: set[int] = field(default_factory=set)
    # When the first task was ordered from a worker; None before that.
    first_ordered_at: float | None = None
    # Orders without an answer so far, and whether a task may have been started.
    unanswered_orders: int = 0
    may_have_run: bool = False
    # Of each waiting client, whether it still holds its connection.
    clients: list[Callable[[], bool]] = field(default_factory=list)
    ended: bool = False
    no_runs_left: asyncio.Event = field(default_factory=asyncio.Event)
    workers: set[str] = field(default_factory=set)
    # Run time of the longest chain from each step on, and the time by which the
    # job must end to be on time.
    longest_chains_s: list[float] = field(init=False)
    due_at: float = field(init=False)
    # Time at which the client stops waiting.
    waits_until: float = field(init=False)
    # Time after which the answer has no value for the client.
    useful_until: float = field(init=False)
    # Number of runs of each task so far, by name of the task.
    runs: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        """Compute the fields that follow from the declared run times."""
        self.longest_chains_s = _longest_chains_s(self.job.steps)
        aim_s = objective_s(self.job, self.queue)
        self.due_at = self.submitted_at + aim_s
        self.waits_until = self.submitted_at + self.wait_s
        self.useful_until = min(
            self.submitted_at + USELESS_AFTER_FACTOR * aim_s, self.waits_until
        )

    def latest_start(self, run_ratio: float) -> float:
        """Return when the waiting tasks must start for the job to be on time.

        Parameters
        ----------
        run_ratio : float
            Expected run time as a multiple of the declared one.
        """
        return self.due_at - self.longest_waiting_s * run_ratio

    @property
    def longest_waiting_s(self) -> float:
        """Declared run time of the longest chain from a waiting task on."""
        return max(
            (self.longest_chains_s[task.step_index] for task in self.waiting),
            default=0,
        )

    @property
    def has_run(self) -> bool:
        """Whether a task may have been started or may yet be."""
        return self.may_have_run or self.unanswered_orders > 0

    @property
    def is_wanted(self) -> bool:
        """Whether a client still waits for the answer."""
        return not self.ended and any(
            is_connected() for is_connected in self.clients
        )

    def remove_run(self, task: ActiveTask) -> None:
        """Record that a task has no run at any worker."""
        if self.placed.get(task.name) is task:
            self.placed.pop(task.name)
        if not self.placed:
            self.no_runs_left.set()

    def release_steps(self) -> None:
        """Add the tasks of steps whose dependencies are done to `waiting`."""
        for index, step in enumerate(self.job.steps):
            if index in self.started_steps:
                continue
            if all(self.is_step_done(x) for x in step.after):
                self.started_steps.add(index)
                self.unfinished_tasks[index] = step.count
                self.waiting += self._tasks_of(index, step)

    def is_step_done(self, index: int) -> bool:
        """Tell whether all tasks of a step are done."""
        return index in self.started_steps and not self.unfinished_tasks[index]

    def is_done(self) -> bool:
        """Tell whether all tasks of all steps are done."""
        return all(map(self.is_step_done, range(len(self.job.steps))))

    def place(self, task: ActiveTask, worker: str) -> None:
        """Assign a task to a worker, as a run with a new number."""
        self.runs[task.name] += 1
        task.run = self.runs[task.name]
        task.worker = worker
        self.placed[task.name] = task
        self.workers.add(worker)

    def _tasks_of(self, index: int, step: Step) -> Iterator[ActiveTask]:
        for number in range(step.count):
            name = f'{self.job.job_id}.0.{index}.{number}'
            yield ActiveTask(self, step, index, name)


def objective_s(job: Job, queue: Queue) -> float:
    """Return the time in seconds within which a job must end to be on time.

    Examples
    --------
    >>> from limpetlanding.runs.model import Resources
    >>> job = Job('5c0e7a21d94b36f8', '', (Step(1, Resources(), 200),))
    >>> queue = Queue('quotes', '', '', '', stretch=1.5, target_ms=60)
    >>> round(objective_s(job, queue), 3)
    0.36
    """
    longest_s = max(_longest_chains_s(job.steps), default=0)
    return longest_s * queue.stretch + queue.target_ms / 1000


def _longest_chains_s(steps: tuple[Step, ...]) -> list[float]:
    """Return the declared run time of the longest chain from each step on.

    Examples
    --------
    >>> from limpetlanding.runs.model import Resources
    >>> first = Step(1, Resources(), 200)
    >>> second = Step(1, Resources(), 300, after=(0,))
    >>> _longest_chains_s((first, second))
    [0.5, 0.3]
    """
    chains = [step.estimate_ms / 1000 for step in steps]
    for index in reversed(range(len(steps))):
        for earlier in steps[index].after:
            own_s = steps[earlier].estimate_ms / 1000
            chains[earlier] = max(chains[earlier], own_s + chains[index])
    return chains
