"""Metrics of an agent, read from its state on each scrape."""

from limpetlanding.agent.core import AgentCore
from limpetlanding.telemetry.metrics import Metrics


def export_agent(core: AgentCore, metrics: Metrics) -> None:
    """Add the metrics of an agent to those of its process."""
    executor, coordinator = core.executor, core.coordinator
    ledgers = coordinator.ledgers
    metrics.add_gauges(
        {
            'agent_tasks_queued_count': (
                'Tasks in the queue.',
                lambda: len(executor.queue),
            ),
            'agent_tasks_running_count': (
                'Tasks at endpoints.',
                lambda: len(executor.running),
            ),
            'agent_tasks_remembered_count': (
                'Tasks that are not started again.',
                lambda: len(executor.seen_tasks.by_key),
            ),
            'agent_result_bytes': (
                'Results held for coordinators.',
                lambda: executor.seen_tasks.stored_bytes,
            ),
            'agent_jobs_active_count': (
                'Jobs that run.',
                lambda: coordinator.active,
            ),
            'agent_job_records_count': (
                'Ended jobs whose answer is held.',
                lambda: sum(len(x.ended) for x in ledgers.values()),
            ),
            'agent_job_record_bytes': (
                'Answers held of ended jobs.',
                lambda: sum(x.stored_bytes for x in ledgers.values()),
            ),
            'agent_slots_count': (
                'Slots of the endpoints that serve.',
                lambda: core.endpoints.slots,
            ),
        }
    )
    metrics.copy_counts(
        metrics.counter('agent_events_total', 'Events by name.'),
        'event',
        lambda: iter(event_counts(core).items()),
    )


def event_counts(core: AgentCore) -> dict[str, int]:
    """Return all event counters of the agent by name."""
    return {
        **core.executor.counters,
        **core.executor.caller.counters,
        **core.endpoints.counters,
    }
