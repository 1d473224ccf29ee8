"""Settings of a process, read from JSON with comments."""

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
    HttpAddress,
    HttpTlsSettings,
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
    'HttpAddress',
    'HttpTlsSettings',
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
