"""Assigns the tasks of a front's jobs to workers.

A job is active as long as a client waits for it at this front. Each task is
ordered from the worker that is expected to complete it first; the worker may
refuse it for lack of resources. A lost run is started again only when it is
certain that it no longer runs.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from math import inf
from random import Random

from loguru import logger

from limpetlanding.errors import (
    LimpetlandingError,
    PeerLost,
    RequestWithdrawn,
)
from limpetlanding.runs.background import BackgroundTasks
from limpetlanding.runs.fleet import Fleet, WorkerView
from limpetlanding.runs.jobs import (
    MAX_SUSPECT_FAILURES,
    ActiveJob,
    ActiveTask,
)
from limpetlanding.runs.losses import ExecutorLoss, LossLedger, jobs_of
from limpetlanding.runs.model import Job, JobState, Queue, Resources, RunEnd
from limpetlanding.runs.placement import Assignment, Pool, urgency
from limpetlanding.runs.refusal import (
    cannot_end_in_time,
    is_hopeless,
    is_hopeless_trial,
    retry_after_s,
)
from limpetlanding.runs.registry import (
    LOST_RUNS_TIMEOUT_S,
    MAX_RESUBMISSION_WAIT_S,
    JobRegistry,
)
from limpetlanding.runs.worker_losses import WorkerLosses
from limpetlanding.wire import Channel
from limpetlanding.wire.run_messages import (
    ExpectedRuns,
    RunOrder,
    RunOutcome,
    RunsAccepted,
    RunsEnded,
    StartRuns,
    StopRuns,
    WorkerReport,
    run_key,
)

ORDER_TIMEOUT_S = 0.5
"""A worker usually answers an order within a few ms. Without an answer by then
the order counts as lost."""

REFUSED_TASK_PAUSE_S = 0.05
"""Pause before a task is ordered again from a worker that refused it although
it has the resources. Such a worker is stopping an earlier run of the task,
which takes 50 ms."""

STOP_TIMEOUT_S = 5
"""A stop is repeated over new links for this long. After that the worker has
stopped the runs on its own, because it has lost this front."""

MIN_PASS_PAUSE_S = 0.002
"""Pause between two passes over the waiting jobs; a job that arrives meanwhile
waits for its end."""

FAILED_PASS_PAUSE_S = 0.1
"""Time until a pass is repeated that has ended with an unexpected error."""

SHORTAGE_MEMORY_S = 1
"""Time after which a task that found no room does not count any more."""

ANSWERS_BEFORE_RESUBMISSION = frozenset(('client gone', 'given up'))
"""Ends of a job that has run after which its client may send it again."""


class JobNotStarted(LimpetlandingError):
    """No task of the job has been started, and none will be.

    Parameters
    ----------
    retry_after_s : int
        Seconds after which the client may submit the job again.
    """

    def __init__(
        self, detail: str, *, step: str, peer: str = '', retry_after_s: int = 1
    ) -> None:
        super().__init__(detail, step=step, peer=peer)
        self.retry_after_s = retry_after_s


class JobAbandoned(LimpetlandingError):
    """The job did not end before its deadline or the stop of the front.

    A task may have been started; the runs are being stopped.
    """


class Dispatcher:
    """Processes the jobs of one front.

    Parameters
    ----------
    fleet : Fleet
        The workers that this front knows.
    rng : random.Random
        Spreads the times after which refused clients return.
    clock : callable, optional
        Returns seconds of a clock that runs on while the machine is
        suspended, by which clients wait; by default the time of the event
        loop.
    """

    def __init__(
        self,
        fleet: Fleet,
        rng: Random,
        clock: Callable[[], float] | None = None,
    ) -> None:
        self.fleet = fleet
        self.rng = rng
        self.loop = asyncio.get_running_loop()
        self.now = clock or self.loop.time
        self.jobs: dict[str, ActiveJob] = {}
        self.registry = JobRegistry()
        # Whether the jobs have been abandoned, because the front stops.
        self.is_stopping = False
        self.losses = LossLedger()
        self.worker_losses = WorkerLosses(rng)
        # Called with what this front reports of lost executors.
        self.on_loss: Callable[[ExecutorLoss], None] = _ignore_loss
        self.placement_needed = asyncio.Event()
        self.shortage_at = -inf
        self.lost_at: dict[Channel, float] = {}
        self.background = BackgroundTasks()
        self.counts: Counter[str] = Counter()
        # Called with the seconds from the submission to the answer and to the
        # first order, if there was one.
        self.on_answer: Callable[[float, float | None], None] = _ignore_answer
        # Called with a job that has run, and that a client may send again.
        self.on_left: Callable[[ActiveJob], None] = _ignore_left

    async def run(self) -> None:
        """Assign waiting tasks whenever something has changed."""
        while True:
            await self.placement_needed.wait()
            self.placement_needed.clear()
            begin = self.loop.time()
            try:
                self._place_waiting()
            except Exception as error:
                logger.bind(step='place').opt(exception=error).error(
                    'unexpected error; the pass is repeated'
                )
                self.loop.call_later(
                    FAILED_PASS_PAUSE_S, self.placement_needed.set
                )
            # While jobs wait, each report of a worker triggers a pass, which
            # takes long if many jobs wait. The pause limits passes to half of
            # the time, and lets one pass serve several reports and jobs.
            elapsed_s = self.loop.time() - begin
            await asyncio.sleep(max(elapsed_s, MIN_PASS_PAUSE_S))

    async def submit(
        self,
        job: Job,
        queue: Queue,
        wait_s: float,
        version: int,
        is_connected: Callable[[], bool],
    ) -> JobState:
        """Run a job and return its final state.

        Parameters
        ----------
        job : Job
            The job; if a job of this id is active, the call waits for that one.
        queue : Queue
            Queue of the job.
        wait_s : float
            How long the client waits, in seconds.
        version : int
            Version of the configuration under which the job was accepted.
        is_connected : callable
            Returns whether the client still holds its connection. Asked before
            each order, since a client that does not may send the job again at
            another front at once.

        Raises
        ------
        JobNotStarted
            If the job did not end in time, or the front stops, and no task can
            have been started.
        JobAbandoned
            If the job did not end in time, or the front stops, but a task may
            have been started; or if runs of an earlier submission go on.
        """
        submitted_at = self.now()
        if not (self.is_cancelled(job.job_id) or job.job_id in self.jobs):
            await self._wait_for_earlier(job.job_id, wait_s)
        # It may have been cancelled during the wait.
        if self.is_cancelled(job.job_id):
            return JobState.FAILED
        active = self.jobs.get(job.job_id)
        if active is None:
            if self._has_deadly_task(job.job_id):
                return JobState.FAILED
            active = self._add_job(job, queue, wait_s, version, submitted_at)
        return await self._answer(active, is_connected, submitted_at + wait_s)

    def is_cancelled(self, job_id: str) -> bool:
        """Tell whether this front knows that a job has been cancelled."""
        return self.registry.is_cancelled(job_id, self.now())

    def cancel(self, job_id: str, age_s: float = 0) -> bool:
        """Cancel a job; its waiting clients receive the state ``failed``.

        A submission that arrives later receives the same answer.

        Parameters
        ----------
        job_id : str
            The job.
        age_s : float
            Time since the client has cancelled it, in seconds.

        Returns
        -------
        bool
            Whether the job was active at this front.
        """
        self.registry.record_cancelled(job_id, self.now() - age_s)
        active = self.jobs.get(job_id)
        if active is None:
            return False
        if not active.outcome.done():
            active.outcome.set_result(JobState.FAILED)
        self._end_job(active, 'cancelled')
        return True

    def abandon_all(self) -> None:
        """Answer all active jobs as unfinished, because the front stops."""
        self.is_stopping = True
        for earlier in self.registry.ended.values(self.now()):
            # Ends the waits of resubmissions.
            earlier.no_runs_left.set()
        for active in list(self.jobs.values()):
            if not active.outcome.done():
                active.outcome.set_exception(self._unfinished_error(active))

    def waiting_count(self, queue: Queue) -> int:
        """Return how many active jobs of the queue have started no task."""
        return sum(
            active.queue.name == queue.name and not active.has_run
            for active in self.jobs.values()
        )

    def handle_report(self, channel: Channel, report: WorkerReport) -> None:
        """Store the report of a worker and assign waiting tasks."""
        view = self.fleet.update(channel, report, self.loop.time())
        self._resolve_losses(view)
        if any(active.waiting for active in self.jobs.values()):
            self.placement_needed.set()

    def has_runs_at(self, channel: Channel) -> bool:
        """Tell whether this front assumes runs at a worker."""
        view = self.fleet.views.get(channel)
        return view is not None and bool(view.runs)

    def has_shortage(self) -> bool:
        """Tell whether tasks have recently waited for want of room."""
        return self.now() - self.shortage_at < SHORTAGE_MEMORY_S

    def forget_worker(self, channel: Channel) -> None:
        """Remove a worker without runs that this front has released."""
        self.lost_at.pop(channel, None)
        self.fleet.views.pop(channel, None)

    def worker_connected(self, channel: Channel) -> None:
        """Reconcile the runs at a worker that has connected again.

        The worker may not have noticed that it was lost. If this front had
        closed its channel to the same incarnation, the new one takes its place.
        """
        self.lost_at.pop(channel, None)
        former = self.fleet.former_view(channel)
        if former is not None:
            self.lost_at.pop(former.channel, None)
            self.fleet.move(former, channel)
        view = self.fleet.views.get(channel)
        self.background.spawn(self._reconcile(channel, view))

    def worker_disconnected(self, channel: Channel) -> None:
        """Start the runs of a lost worker elsewhere once they have ended."""
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
        self.loop.call_later(
            LOST_RUNS_TIMEOUT_S, self._release_lost_runs, view, lost_at
        )

    def handle_runs_ended(self, channel: Channel, message: RunsEnded) -> None:
        """Process the outcomes of ended runs."""
        view = self.fleet.views.get(channel)
        if view is None:
            return
        for outcome in message.outcomes:
            self._run_ended(view, outcome)
        self.handle_report(channel, message.report)

    def handle_loss(self, loss: ExecutorLoss, age_s: float) -> bool:
        """Record a loss, and give up jobs whose tasks have caused too many.

        Parameters
        ----------
        loss : ExecutorLoss
            The loss.
        age_s : float
            Time since the loss, in seconds.

        Returns
        -------
        bool
            Whether the report told something new.
        """
        is_new = self.losses.record(loss, self.loop.time() - age_s)
        # Jobs that were paused may go on.
        self.placement_needed.set()
        for job_id in jobs_of(loss) & self.jobs.keys():
            active = self.jobs[job_id]
            if self._has_deadly_task(job_id) and not active.outcome.done():
                active.outcome.set_result(JobState.FAILED)
        return is_new

    async def _answer(
        self,
        active: ActiveJob,
        is_connected: Callable[[], bool],
        waits_until: float,
    ) -> JobState:
        """Return the final state of a job to one of its clients."""
        active.clients.append(is_connected)
        answer = 'client gone'
        try:
            async with asyncio.timeout(waits_until - self.now()):
                state = await asyncio.shield(active.outcome)
            answer = state.value
            return state
        except TimeoutError:
            answer = _unfinished_answer(active)
            raise self._timeout_error(active) from None
        except LimpetlandingError:
            answer = _unfinished_answer(active)
            raise
        finally:
            active.clients.remove(is_connected)
            if not active.clients:
                self._end_job(active, answer)

    def _has_deadly_task(self, job_id: str) -> bool:
        task = self.losses.deadly_task(job_id)
        if not task:
            return False
        self.counts['jobs_deadly'] += 1
        logger.bind(
            request_id=job_id,
            step='crash',
            task=task,
            losses=str(self.losses.losses_of(task)),
        ).info('job given up: its task crashes executors')
        return True

    async def _wait_for_earlier(self, job_id: str, wait_s: float) -> None:
        """Wait until the runs of an earlier submission have ended.

        Raises
        ------
        JobAbandoned
            If they have not ended in time.
        """
        earlier = self.registry.ended.get(job_id, self.now())
        if earlier is None or not earlier.placed:
            return
        with suppress(TimeoutError):
            async with asyncio.timeout(min(wait_s, MAX_RESUBMISSION_WAIT_S)):
                await earlier.no_runs_left.wait()
        if earlier.placed or self.is_stopping:
            self.counts['jobs_earlier_runs_left'] += 1
            detail = f'{len(earlier.placed)} earlier runs have not ended'
            logger.bind(request_id=job_id, step='submit').info(
                'job not accepted: {}', detail
            )
            raise JobAbandoned(detail, step='submit', peer=earlier.queue.pool)

    def _add_job(
        self,
        job: Job,
        queue: Queue,
        wait_s: float,
        version: int,
        submitted_at: float,
    ) -> ActiveJob:
        now = self.now()
        active = ActiveJob(
            job,
            queue,
            submitted_at,
            version,
            self.loop.create_future(),
            wait_s,
        )
        earlier = self.registry.ended.get(job.job_id, now)
        if earlier is not None:
            active.runs = earlier.runs
        # The client must not be told that the job has not run.
        active.may_have_run = self.registry.may_have_run(job.job_id, now)
        self.jobs[job.job_id] = active
        logger.bind(
            request_id=job.job_id,
            step='submit',
            queue=queue.name,
            version=version,
            tasks=sum(step.count for step in job.steps),
            due_ms=round(1000 * (active.due_at - now)),
            wait_ms=round(1000 * wait_s),
            jobs=len(self.jobs),
        ).info('job accepted')
        active.release_steps()
        if active.is_done():
            active.outcome.set_result(JobState.COMPLETED)
        self.placement_needed.set()
        # Without reports of workers there is no pass that would refuse it.
        self.loop.call_later(
            active.useful_until - now, self.placement_needed.set
        )
        return active

    def _timeout_error(self, active: ActiveJob) -> LimpetlandingError:
        if len(active.clients) > 1:
            detail = 'the job goes on for another client'
            return JobAbandoned(detail, step='dispatch', peer=active.queue.pool)
        return self._unfinished_error(active)

    def _unfinished_error(self, active: ActiveJob) -> LimpetlandingError:
        detail = (
            f'{len(active.waiting)} tasks waiting, {len(active.placed)} running'
        )
        pool = active.queue.pool
        if active.has_run:
            return JobAbandoned(detail, step='dispatch', peer=pool)
        waited_s = self.now() - active.submitted_at
        return JobNotStarted(
            detail,
            step='dispatch',
            peer=pool,
            retry_after_s=retry_after_s(waited_s, self.rng),
        )

    def _end_job(self, active: ActiveJob, why: str) -> None:
        if active.ended:
            return
        active.ended = True
        active.no_runs_left.clear()
        self._record_answer(active, why)
        job_id = active.job.job_id
        self.jobs.pop(job_id, None)
        self.registry.ended.record(job_id, active, self.now())
        active.waiting.clear()
        if not active.outcome.done():
            active.outcome.cancel()
        for view in self.fleet.views.values():
            keys = [x.key for x in active.placed.values() if x.key in view.runs]
            if keys:
                self.background.spawn(self._stop_runs(view, keys, why))
        is_left = active.has_run and why in ANSWERS_BEFORE_RESUBMISSION
        # The answer may be lost while runs are being stopped.
        if is_left or (active.placed and why == JobState.FAILED.value):
            self.on_left(active)

    def _record_answer(self, active: ActiveJob, answer: str) -> None:
        now = self.now()
        self.counts[f'jobs_{answer.replace(" ", "_")}'] += 1
        wait_s = None
        if active.first_ordered_at is not None:
            wait_s = active.first_ordered_at - active.submitted_at
        self.on_answer(now - active.submitted_at, wait_s)
        logger.bind(
            request_id=active.job.job_id,
            step='answer',
            queue=active.queue.name,
            version=active.catalog_version,
            elapsed_ms=round(1000 * (now - active.submitted_at)),
            due_ms=round(1000 * (active.due_at - active.submitted_at)),
            ordered_after_ms=None if wait_s is None else round(1000 * wait_s),
            waiting=len(active.waiting),
            running=len(active.placed),
            runs=sum(active.runs.values()),
            workers=sorted(active.workers),
        ).info('job answered: {}', answer)

    def _place_waiting(self) -> None:
        now = self.now()
        jobs = [
            active
            for active in self.jobs.values()
            if active.waiting and not active.outcome.done()
        ]
        names = Counter(active.queue.pool for active in jobs)
        pools = {name: Pool(self.fleet, name) for name in names}
        jobs.sort(
            key=lambda x: urgency(now, x, pools[x.queue.pool].lowest_run_ratio)
        )
        suspects = {
            active: None
            for active in jobs
            if self.losses.is_suspect(active.job.job_id)
        }
        for active in jobs:
            if active not in suspects:
                self._place(active, pools[active.queue.pool], now)
        for active in suspects:
            self._try_suspect(active, pools[active.queue.pool], now)

    def _place(
        self, active: ActiveJob, pool: Pool, now: float, is_trial: bool = False
    ) -> None:
        run_ratio = pool.lowest_run_ratio
        if is_hopeless(active, now, run_ratio) or cannot_end_in_time(
            active, now, run_ratio
        ):
            self._refuse(active)
            return
        if self.registry.runs_elsewhere(active.job.job_id, now):
            return
        try:
            chosen, left = pool.assign(active, now, is_trial)
        except Exception as error:
            self._fail_placement(active, error)
            return
        active.waiting = left
        if left:
            pool.has_shortage = True
            self.shortage_at = now
        self._send_orders(active, chosen, is_trial)

    def _try_suspect(self, active: ActiveJob, pool: Pool, now: float) -> None:
        """Place a job that may crash its executors, if no other job waits."""
        if is_hopeless_trial(active, now, pool.lowest_run_ratio):
            self._refuse(active)
        elif not (
            pool.has_shortage or self.losses.is_paused(active.job.job_id)
        ):
            self._place(active, pool, now, is_trial=True)

    def _refuse(self, active: ActiveJob) -> None:
        self.counts['jobs_hopeless'] += 1
        self._give_up(active)

    def _fail_placement(self, active: ActiveJob, error: Exception) -> None:
        # Otherwise each later pass would fail at the same job.
        logger.bind(request_id=active.job.job_id, step='place').opt(
            exception=error
        ).error('unexpected error; the job is given up')
        # Some of its tasks may have been assigned, and are not ordered.
        active.may_have_run |= bool(active.placed)
        for view in self.fleet.views.values():
            for task in active.placed.values():
                view.settle_order(task.key)
        self._give_up(active)

    def _give_up(self, active: ActiveJob) -> None:
        active.waiting.clear()
        if not active.outcome.done():
            active.outcome.set_exception(self._unfinished_error(active))

    def _send_orders(
        self, active: ActiveJob, chosen: Assignment, is_trial: bool
    ) -> None:
        if chosen and active.first_ordered_at is None:
            active.first_ordered_at = self.now()
        active.unanswered_orders += len(chosen)
        for view, tasks in chosen.items():
            self.background.spawn(
                self._send_order(active, view, view.report, tasks, is_trial)
            )

    async def _send_order(
        self,
        active: ActiveJob,
        view: WorkerView,
        report: WorkerReport,
        tasks: list[ActiveTask],
        is_trial: bool,
    ) -> None:
        keys = {task.name: run_key(task.name, task.run) for task in tasks}
        message = StartRuns(
            active.job.job_id,
            active.queue.pool,
            active.job.spec,
            [_run_order(task) for task in tasks],
            is_trial,
            report.executor,
            report.revision,
            deadline_ms=1000 * ORDER_TIMEOUT_S,
        )
        if not active.ended:
            self._record_order(active, view, tasks, is_trial)
        try:
            reply = await view.channel.request(
                message, ORDER_TIMEOUT_S, lambda: self._may_start(active)
            )
        except RequestWithdrawn as error:
            self._handle_withdrawn_order(active, view, keys, error)
        except LimpetlandingError as error:
            self._handle_lost_order(active, view, keys, error)
        else:
            active.may_have_run |= bool(reply.taken)
            self._handle_order_reply(view, tasks, keys, reply)
        finally:
            active.unanswered_orders -= 1
            for key in keys.values():
                view.settle_order(key)
            self.placement_needed.set()

    def _record_order(
        self,
        active: ActiveJob,
        view: WorkerView,
        tasks: list[ActiveTask],
        is_trial: bool,
    ) -> None:
        self.counts['orders'] += 1
        logger.bind(
            request_id=active.job.job_id,
            step='order',
            peer=view.name,
            tasks=len(tasks),
            trial=is_trial,
            free_cpu=view.free.cpu,
            run_ratio=round(view.report.run_ratio, 2),
            report_age_ms=round((self.loop.time() - view.reported_at) * 1000),
            slack_ms=round((active.due_at - self.now()) * 1000),
        ).info('runs ordered')

    def _handle_withdrawn_order(
        self,
        active: ActiveJob,
        view: WorkerView,
        keys: dict[str, str],
        error: RequestWithdrawn,
    ) -> None:
        """Process an order that was not wanted when it was to be sent.

        Unless the job is decided, its clients have left or have waited for
        long enough, and it ends. A client may have joined it meanwhile.
        """
        logger.bind(
            request_id=active.job.job_id,
            step='order',
            peer=view.name,
            sent=error.sent,
            ended=active.ended,
        ).info('order withdrawn')
        if error.sent:
            self._handle_lost_order(active, view, keys, error)
        else:
            for key in keys.values():
                self._return_to_waiting(view, key)
        if active.outcome.done() or self._is_wanted(active):
            return
        if active.is_wanted:
            self._give_up(active)
        else:
            self._end_job(active, 'client gone')

    def _may_start(self, active: ActiveJob) -> bool:
        """Tell whether tasks of a job may be started now."""
        return self._is_wanted(active) and not self.registry.runs_elsewhere(
            active.job.job_id, self.now()
        )

    def _is_wanted(self, active: ActiveJob) -> bool:
        """Tell whether a job is undecided and its clients wait for it."""
        return (
            not active.outcome.done()
            and self.now() <= active.waits_until
            and active.is_wanted
        )

    def _handle_lost_order(
        self,
        active: ActiveJob,
        view: WorkerView,
        keys: dict[str, str],
        error: LimpetlandingError,
    ) -> None:
        active.may_have_run = True
        logger.bind(
            request_id=active.job.job_id,
            peer=view.name,
            report_age_ms=round((self.loop.time() - view.reported_at) * 1000),
        ).info('order without answer: {}', error)
        if not isinstance(error, PeerLost):
            self.background.spawn(
                self._stop_runs(view, list(keys.values()), 'no answer')
            )

    def _handle_order_reply(
        self,
        view: WorkerView,
        tasks: list[ActiveTask],
        keys: dict[str, str],
        reply: RunsAccepted,
    ) -> None:
        self.fleet.update(view.channel, reply.report, self.loop.time())
        taken = set(reply.taken)
        for task in tasks:
            if task.name in taken:
                continue
            self.counts['orders_refused'] += 1
            if view.is_usable() and view.free.covers(task.step.need):
                # The worker has the resources, so that its report does not show
                # why it refuses this task.
                task.excluded_until[view.name] = (
                    self.now() + REFUSED_TASK_PAUSE_S
                )
                self.loop.call_later(
                    REFUSED_TASK_PAUSE_S, self.placement_needed.set
                )
            self._return_to_waiting(view, keys[task.name])

    def _return_to_waiting(
        self, view: WorkerView, key: str
    ) -> ActiveTask | None:
        """Remove a run that is not at the worker; its task waits again."""
        task = view.runs.pop(key, None)
        if task is None:
            return None
        active = task.job
        active.remove_run(task)
        if not active.ended and not task.done:
            active.waiting.append(task)
            self.placement_needed.set()
        return task

    def _run_ended(self, view: WorkerView, outcome: RunOutcome) -> None:
        key = run_key(outcome.task, outcome.run)
        task = view.runs.get(key)
        if task is None:
            return
        active = task.job
        how = _run_end(outcome.how)
        self.counts[f'runs_{how.value}'] += 1
        if how is RunEnd.DONE:
            view.runs.pop(key)
            active.remove_run(task)
            self._task_done(active, task)
            return
        if how is not RunEnd.OUTDATED:
            task.failed_workers.add(view.name)
        self._return_to_waiting(view, key)
        if how in {RunEnd.FAILED, RunEnd.STALLED}:
            self._count_failure(active, task, how, outcome.suspect)

    def _task_done(self, active: ActiveJob, task: ActiveTask) -> None:
        if task.done or active.ended:
            return
        task.done = True
        active.unfinished_tasks[task.step_index] -= 1
        if active.unfinished_tasks[task.step_index]:
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

    async def _stop_runs(
        self, view: WorkerView, keys: list[str], why: str
    ) -> None:
        try:
            await view.channel.request(StopRuns(keys, why), STOP_TIMEOUT_S)
        except LimpetlandingError as error:
            logger.bind(step='stop', peer=view.name, runs=len(keys)).info(
                'stop without answer: {}', error
            )

    async def _reconcile(
        self, channel: Channel, view: WorkerView | None
    ) -> None:
        ordered = list(view.pending_needs) if view else []
        runs = [key for key in view.runs if key not in ordered] if view else []
        ended = [key for key in runs if view.runs[key].job.ended]
        if ended:
            # The request to stop them may have been lost with the channel.
            self.background.spawn(self._stop_runs(view, ended, 'job ended'))
        try:
            await channel.request(ExpectedRuns(runs, ordered), STOP_TIMEOUT_S)
        except LimpetlandingError as error:
            logger.bind(
                step='compare', peer=channel.peer.node, runs=len(runs)
            ).info('worker did not compare its runs: {}', error)

    def _release_lost_runs(self, view: WorkerView, lost_at: float) -> None:
        if self.lost_at.get(view.channel) != lost_at:
            return
        self.lost_at.pop(view.channel)
        if view.runs:
            logger.bind(
                step='worker', peer=view.name, runs=len(view.runs)
            ).info('runs of the lost worker have ended')
            self._record_lost_worker(view)
        for key in list(view.runs):
            self._return_to_waiting(view, key)
        if view.channel.closed.is_set():
            self.fleet.views.pop(view.channel, None)
        self.placement_needed.set()

    def _record_lost_worker(self, view: WorkerView) -> None:
        if not view.report.executor:
            return
        tasks = {key.rpartition('/')[0] for key in view.runs}
        self._report_loss(self.worker_losses.record(view.state, tasks))
        # A new process of the worker may have reported already.
        for other in list(self.fleet.views.values()):
            if other is not view and other.name == view.name:
                self._resolve_losses(other)

    def _resolve_losses(self, view: WorkerView) -> None:
        if view.name not in self.worker_losses.open:
            return
        for loss in self.worker_losses.resolve(view.state):
            self._report_loss(loss)

    def _report_loss(self, loss: ExecutorLoss) -> None:
        logger.bind(
            step='worker', crash=loss.loss_id, tasks=len(loss.other_tasks)
        ).info('executor of a lost worker: {}', loss.kind.name.lower())
        self.handle_loss(loss, 0)
        self.on_loss(loss)


def _ignore_loss(_loss: ExecutorLoss) -> None:
    """Do nothing; used until a callback is set."""


def _ignore_answer(_elapsed_s: float, _wait_s: float | None) -> None:
    """Do nothing; used until the metrics are set up."""


def _ignore_left(_active: ActiveJob) -> None:
    """Do nothing; used until a callback is set."""


def _run_end(how: str) -> RunEnd:
    try:
        return RunEnd(how)
    except ValueError:
        # A peer of a newer build may know further ends.
        return RunEnd.LAPSED


def _unfinished_answer(active: ActiveJob) -> str:
    return 'given up' if active.has_run else 'not run'


def _run_order(task: ActiveTask) -> RunOrder:
    need: Resources = task.step.need
    return RunOrder(
        task.name,
        task.run,
        need.cpu,
        need.memory_mb,
        need.gpu,
        task.step.estimate_ms,
    )
