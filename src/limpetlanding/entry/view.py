"""Load of the agents as this entry sees it."""

from collections.abc import Callable
from dataclasses import dataclass

from limpetlanding.policy import AgentLoad, OutlierDetector
from limpetlanding.wire import Hello, LoadReport

MAX_KINDS = 10_000

FLAGS_AGE_S = 0.01
"""Whether agents are suspect or ejected is asked this often at most, since
it takes time in proportion to their number; an agent is suspect after 1 s."""


@dataclass(slots=True)
class _Watched:
    load: AgentLoad
    suspect: Callable[[], bool]


class LoadView:
    """Load by incarnation of the agent, from reports and own placements.

    Parameters
    ----------
    detector : OutlierDetector
        Tells which agents are ejected.
    """

    def __init__(self, detector: OutlierDetector) -> None:
        self.detector = detector
        self.watched: dict[str, _Watched] = {}
        self.by_node: dict[str, str] = {}
        self.kinds: dict[str, None] = {}
        self.view: dict[str, AgentLoad] = {}
        self.ejected: list[str] = []
        self.flags_until: float = 0

    def add_agent(self, hello: Hello, suspect: Callable[[], bool]) -> None:
        """Watch an agent; a new incarnation of a node replaces the old one.

        Parameters
        ----------
        hello : Hello
            First frame of the agent.
        suspect : callable
            Tells whether nothing was heard of the agent lately.
        """
        if hello.incarnation in self.watched:
            return
        self.watched.pop(self.by_node.get(hello.node, ''), None)
        load = AgentLoad(
            hello.node, hello.incarnation, hello.address, hello.failure_domain
        )
        self.watched[hello.incarnation] = _Watched(load, suspect)
        self.by_node[hello.node] = hello.incarnation
        self._agents_changed()

    def drop_agent(self, incarnation: str) -> None:
        """Forget an agent that is gone."""
        dropped = self.watched.pop(incarnation, None)
        if dropped is None:
            return
        if self.by_node.get(dropped.load.agent) == incarnation:
            self.by_node.pop(dropped.load.agent)
        self._agents_changed()

    def report(self, incarnation: str, report: LoadReport, now: float) -> None:
        """Take over a load report; `now` is in monotonic seconds."""
        watched = self.watched.get(incarnation)
        if watched is None:
            return
        watched.load.apply_report(report, now)
        for endpoint in report.endpoints:
            for kind in endpoint.kinds:
                if len(self.kinds) < MAX_KINDS:
                    self.kinds[kind] = None

    def loads(self, now: float) -> dict[str, AgentLoad]:
        """Return the load of all agents, with their present usability."""
        if now >= self.flags_until:
            self.flags_until = now + FLAGS_AGE_S
            for incarnation, watched in self.watched.items():
                watched.load.suspect = watched.suspect()
                watched.load.ejected = self.detector.is_ejected(
                    incarnation, now
                )
            self.ejected = [k for k, load in self.view.items() if load.ejected]
        return self.view

    def may_coordinate(self, incarnation: str) -> bool:
        """Tell whether the agent may get new jobs to coordinate."""
        watched = self.watched.get(incarnation)
        if watched is None:
            return False
        return not (watched.suspect() or watched.load.draining)

    def incarnation_of(self, node: str) -> str:
        """Return the incarnation of a node, empty if it is unknown."""
        return self.by_node.get(node, '')

    def _agents_changed(self) -> None:
        self.detector.set_agents(self.watched)
        self.view = {k: watched.load for k, watched in self.watched.items()}
        self.flags_until = 0
