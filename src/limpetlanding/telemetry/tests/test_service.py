import asyncio
from contextlib import asynccontextmanager

import aiohttp
import pytest
from aiohttp import web

from limpetlanding.telemetry.metrics import Metrics
from limpetlanding.telemetry.service import _is_loopback, add_service_routes


class Role:
    def __init__(self):
        self.ready = False
        self.drains = 0
        self.metrics = Metrics()

    def drain(self):
        self.drains += 1


@asynccontextmanager
async def run_service(role):
    app = web.Application()
    add_service_routes(
        app,
        lambda: '' if role.ready else 'no agent',
        lambda: {'ready': role.ready, 'queued': 3},
        role.drain,
        role.metrics,
    )
    runner = web.AppRunner(app)
    await runner.setup()
    server = await asyncio.get_running_loop().create_server(
        runner.server, '127.0.0.1', 8000
    )
    async with aiohttp.ClientSession('http://127.0.0.1:8000') as session:
        yield session
    server.close()
    await runner.cleanup()


class TestServiceRoutes:
    async def test_readiness_follows_the_role(self):
        # Guards against a load balancer that sends requests to a process
        # that is stopping.
        role = Role()
        async with run_service(role) as session:
            for ready, code in ((False, 503), (True, 200), (False, 503)):
                role.ready = ready
                async with session.get('/readyz') as answer:
                    assert answer.status == code
                    text = await answer.text()
                assert text == ('ready\n' if ready else 'no agent\n')
            async with session.get('/healthz') as answer:
                assert answer.status == 200

    async def test_metrics_and_status(self):
        role = Role()
        role.metrics.counter('jobs_total', 'Jobs.').inc({})
        async with run_service(role) as session:
            async with session.get('/metrics') as answer:
                assert 'limpetlanding_jobs_total 1' in await answer.text()
                assert answer.content_type == 'text/plain'
            async with session.get('/statusz') as answer:
                assert await answer.json() == {'ready': False, 'queued': 3}

    async def test_drain_is_started_by_post_only(self):
        role = Role()
        async with run_service(role) as session:
            async with session.get('/drain') as answer:
                assert answer.status == 405
            assert role.drains == 0
            async with session.post('/drain') as answer:
                assert answer.status == 202
            assert role.drains == 1

    @pytest.mark.parametrize(
        ('remote', 'local'),
        [
            ('127.0.0.1', True),
            ('::1', True),
            ('10.0.0.1', False),
            ('', False),
            (None, False),
        ],
    )
    def test_only_loopback_addresses_may_drain(self, remote, local):
        # Guards against callers that stop an entry through the load
        # balancer.
        assert _is_loopback(remote) is local
