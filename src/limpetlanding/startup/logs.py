"""Logs and traces of a process while it runs."""

from collections.abc import Iterator
from contextlib import contextmanager

from limpetlanding.settings import Settings
from limpetlanding.telemetry.logs import start_logs
from limpetlanding.telemetry.traces import (
    configure_traces,
    otlp_exporter,
    shut_down_traces,
)


@contextmanager
def telemetry(settings: Settings) -> Iterator[None]:
    """Write logs, and traces if the settings have them, within the block."""
    start_logs(settings.log_level, settings.role, settings.node)
    if settings.traces is not None:
        configure_traces(
            otlp_exporter(settings.traces.url),
            role=settings.role,
            node=settings.node,
        )
    try:
        yield
    finally:
        shut_down_traces()
