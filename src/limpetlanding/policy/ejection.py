"""Ejection of agents that fail, are slow or are silent."""

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field
from enum import StrEnum
from math import exp, log
from statistics import median

MAX_EJECTED_SHARE = 1 / 3
"""If more agents than this look bad, the cause is elsewhere, and the rest
could not carry the load anyway."""

WINDOW = 16
"""Last results of each agent that are judged. An agent that fails everything
at once and looks idle draws all work, so a few results have to suffice."""

RESULT_AGE_S = 30
"""Results older than this say nothing about the agent as it is now."""

MIN_FAILURES = 8

MIN_LONE_FAILURES = 12
"""Failures that eject while only one customer is active and its tasks succeed
at the other agents."""

FAILING_SHARE = 0.5
"""A customer's tasks fail here if more than this share of them does, and
succeed elsewhere if less than this share of them fails there."""

MIN_FAILURES_EACH = 2

SILENT_RESULTS = 3
"""Tasks without an answer, with none answered in between."""

SLOW_RATIO = 4
"""Run times of this multiple of what is expected at the agent's own speed,
compared with the median agent. Smaller changes are left to the speed."""

MIN_SLOW_RESULTS = 8

EJECTED_S = 2
MAX_EJECTED_S = 60
"""An ejection lasts 2 s at first and doubles up to a minute."""

TRIALS = 3
"""Trial tasks in a row that must succeed before an agent is used again."""

TRIAL_TIMEOUT_S = 10

_MAX_RATIO = 64


class Health(StrEnum):
    """Whether an agent gets tasks."""

    GOOD = 'good'
    EJECTED = 'ejected'
    PROBATION = 'probation'


@dataclass(frozen=True, slots=True)
class _Result:
    customer: str
    ok: bool
    at: float


@dataclass(slots=True)
class _Count:
    """Results of one customer in the windows of some agents."""

    ok: int = 0
    failed: int = 0

    def add(self, result: _Result, sign: int) -> None:
        if result.ok:
            self.ok += sign
        else:
            self.failed += sign

    def fails(self) -> bool:
        return self.failed > FAILING_SHARE * (self.ok + self.failed)


@dataclass(slots=True)
class _Agent:
    """What is known of one agent."""

    results: deque[_Result] = field(default_factory=deque)
    ratios: deque[float] = field(
        default_factory=lambda: deque(maxlen=MIN_SLOW_RESULTS)
    )
    silent: int = 0
    health: Health = Health.GOOD
    until: float = 0
    ejections: int = 0
    passed: int = 0
    trial_until: float = 0


class OutlierDetector:
    """Decides which agents get no new tasks, from the results of tasks.

    - Failing: at least half of the last 16 results are failures, from two or
      more customers whose tasks succeed at the other agents. Failures that
      the endpoint blames on the customer do not count, and neither do those
      of one customer only while others are active, since its tasks may be
      bad. A customer that is alone ejects an agent if its tasks succeed
      elsewhere.
    - Slow: the run times are 4 times the expected ones, relative to the
      median agent.
    - Silent: three tasks in a row without an answer in time.

    At most a third of the agents is out at any time. An ejected agent comes
    on probation after a while: it gets one task at a time, and is used again
    after three that succeeded; one that fails ejects it for twice the time.

    Clock values are monotonic seconds.
    """

    def __init__(self) -> None:
        self.agents: dict[str, _Agent] = {}
        self.customers: dict[str, _Count] = {}

    def set_agents(self, agents: Collection[str]) -> None:
        """Set the agents (by incarnation) that are watched."""
        for gone in set(self.agents) - set(agents):
            self._clear(self.agents.pop(gone))
        for name in agents:
            self.agents.setdefault(name, _Agent())

    def record_success(
        self, agent: str, customer: str, ratio: float, now: float
    ) -> None:
        """Count a finished task.

        `ratio` is the actual run time (queue time not included) divided by
        the one expected at the agent's reported speed.
        """
        known = self.agents.get(agent)
        if known is None:
            return
        known.silent = 0
        if known.health == Health.PROBATION:
            self._trial_passed(known, ratio)
            return
        self._add(known, _Result(customer, ok=True, at=now))
        known.ratios.append(min(max(ratio, 1 / _MAX_RATIO), _MAX_RATIO))
        if self._is_slow(known):
            self._eject(known, now)

    def record_failure(
        self, agent: str, customer: str, now: float, blame: str = ''
    ) -> None:
        """Count a failed task; `blame` is that of the endpoint's answer."""
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
        """Count a task that got no answer in time."""
        known = self.agents.get(agent)
        if known is None:
            return
        known.silent += 1
        on_probation = known.health == Health.PROBATION
        if on_probation or known.silent >= SILENT_RESULTS:
            self._eject(known, now)

    def is_ejected(self, agent: str, now: float) -> bool:
        """Tell whether new tasks must not be placed on the agent."""
        known = self.agents.get(agent)
        return known is not None and known.health != Health.GOOD

    def trial_due(self, agent: str, now: float) -> bool:
        """Tell whether an ejected agent may get one task as a trial."""
        known = self.agents.get(agent)
        if known is None or known.health == Health.GOOD:
            return False
        return now >= known.until and now >= known.trial_until

    def trial_started(self, agent: str, now: float) -> None:
        """Note that the trial task was placed."""
        known = self.agents.get(agent)
        if known is not None and known.health != Health.GOOD:
            known.health = Health.PROBATION
            known.trial_until = now + TRIAL_TIMEOUT_S

    def _trial_passed(self, known: _Agent, ratio: float) -> None:
        known.trial_until = 0
        if ratio >= SLOW_RATIO:
            return
        known.passed += 1
        if known.passed >= TRIALS:
            known.health = Health.GOOD
            known.passed = 0

    def _eject(self, known: _Agent, now: float) -> None:
        if known.health == Health.EJECTED:
            return
        if known.health == Health.GOOD:
            out = sum(x.health != Health.GOOD for x in self.agents.values())
            if out + 1 > MAX_EJECTED_SHARE * len(self.agents):
                return
            # A fault a long time after the last one is a new fault.
            if now - known.until > MAX_EJECTED_S:
                known.ejections = 0
        known.health = Health.EJECTED
        known.until = now + min(EJECTED_S * 2**known.ejections, MAX_EJECTED_S)
        known.ejections = min(known.ejections + 1, WINDOW)
        known.passed = 0
        known.trial_until = 0
        self._clear(known)

    def _clear(self, known: _Agent) -> None:
        while known.results:
            self._drop_oldest(known)
        known.ratios.clear()
        known.silent = 0

    def _add(self, known: _Agent, result: _Result) -> None:
        oldest_at = result.at - RESULT_AGE_S
        while known.results and (
            len(known.results) >= WINDOW or known.results[0].at < oldest_at
        ):
            self._drop_oldest(known)
        known.results.append(result)
        self.customers.setdefault(result.customer, _Count()).add(result, 1)

    def _drop_oldest(self, known: _Agent) -> None:
        result = known.results.popleft()
        count = self.customers[result.customer]
        count.add(result, -1)
        if not count.ok and not count.failed:
            self.customers.pop(result.customer)

    def _is_failing(self, known: _Agent) -> bool:
        here: dict[str, _Count] = {}
        for result in known.results:
            here.setdefault(result.customer, _Count()).add(result, 1)
        failing = {
            customer: count
            for customer, count in here.items()
            if count.fails() and not self._fails_elsewhere(customer, count)
        }
        failures = sum(x.failed for x in failing.values())
        if len(self.customers) == 1:
            return failures >= MIN_LONE_FAILURES and self._works_elsewhere(here)
        several = [x for x in failing.values() if x.failed >= MIN_FAILURES_EACH]
        return len(several) > 1 and failures >= MIN_FAILURES

    def _fails_elsewhere(self, customer: str, here: _Count) -> bool:
        total = self.customers[customer]
        return _Count(total.ok - here.ok, total.failed - here.failed).fails()

    def _works_elsewhere(self, here: dict[str, _Count]) -> bool:
        return all(
            self.customers[customer].ok - count.ok >= MIN_LONE_FAILURES
            for customer, count in here.items()
        )

    def _is_slow(self, known: _Agent) -> bool:
        if len(known.ratios) < MIN_SLOW_RESULTS:
            return False
        own = _typical(known)
        if own < SLOW_RATIO:
            return False
        others = [_typical(x) for x in self.agents.values() if x.ratios]
        return own >= SLOW_RATIO * median(others)


def _typical(known: _Agent) -> float:
    """Return the geometric mean, on which one straggler has little weight."""
    logs = [log(x) for x in known.ratios]
    return exp(sum(logs) / len(logs))
