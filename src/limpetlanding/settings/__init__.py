"""Settings of a process."""

from limpetlanding.settings.documents import (
    Document,
    DocumentError,
    Problem,
    parse_document,
    read_document,
    unit_of,
    validate,
)
from limpetlanding.settings.load import load_settings
from limpetlanding.settings.models import (
    Address,
    EmulatedDelay,
    LogSettings,
    Settings,
    TlsSettings,
    TraceSettings,
)

__all__ = (
    'Address',
    'Document',
    'DocumentError',
    'EmulatedDelay',
    'LogSettings',
    'Problem',
    'Settings',
    'TlsSettings',
    'TraceSettings',
    'load_settings',
    'parse_document',
    'read_document',
    'unit_of',
    'validate',
)
