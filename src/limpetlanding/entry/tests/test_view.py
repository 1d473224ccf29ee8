import pytest

from limpetlanding.entry.tests.fakes import FakeAgent, incarnation
from limpetlanding.entry.tests.rig import report
from limpetlanding.entry.view import LoadView
from limpetlanding.policy import OutlierDetector


class Detector(OutlierDetector):
    def __init__(self):
        super().__init__()
        self.ejected_agents = set()

    def is_ejected(self, agent, now):
        return agent in self.ejected_agents


@pytest.fixture
def detector():
    return Detector()


@pytest.fixture
def agents():
    return [FakeAgent(number) for number in (1, 2)]


@pytest.fixture
def view(detector, agents):
    view = LoadView(detector)
    for agent in agents:
        view.add_agent(agent.peer, lambda agent=agent: agent.suspect)
        view.report(agent.peer.incarnation, report(), 0)
    return view


def usable(view, now=0):
    return {k[-1] for k, load in view.loads(now).items() if load.usable}


class TestLoadView:
    def test_agents_are_not_usable_while_suspect(self, view, agents):
        agents[0].suspect = True
        assert usable(view) == {'2'}
        agents[0].suspect = False
        assert usable(view, 1) == {'1', '2'}

    def test_draining_agents_are_not_usable(self, view):
        # Guards against new tasks for an agent that is stopping.
        view.report(incarnation(1), report(draining=True), 0)
        assert usable(view) == {'2'}
        assert not view.may_coordinate(incarnation(1))

    def test_ejected_agents_get_no_tasks_but_may_coordinate(
        self, view, detector
    ):
        detector.ejected_agents.add(incarnation(1))
        assert usable(view) == {'2'}
        assert view.may_coordinate(incarnation(1))

    def test_new_incarnation_replaces_the_old_one(self, view):
        # Guards against placements on an incarnation that is gone.
        restarted = FakeAgent(1)
        restarted.peer.incarnation = incarnation(9)
        view.add_agent(restarted.peer, lambda: False)
        assert set(view.loads(0)) == {incarnation(2), incarnation(9)}
        assert view.incarnation_of('agent-1') == incarnation(9)

    def test_report_of_an_unknown_agent_is_ignored(self, view):
        view.report(incarnation(7), report(), 0)
        assert incarnation(7) not in view.loads(0)

    def test_kinds_are_remembered_when_their_agent_is_gone(self, view):
        # Guards against no_endpoint while the endpoint of a kind is only away.
        view.report(incarnation(1), report(kinds=('weld',)), 0)
        view.remove_agent(incarnation(1))
        assert set(view.kinds) == {'cut', 'weld'}

    def test_placements_count_until_a_report_includes_them(self, view):
        load = view.loads(0)[incarnation(1)]
        load.add_pending(100, False, 1)
        view.report(incarnation(1), report(), 1.001)
        assert load.pending
        view.report(incarnation(1), report(), 2)
        assert not load.pending
