"""States of processes, endpoints and peers, and their transitions."""

from enum import StrEnum


class ProcessState(StrEnum):
    """State of a process; only a `READY` process accepts new work."""

    STARTING = 'starting'
    READY = 'ready'
    DRAINING = 'draining'
    STOPPED = 'stopped'


class EndpointState(StrEnum):
    """State of an endpoint, as its agent sees it."""

    ANNOUNCED = 'announced'
    SERVING = 'serving'
    LEAVING = 'leaving'
    GONE = 'gone'


class PeerState(StrEnum):
    """State of a peer incarnation.

    A peer that is `DOWN` may connect again. A peer that is `GONE` was
    replaced or removed and never changes its state again.
    """

    KNOWN = 'known'
    UP = 'up'
    DOWN = 'down'
    GONE = 'gone'


# For each state, the states from which it can be reached. The first state of
# each enumeration is the initial one and the last is the final one.
TRANSITION_SOURCES: dict[type[StrEnum], dict[StrEnum, tuple[StrEnum, ...]]] = {
    ProcessState: {
        ProcessState.READY: (ProcessState.STARTING,),
        ProcessState.DRAINING: (ProcessState.STARTING, ProcessState.READY),
        ProcessState.STOPPED: (
            ProcessState.STARTING,
            ProcessState.READY,
            ProcessState.DRAINING,
        ),
    },
    EndpointState: {
        EndpointState.SERVING: (EndpointState.ANNOUNCED,),
        EndpointState.LEAVING: (
            EndpointState.ANNOUNCED,
            EndpointState.SERVING,
        ),
        EndpointState.GONE: (
            EndpointState.ANNOUNCED,
            EndpointState.SERVING,
            EndpointState.LEAVING,
        ),
    },
    PeerState: {
        PeerState.UP: (PeerState.KNOWN, PeerState.DOWN),
        PeerState.DOWN: (PeerState.UP,),
        PeerState.GONE: (PeerState.KNOWN, PeerState.UP, PeerState.DOWN),
    },
}
