"""Logs with one JSON object per line."""

import json
import logging
import sys
import traceback
from collections.abc import Callable
from typing import Any

from loguru import logger

LineWriter = Callable[[str], Any]


def configure_logs(
    level: str = 'INFO', sink: LineWriter | None = None, **context: str
) -> None:
    """Write all messages of loguru to `sink`, one JSON object per line.

    Parameters
    ----------
    level : str
        Lowest level that is written.
    sink : callable, optional
        Called with each line, newline included; writes to standard error by
        default.
    **context : str
        Fields that every line gets, such as ``role`` and ``node``.

    See Also
    --------
    loguru.logger.contextualize : adds fields such as ``request_id`` within a
        block.
    loguru.logger.bind : adds fields such as ``step`` and ``peer`` to a line.

    Examples
    --------
    >>> lines = []
    >>> configure_logs(sink=lines.append, node='entry-1')
    >>> logger.bind(step='submit', peer='agent-3').info('answered')
    >>> fields = json.loads(lines[0])
    >>> fields['node'], fields['step'], fields['peer'], fields['message']
    ('entry-1', 'submit', 'agent-3', 'answered')
    """
    write = sink or sys.stderr.write
    logger.remove()
    logger.configure(extra=context)
    # With diagnose=True a traceback contains the values of variables, among
    # them customer keys and payloads, and takes 2 ms.
    logger.add(
        lambda entry: write(_json_line(entry.record)),
        level=level,
        format='{message}',
        diagnose=False,
        backtrace=False,
    )


def job_logger(request_id: str, job_id: str, step: str, peer: str = '') -> Any:
    """Return a logger with the fields that ``limpetlanding explain`` reads.

    Parameters
    ----------
    request_id : str
        Id of the caller's request.
    job_id : str
        Id of the job.
    step : str
        Step of the request, such as ``admit`` or ``run``.
    peer : str
        The node or endpoint that the line concerns.

    Examples
    --------
    >>> lines = []
    >>> configure_logs('DEBUG', lines.append)
    >>> job_logger('r1', 'j1', 'run', 'endpoint-1').debug('started')
    >>> fields = json.loads(lines[0])
    >>> [fields[x] for x in ('request_id', 'job_id', 'step', 'peer')]
    ['r1', 'j1', 'run', 'endpoint-1']
    """
    return logger.bind(
        request_id=request_id, job_id=job_id, step=step, peer=peer
    )


def start_logs(
    level: str, role: str, node: str, sink: LineWriter | None = None
) -> None:
    """Write the logs of loguru and of the standard library as JSON.

    Messages of libraries such as asyncio and aiohttp are written from level
    ``WARNING`` on.

    Parameters
    ----------
    level : str
        Lowest level that is written.
    role, node : str
        Fields that every line gets.
    sink : callable, optional
        Called with each line; writes to standard error by default.
    """
    configure_logs(level, sink, role=role, node=node)
    logging.basicConfig(
        handlers=[_LoguruHandler()], level=logging.WARNING, force=True
    )


class _LoguruHandler(logging.Handler):
    """Logging handler that forwards the records to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        logger.bind(step=record.name).opt(exception=record.exc_info).log(
            record.levelname, '{}', record.getMessage()
        )


def _json_line(record: Any) -> str:
    fields = {
        'time': record['time'].isoformat(timespec='milliseconds'),
        'level': record['level'].name,
        'message': record['message'],
        **record['extra'],
        'logger': f'{record["name"]}:{record["line"]}',
    }
    error = record['exception']
    if error is not None:
        fields['error'] = f'{type(error.value).__name__}: {error.value}'
        fields['traceback'] = ''.join(traceback.format_exception(error.value))
    text = json.dumps(fields, default=str, ensure_ascii=False)
    return f'{text}\n'
