"""Identity of a process, sent as the first frame of each link."""

from limpetlanding.jobs import new_incarnation
from limpetlanding.settings import Settings
from limpetlanding.wire import PROTOCOL_VERSION, Hello


def new_hello(settings: Settings) -> Hello:
    """Return the first frame of a process, with a new incarnation.

    The HTTP address is empty until the process listens, because port 0 in
    the settings selects a free port.

    Examples
    --------
    >>> hello = new_hello(Settings(role='entry', node='entry-1',
    ...     region='punjab', failure_domain='kasur',
    ...     listen={'host': '10.0.0.1', 'port': 7001}))
    >>> hello.role, hello.address, len(hello.incarnation)
    ('entry', '10.0.0.1:7001', 16)
    """
    host = settings.advertise_host or settings.listen.host
    return Hello(
        PROTOCOL_VERSION,
        settings.role,
        settings.node,
        new_incarnation(),
        settings.failure_domain,
        f'{host}:{settings.listen.port}',
        '',
        settings.region,
    )
