"""Runs every asynchronous test on virtual time with in-memory sockets."""

import asyncio

import aiohttp
import async_solipsism
import pytest


def pytest_asyncio_loop_factories(config, item):
    """Give each test an event loop whose clock jumps to the next timer."""
    return {'virtual': async_solipsism.EventLoop}


async def _connect_in_memory(
    _connector,
    protocol_factory,
    *,
    addr_infos,
    req,
    timeout,
    client_error=aiohttp.ClientConnectorError,
    **_,
):
    host, port = addr_infos[0][-1][:2]
    try:
        return await asyncio.get_running_loop().create_connection(
            protocol_factory, host, port
        )
    except OSError as error:
        raise client_error(req.connection_key, error) from error


@pytest.fixture(autouse=True)
def _in_memory_http(monkeypatch):
    # aiohttp connects with raw sockets, which the virtual loop does not
    # support.
    monkeypatch.setattr(
        aiohttp.TCPConnector, '_wrap_create_connection', _connect_in_memory
    )
