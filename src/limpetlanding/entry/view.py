"""Load of the agents as this entry sees it."""

from collections.abc import Callable
from dataclasses import dataclass

from limpetlanding.policy import AgentLoad, OutlierDetector
from limpetlanding.wire import Hello, LoadReport

MAX_KINDS = 10_000


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
        self.kinds: dict[str, None] = {}

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
        for replaced in self._incarnations(hello.node):
            self.watched.pop(replaced)
        load = AgentLoad(
            hello.node, hello.incarnation, hello.address, hello.failure_domain
        )
        self.watched[hello.incarnation] = _Watched(load, suspect)
        self.detector.set_agents(self.watched)

    def drop_agent(self, incarnation: str) -> None:
        """Forget an agent that is gone."""
        if self.watched.pop(incarnation, None) is not None:
            self.detector.set_agents(self.watched)

    def report(self, incarnation: str, report: LoadReport, now: float) -> None:
        """Take over a load report; `now` is in monotonic seconds."""
        watched = self.watched.get(incarnation)
        if watched is None:
            return
        watched.load.apply(report, now)
        for endpoint in report.endpoints:
            for kind in endpoint.kinds:
                if len(self.kinds) < MAX_KINDS:
                    self.kinds[kind] = None

    def loads(self, now: float) -> dict[str, AgentLoad]:
        """Return the load of all agents, with their present usability."""
        for incarnation, watched in self.watched.items():
            watched.load.suspect = watched.suspect()
            watched.load.ejected = self.detector.ejected(incarnation, now)
        return {k: watched.load for k, watched in self.watched.items()}

    def may_coordinate(self, incarnation: str) -> bool:
        """Tell whether the agent may get new jobs to coordinate."""
        watched = self.watched.get(incarnation)
        if watched is None:
            return False
        return not (watched.suspect() or watched.load.draining)

    def incarnation_of(self, node: str) -> str:
        """Return the incarnation of a node, empty if it is unknown."""
        return next(iter(self._incarnations(node)), '')

    def _incarnations(self, node: str) -> list[str]:
        return [
            incarnation
            for incarnation, watched in self.watched.items()
            if watched.load.agent == node
        ]
