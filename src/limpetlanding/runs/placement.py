"""Placement: which waiting job comes first, and where its tasks go."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from itertools import chain
from math import inf

from limpetlanding.runs.fleet import Fleet, WorkerView, best_ratio
from limpetlanding.runs.jobs import ActiveJob, ActiveTask

PACK_TASKS = 4
"""Tasks of one job that are ordered from one worker before the next is used.
A job on few workers takes fewer messages and is hit by fewer failures; a
worker starts a task in about 2 ms, which adds up for wide steps."""

Assignment = dict[WorkerView, list[ActiveTask]]
"""Tasks of one job by the worker that is to run them."""


class Pool:
    """Usable workers of one pool during one pass over the waiting jobs.

    Parameters
    ----------
    fleet : Fleet
        All workers.
    name : str
        Pool.
    """

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet = fleet
        self.usable = fleet.usable(name)
        self.best_ratio = best_ratio(self.usable)
        self.most_free_cpu = max((x.free.cpu for x in self.usable), default=0)

    def assign(
        self, active: ActiveJob, now: float
    ) -> tuple[Assignment, list[ActiveTask]]:
        """Choose workers for the waiting tasks of a job.

        The room of the chosen workers is taken at once.

        Parameters
        ----------
        active : ActiveJob
            The job.
        now : float
            Monotonic seconds.

        Returns
        -------
        tuple
            Tasks by worker, and the tasks for which there is no room.
        """
        chosen: Assignment = defaultdict(list)
        is_late = now > active.latest_start(self.best_ratio)
        most_ratio = inf if is_late else _most_ratio(now, active)
        left = [
            self._assign_step(active, tasks, now, most_ratio, chosen)
            for tasks in _by_step(active.waiting)
        ]
        return chosen, list(chain.from_iterable(left))

    def _assign_step(
        self,
        active: ActiveJob,
        tasks: list[ActiveTask],
        now: float,
        most_ratio: float,
        chosen: Assignment,
    ) -> list[ActiveTask]:
        step = tasks[0].step
        if step.need.cpu > self.most_free_cpu:
            return tasks
        ranked = self.fleet.ranked(step, self.usable, most_ratio)
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
            view.order(task.key, step.need)
            view.runs[task.key] = task
            on_worker[view.name] += 1
            chosen[view].append(task)
            if len(chosen[view]) % PACK_TASKS == 0:
                ranked.remove(view)
                ranked.append(view)
        return left


def urgency(
    now: float, active: ActiveJob, run_ratio: float
) -> tuple[bool, int, float]:
    """Return the sort key: jobs that can be on time, priority, latest start.

    A job that cannot be on time any more is worth little, but is served when
    there is room, also by workers that are slow.
    """
    latest_start = active.latest_start(run_ratio)
    return now > latest_start, active.queue.priority, latest_start


def _most_ratio(now: float, active: ActiveJob) -> float:
    """Return the ratio of run times up to which a job is still on time.

    While a faster worker may get room in time, a slower one is not used.
    """
    longest_s = max(active.chains_s[x.step_index] for x in active.waiting)
    return (active.due - now) / longest_s if longest_s else inf


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
    # Workers at which the task has failed are a last resort.
    last_resort = None
    for view in ranked:
        if (
            not view.free.covers(task.step.need)
            or on_worker[view.name] >= max_tasks_per_worker
            or task.excluded.get(view.name, 0) > now
            or not view.is_usable()
        ):
            continue
        if view.name not in task.avoid:
            return view
        last_resort = last_resort or view
    return last_resort
