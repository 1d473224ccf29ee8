"""Logs, metrics, traces and the service routes of every role.

Modules are imported from their own names where start-up time matters:
`limpetlanding.telemetry.service` imports aiohttp.
"""

from limpetlanding.telemetry.logs import configure_logs, job_log
from limpetlanding.telemetry.metrics import Metrics, Rendered
from limpetlanding.telemetry.service import add_service_routes
from limpetlanding.telemetry.traces import (
    Hop,
    SpanExporterFactory,
    configure_traces,
    otlp_exporter,
    record_span,
    shut_down_traces,
    span,
)

__all__ = (
    'Hop',
    'Metrics',
    'Rendered',
    'SpanExporterFactory',
    'add_service_routes',
    'configure_logs',
    'configure_traces',
    'job_log',
    'otlp_exporter',
    'record_span',
    'shut_down_traces',
    'span',
)
