"""Ejection of agents that fail, are slow or are silent."""

from collections.abc import Collection
from dataclasses import dataclass, field

MAX_EJECTED_SHARE = 1 / 3


@dataclass(slots=True)
class _AgentHealth:
    failures: dict[str, int] = field(default_factory=dict)
    ejected_at: float | None = None


class OutlierDetector:
    """Decides which agents get no new tasks.

    Clock values are monotonic seconds.
    """

    def __init__(self) -> None:
        self.agents: dict[str, _AgentHealth] = {}

    def set_agents(self, agents: Collection[str]) -> None:
        """Set the agents (by incarnation) that are watched."""
        kept = {x: self.agents.get(x, _AgentHealth()) for x in agents}
        self.agents = kept

    def succeeded(
        self, agent: str, customer: str, ratio: float, now: float
    ) -> None:
        """Count a finished task.

        `ratio` is the actual run time (queue time not included) divided by
        the one expected at the agent's reported speed.
        """
        if agent in self.agents:
            self.agents[agent].failures = {}

    def failed(
        self, agent: str, customer: str, now: float, blame: str = ''
    ) -> None:
        """Count a failed task; `blame` is that of the endpoint's answer."""
        if agent in self.agents and blame != 'customer':
            failures = self.agents[agent].failures
            failures[customer] = failures.get(customer, 0) + 1

    def silent(self, agent: str, now: float) -> None:
        """Count a task that got no answer in time."""
        self.failed(agent, '', now)

    def ejected(self, agent: str, now: float) -> bool:
        """Tell whether new tasks must not be placed on the agent."""
        return False

    def trial_wanted(self, agent: str, now: float) -> bool:
        """Tell whether an ejected agent may get one task as a trial."""
        return False

    def trial_started(self, agent: str, now: float) -> None:
        """Note that the trial task was placed."""
