"""Dispatcher: places the tasks of a front's jobs on workers.

A job lives as long as its client waits at this front. Its tasks are ordered
from the worker that is expected to end them first; the worker has the last
word on its room. A run that is lost is started again only when it is certain
that it no longer runs.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from contextlib import suppress

from loguru import logger

from limpetlanding.errors import LimpetlandingError, PeerLost
from limpetlanding.runs.background import BackgroundTasks
from limpetlanding.runs.fleet import Fleet, WorkerView
from limpetlanding.runs.jobs import (
    MAX_SUSPECT_FAILURES,
    ActiveJob,
    ActiveTask,
)
from limpetlanding.runs.model import Job, JobState, Queue, Resources, RunEnd
from limpetlanding.runs.placement import Assignment, Pool, urgency
from limpetlanding.runs.supervisor import LEASE_MS
from limpetlanding.wire import Channel
from limpetlanding.wire.run_messages import (
    HeldRuns,
    RunOrder,
    RunOutcome,
    RunsEnded,
    RunsTaken,
    StartRuns,
    StopRuns,
    WorkerReport,
    run_key,
)

ORDER_TIMEOUT_S = 0.5
"""A worker answers an order within a few ms; later it counts as silent."""

REFUSAL_S = 0.05
"""Pause before a worker is asked again that refuses a task although it has
room; it is stopping an earlier run of the task, which takes 50 ms."""

STOP_TIMEOUT_S = 5
"""A stop is repeated over new links for this long; after that the worker has
stopped the runs by itself."""

RELEASE_S = 0.45 + 0.3 + LEASE_MS / 980 + 0.1
"""Time without any link after which no run of this front is left at a worker:
its link falls silent, it gives the front up, and if it froze at that moment
the lease of its executor runs out."""

MEMORY_S = 30
"""How long the run numbers of an ended job are kept for a resubmission."""

LINGER_S = 1.2
"""Longest wait of a resubmission for the runs of its earlier submission."""


class JobNotStarted(LimpetlandingError):
    """No task of the job has been ordered, and none will be."""


class JobAbandoned(LimpetlandingError):
    """The job was not finished in time; its runs are being stopped."""


class Dispatcher:
    """Jobs of one front and their tasks.

    Parameters
    ----------
    fleet : Fleet
        The workers.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.loop = asyncio.get_running_loop()
        self.jobs: dict[str, ActiveJob] = {}
        self.recent: dict[str, ActiveJob] = {}
        self.cancelled: set[str] = set()
        self.kick = asyncio.Event()
        self.lost_at: dict[Channel, float] = {}
        self.background = BackgroundTasks()
        self.counts: Counter[str] = Counter()
        # Called with the time to the answer and to the first order, if any.
        self.on_answer: Callable[[float, float | None], None] = _ignore

    async def run(self) -> None:
        """Place waiting tasks whenever something has changed."""
        while True:
            await self.kick.wait()
            self.kick.clear()
            begin = self.loop.time()
            self._place_waiting()
            # With many waiting jobs a pass takes long, and each report of a
            # worker asks for one.
            await asyncio.sleep(self.loop.time() - begin)

    async def submit(
        self, job: Job, queue: Queue, wait_s: float, version: int
    ) -> JobState:
        """Run a job and return its final state.

        Parameters
        ----------
        job : Job
            The job; a running job of the same id is joined.
        queue : Queue
            Its queue.
        wait_s : float
            How long the client waits, in seconds.
        version : int
            Version of the configuration that admitted it.

        Raises
        ------
        JobNotStarted
            If no task could be ordered in time.
        JobAbandoned
            If the job was not finished in time.
        """
        if job.job_id in self.cancelled:
            return JobState.FAILED
        if job.job_id not in self.jobs:
            await self._wait_for_earlier(job.job_id)
        active = self.jobs.get(job.job_id)
        if active is None:
            active = self._begin(job, queue, wait_s, version)
        active.watchers += 1
        answer = 'client gone'
        try:
            async with asyncio.timeout(wait_s):
                state = await asyncio.shield(active.outcome)
            answer = state.value
            return state
        except TimeoutError:
            answer = _unfinished(active)
            raise self._give_up(active) from None
        except LimpetlandingError:
            answer = _unfinished(active)
            raise
        finally:
            active.watchers -= 1
            if not active.watchers:
                self._end(active, answer)

    def cancel(self, job_id: str) -> bool:
        """Cancel a job; its waiting clients are told that it failed.

        A submission that arrives later is answered in the same way.

        Returns
        -------
        bool
            Whether the job was running here.
        """
        self.cancelled.add(job_id)
        self.loop.call_later(MEMORY_S, self.cancelled.discard, job_id)
        active = self.jobs.get(job_id)
        if active is None:
            return False
        if not active.outcome.done():
            active.outcome.set_result(JobState.FAILED)
        self._end(active, 'cancelled')
        return True

    def give_up_all(self) -> None:
        """Answer all jobs at once, because the front stops."""
        for active in list(self.jobs.values()):
            if not active.outcome.done():
                active.outcome.set_exception(self._give_up(active))

    def waiting_count(self, queue: Queue) -> int:
        """Return the number of the queue's jobs of which no task has run."""
        return sum(
            active.queue.name == queue.name and not active.has_run
            for active in self.jobs.values()
        )

    def report(self, channel: Channel, report: WorkerReport) -> None:
        """Take the report of a worker."""
        self.fleet.update(channel, report, self.loop.time())
        self.kick.set()

    def worker_up(self, channel: Channel) -> None:
        """Compare notes with a worker whose link is back."""
        self.lost_at.pop(channel, None)
        view = self.fleet.views.get(channel)
        if view is not None and view.runs:
            self.background.spawn(self._compare(view))

    def worker_down(self, channel: Channel) -> None:
        """Give up the runs at a lost worker once they have surely ended."""
        view = self.fleet.views.get(channel)
        if view is None:
            return
        lost_at = self.loop.time()
        self.lost_at[channel] = lost_at
        logger.bind(
            step='worker',
            peer=view.name,
            runs=len(view.runs),
            report_age_ms=round((lost_at - view.reported_at) * 1000),
        ).info('worker lost')
        self.loop.call_later(RELEASE_S, self._release, view, lost_at)

    def ended(self, channel: Channel, message: RunsEnded) -> None:
        """Take the ends of runs."""
        view = self.fleet.views.get(channel)
        if view is None:
            return
        for outcome in message.outcomes:
            self._run_ended(view, outcome)
        self.report(channel, message.report)

    async def _wait_for_earlier(self, job_id: str) -> None:
        earlier = self.recent.get(job_id)
        if earlier is None or not earlier.placed:
            return
        with suppress(TimeoutError):
            async with asyncio.timeout(LINGER_S):
                await earlier.vacated.wait()

    def _begin(
        self, job: Job, queue: Queue, wait_s: float, version: int
    ) -> ActiveJob:
        now = self.loop.time()
        active = ActiveJob(
            job,
            queue,
            now,
            version,
            self.loop.create_future(),
        )
        earlier = self.recent.get(job.job_id)
        if earlier is not None:
            active.runs = earlier.runs
        self.jobs[job.job_id] = active
        logger.bind(
            request_id=job.job_id,
            step='submit',
            queue=queue.name,
            version=version,
            tasks=sum(step.count for step in job.steps),
            due_ms=round(1000 * (active.due - now)),
            wait_ms=round(1000 * wait_s),
            jobs=len(self.jobs),
        ).info('job accepted')
        active.release_steps()
        if active.is_done():
            active.outcome.set_result(JobState.COMPLETED)
        self.kick.set()
        return active

    def _give_up(self, active: ActiveJob) -> LimpetlandingError:
        error_type = JobAbandoned if active.has_run else JobNotStarted
        return error_type(
            f'{len(active.waiting)} tasks waiting, '
            f'{len(active.placed)} running',
            step='dispatch',
            peer=active.queue.pool,
        )

    def _end(self, active: ActiveJob, why: str) -> None:
        if active.ended:
            return
        active.ended = True
        active.vacated.clear()
        self._note_answer(active, why)
        job_id = active.job.job_id
        self.jobs.pop(job_id, None)
        self.recent[job_id] = active
        self.loop.call_later(MEMORY_S, self._forget, active)
        active.waiting.clear()
        if not active.outcome.done():
            active.outcome.cancel()
        for view in self.fleet.views.values():
            keys = [x.key for x in active.placed.values() if x.key in view.runs]
            if keys:
                self.background.spawn(self._stop(view, keys, why))

    def _note_answer(self, active: ActiveJob, answer: str) -> None:
        now = self.loop.time()
        self.counts[f'jobs_{answer.replace(" ", "_")}'] += 1
        wait_s = None
        if active.first_ordered is not None:
            wait_s = active.first_ordered - active.arrived
        self.on_answer(now - active.arrived, wait_s)
        logger.bind(
            request_id=active.job.job_id,
            step='answer',
            queue=active.queue.name,
            version=active.catalog_version,
            elapsed_ms=round(1000 * (now - active.arrived)),
            due_ms=round(1000 * (active.due - active.arrived)),
            ordered_after_ms=None if wait_s is None else round(1000 * wait_s),
            waiting=len(active.waiting),
            running=len(active.placed),
            runs=sum(active.runs.values()),
            workers=sorted(active.workers),
        ).info('job answered: {}', answer)

    def _forget(self, active: ActiveJob) -> None:
        if self.recent.get(active.job.job_id) is active:
            self.recent.pop(active.job.job_id)

    def _place_waiting(self) -> None:
        now = self.loop.time()
        jobs = [active for active in self.jobs.values() if active.waiting]
        names = Counter(active.queue.pool for active in jobs)
        pools = {name: Pool(self.fleet, name) for name in names}
        jobs.sort(key=lambda x: urgency(now, x, pools[x.queue.pool].best_ratio))
        for active in jobs:
            chosen, left = pools[active.queue.pool].assign(active, now)
            active.waiting = left
            self._order_all(active, chosen)

    def _order_all(self, active: ActiveJob, chosen: Assignment) -> None:
        if chosen and active.first_ordered is None:
            active.first_ordered = self.loop.time()
        active.open_orders += len(chosen)
        for view, tasks in chosen.items():
            self.background.spawn(self._order(active, view, tasks))

    async def _order(
        self, active: ActiveJob, view: WorkerView, tasks: list[ActiveTask]
    ) -> None:
        keys = {task.name: run_key(task.name, task.run) for task in tasks}
        message = StartRuns(
            active.job.job_id,
            active.queue.pool,
            active.job.spec,
            [_order_of(task) for task in tasks],
        )
        self.counts['orders'] += 1
        logger.bind(
            request_id=active.job.job_id,
            step='order',
            peer=view.name,
            tasks=len(tasks),
            free_cpu=view.free.cpu,
            run_ratio=round(view.report.run_ratio, 2),
            report_age_ms=round((self.loop.time() - view.reported_at) * 1000),
            slack_ms=round((active.due - self.loop.time()) * 1000),
        ).info('runs ordered')
        try:
            reply = await view.channel.request(message, ORDER_TIMEOUT_S)
        except PeerLost as error:
            self._order_lost(active, view, error)
        except LimpetlandingError as error:
            self._order_lost(active, view, error)
            self.background.spawn(
                self._stop(view, list(keys.values()), 'no answer')
            )
        else:
            active.may_have_run |= bool(reply.taken)
            self._order_answered(view, tasks, keys, reply)
        finally:
            active.open_orders -= 1
            for key in keys.values():
                view.settle(key)
            self.kick.set()

    def _order_lost(
        self, active: ActiveJob, view: WorkerView, error: Exception
    ) -> None:
        active.may_have_run = True
        logger.bind(
            request_id=active.job.job_id,
            peer=view.name,
            report_age_ms=round((self.loop.time() - view.reported_at) * 1000),
        ).info('order without answer: {}', error)

    def _order_answered(
        self,
        view: WorkerView,
        tasks: list[ActiveTask],
        keys: dict[str, str],
        reply: RunsTaken,
    ) -> None:
        self.fleet.update(view.channel, reply.report, self.loop.time())
        taken = set(reply.taken)
        for task in tasks:
            if task.name in taken:
                continue
            self.counts['orders_refused'] += 1
            if view.is_usable() and view.free.covers(task.step.need):
                # The refusal concerns the task, and the report of the worker
                # does not show it.
                task.excluded[view.name] = self.loop.time() + REFUSAL_S
                self.loop.call_later(REFUSAL_S, self.kick.set)
            self._unplace(view, keys[task.name])

    def _unplace(self, view: WorkerView, key: str) -> ActiveTask | None:
        """Note that a run does not exist, and let its task wait again."""
        task = view.runs.pop(key, None)
        if task is None:
            return None
        active = task.job
        active.remove_placed(task)
        if not active.ended and not task.done:
            active.waiting.append(task)
            self.kick.set()
        return task

    def _run_ended(self, view: WorkerView, outcome: RunOutcome) -> None:
        key = run_key(outcome.task, outcome.run)
        task = view.runs.get(key)
        if task is None:
            return
        active = task.job
        how = RunEnd(outcome.how)
        self.counts[f'runs_{how.value}'] += 1
        if how is RunEnd.DONE:
            view.runs.pop(key)
            active.remove_placed(task)
            self._task_done(active, task)
            return
        if how is not RunEnd.OUTDATED:
            task.avoid.add(view.name)
        self._unplace(view, key)
        if how in {RunEnd.FAILED, RunEnd.STALLED}:
            self._count_failure(active, task, how, outcome.suspect)

    def _task_done(self, active: ActiveJob, task: ActiveTask) -> None:
        if task.done or active.ended:
            return
        task.done = True
        active.left[task.step_index] -= 1
        if active.left[task.step_index]:
            return
        active.release_steps()
        if active.is_done() and not active.outcome.done():
            active.outcome.set_result(JobState.COMPLETED)

    def _count_failure(
        self, active: ActiveJob, task: ActiveTask, how: RunEnd, suspect: bool
    ) -> None:
        if suspect or how is RunEnd.STALLED:
            task.suspect_failures += 1
        else:
            task.failures += 1
        is_final = (
            task.failures >= active.queue.max_attempts
            or task.suspect_failures >= MAX_SUSPECT_FAILURES
        )
        if is_final and not active.outcome.done():
            logger.bind(
                request_id=active.job.job_id,
                task=task.name,
                failures=task.failures,
                suspect_failures=task.suspect_failures,
                max_attempts=active.queue.max_attempts,
            ).info('job failed')
            active.outcome.set_result(JobState.FAILED)

    async def _stop(self, view: WorkerView, keys: list[str], why: str) -> None:
        try:
            await view.channel.request(StopRuns(keys, why), STOP_TIMEOUT_S)
        except LimpetlandingError as error:
            logger.bind(step='stop', peer=view.name, runs=len(keys)).info(
                'stop without answer: {}', error
            )

    async def _compare(self, view: WorkerView) -> None:
        ordered = list(view.ordered)
        runs = [key for key in view.runs if key not in view.ordered]
        try:
            await view.channel.request(HeldRuns(runs, ordered), STOP_TIMEOUT_S)
        except LimpetlandingError as error:
            logger.bind(step='compare', peer=view.name, runs=len(runs)).info(
                'worker did not compare its runs: {}', error
            )

    def _release(self, view: WorkerView, lost_at: float) -> None:
        if self.lost_at.get(view.channel) != lost_at:
            return
        self.lost_at.pop(view.channel)
        if view.runs:
            logger.bind(
                step='worker', peer=view.name, runs=len(view.runs)
            ).info('runs at the lost worker have ended')
        for key in list(view.runs):
            self._unplace(view, key)
        if view.channel.closed.is_set():
            self.fleet.views.pop(view.channel, None)
        self.kick.set()


def _ignore(_elapsed_s: float, _wait_s: float | None) -> None:
    """Stand in until metrics are served."""


def _unfinished(active: ActiveJob) -> str:
    return 'given up' if active.has_run else 'not run'


def _order_of(task: ActiveTask) -> RunOrder:
    need: Resources = task.step.need
    return RunOrder(
        task.name,
        task.run,
        need.cpu,
        need.memory_mb,
        need.gpu,
        task.step.estimate_ms,
    )
