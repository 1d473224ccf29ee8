"""Ejection of agents that fail, are slow or do not answer."""

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field
from enum import StrEnum
from math import exp, log
from statistics import median

MAX_EJECTED_SHARE = 1 / 3
"""If a larger share of the agents looks bad, the cause lies elsewhere, and the
other agents could not carry the load anyway."""

WINDOW_SIZE = 16
"""Number of recent results that are kept for each agent. It is small because
an agent that fails every task at once looks idle and attracts all work."""

MAX_RESULT_AGE_S = 30
"""Older results are dropped, as they say nothing about the current state."""

MIN_FAILURES = 8

MIN_FAILURES_SINGLE_CUSTOMER = 12
"""Failures that eject an agent while only one customer is active. At least as
many of its tasks must have succeeded at the other agents."""

FAILING_SHARE = 0.5
"""A customer counts as failing at an agent, or at all other agents together,
if more than this share of its results there are failures."""

MIN_FAILURES_PER_CUSTOMER = 2

MAX_UNANSWERED_TASKS = 3
"""Consecutive tasks without an answer that eject an agent."""

SLOW_RATIO = 4
"""An agent is slow if its ratio of actual to expected run time is at least this
value, and at least this many times the ratio of the median agent. Smaller
changes are covered by the learnt speed of the agent, from which the expected
time is computed."""

MIN_SLOW_RESULTS = 8

MIN_EJECTION_S = 2
MAX_EJECTION_S = 60
"""Bounds of the length of an ejection, which doubles each time."""

REQUIRED_TRIALS = 3
"""Trial tasks that must succeed before an agent is used again. A slow one does
not count; a failed one ejects the agent again and resets the count."""

TRIAL_TIMEOUT_S = 10

_MAX_RUN_TIME_RATIO = 64


class Health(StrEnum):
    """Whether an agent gets tasks."""

    HEALTHY = 'good'
    EJECTED = 'ejected'
    PROBATION = 'probation'


@dataclass(frozen=True, slots=True)
class _Result:
    customer: str
    ok: bool
    at: float


@dataclass(slots=True)
class _ResultCount:
    """Number of results of one customer in the windows of some agents."""

    ok: int = 0
    failed: int = 0

    def add(self, result: _Result, sign: int) -> None:
        if result.ok:
            self.ok += sign
        else:
            self.failed += sign

    def is_failing(self) -> bool:
        return self.failed > FAILING_SHARE * (self.ok + self.failed)


@dataclass(slots=True)
class _AgentState:
    """Recent results of one agent, and its ejection state."""

    results: deque[_Result] = field(default_factory=deque)
    ratios: deque[float] = field(
        default_factory=lambda: deque(maxlen=MIN_SLOW_RESULTS)
    )
    silent: int = 0
    health: Health = Health.HEALTHY
    ejected_until: float = 0
    ejection_count: int = 0
    passed_trials: int = 0
    trial_until: float = 0


class OutlierDetector:
    """Decides from the results of tasks which agents get no new tasks.

    An agent is ejected for one of these reasons:

    - Failing: at least 8 of its last 16 results are failures of two or more
      customers whose tasks succeed at the other agents. Failures that the
      endpoint blames on the customer do not count. Failures of a single
      customer do not count while others are active, since its tasks may be
      invalid. If only one customer is active, 12 failures eject the agent,
      provided that at least 12 tasks of this customer succeeded at the other
      agents.
    - Slow: the mean ratio of actual to expected run time is at least 4, and
      at least 4 times that of the median agent.
    - Silent: three consecutive tasks got no answer in time.

    At most a third of the agents is ejected at any time. When its ejection
    has expired, an agent is on probation: it gets one trial task at a time.
    It is used again after three successful trials; a failed trial ejects it
    for twice the time.

    Clock values are monotonic seconds.
    """

    def __init__(self) -> None:
        self.agents: dict[str, _AgentState] = {}
        self.customers: dict[str, _ResultCount] = {}

    def set_agents(self, agents: Collection[str]) -> None:
        """Set the agents to observe, by incarnation; forget all others."""
        for removed in set(self.agents) - set(agents):
            self._clear(self.agents.pop(removed))
        for name in agents:
            self.agents.setdefault(name, _AgentState())

    def record_success(
        self, agent: str, customer: str, ratio: float, now: float
    ) -> None:
        """Record a task that ended successfully.

        `ratio` is the actual run time, without the time in the queue,
        divided by the run time expected at the reported speed of the agent.
        """
        known = self.agents.get(agent)
        if known is None:
            return
        known.silent = 0
        if known.health == Health.PROBATION:
            self._trial_passed(known, ratio)
            return
        self._add(known, _Result(customer, ok=True, at=now))
        known.ratios.append(
            min(max(ratio, 1 / _MAX_RUN_TIME_RATIO), _MAX_RUN_TIME_RATIO)
        )
        if self._is_slow(known):
            self._eject(known, now)

    def record_failure(
        self, agent: str, customer: str, now: float, blame: str = ''
    ) -> None:
        """Record a failed task.

        `blame` is the party that the endpoint's answer holds responsible; a
        failure with the blame ``customer`` is not counted.
        """
        known = self.agents.get(agent)
        if known is None:
            return
        known.silent = 0
        if blame == 'customer':
            return
        if known.health == Health.PROBATION:
            self._eject(known, now)
            return
        self._add(known, _Result(customer, ok=False, at=now))
        if self._is_failing(known):
            self._eject(known, now)

    def record_timeout(self, agent: str, now: float) -> None:
        """Record a task that got no answer in time."""
        known = self.agents.get(agent)
        if known is None:
            return
        known.silent += 1
        on_probation = known.health == Health.PROBATION
        if on_probation or known.silent >= MAX_UNANSWERED_TASKS:
            self._eject(known, now)

    def is_ejected(self, agent: str, now: float) -> bool:
        """Return whether the agent is ejected or on probation."""
        known = self.agents.get(agent)
        return known is not None and known.health != Health.HEALTHY

    def trial_due(self, agent: str, now: float) -> bool:
        """Return whether an ejected agent may now get a trial task."""
        known = self.agents.get(agent)
        if known is None or known.health == Health.HEALTHY:
            return False
        return now >= known.ejected_until and now >= known.trial_until

    def trial_started(self, agent: str, now: float) -> None:
        """Record that a trial task was placed on the agent."""
        known = self.agents.get(agent)
        if known is not None and known.health != Health.HEALTHY:
            known.health = Health.PROBATION
            known.trial_until = now + TRIAL_TIMEOUT_S

    def _trial_passed(self, known: _AgentState, ratio: float) -> None:
        known.trial_until = 0
        if ratio >= SLOW_RATIO:
            return
        known.passed_trials += 1
        if known.passed_trials >= REQUIRED_TRIALS:
            known.health = Health.HEALTHY
            known.passed_trials = 0

    def _eject(self, known: _AgentState, now: float) -> None:
        if known.health == Health.EJECTED:
            return
        if known.health == Health.HEALTHY:
            unavailable = sum(
                x.health != Health.HEALTHY for x in self.agents.values()
            )
            if unavailable + 1 > MAX_EJECTED_SHARE * len(self.agents):
                return
            # A fault long after the last ejection is unrelated to it, so the
            # length of the ejection starts from its minimum again.
            if now - known.ejected_until > MAX_EJECTION_S:
                known.ejection_count = 0
        known.health = Health.EJECTED
        known.ejected_until = now + min(
            MIN_EJECTION_S * 2**known.ejection_count, MAX_EJECTION_S
        )
        known.ejection_count = min(known.ejection_count + 1, WINDOW_SIZE)
        known.passed_trials = 0
        known.trial_until = 0
        self._clear(known)

    def _clear(self, known: _AgentState) -> None:
        while known.results:
            self._drop_oldest(known)
        known.ratios.clear()
        known.silent = 0

    def _add(self, known: _AgentState, result: _Result) -> None:
        oldest_at = result.at - MAX_RESULT_AGE_S
        while known.results and (
            len(known.results) >= WINDOW_SIZE or known.results[0].at < oldest_at
        ):
            self._drop_oldest(known)
        known.results.append(result)
        self.customers.setdefault(result.customer, _ResultCount()).add(
            result, 1
        )

    def _drop_oldest(self, known: _AgentState) -> None:
        result = known.results.popleft()
        count = self.customers[result.customer]
        count.add(result, -1)
        if not count.ok and not count.failed:
            self.customers.pop(result.customer)

    def _is_failing(self, known: _AgentState) -> bool:
        here: dict[str, _ResultCount] = {}
        for result in known.results:
            here.setdefault(result.customer, _ResultCount()).add(result, 1)
        failing = {
            customer: count
            for customer, count in here.items()
            if count.is_failing()
            and not self._is_failing_elsewhere(customer, count)
        }
        failures = sum(x.failed for x in failing.values())
        if len(self.customers) == 1:
            return (
                failures >= MIN_FAILURES_SINGLE_CUSTOMER
                and self._succeeds_elsewhere(here)
            )
        significant = [
            x for x in failing.values() if x.failed >= MIN_FAILURES_PER_CUSTOMER
        ]
        return len(significant) > 1 and failures >= MIN_FAILURES

    def _is_failing_elsewhere(self, customer: str, here: _ResultCount) -> bool:
        total = self.customers[customer]
        return _ResultCount(
            total.ok - here.ok, total.failed - here.failed
        ).is_failing()

    def _succeeds_elsewhere(self, here: dict[str, _ResultCount]) -> bool:
        return all(
            self.customers[customer].ok - count.ok
            >= MIN_FAILURES_SINGLE_CUSTOMER
            for customer, count in here.items()
        )

    def _is_slow(self, known: _AgentState) -> bool:
        if len(known.ratios) < MIN_SLOW_RESULTS:
            return False
        own = _mean_ratio(known)
        if own < SLOW_RATIO:
            return False
        others = [_mean_ratio(x) for x in self.agents.values() if x.ratios]
        return own >= SLOW_RATIO * median(others)


def _mean_ratio(known: _AgentState) -> float:
    """Return the geometric mean, in which one straggler has little weight."""
    logs = [log(x) for x in known.ratios]
    return exp(sum(logs) / len(logs))
