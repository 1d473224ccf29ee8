"""Demo: starts a small system, runs jobs for some seconds, tells the result."""

import json
import sys
from collections import Counter

import fire
from rich.console import Console
from rich.table import Table

from limpetlanding.bench import figures as fig
from limpetlanding.bench.caller import Offer
from limpetlanding.bench.deployments import DEPLOYMENTS
from limpetlanding.bench.experiments import Run, make_plan, offer_load
from limpetlanding.bench.system import running_system
from limpetlanding.bench.workload import Mix
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
        How long jobs are offered.
    json : bool
        Print one JSON object as the last line in place of the table.
    """
    console = Console(stderr=json)
    console.print('Starting a log, 3 entries, 11 agents, 11 endpoints...')
    run = run_process(_run(deployment, seed, seconds, console))
    summary = summarise(run)
    if json:
        _print_json(summary)
    else:
        _print_table(run, summary, console)
    if _broken(summary):
        sys.exit(1)


def summarise(run: Run) -> dict[str, int]:
    """Return the counts that the demo's last line holds."""
    outcomes = Counter(offer.outcome for offer in run.offers)
    return {
        'jobs': len(run.offers),
        'complete': outcomes['complete'],
        'failed': outcomes['failed'] + outcomes['may_have_run'],
        'refused': outcomes['not_run'],
        'double_starts': run.system.starts.double_starts(),
        'partial_answers': sum(offer.is_partial for offer in run.offers),
        'false_not_run': fig.false_not_run(run.offers, run.system.starts),
        'lost': fig.lost(run.offers),
    }


def main() -> None:
    """Run the demo from its command line."""
    fire.Fire(demo, name='demo')


async def _run(name: str, seed: int, seconds: float, console: Console) -> Run:
    deployment = DEPLOYMENTS[name]
    plan = make_plan('demo', deployment, seed, seconds, DEMO_LOAD, Mix())
    async with running_system(deployment, plan.speeds) as system:
        console.print(
            f'Running; offering {len(plan.arrivals)} jobs '
            f'in {seconds} s at half of the capacity...'
        )
        return await offer_load(plan, system)


def _broken(summary: dict[str, int]) -> bool:
    promises = ('double_starts', 'partial_answers', 'false_not_run', 'lost')
    return any(summary[name] for name in promises)


def _print_json(summary: dict[str, int]) -> None:
    print(json.dumps(summary), flush=True)


def _print_table(run: Run, summary: dict, console: Console) -> None:
    table = Table(title='What happened')
    table.add_column('figure')
    table.add_column('value', justify='right')
    for name, value in summary.items():
        table.add_row(name.replace('_', ' '), str(value))
    times = [
        offer.response_ms for offer in run.offers if offer.outcome == 'complete'
    ]
    table.add_row('median response (ms)', f'{fig.percentile(times, 0.5):.0f}')
    table.add_row('p99 response (ms)', f'{fig.percentile(times, 0.99):.0f}')
    on_time = sum(map(Offer.is_on_time, run.offers))
    table.add_row('on time', f'{on_time} of {len(run.offers)}')
    console.print(table)


if __name__ == '__main__':
    main()
