"""Metrics that every role has."""

from collections.abc import Callable
from typing import Any

from limpetlanding.telemetry import Metrics
from limpetlanding.wire import Counters
from limpetlanding.wire.metrics import export_counters


def process_metrics(
    counters: Counters,
    missing: Callable[[], str],
    config_status: Callable[[], dict[str, Any]],
) -> Metrics:
    """Return the metrics of a process with those of links and configuration.

    Parameters
    ----------
    counters : Counters
        Counters of the node.
    missing : callable
        Returns what keeps the process from being ready, empty if nothing.
    config_status : callable
        Returns the status of the replica of the configuration.
    """
    metrics = Metrics()
    export_counters(counters, metrics)
    metrics.add_gauges(
        {'ready_count': ('1 if ready, else 0.', lambda: int(not missing()))}
    )
    age = metrics.gauge(
        'config_age_seconds',
        'For how long newer configuration may exist unnoticed.',
    )

    def update_age() -> None:
        age_s = config_status().get('config_age_s')
        # Without a value the age is unknown; 0 would say that it is current.
        if age_s is not None:
            age.set({}, age_s)

    metrics.before_render(update_age)
    return metrics
