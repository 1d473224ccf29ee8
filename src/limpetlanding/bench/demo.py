"""Demo: starts a small system, runs jobs for seconds, prints the results."""

import json
import sys
from collections import Counter

import fire
from rich.console import Console
from rich.table import Table

from limpetlanding.bench import figures as fig
from limpetlanding.bench.caller import SubmittedJob
from limpetlanding.bench.deployments import DEPLOYMENTS
from limpetlanding.bench.experiments import RunResult, make_plan, submit_load
from limpetlanding.bench.system import running_system
from limpetlanding.bench.workload import JobMix
from limpetlanding.lifecycle.loop import run_process

DEMO_LOAD = 0.5
DEMO_SECONDS = 5


def demo(
    deployment: str = 'offcut',
    seed: int = 1,
    seconds: float = DEMO_SECONDS,
    json: bool = False,
) -> None:
    """Start the log, 3 entries, 11 agents and endpoints, and run jobs.

    Parameters
    ----------
    seconds : float
        How long jobs are submitted, in seconds.
    json : bool
        Print one JSON object as the last line instead of the table.
    """
    console = Console(stderr=json)
    console.print('Starting a log, 3 entries, 11 agents, 11 endpoints...')
    run = run_process(_run(deployment, seed, seconds, console))
    summary = summarise(run)
    if json:
        _print_json(summary)
    else:
        _print_table(run, summary, console)
    if _has_violation(summary):
        sys.exit(1)


def summarise(run: RunResult) -> dict[str, int]:
    """Return the counts that the last line of the demo contains."""
    outcomes = Counter(job.outcome for job in run.jobs)
    return {
        'jobs': len(run.jobs),
        'complete': outcomes['complete'],
        'failed': outcomes['failed'] + outcomes['may_have_run'],
        'refused': outcomes['not_run'],
        'double_starts': run.system.starts.double_starts(),
        'partial_answers': sum(job.is_partial for job in run.jobs),
        'false_not_run': fig.false_not_run(run.jobs, run.system.starts),
        'lost': fig.lost(run.jobs),
    }


def main() -> None:
    """Run the demo from its command line."""
    fire.Fire(demo, name='demo')


async def _run(
    name: str, seed: int, seconds: float, console: Console
) -> RunResult:
    deployment = DEPLOYMENTS[name]
    plan = make_plan('demo', deployment, seed, seconds, DEMO_LOAD, JobMix())
    async with running_system(deployment, plan.speeds) as system:
        console.print(
            f'Running; submitting {len(plan.arrivals)} jobs '
            f'in {seconds} s at half of the capacity...'
        )
        return await submit_load(plan, system)


def _has_violation(summary: dict[str, int]) -> bool:
    guarantees = ('double_starts', 'partial_answers', 'false_not_run', 'lost')
    return any(summary[name] for name in guarantees)


def _print_json(summary: dict[str, int]) -> None:
    print(json.dumps(summary), flush=True)


def _print_table(run: RunResult, summary: dict, console: Console) -> None:
    table = Table(title='Results')
    table.add_column('figure')
    table.add_column('value', justify='right')
    for name, value in summary.items():
        table.add_row(name.replace('_', ' '), str(value))
    times = [job.response_ms for job in run.jobs if job.outcome == 'complete']
    table.add_row('median response (ms)', f'{fig.percentile(times, 0.5):.0f}')
    table.add_row('p99 response (ms)', f'{fig.percentile(times, 0.99):.0f}')
    on_time = sum(map(SubmittedJob.is_on_time, run.jobs))
    table.add_row('on time', f'{on_time} of {len(run.jobs)}')
    console.print(table)


if __name__ == '__main__':
    main()
