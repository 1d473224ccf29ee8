"""Decides the order of waiting jobs and the workers of their tasks."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from itertools import chain
from math import inf

from limpetlanding.runs.fleet import Fleet, WorkerView, lowest_run_ratio
from limpetlanding.runs.jobs import ActiveJob, ActiveTask
from limpetlanding.runs.refusal import last_useful_start, max_useful_ratio

TASKS_PER_BATCH = 4
"""Tasks of one job that are ordered from one worker before the next is used. A
job on few workers needs fewer messages and is affected by fewer failures. A
worker takes about 2 ms to start a task, which delays steps with many tasks."""

Assignment = dict[WorkerView, list[ActiveTask]]
"""Tasks of one job, by the worker that is to run them."""


class Pool:
    """Usable workers of one pool during one pass over the waiting jobs.

    Parameters
    ----------
    fleet : Fleet
        All workers.
    name : str
        Name of the pool.
    """

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet = fleet
        self.usable = fleet.usable(name)
        self.lowest_run_ratio = lowest_run_ratio(self.usable)
        # Whether a job has found no room in this pass.
        self.has_shortage = False
        self.max_free_cpu = max((x.free.cpu for x in self.usable), default=0)

    def assign(
        self, active: ActiveJob, now: float, is_trial: bool = False
    ) -> tuple[Assignment, list[ActiveTask]]:
        """Choose workers for the waiting tasks of a job.

        The resources of the chosen workers are reserved at once.

        Parameters
        ----------
        active : ActiveJob
            The job with the waiting tasks.
        now : float
            Current time, in monotonic seconds.
        is_trial : bool
            Whether the job may crash an executor. Its tasks go to the executors
            that have the fewest resources in use.

        Returns
        -------
        tuple
            Tasks by worker, and the tasks for which no worker was found.
        """
        chosen: Assignment = defaultdict(list)
        is_late = now > active.latest_start(self.lowest_run_ratio)
        max_run_ratio = (
            max_useful_ratio(active, now)
            if is_late
            else _max_run_ratio(now, active)
        )
        left = [
            self._assign_step(
                active, tasks, now, max_run_ratio, chosen, is_trial
            )
            for tasks in _by_step(active.waiting)
        ]
        return chosen, list(chain.from_iterable(left))

    def _assign_step(
        self,
        active: ActiveJob,
        tasks: list[ActiveTask],
        now: float,
        max_run_ratio: float,
        chosen: Assignment,
        is_trial: bool,
    ) -> list[ActiveTask]:
        step = tasks[0].step
        if step.need.cpu > self.max_free_cpu:
            return tasks
        ranked = [
            view
            for view in self.fleet.ranked(step, self.usable, max_run_ratio)
            if not view.starts.refusal_reason(active.job.job_id, is_trial, now)
        ]
        if is_trial:
            ranked.sort(key=_used_cpu)
        on_worker = Counter(
            other.worker
            for other in active.placed.values()
            if other.step is step
        )
        most = step.max_tasks_per_worker or inf
        left = []
        for task in tasks:
            view = _first_suitable(ranked, task, on_worker, most, now)
            if view is None:
                left.append(task)
                continue
            active.place(task, view.name)
            view.record_order(task.key, step.need)
            view.runs[task.key] = task
            on_worker[view.name] += 1
            chosen[view].append(task)
            view.starts.record(active.job.job_id, is_trial, now)
            # Tasks on trial stay together, so that they crash few executors.
            if not is_trial and len(chosen[view]) % TASKS_PER_BATCH == 0:
                ranked.remove(view)
                ranked.append(view)
        return left


def urgency(
    now: float, active: ActiveJob, run_ratio: float
) -> tuple[int, int, float]:
    """Return the sort key of a job; the job with the lowest key comes first.

    Jobs that can still be on time precede late jobs, and those precede jobs
    whose answer comes too late to be of use; then the priority and the latest
    start decide. Late jobs have little value; they use the resources that are
    left, also those of slow workers.
    """
    latest_start = active.latest_start(run_ratio)
    limits = latest_start, last_useful_start(active, run_ratio)
    return (
        sum(now > limit for limit in limits),
        active.queue.priority,
        latest_start,
    )


def _max_run_ratio(now: float, active: ActiveJob) -> float:
    """Return the ratio of run time to estimate at which a job is just on time.

    Slower workers are not used as long as the job can be on time, because a
    faster worker may become free.
    """
    longest_s = active.longest_waiting_s
    return (active.due_at - now) / longest_s if longest_s else inf


def _used_cpu(view: WorkerView) -> int:
    return view.capacity.cpu - view.free.cpu


def _by_step(tasks: Iterable[ActiveTask]) -> list[list[ActiveTask]]:
    steps: dict[int, list[ActiveTask]] = defaultdict(list)
    for task in tasks:
        steps[task.step_index].append(task)
    return list(steps.values())


def _first_suitable(
    ranked: list[WorkerView],
    task: ActiveTask,
    on_worker: Counter[str],
    max_tasks_per_worker: float,
    now: float,
) -> WorkerView | None:
    # A worker at which the task has failed is used only if no other worker is
    # suitable.
    last_resort = None
    for view in ranked:
        if (
            not view.free.covers(task.step.need)
            or on_worker[view.name] >= max_tasks_per_worker
            or task.excluded_until.get(view.name, 0) > now
            or not view.is_usable()
        ):
            continue
        if view.name not in task.failed_workers:
            return view
        last_resort = last_resort or view
    return last_resort
