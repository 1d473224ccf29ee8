"""Supervises the runs at one executor, and renews their lease.

The supervisor is the only caller of its executor. `Room` decides when resources
are free and whether a start may be sent.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import replace
from math import inf

from loguru import logger

from limpetlanding.errors import LimpetlandingError
from limpetlanding.runs.background import BackgroundTasks, errors_logged
from limpetlanding.runs.connection_watch import ConnectionWatch
from limpetlanding.runs.executor_losses import ExecutorLosses
from limpetlanding.runs.health import ExecutorHealth
from limpetlanding.runs.losses import LossKind
from limpetlanding.runs.model import Resources, RunEnd
from limpetlanding.runs.ports import (
    DEFAULT_STOP_DURATION_S,
    NOT_ANNOUNCED,
    CallTarget,
    Executor,
    ExecutorDown,
    ExecutorPort,
    ExecutorReplaced,
    ExecutorUnavailable,
    FenceRejected,
    Inventory,
    StartOrder,
    StartReply,
)
from limpetlanding.runs.progress import ProgressWatch
from limpetlanding.runs.room import Room
from limpetlanding.runs.tracked_run import (
    Evidence,
    RunResult,
    TrackedRun,
)

MAX_OWNER_SILENCE_S = 0.3
"""The lease is shortened by the time beyond which the owner of a run has been
silent, so that the runs of a silent owner end within 1.22 s even if stops are
lost. Owners send heartbeats every 0.15 s."""

INVENTORY_WAIT_MS = 200
"""Longest wait of the executor before it answers an inventory while runs are
active. The lease survives two consecutive lost answers."""

INVENTORY_TIMEOUT_S = 0.2
"""Time for the answer in addition to the wait that the call requests."""

MAX_UNANSWERED_INVENTORIES = 2
"""Consecutive unanswered inventories after which the lease is not renewed."""

MIN_REFUSED_CONNECTIONS = 2
"""Consecutive refused connections after which the process of an executor on
this machine has surely ended. A process that is ending may close its listener a
little earlier."""

FENCING_TOKEN_INCREMENT = 5_000
"""Added to a fencing token that the executor rejects as too low, for example
after the clock was set back."""

EXECUTOR_CALL_TIMEOUT_S = 0.25
"""Time for the answer to a start or stop; healthy executors need about 1 ms."""

RETRY_PAUSE_S = 0.03
"""Pause after an unanswered call."""

MAX_ORDER_AGE_S = 1
"""An order that has not been sent to the executor by then is dropped; it counts
from the sending of the order by the front. The front counts a silent worker as
lost after 0.75 s, and starts its runs elsewhere 1.77 s later."""

MAX_CAPACITY_AGE_S = 4
"""An older capacity grants no room, since it may have changed. Executors
announce themselves every 1.5 s; two announcements in a row may be lost."""

MAX_START_ATTEMPTS = 3

RATIO_WEIGHT = 0.1
"""Weight of a new run in the moving average of run time over estimate. Single
ratios vary by about 40% within each job."""

MIN_RATIO_MS = 30
"""Shorter estimates are ignored; their run times depend mainly on latency."""


class RunSupervisor:
    """Manages runs, lease and health of the executor on this machine.

    Parameters
    ----------
    port : ExecutorPort
        Calls to the executor.
    on_end : callable
        Called with the `RunResult` of each ended run.
    on_change : callable
        Called when the free resources, health or state have changed.
    stop_s : float
        Longest time in seconds that the executor takes to stop a run.
    clock : callable, optional
        Returns seconds of a clock that runs on while the machine is
        suspended; by default the time of the event loop.
    """

    def __init__(
        self,
        port: ExecutorPort,
        on_end: Callable[[RunResult], None],
        on_change: Callable[[], None],
        stop_s: float = DEFAULT_STOP_DURATION_S,
        clock: Callable[[], float] | None = None,
    ) -> None:
        self.port = port
        self.on_end = on_end
        self.on_change = on_change
        # Returns the time, in monotonic seconds, of the last message of the
        # owner of a run that has been silent for longest.
        self.owners_heard_at: Callable[[], float] = lambda: inf
        self.loop = asyncio.get_running_loop()
        self.now = clock or self.loop.time
        self.executor: Executor | None = None
        # The latest announcement of another incarnation, not yet confirmed.
        self.announced: Executor | None = None
        # When the executor last announced its capacity, on the clock `now`.
        self.capacity_announced_at: float = 0
        # The executor has said that it shuts down.
        self.departing = False
        # Counts the incarnations of the executor that this process has seen.
        self.generation = 0
        # Rises with the generation, and when the executor announces another
        # pool or other labels; a run is started only under the revision under
        # which it was ordered.
        self.revision = 0
        # Orders of an earlier incarnation of this process may still arrive at
        # the executor, which rejects them because of this higher token. The
        # wall clock rises from one incarnation to the next.
        self.room = Room(int(time.time() * 1000), stop_s)
        self.health = ExecutorHealth()
        self.progress = ProgressWatch()
        self.run_ratio = 1.0
        # Positions in the executor's list of ended runs: the last one received,
        # and the last one whose acknowledgement the executor has received.
        self.acknowledged = 0
        self.acknowledged_by_executor = 0
        self.reachable = False
        self.unanswered_inventories = 0
        self.refused_connections = 0
        # Incarnations of this process differ in the token.
        self.losses = ExecutorLosses(str(self.room.fence), self.loop.time())
        self.stopping = False
        self.wake = asyncio.Event()
        self.no_runs_left = asyncio.Event()
        self.no_runs_left.set()
        self.background = BackgroundTasks()
        self.watch = ConnectionWatch(
            port, self._note_missing_answer, self.wake.set
        )

    @property
    def runs(self) -> dict[tuple[str, int], TrackedRun]:
        """Runs that occupy resources, by task and number."""
        return self.room.runs

    @property
    def fence(self) -> int:
        """Fencing token of the next call."""
        return self.room.fence

    @property
    def capacity(self) -> Resources:
        """Total resources of the executor."""
        return self.room.capacity

    @property
    def free(self) -> Resources:
        """Resources that no run occupies."""
        return self.room.free

    def health_state(self) -> str:
        """Return ``good``, ``ejected`` or ``trial``."""
        return self.health.state(self.loop.time())

    def refusal_reason(self, need: Resources) -> str:
        """Return why a run cannot be started now; empty if it can."""
        if self.executor is None or not self.reachable:
            return 'executor silent'
        if self.stopping or self.executor.draining:
            return 'leaving'
        if self._is_capacity_outdated():
            return 'capacity not announced lately'
        health = self.health_state()
        if health == 'ejected' or (health == 'trial' and self.runs):
            return 'unhealthy'
        return self.room.refusal_reason(need, self.loop.time())

    def _is_capacity_outdated(self) -> bool:
        return self.now() - self.capacity_announced_at > MAX_CAPACITY_AGE_S

    def handle_announcement(self, executor: Executor) -> None:
        """Process an announcement of the executor.

        It may be late, or of another writer. One of another incarnation is
        used once a call has shown that the known incarnation has ended.
        """
        known = self.executor
        if known is None:
            self._begin_incarnation(executor)
        elif executor.incarnation != known.incarnation:
            self.announced = _later(self.announced, executor)
            self.background.spawn(self._identify(self.generation))
        elif executor.sequence > known.sequence:
            self._update(known, executor)

    def handle_departure(self, executor_id: str) -> None:
        """Process the message of the executor that it shuts down.

        The message may be late, and its sender may go on for some seconds, so
        that it does not end any run.
        """
        known = self.executor
        if known is not None and known.executor_id == executor_id:
            self.losses.end_silence(known.incarnation, self.loop.time())
            if not self.runs:
                self._end_incarnation(
                    'it has left', Evidence.LEASE, crashed=False
                )
                return
            self._update(known, replace(known, draining=True))
            self.departing = True
            self.wake.set()

    def start(self, held: TrackedRun) -> None:
        """Reserve the resources of a run and start it.

        The caller checks `refusal_reason` first.
        """
        held.revision = self.revision
        self.room.reserve(held)
        self.no_runs_left.clear()
        self.on_change()
        self.background.spawn(self._start(held, self.generation))

    def stop(self, held: TrackedRun, how: RunEnd = RunEnd.STOPPED) -> None:
        """Stop a run; its end is reported once it has certainly ended."""
        if held.requested_end is None:
            held.requested_end = how
        if not held.stop_sent:
            held.stop_sent = True
            held.stop_requested_at = self.loop.time()
            self.background.spawn(self._stop(held))

    def stop_owner(self, owner: str, heard_at: float) -> int:
        """Stop all runs of one front that is lost; return their number.

        Parameters
        ----------
        owner : str
            Incarnation of the front.
        heard_at : float
            When its last message was read, in monotonic seconds. The lease is
            shortened from then on, as it was before the front was lost.
        """
        owned = [run for run in self.runs.values() if run.owner == owner]
        overdue_since = heard_at + MAX_OWNER_SILENCE_S
        for held in owned:
            self.stop(held)
            if held.stop_requested_at is not None:
                held.stop_requested_at = min(
                    held.stop_requested_at, overdue_since
                )
        return len(owned)

    def has_runs_of(self, owner: str) -> bool:
        """Tell whether a front has runs here."""
        return any(run.owner == owner for run in self.runs.values())

    def call_target(self) -> CallTarget:
        """Return the current executor with the token of this process."""
        return CallTarget(self.executor.executor_id, self.fence)

    async def close(self) -> None:
        """Stop calling the executor; the leases of its runs expire."""
        await self.watch.close()
        await self.background.cancel()

    def _begin_incarnation(self, executor: Executor) -> None:
        self.executor = executor
        self.announced = None
        self.departing = False
        self.generation += 1
        self.revision += 1
        self.room.begin_incarnation(executor.capacity)
        self.capacity_announced_at = self.now()
        self.health = ExecutorHealth()
        self.progress = ProgressWatch()
        self.acknowledged = 0
        self.acknowledged_by_executor = 0
        self.reachable = False
        self._reset_missing_answers()
        self.losses.reset(self.loop.time())
        logger.bind(
            step='executor',
            peer=executor.incarnation,
            pool=executor.pool,
            cpu=executor.capacity.cpu,
        ).info('executor found')
        self.background.spawn(self._poll_inventories(self.generation))
        self.on_change()

    def _end_incarnation(
        self, why: str, evidence: Evidence, crashed: bool = True
    ) -> None:
        known = self.executor
        logger.bind(
            step='executor', peer=known.incarnation, runs=len(self.runs)
        ).info('executor lost: {}', why)
        ended = list(self.runs.values())
        if crashed:
            self._end_lost_runs(LossKind.CRASHED, evidence, ended)
        self.executor = None
        self.room.capacity = Resources()
        self.reachable = False
        self.wake.set()
        for held in ended:
            self._finish(held, RunEnd.LAPSED, evidence)
        if self.announced is None:
            self.on_change()
        else:
            self._begin_incarnation(self.announced)

    def _follow_restart(self, inventory: Inventory) -> None:
        """Follow an executor that has restarted under the same id.

        Runs that it lists were started after the restart; those that it lists
        as ended are finished by its next answer. A start without an answer may
        have reached it, and is stopped. All runs are stopped if it has another
        pool or other labels, perhaps only once it announces them.
        """
        known = self.executor
        known_there = [*inventory.active, *inventory.ended]
        listed = {(run.task, run.run) for run in known_there}
        held_runs = list(self.runs.values())
        ended = [x for x in held_runs if x.started and x.key not in listed]
        logger.bind(
            step='executor',
            peer=known.incarnation,
            runs=len(held_runs),
            ended=len(ended),
        ).info('executor lost: it has restarted')
        self._end_lost_runs(LossKind.CRASHED, Evidence.REPLACED, ended)
        successor = replace(known, start_time_ms=inventory.start_time_ms)
        if (
            self.announced
            and self.announced.incarnation == successor.incarnation
        ):
            successor = self.announced
        else:
            # The announcement will state its capacity, which may be another.
            successor = replace(
                successor,
                capacity=Resources(),
                draining=False,
                sequence=NOT_ANNOUNCED,
            )
        self._begin_incarnation(successor)
        self.room.assume_longest_lease(inventory.clock_ms, self.loop.time())
        if _placement(successor) != _placement(known):
            self._stop_misplaced()

    def _end_lost_runs(
        self, kind: LossKind, evidence: Evidence, ended: list[TrackedRun]
    ) -> None:
        """End runs, because the executor has crashed or is silent."""
        if self.executor.draining:
            # It ends on its own.
            for held in ended:
                self._finish(held, RunEnd.LAPSED, evidence)
            return
        self.losses.record_loss(
            self.executor.incarnation, ended, kind, self.loop.time()
        )
        has_crashed = kind is LossKind.CRASHED
        how = RunEnd.CRASHED if has_crashed else RunEnd.LAPSED
        for held in ended:
            self._finish(held, how, evidence, suspect=not has_crashed)

    def _reset_missing_answers(self) -> None:
        self.unanswered_inventories = 0
        self.refused_connections = 0

    def _update(self, known: Executor, announced: Executor) -> None:
        if _placement(announced) != _placement(known):
            self.revision += 1
            if known.sequence == NOT_ANNOUNCED:
                self._stop_misplaced()
        self.executor = announced
        self.room.capacity = announced.capacity
        self.capacity_announced_at = self.now()
        self.departing = False
        if announced.draining != known.draining:
            logger.bind(step='executor', peer=announced.incarnation).info(
                'executor is draining'
                if announced.draining
                else 'executor is no longer draining'
            )
        self.on_change()

    def _stop_misplaced(self) -> None:
        """Stop the runs that were meant for an earlier life of the executor."""
        for held in list(self.runs.values()):
            self.stop(held, RunEnd.REFUSED)

    def _raise_fence(self, error: FenceRejected) -> None:
        self.room.raise_fence(FENCING_TOKEN_INCREMENT)
        logger.bind(step='look', fence=self.fence).info(
            'fencing token raised: {}', error.detail
        )

    def _is_current(self, generation: int) -> bool:
        return self.executor is not None and self.generation == generation

    def _new_lease_end_ms(self) -> int:
        now = self.loop.time()
        overdue_s = now - self.owners_heard_at() - MAX_OWNER_SILENCE_S
        return self.room.new_lease_end_ms(now, overdue_s)

    async def _poll_inventories(self, generation: int) -> None:
        while self._is_current(generation):
            if not self._is_busy() and not self._has_to_call():
                await self._wait_while_idle(generation)
            if self._is_current(generation):
                with errors_logged('look'):
                    await self._take_inventory(generation)
                    continue
                await asyncio.sleep(RETRY_PAUSE_S)

    def _has_to_call(self) -> bool:
        """Tell whether an acknowledgement or a confirmation is due."""
        return (
            self.acknowledged != self.acknowledged_by_executor
            or not self.room.is_confirmed
        )

    def _is_busy(self) -> bool:
        """Tell whether an end of a run or of the executor may come soon."""
        # While a late start may come, a restart of the executor must be noticed
        # at once: its next incarnation has seen no fencing token.
        return bool(
            self.runs
            or self.room.unknown_runs
            or self.room.may_get_late_start(self.loop.time())
        )

    async def _wait_while_idle(self, generation: int) -> None:
        await self.watch.wait(self.wake)
        if self._is_current(generation) and not self.watch.is_open:
            # The inventory that follows shows that the known incarnation has
            # received the call.
            await self.watch.open(self.call_target(), self.acknowledged)

    async def _take_inventory(self, generation: int) -> None:
        sent = self.loop.time()
        acknowledged = self.acknowledged
        # Without runs there is no lease to renew, and the acknowledgement of an
        # end must not be delayed. The lease of unknown runs is not renewed, but
        # the call waits for their ends.
        is_waiting = (
            self.reachable and self.room.is_confirmed and self._is_busy()
        )
        wait_ms = INVENTORY_WAIT_MS if is_waiting else 0
        lease = (
            self._new_lease_end_ms() if self.runs and self.reachable else None
        )
        target = self.call_target()
        try:
            async with asyncio.timeout(wait_ms / 1000 + INVENTORY_TIMEOUT_S):
                inventory = await self.port.inventory(
                    target, acknowledged, lease, wait_ms
                )
        except (ExecutorUnavailable, TimeoutError) as error:
            await self._handle_missing_inventory(generation, error)
            return
        except FenceRejected as error:
            self._raise_fence(error)
            return
        except ExecutorReplaced as error:
            if self._is_current(generation):
                self._end_incarnation(str(error), Evidence.REPLACED)
            return
        if not self._is_current(generation):
            return
        if self._shows_restart(inventory):
            self._follow_restart(inventory)
            return
        self.acknowledged_by_executor = acknowledged
        self._apply_inventory(inventory, target.fence, sent)

    async def _identify(self, generation: int) -> None:
        """Find out whether the known incarnation has ended."""
        try:
            async with asyncio.timeout(EXECUTOR_CALL_TIMEOUT_S):
                inventory = await self.port.inventory(
                    self.call_target(), 0, None, 0
                )
        except (ExecutorUnavailable, FenceRejected, TimeoutError):
            # The next inventories or announcements will show it.
            self.wake.set()
            return
        except ExecutorReplaced as error:
            if self._is_current(generation):
                self._end_incarnation(str(error), Evidence.REPLACED)
            return
        if not self._is_current(generation):
            return
        if self._shows_restart(inventory):
            self._follow_restart(inventory)
        elif self.announced is not None:
            logger.bind(step='announce', peer=self.announced.incarnation).info(
                'announcement ignored: another incarnation answers'
            )
            self.announced = None

    def _shows_restart(self, inventory: Inventory) -> bool:
        answered_ms = inventory.start_time_ms
        return answered_ms not in {0, self.executor.start_time_ms}

    async def _handle_missing_inventory(
        self, generation: int, error: Exception
    ) -> None:
        if not self._is_current(generation):
            return
        self.unanswered_inventories += 1
        self.room.require_inventory()
        is_refused = isinstance(error, ExecutorDown)
        self.refused_connections = (
            self.refused_connections + 1 if is_refused else 0
        )
        if (
            self.reachable
            and self.unanswered_inventories >= MAX_UNANSWERED_INVENTORIES
        ):
            logger.bind(
                step='look', peer=self.executor.incarnation, runs=len(self.runs)
            ).info('executor does not answer: {}', error or 'no answer in time')
            # From now on the lease is not renewed, so that it expires.
            self.reachable = False
            self.on_change()
        if not self.reachable:
            self._end_lapsed_runs()
            if self.departing and not self.runs:
                self._end_incarnation(
                    'it has left', Evidence.LEASE, crashed=False
                )
        await asyncio.sleep(RETRY_PAUSE_S)

    def _end_lapsed_runs(self) -> None:
        ended = list(self.runs.values())
        if self._has_surely_crashed():
            self._end_lost_runs(LossKind.CRASHED, Evidence.REFUSED, ended)
        elif self.room.is_lease_past(self.loop.time()):
            self._end_lost_runs(LossKind.SILENT, Evidence.LEASE, ended)

    def _has_surely_crashed(self) -> bool:
        # An executor that drains may close its listener before its runs end.
        return (
            self.port.is_local
            and not self.executor.draining
            and self.refused_connections >= MIN_REFUSED_CONNECTIONS
        )

    def _apply_inventory(
        self, inventory: Inventory, fence: int, sent: float
    ) -> None:
        now = self.loop.time()
        self._reset_missing_answers()
        self.losses.end_silence(self.executor.incarnation, now)
        was_accepting = self.reachable and self.room.is_confirmed
        self.reachable = True
        unknown_before = self.room.unknown_runs
        endings = self.room.take_inventory(inventory, fence, sent, now)
        if not was_accepting:
            self.on_change()
        numbers = [end.number for end in inventory.ended]
        self.acknowledged = max([self.acknowledged, *numbers])
        for held, how, evidence in endings:
            self._finish(held, how, evidence)
        for run in inventory.active:
            held = self.runs.get((run.task, run.run))
            if held and self.progress.is_stalled(held, run.percent, now):
                self._stop_stalled(held, now)
        self._stop_unknown_runs(unknown_before)

    def _stop_unknown_runs(self, known: set[tuple[str, int]]) -> None:
        unknown = self.room.unknown_runs
        if unknown != known:
            logger.bind(step='look', runs=sorted(unknown)[:5]).info(
                'unknown runs at the executor: {}', len(unknown)
            )
            self.on_change()
        if known - unknown:
            self.loop.call_later(self.room.stop_limit_s, self.on_change)
        for key in sorted(unknown - known):
            self.background.spawn(self._stop_unknown_run(*key))

    def _stop_stalled(self, held: TrackedRun, now: float) -> None:
        if held.requested_end is None:
            logger.bind(
                request_id=held.job_id,
                task=held.task,
                run=held.run,
                percent=held.percent,
                age_ms=round((now - held.progress_at) * 1000),
            ).info('run stopped: no progress')
            self.stop(held, RunEnd.STALLED)

    async def _start(self, held: TrackedRun, generation: int) -> None:
        for _ in range(MAX_START_ATTEMPTS):
            reply = await self._send_start(held, generation)
            if reply is None or not self.room.holds(held):
                return
            self.losses.record_answer(self.loop.time())
            if reply.clock_ms is not None and self._is_current(generation):
                self.room.clock.record(reply.clock_ms, self.loop.time())
            if reply.refusal != 'expired':
                self._handle_start_reply(held, reply)
                return
            self.room.record_answered(held)
        self._finish(held, RunEnd.REFUSED, Evidence.START_REFUSED)

    def _withheld_reason(self, held: TrackedRun, generation: int) -> str:
        """Return why a start must not be sent any more; empty if it may."""
        if held.stop_sent:
            return 'the run has been stopped'
        if not self._is_current(generation):
            return 'the executor was replaced'
        if held.revision != self.revision:
            return 'other labels or another pool were announced'
        if self.executor.draining:
            return 'the executor is draining'
        if self.now() - held.ordered_at > MAX_ORDER_AGE_S:
            return 'the order is too old'
        if self._is_capacity_outdated():
            return 'capacity not announced lately'
        if not self.room.is_confirmed:
            return 'room not confirmed by the executor'
        return 'no room is left' if self.room.is_overfull() else ''

    async def _send_start(
        self, held: TrackedRun, generation: int
    ) -> StartReply | None:
        if not self.room.holds(held):
            return None
        reason = self._withheld_reason(held, generation)
        if reason:
            logger.bind(
                request_id=held.job_id, task=held.task, run=held.run
            ).info('start dropped: {}', reason)
            how = held.requested_end or RunEnd.REFUSED
            self._finish(held, how, Evidence.NOT_SENT)
            return None
        self.room.record_sent(held, self._new_lease_end_ms())
        order = StartOrder(
            held.task,
            held.run,
            held.spec,
            held.lease_until_ms,
            held.checkpoint,
        )
        try:
            async with asyncio.timeout(EXECUTOR_CALL_TIMEOUT_S):
                return await self.port.start(self.call_target(), order)
        except ExecutorDown as error:
            # The order never reached the executor, so the run need not be
            # stopped, and has no part in the loss of the executor.
            self.room.record_answered(held)
            self._note_missing_answer()
            logger.bind(
                request_id=held.job_id, task=held.task, run=held.run
            ).info('start not delivered: {}', error)
            how = held.requested_end or RunEnd.REFUSED
            self._finish(held, how, Evidence.UNDELIVERED)
        except ExecutorReplaced as error:
            if self._is_current(generation):
                self._end_incarnation(str(error), Evidence.REPLACED)
        except Exception as error:
            self._handle_lost_start(held, error)
            if not isinstance(error, LimpetlandingError | TimeoutError):
                raise
        return None

    def _handle_lost_start(self, held: TrackedRun, error: Exception) -> None:
        self.room.record_lost_start(self.loop.time())
        self._note_missing_answer()
        logger.bind(request_id=held.job_id, task=held.task, run=held.run).info(
            'start without answer; the run is stopped: {!r}', error
        )
        # The executor may execute the order later. The start must be blocked
        # before the task can be started elsewhere.
        self.stop(held, RunEnd.REFUSED)

    def _note_missing_answer(self) -> None:
        self.room.require_inventory()
        self.wake.set()
        self.on_change()

    def _handle_start_reply(self, held: TrackedRun, reply: StartReply) -> None:
        now = self.loop.time()
        if not reply.refusal:
            self.room.record_started(held, now)
            self.wake.set()
            return
        self.room.record_answered(held)
        suspect = reply.refusal == 'unhealthy'
        # A run that was stopped before its start arrived is outdated, too.
        is_outdated = reply.refusal == 'outdated'
        refused = RunEnd.OUTDATED if is_outdated else RunEnd.REFUSED
        how = held.requested_end or refused
        logger.bind(request_id=held.job_id, task=held.task, run=held.run).info(
            'start refused: {}', reply.refusal
        )
        self._finish(held, how, Evidence.START_REFUSED, suspect=suspect)

    async def _stop(self, held: TrackedRun) -> None:
        while self.room.holds(held) and self.executor is not None:
            if await self._send_stop(held.task, held.run):
                self.room.record_stopped(held, self.loop.time())
                self.wake.set()
                return

    async def _stop_unknown_run(self, task: str, run: int) -> None:
        key = task, run
        while key in self.room.unknown_runs and self.executor is not None:
            if await self._send_stop(task, run):
                return

    async def _send_stop(self, task: str, run: int) -> bool:
        generation = self.generation
        try:
            async with asyncio.timeout(EXECUTOR_CALL_TIMEOUT_S):
                await self.port.stop(self.call_target(), task, run)
                self.losses.record_answer(self.loop.time())
        except (ExecutorUnavailable, FenceRejected, TimeoutError):
            await asyncio.sleep(RETRY_PAUSE_S)
            return False
        except ExecutorReplaced as error:
            if self._is_current(generation):
                self._end_incarnation(str(error), Evidence.REPLACED)
        return True

    def _finish(
        self,
        held: TrackedRun,
        how: RunEnd,
        evidence: Evidence,
        suspect: bool = False,
    ) -> None:
        if not self.room.release(held):
            return
        if not self.runs:
            self.no_runs_left.set()
        now = self.loop.time()
        run_ms = (now - held.started_at) * 1000 if held.started else 0
        if how is RunEnd.DONE:
            self._update_run_ratio(held, run_ms)
            self.health.record_success()
        elif suspect or how in {RunEnd.FAILED, RunEnd.STALLED}:
            self._record_failure(held, how, now)
        is_suspect = suspect or self.health_state() != 'good'
        self.on_end(RunResult(held, how, run_ms, is_suspect, evidence))
        self.on_change()

    def _record_failure(
        self, held: TrackedRun, how: RunEnd, now: float
    ) -> None:
        if not self.health.record_failure(held.job_id, now):
            return
        logger.bind(
            step='health',
            request_id=held.job_id,
            failures=len(self.health.failed_jobs),
            how=how,
        ).info('executor ejected for {} s', self.health.ejection_s)
        self.loop.call_later(self.health.ejection_s, self.on_change)

    def _update_run_ratio(self, held: TrackedRun, run_ms: float) -> None:
        if held.estimate_ms >= MIN_RATIO_MS:
            ratio = run_ms / held.estimate_ms
            self.run_ratio += RATIO_WEIGHT * (ratio - self.run_ratio)


def _placement(executor: Executor) -> tuple[str, set[str]]:
    """Return by what fronts choose an executor, besides its resources."""
    return executor.pool, set(executor.labels)


def _later(known: Executor | None, announced: Executor) -> Executor:
    """Return the later one of two announcements, if one executor sent both."""
    if (
        known is not None
        and known.incarnation == announced.incarnation
        and known.sequence > announced.sequence
    ):
        return known
    return announced
