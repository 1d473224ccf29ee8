"""Logs and traces of a process, from its start to its end."""

import logging
from collections.abc import Iterator
from contextlib import contextmanager

from loguru import logger

from limpetlanding.settings import Settings
from limpetlanding.telemetry import (
    configure_logs,
    configure_traces,
    otlp_exporter,
    shut_down_traces,
)


class _Forwarder(logging.Handler):
    """Passes records of the standard library's logging to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        logger.bind(step=record.name).opt(exception=record.exc_info).log(
            record.levelname, '{}', record.getMessage()
        )


def start_logs(level: str, role: str, node: str) -> None:
    """Write log lines as JSON, those of asyncio and aiohttp among them.

    Parameters
    ----------
    level : str
        Lowest level that is written.
    role, node : str
        Fields of every line.
    """
    configure_logs(level, role=role, node=node)
    logging.basicConfig(
        handlers=[_Forwarder()], level=logging.WARNING, force=True
    )


@contextmanager
def telemetry(settings: Settings) -> Iterator[None]:
    """Write logs, and traces if they are on, within the block."""
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
