"""Admission and placement of submissions, by contract and policy."""

from collections import Counter
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random

from limpetlanding.entry.api import Submission
from limpetlanding.entry.auth import Contract
from limpetlanding.entry.view import LoadView
from limpetlanding.jobs import Outcome, Reason
from limpetlanding.policy import (
    LONG_TASK_MS,
    Admission,
    AdmissionLimits,
    AdmissionRequest,
    AgentLoad,
    Estimator,
    OutlierDetector,
    PlacementPlan,
    Refused,
    SystemLoad,
    can_run,
    no_placement_reason,
    system_load,
)
from limpetlanding.wire.job_messages import JobAnswer, Placement, TaskSpec

ENDPOINT_AWAY_RETRY_MS = 1000
"""An endpoint announces itself every second."""

MAX_SYSTEM_LOAD_AGE_S = 0.02
"""The sums over all agents are cached, since computing them takes time in
proportion to the number of agents. By default an agent reports its load at most
every 50 ms."""

Placer = Callable[
    [Sequence[TaskSpec], Mapping[str, AgentLoad], float, Collection[str]],
    PlacementPlan,
]


@dataclass(slots=True)
class Refusal:
    """Why a submission is refused.

    A `retry_after_ms` of 0 means that the caller should not retry.
    """

    reason: Reason
    retry_after_ms: float = 0
    detail: str = ''


@dataclass(slots=True)
class AdmittedJob:
    """An admitted job that has no answer yet.

    `declared_ms` has the run times declared by the caller, `admitted_at` is
    in monotonic seconds, and `moved` has the indices of the tasks that this
    entry has moved.
    """

    customer: str
    tasks: list[TaskSpec]
    declared_ms: list[float | None]
    placements: list[Placement]
    deadline_ms: float
    predicted_ms: float
    admitted_at: float
    moved: set[int] = field(default_factory=set)


DeadlinePolicy = Callable[[Contract, Submission], float]


@dataclass(slots=True)
class Policies:
    """Policies of one entry, with their state."""

    admission: Admission
    estimator: Estimator
    detector: OutlierDetector
    place: Placer
    deadline: DeadlinePolicy = field(default_factory=lambda: job_deadline_ms)


class AdmissionController:
    """Admits or refuses submissions and reports their answers to the policies.

    Parameters
    ----------
    policies : Policies
        Policies.
    view : LoadView
        Load of the agents.
    share : callable
        Takes a contract and returns how much of its ``tasks_at_once`` this
        entry may use now.
    clock : callable
        Returns monotonic seconds.
    entries : callable
        Returns the number of live entries.
    rng : random.Random
        Source of the jitter that spreads the retries of refused callers.
    """

    def __init__(
        self,
        policies: Policies,
        view: LoadView,
        share: Callable[[Contract], float],
        clock: Callable[[], float],
        entries: Callable[[], int],
        rng: Random,
    ) -> None:
        self.policies = policies
        self.view = view
        self.share = share
        self.clock = clock
        self.count_entries = entries
        self.rng = rng
        self.system_load = SystemLoad(0, 0)
        self.system_load_expires_at: float = 0
        self.answers: Counter[str] = Counter()
        self.refusals: Counter[str] = Counter()
        self.admitted_jobs: dict[str, AdmittedJob] = {}

    def check_contract(
        self, contract: Contract, submission: Submission
    ) -> Refusal | None:
        """Return a refusal if the contract forbids a submission, else None."""
        allowed = set(contract.kinds)
        for index, task in enumerate(submission.tasks):
            if '*' not in allowed and task.kind not in allowed:
                detail = f'tasks.{index}.kind: not in the contract'
                return Refusal(Reason.KIND_NOT_ALLOWED, 0, detail)
            if contract.max_task_size and task.size > contract.max_task_size:
                detail = (
                    f'tasks.{index}.size: {task.size} is over the limit of '
                    f'{contract.max_task_size} in the contract'
                )
                return Refusal(Reason.TOO_LARGE, 0, detail)
        return None

    def admit(
        self, contract: Contract, submission: Submission
    ) -> AdmittedJob | Refusal:
        """Place a job and count its tasks, or return why it is refused."""
        now = self.clock()
        specs = self._task_specs(contract.customer, submission)
        loads = self.view.loads(now)
        plan = self.policies.place(specs, loads, now, ())
        missing = next(
            (s for s, p in zip(specs, plan.placements, strict=True) if not p),
            None,
        )
        if missing is not None:
            plan.undo()
            return self._placement_refusal(missing, loads)
        deadline_ms = self.policies.deadline(contract, submission)
        decision = self.policies.admission.decide(
            AdmissionRequest(
                contract.customer,
                len(specs),
                sum(spec.expected_ms for spec in specs),
                deadline_ms,
                any(spec.expected_ms >= LONG_TASK_MS for spec in specs),
            ),
            self._limits(contract),
            plan.predicted_ms,
            self._system(loads, now),
            now,
        )
        if isinstance(decision, Refused):
            plan.undo()
            return Refusal(decision.reason, decision.retry_after_ms)
        self._place_trial(plan, specs, now)
        return AdmittedJob(
            contract.customer,
            specs,
            [task.run_ms for task in submission.tasks],
            [placement for placement in plan.placements if placement],
            deadline_ms,
            plan.predicted_ms,
            now,
        )

    def count_answer(self, answer: JobAnswer) -> None:
        """Count an answer to a submission, by outcome or reason."""
        self.answers[answer.reason or answer.outcome or 'accepted'] += 1
        if answer.outcome == Outcome.NOT_RUN:
            self.refusals[answer.reason] += 1

    def in_use(self, customer: str) -> int:
        """Return how many tasks of a customer this entry has in flight."""
        return self.policies.admission.usage(customer).tasks

    def job_ended(
        self, admitted: AdmittedJob, answer: JobAnswer | None
    ) -> None:
        """Stop counting a job and report its answer to the policies."""
        self.policies.admission.task_ended(
            admitted.customer, len(admitted.tasks)
        )
        if answer is None:
            return
        now = self.clock()
        complete = answer.outcome == Outcome.COMPLETE
        if complete or answer.reason == Reason.DEADLINE:
            # Jobs that were dropped at their deadline are included; without
            # them the predictions would look better than they are.
            self.policies.admission.record_prediction(
                admitted.customer,
                admitted.predicted_ms,
                (now - admitted.admitted_at) * 1000,
            )
        if complete:
            self._record_results(admitted, answer, now)
        elif answer.reason == Reason.TASK_ERROR:
            failed = self.view.incarnation_of(answer.peer)
            self.policies.detector.record_failure(
                failed, admitted.customer, now, answer.blame
            )
        elif answer.reason == Reason.AGENT_LOST:
            silent = self.view.incarnation_of(answer.peer)
            self.policies.detector.record_timeout(silent, now)

    def place_again(
        self, tasks: Sequence[TaskSpec], avoid: Collection[str]
    ) -> PlacementPlan:
        """Return a new plan for tasks that have not started."""
        now = self.clock()
        return self.policies.place(tasks, self.view.loads(now), now, avoid)

    def no_place_reason(self, task: TaskSpec) -> Reason:
        """Return why no agent can get a task now."""
        loads = self.view.loads(self.clock())
        return no_placement_reason(task, loads, self.view.kinds)

    def _task_specs(
        self, customer: str, submission: Submission
    ) -> list[TaskSpec]:
        estimate = self.policies.estimator.estimate
        specs = []
        for index, task in enumerate(submission.tasks):
            expected = estimate(customer, task.kind, task.run_ms)
            specs.append(
                TaskSpec(
                    index,
                    task.kind,
                    task.payload,
                    expected.mean_ms,
                    expected.p90_ms,
                    task.size,
                )
            )
        return specs

    def _placement_refusal(
        self, task: TaskSpec, loads: Mapping[str, AgentLoad]
    ) -> Refusal:
        reason = no_placement_reason(task, loads, self.view.kinds)
        is_away = reason == Reason.ENDPOINT_AWAY
        # The jitter spreads the retries of callers that need the same endpoint.
        retry_ms = (
            ENDPOINT_AWAY_RETRY_MS * self.rng.uniform(1, 2) if is_away else 0
        )
        detail = f'tasks.{task.index}.kind: {reason.replace("_", " ")}'
        return Refusal(reason, retry_ms, detail)

    def _system(self, loads: Mapping[str, AgentLoad], now: float) -> SystemLoad:
        if now >= self.system_load_expires_at:
            self.system_load = system_load(loads.values(), self.count_entries())
            self.system_load_expires_at = now + MAX_SYSTEM_LOAD_AGE_S
        return self.system_load

    def _place_trial(
        self, plan: PlacementPlan, specs: Sequence[TaskSpec], now: float
    ) -> None:
        """Place the last task on an ejected agent that is due for a trial.

        Without such an agent that can run the task, the plan is unchanged.
        """
        detector = self.policies.detector
        spec = specs[-1]
        for incarnation in self.view.ejected:
            load = self.view.load_by_incarnation[incarnation]
            if not detector.trial_due(incarnation, now):
                continue
            load.ejected = False
            possible = can_run(spec, load)
            load.ejected = True
            if possible:
                detector.trial_started(incarnation, now)
                plan.placements[-1] = Placement(
                    spec.index, load.agent, incarnation, load.address
                )
                return

    def _limits(self, contract: Contract) -> AdmissionLimits:
        limits = contract.limits
        share = self.share(contract)
        # The rate is split in the same proportion as `tasks_at_once`, so that
        # a lent share includes its part of the rate.
        share_ratio = (
            share / limits.tasks_at_once if limits.tasks_at_once else 0
        )
        return AdmissionLimits(
            share,
            limits.tasks_per_second * share_ratio,
            contract.peak_share,
            frozenset(str(item) for item in contract.may_refuse),
        )

    def _record_results(
        self, admitted: AdmittedJob, answer: JobAnswer, now: float
    ) -> None:
        for item in answer.results:
            spec = admitted.tasks[item.index]
            self.policies.estimator.observe(
                admitted.customer,
                spec.kind,
                admitted.declared_ms[item.index],
                item.run_ms,
                item.speed,
            )
            expected_ms = spec.expected_ms / (item.speed or 1)
            if expected_ms > 0:
                self.policies.detector.record_success(
                    self.view.incarnation_of(item.agent),
                    admitted.customer,
                    item.run_ms / expected_ms,
                    now,
                )


def job_deadline_ms(contract: Contract, submission: Submission) -> float:
    """Return the shorter deadline of contract and caller, in milliseconds."""
    longest_ms = contract.answer_within_ms
    return min(longest_ms, submission.deadline_ms or longest_ms)
