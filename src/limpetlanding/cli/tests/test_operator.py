"""Operator verbs, and checks of the example settings and contracts."""

import asyncio
import json
import re
from io import StringIO
from pathlib import Path

import pytest
from rich.console import Console

from limpetlanding.bench.deployments import (
    DEPLOYMENTS,
    ENDPOINT_COUNT,
    SLOTS_PER_ENDPOINT,
)
from limpetlanding.cli import contracts as verbs
from limpetlanding.cli.contracts import VERBS
from limpetlanding.cli.operator import explain, status_tables
from limpetlanding.contracts import (
    PublicationReport,
    PublicationResult,
    load_contract,
)
from limpetlanding.settings import DocumentError, load_settings

EXAMPLES = Path(__file__).parents[4] / 'examples'
WORKSHOPS = str(EXAMPLES / 'offcut' / 'contracts' / 'workshops.json')


@pytest.fixture
def run_on_log(standin_log, monkeypatch):
    """Return a function that runs a verb against the stand-in log.

    The verb's coroutine runs on the event loop of the test.
    """

    def schedule_on_test_loop(coroutine):
        pending.append(asyncio.ensure_future(coroutine))
        raise _Scheduled

    class _Scheduled(Exception):
        pass

    pending = []
    monkeypatch.setattr(verbs.asyncio, 'run', schedule_on_test_loop)

    async def run(verb, *arguments, **options):
        with pytest.raises(_Scheduled):
            VERBS[verb](*arguments, **options)
        result = await pending.pop()
        with monkeypatch.context() as patch:
            patch.setattr(verbs, '_with_log', lambda *_: result)
            VERBS[verb](*arguments, **options)

    return run


class TestContractVerbs:
    def test_check(self, capsys):
        VERBS['check'](WORKSHOPS, json=True)
        (row,) = json.loads(capsys.readouterr().out)
        assert row['customer'] == 'workshops'

    def test_check_names_file_and_line(self, tmp_path):
        path = tmp_path / 'c.json'
        text = Path(WORKSHOPS).read_text()
        path.write_text(text.replace('answer_within_ms', 'answer_within_s'))
        with pytest.raises(DocumentError) as caught:
            VERBS['check'](str(path))
        problem = str(caught.value.problems[-1])
        assert re.search(
            r'c.json:\d+: answer_within_s: .*milliseconds', problem
        )

    async def test_publish_show_and_history(self, run_on_log, capsys):
        with pytest.raises(SystemExit) as published:
            await run_on_log('publish', WORKSHOPS, author='ana')
        assert published.value.code == 0
        await run_on_log('diff', WORKSHOPS)
        await run_on_log('show', 'workshops', json=True)
        await run_on_log('history', 'workshops')
        out = capsys.readouterr().out
        assert 'no difference' in out
        assert '"version": 1' in out
        assert 'version 1 by ana, accepted' in out

    @pytest.mark.parametrize(
        ('result', 'code'),
        [('accepted', 0), ('invalid', 1), ('lost', 3), ('unknown', 4)],
    )
    def test_exit_codes_of_publish(self, monkeypatch, result, code):
        # Guards against scripts that cannot tell a lost race from an unknown
        # result.
        published = PublicationReport(
            PublicationResult(result), 'workshops', 2, 'r', winner='b'
        )
        monkeypatch.setattr(verbs, '_with_log', lambda *_: published)
        with pytest.raises(SystemExit) as caught:
            VERBS['publish'](WORKSHOPS)
        assert caught.value.code == code


class TestStatus:
    def test_tables_show_the_status_of_entries(self):
        answer = {
            'node': 'entry-1',
            'state': 'ready',
            'config_age_s': None,
            'versions': {'yard': 3},
            'refusals': {'overload': 2},
            'agents': [
                {
                    'node': 'agent-01',
                    'ejected': True,
                    'endpoints': [{'endpoint': 'saw', 'slots': 8, 'busy': 3}],
                }
            ],
        }
        console = Console(width=100, record=True, file=StringIO())
        for table in status_tables({'u': answer, 'v': {'error': 'refused'}}):
            console.print(table)
        text = console.export_text()
        expected = (
            'entry-1',
            'unknown',
            'ejected',
            'saw',
            '3/8',
            'yard',
            'refused',
        )
        assert all(word in text for word in (*expected, 'overload'))


class TestExplain:
    def test_records_are_in_order_of_time(self, tmp_path, capsys):
        path = tmp_path / 'log'
        lines = [
            loguru_line('2', 'r1', 'submit', 'forwarded'),
            loguru_line('1', 'r1', 'admission', 'admitted'),
            loguru_line('3', 'r10', 'admission', 'of another request'),
            'r1 noise',
            '{"r1": ',
        ]
        path.write_text('\n'.join(lines))
        explain('r1', str(path))
        first, second = capsys.readouterr().out.splitlines()
        assert 'admitted' in first
        assert 'forwarded' in second

    def test_inputs_follow_the_text_and_prefixes_are_skipped(
        self, tmp_path, capsys
    ):
        path = tmp_path / 'front.log'
        path.write_text(
            '36.5 front-1 {"time": "t", "node": "front-1", "step": "order", '
            '"request_id": "r1", "message": "runs ordered", "free_cpu": 900}'
        )
        explain('r1', str(path))
        line = capsys.readouterr().out.strip()
        assert line.endswith('[order] runs ordered free_cpu=900')


def loguru_line(time, request_id, step, text):
    extra = {'request_id': request_id, 'step': step, 'peer': 'agent-01'}
    record = {'time': {'repr': time}, 'message': text, 'extra': extra}
    return json.dumps({'text': text, 'record': record})


class TestExamples:
    @pytest.mark.parametrize('name', DEPLOYMENTS)
    def test_settings_match_the_deployment(self, name):
        deployment = DEPLOYMENTS[name]
        for role in ('entry', 'agent'):
            settings = load_settings(EXAMPLES / name / f'{role}.json')
            assert settings.role == role
            assert settings.region == deployment.region
            assert settings.failure_domain in deployment.failure_domains
            text = (EXAMPLES / name / 'agent.json').read_text()
            assert f'"cross": {deployment.cross_domain_delay_ms}' in text

    @pytest.mark.parametrize('name', DEPLOYMENTS)
    def test_contracts_fit_the_deployment(self, name):
        deployment = DEPLOYMENTS[name]
        files = sorted((EXAMPLES / name / 'contracts').iterdir())
        contracts = [load_contract(str(file)) for file in files]
        assert len(contracts) == 2
        slots = sum(c.limits.tasks_at_once for c in contracts)
        assert slots == ENDPOINT_COUNT * SLOTS_PER_ENDPOINT
        assert sum(c.peak_share for c in contracts) == pytest.approx(1)
        assert {c.customer for c in contracts} < set(deployment.customers)
        kinds = {kind for c in contracts for kind in c.kinds}
        assert kinds <= set(deployment.all_kinds())
