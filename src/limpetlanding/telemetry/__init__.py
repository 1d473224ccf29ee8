"""Logs, metrics, traces and the HTTP routes that every role serves.

Import traces and routes from `limpetlanding.telemetry.traces` and
`limpetlanding.telemetry.service`. They are not exported here, because they
import OpenTelemetry and aiohttp, which take longer to load than everything
else that a process needs to start.
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
