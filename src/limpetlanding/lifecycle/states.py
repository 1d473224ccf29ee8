"""States of processes, endpoints and peers, and the moves between them."""

from enum import StrEnum


class ProcessState(StrEnum):
    """State of a process; only a ready one accepts new work."""

    STARTING = 'starting'
    READY = 'ready'
    DRAINING = 'draining'
    STOPPED = 'stopped'


class EndpointState(StrEnum):
    """State of an endpoint at its agent."""

    ANNOUNCED = 'announced'
    SERVING = 'serving'
    LEAVING = 'leaving'
    GONE = 'gone'


class PeerState(StrEnum):
    """State of a peer incarnation.

    A peer that is down may come back; one that is gone has been replaced
    or forgotten.
    """

    KNOWN = 'known'
    UP = 'up'
    DOWN = 'down'
    GONE = 'gone'


# Sources of each state. The first state of each enumeration is the initial
# one.
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
