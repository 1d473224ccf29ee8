"""State machine with typed states, built on the library transitions."""

from collections.abc import Callable
from enum import StrEnum
from functools import cache
from typing import Any, Generic, TypeVar, cast

from transitions import Machine, MachineError

from limpetlanding.errors import LimpetlandingError
from limpetlanding.lifecycle.states import TRANSITION_SOURCES

State = TypeVar('State', bound=StrEnum)


class InvalidTransition(LimpetlandingError):
    """The state cannot be reached from the current one."""


class Lifecycle(Generic[State]):
    """State of one process, endpoint or peer.

    Creating an object takes about 150 µs and a transition about 25 µs, which
    is too slow to use one for each task.

    Parameters
    ----------
    states : type
        `ProcessState`, `EndpointState` or `PeerState`.
    name : str
        Name of the process, endpoint or peer, used in errors.
    on_change : callable, optional
        Called with the old and the new state after each change.

    Examples
    --------
    >>> from limpetlanding.lifecycle.states import ProcessState
    >>> lifecycle = Lifecycle(ProcessState, 'agent-1')
    >>> lifecycle.transition_to(ProcessState.READY)
    True
    >>> lifecycle.transition_to(ProcessState.READY)
    False
    >>> lifecycle.state
    <ProcessState.READY: 'ready'>
    """

    state: State

    def __init__(
        self,
        states: type[State],
        name: str,
        on_change: Callable[[State, State], None] | None = None,
    ) -> None:
        self.states = states
        self.name = name
        self.on_change = on_change
        _machine(states).add_model(self)

    def transition_to(self, target: State) -> bool:
        """Change the state to `target`.

        Returns
        -------
        bool
            False if `target` is already the current state.

        Raises
        ------
        InvalidTransition
            If `target` cannot be reached from the current state.
        """
        old_state = self.state
        if old_state is target:
            return False
        try:
            cast(Any, self).trigger(target.value)
        except MachineError as error:
            raise InvalidTransition(
                f'cannot change state from {old_state} to {target}',
                step='lifecycle',
                peer=self.name,
            ) from error
        if target is _final_state(self.states):
            # The shared machine refers to its models; without the removal
            # past peers would never be freed.
            _machine(self.states).remove_model(self)
        if self.on_change is not None:
            self.on_change(old_state, target)
        return True


def _final_state(states: type[StrEnum]) -> StrEnum:
    return list(states)[-1]


@cache
def _machine(states: type[StrEnum]) -> Any:
    transitions = [
        {'trigger': target.value, 'source': list(sources), 'dest': target}
        for target, sources in TRANSITION_SOURCES[states].items()
    ]
    return Machine(
        model=None,
        states=states,
        transitions=transitions,
        initial=next(iter(states)),
        auto_transitions=False,
    )
