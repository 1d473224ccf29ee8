"""State of client connections as the kernel knows it."""

import asyncio
import select
from collections.abc import Callable
from math import inf

from aiohttp import web

MAX_ANSWER_AGE_S = 0.005
"""A front sends the orders of a job within some ms, and needs one system call
for all of them. A client that has left reaches another front after about 8
ms."""


def connection_check(request: web.Request) -> Callable[[], bool]:
    """Return a function that tells whether a client holds its connection.

    It asks `is_connected` at most once in `MAX_ANSWER_AGE_S` seconds.

    Parameters
    ----------
    request : aiohttp.web.Request
        A request that has not been answered.
    """
    loop = asyncio.get_running_loop()
    answer = False
    asked_at = -inf

    def check() -> bool:
        nonlocal answer, asked_at
        now = loop.time()
        if now - asked_at > MAX_ANSWER_AGE_S:
            answer = is_connected(request)
            asked_at = now
        return answer

    return check


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
