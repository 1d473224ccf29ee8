"""State of the jobs that a front is running."""

import asyncio
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from limpetlanding.runs.model import Job, JobState, Queue, Step
from limpetlanding.wire.run_messages import run_key

MAX_SUSPECT_FAILURES = 6
"""Failures at suspect executors that a task survives; these say little about
the task, but a task that crashes its executor must not go on for ever."""


@dataclass(slots=True, eq=False)
class ActiveTask:
    """One task of an active job.

    Parameters
    ----------
    job : ActiveJob
        Its job.
    step : Step
        Its step.
    step_index : int
        Number of the step.
    name : str
        Name on the executors.
    """

    job: 'ActiveJob'
    step: Step
    step_index: int
    name: str
    run: int = 0
    worker: str = ''
    failures: int = 0
    suspect_failures: int = 0
    avoid: set[str] = field(default_factory=set)
    # When workers may be asked again that refused this very task.
    excluded: dict[str, float] = field(default_factory=dict)
    done: bool = False

    @property
    def key(self) -> str:
        """Name of the present run."""
        return run_key(self.name, self.run)


@dataclass(slots=True, eq=False)
class ActiveJob:
    """A job from its submission until its answer.

    Parameters
    ----------
    job : Job
        The submission.
    queue : Queue
        Its queue.
    arrived : float
        Monotonic seconds.
    catalog_version : int
        Version of the configuration that admitted it.
    """

    job: Job
    queue: Queue
    arrived: float
    catalog_version: int
    outcome: asyncio.Future[JobState]
    waiting: list[ActiveTask] = field(default_factory=list)
    placed: dict[str, ActiveTask] = field(default_factory=dict)
    left: Counter[int] = field(default_factory=Counter)
    started_steps: set[int] = field(default_factory=set)
    # When the first task was ordered from a worker; none before.
    first_ordered: float | None = None
    # Orders without an answer yet, and whether a task may have been started.
    open_orders: int = 0
    may_have_run: bool = False
    watchers: int = 0
    ended: bool = False
    vacated: asyncio.Event = field(default_factory=asyncio.Event)
    workers: set[str] = field(default_factory=set)
    # Longest chain that begins with each step, and the end of the objective.
    chains_s: list[float] = field(init=False)
    due: float = field(init=False)
    runs: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        """Work out what follows from the declared run times."""
        self.chains_s = _chains_s(self.job.steps)
        self.due = self.arrived + objective_s(self.job, self.queue)

    def latest_start(self, run_ratio: float) -> float:
        """Return when the waiting tasks have to start to be on time.

        Parameters
        ----------
        run_ratio : float
            Expected run time as a multiple of the declared one.
        """
        longest_s = max(
            (self.chains_s[task.step_index] for task in self.waiting),
            default=0,
        )
        return self.due - longest_s * run_ratio

    @property
    def has_run(self) -> bool:
        """Whether a task has been started, or may yet be."""
        return self.may_have_run or self.open_orders > 0

    def remove_placed(self, task: ActiveTask) -> None:
        """Note that no run of a task is left."""
        if self.placed.get(task.name) is task:
            self.placed.pop(task.name)
        if not self.placed:
            self.vacated.set()

    def release_steps(self) -> None:
        """Make the tasks of steps wait whose earlier steps are done."""
        for index, step in enumerate(self.job.steps):
            if index in self.started_steps:
                continue
            if all(self.is_step_done(x) for x in step.after):
                self.started_steps.add(index)
                self.left[index] = step.count
                self.waiting += self._tasks_of(index, step)

    def is_step_done(self, index: int) -> bool:
        """Tell whether all tasks of a step are done."""
        return index in self.started_steps and not self.left[index]

    def is_done(self) -> bool:
        """Tell whether all tasks of all steps are done."""
        return all(map(self.is_step_done, range(len(self.job.steps))))

    def place(self, task: ActiveTask, worker: str) -> None:
        """Begin a run, with a number that no earlier run of the task had."""
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
    """Return the run time, in seconds, up to which a job is on time.

    Examples
    --------
    >>> from limpetlanding.runs.model import Resources
    >>> job = Job('5c0e7a21d94b36f8', '', (Step(1, Resources(), 200),))
    >>> queue = Queue('quotes', '', '', '', stretch=1.5, target_ms=60)
    >>> round(objective_s(job, queue), 3)
    0.36
    """
    longest_s = max(_chains_s(job.steps), default=0)
    return longest_s * queue.stretch + queue.target_ms / 1000


def _chains_s(steps: tuple[Step, ...]) -> list[float]:
    """Return the longest chain of declared run times from each step on.

    Examples
    --------
    >>> from limpetlanding.runs.model import Resources
    >>> first = Step(1, Resources(), 200)
    >>> second = Step(1, Resources(), 300, after=(0,))
    >>> _chains_s((first, second))
    [0.5, 0.3]
    """
    chains = [step.estimate_ms / 1000 for step in steps]
    for index in reversed(range(len(steps))):
        for earlier in steps[index].after:
            own_s = steps[earlier].estimate_ms / 1000
            chains[earlier] = max(chains[earlier], own_s + chains[index])
    return chains
