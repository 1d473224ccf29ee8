import pytest

from limpetlanding.lifecycle import (
    EndpointState,
    InvalidTransition,
    Lifecycle,
    PeerState,
    ProcessState,
)


class TestLifecycle:
    def test_changes_are_reported_in_order(self):
        # Guards against a role that misses its own withdrawal.
        seen = []
        lifecycle = Lifecycle(
            ProcessState, 'a', lambda *pair: seen.append(pair)
        )
        lifecycle.transition_to(ProcessState.READY)
        lifecycle.transition_to(ProcessState.DRAINING)
        lifecycle.transition_to(ProcessState.DRAINING)
        lifecycle.transition_to(ProcessState.STOPPED)
        assert seen == [
            (ProcessState.STARTING, ProcessState.READY),
            (ProcessState.READY, ProcessState.DRAINING),
            (ProcessState.DRAINING, ProcessState.STOPPED),
        ]

    @pytest.mark.parametrize(
        ('states', 'path', 'refused'),
        [
            (ProcessState, ['draining'], 'ready'),
            (ProcessState, ['stopped'], 'ready'),
            (EndpointState, ['serving', 'leaving'], 'serving'),
            (PeerState, ['up', 'gone'], 'up'),
            (PeerState, [], 'down'),
        ],
    )
    def test_a_state_left_for_good_is_not_entered_again(
        self, states, path, refused
    ):
        # Guards against new work for a process that has withdrawn.
        lifecycle = Lifecycle(states, 'x')
        for value in path:
            lifecycle.transition_to(states(value))
        before = lifecycle.state
        with pytest.raises(InvalidTransition, match='peer x'):
            lifecycle.transition_to(states(refused))
        assert lifecycle.state is before

    def test_a_peer_may_come_back(self):
        lifecycle = Lifecycle(PeerState, 'x')
        for state in (PeerState.UP, PeerState.DOWN, PeerState.UP):
            assert lifecycle.transition_to(state)

    def test_models_are_independent(self):
        # Guards against state shared through the one machine.
        first, second = (Lifecycle(ProcessState, n) for n in 'ab')
        first.transition_to(ProcessState.READY)
        assert second.state is ProcessState.STARTING
