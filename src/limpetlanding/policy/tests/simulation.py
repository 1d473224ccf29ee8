"""Discrete-event simulation of entries and agents that uses the policies."""

from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from limpetlanding.policy import (
    Admission,
    AdmissionLimits,
    AdmissionRequest,
    Admitted,
    AgentLoad,
    Estimator,
    NaiveAdmission,
    PlacedTask,
    PlacementPlan,
    QueuedTask,
    SpeedTracker,
    choose_placements_naive,
    make_queue,
    place,
    plan_moves,
    system_load,
)
from limpetlanding.policy.moves import MAX_MOVED_SHARE
from limpetlanding.wire.job_messages import EndpointLoad, LoadReport, TaskSpec

REPORT_S = 0.02
HOP_S = 0.002
MOVES_S = 0.1
ENTRIES = 3
SLOTS = 8
SPEEDS = [0.5, 0.6, 0.7, 0.8, 0.9, 1.0, 1.1, 1.2, 1.4, 1.7, 2.0]
CAPACITY = SLOTS * sum(SPEEDS)
KINDS = ['k0', 'k1', 'k2', 'k3', 'long']


@dataclass
class Workload:
    """Offered load and mix of tasks.

    `load_at` maps the time in seconds to the load as a part of the capacity.
    `customers` has tuples of name, part of the jobs and peak share.
    """

    load_at: object
    seconds: float
    warm_up_s: float = 5
    long_share: float = 0.02
    straggler_share: float = 0.003
    deadline_ms: float = 3000
    long_deadline_ms: float = 12000
    moves: bool = True
    job_sizes: tuple = (1, 1, 1, 1, 1, 4)
    customers: tuple = (('a', 0.5, 0.5), ('b', 0.3, 0.3), ('c', 0.2, 0.2))

    def task(self, rng):
        """Draw the kind and the work in ms of a task."""
        if rng.random() < self.long_share:
            return 'long', rng.uniform(2000, 5000)
        kind = rng.randrange(4)
        work_ms = (60, 150, 350, 700)[kind] * rng.uniform(0.6, 1.4)
        if rng.random() < self.straggler_share:
            work_ms *= 10
        return f'k{kind}', work_ms

    def job_deadline_ms(self, works):
        is_long = max(works) >= 2000
        return self.long_deadline_ms if is_long else self.deadline_ms

    def mean_ms(self):
        short = 315 * (1 + 9 * self.straggler_share)
        return 3500 * self.long_share + short * (1 - self.long_share)


@dataclass
class Job:
    customer: str
    arrived: float
    works: dict
    left: int
    deadline_ms: float
    predicted_ms: float = 0
    entry: 'object' = None
    late: bool = False
    runs: list = field(default_factory=list)


@dataclass
class Figures:
    """Results of a simulation."""

    slowdowns: list = field(default_factory=list)
    short_waits: list = field(default_factory=list)
    long_waits: list = field(default_factory=list)
    on_time: list = field(default_factory=list)
    offered: dict = field(default_factory=dict)
    served: dict = field(default_factory=dict)
    refused: int = 0
    moved: int = 0
    missed_moves: int = 0
    expired: int = 0

    def summary(self):
        return {
            'slowdown_p50': quantile(self.slowdowns, 0.5),
            'slowdown_p99': quantile(self.slowdowns, 0.99),
            'short_wait_p99_ms': quantile(self.short_waits, 0.99),
            'long_wait_p99_ms': quantile(self.long_waits, 0.99),
        }

    def on_time_share(self, since, until):
        """Return the part of the capacity used for jobs that end on time."""
        work = sum(
            speed * max(0, min(end, until) - max(start, since))
            for start, end, speed in self.on_time
        )
        return work / (until - since) / CAPACITY


def quantile(values, share):
    ordered = sorted(values) or [0]
    return round(ordered[int(len(ordered) * share)], 2)


class Agent:
    def __init__(self, name, true_speed, policy):
        self.name = name
        self.true_speed = true_speed
        self.tracker = SpeedTracker()
        self.queue = make_queue(policy, SLOTS)

    def report(self):
        queue = self.queue
        endpoint = EndpointLoad(
            self.name, KINDS, SLOTS, len(queue.running), self.tracker.speed
        )
        return LoadReport(
            [endpoint],
            queue.queued_short_ms,
            queue.queued_long_ms,
            len(queue),
            queue.long_busy,
            0,
        )


class Entry:
    def __init__(self, policy, seed, agents):
        self.rng = Random(seed)
        self.view = {x.name: AgentLoad(x.name, '', '', 'a') for x in agents}
        self.estimator = Estimator()
        naive = policy == 'naive'
        self.admission = NaiveAdmission() if naive else Admission(self.rng)
        self.naive = naive
        self.system = None
        self.placed = {}
        self.budget = 0.0

    def plan(self, tasks, now):
        if self.naive:
            return PlacementPlan(
                choose_placements_naive(tasks, self.view, 'a', self.rng)
            )
        return place(tasks, self.view, 'a', self.rng, now)


class Simulation:
    """Simulation of a workload under a policy."""

    def __init__(self, policy, workload, seed=1):
        self.workload = workload
        self.shares = {name: share for name, _, share in workload.customers}
        self.rng = Random(seed)
        self.agents = {
            f'a{i}': Agent(f'a{i}', speed, policy)
            for i, speed in enumerate(SPEEDS)
        }
        self.entries = [
            Entry(policy, seed * 10 + i, self.agents.values())
            for i in range(ENTRIES)
        ]
        self.figures = Figures()
        self.events = []
        self.number = count()
        self.now = 0.0

    def at(self, delay_s, action, *args):
        event = (self.now + delay_s, next(self.number), action, args)
        heappush(self.events, event)

    def run(self):
        self.at(0, self.arrive)
        for i, agent in enumerate(self.agents.values()):
            self.report(agent)
            self.at(REPORT_S * i / len(self.agents), self.report_loop, agent)
        for entry in self.entries:
            self.at(MOVES_S, self.move_loop, entry)
        while self.events and self.now < self.workload.seconds + 20:
            self.now, _, action, args = heappop(self.events)
            action(*args)
        return self.figures

    def report_loop(self, agent):
        self.report(agent)
        self.at(REPORT_S, self.report_loop, agent)

    def report(self, agent):
        report = agent.report()
        for entry in self.entries:
            load = entry.view[agent.name]
            load.apply_report(report, self.now)
            entry.system = system_load(entry.view.values(), ENTRIES)

    def arrive(self):
        workload = self.workload
        if self.now >= workload.seconds:
            return
        size = self.rng.choice(workload.job_sizes)
        mean_size = sum(workload.job_sizes) / len(workload.job_sizes)
        load = workload.load_at(self.now)
        rate = load * CAPACITY * 1000 / workload.mean_ms() / mean_size
        self.at(self.rng.expovariate(rate), self.arrive)
        names, parts, _ = zip(*workload.customers, strict=True)
        [customer] = self.rng.choices(names, parts)
        drawn = [workload.task(self.rng) for _ in range(size)]
        entry = self.entries[self.rng.randrange(ENTRIES)]
        self.submit(entry, customer, drawn)

    def submit(self, entry, customer, drawn):
        tasks = []
        for i, (kind, _) in enumerate(drawn):
            estimate = entry.estimator.estimate(customer, kind)
            tasks.append(
                TaskSpec(i, kind, b'', estimate.mean_ms, estimate.p90_ms)
            )
        figures = self.figures
        offered = figures.offered.get(customer, 0)
        figures.offered[customer] = offered + len(tasks)
        works = {i: work_ms for i, (_, work_ms) in enumerate(drawn)}
        deadline_ms = self.workload.job_deadline_ms(works.values())
        plan = entry.plan(tasks, self.now)
        decision = entry.admission.decide(
            AdmissionRequest(
                customer,
                len(tasks),
                sum(x.expected_ms for x in tasks),
                deadline_ms,
            ),
            AdmissionLimits(1e6, 1e6, self.shares[customer]),
            plan.predicted_ms,
            entry.system,
            self.now,
        )
        if not isinstance(decision, Admitted):
            plan.undo()
            figures.refused += len(tasks)
            return
        job = Job(
            customer,
            self.now,
            works,
            len(tasks),
            deadline_ms,
            plan.predicted_ms,
            entry,
        )
        for task, placement in zip(tasks, plan.placements, strict=True):
            agent = self.agents[placement.agent]
            self.at(HOP_S, self.receive, agent, job, task)
            key = (id(job), task.index)
            entry.placed[key] = job, PlacedTask(key, task, agent.name, self.now)
            entry.budget = min(entry.budget + MAX_MOVED_SHARE, 100)

    def move_loop(self, entry):
        self.at(MOVES_S, self.move_loop, entry)
        if entry.naive or not self.workload.moves:
            return
        queued = [placed for _, placed in entry.placed.values()]
        moves = plan_moves(
            queued, entry.view, 'a', entry.rng, self.now, int(entry.budget)
        )
        entry.budget -= len(moves)
        for move in moves:
            job, placed = entry.placed.pop(move.job_id)
            self.figures.moved += 1
            agent = self.agents[placed.agent]
            if agent.queue.remove(move.job_id) is None:
                self.figures.missed_moves += 1
                continue
            target = self.agents[move.placement.agent]
            self.at(2 * HOP_S, self.receive, target, job, placed.task)

    def receive(self, agent, job, task):
        deadline = job.arrived + job.deadline_ms / 1000
        queued = QueuedTask(
            (id(job), task.index),
            job.customer,
            task.kind,
            task.expected_ms,
            deadline,
            self.shares[job.customer],
            item=(job, task),
        )
        agent.queue.push(queued, self.now)
        self.start(agent)

    def start(self, agent):
        agent.queue.resize(SLOTS, agent.tracker.speed)
        for queued in agent.queue.expired(self.now):
            job, task = queued.item
            job.late = True
            self.figures.expired += 1
            self.task_done(job, task.index)
        while len(agent.queue.running) < SLOTS:
            queued = agent.queue.pop(self.now)
            if queued is None:
                return
            job, task = queued.item
            waits = self.figures.short_waits
            if task.kind == 'long':
                waits = self.figures.long_waits
            if job.arrived >= self.workload.warm_up_s:
                waits.append((self.now - job.arrived - HOP_S) * 1000)
            run_ms = job.works[task.index] / agent.true_speed
            end = self.now + run_ms / 1000
            job.runs.append((self.now, end, agent.true_speed))
            self.at(run_ms / 1000, self.end, agent, queued, run_ms)

    def end(self, agent, queued, run_ms):
        job, task = queued.item
        agent.queue.finished(queued.key)
        agent.tracker.observe(task.expected_ms, run_ms)
        job.entry.estimator.observe(
            job.customer, task.kind, None, run_ms, agent.tracker.speed
        )
        self.start(agent)
        self.task_done(job, task.index)

    def task_done(self, job, index):
        job.entry.placed.pop((id(job), index), None)
        job.left -= 1
        job.entry.admission.task_ended(job.customer)
        if job.left:
            return
        elapsed_ms = (self.now + HOP_S - job.arrived) * 1000
        entry = job.entry
        entry.admission.record_prediction(
            job.customer, job.predicted_ms, elapsed_ms
        )
        if job.late or elapsed_ms > job.deadline_ms:
            return
        figures = self.figures
        if job.arrived >= self.workload.warm_up_s:
            figures.slowdowns.append(elapsed_ms / max(job.works.values()))
        figures.on_time.extend(job.runs)
        served = figures.served.get(job.customer, 0)
        figures.served[job.customer] = served + len(job.works)
