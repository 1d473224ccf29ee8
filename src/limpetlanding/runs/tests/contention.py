"""Simulation of fronts that place tasks on the same workers.

It needs no network. Fronts use the real decisions on views that are as old as
the reports and messages of the platform; workers refuse what they have no room
for. Processor time is not simulated.
"""

import heapq
from collections import Counter
from dataclasses import dataclass, field
from itertools import count
from random import Random

from limpetlanding.runs.fleet import Fleet
from limpetlanding.runs.jobs import ActiveJob
from limpetlanding.runs.model import Job, Queue, Resources, Step
from limpetlanding.runs.placement import Pool, urgency
from limpetlanding.runs.refusal import cannot_end_in_time, is_hopeless
from limpetlanding.runs.tests.standins import StandinChannel
from limpetlanding.runs.worker import MAX_REPORTS_PER_S
from limpetlanding.wire.run_messages import WorkerReport

TRANSIT_S = (0.008, 0.036)
"""Limits of the time that a message takes, with its processing at both ends.
In a day of 5 fronts and 17 workers, 80% of the refusals came 11 to 37 ms after
the order."""

PASS_PAUSE_S = 0.004
"""Shortest time between two passes of a front over its waiting jobs."""

QUEUES = [
    (0.25, Queue('g', '', '', 'desk', 0, 1, 1.6, 60), 8, 0.051),
    (0.05, Queue('b', '', '', 'desk', 2, 1, 1.6, 60), 4, 0.76),
    (0.70, Queue('l', '', '', 'desk', 1, 1, 1.6, 60), 2, 0.17),
]
"""Share of the jobs, queue, mean number of tasks and mean run time in seconds;
the mix of a deployment of the users."""


@dataclass(eq=False)
class SimulatedWorker:
    """Worker with its executor."""

    name: str
    domain: str
    cpu: int
    speed: float
    run_ratio: float
    used: int = 0
    reported_at: float = -1
    report_due: bool = False

    def report(self):
        """Return the free resources now."""
        return WorkerReport(
            'i/1',
            'desk',
            self.domain,
            [],
            self.cpu,
            131_072,
            0,
            self.cpu - self.used,
            131_072,
            0,
            True,
            'good',
            self.run_ratio,
        )


@dataclass(eq=False)
class SimulatedFront:
    """Front with its views of the workers."""

    fleet: Fleet
    channels: dict
    jobs: list = field(default_factory=list)
    pass_at: float = -1
    is_pass_due: bool = False


@dataclass
class Figures:
    """What a simulation has counted; times are in seconds."""

    tasks_ordered: int = 0
    tasks_refused: int = 0
    orders: int = 0
    waits: list = field(default_factory=list)
    on_time: Counter = field(default_factory=Counter)
    jobs: Counter = field(default_factory=Counter)

    @property
    def refused_share(self):
        """Share of the ordered tasks that a worker refused."""
        return self.tasks_refused / max(self.tasks_ordered, 1)

    def wait_s(self, share):
        """Return a quantile of the waits of tasks for their start."""
        return sorted(self.waits)[int(share * (len(self.waits) - 1))]

    def on_time_share(self, queue=''):
        """Return the share of jobs that ended on time."""
        names = [queue] if queue else list(self.jobs)
        on_time = sum(self.on_time[name] for name in names)
        return on_time / max(sum(self.jobs[name] for name in names), 1)


class Contention:
    """Several fronts and workers for some seconds.

    Parameters
    ----------
    seed : int
        Seed of all draws.
    fronts, workers : int
        Number of processes, spread over five failure domains.
    jobs_per_s : float
        Arrivals at all fronts together.
    new_fleet : callable
        Returns the fleet of a front, by failure domain and source of chance.
    """

    def __init__(
        self,
        seed,
        fronts=5,
        workers=17,
        jobs_per_s=55.0,
        new_fleet=Fleet,
    ):
        self.rng = Random(seed)
        self.jobs_per_s = jobs_per_s
        self.figures = Figures()
        self.events = []
        self.order = count()
        self.arrivals = {}
        self.run_s = {}
        self.now = 0.0
        self.workers = [self._new_worker(number) for number in range(workers)]
        self.fronts = [
            SimulatedFront(
                new_fleet(f'z{number % 5}', Random(f'{seed}/{number}')),
                {
                    worker: StandinChannel(worker.name)
                    for worker in self.workers
                },
            )
            for number in range(fronts)
        ]

    def run(self, duration_s=20.0):
        """Simulate and return the figures."""
        for front in self.fronts:
            for worker in self.workers:
                front.fleet.update(
                    front.channels[worker], worker.report(), self.now
                )
        self._schedule(0, self._arrive, duration_s)
        while self.events:
            self.now, _, act, arguments = heapq.heappop(self.events)
            if self.now > duration_s + 5:
                break
            act(*arguments)
        return self.figures

    def _new_worker(self, number):
        speed, size = [(0.7, 1.0), (0.7, 1.0), (1.7, 1.5)][number % 3]
        return SimulatedWorker(
            f'w{number}',
            f'z{number % 5}',
            int(64_000 * size),
            speed,
            speed * self.rng.uniform(0.95, 1.2),
        )

    def _schedule(self, delay_s, act, *arguments):
        heapq.heappush(
            self.events, (self.now + delay_s, next(self.order), act, arguments)
        )

    def _send(self, link, act, *arguments):
        # Messages of a link arrive in the order in which they were sent.
        at = max(
            self.now + self.rng.uniform(*TRANSIT_S), self.arrivals.get(link, 0)
        )
        self.arrivals[link] = at
        self._schedule(at - self.now, act, *arguments)

    def _arrive(self, until):
        front = self.rng.choice(self.fronts)
        _, queue, width, run_s = self.rng.choices(
            QUEUES, [share for share, *_ in QUEUES]
        )[0]
        tasks = max(1, round(self.rng.gauss(width, 0.4 * width)))
        run_s *= max(0.2, self.rng.gauss(1, 0.4))
        need = Resources(int(self.rng.uniform(7000, 13000)), 64)
        estimate_ms = 1000 * run_s * self.rng.uniform(0.8, 1.4)
        job = Job(f'j{next(self.order)}', '', (Step(tasks, need, estimate_ms),))
        active = ActiveJob(job, queue, self.now, 1, None, 1.5 + run_s)
        active.release_steps()
        self.run_s[job.job_id] = run_s
        front.jobs.append(active)
        self.figures.jobs[queue.name] += 1
        self._need_pass(front)
        delay_s = self.rng.expovariate(self.jobs_per_s)
        if self.now + delay_s < until:
            self._schedule(delay_s, self._arrive, until)

    def _need_pass(self, front):
        if not front.is_pass_due:
            front.is_pass_due = True
            at = max(self.now, front.pass_at + PASS_PAUSE_S)
            self._schedule(at - self.now, self._pass, front)

    def _pass(self, front):
        front.is_pass_due = False
        front.pass_at = self.now
        pool = Pool(front.fleet, 'desk')
        front.jobs = [
            active
            for active in front.jobs
            if not is_hopeless(active, self.now, pool.lowest_run_ratio)
            and not cannot_end_in_time(active, self.now, pool.lowest_run_ratio)
        ]
        waiting = [x for x in front.jobs if x.waiting]
        waiting.sort(key=lambda x: urgency(self.now, x, pool.lowest_run_ratio))
        for active in waiting:
            chosen, active.waiting = pool.assign(active, self.now)
            for view, tasks in chosen.items():
                worker = next(
                    x for x, y in front.channels.items() if y is view.channel
                )
                self.figures.orders += 1
                self._send(
                    (front, worker), self._order, front, worker, view, tasks
                )

    def _order(self, front, worker, view, tasks):
        refused = []
        for task in tasks:
            self.figures.tasks_ordered += 1
            if not self._try_start(front, worker, view, task):
                self.figures.tasks_refused += 1
                refused.append(task)
        self._send(
            (worker, front),
            self._answer,
            front,
            view,
            tasks,
            refused,
            worker.report(),
        )
        self._report(worker)

    def _try_start(self, front, worker, view, task):
        need = task.step.need.cpu
        if worker.used + need > worker.cpu:
            return False
        worker.used += need
        self.figures.waits.append(self.now - task.job.submitted_at)
        run_s = self.run_s[task.job.job.job_id] * worker.speed
        self._schedule(
            run_s * self.rng.uniform(0.9, 1.1),
            self._end,
            front,
            worker,
            view,
            task,
        )
        return True

    def _answer(self, front, view, tasks, refused, report):
        front.fleet.update(view.channel, report, self.now)
        for task in tasks:
            view.settle_order(task.key)
        for task in refused:
            view.runs.pop(task.key)
            task.job.remove_run(task)
            task.job.waiting.append(task)
        self._need_pass(front)

    def _end(self, front, worker, view, task):
        worker.used -= task.step.need.cpu
        self._send(
            (worker, front), self._ended, front, view, task, worker.report()
        )
        self._report(worker)

    def _ended(self, front, view, task, report):
        view.runs.pop(task.key)
        active = task.job
        active.remove_run(task)
        active.unfinished_tasks[0] -= 1
        if active.is_done():
            if active in front.jobs:
                front.jobs.remove(active)
            self.figures.on_time[active.queue.name] += self.now < active.due_at
        front.fleet.update(view.channel, report, self.now)
        self._need_pass(front)

    def _report(self, worker):
        due = worker.reported_at + len(self.fronts) / MAX_REPORTS_PER_S
        if not worker.report_due:
            worker.report_due = True
            self._schedule(max(due - self.now, 0), self._send_reports, worker)

    def _send_reports(self, worker):
        worker.report_due = False
        worker.reported_at = self.now
        for front in self.fronts:
            self._send(
                (worker, front), self._receive, front, worker, worker.report()
            )

    def _receive(self, front, worker, report):
        front.fleet.update(front.channels[worker], report, self.now)
        self._need_pass(front)
