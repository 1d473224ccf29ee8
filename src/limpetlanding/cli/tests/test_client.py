import asyncio
from contextlib import asynccontextmanager
from random import Random

import aiohttp
import pytest
from aiohttp import web

from limpetlanding.cli.caller import exit_code, render
from limpetlanding.cli.client import Answer, Client, ClientOptions, NoAnswer

JOB = {'tasks': [{'kind': 'cut', 'payload': 1}]}


def complete(body):
    results = [
        {'index': 0, 'payload': 1, 'run_ms': 5, 'endpoint': 'e', 'agent': 'a'}
    ]
    return 200, {
        'id': body['id'],
        'outcome': 'complete',
        'task_count': 1,
        'results': results,
    }


def connection_lost(_body):
    return None


def refused(_body):
    return 503, {
        'outcome': 'not_run',
        'reason': 'overload',
        'retry_after_ms': 200,
        'next_id': 'next',
    }


def refused_for_good(_body):
    return 422, {'outcome': 'not_run', 'reason': 'no_endpoint'}


def coordinator_lost(_body):
    return 504, {'outcome': 'may_have_run', 'reason': 'coordinator_lost'}


def running(body):
    return 202, {'id': body['id'], 'outcome': None, 'task_count': 1}


def entry_timeout(_body):
    return 504, {'outcome': 'may_have_run', 'reason': 'entry_timeout'}


def unknown_key(_body):
    return 401, {'outcome': None, 'detail': 'unknown key'}


def balancer_error(_body):
    return 502, None


def answer_for_other_job(body):
    status, answer = complete(body)
    return status, answer | {'id': 'foreign'}


def results_missing(body):
    status, answer = complete(body)
    return status, answer | {'results': []}


class FakeEntry:
    """Answers requests in the order of a script and records job ids."""

    def __init__(self, *script):
        self.script = list(script)
        self.ids = []
        self.minted = 0
        self.most_ids = None

    async def post_ids(self, _request):
        if self.minted == self.most_ids:
            return web.json_response({'detail': 'no id'}, status=503)
        self.minted += 1
        return web.json_response({'ids': [f'id-{self.minted}']})

    async def get_job(self, request):
        job_id = request.match_info['id']
        step = self.script.pop(0) if self.script else complete
        status, content = step({'id': job_id})
        return web.json_response(content, status=status)

    async def post_job(self, request):
        body = await request.json()
        self.ids.append(body['id'])
        step = self.script.pop(0) if self.script else complete
        answer = step(body)
        if answer is None:
            request.transport.abort()
            await asyncio.sleep(1)
            return web.Response()
        status, content = answer
        if content is None:
            return web.Response(status=status, text='<html>')
        return web.json_response(content, status=status)


@asynccontextmanager
async def client_of(entry, **options):
    app = web.Application()
    app.add_routes(
        [
            web.post('/v1/ids', entry.post_ids),
            web.post('/v1/jobs', entry.post_job),
            web.get('/v1/jobs/{id}', entry.get_job),
        ]
    )
    runner = web.AppRunner(app)
    await runner.setup()
    loop = asyncio.get_running_loop()
    server = await loop.create_server(runner.server, '127.0.0.1', 8100)
    async with aiohttp.ClientSession() as session:
        values = {'entries': ['http://127.0.0.1:8100'], 'key': 'k'} | options
        yield Client(session, ClientOptions(**values), Random(5))
    server.close()
    await runner.cleanup()


class TestRetry:
    @pytest.mark.parametrize(
        'step',
        [
            connection_lost,
            balancer_error,
            answer_for_other_job,
            results_missing,
        ],
    )
    async def test_unknown_outcome_is_retried_under_the_same_id(self, step):
        # Guards against a job that runs twice after a lost connection.
        entry = FakeEntry(step, step)
        async with client_of(entry, retries=5) as client:
            answer = await client.submit(JOB)
        assert answer.outcome == 'complete'
        assert entry.ids == ['id-1'] * 3

    async def test_timeout_of_the_entry_is_retried_under_the_same_id(self):
        entry = FakeEntry(entry_timeout)
        async with client_of(entry, retries=5) as client:
            answer = await client.submit(JOB | {'repeatable': True})
        assert answer.outcome == 'complete'
        assert entry.ids == ['id-1'] * 2

    async def test_refused_job_is_retried_under_the_next_id(self):
        # Guards against retries under the old id, which get the recorded
        # refusal every time.
        entry = FakeEntry(refused)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        async with client_of(entry, retries=5) as client:
            answer = await client.submit(JOB)
        assert answer.outcome == 'complete'
        assert entry.ids == ['id-1', 'next']
        assert loop.time() - started_at >= 0.2

    async def test_job_that_can_never_run_is_not_retried(self):
        entry = FakeEntry(refused_for_good)
        async with client_of(entry, retries=5) as client:
            answer = await client.submit(JOB)
        assert answer.reason == 'no_endpoint'
        assert len(entry.ids) == 1

    async def test_job_that_may_have_run_is_not_sent_again(self):
        # Guards against a job that runs twice but is not repeatable.
        entry = FakeEntry(coordinator_lost)
        async with client_of(entry, retries=5) as client:
            answer = await client.submit(JOB)
        assert answer.outcome == 'may_have_run'
        assert entry.ids == ['id-1']

    async def test_repeatable_job_that_may_have_run_gets_a_new_id(self):
        entry = FakeEntry(coordinator_lost)
        async with client_of(entry, retries=5) as client:
            answer = await client.submit(JOB | {'repeatable': True})
        assert answer.outcome == 'complete'
        assert entry.ids == ['id-1', 'id-2']

    async def test_job_that_runs_past_its_deadline_is_awaited(self):
        # Guards against a job that is reported as ended while it still runs.
        entry = FakeEntry(running, running)
        async with client_of(entry) as client:
            answer = await client.submit(JOB)
        assert answer.outcome == 'complete'
        assert entry.ids == ['id-1']

    async def test_job_without_waiting_is_not_awaited(self):
        entry = FakeEntry(running)
        async with client_of(entry) as client:
            answer = await client.submit(JOB | {'wait': False})
        assert answer.status == 202

    async def test_retries_are_bounded(self):
        # Guards against retries that keep an overload going.
        entry = FakeEntry(*[refused] * 100)
        async with client_of(entry, retries=3) as client:
            answer = await client.submit(JOB)
        assert answer.outcome == 'not_run'
        assert len(entry.ids) == 4

    async def test_without_retries_a_lost_answer_is_unknown(self):
        entry = FakeEntry(connection_lost)
        async with client_of(entry) as client:
            answer = await client.submit(JOB)
        assert exit_code(answer) == 4
        assert len(entry.ids) == 1

    @pytest.mark.parametrize(
        'step', [connection_lost, running, balancer_error, entry_timeout]
    )
    async def test_refused_repetition_leaves_a_lost_answer_unknown(self, step):
        # Guards against a caller that is told, after a lost answer, that the
        # job has not run, because the key was withdrawn meanwhile.
        entry = FakeEntry(step, *[unknown_key] * 2)
        async with client_of(entry, retries=5) as client:
            answer = await client.submit(JOB)
        assert exit_code(answer) == 4
        assert 'may have run' in render(answer)

    async def test_refusal_of_a_new_id_leaves_the_earlier_one_unknown(self):
        entry = FakeEntry(coordinator_lost, refused_for_good)
        async with client_of(entry, retries=5) as client:
            answer = await client.submit(JOB | {'repeatable': True})
        assert entry.ids == ['id-1', 'id-2']
        assert exit_code(answer) == 4

    async def test_missing_new_id_leaves_the_earlier_one_unknown(self):
        entry = FakeEntry(coordinator_lost)
        entry.most_ids = 1
        async with client_of(entry, retries=5) as client:
            answer = await client.submit(JOB | {'repeatable': True})
        assert exit_code(answer) == 4

    async def test_refusal_by_the_coordinator_settles_a_lost_answer(self):
        entry = FakeEntry(connection_lost, refused_for_good)
        async with client_of(entry, retries=5) as client:
            answer = await client.submit(JOB)
        assert exit_code(answer) == 1

    async def test_refused_key_without_an_earlier_attempt_is_a_failure(self):
        entry = FakeEntry(unknown_key)
        async with client_of(entry, retries=5) as client:
            answer = await client.submit(JOB)
        assert exit_code(answer) == 1

    async def test_next_entry_is_tried_after_a_refused_connection(self):
        entry = FakeEntry()
        entries = ['http://127.0.0.1:1', 'http://127.0.0.1:8100']
        async with client_of(entry, retries=2, entries=entries) as client:
            answer = await client.submit(JOB)
        assert answer.outcome == 'complete'

    async def test_unreachable_entries_raise_no_answer(self):
        async with aiohttp.ClientSession() as session:
            options = ClientOptions(['http://127.0.0.1:1'], 'k')
            with pytest.raises(NoAnswer):
                await Client(session, options, Random(5)).submit(JOB)


class TestExitCode:
    @pytest.mark.parametrize(
        ('answer', 'code'),
        [
            (Answer(200, {'outcome': 'complete'}), 0),
            (Answer(202, {'outcome': None}), 0),
            (Answer(502, {'outcome': 'failed'}), 1),
            (Answer(503, {'outcome': 'not_run'}), 1),
            (Answer(409, {'outcome': None}), 1),
            (Answer(504, {'outcome': 'may_have_run'}), 4),
            (Answer(502), 4),
            (Answer(), 4),
        ],
    )
    def test_code_depends_on_the_outcome_of_the_job(self, answer, code):
        # Guards against scripts that treat an unknown outcome as a failure.
        assert exit_code(answer) == code

    def test_cancelled_job_is_a_success_of_cancel(self):
        answer = Answer(200, {'outcome': 'not_run', 'reason': 'cancelled'})
        assert exit_code(answer, is_cancel=True) == 0
        assert exit_code(answer) == 1

    def test_text_names_outcome_and_reason(self):
        answer = Answer(503, {'id': 'a', 'outcome': 'not_run', 'reason': 'x'})
        assert render(answer) == 'job a: not_run\n  reason: x'
