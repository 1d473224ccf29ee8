"""TLS contexts of the links between processes.

Both sides show a certificate that the authority of the deployment signed.
"""

import ssl

from limpetlanding.settings import TlsSettings


def server_tls(settings: TlsSettings) -> ssl.SSLContext:
    """Return the context for accepted connections.

    Raises
    ------
    OSError
        If a file cannot be used; `ssl.SSLError` is one.
    """
    return _context(settings, ssl.Purpose.CLIENT_AUTH)


def client_tls(settings: TlsSettings) -> ssl.SSLContext:
    """Return the context for dialed connections.

    Raises
    ------
    OSError
        If a file cannot be used; `ssl.SSLError` is one.
    """
    return _context(settings, ssl.Purpose.SERVER_AUTH)


def _context(settings: TlsSettings, purpose: ssl.Purpose) -> ssl.SSLContext:
    context = ssl.create_default_context(
        purpose, cafile=str(settings.authority)
    )
    context.load_cert_chain(settings.certificate, settings.key)
    # Peers are addressed by IP address and trusted by their authority.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    return context
