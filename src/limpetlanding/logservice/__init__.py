"""Client of the platform's append-only log."""

from limpetlanding.logservice.backoff import backoff_s
from limpetlanding.logservice.client import (
    LogClient,
    LogRecord,
    LogRefused,
    LogThrottled,
    LogTruncated,
    LogUnavailable,
    Page,
    PageUnreadable,
)

__all__ = (
    'LogClient',
    'LogRecord',
    'LogRefused',
    'LogThrottled',
    'LogTruncated',
    'LogUnavailable',
    'Page',
    'PageUnreadable',
    'backoff_s',
)
