"""Metrics and status of fronts and workers, computed on request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from limpetlanding.telemetry.metrics import Metrics
from limpetlanding.telemetry.output import BoundedOutput
from limpetlanding.wire.metrics import export_counters

if TYPE_CHECKING:
    from limpetlanding.runs.front import Front
    from limpetlanding.runs.worker import Worker


def front_metrics(front: Front, output: BoundedOutput) -> Metrics:
    """Return the metrics of a front.

    Parameters
    ----------
    front : Front
        The front to observe.
    output : BoundedOutput
        Log output of the process.
    """
    metrics = _common_metrics(front.node.counters, output)
    dispatcher = front.dispatcher
    metrics.add_gauges(
        {
            'ready_count': (
                '1 if ready, else 0.',
                lambda: int(not front.not_ready_reason()),
            ),
            'config_version_count': (
                'Version of the configuration in force.',
                lambda: front.catalogs.version,
            ),
            'front_jobs_count': (
                'Jobs in progress.',
                lambda: len(dispatcher.jobs),
            ),
            'front_tasks_waiting_count': (
                'Tasks that wait for room.',
                lambda: sum(len(x.waiting) for x in dispatcher.jobs.values()),
            ),
            'front_workers_known_count': (
                'Workers of the fleet whose addresses are known.',
                lambda: len(front.subset.candidates),
            ),
            'front_subset_count': (
                'Workers that the front intends to be linked to.',
                lambda: front.subset.size,
            ),
            'front_workers_count': (
                'Workers with a link or with runs.',
                lambda: len(front.fleet.views),
            ),
            'front_workers_usable_count': (
                'Workers that take runs.',
                lambda: sum(x.is_usable() for x in front.fleet.views.values()),
            ),
        }
    )
    metrics.copy_counts(
        metrics.counter('front_events_total', 'Answers and orders by name.'),
        'event',
        lambda: iter(dispatcher.counts.items()),
    )
    answered = metrics.histogram(
        'front_answer_seconds', 'Time from a submission to its answer.'
    )
    ordered = metrics.histogram(
        'front_order_seconds', 'Time from a submission to its first order.'
    )

    def observe(elapsed_s: float, wait_s: float | None) -> None:
        answered.observe({}, elapsed_s)
        if wait_s is not None:
            ordered.observe({}, wait_s)

    dispatcher.on_answer = observe
    return metrics


def worker_metrics(worker: Worker, output: BoundedOutput) -> Metrics:
    """Return the metrics of a worker.

    Parameters
    ----------
    worker : Worker
        The worker to observe.
    output : BoundedOutput
        Log output of the process.
    """
    metrics = _common_metrics(worker.node.counters, output)
    supervisor = worker.supervisor
    metrics.add_gauges(
        {
            'ready_count': (
                '1 if the executor answers, else 0.',
                lambda: int(supervisor.reachable),
            ),
            'config_version_count': (
                'Version of the configuration known.',
                lambda: worker.catalogs.version,
            ),
            'worker_runs_count': (
                'Runs that occupy room.',
                lambda: len(supervisor.runs),
            ),
            'worker_free_ratio': (
                'Free part of the processors.',
                lambda: supervisor.free.cpu / max(supervisor.capacity.cpu, 1),
            ),
            'worker_run_ratio': (
                'Run time of recent tasks over their estimates.',
                lambda: supervisor.run_ratio,
            ),
        }
    )
    metrics.copy_counts(
        metrics.counter('worker_runs_total', 'Ended runs by how they ended.'),
        'how',
        lambda: iter(worker.counts.items()),
    )
    metrics.copy_counts(
        metrics.counter(
            'worker_executor_losses_total',
            'Losses of the executor with runs, by what is known of them.',
        ),
        'kind',
        lambda: iter(worker.loss_counts.items()),
    )
    worker.on_run = metrics.histogram(
        'worker_run_seconds', 'Time from the start of a run to its end.'
    ).observe
    return metrics


def front_status(front: Front) -> dict[str, Any]:
    """Return what ``GET /statusz`` of a front shows."""
    return {
        'role': 'front',
        'node': front.node.hello.node,
        'missing': front.not_ready_reason(),
        'config_version': front.catalogs.version,
        'jobs': len(front.dispatcher.jobs),
        'events': dict(front.dispatcher.counts),
        'known_workers': len(front.subset.candidates),
        'subset_size': front.subset.size,
        'workers': [
            {
                'node': view.name,
                'executor': view.report.executor,
                'usable': view.is_usable(),
                'health': view.report.health,
                'free_cpu': view.free.cpu,
                'cpu': view.report.cpu,
                'run_ratio': round(view.report.run_ratio, 2),
                'report_age_s': round(front.loop.time() - view.reported_at, 2),
                'own_runs': len(view.runs),
            }
            for view in front.fleet.views.values()
        ],
    }


def worker_status(worker: Worker) -> dict[str, Any]:
    """Return what ``GET /statusz`` of a worker shows."""
    supervisor = worker.supervisor
    return {
        'role': 'worker',
        'node': worker.node.hello.node,
        'executor': supervisor.executor.incarnation
        if supervisor.executor
        else '',
        'refusal': supervisor.refusal_reason(supervisor.free),
        'health': supervisor.health_state(),
        'fronts': sorted(x.peer.node for x in worker.node.connected('front')),
        'config_version': worker.catalogs.version,
        'runs': [
            {
                'task': held.task,
                'run': held.run,
                'front': held.owner,
                'percent': held.percent,
                'stopping': held.stop_sent,
            }
            for held in supervisor.runs.values()
        ],
        'ended': dict(worker.counts),
    }


def _common_metrics(counters: Any, output: BoundedOutput) -> Metrics:
    metrics = Metrics()
    export_counters(counters, metrics)
    dropped = metrics.counter(
        'log_lines_dropped_total', 'Log lines beyond the bounded volume.'
    )
    metrics.before_render(lambda: dropped.set({}, output.dropped_total))
    return metrics
