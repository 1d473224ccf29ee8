"""TLS contexts of the listeners and of the links between processes.

On links both sides show a certificate that the authority of the deployment
signed. HTTP clients show none; callers are known by their customer key.
"""

import ssl

from limpetlanding.settings import HttpTlsSettings, TlsSettings


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


def http_tls(settings: HttpTlsSettings) -> ssl.SSLContext:
    """Return the context of an HTTP listener.

    Raises
    ------
    OSError
        If a file cannot be used; `ssl.SSLError` is one.
    """
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(settings.certificate, settings.key)
    return context


def _context(settings: TlsSettings, purpose: ssl.Purpose) -> ssl.SSLContext:
    context = ssl.create_default_context(
        purpose, cafile=str(settings.authority)
    )
    context.load_cert_chain(settings.certificate, settings.key)
    # Peers are addressed by IP address and trusted by their authority.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    return context
