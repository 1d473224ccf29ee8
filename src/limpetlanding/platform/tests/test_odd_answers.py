"""Answers of an executor that cannot be read or hold odd values."""

import orjson
import pytest
from aiohttp import web
from hypothesis import given, settings
from hypothesis import strategies as st

from limpetlanding.platform.decode import Malformed, decode_inventory
from limpetlanding.platform.tests.odd_entries import (
    NUMBERS,
    OTHER_TYPES,
    UNREADABLE,
    with_field,
)
from limpetlanding.platform.tests.rig import System, body
from limpetlanding.runs.model import RunEnd
from limpetlanding.runs.ports import ActiveRun, EndedRun
from limpetlanding.standin.platform_executor import StandinExecutor

JOB = '5c0e7a21d94b36f8'
TASK = f'{JOB}.0.0.0'
LISTS = orjson.dumps(
    {
        'clockMs': 5000,
        'born': 1000,
        'running': [[TASK, 1, '', 41.5, 100]],
        'endedRuns': [[3, TASK, 2, 'done', '']],
    }
)
ACTIVE = ActiveRun(TASK, 1, 41.5)
ENDED = EndedRun(3, TASK, 2, RunEnd.DONE)
ODD_VALUES = (
    *NUMBERS[2:8],
    *NUMBERS[10:],
    b'""',
    *OTHER_TYPES[1:5],
    b'null',
)
"""Values that a readable body may have at a place."""


def lists(running=(), ended=()):
    """Return lists of runs with further rows, which are JSON texts."""
    rows = orjson.dumps([TASK, 1, '', 41.5, 100])
    ends = orjson.dumps([3, TASK, 2, 'done', ''])
    fields = with_field(
        LISTS, 'running', b'[' + b','.join((*running, rows)) + b']'
    )
    return with_field(
        fields, 'endedRuns', b'[' + b','.join((*ended, ends)) + b']'
    )


def row(template, position, value):
    """Return a row of a list with another JSON text at one position."""
    texts = list(map(orjson.dumps, template))
    texts[position] = value
    return b'[' + b','.join(texts) + b']'


class TestLists:
    """Guards against a worker that stops calling its executor."""

    @pytest.mark.parametrize(
        'odd',
        [
            *(b'7', b'""', b'"abcd"', b'{}', b'[]', b'[[]]', b'null'),
            *(
                row(['odd', 1, '', 0, 0], position, value)
                for position in (0, 1)
                for value in ODD_VALUES
                if (position, value) != (0, b'""')
            ),
        ],
    )
    def test_odd_active_run_hides_no_other(self, odd):
        inventory = decode_inventory(lists(running=[odd]))
        assert inventory.active == [ACTIVE]
        assert inventory.ended == [ENDED]

    @pytest.mark.parametrize('value', [*ODD_VALUES, b'"nan"', b'"41"'])
    def test_run_without_readable_progress_is_listed(self, value):
        # Guards against a second start of a run that is active.
        odd = row(['odd', 7, '', 0, 0], 3, value)
        inventory = decode_inventory(lists(running=[odd]))
        assert [(x.task, x.run) for x in inventory.active] == [
            ('odd', 7),
            (TASK, 1),
        ]
        assert all(0 <= x.percent <= 100 for x in inventory.active)

    @pytest.mark.parametrize('value', [*ODD_VALUES, b'"new"', b'"Done"'])
    @pytest.mark.parametrize('position', [1, 2, 3])
    def test_odd_end_is_acknowledged_and_hides_no_other(self, position, value):
        # Guards against ends that are listed again without end.
        odd = row([2, 'odd', 7, 'done', ''], position, value)
        inventory = decode_inventory(lists(ended=[odd]))
        assert inventory.active == [ACTIVE]
        assert [x.number for x in inventory.ended] == [2, 3]
        assert inventory.ended[-1] == ENDED
        expected = RunEnd.LAPSED if position == 3 else RunEnd.DONE
        assert inventory.ended[0].how is expected

    @pytest.mark.parametrize(
        'odd',
        [
            *(b'7', b'"abcd"', b'{}', b'[]', b'null'),
            *(row([2, 'odd', 7, 'done', ''], 0, x) for x in ODD_VALUES),
        ],
    )
    def test_end_that_cannot_be_acknowledged_is_refused(self, odd):
        # Guards against calls without a pause, since each lists this end.
        with pytest.raises(Malformed, match='ended runs'):
            decode_inventory(lists(ended=[odd]))

    @pytest.mark.parametrize(
        'content',
        [
            *UNREADABLE,
            *(
                with_field(LISTS, name, value)
                for name in ('clockMs', 'born')
                for value in (*NUMBERS, *OTHER_TYPES)
            ),
            *(
                with_field(LISTS, name, value)
                for name in ('running', 'endedRuns')
                for value in (*NUMBERS, *OTHER_TYPES[2:3], b'"text"', b'null')
            ),
        ],
    )
    def test_unreadable_lists_are_refused(self, content):
        with pytest.raises(Malformed):
            decode_inventory(content)

    @given(at=st.integers(0, len(LISTS) - 1), content=st.binary(max_size=6))
    @settings(max_examples=400, deadline=None)
    def test_changed_lists_are_read_or_refused(self, at, content):
        changed = LISTS[:at] + content + LISTS[at + 1 :]
        try:
            inventory = decode_inventory(changed)
        except Malformed:
            return
        for run in (*inventory.active, *inventory.ended):
            assert type(run.run) is int
            assert type(run.task) is str


class TestAnswers:
    """Guards against runs that are never ended after an odd answer."""

    @pytest.mark.parametrize(
        'rows',
        [
            {'running': [[['x'], 1, '', 0]]},
            {'running': [['x', 'y', '', 0], ['x', 1, '', 0]]},
            {'endedRuns': [['n', 'x', 1, 'done', '']]},
            {'endedRuns': [[1, 'x', 1, 'new', '']]},
            {'running': 7},
            {'clockMs': 2**64 - 1},
        ],
    )
    async def test_jobs_complete_after_odd_lists(self, monkeypatch, rows):
        answer = StandinExecutor._answer
        left = [rows] * 6

        def odd(executor, status, **fields):
            if left and executor.history and 'running' in fields:
                fields |= left.pop()
            return answer(executor, status, **fields)

        monkeypatch.setattr(StandinExecutor, '_answer', odd)
        async with System(worker_count=1).run() as system:
            await system.submit(JOB)
            await system.settle(6)
            assert len(left) < 6
            assert (await system.submit(f'{7:016x}'))[0] == 200

    @pytest.mark.parametrize(
        'content',
        [
            *UNREADABLE,
            b'{}',
            *(b'{"clockMs":%s}' % x for x in (*NUMBERS, *OTHER_TYPES)),
            *(b'{"reason":%s}' % x for x in (b'7', b'null', *OTHER_TYPES)),
        ],
    )
    @pytest.mark.parametrize('status', [200, 400, 409])
    async def test_jobs_complete_after_an_odd_answer_to_a_start(
        self, monkeypatch, content, status
    ):
        start = StandinExecutor._start
        answers = [web.Response(status=status, body=content)]

        async def odd(executor, fields):
            if not answers:
                return await start(executor, fields)
            if status == 200:
                await start(executor, fields)
            return answers.pop()

        monkeypatch.setattr(StandinExecutor, '_start', odd)
        async with System(worker_count=1).run() as system:
            assert (await system.submit(JOB, body(1)))[0] == 200
            assert not answers
            await system.settle()
            assert not system.workers[0].supervisor.runs
            assert (await system.submit(f'{7:016x}'))[0] == 200
