"""Fields of ``/statusz`` that all roles share."""

from typing import Any

from limpetlanding.wire import Counters, Hello


def identity_status(hello: Hello, state: str, missing: str) -> dict[str, Any]:
    """Return the identity of a process and whether it accepts new work.

    Parameters
    ----------
    hello : Hello
        First frame of the process.
    state : str
        State of the process.
    missing : str
        Why the process is not ready; empty if it is ready.
    """
    return {
        'role': hello.role,
        'node': hello.node,
        'incarnation': hello.incarnation,
        'region': hello.region,
        'failure_domain': hello.failure_domain,
        'address': hello.address,
        'http_address': hello.http_address,
        'state': state,
        'missing': missing,
    }


def wire_status(counters: Counters) -> dict[str, Any]:
    """Return the counters of the links.

    Examples
    --------
    >>> counters = Counters()
    >>> counters.sent.add('submit', 300)
    >>> wire_status(counters)['bytes_sent']
    {'submit': 300, 'hb': 0}
    """
    return {
        'messages_sent': dict(counters.sent.messages),
        'bytes_sent': {
            **counters.sent.byte_counts,
            'hb': counters.sent.heartbeat_bytes,
        },
        **counters.events,
    }
