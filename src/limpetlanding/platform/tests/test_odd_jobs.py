"""Jobs of clients with odd values."""

import asyncio

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limpetlanding.platform.decode import Malformed, Unsupported, decode_job
from limpetlanding.platform.tests.odd_entries import (
    NUMBERS,
    OTHER_TYPES,
    UNREADABLE,
    with_field,
)
from limpetlanding.platform.tests.rig import CLIENT_PORT, System, body
from limpetlanding.standin.platform_bodies import headers
from limpetlanding.standin.platform_checks import peak_cpu

JOB = '5c0e7a21d94b36f8'
COUNTS = ('cpu', 'memMb', 'gpu', 'antiAffinity', 'count')


def job_with(name, value):
    """Return the body of a job whose step has one more field."""
    step = with_field(b'{"count":2,"cpu":100}', name, value)
    return with_field(orjson.dumps(body()), 'pipeline', b'[' + step + b']')


ODD_JOBS = (
    *UNREADABLE,
    *(job_with(name, x) for name in COUNTS for x in (*NUMBERS, *OTHER_TYPES)),
    *(job_with('estimateMs', x) for x in NUMBERS if x != b'1.5'),
    *(job_with('dependsOn', x) for x in (*NUMBERS, b'[7]', b'[true]')),
    *(job_with('dependsOn', x) for x in (b'[-1]', b'["0"]', *OTHER_TYPES[3:])),
    *(
        with_field(orjson.dumps(body()), 'pipeline', x)
        for x in (*NUMBERS, *OTHER_TYPES)
    ),
)


async def post(system, content, wait_ms='2000', job=JOB):
    """Submit a body as it is; return the status."""
    async with system.session.post(
        f'http://127.0.0.1:{CLIENT_PORT}/quote/{job}',
        data=content,
        headers=headers('desk.example', 2000) | {'X-Deadline-Ms': wait_ms},
    ) as response:
        return response.status


class TestOddJobs:
    """Guards against odd jobs that disturb those of other clients."""

    @pytest.mark.parametrize('content', ODD_JOBS)
    def test_odd_job_is_refused(self, content):
        with pytest.raises(Malformed):
            decode_job(JOB, content)

    async def test_odd_jobs_disturb_no_other(self):
        async with System(worker_count=1).run() as system:
            for number, content in enumerate(ODD_JOBS):
                status = await post(system, content, job=f'{number:016x}')
                assert status in {400, 413}
            assert not system.fronts[0].dispatcher.jobs
            assert not system.history()
            assert (await system.submit(JOB))[0] == 200

    async def test_negative_need_makes_no_room(self):
        # Guards against starts beyond the capacity of an executor.
        async with System(worker_count=1).run() as system:
            executor = system.executors[0]
            executor.work_s = lambda _: 0.5
            odd = orjson.dumps(body(4, cpu=-90_000, estimateMs=500))
            await asyncio.gather(
                post(system, odd, '9000', '0' * 16),
                system.submit(JOB, body(24, estimateMs=500), 9000),
            )
            assert peak_cpu(executor, 3000) <= executor.cpu

    @pytest.mark.parametrize('estimate_ms', [1.7e308, 2**53, 2**64 - 1])
    async def test_longest_estimate_leaves_no_job(self, estimate_ms):
        async with System(worker_count=1).run() as system:
            content = orjson.dumps(body(1, estimateMs=estimate_ms))
            assert await post(system, content) in {200, 400, 503}
            assert not system.fronts[0].dispatcher.jobs

    @pytest.mark.parametrize(
        'wait_ms',
        ['9' * 400, '9' * 5000, '-1', 'x', '1e400', 'nan', '', '\xb2'],
    )
    async def test_odd_deadline_is_answered(self, wait_ms):
        async with System(worker_count=1).run() as system:
            status = await post(system, orjson.dumps(body(1)), wait_ms)
            assert status in {200, 400, 503}
            assert not system.fronts[0].dispatcher.jobs

    @given(at=st.integers(0, 100), content=st.binary(max_size=6))
    @settings(max_examples=300, deadline=None)
    def test_changed_job_is_read_or_refused(self, at, content):
        whole = job_with('estimateMs', b'5')
        changed = whole[:at] + content + whole[at + 1 :]
        try:
            job = decode_job(JOB, changed)
        except (Malformed, Unsupported):
            return
        assert all(step.need.cpu >= 0 for step in job.steps)


class TestUpperCaseIds:
    """Guards against ids that are refused or changed because of their case."""

    UPPER = JOB.upper()

    async def test_job_runs_under_the_id_as_sent(self):
        async with System(worker_count=1).run() as system:
            assert (await system.submit(self.UPPER))[0] == 200
            tasks = {run.task for run in system.history()}
            assert tasks == {f'{self.UPPER}.0.0.0', f'{self.UPPER}.0.0.1'}

    async def test_ids_that_differ_in_case_are_two_jobs(self):
        async with System(worker_count=1).run() as system:
            system.executors[0].work_s = lambda _: 1
            path = f'/quote/{self.UPPER}'
            jobs = [
                asyncio.create_task(system.submit(job_id, body(1), 9000))
                for job_id in (JOB, self.UPPER)
            ]
            await asyncio.sleep(0.3)
            assert (await system.call('GET', path))[1]['state'] == 'running'
            assert (await system.call('DELETE', path))[0] == 200
            statuses = [(await job)[0] for job in jobs]
            assert statuses[0] == 200
            hows = {run.task: run.how for run in system.history()}
            assert hows == {
                f'{JOB}.0.0.0': 'done',
                f'{self.UPPER}.0.0.0': 'stopped',
            }

    @pytest.mark.parametrize(
        'job', [JOB[1:], JOB + '0', 'g' * 16, '\u0667' * 16]
    )
    async def test_other_ids_are_refused(self, job):
        async with System(worker_count=1).run() as system:
            assert (await system.submit(job))[0] == 404
            assert not system.history()
