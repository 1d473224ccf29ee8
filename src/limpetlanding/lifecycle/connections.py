"""State of client connections as the kernel knows it."""

import select

from aiohttp import web


def is_connected(request: web.Request) -> bool:
    """Tell whether the client of a request still holds its connection.

    A busy event loop may read a request long before it reads that the
    connection has been closed or reset, so this asks the kernel. A transport
    without a descriptor of the kernel, as in memory, counts as connected until
    it closes.

    Parameters
    ----------
    request : aiohttp.web.Request
        A request that has not been answered.
    """
    transport = request.transport
    if transport is None or transport.is_closing():
        return False
    connection = transport.get_extra_info('socket')
    descriptor = None if connection is None else connection.fileno()
    if not isinstance(descriptor, int):
        return True
    if descriptor < 0:
        return False
    poller = select.poll()
    poller.register(descriptor, select.POLLRDHUP)
    return not poller.poll(0)
