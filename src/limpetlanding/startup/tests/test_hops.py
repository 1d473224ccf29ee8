"""Traces and log lines of one job through all roles."""

import json
import sys

import pytest
from loguru import logger
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)

from limpetlanding.cli.operator import find_log_records
from limpetlanding.entry.tests.test_system import running_system, task_bodies
from limpetlanding.standin.endpoint import StandinEndpoint
from limpetlanding.telemetry import traces
from limpetlanding.telemetry.logs import configure_logs
from limpetlanding.telemetry.traces import configure_traces, shut_down_traces

TRACE = '4bf92f3577b34da6a3ce929d0e0e4736'
PARENT = '00f067aa0ba902b7'
JOB_TASKS = 8


@pytest.fixture
def exporter():
    exporter = InMemorySpanExporter()
    configure_traces(lambda: exporter)
    yield exporter
    shut_down_traces()


@pytest.fixture
def received(monkeypatch):
    """Return the ``traceparent`` of each call at the endpoints."""
    received = []
    run = StandinEndpoint.run

    async def record_and_run(self, request):
        received.append(request.headers.get('traceparent', ''))
        return await run(self, request)

    monkeypatch.setattr(StandinEndpoint, 'run', record_and_run)
    return received


async def submit_one(**headers):
    async with running_system(agents=2) as system:
        caller = system.callers[0]
        (job_id,) = await caller.mint()
        body = {'id': job_id, 'tasks': task_bodies(JOB_TASKS)}
        response, _ = await caller.call('POST', '/v1/jobs', body, **headers)
    assert response.status == 200
    return job_id


def ids_of(spans):
    return {span.context.span_id for span in spans}


def parents_of(spans):
    return {span.parent.span_id for span in spans}


class TestTraces:
    async def test_one_trace_has_all_hops_over_two_agents(
        self, exporter, received
    ):
        # Guards against a hop that does not continue the caller's trace.
        await submit_one(traceparent=f'00-{TRACE}-{PARENT}-01')
        traces._active['provider'].force_flush()
        by_name = {}
        for span in exporter.get_finished_spans():
            assert f'{span.context.trace_id:032x}' == TRACE
            by_name.setdefault(span.name, []).append(span)
        counts = {name: len(spans) for name, spans in by_name.items()}
        per_task = dict.fromkeys(('queue', 'run', 'call'), JOB_TASKS)
        assert counts == {'request': 1, 'admit': 1, 'submit': 1} | per_task
        assert parents_of(by_name['request']) == {int(PARENT, 16)}
        requests = ids_of(by_name['request'])
        assert parents_of(by_name['admit']) == requests
        assert parents_of(by_name['submit']) == requests
        submits = ids_of(by_name['submit'])
        assert parents_of(by_name['queue']) == submits
        assert parents_of(by_name['run']) == submits
        assert parents_of(by_name['call']) == ids_of(by_name['run'])
        agents = {span.attributes['agent'] for span in by_name['run']}
        assert agents == {'agent-1', 'agent-2'}
        received_ids = {int(text.split('-')[2], 16) for text in received}
        assert received_ids == ids_of(by_name['call'])

    async def test_callers_trace_reaches_endpoints_while_traces_are_off(
        self, received
    ):
        # Guards against a trace of the caller that ends at the entry.
        await submit_one(traceparent=f'00-{TRACE}-{PARENT}-01')
        assert received == [f'00-{TRACE}-{PARENT}-01'] * JOB_TASKS


@pytest.fixture
def lines():
    lines = []
    yield lines
    logger.remove()
    logger.configure(extra={})
    logger.add(sys.stderr)


class TestLines:
    async def test_debug_lines_show_each_hop_and_decision(self, lines):
        # Guards against a request that `limpetlanding explain` cannot follow.
        configure_logs('DEBUG', lines.append)
        job_id = await submit_one(**{'X-Request-Id': 'r-1'})
        found = list(find_log_records('r-1', lines))
        logged = {(x['step'], x['text'].split(':')[0]) for x in found}
        assert ('admit', 'admitted') in logged
        assert ('coordinate', 'accepted') in logged
        assert ('coordinate', 'ended') in logged
        assert ('answer', 'answered') in logged
        texts = [x['text'] for x in found]
        assert sum('started after' in x for x in texts) == JOB_TASKS
        assert sum(' ended: done' in x for x in texts) == JOB_TASKS
        sent = {x['peer'] for x in found if x['step'] == 'place'}
        assert sent == {'agent-1', 'agent-2'}
        ran = {x['peer'] for x in found if x['step'] == 'run'}
        assert ran == {'endpoint-1', 'endpoint-2'}
        assert found == list(find_log_records(job_id, lines))

    async def test_a_complete_job_adds_no_line_at_info(self, lines):
        # Guards against log lines that cost more than the job.
        configure_logs('INFO', lines.append)
        job_id = await submit_one(**{'X-Request-Id': 'r-1'})
        assert not list(find_log_records(job_id, lines))

    async def test_a_job_that_did_not_complete_has_one_line_per_process(
        self, lines
    ):
        # Guards against refusals and failures that leave no line at INFO.
        configure_logs('INFO', lines.append)
        async with running_system(agents=1) as system:
            caller = system.callers[0]
            ids = await caller.mint(2)
            refused, _ = await caller.submit(
                ids[0], tasks=[{'kind': 'unknown', 'payload': 1}]
            )
            (_, failing) = ids
            await caller.session.post(
                'http://127.0.0.1:9001/faults', json={'fail_all': True}
            )
            failed, _ = await caller.submit(failing, tasks=task_bodies(2))
        assert (refused.status, failed.status) == (422, 502)
        assert [x['step'] for x in find_log_records(ids[0], lines)] == [
            'coordinate'
        ]
        steps = [json.loads(x) for x in lines if failing in x]
        loggers = [x['logger'].rpartition(':')[0] for x in steps]
        assert sorted(loggers) == [
            'limpetlanding.agent.coordinator',
            'limpetlanding.entry.submissions',
        ]
