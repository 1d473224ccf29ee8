import asyncio
import json
from contextlib import suppress
from hashlib import sha256

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limpetlanding.entry import http
from limpetlanding.entry.api import MalformedRequest, parse_submission
from limpetlanding.entry.tests.fakes import (
    KEY,
    OTHER_KEY,
    FakeAgent,
    FakeLimits,
    incarnation,
)
from limpetlanding.entry.tests.rig import (
    connect,
    entry,
    key_hash,
    make_core,
    report,
    serving,
)
from limpetlanding.jobs import mint_job_id
from limpetlanding.wire.job_messages import RefuseJob, SubmitJob

SOME_ID = str(mint_job_id(incarnation(1), 1, 'offcut', b'secret'))


class TestSubmission:
    async def test_answer_has_the_results_of_the_coordinator(self):
        # Guards against results that are lost or altered on the way.
        async with entry() as (_, caller, agent):
            (job_id,) = await caller.mint()
            payload = {'a': [1.5, 'ü', 10**30]}
            response, body = await caller.submit(job_id, payload)
        assert response.status == 200
        assert body['id'] == job_id
        assert body['outcome'] == 'complete'
        assert body['task_count'] == 1
        assert body['results'][0]['payload'] == payload
        assert agent.started == {(job_id, 0): 1}

    async def test_id_is_minted_only_for_repeatable_jobs(self):
        # Guards against a caller that cannot query a job that it has sent.
        async with entry() as (_, caller, _agent):
            refused, problem = await caller.submit()
            accepted, body = await caller.submit(repeatable=True)
        assert refused.status == 400
        assert problem['errors'][0]['field'] == 'id'
        assert accepted.status == 200
        assert body['id']

    async def test_submission_without_wait_can_be_polled(self):
        async with entry() as (core, caller, _agent):
            (job_id,) = await caller.mint()
            accepted, first = await caller.submit(job_id, wait=False)
            running = core.admission.in_use('offcut')
            path = f'/v1/jobs/{job_id}'
            early, _ = await caller.call('GET', path)
            late, body = await caller.call('GET', f'{path}?wait_ms=2000')
            await asyncio.sleep(0.1)
            assert core.admission.in_use('offcut') == 0
        assert (accepted.status, first['outcome']) == (202, None)
        assert running == 1
        assert early.status == 202
        assert (late.status, body['outcome']) == (200, 'complete')

    async def test_unused_id_is_not_found(self):
        async with entry() as (_, caller, _agent):
            (job_id,) = await caller.mint()
            response, body = await caller.call('GET', f'/v1/jobs/{job_id}')
        assert response.status == 404
        assert body['outcome'] is None

    async def test_shorter_deadline_of_caller_and_contract_applies(self):
        async with entry() as (_, caller, agent):
            ids = await caller.mint(2)
            await caller.submit(ids[0], deadline_ms=2000)
            await caller.submit(ids[1], deadline_ms=60_000)
        sent = [x for x in agent.received if isinstance(x, SubmitJob)]
        assert [x.deadline_ms for x in sent] == [2000, 5000]

    async def test_trace_and_request_id_reach_the_coordinator(self):
        trace = f'00-{"a" * 32}-{"b" * 16}-01'
        async with entry() as (_, caller, agent):
            (job_id,) = await caller.mint()
            body = {'id': job_id, 'tasks': [{'kind': 'cut', 'payload': 1}]}
            response, _ = await caller.call(
                'POST',
                '/v1/jobs',
                body,
                **{'X-Request-Id': 'order-7', 'traceparent': trace},
            )
        sent = agent.received[-1]
        assert response.headers['X-Request-Id'] == 'order-7'
        assert (sent.request_id, sent.traceparent) == ('order-7', trace)

    async def test_invalid_request_id_is_replaced(self):
        # Guards against header or log injection through the request id.
        async with entry() as (_, caller, _agent):
            response, _ = await caller.call(
                'POST', '/v1/ids', {}, **{'X-Request-Id': 'a b' * 100}
            )
        assert len(response.headers['X-Request-Id']) == 16


class TestSameSubmissionTwice:
    async def test_two_callers_at_one_entry_share_the_answer(self):
        # Guards against a job that is counted or started twice.
        async with entry() as (core, caller, agent):
            (job_id,) = await caller.mint()
            calls = [caller.submit(job_id) for _ in range(3)]
            answers = await asyncio.gather(*calls)
            usage = core.admission.policies.admission.usage('offcut')
            assert usage.tasks == 0
        assert [r.status for r, _ in answers] == [200] * 3
        assert answers[0][1] == answers[1][1] == answers[2][1]
        sent = [x for x in agent.received if isinstance(x, SubmitJob)]
        assert len(sent) == 1

    async def test_two_entries_at_once_start_each_task_once(self):
        # Guards against at-most-once starts that only hold within one entry.
        agent = FakeAgent()
        one, two = make_core(), make_core(node='entry-2')
        connect(one, agent)
        connect(two, agent)
        async with serving(one, 8001) as first, serving(two, 8002) as second:
            (job_id,) = await first.mint()
            answers = await asyncio.gather(
                first.submit(job_id), second.submit(job_id)
            )
        assert [r.status for r, _ in answers] == [200, 200]
        assert answers[0][1] == answers[1][1]
        assert agent.started == {(job_id, 0): 1}

    async def test_resubmission_after_the_answer_gets_the_same_answer(self):
        async with entry() as (_, caller, agent):
            (job_id,) = await caller.mint()
            _, first = await caller.submit(job_id)
            _, second = await caller.submit(job_id, deadline_ms=100)
        assert first == second
        assert agent.started == {(job_id, 0): 1}

    async def test_other_body_under_the_same_id_is_a_conflict(self):
        async with entry() as (_, caller, _agent):
            (job_id,) = await caller.mint()
            first, second = await asyncio.gather(
                caller.submit(job_id, 1), caller.submit(job_id, 2)
            )
        assert [first[0].status, second[0].status] == [200, 409]
        assert second[1]['outcome'] is None
        assert second[1]['reason'] == 'conflict'


class TestRefusal:
    async def test_refusal_is_recorded_before_the_caller_gets_it(self):
        async with entry() as (core, caller, agent):
            core.contracts.by_customer['offcut'].limits = FakeLimits(0, 0)
            (job_id,) = await caller.mint()
            response, body = await caller.submit(job_id)
        assert response.status == 429
        assert body['outcome'] == 'not_run'
        assert body['reason'] == 'over_limit'
        assert body['next_id'] not in {None, job_id}
        assert int(response.headers['Retry-After']) >= 1
        assert agent.refused[job_id].reason == 'over_limit'

    async def test_refused_id_stays_refused_at_every_entry(self):
        # Guards against a job that runs after its caller got not_run.
        agent = FakeAgent()
        one, two = make_core(), make_core(node='entry-2')
        connect(one, agent)
        connect(two, agent)
        one.contracts.by_customer['offcut'].limits = FakeLimits(0, 0)
        async with serving(one, 8001) as first, serving(two, 8002) as second:
            (job_id,) = await first.mint()
            (refused, _), (raced, body) = await asyncio.gather(
                first.submit(job_id), second.submit(job_id)
            )
            later, _ = await second.submit(job_id)
        assert refused.status == raced.status == later.status == 429
        assert body['outcome'] == 'not_run'
        assert not agent.started

    async def test_refusal_of_a_running_job_joins_it(self):
        # Guards against a not_run for a job that runs.
        agent = FakeAgent()
        one, two = make_core(), make_core(node='entry-2')
        connect(one, agent)
        connect(two, agent)
        two.contracts.by_customer['offcut'].limits = FakeLimits(0, 0)
        async with serving(one, 8001) as first, serving(two, 8002) as second:
            (job_id,) = await first.mint()
            running = asyncio.create_task(first.submit(job_id))
            await asyncio.sleep(0.05)
            response, body = await second.submit(job_id)
            _, direct = await running
        assert response.status == 200
        assert body == direct

    async def test_refusal_of_another_body_is_a_conflict(self):
        # Guards against returning the answer to another body of the same id.
        async with entry() as (core, caller, agent):
            (job_id,) = await caller.mint()
            await caller.submit(job_id, 1)
            core.contracts.by_customer['offcut'].limits = FakeLimits(0, 0)
            same, _ = await caller.submit(job_id, 1)
            other, body = await caller.submit(job_id, 2)
        assert (same.status, other.status) == (200, 409)
        assert body['outcome'] is None
        assert agent.started == {(job_id, 0): 1}

    async def test_unrecorded_refusal_is_may_have_run(self):
        async with entry() as (core, caller, agent):
            (job_id,) = await caller.mint()
            core.contracts.by_customer['offcut'].limits = FakeLimits(0, 0)
            agent.silent = True
            response, body = await caller.submit(job_id)
        assert response.status == 504
        assert body['outcome'] == 'may_have_run'

    async def test_unknown_kind_is_refused_for_good(self):
        async with entry() as (_, caller, agent):
            ids = await caller.mint(2)
            tasks = [{'kind': 'weld', 'payload': 1}]
            response, body = await caller.submit(ids[0], tasks=tasks)
        assert response.status == 422
        assert (body['outcome'], body['reason']) == ('not_run', 'no_endpoint')
        assert 'Retry-After' not in response.headers
        assert any(isinstance(x, RefuseJob) for x in agent.received)

    async def test_known_kind_without_endpoint_is_refused_with_retry(self):
        # Guards against callers that do not retry while an endpoint restarts.
        async with entry() as (core, caller, agent):
            gone = report(kinds=())
            core.view.report(agent.peer.incarnation, gone, core.clock())
            (job_id,) = await caller.mint()
            response, body = await caller.submit(job_id)
        assert response.status == 503
        assert (body['outcome'], body['reason']) == (
            'not_run',
            'endpoint_away',
        )
        assert 'Retry-After' in response.headers

    async def test_contract_limits_kinds_and_sizes(self):
        async with entry() as (core, caller, _agent):
            contract = core.contracts.by_customer['offcut']
            contract.kinds = ['cut']
            ids = await caller.mint(2)
            kind, problem = await caller.submit(
                ids[0], tasks=[{'kind': 'weld', 'payload': 1}]
            )
            size, _ = await caller.submit(ids[0], 'x' * 20_000)
            again, _ = await caller.submit(ids[0])
        assert kind.status == 403
        assert problem['outcome'] is None
        assert 'tasks.0.kind' in problem['detail']
        assert size.status == 413
        # The requests that broke the contract left the id usable.
        assert again.status == 200

    async def test_no_id_is_minted_without_agents(self):
        core = make_core()
        async with serving(core, 8001) as caller:
            ids, _ = await caller.call('POST', '/v1/ids', {})
            response, body = await caller.submit(repeatable=True)
        assert ids.status == 503
        assert response.status == 503
        assert (body['outcome'], body['id']) == ('not_run', None)


class TestCoordinatorFaults:
    async def test_lost_coordinator_gives_may_have_run(self):
        async with entry(FakeAgent(1, run_s=5), FakeAgent(2)) as (
            _,
            caller,
            agent,
        ):
            (job_id,) = await caller.mint()
            running = asyncio.create_task(caller.submit(job_id))
            await asyncio.sleep(0.2)
            agent.closed.set()
            response, body = await running
        assert response.status == 504
        assert (body['outcome'], body['reason']) == (
            'may_have_run',
            'coordinator_lost',
        )

    async def test_no_ids_of_suspect_or_stopping_agents(self):
        # Guards against new jobs for a coordinator that does not answer.
        agents = [FakeAgent(x) for x in (1, 2, 3)]
        async with entry(*agents) as (core, caller, _):
            await caller.mint(30)
            agents[0].suspect = True
            core.view.report(
                agents[1].peer.incarnation, report(draining=True), 0
            )
            ids = await caller.mint(10)
        assert {x[:16] for x in ids} == {incarnation(3)}


class TestAuthentication:
    @pytest.mark.parametrize(
        'header',
        [
            None,
            '',
            'Bearer',
            'Bearer ',
            f'Basic {KEY}',
            KEY,
            f'Bearer {KEY}x',
            f'Bearer {"k" * 5000}',
            f'Bearer {sha256(KEY.encode()).hexdigest()}',
        ],
    )
    async def test_unknown_keys_are_rejected(self, header):
        headers = {} if header is None else {'Authorization': header}
        async with entry() as (_, caller, _agent):
            response, body = await caller.call(
                'POST', '/v1/ids', {}, None, **headers
            )
        assert response.status == 401
        assert body['reason'] == 'unauthorized'
        assert body['outcome'] is None
        assert response.content_type == 'application/problem+json'

    async def test_withdrawn_key_is_rejected_at_once(self):
        # Guards against keys that are cached after the contract has changed.
        async with entry() as (core, caller, _):
            before, _ = await caller.call('POST', '/v1/ids', {})
            contract = core.contracts.by_customer['offcut']
            contract.keys = [key_hash('another key')]
            after, _ = await caller.call('POST', '/v1/ids', {})
        assert (before.status, after.status) == (200, 401)

    async def test_key_of_a_stale_index_is_rejected(self):
        async with entry() as (core, caller, _):
            core.contracts.customer_of_key = lambda _: 'offcut'
            core.contracts.by_customer['offcut'].keys = []
            response, _ = await caller.call('POST', '/v1/ids', {})
        assert response.status == 401

    async def test_customers_do_not_join_each_others_jobs(self):
        # Guards against an answer that another customer gets.
        async with entry() as (_, caller, agent):
            (job_id,) = await caller.mint()
            await asyncio.gather(
                caller.submit(job_id), caller.submit(job_id, key=OTHER_KEY)
            )
        sent = [x for x in agent.received if isinstance(x, SubmitJob)]
        assert [x.customer for x in sent] == ['offcut', 'kulo']


def task(**changes):
    return {'kind': 'cut', 'payload': 1} | changes


def nested(depth):
    return b'[' * depth + b']' * depth


def body_with_payload(payload):
    head = b'{"id":"%s","tasks":[{"kind":"cut","payload":' % SOME_ID.encode()
    return head + payload + b'}]}'


class TestBodyBuffer:
    async def test_bodies_over_the_buffer_limit_are_rejected(self, monkeypatch):
        # Guards against an entry that runs out of memory at peak load.
        monkeypatch.setattr(http, 'MAX_BUFFERED_BYTES', 1000)
        agent = FakeAgent(run_s=1)
        async with entry(agent) as (_, caller, _):
            first, second, third = await caller.mint(3)
            large = 'x' * 600
            running = asyncio.create_task(caller.submit(first, large))
            await asyncio.sleep(0.5)
            response, problem = await caller.submit(second, large)
            assert (response.status, problem['outcome']) == (503, None)
            assert response.headers['Retry-After'] == '1'
            assert (await running)[1]['outcome'] == 'complete'
            _, later = await caller.submit(second, large)
        assert later['outcome'] == 'complete'
        assert (second, 0) in agent.started
        assert (third, 0) not in agent.started


class TestMalformedRequests:
    @pytest.mark.parametrize(
        ('changes', 'field'),
        [
            ({'tasks': []}, 'tasks'),
            ({'tasks': [task()] * 101}, 'tasks'),
            ({'tasks': [task(kind='')]}, 'tasks.0.kind'),
            ({'tasks': [task(kind='a b')]}, 'tasks.0.kind'),
            ({'tasks': [task(), task(size=-1)]}, 'tasks.1.size'),
            ({'tasks': [task(run_ms=0)]}, 'tasks.0.run_ms'),
            ({'tasks': [task(cost=1)]}, 'tasks.0.cost'),
            ({'tasks': [{'kind': 'cut'}]}, 'tasks.0.payload'),
            ({'deadline_ms': 0}, 'deadline_ms'),
            ({'deadline_ms': 1e9}, 'deadline_ms'),
            ({'deadline_ms': '5'}, 'deadline_ms'),
            ({'repeatable': 1}, 'repeatable'),
            ({'wait': 'yes'}, 'wait'),
            ({'id': 'x'}, 'id'),
            ({'id': 'x' * 100}, 'id'),
            ({'id': None}, 'id'),
            ({'priority': 1}, 'priority'),
        ],
    )
    async def test_error_names_the_field(self, changes, field):
        body = {'id': SOME_ID, 'tasks': [task()]} | changes
        async with entry() as (_, caller, agent):
            response, problem = await caller.call('POST', '/v1/jobs', body)
        assert response.status == 400
        assert problem['errors'][0]['field'] == field
        assert problem['outcome'] is None
        assert 'unchanged' in problem['detail']
        assert not any(isinstance(x, SubmitJob) for x in agent.received)

    @pytest.mark.parametrize(
        'body',
        [
            b'',
            b'{',
            b'[]',
            b'null',
            b'\xff\xfe',
            body_with_payload(b'NaN'),
            body_with_payload(b'1e999'),
            body_with_payload(b'"\\ud800"'),
            body_with_payload(b'1' * 10_000),
            body_with_payload(nested(33)),
            body_with_payload(nested(100_000)),
        ],
    )
    async def test_invalid_json_is_rejected(self, body):
        # Guards against bodies that exhaust the stack or break the answer.
        async with entry() as (_, caller, _agent):
            response, problem = await caller.call('POST', '/v1/jobs', body)
        assert response.status == 400
        assert problem['reason'] == 'malformed'

    async def test_nesting_up_to_the_limit_is_accepted(self):
        async with entry() as (_, caller, _agent):
            (job_id,) = await caller.mint()
            payload = json.loads(nested(28))
            response, _ = await caller.submit(job_id, payload)
        assert response.status == 200

    async def test_oversized_body_is_rejected_before_it_is_read(self):
        async with entry() as (_, caller, _agent):
            response, problem = await caller.call(
                'POST', '/v1/jobs', b'x' * 1_048_577
            )
        assert response.status == 413
        assert problem['reason'] == 'too_large'

    async def test_oversized_body_without_length_is_rejected(self):
        # Guards against reading a chunked body without limit.
        async def chunks():
            for _ in range(40):
                yield b'x' * 65_536

        async with entry() as (_, caller, _agent):
            request = caller.session.post(
                f'{caller.base}/v1/jobs',
                data=chunks(),
                headers={'Authorization': f'Bearer {KEY}'},
            )
            async with request as response:
                assert response.status == 413

    async def test_stalled_body_times_out(self):
        # Guards against senders that keep requests open for ever.
        async def stalled():
            yield b'{'
            await asyncio.sleep(3600)

        async with entry() as (_, caller, _agent):
            request = caller.session.post(
                f'{caller.base}/v1/jobs',
                data=stalled(),
                headers={'Authorization': f'Bearer {KEY}'},
            )
            async with request as response:
                assert response.status == 408
            assert asyncio.get_running_loop().time() < 11

    @pytest.mark.parametrize('wait_ms', ['-1', 'x', '60001', '1e3', '٣'])
    async def test_wait_is_bounded(self, wait_ms):
        async with entry() as (_, caller, _agent):
            path = f'/v1/jobs/{SOME_ID}?wait_ms={wait_ms}'
            response, problem = await caller.call('GET', path)
        assert response.status == 400
        assert problem['errors'][0]['field'] == 'wait_ms'

    async def test_unknown_paths_and_methods_are_problems(self):
        async with entry() as (_, caller, _agent):
            path, _ = await caller.call('GET', '/v2/jobs')
            method, body = await caller.call('PUT', '/v1/jobs')
        assert (path.status, method.status) == (404, 405)
        assert body['request_id']

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=300))
    def test_any_bytes_are_parsed_or_rejected(self, text):
        with suppress(MalformedRequest):
            parse_submission(text)
