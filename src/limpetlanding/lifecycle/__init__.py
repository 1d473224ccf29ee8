"""Lifecycle states of processes, endpoints and peers."""

from limpetlanding.lifecycle.machine import InvalidTransition, Lifecycle
from limpetlanding.lifecycle.states import (
    EndpointState,
    PeerState,
    ProcessState,
)

__all__ = (
    'EndpointState',
    'InvalidTransition',
    'Lifecycle',
    'PeerState',
    'ProcessState',
)
