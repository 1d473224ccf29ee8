"""Code that all roles share for start, status and shutdown."""

from limpetlanding.lifecycle.signals import stop_on_signals
from limpetlanding.startup.identity import new_hello
from limpetlanding.startup.listener import HttpListener, listen_http
from limpetlanding.startup.logs import telemetry
from limpetlanding.startup.metrics import process_metrics
from limpetlanding.startup.node import node_options
from limpetlanding.startup.replica import ReplicaInterface
from limpetlanding.startup.status import identity_status, wire_status
from limpetlanding.startup.tls import client_tls, http_tls, server_tls

__all__ = (
    'HttpListener',
    'ReplicaInterface',
    'client_tls',
    'http_tls',
    'identity_status',
    'listen_http',
    'new_hello',
    'node_options',
    'process_metrics',
    'server_tls',
    'stop_on_signals',
    'telemetry',
    'wire_status',
)
