"""Metrics of an entry, taken from its counters when they are read."""

from aioprometheus import Counter, Gauge, Registry, render

from limpetlanding.entry.core import EntryCore
from limpetlanding.wire import Counters

_PREFIX = 'limpetlanding_entry'


def render_metrics(core: EntryCore, wire: Counters, in_flight: int) -> str:
    """Return the metrics in the text format of Prometheus.

    Parameters
    ----------
    core : EntryCore
        Parts of the entry.
    wire : limpetlanding.wire.Counters
        Counters of the node.
    in_flight : int
        HTTP requests being served.
    """
    registry = Registry()
    for name, (doc, number) in _gauges(core, in_flight).items():
        Gauge(f'{_PREFIX}_{name}', doc, registry=registry).set({}, number)
    _count(registry, 'events', 'Unusual events.', core.router.events)
    _count(registry, 'wire_events', 'Unusual events of links.', wire.events)
    _count(registry, 'answers', 'Answers to submissions.', core.gate.answers)
    _count(
        registry,
        'messages_sent',
        'Messages sent to other processes, by type.',
        wire.sent.messages,
    )
    content, _ = render(registry, ['text/plain'])
    return content.decode()


def _gauges(core: EntryCore, in_flight: int) -> dict[str, tuple[str, float]]:
    loads = core.view.loads(core.clock()).values()
    return {
        'requests_in_flight': ('HTTP requests being served.', in_flight),
        'jobs_in_flight': ('Admitted jobs.', len(core.gate.tickets)),
        'agents': ('Agents known.', len(loads)),
        'agents_usable': (
            'Agents that get new tasks.',
            sum(load.usable for load in loads),
        ),
        'tasks_moved': ('Tasks asked to move.', core.mover.moved),
    }


def _count(
    registry: Registry, name: str, doc: str, counts: dict[str, int]
) -> None:
    counter = Counter(f'{_PREFIX}_{name}_total', doc, registry=registry)
    for label, count in counts.items():
        counter.set({'name': label}, count)
