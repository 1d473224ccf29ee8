"""Choice of workers for the tasks of one job."""

import asyncio
from collections import Counter
from random import Random

import pytest

from limpetlanding.runs.fleet import Fleet
from limpetlanding.runs.jobs import ActiveJob
from limpetlanding.runs.model import Job, Queue, Resources, Step
from limpetlanding.runs.placement import TASKS_PER_BATCH, Pool, urgency
from limpetlanding.runs.tests.standins import StandinChannel, report

CPU = 1000
NOW = 100.0


def fleet_of(**reports):
    fleet = Fleet('z1', Random(1))
    for name, known in reports.items():
        fleet.update(StandinChannel(name), known, NOW)
    return fleet


def new_job(count=8, submitted_at=NOW, priority=0, **fields):
    step = Step(count, Resources(CPU, 1), 100, **fields)
    active = ActiveJob(
        Job('5c0e7a21d94b36f8', '', (step,)),
        Queue('q', '', '', 'desk', priority, stretch=1.6, target_ms=60),
        submitted_at,
        1,
        asyncio.get_running_loop().create_future(),
    )
    active.release_steps()
    return active


def assign(active, fleet, now=NOW):
    chosen, left = Pool(fleet, 'desk').assign(active, now)
    return Counter({x.name: len(tasks) for x, tasks in chosen.items()}), left


class TestAssign:
    """Guards against jobs on too many workers and runs beyond a limit."""

    async def test_tasks_are_ordered_in_batches(self):
        fleet = fleet_of(a=report(), b=report(), c=report())
        counts, left = assign(new_job(8), fleet)
        assert sorted(counts.values()) == [TASKS_PER_BATCH, TASKS_PER_BATCH]
        assert not left

    async def test_resources_are_reserved_at_once(self):
        fleet = fleet_of(a=report(3 * CPU), b=report(2 * CPU))
        counts, left = assign(new_job(8), fleet)
        assert counts == {'a': 3, 'b': 2}
        assert len(left) == 3
        assert all(view.free.cpu == 0 for view in fleet.views.values())

    async def test_tasks_per_worker_are_limited(self):
        fleet = fleet_of(a=report(), b=report())
        counts, left = assign(new_job(8, max_tasks_per_worker=2), fleet)
        assert counts == {'a': 2, 'b': 2}
        assert len(left) == 4

    async def test_label_is_required(self):
        fleet = fleet_of(a=report(), b=report(labels=['r1']))
        counts, _ = assign(new_job(2, label='r1'), fleet)
        assert counts == {'b': 2}

    async def test_worker_with_a_failed_run_is_used_last(self):
        active = new_job(1)
        active.waiting[0].failed_workers.add('a')
        fleet = fleet_of(a=report(), b=report(run_ratio=1.5))
        assert assign(active, fleet)[0] == {'b': 1}
        active = new_job(1)
        active.waiting[0].failed_workers.add('a')
        assert assign(active, fleet_of(a=report()))[0] == {'a': 1}

    async def test_refusing_worker_is_left_out_for_a_while(self):
        active = new_job(1)
        active.waiting[0].excluded_until['a'] = NOW + 0.05
        fleet = fleet_of(a=report())
        assert not assign(active, fleet)[0]
        assert assign(active, fleet, NOW + 0.06)[0] == {'a': 1}

    @pytest.mark.parametrize(('waited_s', 'used'), [(0, 0), (0.3, 1)])
    async def test_slow_worker_is_used_once_the_job_is_late(
        self, waited_s, used
    ):
        fleet = fleet_of(slow=report(run_ratio=4), full=report(0))
        counts, _ = assign(new_job(1), fleet, NOW + waited_s)
        assert counts['slow'] == used


class TestUrgency:
    """Guards against late jobs that delay jobs still on time."""

    async def test_jobs_on_time_precede_late_jobs(self):
        late = new_job(submitted_at=NOW - 1)
        on_time = new_job()
        earlier = new_job(submitted_at=NOW - 0.05)
        low_priority = new_job(submitted_at=NOW - 0.05, priority=1)
        jobs = [late, low_priority, on_time, earlier]
        jobs.sort(key=lambda x: urgency(NOW, x, 1))
        assert jobs == [earlier, on_time, low_priority, late]

    async def test_jobs_of_no_more_use_come_after_late_jobs(self):
        useless = new_job(submitted_at=NOW - 1)
        late = new_job(submitted_at=NOW - 0.4, priority=1)
        jobs = sorted([useless, late], key=lambda x: urgency(NOW, x, 1))
        assert jobs == [late, useless]
