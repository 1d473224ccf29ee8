"""Logs, metrics, traces and the service routes of every role.

Traces and routes are imported from `limpetlanding.telemetry.traces` and
`limpetlanding.telemetry.service`: they import OpenTelemetry and aiohttp, which
take longer to load than all else that a process needs to start.
"""

from limpetlanding.telemetry.logs import configure_logs, job_logger, start_logs
from limpetlanding.telemetry.metrics import Metrics, RenderedMetrics

__all__ = (
    'Metrics',
    'RenderedMetrics',
    'configure_logs',
    'job_logger',
    'start_logs',
)
