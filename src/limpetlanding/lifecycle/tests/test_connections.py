"""Tests of the state of client connections, on sockets of the kernel."""

import asyncio
import socket
import struct
import time
from contextlib import closing

import pytest
import uvloop
from aiohttp import web

from limpetlanding.lifecycle import connections
from limpetlanding.lifecycle.connections import (
    MAX_ANSWER_AGE_S,
    connection_check,
    is_connected,
)

REQUEST = b'GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n'
# Time in which the kernel passes on a close between two local sockets.
DELIVERY_S = 0.05


def reset(client):
    """Close a connection so that the peer receives a reset."""
    linger = struct.pack('ii', 1, 0)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    client.close()


async def connected_after(leave):
    """Return whether the client of a request is connected once it has left.

    The event loop does not run between the request and the answer.
    """
    seen = []
    done = asyncio.Event()

    async def handle(request):
        seen.append(is_connected(request))
        leave(client)
        time.sleep(DELIVERY_S)  # noqa: ASYNC251
        seen.append(is_connected(request))
        done.set()
        return web.Response()

    runner = web.ServerRunner(web.Server(handle))
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    with closing(socket.socket()) as client:
        client.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(client, site._server.sockets[0].getsockname())
        await loop.sock_sendall(client, REQUEST)
        await done.wait()
    await runner.cleanup()
    return seen


class TestClientThatHasLeft:
    """Guards against work for a client whose close has not been read yet."""

    @pytest.mark.parametrize(
        'new_loop', [uvloop.new_event_loop, asyncio.new_event_loop]
    )
    @pytest.mark.parametrize(
        ('leave', 'is_left'),
        [(socket.socket.close, True), (reset, True), (id, False)],
        ids=['close', 'reset', 'stay'],
    )
    def test_kernel_knows_before_the_event_loop(self, new_loop, leave, is_left):
        with asyncio.Runner(loop_factory=new_loop) as runner:
            seen = runner.run(connected_after(leave))
        assert seen == [True, not is_left]


class TestAnswerAge:
    """Guards against a call of the kernel for each order, and an old answer."""

    async def test_kernel_is_asked_again_when_the_answer_is_old(
        self, monkeypatch
    ):
        asked = []

        def leave(request):
            asked.append(request)
            return len(asked) == 1

        monkeypatch.setattr(connections, 'is_connected', leave)
        check = connection_check('request')
        assert check()
        assert check()
        assert asked == ['request']
        await asyncio.sleep(2 * MAX_ANSWER_AGE_S)
        assert not check()
