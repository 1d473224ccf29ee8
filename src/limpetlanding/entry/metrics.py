"""Metrics of an entry, read from its counters at each scrape."""

from collections.abc import Callable

from limpetlanding.entry.core import EntryCore
from limpetlanding.telemetry.metrics import Metrics


def export_entry(
    core: EntryCore, in_flight: Callable[[], int], metrics: Metrics
) -> None:
    """Add the counters and gauges of an entry to the metrics of its process.

    Parameters
    ----------
    core : EntryCore
        Components of the entry.
    in_flight : callable
        Returns the number of HTTP requests being served.
    metrics : Metrics
        Metrics of the process.
    """

    def usable_flags() -> list[bool]:
        known = core.view.loads(core.clock()).values()
        return [load.usable for load in known]

    metrics.add_gauges(
        {
            'entry_requests_in_flight_count': (
                'HTTP requests being served.',
                in_flight,
            ),
            'entry_jobs_in_flight_count': (
                'Admitted jobs without an answer.',
                lambda: len(core.admission.admitted_jobs),
            ),
            'entry_agents_count': (
                'Agents known.',
                lambda: len(usable_flags()),
            ),
            'entry_agents_usable_count': (
                'Agents that get new tasks.',
                lambda: sum(usable_flags()),
            ),
        }
    )
    moved = metrics.counter('entry_tasks_moved_total', 'Tasks asked to move.')
    metrics.before_render(lambda: moved.set({}, core.mover.moved_count))
    metrics.copy_counts(
        metrics.counter(
            'entry_answers_total', 'Answers to submissions by result.'
        ),
        'result',
        lambda: iter(core.admission.answers.items()),
    )
    metrics.copy_counts(
        metrics.counter('entry_events_total', 'Unusual events by name.'),
        'event',
        lambda: iter(core.router.events.items()),
    )
