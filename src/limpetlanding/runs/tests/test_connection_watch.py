"""Tests of the call that shows that an idle executor has ended."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from limpetlanding.runs.connection_watch import (
    WATCH_MS,
    WATCH_TIMEOUT_S,
    ConnectionWatch,
)
from limpetlanding.runs.ports import (
    CallTarget,
    ExecutorDown,
    ExecutorReplaced,
    ExecutorUnavailable,
    FenceRejected,
    Inventory,
)

TARGET = CallTarget('i-1', 7)


class OpenCalls:
    """Port that answers when the test says so."""

    def __init__(self):
        self.answers = []
        self.calls = []

    async def inventory(self, *call):
        self.calls.append(call)
        self.answers.append(asyncio.get_running_loop().create_future())
        return await self.answers[-1]


@asynccontextmanager
async def opened():
    """Yield an open watch, its port and what it has reported."""
    port, reports = OpenCalls(), []
    watch = ConnectionWatch(
        port,
        lambda: reports.append('break'),
        lambda: reports.append(f'end {watch.is_open}'),
    )
    await watch.open(TARGET, 3)
    try:
        yield watch, port, reports
    finally:
        await watch.close()


class TestConnectionWatch:
    """Guards against the end of an idle executor that is not noticed."""

    async def test_call_is_sent_without_a_lease(self):
        # Guards against a lease that is renewed although there are no runs.
        async with opened() as (watch, port, reports):
            assert port.calls == [(TARGET, 3, None, 2000)]
            await asyncio.sleep(1.9)
            assert watch.is_open
            assert not reports

    @pytest.mark.parametrize(
        'kind', [ExecutorUnavailable, ExecutorDown, ExecutorReplaced]
    )
    async def test_broken_call_is_reported(self, kind):
        async with opened() as (watch, port, reports):
            port.answers[0].set_exception(kind('broken', step='look'))
            await asyncio.sleep(0.01)
            assert reports == ['break']
            assert not watch.is_open

    async def test_answer_and_no_answer_are_no_break(self):
        # Guards against room that is refused although nothing has happened.
        async with opened() as (watch, port, reports):
            port.answers[0].set_result(Inventory(5000, 1))
            await asyncio.sleep(0.01)
            assert reports == ['end False']
            await watch.open(TARGET, 3)
            await asyncio.sleep(2.3)
            assert reports == ['end False'] * 2

    async def test_late_answer_is_waited_for_without_further_calls(self):
        # Guards against a loop without pauses until a late answer arrives.
        async with opened() as (watch, _, _reports):
            await asyncio.sleep(WATCH_MS / 1000 + WATCH_TIMEOUT_S / 2)
            begin = watch.loop.time()
            await watch.wait(asyncio.Event())
            assert watch.loop.time() - begin >= WATCH_TIMEOUT_S / 2

    async def test_rejected_token_is_no_break(self):
        async with opened() as (_, port, reports):
            port.answers[0].set_exception(FenceRejected('old', step='look'))
            await asyncio.sleep(0.01)
            assert reports == ['end False']
