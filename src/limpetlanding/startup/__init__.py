"""What the roles do alike when they start, run and stop."""

from limpetlanding.startup.identity import new_hello
from limpetlanding.startup.node import node_options
from limpetlanding.startup.signals import stop_on_signals
from limpetlanding.startup.status import identity_status, wire_status
from limpetlanding.startup.tls import client_tls, server_tls

__all__ = (
    'client_tls',
    'identity_status',
    'new_hello',
    'node_options',
    'server_tls',
    'stop_on_signals',
    'wire_status',
)
