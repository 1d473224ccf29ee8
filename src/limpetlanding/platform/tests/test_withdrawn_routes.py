"""End-to-end tests of jobs whose route has been withdrawn."""

import asyncio

from limpetlanding.platform.store import CONFIG_KEY, CONFIG_TOPIC
from limpetlanding.platform.tests.cancelled_job import (
    FAILED,
    GONE,
    JOB,
    OK,
    PATH,
    START_S,
    cancel,
    start_job,
)
from limpetlanding.platform.tests.rig import System, body, config
from limpetlanding.runs.registry import JOB_RETENTION_S

NOT_FOUND = 404


async def withdraw_route(system):
    """Take the queue out of the configuration."""
    system.store.put(CONFIG_TOPIC, CONFIG_KEY, config(2) | {'routes': []})
    await asyncio.sleep(1)


class TestWithdrawnRoute:
    """Guards against a job that cannot be cancelled without its route."""

    async def test_job_is_cancelled_at_any_front(self):
        for front in range(2):
            async with System(front_count=2).run() as system:
                job = await start_job(system)
                await withdraw_route(system)
                assert (await system.submit('f' * 16))[0] == NOT_FOUND
                status, fields, _ = await system.call('GET', PATH)
                assert (status, fields) == (OK, {'state': 'running'})
                assert (await cancel(system, front))[0] == (OK, GONE)[front]
                assert await job == FAILED

    async def test_holder_finds_its_job_as_long_as_it_is_active(self):
        async with System().run() as system:
            for executor in system.executors:
                executor.work_s = lambda _: 60
            content = body(1, estimateMs=50_000)
            job = asyncio.create_task(system.submit(JOB, content, 90_000))
            await asyncio.sleep(START_S)
            await withdraw_route(system)
            await asyncio.sleep(JOB_RETENTION_S + 1)
            assert (await cancel(system, 0))[0] == OK
            assert await job == FAILED

    async def test_job_of_a_route_below_another_one_is_cancelled(self):
        async with System().run() as system:
            job = await start_job(system)
            wider = config(2)
            (route,) = wider['routes']
            route['pathPrefix'] = '/'
            system.store.put(CONFIG_TOPIC, CONFIG_KEY, wider)
            await asyncio.sleep(1)
            assert (await cancel(system, 0))[0] == OK
            assert await job == FAILED

    async def test_route_is_unknown_after_the_retention(self):
        async with System().run() as system:
            await withdraw_route(system)
            assert (await cancel(system, 0))[0] == GONE
            await asyncio.sleep(JOB_RETENTION_S + 1)
            assert (await cancel(system, 0))[0] == NOT_FOUND
