"""Options of the wire node of a process."""

from limpetlanding.settings import Settings
from limpetlanding.startup.tls import client_tls, server_tls
from limpetlanding.wire import NodeOptions


def node_options(settings: Settings) -> NodeOptions:
    """Return address, emulated delay and TLS contexts from the settings.

    Raises
    ------
    OSError
        If a file of the TLS settings cannot be used.
    """
    delay = settings.emulated_delay_ms
    listen = f'{settings.listen.host}:{settings.listen.port}'
    options = NodeOptions(listen=listen)
    if delay.own or delay.cross:
        options.emulated_delay_ms = lambda here, there: (
            delay.own if here == there else delay.cross
        )
    if settings.tls is not None:
        options.server_tls = server_tls(settings.tls)
        options.client_tls = client_tls(settings.tls)
    return options
