"""End-to-end tests of jobs against stand-ins for executors and store."""

import asyncio

import pytest

from limpetlanding.platform.tests.rig import (
    System,
    body,
    config,
)
from limpetlanding.runs.fleet import Fleet
from limpetlanding.runs.placement import Pool
from limpetlanding.runs.worker import MAX_REPORTS_PER_S
from limpetlanding.standin.platform_checks import overlapping_runs, peak_cpu
from limpetlanding.wire.run_messages import WorkerReport

JOB = '5c0e7a21d94b36f8'
OTHER = '5c0e7a21d94b36f9'


class TestServing:
    """Guards against jobs that are lost or answered wrongly without faults."""

    async def test_job_completes(self):
        async with System().run() as system:
            assert await system.submit(JOB) == (200, {'state': 'completed'})
            assert len(system.history()) == 2

    async def test_steps_follow_their_dependencies(self):
        content = body()
        content['pipeline'].append({'count': 1, 'cpu': 100, 'dependsOn': [0]})
        async with System().run() as system:
            status, _ = await system.submit(JOB, content)
            assert status == 200
            first = [x for x in system.history() if '.0.0.' in x.task]
            second = [x for x in system.history() if '.0.1.' in x.task]
            assert second[0].started >= max(run.ended for run in first)

    async def test_capacity_is_never_exceeded(self):
        async with System(worker_count=1).run() as system:
            executor = system.executors[0]
            jobs = [
                system.submit(f'{number:016x}', body(8), 9000)
                for number in range(6)
            ]
            answers = await asyncio.gather(*jobs)
            assert {status for status, _ in answers} == {200}
            assert peak_cpu(executor, 3000) <= executor.cpu

    async def test_failing_task_fails_its_job_after_its_attempts(self):
        async with System().run() as system:
            for executor in system.executors:
                executor.faults.fails = True
            assert await system.submit(JOB, body(1)) == (
                200,
                {'state': 'failed'},
            )
            assert len(system.history()) == 2

    @pytest.mark.parametrize('field', ['gang', 'longRunning'])
    async def test_unsupported_work_is_refused_and_never_runs(self, field):
        async with System().run() as system:
            status, fields, headers = await system.call(
                'POST', f'/quote/{JOB}', body(**{field: True})
            )
            assert status == 503
            assert field in fields['error']
            assert headers['Retry-After'] == '1'
            assert not system.history()

    async def test_malformed_job_is_rejected(self):
        async with System().run() as system:
            status, _ = await system.submit(JOB, {'bestEffort': True})
            assert status == 400

    async def test_unknown_queue_job_and_path(self):
        async with System().run() as system:
            assert (await system.call('GET', f'/none/{JOB}'))[0] == 404
            assert (await system.call('GET', f'/quote/{JOB}'))[0] == 410
            assert (await system.call('GET', '/quote/'))[:2] == (
                200,
                {'waiting': 0},
            )

    async def test_job_that_cannot_start_is_refused_as_not_run(self):
        async with System().run() as system:
            status, _ = await system.submit(JOB, body(1, cpu=99_000), 800)
            assert status == 503
            assert not system.history()

    async def test_hopeless_job_is_refused_before_its_deadline(self):
        # Guards against a client that waits in vain although its front knows
        # that the answer would come too late.
        async with System().run() as system:
            begin = asyncio.get_running_loop().time()
            status, _, headers = await system.call(
                'POST', f'/quote/{JOB}', body(1, cpu=99_000), wait_ms=60_000
            )
            assert status == 503
            assert int(headers['Retry-After']) >= 1
            assert asyncio.get_running_loop().time() - begin < 10
            assert not system.history()

    async def test_second_submission_joins_the_first(self):
        async with System().run() as system:
            answers = await asyncio.gather(
                system.submit(JOB), system.submit(JOB)
            )
            assert [status for status, _ in answers] == [200, 200]
            assert len(system.history()) == 2


class TestConfiguration:
    """Guards against service by an outdated configuration."""

    async def test_change_is_in_force_within_two_seconds(self):
        async with System().run() as system:
            system.store.put('keyed.op', 'config', config(9, pathPrefix='/b/'))
            await asyncio.sleep(0.1)
            assert (await system.call('GET', '/b/'))[0] == 200
            assert (await system.call('GET', '/quote/'))[0] == 404

    async def test_older_version_is_ignored(self):
        async with System().run() as system:
            system.store.put('keyed.op', 'config', config(9))
            system.store.put('keyed.op', 'config', config(8, pathPrefix='/b/'))
            await asyncio.sleep(0.1)
            assert (await system.call('GET', '/b/'))[0] == 404

    async def test_topic_is_read_again_after_its_records_expired(self):
        async with System().run() as system:
            system.store.put('keyed.op', 'config', config(2))
            system.store.put('keyed.op', 'config', config(3, pathPrefix='/b/'))
            system.store.compact('keyed.op')
            await asyncio.sleep(0.1)
            assert (await system.call('GET', '/b/'))[0] == 200

    async def test_new_front_learns_state_from_workers_while_store_fails(self):
        async with System(front_count=1).run() as system:
            system.store.faults.status = 503
            await system.kill('f0')
            await system.start_front(0, incarnation=2)
            await system.settle()
            assert (await system.submit(JOB))[0] == 200

    async def test_lost_answers_of_the_store_do_not_stop_service(self):
        async with System().run() as system:
            system.store.faults.silent = True
            await asyncio.sleep(3)
            assert (await system.submit(JOB))[0] == 200
            system.store.faults.silent = False
            system.store.put('keyed.op', 'config', config(9, pathPrefix='/b/'))
            await asyncio.sleep(2)
            assert (await system.call('GET', '/b/'))[0] == 200


class TestExecutorFaults:
    """Guards against overlapping runs of a task and lost tasks."""

    async def test_silent_executor_loses_its_lease_before_a_second_start(self):
        async with System().run() as system:
            for executor in system.executors:
                executor.work_s = lambda task: 1.5
            job = asyncio.create_task(system.submit(JOB, body(4), 9000))
            await asyncio.sleep(0.3)
            system.executors[0].faults.silent = True
            assert (await job)[0] == 200
            assert not overlapping_runs(system.history())

    async def test_late_orders_are_blocked(self):
        async with System().run() as system:
            system.executors[0].faults.late_orders_s = 3
            job = asyncio.create_task(system.submit(JOB, body(4), 9000))
            await asyncio.sleep(1)
            system.executors[0].faults.late_orders_s = None
            assert (await job)[0] == 200
            await asyncio.sleep(5)
            assert not overlapping_runs(system.history())
            assert len(system.history()) == 4

    async def test_resources_of_a_stopped_run_are_free_only_after_its_end(self):
        async with System(worker_count=1).run() as system:
            executor = system.executors[0]
            executor.faults.hides_stopping = True
            # Each end of a short run answers an inventory call, so that the
            # calls follow each other closely.
            executor.work_s = lambda task: 2 if task[0] == 'f' else 0.02
            for number in range(20):
                job = asyncio.create_task(
                    system.submit(f'f{number:015x}', body(8), 9000)
                )
                await asyncio.sleep(0.1)
                short = [
                    system.submit(f'{number:08x}{x:08x}', body(1), 9000)
                    for x in range(12)
                ]
                short = asyncio.gather(*short)
                await asyncio.sleep(0.005 * number)
                await system.call('DELETE', f'/quote/f{number:015x}')
                await job
                await short
            assert peak_cpu(executor, 3000) <= executor.cpu

    async def test_order_is_dropped_if_its_worker_was_suspended(self):
        async with System(worker_count=1).run() as system:
            supervisor = system.workers[0].supervisor
            start = supervisor.start

            def start_late(held):
                held.ordered_at -= 1.1
                start(held)

            supervisor.start = start_late
            status, _ = await system.submit(JOB, wait_ms=1500)
            assert status != 200
            assert not system.history()

    async def test_restarted_executor_is_noticed(self):
        async with System().run() as system:
            for executor in system.executors:
                executor.work_s = lambda task: 1
            job = asyncio.create_task(system.submit(JOB, body(4), 9000))
            await asyncio.sleep(0.3)
            system.executors[0].restart('i-new')
            assert (await job)[0] == 200
            assert not overlapping_runs(system.history())

    async def test_stalled_run_is_started_elsewhere(self):
        async with System().run() as system:
            system.executors[0].faults.stalls = True
            assert (await system.submit(JOB, body(4), 9000))[0] == 200
            assert not overlapping_runs(system.history())

    async def test_failing_executor_does_not_fail_jobs(self):
        async with System(worker_count=3).run() as system:
            system.executors[0].faults.fails = True
            states = []
            for number in range(12):
                _, fields = await system.submit(f'{number:016x}', body(3))
                states.append(fields['state'])
            assert states[3:] == ['completed'] * 9

    async def test_unhealthy_executor_is_avoided(self):
        async with System().run() as system:
            system.executors[0].faults.unhealthy = True
            assert (await system.submit(JOB, body(4)))[0] == 200

    async def test_draining_executor_gets_nothing_more(self):
        async with System().run() as system:
            system.executors[0].draining = True
            await asyncio.sleep(1.6)
            await system.submit(JOB, body(4))
            assert not system.executors[0].history

    async def test_unreadable_announcement_changes_nothing(self):
        async with System().run() as system:
            fields = system.executors[0].announcement()
            for change in (
                {'state': 'odd'},
                {'seq': 'one'},
                {'capacity': None},
                {'service': 7},
                {'service': 'elsewhere'},
            ):
                assert await system.announce(0, fields | change) == 400
            assert (await system.submit(JOB))[0] == 200


class TestClients:
    """Guards against runs that continue after their client disconnected."""

    async def test_disconnect_of_a_client_stops_its_runs(self):
        async with System().run() as system:
            for executor in system.executors:
                executor.work_s = lambda task: 5
            job = asyncio.create_task(system.submit(JOB, body(2), 9000))
            await asyncio.sleep(0.5)
            job.cancel()
            await asyncio.sleep(0.3)
            assert {run.how for run in system.history()} == {'stopped'}

    async def test_runs_of_a_resubmitted_job_do_not_overlap(self):
        async with System().run() as system:
            for executor in system.executors:
                executor.work_s = lambda task: 0.6
            job = asyncio.create_task(system.submit(JOB, body(2), 9000))
            await asyncio.sleep(0.3)
            job.cancel()
            assert (await system.submit(JOB, body(2), 9000))[0] == 200
            assert not overlapping_runs(system.history())

    async def test_resubmitted_job_that_has_run_is_not_refused_as_not_run(
        self,
    ):
        # Guards against a caller that is told, after an answer was lost, that
        # its job has not run.
        async with System(worker_count=1).run() as system:
            system.executors[0].work_s = lambda _: 5
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.3):
                    await system.submit(JOB, wait_ms=9000)
            assert system.history()
            system.heartbeats[0].cancel()
            fields = system.executors[0].announcement()
            await system.announce(0, fields | {'state': 'draining'})
            await asyncio.sleep(0.3)
            assert (await system.submit(JOB, wait_ms=900))[0] == 504
            assert (await system.submit(OTHER, wait_ms=900))[0] == 503

    async def test_unfinished_job_is_answered_before_its_deadline(self):
        async with System().run() as system:
            for executor in system.executors:
                executor.work_s = lambda task: 5
            assert (await system.submit(JOB, body(2), 700))[0] == 504
            await asyncio.sleep(0.3)
            assert {run.how for run in system.history()} == {'stopped'}

    async def test_cancelled_job_ends(self):
        async with System().run() as system:
            for executor in system.executors:
                executor.work_s = lambda task: 5
            job = asyncio.create_task(system.submit(JOB, body(2), 9000))
            await asyncio.sleep(0.3)
            state = await system.call('GET', f'/quote/{JOB}')
            assert state[1] == {'state': 'running'}
            assert (await system.call('DELETE', f'/quote/{JOB}'))[0] == 200
            assert (await job)[1] == {'state': 'failed'}

    async def test_job_is_cancelled_at_another_front(self):
        async with System(front_count=3).run() as system:
            for executor in system.executors:
                executor.work_s = lambda _: 5
            job = asyncio.create_task(system.submit(JOB, wait_ms=9000, front=1))
            await asyncio.sleep(0.5)
            status, _, _ = await system.call('DELETE', f'/quote/{JOB}', front=2)
            assert status == 410
            assert await job == (200, {'state': 'failed'})
            await system.settle(0.5)
            assert all(x.ended is not None for x in system.history())

    async def test_job_whose_orders_were_refused_has_not_run(self):
        async with System(worker_count=1).run() as system:
            worker = system.workers[0]
            worker.supervisor.refusal_reason = lambda need: (
                'no room' if need.cpu else ''
            )
            status, _ = await system.submit(JOB, wait_ms=500)
            assert status == 503
            assert not system.history()

    async def test_order_is_not_repeated_at_once_after_a_refusal_of_its_task(
        self,
    ):
        async with System(worker_count=1).run() as system:
            system.executors[0].work_s = lambda task: 0.5
            worker = system.workers[0]
            refusals = []

            def refuse(message, order):
                refusals.append(order.task)
                return '' if len(refusals) > 3 else 'another run is here'

            worker._refusal = refuse
            started = asyncio.get_running_loop().time()
            assert (await system.submit(JOB, body(1), 9000))[0] == 200
            waited = asyncio.get_running_loop().time() - started - 0.5
            assert len(refusals) == 4
            assert waited > 0.14

    async def test_unknown_runs_are_not_polled_without_pause(self):
        async with System(worker_count=1).run() as system:
            executor = system.executors[0]
            executor.work_s = lambda task: 5
            job = asyncio.create_task(system.submit(JOB, body(2), 9000))
            await asyncio.sleep(0.3)
            await system.kill('w0')
            before = executor.hold_calls
            await system.start_worker(0, incarnation=2)
            await asyncio.sleep(0.5)
            assert executor.hold_calls - before < 20
            assert {run.how for run in executor.history[:2]} == {'stopped'}
            job.cancel()


class TestLostProcesses:
    """Guards against overlapping runs after the loss of a front or worker."""

    async def test_job_of_a_killed_front_does_not_overlap_at_another(self):
        async with System(front_count=2).run() as system:
            for executor in system.executors:
                executor.work_s = lambda task: 2
            job = asyncio.create_task(system.submit(JOB, body(2), 9000))
            await asyncio.sleep(0.3)
            await system.kill('f0')
            job.cancel()
            await asyncio.sleep(1.3)
            status, _ = await system.submit(JOB, body(2), 9000, front=1)
            assert status == 200
            assert not overlapping_runs(system.history())

    async def test_tasks_of_a_killed_worker_run_again(self):
        async with System().run() as system:
            for executor in system.executors:
                executor.work_s = lambda task: 1.5
            job = asyncio.create_task(system.submit(JOB, body(4), 9000))
            await asyncio.sleep(0.3)
            await system.kill('w0')
            assert (await job)[0] == 200
            assert not overlapping_runs(system.history())

    async def test_restarted_worker_serves_again(self):
        async with System(worker_count=1).run() as system:
            await system.kill('w0')
            await system.start_worker(0, incarnation=2)
            await system.settle()
            assert (await system.submit(JOB))[0] == 200

    async def test_restarted_worker_clears_its_executor_before_it_is_announced(
        self,
    ):
        async with System(worker_count=1).run() as system:
            executor = system.executors[0]
            executor.work_s = lambda _: 1.5
            job = asyncio.create_task(system.submit(JOB, body(1)))
            await asyncio.sleep(0.3)
            system.heartbeats.pop().cancel()
            await system.kill('w0')
            await system.start_worker(0, incarnation=2)
            await system.settle(0.5)
            (run,) = executor.history
            assert run.how == 'stopped'
            job.cancel()
            await system.announce(0, executor.announcement())
            executor.work_s = lambda _: 0.1
            await asyncio.sleep(0.05)
            assert (await system.submit('a' * 16))[0] == 200


class TestReports:
    """Guards against too many reports on a link, and outdated views."""

    async def test_rate_of_reports_is_bounded(self):
        async with System(worker_count=1, front_count=2).run() as system:
            # All jobs are of use, so that none is refused.
            unhurried = config(2, targetLatencyMs=9000)
            system.store.put('keyed.op', 'config', unhurried)
            await asyncio.sleep(0.1)
            system.executors[0].work_s = lambda _: 0.003
            sent = []
            for channel in system.workers[0].node.channels:
                notify = channel.notify
                channel.notify = lambda x, send=notify: (
                    sent.append(x),
                    send(x),
                )
            begin = asyncio.get_running_loop().time()
            jobs = (
                system.submit(f'{number:016x}', body(4), 9000, number % 2)
                for number in range(300)
            )
            answers = await asyncio.gather(*jobs)
            elapsed_s = asyncio.get_running_loop().time() - begin
            assert {status for status, _ in answers} == {200}
            reports = [x for x in sent if isinstance(x, WorkerReport)]
            assert len(reports) <= MAX_REPORTS_PER_S * elapsed_s + 4

    async def test_change_of_state_is_reported_at_once(self):
        async with System(worker_count=1).run() as system:
            (view,) = system.fronts[0].fleet.views.values()
            fields = system.executors[0].announcement()
            await system.announce(0, fields | {'state': 'draining'})
            await asyncio.sleep(0.002)
            assert not view.report.accepting


class TestStop:
    """Guards against unanswered jobs when their front stops."""

    async def test_unfinished_jobs_are_answered(self):
        async with System().run() as system:
            for executor in system.executors:
                executor.work_s = lambda _: 5
            running = asyncio.create_task(system.submit(JOB, wait_ms=9000))
            waiting = asyncio.create_task(
                system.submit(OTHER, body(requirements='none'), wait_ms=9000)
            )
            await asyncio.sleep(0.2)
            begin = asyncio.get_running_loop().time()
            system.fronts[0].begin_stop(1)
            assert (await running)[0] == 504
            assert (await waiting)[0] == 503
            assert asyncio.get_running_loop().time() - begin < 1.1

    async def test_job_that_cannot_end_in_time_is_refused(self):
        async with System().run() as system:
            system.fronts[0].begin_stop(1)
            long = body(estimateMs=2000)
            assert (await system.submit(JOB, long, wait_ms=9000))[0] == 503
            assert (await system.submit(OTHER, body(), wait_ms=900))[0] == 200
            assert not [x for x in system.history() if JOB in x.task]


class TestUnexpectedErrors:
    """Guards against one bad record or fault that ends the work of a front."""

    @pytest.mark.parametrize(
        'record',
        [
            {'address': 7, 'capacity': None, 'failure_domain': 'z1'},
            {'address': 'nowhere', 'capacity': None, 'failure_domain': 'z1'},
            {
                'address': '127.0.0.1:7199',
                'capacity': None,
                'failure_domain': 3,
            },
            {'address': '127.0.0.1:7199', 'capacity': 'much'},
            ['not', 'a', 'record'],
        ],
        ids=['number', 'no port', 'domain', 'capacity', 'list'],
    )
    async def test_record_of_another_writer_is_ignored(self, record):
        async with System().run() as system:
            system.store.put('keyed.workers', 'x', record)
            await asyncio.sleep(1)
            assert (await system.submit(JOB))[0] == 200
            await system.kill('f0')
            await system.start_front(0, incarnation=2)
            await system.settle()
            assert (await system.submit(OTHER))[0] == 200
            assert 'x' not in system.fronts[0].recorded

    async def test_configuration_is_followed_after_an_unexpected_error(self):
        async with System().run() as system:
            front = system.fronts[0]
            front.catalogs.on_change = lambda _: 1 / 0
            system.store.put('keyed.op', 'config', config(2))
            await asyncio.sleep(0.5)
            front.catalogs.on_change = lambda _: None
            system.store.put('keyed.op', 'config', config(9, pathPrefix='/b/'))
            await asyncio.sleep(2)
            assert (await system.call('GET', '/b/'))[0] == 200

    async def test_job_that_cannot_be_placed_does_not_stop_others(
        self, monkeypatch
    ):
        assign = Pool.assign

        def assign_or_fail(pool, active, now, is_trial):
            chosen = assign(pool, active, now, is_trial)
            if active.job.job_id == JOB:
                raise ZeroDivisionError('unexpected')
            return chosen

        monkeypatch.setattr(Pool, 'assign', assign_or_fail)
        async with System().run() as system:
            begin = asyncio.get_running_loop().time()
            assert (await system.submit(JOB))[0] == 504
            assert asyncio.get_running_loop().time() - begin < 0.1
            assert (await system.submit(OTHER))[0] == 200
            await asyncio.sleep(0.5)
            for view in system.fronts[0].fleet.views.values():
                assert not view.pending_needs
                assert not view.runs

    async def test_front_serves_after_an_error_outside_a_job(self, monkeypatch):
        usable = Fleet.usable
        failures = iter(range(3))

        def fail_at_first(fleet, pool):
            if next(failures, None) is not None:
                raise ZeroDivisionError('unexpected')
            return usable(fleet, pool)

        async with System().run() as system:
            monkeypatch.setattr(Fleet, 'usable', fail_at_first)
            assert (await system.submit(JOB))[0] == 200
