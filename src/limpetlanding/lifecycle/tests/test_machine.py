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
        # Guards against a role that is not notified that it drains.
        changes = []
        lifecycle = Lifecycle(
            ProcessState, 'a', lambda *states: changes.append(states)
        )
        lifecycle.transition_to(ProcessState.READY)
        lifecycle.transition_to(ProcessState.DRAINING)
        lifecycle.transition_to(ProcessState.DRAINING)
        lifecycle.transition_to(ProcessState.STOPPED)
        assert changes == [
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
    def test_invalid_transition_is_refused(self, states, path, refused):
        # Guards against a process that accepts new work again after it
        # has begun to drain.
        lifecycle = Lifecycle(states, 'x')
        for value in path:
            lifecycle.transition_to(states(value))
        old_state = lifecycle.state
        with pytest.raises(InvalidTransition, match='peer x'):
            lifecycle.transition_to(states(refused))
        assert lifecycle.state is old_state

    def test_peer_may_connect_again(self):
        lifecycle = Lifecycle(PeerState, 'x')
        for state in (PeerState.UP, PeerState.DOWN, PeerState.UP):
            assert lifecycle.transition_to(state)

    def test_objects_have_independent_states(self):
        # Guards against a state shared through the common machine.
        first, second = (Lifecycle(ProcessState, n) for n in 'ab')
        first.transition_to(ProcessState.READY)
        assert second.state is ProcessState.STARTING
