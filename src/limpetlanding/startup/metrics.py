"""Metrics of every role."""

from collections.abc import Callable
from typing import Any

from limpetlanding.telemetry.metrics import Metrics
from limpetlanding.wire import Counters
from limpetlanding.wire.metrics import export_counters


def process_metrics(
    counters: Counters,
    missing: Callable[[], str],
    config_status: Callable[[], dict[str, Any]],
) -> Metrics:
    """Return the metrics that every process has.

    They cover the links, the readiness and the age of the configuration.

    Parameters
    ----------
    counters : Counters
        Counters of the node.
    missing : callable
        Returns why the process is not ready; empty if it is ready.
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
        # Without a value the age is unknown; 0 would mean that the
        # configuration is current.
        if age_s is not None:
            age.set({}, age_s)

    metrics.before_render(update_age)
    return metrics
