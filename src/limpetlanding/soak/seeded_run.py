"""Run of one seed: clients, random faults, and checks."""

import asyncio
import signal
from collections import Counter
from dataclasses import dataclass, field
from datetime import UTC, datetime
from pathlib import Path
from random import Random
from time import monotonic

import aiohttp

from limpetlanding.soak.regression import REGRESSIONS
from limpetlanding.soak.system import System

STARTUP_S = 4
"""Processes start in about 1 s, or more slowly under other load."""

JOBS = 60
FAULT_PERIOD_S = 12
"""Period in which jobs are submitted. Faults begin at random intervals of at
most an eighth of it, the last ones possibly after it."""

DEADLY_JOBS = frozenset(f'{number:016x}' for number in range(0, JOBS, 20))
"""Jobs whose first task crashes each executor that starts it."""

MAX_FAULT_S = 3
RECOVERY_S = 9
"""Time from the end of the faults and jobs to the recovery jobs, which are
submitted without faults: processes have restarted, links are up and trials of
ejected executors have ended."""

RECOVERY_JOBS = 10
CLIENT_WAIT_S = 4
"""Time for which a client waits for an answer."""

ANSWER_MARGIN_S = 1
"""Tolerated lateness of an answer on a busy machine."""

RESEND_S = 1.3
"""Time after which a client resubmits a job after a broken connection, 502 or
504."""

LAG_CHECK_INTERVAL_S = 0.05
"""Interval of the check of the soak's own event loop."""

RUN_END_S = 3
"""Time after the last answer in which runs without a client must end."""


@dataclass(slots=True)
class Report:
    """Outcome of one seed.

    Parameters
    ----------
    seed : int or str
        Seed, or name of a regression case.
    faults : Counter
        Number of faults, by kind and kind of target.
    answers : Counter
        Number of final answers, by status.
    findings : list of str
        Violated guarantees.
    delays : list of str
        Late or missing results, which a busy machine may cause as well.
    timeline : list of str
        Time, kind and target of each fault, and the ends of some, for reading
        the logs.
    max_loop_lag_s : float
        Longest lag of the soak's own event loop, in seconds.
    """

    seed: int | str
    faults: Counter[str] = field(default_factory=Counter)
    answers: Counter[str] = field(default_factory=Counter)
    findings: list[str] = field(default_factory=list)
    delays: list[str] = field(default_factory=list)
    timeline: list[str] = field(default_factory=list)
    max_loop_lag_s: float = 0


class SeededRun:
    """Runs one seed on a system.

    Parameters
    ----------
    seed : int or str
        Seed of all random choices, or the name of a regression case.
    system : System
        The running system.
    """

    def __init__(self, seed: int | str, system: System) -> None:
        # Each client and fault has its own random generator, because the order
        # in which they proceed differs from run to run.
        self.seed = seed
        self.faults = REGRESSIONS.get(str(seed), SeededRun.inject_faults)
        self.system = system
        self.report = Report(seed)
        self.refused: set[str] = set()
        self.failed: set[str] = set()
        self.fronts = [x for x in system.processes if x.startswith('front')]

    async def run(self) -> Report:
        """Run clients and faults, then check the guarantees."""
        lag_check = asyncio.create_task(self.measure_loop_lag())
        await asyncio.sleep(STARTUP_S)
        async with asyncio.TaskGroup() as group:
            group.create_task(self.faults(self))
            for number in range(JOBS):
                group.create_task(
                    self.run_client(f'{number:016x}', FAULT_PERIOD_S)
                )
        await asyncio.sleep(RECOVERY_S)
        await self.system.renew_clients()
        recovery_jobs = [f'ca{number:014x}' for number in range(RECOVERY_JOBS)]
        answers = await asyncio.gather(
            *(self.run_client(x, 0) for x in recovery_jobs)
        )
        await asyncio.sleep(RUN_END_S)
        findings = self.report.findings
        if set(answers) != {'200'}:
            recovery_answers = dict(Counter(answers))
            self.report.delays.append(f'recovery jobs: {recovery_answers}')
        running_tasks = self.system.running_tasks()
        if running_tasks:
            findings.append(f'runs without a client: {running_tasks[:3]}')
        findings += self.system.guarantee_violations(self.refused, self.failed)
        for process in self.system.processes.values():
            self.report.delays += process.delays
        lag_check.cancel()
        return self.report

    async def measure_loop_lag(self) -> None:
        """Measure how long the soak's own event loop is blocked.

        Its stand-ins do not answer meanwhile, so that recovery jobs may fail.
        """
        while True:
            due = monotonic() + LAG_CHECK_INTERVAL_S
            await asyncio.sleep(LAG_CHECK_INTERVAL_S)
            late_s = monotonic() - due
            self.report.max_loop_lag_s = max(self.report.max_loop_lag_s, late_s)

    async def run_client(self, job_id: str, max_delay_s: float) -> str:
        """Submit a job, resubmit it if necessary, and check the answers.

        It is resubmitted after a broken connection, 502 or 504.

        Parameters
        ----------
        job_id : str
            Id of the job.
        max_delay_s : float
            Upper bound of the random delay before the submission, in seconds.

        Returns
        -------
        str
            Status of the last answer, ``broken`` or ``no answer``.
        """
        rng = Random(f'{self.seed} {job_id}')
        tasks = rng.randint(1, 5)
        first = rng.randrange(len(self.fronts))
        await asyncio.sleep(rng.uniform(0, max_delay_s))
        end = monotonic() + CLIENT_WAIT_S
        answers = []
        while (left_s := end - monotonic()) > RESEND_S / 4:
            front = (first + len(answers)) % len(self.fronts)
            begin = monotonic()
            answer = await self._submit_once(job_id, tasks, left_s, front)
            answers.append(answer)
            late_s = monotonic() - begin - left_s
            if late_s > ANSWER_MARGIN_S:
                self.report.delays.append(f'{job_id}: {late_s:.1f} s late')
            if answer not in {'broken', '502', '504'}:
                break
            await asyncio.sleep(RESEND_S)
        if set(answers) <= {'503', '429'}:
            self.refused.add(job_id)
        self.report.answers[answers[-1]] += 1
        return answers[-1]

    async def _submit_once(
        self, job_id: str, tasks: int, wait_s: float, front: int
    ) -> str:
        try:
            status, body = await self.system.submit(
                job_id, tasks, wait_s, front
            )
        except TimeoutError:
            return 'no answer'
        except (aiohttp.ClientError, OSError):
            return 'broken'
        if status == 200 and body['state'] == 'failed':
            self.failed.add(job_id)
        is_completed = status == 200 and body['state'] == 'completed'
        if is_completed and self.system.done_tasks(job_id) < tasks:
            self.report.findings.append(f'{job_id}: completed too early')
        return str(status)

    async def inject_faults(self) -> None:
        """Inject random faults at random times; they may overlap."""
        fault_actions = (
            self.kill,
            self.stop,
            self.pause,
            self.stop_role_in_turn,
            self.disturb_proxy,
            self.disturb_proxy,
            self.disturb_executor,
            self.restart_executor,
            self.crash_executor,
            self.change_capacity,
            self.disturb_store,
            self.change_configuration,
            self.change_settings,
        )
        rng = Random(f'{self.seed} faults')
        async with asyncio.TaskGroup() as group:
            for number in range(rng.randint(6, 16)):
                await asyncio.sleep(rng.uniform(0, FAULT_PERIOD_S / 8))
                fault_rng = Random(f'{self.seed} fault {number}')
                group.create_task(rng.choice(fault_actions)(fault_rng))

    async def kill(self, rng: Random) -> None:
        """Kill some processes at the same time."""
        names = list(self.system.processes)
        count = rng.choice((1, 1, 2, len(names)))
        for name in rng.sample(names, count):
            self.record_fault('kill', name)
            self.system.processes[name].kill()

    async def stop(self, rng: Random) -> None:
        """Stop one process with SIGTERM."""
        name = self._random_process(rng)
        self.record_fault('stop', name)
        await self.system.processes[name].stop()

    async def stop_role_in_turn(self, rng: Random) -> None:
        """Stop all processes of a role in turn."""
        role = rng.choice(('front', 'worker'))
        self.record_fault('series', role)
        for name, process in self.system.processes.items():
            if name.startswith(role):
                await process.stop()
                await asyncio.sleep(rng.uniform(0.3, 1))

    async def pause(self, rng: Random) -> None:
        """Suspend one process and resume it later."""
        name = self._random_process(rng)
        self.record_fault('pause', name)
        self.system.processes[name].pause()
        await _wait_for_fault_end(rng)
        self.system.processes[name].resume()
        self.record_fault('resume', name)

    async def disturb_proxy(self, rng: Random) -> None:
        """Delay, reset, cut or silence the connections of one proxy."""
        name = rng.choice(list(self.system.proxies))
        proxy = self.system.proxies[name]
        kind = rng.choice(('delay', 'reset', 'cut', 'silence'))
        self.record_fault(kind, name)
        if kind == 'delay':
            proxy.delay_s = rng.uniform(0.02, 0.4)
        elif kind == 'reset':
            proxy.reset()
        elif kind == 'cut':
            proxy.cut_answers()
        else:
            proxy.silence()
        await _wait_for_fault_end(rng)
        self.record_fault('heal', name)
        proxy.clear_faults()

    async def disturb_executor(self, rng: Random) -> None:
        """Switch on one fault of one executor for a while."""
        number = rng.randrange(len(self.system.executors))
        faults = self.system.executors[number].faults
        kind = rng.choice(
            ('silent', 'late_orders_s', 'fails', 'stalls', 'unhealthy')
        )
        self.record_fault(kind, f'executor-{number}')
        is_late = kind == 'late_orders_s'
        setattr(faults, kind, rng.uniform(0.3, 6) if is_late else True)
        await _wait_for_fault_end(rng)
        setattr(faults, kind, None if is_late else False)

    async def restart_executor(self, rng: Random) -> None:
        """Restart one executor as another incarnation."""
        number = rng.randrange(len(self.system.executors))
        executor = self.system.executors[number]
        self.record_fault('restart', f'executor-{number}')
        executor.restart(f'i-{number}-{executor.born_ms}')

    async def crash_executor(self, rng: Random) -> None:
        """Crash one executor, which restarts after some time."""
        number = rng.randrange(len(self.system.executors))
        self.record_fault('crash', f'executor-{number}')
        self.system.executors[number].crash()

    async def change_capacity(self, rng: Random) -> None:
        """Shrink the capacity of one executor for a while."""
        number = rng.randrange(len(self.system.executors))
        executor = self.system.executors[number]
        self.record_fault('capacity', f'executor-{number}')
        whole = executor.cpu
        executor.change_capacity(int(whole * rng.uniform(0.2, 0.8)))
        await asyncio.sleep(rng.uniform(1, 2 * MAX_FAULT_S))
        executor.change_capacity(whole)

    async def disturb_store(self, rng: Random) -> None:
        """Switch on one fault of the store for a while."""
        faults = self.system.store.faults
        kind = rng.choice(('down', 'slow', 'silent', 'loses_answers'))
        self.record_fault(kind, 'store')
        if kind == 'down':
            faults.status = rng.choice((503, 429))
        elif kind == 'slow':
            faults.delay_s = 0.24
        else:
            setattr(faults, kind, True)
        await _wait_for_fault_end(rng)
        faults.status = 0
        faults.delay_s = 0
        faults.silent = False
        faults.loses_answers = False

    async def change_configuration(self, rng: Random) -> None:
        """Publish a few versions of the configuration in quick succession."""
        self.record_fault('configuration', 'store')
        for _ in range(rng.randint(1, 4)):
            self.system.publish_configuration()
            await asyncio.sleep(rng.uniform(0, 0.2))

    async def change_settings(self, rng: Random) -> None:
        """Rewrite a settings file, with or without sending SIGHUP."""
        name = self._random_process(rng)
        self.record_fault('settings', name)
        process = self.system.processes[name]
        process.write_settings()
        if rng.choice((True, False)) and process.is_ready():
            process.signal(signal.SIGHUP)

    def _random_process(self, rng: Random) -> str:
        return rng.choice(list(self.system.processes))

    def record_fault(self, kind: str, where: str) -> None:
        """Add a fault to the report."""
        moment = datetime.now(UTC).isoformat(timespec='milliseconds')
        self.report.timeline.append(f'{moment} {kind} {where}')
        self.report.faults[f'{kind} {where.partition("-")[0]}'] += 1


async def run_seed(
    seed: int | str,
    number: int,
    directory: Path,
    fronts: int = 2,
    workers: int = 3,
) -> Report:
    """Start a system and run one seed on it.

    Parameters
    ----------
    seed : int or str
        Seed of all random choices, or the name of a regression case. It does
        not determine the timing of the processes.
    number : int
        Number from 1 to 250, distinct for systems that run concurrently.
    directory : Path
        Directory for settings files and the output of the processes.
    fronts, workers : int
        Number of fronts and workers.
    """
    system = System(number, directory, fronts, workers)
    for executor in system.executors:
        clocks = Random(f'{seed} {executor.executor_id}')
        executor.clock_rate = clocks.uniform(0.98, 1)
        executor.work_s = _work_s
        executor.faults.deadly = _is_deadly
    async with system.run():
        return await SeededRun(seed, system).run()


def _work_s(task: str) -> float:
    return Random(task).uniform(0.05, 1)


def _is_deadly(task: str) -> bool:
    job_id, _, place = task.partition('.')
    return job_id in DEADLY_JOBS and place.endswith('.0')


async def _wait_for_fault_end(rng: Random) -> None:
    await asyncio.sleep(rng.uniform(0.1, MAX_FAULT_S))
