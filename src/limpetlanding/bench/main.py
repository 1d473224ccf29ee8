"""Command line of the benchmark."""

import json
import sys
from dataclasses import asdict

import fire
from rich.console import Console
from rich.table import Table

from limpetlanding.bench.deployments import DEPLOYMENTS
from limpetlanding.bench.experiments import PLANS, POLICIES, measure
from limpetlanding.bench.figures import Figures
from limpetlanding.bench.overhead import Point, Slope, measure_overhead
from limpetlanding.lifecycle.loop import run_process

USAGE_EXIT_STATUS = 2
_COLUMNS = (
    'experiment',
    'policy',
    'load',
    'jobs',
    'on_time_share',
    'slowdown_p50',
    'slowdown_p99',
    'overhead_p50',
    'overhead_p99',
    'crest_on_time_per_s',
    'capacity_per_s',
    'short_wait_p99_ms',
    'long_wait_p99_ms',
    'messages_per_task',
    'wasted_messages_per_task',
    'refused_share',
    'double_starts',
    'partial_answers',
    'false_not_run',
    'lost',
    'fault',
    'capacity_left',
    'backlog_cleared_s',
    'reasons',
)


def bench(
    experiment: str,
    deployment: str = 'offcut',
    seed: int = 1,
    seconds: float = 20,
    json: bool = False,
    policy: str = 'both',
) -> None:
    """Measure the policies on the same arrivals.

    Parameters
    ----------
    experiment : str
        ``steady``, ``crest``, ``head-of-line``, ``faults`` or ``overhead``.
    deployment : str
        ``offcut`` or ``kulo``.
    seconds : float
        How long jobs are submitted, for each load and policy, in seconds.
    json : bool
        Print one JSON object per line instead of a table.
    policy : str
        ``both``, ``limpetlanding`` or ``naive``.
    """
    if deployment not in DEPLOYMENTS:
        _exit_with_usage_error(
            f'deployment must be one of {", ".join(DEPLOYMENTS)}'
        )
    if experiment == 'overhead':
        _print_overhead(deployment, seed, seconds)
        return
    if experiment not in PLANS:
        _exit_with_usage_error(
            f'experiment must be one of overhead, {", ".join(PLANS)}'
        )
    policies = POLICIES if policy == 'both' else (policy,)
    plans = PLANS[experiment](DEPLOYMENTS[deployment], seed, seconds)
    lines = []
    for plan in plans:
        for name in policies:
            figures = run_process(measure(plan, name))
            lines.append(figures)
            if json:
                _print_json(figures)
    if not json:
        _print_table(lines)


def main() -> None:
    """Run the benchmark from its command line."""
    fire.Fire(bench, name='bench')


def _print_overhead(deployment: str, seed: int, seconds: float) -> None:
    def print_line(record: Point | Slope) -> None:
        line = {'experiment': 'overhead', **asdict(record)}
        print(json.dumps(line), flush=True)

    slopes = run_process(
        measure_overhead(DEPLOYMENTS[deployment], seed, seconds, print_line)
    )
    for slope in slopes:
        print_line(slope)


def _print_json(figures: Figures) -> None:
    print(json.dumps(figures.as_dict()), flush=True)


def _print_table(lines: list[Figures]) -> None:
    table = Table(title='Bench')
    table.add_column('figure')
    for figures in lines:
        table.add_column(f'{figures.policy}\nload {figures.load}')
    rows = [figures.as_dict() for figures in lines]
    for name in _COLUMNS:
        table.add_row(name, *(str(row[name]) for row in rows))
    Console().print(table)


def _exit_with_usage_error(message: str) -> None:
    print(message, file=sys.stderr)
    sys.exit(USAGE_EXIT_STATUS)
