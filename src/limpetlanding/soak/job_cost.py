"""Measures the processor time of fronts and workers for each job.

Real processes serve a steady load without faults. The processor time that they
use while idle is measured before, and subtracted.
"""

import asyncio
from collections import Counter
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random

import orjson
import psutil

from limpetlanding.soak.system import System

FRONTS = 2
WORKERS = 4
IDLE_S = 4
WARM_UP_JOBS = 30
WORK_S = 0.05
TASKS = 2
WAIT_S = 5
START_S = 6


@dataclass(frozen=True, slots=True)
class JobCost:
    """Processor time of the processes of one kind.

    Parameters
    ----------
    job_ms : float
        Milliseconds for each job, all processes of the kind together, beyond
        what they use while idle.
    idle_ms_per_s : float
        Milliseconds a second of one idle process.
    log_lines : float
        Lines written for each job.
    memory_mb : float
        Resident memory of the largest process, in MB.
    """

    job_ms: float
    idle_ms_per_s: float
    log_lines: float
    memory_mb: float


@dataclass(slots=True)
class Usage:
    """Processor seconds and log lines of all processes, by role."""

    cpu_s: Counter[str]
    lines: Counter[str]
    memory_mb: dict[str, float]


def cost(
    jobs: int = 600,
    per_s: float = 60,
    seed: int = 1,
    number: int = 240,
    output: str = 'build/job-cost',
) -> str:
    """Measure one load and return the costs by role, as JSON.

    Parameters
    ----------
    jobs : int
        Number of jobs of two tasks.
    per_s : float
        Jobs a second; they arrive at random.
    seed : int
        Seed of the arrivals.
    number : int
        Second byte of the loopback addresses, up to 250.
    output : str
        Directory for the output of the processes.
    """
    directory = Path(output)
    directory.mkdir(parents=True, exist_ok=True)
    for log in directory.glob('*.log'):
        log.unlink()
    system = System(number, directory, FRONTS, WORKERS)
    figures = asyncio.run(_measure(system, jobs, per_s, Random(seed)))
    return orjson.dumps(figures, option=orjson.OPT_INDENT_2).decode()


def costs(
    before: Usage, idle: Usage, after: Usage, jobs: int, load_s: float
) -> dict[str, JobCost]:
    """Return the costs by role.

    Parameters
    ----------
    before, idle, after : Usage
        Usage at the start, after `IDLE_S` without jobs, and after the jobs.
    jobs : int
        Number of jobs.
    load_s : float
        Seconds between the last two.

    Examples
    --------
    >>> before = Usage(Counter(front=1), Counter(), {})
    >>> idle = Usage(Counter(front=1.04), Counter(), {})
    >>> after = Usage(Counter(front=2.14), Counter(front=500), {'front': 50})
    >>> costs(before, idle, after, jobs=100, load_s=10)['front'].job_ms
    10.0
    """
    numbers = {'front': FRONTS, 'worker': WORKERS}
    figures = {}
    for role in after.cpu_s:
        idle_share = (idle.cpu_s[role] - before.cpu_s[role]) / IDLE_S
        used_s = after.cpu_s[role] - idle.cpu_s[role] - idle_share * load_s
        figures[role] = JobCost(
            round(1000 * used_s / jobs, 3),
            round(1000 * idle_share / numbers[role], 2),
            round((after.lines[role] - idle.lines[role]) / jobs, 2),
            round(after.memory_mb[role], 1),
        )
    return figures


async def _measure(
    system: System, jobs: int, per_s: float, rng: Random
) -> dict[str, object]:
    loop = asyncio.get_running_loop()
    async with system.run():
        for executor in system.executors:
            executor.work_s = _work_s
        await asyncio.sleep(START_S)
        await _submit_all(system, WARM_UP_JOBS, per_s, rng)
        before = _usage(system)
        await asyncio.sleep(IDLE_S)
        idle = _usage(system)
        begin = loop.time()
        answers = await _submit_all(system, jobs, per_s, rng)
        load_s = loop.time() - begin
        figures = costs(before, idle, _usage(system), jobs, load_s)
        return {
            'jobs': jobs,
            'per_s': per_s,
            'answers': dict(answers),
            **{role: asdict(figure) for role, figure in figures.items()},
        }


def _work_s(_task: str) -> float:
    return WORK_S


async def _submit_all(
    system: System, jobs: int, per_s: float, rng: Random
) -> Counter[str]:
    """Submit jobs and return the number of answers by status."""
    calls = []
    for number in range(jobs):
        job_id = f'{rng.getrandbits(64):016x}'
        submission = system.submit(job_id, TASKS, WAIT_S, number % FRONTS)
        calls.append(asyncio.create_task(submission))
        await asyncio.sleep(rng.expovariate(per_s))
    answers = await asyncio.gather(*calls, return_exceptions=True)
    return Counter(
        type(x).__name__ if isinstance(x, BaseException) else str(x[0])
        for x in answers
    )


def _usage(system: System) -> Usage:
    usage = Usage(Counter(), Counter(), {})
    for process in system.processes.values():
        role = process.role
        program = psutil.Process(process.process.pid)
        times = program.cpu_times()
        usage.cpu_s[role] += times.user + times.system
        usage.lines[role] += process.output_path.read_bytes().count(b'\n')
        memory_mb = program.memory_info().rss / 1e6
        usage.memory_mb[role] = max(usage.memory_mb.get(role, 0), memory_mb)
    return usage
