"""Fixtures shared by several packages."""

import asyncio

import pytest
from aiohttp import web

from limpetlanding.standin.log import StandinLog

LOG_PORT = 7400


@pytest.fixture
async def standin_log():
    """Serve a stand-in log at ``http://127.0.0.1:7400``."""
    log = StandinLog()
    runner = web.AppRunner(log.app(), access_log=None)
    await runner.setup()
    loop = asyncio.get_running_loop()
    server = await loop.create_server(runner.server, '127.0.0.1', LOG_PORT)
    yield log
    server.close()
    await runner.cleanup()
