"""Load of the agents as this entry sees it."""

from collections.abc import Callable
from dataclasses import dataclass

from limpetlanding.policy import AgentLoad, OutlierDetector
from limpetlanding.wire import Hello
from limpetlanding.wire.job_messages import LoadReport

MAX_KINDS = 10_000

MAX_FLAGS_AGE_S = 0.01
"""The suspect and ejected flags of the agents are cached for this long, since
computing them takes time in proportion to the number of agents. A silent agent
becomes suspect only after 1 s."""


@dataclass(slots=True)
class _WatchedAgent:
    load: AgentLoad
    suspect: Callable[[], bool]


class LoadView:
    """Load of the agents by incarnation, from reports and own placements.

    Parameters
    ----------
    detector : OutlierDetector
        Tells which agents are ejected.
    """

    def __init__(self, detector: OutlierDetector) -> None:
        self.detector = detector
        self.agents: dict[str, _WatchedAgent] = {}
        self.incarnation_by_node: dict[str, str] = {}
        self.kinds: dict[str, None] = {}
        self.load_by_incarnation: dict[str, AgentLoad] = {}
        self.ejected: list[str] = []
        self.flags_expire_at: float = 0

    def add_agent(self, hello: Hello, suspect: Callable[[], bool]) -> None:
        """Add an agent; a new incarnation of a node replaces the old one.

        Parameters
        ----------
        hello : Hello
            First frame of the agent.
        suspect : callable
            Tells whether the agent has sent nothing lately.
        """
        if hello.incarnation in self.agents:
            return
        self.agents.pop(self.incarnation_by_node.get(hello.node, ''), None)
        load = AgentLoad(
            hello.node, hello.incarnation, hello.address, hello.failure_domain
        )
        self.agents[hello.incarnation] = _WatchedAgent(load, suspect)
        self.incarnation_by_node[hello.node] = hello.incarnation
        self._agents_changed()

    def remove_agent(self, incarnation: str) -> None:
        """Remove an agent that is gone."""
        removed = self.agents.pop(incarnation, None)
        if removed is None:
            return
        if self.incarnation_by_node.get(removed.load.agent) == incarnation:
            self.incarnation_by_node.pop(removed.load.agent)
        self._agents_changed()

    def report(self, incarnation: str, report: LoadReport, now: float) -> None:
        """Apply a load report; `now` is in monotonic seconds."""
        agent = self.agents.get(incarnation)
        if agent is None:
            return
        agent.load.apply_report(report, now)
        for endpoint in report.endpoints:
            for kind in endpoint.kinds:
                if len(self.kinds) < MAX_KINDS:
                    self.kinds[kind] = None

    def loads(self, now: float) -> dict[str, AgentLoad]:
        """Return the load by incarnation, with suspect and ejected flags."""
        if now >= self.flags_expire_at:
            self.flags_expire_at = now + MAX_FLAGS_AGE_S
            for incarnation, agent in self.agents.items():
                agent.load.suspect = agent.suspect()
                agent.load.ejected = self.detector.is_ejected(incarnation, now)
            self.ejected = [
                k
                for k, load in self.load_by_incarnation.items()
                if load.ejected
            ]
        return self.load_by_incarnation

    def may_coordinate(self, incarnation: str) -> bool:
        """Tell whether the agent may get new jobs to coordinate."""
        agent = self.agents.get(incarnation)
        if agent is None:
            return False
        return not (agent.suspect() or agent.load.draining)

    def incarnation_of(self, node: str) -> str:
        """Return the incarnation of a node, empty if it is unknown."""
        return self.incarnation_by_node.get(node, '')

    def _agents_changed(self) -> None:
        self.detector.set_agents(self.agents)
        self.load_by_incarnation = {
            k: agent.load for k, agent in self.agents.items()
        }
        self.flags_expire_at = 0
