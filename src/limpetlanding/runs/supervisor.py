"""Keeper: owns the runs at one executor and their lease.

The supervisor is the only caller of its executor. It accounts for the room of
every run from before the start is sent until the end is listed, because the
executor itself may start whatever it is told.
"""

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress

from loguru import logger

from limpetlanding.runs.background import BackgroundTasks
from limpetlanding.runs.health import ExecutorHealth
from limpetlanding.runs.lease import ExecutorClock
from limpetlanding.runs.model import Resources, RunEnd
from limpetlanding.runs.ports import (
    CallTarget,
    Executor,
    ExecutorPort,
    ExecutorReplaced,
    ExecutorUnavailable,
    FenceRejected,
    Inventory,
    StartOrder,
    StartReply,
)
from limpetlanding.runs.tracked_run import RunResult, TrackedRun

LEASE_MS = 900
"""Lease asked for; the platform grants 1,000 ms at most."""

LOOK_MS = 200
"""Longest wait of one inventory while runs are active. Two lost answers in a
row leave the lease intact."""

LOOK_TIMEOUT_S = 0.2
"""Time for an answer beyond the wait that the call asks for."""

MAX_SILENT_LOOKS = 2
"""Inventories without answer after which the lease is left to run out."""

FENCE_STEP = 5_000
"""Added to a fencing token that is too low, as after a step of the clock."""

IDLE_LOOK_S = 2
"""Interval of inventories while nothing runs."""

ORDER_TIMEOUT_S = 0.25
"""Time for the answer to a start or stop; sound executors need about 1 ms."""

PAUSE_S = 0.03
"""Pause after a call without answer."""

STALL_S = 0.6
"""A run without progress for this long is stopped; a sound one changes its
percentage in every inventory."""

DEFAULT_STOP_DURATION_S = 0.05
"""Longest time that a stop takes at the executor, unless settings differ."""

STOP_MARGIN_S = 0.1
"""Added to the time of a stop before a run that no inventory lists counts as
ended; the end itself is listed sooner if the run was there."""

MAX_ORDER_AGE_S = 1
"""An order that is not at the executor by then is dropped; its front gives a
silent worker up after 0.75 s and starts its runs elsewhere 1.77 s later."""

MAX_START_ATTEMPTS = 3

RATIO_WEIGHT = 0.1
"""Weight of one more run in the moving mean of run time over estimate, whose
spread is about 40% for each job."""

MIN_RATIO_MS = 30
"""Estimates below this say more about latency than about speed."""


class RunSupervisor:
    """Runs, lease and health of the executor beside this process.

    Parameters
    ----------
    port : ExecutorPort
        Calls to the executor.
    on_end : callable
        Receives each `RunResult`.
    on_change : callable
        Called when room, health or state have changed.
    stop_s : float
        Longest time that a stop takes at the executor, in seconds.
    clock : callable, optional
        Returns seconds that go on while the process stands still; the time of
        the event loop if not given.
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
        self.stop_s = stop_s
        self.on_end = on_end
        self.on_change = on_change
        self.loop = asyncio.get_running_loop()
        self.now = clock or self.loop.time
        self.executor: Executor | None = None
        # Numbers the lives of the executor that this process has seen.
        self.life = 0
        self.runs: dict[tuple[str, int], TrackedRun] = {}
        self.foreign: set[tuple[str, int]] = set()
        # Unknown runs may occupy room until then, though no longer listed.
        self.foreign_until: float = 0
        self.clock = ExecutorClock()
        self.health = ExecutorHealth()
        self.run_ratio = 1.0
        # Numbers of the executor's list of ends.
        self.acknowledged = 0
        self.acknowledged_there = 0
        self.last_lease_ms = 0
        self.reachable = False
        self.silent_looks = 0
        # An order got no answer, and nothing has been answered since.
        self.unanswered = False
        # Orders of a former life of this process may be under way; the token
        # makes the executor reject them. The time of day rises over lives.
        self.fence = int(time.time() * 1000)
        self.stopping = False
        self.wake = asyncio.Event()
        self.emptied = asyncio.Event()
        self.emptied.set()
        self.background = BackgroundTasks()

    @property
    def capacity(self) -> Resources:
        """Whole room of the executor."""
        return self.executor.capacity if self.executor else Resources()

    @property
    def free(self) -> Resources:
        """Room that no run occupies."""
        return sum(
            (Resources() - run.need for run in self.runs.values()),
            self.capacity,
        )

    def health_state(self) -> str:
        """Return ``good``, ``ejected`` or ``trial``."""
        return self.health.state(self.loop.time())

    def refusal_reason(self, need: Resources) -> str:
        """Return why a run cannot be started now; empty if it can."""
        if self.executor is None or not self.reachable or self.unanswered:
            return 'executor silent'
        if self.stopping or self.executor.draining:
            return 'leaving'
        if self.foreign or self.loop.time() < self.foreign_until:
            return 'unknown runs are being stopped'
        health = self.health_state()
        if health == 'ejected' or (health == 'trial' and self.runs):
            return 'unhealthy'
        return '' if self.free.covers(need) else 'no room'

    def handle_announcement(self, executor: Executor) -> None:
        """Take what the executor says of itself.

        Announcements may arrive late; those of an earlier life, or older
        than the last one of this life, are ignored.
        """
        known = self.executor
        if known is not None and executor.incarnation == known.incarnation:
            if executor.sequence > known.sequence:
                self._update(known, executor)
            return
        if known is not None and executor.start_time_ms < known.start_time_ms:
            logger.bind(step='announce', peer=executor.incarnation).info(
                'announcement of an earlier life ignored'
            )
            return
        if known is not None:
            self._end_life('another life of the executor has announced itself')
        self._begin_life(executor)

    def handle_departure(self, executor_id: str) -> None:
        """Note that the executor has said that it ends."""
        known = self.executor
        if known is not None and known.executor_id == executor_id:
            self._end_life('the executor has left')

    def start(self, held: TrackedRun) -> None:
        """Occupy the room of a run and start it; see `refusal_reason` first."""
        self.runs[held.key] = held
        self.emptied.clear()
        self.on_change()
        self.background.spawn(self._start(held))

    def stop(self, held: TrackedRun, how: RunEnd = RunEnd.STOPPED) -> None:
        """Stop a run; its end is reported once it is certain."""
        if held.stop_as is None:
            held.stop_as = how
        if not held.stop_sent:
            held.stop_sent = True
            self.background.spawn(self._stop(held))

    def stop_owner(self, owner: str) -> int:
        """Stop all runs of one front; return how many there are."""
        owned = [run for run in self.runs.values() if run.owner == owner]
        for held in owned:
            self.stop(held)
        return len(owned)

    def addressee(self) -> CallTarget:
        """Return the present executor with the token of this process."""
        return CallTarget(self.executor.executor_id, self.fence)

    async def close(self) -> None:
        """Stop calling the executor; what runs there lapses."""
        await self.background.cancel()

    def _begin_life(self, executor: Executor) -> None:
        self.executor = executor
        self.life += 1
        self.clock = ExecutorClock()
        self.health = ExecutorHealth()
        self.acknowledged = 0
        self.acknowledged_there = 0
        self.last_lease_ms = 0
        self.reachable = False
        self.foreign.clear()
        logger.bind(
            step='executor',
            peer=executor.incarnation,
            pool=executor.pool,
            cpu=executor.capacity.cpu,
        ).info('executor found')
        self.background.spawn(self._watch(self.life))
        self.on_change()

    def _end_life(self, why: str) -> None:
        logger.bind(
            step='executor',
            peer=self.executor.incarnation if self.executor else '',
            runs=len(self.runs),
        ).info('executor lost: {}', why)
        self.executor = None
        self.reachable = False
        self.wake.set()
        for held in list(self.runs.values()):
            self._finish(held, RunEnd.LAPSED)
        self.on_change()

    def _update(self, known: Executor, announced: Executor) -> None:
        self.executor = announced
        if announced.draining != known.draining:
            logger.bind(step='executor', peer=announced.incarnation).info(
                'executor drains' if announced.draining else 'executor is back'
            )
        self.on_change()

    def _raise_fence(self, error: FenceRejected) -> None:
        self.fence += FENCE_STEP
        logger.bind(step='look', fence=self.fence).info(
            'fencing token raised: {}', error.detail
        )

    def _is_current(self, life: int) -> bool:
        return self.executor is not None and self.life == life

    def _lease(self) -> int:
        now_ms = self.clock.at(self.loop.time()) or 0
        self.last_lease_ms = max(self.last_lease_ms, now_ms + LEASE_MS)
        return now_ms + LEASE_MS

    async def _watch(self, life: int) -> None:
        while self._is_current(life):
            is_idle = not self.runs and not self.foreign
            if is_idle and self.acknowledged == self.acknowledged_there:
                await self._rest()
            if self._is_current(life):
                await self._look(life)

    async def _rest(self) -> None:
        self.wake.clear()
        if not self.reachable:
            return
        with suppress(TimeoutError):
            async with asyncio.timeout(IDLE_LOOK_S):
                await self.wake.wait()

    async def _look(self, life: int) -> None:
        executor = self.executor
        sent = self.loop.time()
        acknowledged = self.acknowledged
        # Without runs there is nothing to hold, and an end that is waiting
        # for its acknowledgement is not to be delayed. Unknown runs get no
        # lease; their ends are waited for.
        is_waiting = self.reachable and (self.runs or self.foreign)
        wait_ms = LOOK_MS if is_waiting else 0
        lease = self._lease() if self.runs and self.reachable else None
        try:
            async with asyncio.timeout(wait_ms / 1000 + LOOK_TIMEOUT_S):
                inventory = await self.port.inventory(
                    self.addressee(), acknowledged, lease, wait_ms
                )
        except (ExecutorUnavailable, TimeoutError) as error:
            await self._note_silence(life, error)
            return
        except FenceRejected as error:
            self._raise_fence(error)
            return
        except ExecutorReplaced as error:
            if self._is_current(life):
                self._end_life(str(error))
            return
        if not self._is_current(life):
            return
        if (
            inventory.start_time_ms != executor.start_time_ms
            and inventory.start_time_ms
        ):
            self._end_life('the executor has restarted')
            return
        self.acknowledged_there = acknowledged
        self._absorb(inventory, sent)

    async def _note_silence(self, life: int, error: Exception) -> None:
        if not self._is_current(life):
            return
        self.silent_looks += 1
        if self.reachable and self.silent_looks >= MAX_SILENT_LOOKS:
            logger.bind(
                step='look', peer=self.executor.incarnation, runs=len(self.runs)
            ).info('executor silent: {}', error or 'no answer in time')
            # Nothing renews the lease from now on, so that it can run out.
            self.reachable = False
            self.on_change()
        if not self.reachable:
            self._give_up_lapsed()
        await asyncio.sleep(PAUSE_S)

    def _give_up_lapsed(self) -> None:
        if self.clock.is_past(self.last_lease_ms, self.loop.time()):
            for held in list(self.runs.values()):
                self._finish(held, RunEnd.LAPSED, suspect=True)

    def _absorb(self, inventory: Inventory, sent: float) -> None:
        now = self.loop.time()
        self.clock.note(inventory.clock_ms, now)
        self.silent_looks = 0
        if self.unanswered:
            self.unanswered = False
            self.on_change()
        if not self.reachable:
            self.reachable = True
            self.on_change()
        for end in inventory.ended:
            if end.number > self.acknowledged:
                self.acknowledged = end.number
            held = self.runs.get((end.task, end.run))
            if held is not None:
                self._finish(held, _how(held, end.how))
        active = {(run.task, run.run): run.percent for run in inventory.active}
        for key, held in list(self.runs.items()):
            if key in active:
                self._note_progress(held, active[key], now)
            else:
                self._note_absence(held, sent)
        self._stop_foreign(active.keys() - self.runs.keys())

    def _note_absence(self, held: TrackedRun, sent: float) -> None:
        if held.listed_from is not None and held.listed_from < sent:
            self._finish(held, held.stop_as or RunEnd.LAPSED)
        elif self._can_never_begin(held, sent):
            self._finish(held, held.stop_as or RunEnd.REFUSED)

    def _can_never_begin(self, held: TrackedRun, sent: float) -> bool:
        # The executor rejects a start whose lease has passed.
        return held.stop_sent and self.clock.is_past(held.lease_until_ms, sent)

    def _stop_foreign(self, keys: set[tuple[str, int]]) -> None:
        if self.foreign != keys:
            logger.bind(step='look', runs=sorted(keys)[:5]).info(
                'unknown runs at the executor: {}', len(keys)
            )
            self.on_change()
        if self.foreign - keys:
            stop_s = self.stop_s + STOP_MARGIN_S
            self.foreign_until = self.loop.time() + stop_s
            self.loop.call_later(stop_s, self.on_change)
        for key in sorted(keys - self.foreign):
            self.background.spawn(self._stop_unknown(*key))
        self.foreign = keys

    def _note_progress(
        self, held: TrackedRun, percent: float, now: float
    ) -> None:
        if not held.started:
            # The answer to the start was lost, but the run is there.
            held.started = True
            held.begun_at = now
        if percent != held.percent:
            held.percent = percent
            held.progress_at = now
        elif now - held.progress_at > STALL_S and held.stop_as is None:
            logger.bind(
                request_id=held.job_id,
                task=held.task,
                run=held.run,
                percent=percent,
                age_ms=round((now - held.progress_at) * 1000),
            ).info('run stopped: no progress')
            self.stop(held, RunEnd.STALLED)

    async def _start(self, held: TrackedRun) -> None:
        life = self.life
        for _ in range(MAX_START_ATTEMPTS):
            reply = await self._order_start(held, life)
            if reply is None or held.key not in self.runs:
                return
            if reply.clock_ms is not None:
                self.clock.note(reply.clock_ms, self.loop.time())
            if reply.refusal != 'expired':
                self._note_reply(held, reply)
                return
        self._finish(held, RunEnd.REFUSED)

    async def _order_start(
        self, held: TrackedRun, life: int
    ) -> StartReply | None:
        if not self._is_current(life):
            return None
        if self.now() - held.ordered_at > MAX_ORDER_AGE_S:
            logger.bind(
                request_id=held.job_id, task=held.task, run=held.run
            ).info('start dropped: this process stood still')
            # An earlier attempt may have reached the executor.
            self.stop(held, RunEnd.REFUSED)
            return None
        held.lease_until_ms = self._lease()
        order = StartOrder(
            held.task,
            held.run,
            held.spec,
            held.lease_until_ms,
            held.checkpoint,
        )
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                return await self.port.start(self.addressee(), order)
        except (ExecutorUnavailable, FenceRejected, TimeoutError) as error:
            self.unanswered = True
            self.on_change()
            logger.bind(
                request_id=held.job_id, task=held.task, run=held.run
            ).info('start without answer; the run is stopped: {!r}', error)
            # The order may be carried out later, so that the run has to be
            # barred before it can be started elsewhere.
            self.stop(held, RunEnd.REFUSED)
        except ExecutorReplaced as error:
            if self._is_current(life):
                self._end_life(str(error))
        return None

    def _note_reply(self, held: TrackedRun, reply: StartReply) -> None:
        now = self.loop.time()
        if not reply.refusal:
            held.listed_from = now
            if not held.started:
                held.started = True
                held.begun_at = now
                held.progress_at = now
            self.wake.set()
            return
        suspect = reply.refusal == 'unhealthy'
        # A run that was stopped before its start arrived is outdated too.
        is_outdated = reply.refusal == 'outdated'
        refused = RunEnd.OUTDATED if is_outdated else RunEnd.REFUSED
        how = held.stop_as or refused
        logger.bind(request_id=held.job_id, task=held.task, run=held.run).info(
            'start refused: {}', reply.refusal
        )
        self._finish(held, how, suspect=suspect)

    async def _stop(self, held: TrackedRun) -> None:
        while self.runs.get(held.key) is held and self.executor is not None:
            if await self._order_stop(held.task, held.run):
                # A run that is being stopped keeps its room, although it may
                # be listed neither as active nor as ended.
                held.listed_from = (
                    self.loop.time() + self.stop_s + STOP_MARGIN_S
                )
                self.wake.set()
                return

    async def _stop_unknown(self, task: str, run: int) -> None:
        while (task, run) in self.foreign and self.executor is not None:
            if await self._order_stop(task, run):
                return

    async def _order_stop(self, task: str, run: int) -> bool:
        life = self.life
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                await self.port.stop(self.addressee(), task, run)
        except (ExecutorUnavailable, FenceRejected, TimeoutError):
            await asyncio.sleep(PAUSE_S)
            return False
        except ExecutorReplaced as error:
            if self._is_current(life):
                self._end_life(str(error))
        return True

    def _finish(
        self, held: TrackedRun, how: RunEnd, suspect: bool = False
    ) -> None:
        if self.runs.pop(held.key, None) is None:
            return
        if not self.runs:
            self.emptied.set()
        now = self.loop.time()
        run_ms = (now - held.begun_at) * 1000 if held.started else 0
        if how is RunEnd.DONE:
            self._note_speed(held, run_ms)
            self.health.succeeded()
        elif suspect or how in {RunEnd.FAILED, RunEnd.STALLED}:
            self._note_failure(held, how, now)
        is_suspect = suspect or self.health_state() != 'good'
        self.on_end(RunResult(held, how, run_ms, is_suspect))
        self.on_change()

    def _note_failure(self, held: TrackedRun, how: RunEnd, now: float) -> None:
        if not self.health.failed(held.job_id, now):
            return
        logger.bind(
            step='health',
            request_id=held.job_id,
            failures=len(self.health.failed_jobs),
            how=how,
        ).info('executor ejected for {} s', self.health.pause_s)
        self.loop.call_later(self.health.pause_s, self.on_change)

    def _note_speed(self, held: TrackedRun, run_ms: float) -> None:
        if held.estimate_ms >= MIN_RATIO_MS:
            ratio = run_ms / held.estimate_ms
            self.run_ratio += RATIO_WEIGHT * (ratio - self.run_ratio)


def _how(held: TrackedRun, listed: RunEnd) -> RunEnd:
    if listed is RunEnd.STOPPED and held.stop_as is not None:
        return held.stop_as
    return listed
