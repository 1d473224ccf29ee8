"""Metrics of an agent, taken from its counters when they are read."""

from aioprometheus import Counter, Gauge, Registry, render
from aioprometheus.collectors import Collector

from limpetlanding.agent.core import AgentCore


def render_metrics(core: AgentCore) -> str:
    """Return the metrics in the text format of Prometheus."""
    registry = Registry()
    for collector, number in _gauges(core):
        collector.set({}, number)
        registry.register(collector)
    events = Counter(
        'limpetlanding_agent_events_total',
        'Unusual and counted events by name.',
        registry=registry,
    )
    for name, count in event_counts(core).items():
        events.set({'event': name}, count)
    content, _ = render(registry, ['text/plain'])
    return content.decode()


def event_counts(core: AgentCore) -> dict[str, int]:
    """Return all event counters of the agent by name."""
    return {
        **core.executor.counters,
        **core.executor.caller.counters,
        **core.endpoints.counters,
    }


def _gauges(core: AgentCore) -> list[tuple[Collector, float]]:
    executor, coordinator = core.executor, core.coordinator
    ledgers = coordinator.ledgers.values()
    numbers = {
        'tasks_queued': ('Tasks in the queue.', len(executor.queue)),
        'tasks_running': ('Tasks at endpoints.', len(executor.running)),
        'markers': ('Tasks remembered.', len(executor.markers.by_key)),
        'result_bytes': ('Results held.', executor.markers.bytes_held),
        'jobs_active': ('Jobs running.', coordinator.active),
        'job_records': ('Ended jobs held.', sum(len(x.ended) for x in ledgers)),
        'job_record_bytes': (
            'Bytes of ended jobs.',
            sum(x.bytes_held for x in ledgers),
        ),
    }
    return [
        (Gauge(f'limpetlanding_agent_{name}', doc, registry=Registry()), number)
        for name, (doc, number) in numbers.items()
    ]
