"""Manages the runs of all fronts at the executor on the same machine."""

import asyncio
from collections import Counter, defaultdict
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from math import inf
from typing import Any

from loguru import logger

from limpetlanding.errors import LimpetlandingError
from limpetlanding.runs.background import BackgroundTasks, errors_logged
from limpetlanding.runs.catalog import CatalogHolder
from limpetlanding.runs.loss_reports import send_known_losses, send_loss
from limpetlanding.runs.losses import ExecutorLoss, LossLedger
from limpetlanding.runs.model import Catalog, Resources, RunEnd
from limpetlanding.runs.ports import (
    DEFAULT_STOP_DURATION_S,
    Executor,
    ExecutorPort,
)
from limpetlanding.runs.registry import RunFate, RunRegistry
from limpetlanding.runs.seed_links import SeedLinks
from limpetlanding.runs.supervisor import RunSupervisor
from limpetlanding.runs.tracked_run import RunResult, TrackedRun
from limpetlanding.runs.trials import StartTimes
from limpetlanding.wire import Channel, Node
from limpetlanding.wire.run_messages import (
    CatalogUpdate,
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

REPORT_INTERVAL_S = 1
"""Interval of repeated reports; a single one may be lost with its link."""

MAX_REPORTS_PER_S = 50
"""Limit on the reports of a worker to all fronts together. The front whose run
starts or ends receives the free resources with the answer, so that it can reuse
them at once; the others may receive them later. Reports are 60 ms apart with 3
fronts, and 140 ms with 7."""

STOP_WAIT_S = 0.3
"""A stop takes 50 ms at the executor; the timeout allows for one repetition."""

OUTCOMES_TIMEOUT_S = 5
"""Time for a front to confirm the ends of runs. A front that has not answered
by then has dropped the runs."""


class UnknownPool(LimpetlandingError):
    """An executor has announced itself for a pool that does not exist."""


class Worker:
    """Manages the runs of all fronts at the executor on this machine.

    Parameters
    ----------
    node : Node
        Links to the fronts; the worker sets its handler and callbacks.
    port : ExecutorPort
        Calls to the executor.
    stop_s : float
        Longest time in seconds that the executor takes to stop a run.
    """

    def __init__(
        self,
        node: Node,
        port: ExecutorPort,
        stop_s: float = DEFAULT_STOP_DURATION_S,
    ) -> None:
        self.node = node
        self.loop = asyncio.get_running_loop()
        self.supervisor = RunSupervisor(
            port, self._run_ended, self._schedule_report, stop_s, node.clock
        )
        self.supervisor.losses.on_loss = self._executor_lost
        self.supervisor.owners_heard_at = self._owners_heard_at
        self.catalogs = CatalogHolder(self._broadcast_catalog)
        self.queued_outcomes: dict[str, list[RunOutcome]] = defaultdict(list)
        self.registry = RunRegistry()
        self.report_scheduled = False
        self.report_timer: asyncio.TimerHandle | None = None
        self.reported_at = -inf
        # The part of the last report whose changes are sent without delay.
        self.reported_state: tuple[str, bool, str] = ('', False, '')
        self.on_announce: Callable[[], None] = _ignore
        self.counts: Counter[str] = Counter()
        # Reports of losses of the executor with runs, by kind.
        self.loss_counts: Counter[str] = Counter()
        self.losses = LossLedger()
        self.starts = StartTimes()
        # Called with labels and the run time in seconds when a run has ended.
        self.on_run: Callable[[dict[str, str], float], None] = _ignore_run
        self.background = BackgroundTasks()
        self.seed_links = SeedLinks(node)
        node.handler = self.handle
        node.on_peer_up = self._peer_up
        node.on_peer_down = self._peer_down

    def handle_announcement(self, executor: Executor) -> None:
        """Process an announcement of the executor.

        Raises
        ------
        UnknownPool
            If the configuration has no such pool.
        """
        pools = self.catalogs.catalog.pools
        if pools and executor.pool not in pools:
            raise UnknownPool(
                f'unknown pool {executor.pool!r}',
                step='announce',
                peer=executor.incarnation,
            )
        self.supervisor.handle_announcement(executor)
        self.on_announce()

    def handle_departure(self, executor_id: str) -> None:
        """Process the message of the executor that it shuts down."""
        self.supervisor.handle_departure(executor_id)

    async def run(self) -> None:
        """Report to the fronts, and keep links to some, until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            with errors_logged('report'):
                self._schedule_report()
                self.seed_links.update()

    async def drain(self, limit_s: float) -> None:
        """Refuse new runs, and wait for those that are active.

        Runs that are left after `limit_s` seconds are stopped.
        """
        self.supervisor.stopping = True
        self._schedule_report()
        with suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self.supervisor.no_runs_left.wait()
        for held in list(self.supervisor.runs.values()):
            self.supervisor.stop(held)
        with suppress(TimeoutError):
            async with asyncio.timeout(STOP_WAIT_S):
                await self.supervisor.no_runs_left.wait()

    def report(self) -> WorkerReport:
        """Return the state and the free resources of the executor."""
        supervisor = self.supervisor
        executor = supervisor.executor
        if executor is None:
            return WorkerReport('', '', '', [], 0, 0, 0, 0, 0, 0, False, 'good')
        free = supervisor.free
        capacity = executor.capacity
        is_accepting = not supervisor.refusal_reason(Resources())
        return WorkerReport(
            executor=executor.incarnation,
            pool=executor.pool,
            failure_domain=self.node.hello.failure_domain,
            labels=list(executor.labels),
            cpu=capacity.cpu,
            memory_mb=capacity.memory_mb,
            gpu=capacity.gpu,
            free_cpu=free.cpu,
            free_memory_mb=free.memory_mb,
            free_gpu=free.gpu,
            accepting=is_accepting,
            health=supervisor.health_state(),
            run_ratio=supervisor.run_ratio,
            revision=supervisor.revision,
        )

    def handle(self, channel: Channel, message: Any) -> Any:
        """Process a message of a front and return the reply, if any."""
        if isinstance(message, StartRuns):
            return self._start(channel, message)
        if isinstance(message, StopRuns):
            return self._stop(channel, message)
        if isinstance(message, ExpectedRuns):
            return self._reconcile(channel, message)
        if isinstance(message, CatalogUpdate):
            self.catalogs.apply_update(message, channel.peer.node)
        return None

    def _start(self, channel: Channel, message: StartRuns) -> RunsAccepted:
        owner = channel.peer.incarnation
        reason = ''
        taken = []
        for order in message.orders:
            if self._is_known(owner, order):
                # The order was repeated because the first reply was lost.
                taken.append(order.task)
                continue
            key = run_key(order.task, order.run)
            fate = self.registry.fate(owner, key, self.loop.time())
            refusal = fate or self._refusal(message, order)
            if refusal:
                reason = refusal
                self._record_fate(owner, key, fate or RunFate.REFUSED)
            else:
                taken.append(order.task)
                self.starts.record(
                    message.job_id, message.is_trial, self.loop.time()
                )
                self.supervisor.start(
                    _tracked_run(owner, message, order, self.supervisor.now())
                )
        if reason:
            logger.bind(
                request_id=message.job_id,
                peer=channel.peer.node,
                taken=len(taken),
                refused=len(message.orders) - len(taken),
                free_cpu=self.supervisor.free.cpu,
            ).info('runs refused: {}', reason)
        return RunsAccepted(taken, reason, self.report())

    def _is_known(self, owner: str, order: RunOrder) -> bool:
        held = self.supervisor.runs.get((order.task, order.run))
        if held is not None:
            return held.owner == owner
        key = run_key(order.task, order.run)
        fate = self.registry.fate(owner, key, self.loop.time())
        return fate is RunFate.ENDED

    def _record_fate(self, owner: str, key: str, fate: RunFate) -> None:
        self.registry.record(owner, key, fate, self.loop.time())

    def _refusal(self, message: StartRuns, order: RunOrder) -> str:
        executor = self.supervisor.executor
        if executor is not None:
            if message.executor not in {'', executor.incarnation}:
                return 'another executor'
            if message.revision not in {0, self.supervisor.revision}:
                return 'other labels or another pool'
            if executor.pool != message.pool:
                return 'another pool'
        if any(
            held.task == order.task for held in self.supervisor.runs.values()
        ):
            return 'another run of the task is here'
        return self.supervisor.refusal_reason(
            _need(order)
        ) or self.starts.refusal_reason(
            message.job_id, message.is_trial, self.loop.time()
        )

    def _stop(self, channel: Channel, message: StopRuns) -> None:
        held_runs = self._runs_of(channel)
        for key in held_runs.keys() & set(message.runs):
            self.supervisor.stop(held_runs[key])
        missing = [key for key in message.runs if key not in held_runs]
        self._report_missing(channel, missing)
        logger.bind(
            request_id=message.runs[0] if message.runs else '',
            peer=channel.peer.node,
            runs=len(message.runs),
            missing=len(missing),
        ).info('runs stopped: {}', message.reason)

    def _runs_of(self, channel: Channel) -> dict[str, TrackedRun]:
        # Run numbers begin at 1 at each front.
        return {
            run_key(held.task, held.run): held
            for held in self.supervisor.runs.values()
            if held.owner == channel.peer.incarnation
        }

    def _reconcile(self, channel: Channel, message: ExpectedRuns) -> None:
        here = self._runs_of(channel)
        for key in sorted(here.keys() - {*message.runs, *message.ordered}):
            self.supervisor.stop(here[key])
        missing = [key for key in message.runs if key not in here]
        self._report_missing(channel, missing)

    def _report_missing(self, channel: Channel, keys: list[str]) -> None:
        """Report runs that are not here as ended, and block their starts."""
        owner = channel.peer.incarnation
        # Outcomes that were sent earlier arrive first, on the same channel, and
        # the front ignores a second outcome of a run.
        for key in keys:
            self._record_fate(owner, key, RunFate.STOPPED)
            task, _, run = key.rpartition('/')
            self._queue_outcome(
                owner, RunOutcome(task, int(run), RunEnd.LAPSED)
            )

    def _executor_lost(self, loss: ExecutorLoss) -> None:
        self.loss_counts[loss.kind.name.lower()] += 1
        self.losses.record(loss, self.loop.time())
        # The ends of the runs follow on the same links.
        for channel in self.node.connected('front'):
            send_loss(channel, loss)

    def _run_ended(self, result: RunResult) -> None:
        held = result.held
        self._record_fate(
            held.owner, run_key(held.task, held.run), RunFate.ENDED
        )
        self.counts[result.how.value] += 1
        self.on_run({}, result.run_ms / 1000)
        logger.bind(
            request_id=held.job_id,
            task=held.task,
            run=held.run,
            run_ms=round(result.run_ms),
            estimate_ms=round(held.estimate_ms),
            health=self.supervisor.health_state(),
            evidence=result.evidence.value,
        ).info('run ended: {}', result.how.value)
        self._queue_outcome(
            held.owner,
            RunOutcome(
                held.task,
                held.run,
                result.how,
                result.run_ms,
                result.suspect,
            ),
        )

    def _queue_outcome(self, owner: str, outcome: RunOutcome) -> None:
        if not self.queued_outcomes[owner]:
            self.loop.call_soon(self._send_outcomes, owner)
        self.queued_outcomes[owner].append(outcome)

    def _owners_heard_at(self) -> float:
        # The runs of fronts without a channel are being stopped.
        owners = {held.owner for held in self.supervisor.runs.values()}
        return min(
            (
                channel.heard_at
                for channel in self.node.channels
                if channel.peer.incarnation in owners
            ),
            default=inf,
        )

    def _send_outcomes(self, owner: str) -> None:
        outcomes = self.queued_outcomes.pop(owner, [])
        channel = next(
            (x for x in self.node.channels if x.peer.incarnation == owner), None
        )
        if channel is not None and outcomes:
            if not channel.peer.loss_reports:
                outcomes = list(map(_without_crash, outcomes))
            self.background.spawn(
                _send_ends(channel, RunsEnded(outcomes, self.report()))
            )

    def _schedule_report(self) -> None:
        if not self.report_scheduled:
            self.report_scheduled = True
            # Changes within one pass of the event loop share one report.
            self.loop.call_soon(self._report_or_delay)

    def _report_or_delay(self) -> None:
        self.report_scheduled = False
        report = self.report()
        due = (
            self.reported_at
            + len(self.node.connected('front')) / MAX_REPORTS_PER_S
        )
        is_urgent = _urgent_state(report) != self.reported_state
        if is_urgent or self.loop.time() >= due:
            self._send_report(report)
        elif self.report_timer is None:
            self.report_timer = self.loop.call_at(
                due, lambda: self._send_report(self.report())
            )

    def _send_report(self, report: WorkerReport) -> None:
        if self.report_timer is not None:
            self.report_timer.cancel()
            self.report_timer = None
        self.reported_at = self.loop.time()
        self.reported_state = _urgent_state(report)
        for channel in self.node.connected('front'):
            channel.notify(report)

    def _broadcast_catalog(self, _catalog: Catalog) -> None:
        update = self.catalogs.update_message()
        for channel in self.node.connected():
            channel.notify(update)

    def _peer_up(self, channel: Channel) -> None:
        if channel.peer.role != 'front':
            return
        channel.has_work = lambda: self.supervisor.has_runs_of(
            channel.peer.incarnation
        )
        channel.notify(self.report())
        send_known_losses(channel, self.losses, self.loop.time())
        if self.catalogs.version:
            channel.notify(self.catalogs.update_message())

    def _peer_down(self, channel: Channel) -> None:
        stopped = self.supervisor.stop_owner(
            channel.peer.incarnation, channel.heard_at
        )
        logger.bind(
            step='front', peer=channel.peer.node, runs_stopped=stopped
        ).info('front lost')


def _urgent_state(report: WorkerReport) -> tuple[str, bool, str]:
    return report.executor, report.accepting, report.health


def _ignore() -> None:
    """Do nothing; used until a callback is set."""


def _ignore_run(_labels: dict[str, str], _run_s: float) -> None:
    """Do nothing; used until the metrics are set up."""


def _without_crash(outcome: RunOutcome) -> RunOutcome:
    """Return the outcome as a build without reports of crashes knows it."""
    is_crash = outcome.how == RunEnd.CRASHED
    return replace(outcome, how=RunEnd.LAPSED) if is_crash else outcome


def _need(order: RunOrder) -> Resources:
    return Resources(order.cpu, order.memory_mb, order.gpu)


def _tracked_run(
    owner: str, message: StartRuns, order: RunOrder, now: float
) -> TrackedRun:
    return TrackedRun(
        owner,
        message.job_id,
        order.task,
        order.run,
        _need(order),
        message.spec,
        order.checkpoint,
        order.estimate_ms,
        now,
    )


async def _send_ends(channel: Channel, message: RunsEnded) -> None:
    try:
        await channel.request(message, OUTCOMES_TIMEOUT_S)
    except LimpetlandingError as error:
        logger.bind(
            step='report', peer=channel.peer.node, runs=len(message.outcomes)
        ).info('front did not confirm the ends of runs: {}', error)
