"""Metrics of a node, copied from its counters whenever they are rendered."""

from limpetlanding.telemetry.metrics import Metrics
from limpetlanding.wire.counters import Counters, Traffic


def export_counters(counters: Counters, metrics: Metrics) -> None:
    """Add the counters of a node to the metrics of its process.

    Examples
    --------
    >>> counters, metrics = Counters(), Metrics()
    >>> export_counters(counters, metrics)
    >>> counters.sent.add('submit', 300)
    >>> 'wire_sent_bytes_total{type="submit"} 300' in (
    ...     metrics.render().content.decode()
    ... )
    True
    """
    _export_traffic('sent', counters.sent, metrics)
    _export_traffic('received', counters.received, metrics)
    metrics.copy_counts(
        metrics.counter('wire_events_total', 'Unusual events by name.'),
        'event',
        lambda: iter(counters.events.items()),
    )


def _export_traffic(direction: str, traffic: Traffic, metrics: Metrics) -> None:
    metrics.copy_counts(
        metrics.counter(
            f'wire_{direction}_messages_total',
            f'Messages {direction} by type, heartbeats included.',
        ),
        'type',
        lambda: iter([*traffic.messages.items(), ('hb', traffic.heartbeats)]),
    )
    metrics.copy_counts(
        metrics.counter(
            f'wire_{direction}_bytes_total',
            f'Bytes {direction} by type of message, heartbeats included.',
        ),
        'type',
        lambda: iter(
            [*traffic.byte_counts.items(), ('hb', traffic.heartbeat_bytes)]
        ),
    )
