"""Command line of the soak test."""

import asyncio
import shutil
import sys
from itertools import count
from pathlib import Path
from random import SystemRandom

import fire
from rich.console import Console

from limpetlanding.soak.job_cost import cost
from limpetlanding.soak.seeded_run import Report, run_seed

MAX_SEED = 1_000_000


def soak(
    *seeds: int | str,
    fresh: int = 0,
    jobs: int = 3,
    fronts: int = 2,
    workers: int = 3,
    output: str = 'build/soak',
) -> None:
    """Run seeds, print a summary of each, and exit with 1 on findings.

    Delays count as findings.

    Parameters
    ----------
    seeds : int or str
        Seeds, or names of regression cases, to run.
    fresh : int
        Number of additional, randomly drawn seeds.
    jobs : int
        Number of seeds that run concurrently.
    fronts, workers : int
        Number of fronts and workers in each system.
    output : str
        Directory for the output of the processes. Only the output of seeds
        with findings is kept.
    """
    random_seeds = SystemRandom().sample(range(MAX_SEED), fresh)
    console = Console(width=120)
    reports = asyncio.run(
        _run_seeds(
            [*seeds, *random_seeds],
            jobs,
            (fronts, workers),
            Path(output),
            console,
        )
    )
    faults = sum(x.faults.total() for x in reports)
    failed = [x.seed for x in reports if x.findings or x.delays]
    console.print(
        f'{len(reports)} seeds, {faults} faults, seeds with findings: {failed}'
    )
    sys.exit(bool(failed))


async def _run_seeds(
    seeds: list[int | str],
    jobs: int,
    size: tuple[int, int],
    output: Path,
    console: Console,
) -> list[Report]:
    slots = asyncio.Semaphore(jobs)
    numbers = count(1)

    async def run_one(seed: int | str) -> Report:
        async with slots:
            directory = output / str(seed)
            shutil.rmtree(directory, ignore_errors=True)
            directory.mkdir(parents=True, exist_ok=True)
            report = await run_seed(
                seed, next(numbers) % 250 + 1, directory, *size
            )
        _print(report, console)
        if report.findings or report.delays:
            timeline = '\n'.join(report.timeline)
            (directory / 'faults.txt').write_text(timeline)
        else:
            shutil.rmtree(directory)
        return report

    return await asyncio.gather(*map(run_one, seeds))


def _print(report: Report, console: Console) -> None:
    console.print(
        f'seed {report.seed}: {report.faults.total()} faults, '
        f'answers {dict(report.answers)}, '
        f'own standstill {report.max_loop_lag_s:.2f} s, '
        f'findings {len(report.findings)}, delays {len(report.delays)}'
    )
    for line in (*report.findings, *report.delays):
        console.print(f'  {line}')


if __name__ == '__main__':
    if sys.argv[1:2] == ['cost']:
        fire.Fire({'cost': cost}, name='soak')
    else:
        fire.Fire(soak, name='soak')
