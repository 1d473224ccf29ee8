"""TLS contexts of the listeners and of the links between processes.

On links both sides present a certificate that the authority of the deployment
signed. HTTP clients present none; callers are identified by their customer
key.
"""

import ssl

from limpetlanding.settings import HttpTlsSettings, TlsSettings


def server_tls(settings: TlsSettings) -> ssl.SSLContext:
    """Return the context for accepted connections.

    Raises
    ------
    OSError
        If a file cannot be read or is not valid; `ssl.SSLError` is a
        subclass of it.
    """
    return _context(settings, ssl.Purpose.CLIENT_AUTH)


def client_tls(settings: TlsSettings) -> ssl.SSLContext:
    """Return the context for dialed connections.

    Raises
    ------
    OSError
        If a file cannot be read or is not valid; `ssl.SSLError` is a
        subclass of it.
    """
    return _context(settings, ssl.Purpose.SERVER_AUTH)


def http_tls(settings: HttpTlsSettings) -> ssl.SSLContext:
    """Return the context of an HTTP listener.

    Raises
    ------
    OSError
        If a file cannot be read or is not valid; `ssl.SSLError` is a
        subclass of it.
    """
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(settings.certificate, settings.key)
    return context


def _context(settings: TlsSettings, purpose: ssl.Purpose) -> ssl.SSLContext:
    context = ssl.create_default_context(
        purpose, cafile=str(settings.authority)
    )
    context.load_cert_chain(settings.certificate, settings.key)
    # Peers are addressed by IP address. A certificate of the authority is
    # enough; the host name in it is not compared.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    return context
