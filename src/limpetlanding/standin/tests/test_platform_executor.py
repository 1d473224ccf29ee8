"""Tests of the stand-in for an executor of the platform."""

import asyncio

from aiohttp import ClientSession

from limpetlanding.platform.tests.rig import EXECUTOR_PORT, serve
from limpetlanding.standin.platform_executor import StandinExecutor

LATE_S = 0.2


async def start_late(executor):
    """Send a start that the executor carries out after `LATE_S`."""
    executor.faults.late_orders_s = LATE_S
    url = f'http://127.0.0.1:{EXECUTOR_PORT}/api/run-start'
    order = {'task': 'a', 'run': 1, 'deadlineMs': 10_000, 'fencingToken': 1}
    async with serve(executor.app(), EXECUTOR_PORT), ClientSession() as session:
        answer = asyncio.create_task(session.post(url, json=order))
        await asyncio.sleep(LATE_S / 2)
        yield
        await asyncio.sleep(LATE_S)
        answer.cancel()


class TestCrash:
    """Guards against findings of the soak that no real executor can cause."""

    async def test_late_order_is_carried_out(self):
        executor = StandinExecutor('i-1')
        async for _ in start_late(executor):
            assert not executor.history
        assert len(executor.history) == 1

    async def test_crashed_executor_carries_out_no_order(self):
        executor = StandinExecutor('i-1')
        async for _ in start_late(executor):
            executor.crash()
        assert not executor.history

    async def test_later_life_carries_out_no_order_of_an_earlier_one(self):
        executor = StandinExecutor('i-1')
        async for _ in start_late(executor):
            executor.restart('i-1')
        assert not executor.history

    async def test_later_life_carries_out_an_order_on_request(self):
        executor = StandinExecutor('i-1')
        executor.faults.late_orders_survive = True
        async for _ in start_late(executor):
            executor.restart('i-1')
        assert len(executor.history) == 1
