"""Addresses of processes, as ``host:port``."""

from ipaddress import AddressValueError, IPv4Address

MAX_PORT = 65_535
_MAX_PORT_DIGITS = 5


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``host:port``.

    Examples
    --------
    >>> split_address('127.0.0.1:7000')
    ('127.0.0.1', 7000)
    """
    host, _, port = address.rpartition(':')
    return host, int(port)


def is_ipv4_address(address: str) -> bool:
    """Tell whether a text consists of an IPv4 address and a usable port.

    Addresses that come from other writers are checked with it before they are
    used.

    Examples
    --------
    >>> is_ipv4_address('10.0.0.1:7000')
    True
    >>> is_ipv4_address('10.0.0.1:99999'), is_ipv4_address('desk.example:80')
    (False, False)
    """
    host, _, port = address.rpartition(':')
    # The number of digits is limited because `int` rejects very long numbers.
    if not port.isascii() or not port.isdecimal():
        return False
    if len(port) > _MAX_PORT_DIGITS or not 0 < int(port) <= MAX_PORT:
        return False
    try:
        IPv4Address(host)
    except AddressValueError:
        return False
    return True
