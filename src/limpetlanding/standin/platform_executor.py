"""Stand-in for an executor of the users' platform, per its protocol page.

It starts runs without checking its capacity, and ends all runs when its one
lease expires. Its faults are described at `ExecutorFaults`. `history` records
all runs and their times, for checks.
"""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any
from weakref import WeakSet

from aiohttp import web

MAX_LEASE_MS = 1000
STOP_DURATION_S = 0.05
MAX_LISTED_ENDS = 500
LEASE_CHECK_INTERVAL_S = 0.02

STALLED_WORK_S = 3600
"""Duration of a run that makes no progress, in seconds."""


@dataclass(slots=True, eq=False)
class StandinRun:
    """One run of a task.

    Parameters
    ----------
    task : str
        Name of the task.
    run : int
        Number of the run.
    started : float
        Start time on the event loop's clock, in seconds.
    work_s : float
        Duration of the work, in seconds.
    ended : float or None
        End time on the event loop's clock; None while the run is active.
    how : str
        Reason of the end, by the platform's name; empty while active.
    stopping : bool
        Whether a stop was ordered.
    is_deadly : bool
        Whether the run crashes its executor.
    """

    task: str
    run: int
    started: float
    work_s: float
    ended: float | None = None
    how: str = ''
    stopping: bool = False
    is_deadly: bool = False


@dataclass(slots=True)
class ExecutorFaults:
    """Faults that can be switched on and off while the executor runs.

    Parameters
    ----------
    silent : bool
        Calls except ``/health`` get no answer and have no effect.
    late_orders_s : float or None
        Starts and stops get no answer and are executed after this time.
    late_orders_survive : bool
        Late orders are also executed by a later life under the same id;
        otherwise a restart drops them.
    fails : bool
        Runs end as failed; those that start meanwhile end after a millisecond.
    stalls : bool
        New runs make no progress.
    unhealthy : bool
        Starts are refused with 503.
    hides_stopping : bool
        Runs that are being stopped are listed as neither active nor ended.
    deadly : callable
        Tells, given the name of a task, whether a run of it crashes the
        executor.
    crash_delay_s : float
        Time from the start of a deadly run to the crash, in seconds.
    crashes_silently : bool
        A crash leaves connections open, as if the machine had lost power.
    """

    silent: bool = False
    late_orders_s: float | None = None
    late_orders_survive: bool = False
    fails: bool = False
    stalls: bool = False
    unhealthy: bool = False
    hides_stopping: bool = False
    deadly: Callable[[str], bool] = lambda task: False
    crash_delay_s: float = 0.01
    crashes_silently: bool = False


@dataclass(slots=True)
class StandinExecutor:
    """One executor, which may restart as another incarnation.

    Parameters
    ----------
    executor_id : str
        Id of the current incarnation.
    cpu : int
        Capacity, in thousandths of a core.
    work_s : callable
        Returns the duration of a task in seconds, given its name.
    clock_rate : float
        Rate of the executor's clock relative to the event loop's clock.
    lease_ms : float
        End of the lease on the executor's clock, in milliseconds.
    started_at : float
        Start of the incarnation on the event loop's clock, in seconds.
    hold_calls : int
        Calls of ``/api/hold`` so far.
    percent_digits : int or None
        Decimal digits of the percentages that it lists; None if it lists
        whole numbers.
    crashed : asyncio.Event
        Set by a crash. The program that serves the executor closes its
        listener, restarts it later and clears the event.
    """

    executor_id: str
    cpu: int = 32_000
    work_s: Callable[[str], float] = lambda task: 0.1
    pool: str = 'desk'
    labels: tuple[str, ...] = ('a', 'r1-1')
    born_ms: int = 1_000
    clock_rate: float = 1.0
    faults: ExecutorFaults = field(default_factory=ExecutorFaults)
    runs: dict[str, StandinRun] = field(default_factory=dict)
    highest_run: dict[str, int] = field(default_factory=dict)
    ended_runs: list[tuple[int, StandinRun]] = field(default_factory=list)
    end_count: int = 0
    lease_ms: float = 0
    fence: int = 0
    started_at: float = 0
    sequence: int = 0
    hold_calls: int = 0
    percent_digits: int | None = 1
    draining: bool = False
    history: list[StandinRun] = field(default_factory=list)
    # Changes of the capacity: the time, and the capacity before it.
    capacity_changes: list[tuple[float, int]] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    crashed: asyncio.Event = field(default_factory=asyncio.Event)
    transports: WeakSet[asyncio.Transport] = field(default_factory=WeakSet)

    def app(self) -> web.Application:
        """Return the application that serves the executor's calls."""
        app = web.Application()
        for name, handler in self._handlers().items():
            serve = self._serve(handler, is_order=name != 'hold')
            app.router.add_post(f'/api/{name}', serve)
        app.router.add_get('/health', self._health)
        return app

    def change_capacity(self, cpu: int) -> None:
        """Change the capacity; the next announcement states it."""
        self.capacity_changes.append((_now(), self.cpu))
        self.cpu = cpu

    def crash(self) -> None:
        """End all runs and answer nothing until the next restart."""
        self._drop_runs()
        self.faults.silent = self.faults.crashes_silently
        if not self.faults.silent:
            for transport in self.transports:
                transport.abort()
        self.crashed.set()

    def restart(self, executor_id: str) -> None:
        """Start another incarnation, which knows no run of the last one."""
        self._drop_runs()
        if self.crashed.is_set():
            self.crashed.clear()
            self.faults.silent = False
        self.highest_run = {}
        self.ended_runs = []
        self.end_count = 0
        self.lease_ms = 0
        self.fence = 0
        self.sequence = 0
        self.executor_id = executor_id
        self.born_ms += 1_000
        self.started_at = _now()

    def announcement(self) -> dict[str, Any]:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return {
            'service': self.pool,
            'address': '10.0.0.9:80',
            'zone': 'z1',
            'version': 'v1',
            'slots': 8,
            'state': 'draining' if self.draining else 'ready',
            'capacity': {'cpu': self.cpu, 'memMb': 65_536},
            'labels': list(self.labels),
            'clockMs': self.clock_ms(),
            'seq': self.sequence,
            'born': self.born_ms,
        }

    def clock_ms(self) -> int:
        """Return the executor's monotonic clock, in milliseconds."""
        return int((_now() - self.started_at) * 1000 * self.clock_rate) + 5_000

    def end_due_runs(self) -> None:
        """End the runs that are done or whose lease has expired."""
        now = _now()
        lease_end = (
            self.started_at + (self.lease_ms - 5_000) / 1000 / self.clock_rate
        )
        for run in list(self.runs.values()):
            done = run.started + run.work_s
            # This may be called late; the recorded end is the time it was due.
            if not run.stopping and done <= min(now, lease_end):
                self._end(run, 'failed' if self.faults.fails else 'done', done)
            elif lease_end <= now:
                self._end(run, 'lapsed', lease_end)

    async def call(
        self, name: str, fields: dict[str, Any], expected: str | None
    ) -> tuple[int, bytes]:
        """Carry out a call without a network; return status and body.

        Parameters
        ----------
        name : str
            ``run-start``, ``run-stop`` or ``hold``.
        fields : dict
            Body of the call.
        expected : str or None
            Id of the executor that the call is meant for.
        """
        handler = self._handlers()[name]
        response = await self._execute(handler, fields, expected)
        return response.status, response.body or b''

    def _handlers(self) -> dict[str, Any]:
        return {
            'run-start': self._start,
            'run-stop': self._stop,
            'hold': self._hold,
        }

    def _serve(self, handler: Any, is_order: bool) -> Any:
        async def serve(request: web.Request) -> web.StreamResponse:
            self.transports.add(request.transport)
            fields = await request.json()
            expected = request.headers.get('X-Expect-Instance')
            if self.faults.silent:
                await asyncio.sleep(3600)
            if is_order and self.faults.late_orders_s is not None:
                late = self._execute_late(handler, fields, expected)
                await asyncio.shield(late)
                await asyncio.sleep(3600)
            answer = await self._execute(handler, fields, expected)
            if self.faults.silent:
                await asyncio.sleep(3600)
            return answer

        return serve

    async def _health(self, _request: web.Request) -> web.Response:
        return web.Response(headers={'X-Instance-Id': self.executor_id})

    async def _execute(
        self, handler: Any, fields: dict[str, Any], expected: str | None
    ) -> web.Response:
        if self.crashed.is_set():
            # The order had been received before the crash.
            await asyncio.sleep(3600)
        if expected and expected != self.executor_id:
            return web.Response(status=421)
        fence = fields.get('fencingToken', 0)
        if fence < self.fence:
            return self._answer(409, reason='fence')
        self.fence = fence
        return await handler(fields)

    def _execute_late(
        self, handler: Any, fields: dict[str, Any], expected: str | None
    ) -> Any:
        life = self.started_at

        async def carry_out() -> None:
            await asyncio.sleep(self.faults.late_orders_s or 0)
            if self.started_at != life and not self.faults.late_orders_survive:
                return
            await self._execute(handler, fields, expected)

        return asyncio.ensure_future(carry_out())

    async def _start(self, fields: dict[str, Any]) -> web.Response:
        self.end_due_runs()
        task, number = fields['task'], fields['run']
        if self.faults.unhealthy:
            return web.Response(status=503)
        if fields['deadlineMs'] <= self.clock_ms():
            return self._answer(409, reason='late')
        self._extend_lease(fields['deadlineMs'])
        present = self.runs.get(task)
        if present is not None and present.run == number:
            return self._answer(200)
        if number <= self.highest_run.get(task, 0):
            return self._answer(409, reason='old')
        work_s = STALLED_WORK_S if self.faults.stalls else self.work_s(task)
        if self.faults.fails:
            work_s = 0.001
        is_deadly = self.faults.deadly(task)
        run = StandinRun(task, number, _now(), work_s, is_deadly=is_deadly)
        self.runs[task] = run
        self.highest_run[task] = number
        self.history.append(run)
        loop = asyncio.get_running_loop()
        loop.call_later(work_s, self.end_due_runs)
        if is_deadly:
            loop.call_later(self.faults.crash_delay_s, self._crash_by, run)
        return self._answer(200)

    def _drop_runs(self) -> None:
        for run in self.runs.values():
            run.ended = _now()
            run.how = 'crashed'
        self.runs = {}

    def _crash_by(self, run: StandinRun) -> None:
        if self.runs.get(run.task) is run:
            self.crash()

    async def _stop(self, fields: dict[str, Any]) -> web.Response:
        self.end_due_runs()
        task, number = fields['task'], fields['run']
        self.highest_run[task] = max(self.highest_run.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.run == number:
            run.stopping = True
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_DURATION_S, self._end, run, 'stopped')
        return self._answer(200)

    async def _hold(self, fields: dict[str, Any]) -> web.Response:
        self.hold_calls += 1
        self.end_due_runs()
        if 'deadlineMs' in fields:
            self._extend_lease(fields['deadlineMs'])
        acknowledged = fields['ackedThrough']
        self.ended_runs = [
            end for end in self.ended_runs if end[0] > acknowledged
        ]
        if not self.ended_runs:
            await self._wait_for_end(fields.get('waitMs', 0) / 1000)
        now = _now()
        return self._answer(
            200,
            running=[
                [run.task, run.run, '', self._progress_percent(run, now), 100]
                for run in self.runs.values()
                if not (run.stopping and self.faults.hides_stopping)
            ],
            endedRuns=[
                [number, run.task, run.run, run.how, '']
                for number, run in self.ended_runs[:MAX_LISTED_ENDS]
            ],
        )

    async def _wait_for_end(self, wait_s: float) -> None:
        loop = asyncio.get_running_loop()
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while not self.ended_runs:
                    self.changed.clear()
                    # The lease may expire while the call waits.
                    timer = loop.call_later(
                        LEASE_CHECK_INTERVAL_S, self.changed.set
                    )
                    await self.changed.wait()
                    timer.cancel()
                    self.end_due_runs()

    def _progress_percent(self, run: StandinRun, now: float) -> float:
        if run.work_s >= STALLED_WORK_S:
            return 7
        percent = 100 * (now - run.started) / run.work_s
        return round(percent, self.percent_digits)

    def _extend_lease(self, deadline_ms: float) -> None:
        max_lease_ms = self.clock_ms() + MAX_LEASE_MS
        self.lease_ms = max(self.lease_ms, min(deadline_ms, max_lease_ms))

    def _end(self, run: StandinRun, how: str, at: float | None = None) -> None:
        if self.runs.get(run.task) is not run:
            return
        self.runs.pop(run.task)
        run.ended = _now() if at is None else at
        run.how = how
        self.end_count += 1
        self.ended_runs.append((self.end_count, run))
        self.changed.set()

    def _answer(self, status: int, **fields: Any) -> web.Response:
        body = {'clockMs': self.clock_ms(), 'born': self.born_ms, **fields}
        return web.json_response(body, status=status)


def _now() -> float:
    return asyncio.get_running_loop().time()
