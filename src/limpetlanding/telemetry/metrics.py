"""Metrics: collectors whose names carry a unit."""

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from functools import partial

from aioprometheus import Counter, Gauge, Histogram, Registry, render

PREFIX = 'limpetlanding_'
UNITS = (
    'seconds',
    'bytes',
    'ratio',
    'count',
)
# From a network round trip to the deadline of a long job.
TIME_BOUNDS_S = (0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 20, 60)


@dataclass(frozen=True, slots=True)
class RenderedMetrics:
    """Metrics in the text format of Prometheus.

    Parameters
    ----------
    content : bytes
        Body.
    content_type : str
        Value of the header of that name.
    """

    content: bytes
    content_type: str


class Metrics:
    """Registry of one process.

    Names get the prefix ``limpetlanding_``. Labels must have few values: no
    job ids, customers or peers.

    Examples
    --------
    >>> metrics = Metrics()
    >>> jobs = metrics.counter('jobs_total', 'Jobs by outcome.')
    >>> jobs.inc({'outcome': 'complete'})
    >>> 'limpetlanding_jobs_total{outcome="complete"} 1' in (
    ...     metrics.render().content.decode()
    ... )
    True
    """

    def __init__(self) -> None:
        self.registry = Registry()
        self.updates: list[Callable[[], None]] = []

    def counter(self, name: str, doc: str) -> Counter:
        """Return a new counter; its name ends in ``_total``.

        Raises
        ------
        ValueError
            If the name has another ending or is taken.
        """
        if not name.endswith('_total'):
            raise ValueError(f'counter {name!r} must end in _total')
        return Counter(PREFIX + name, doc, registry=self.registry)

    def gauge(self, name: str, doc: str) -> Gauge:
        """Return a new gauge; its name ends in a unit.

        Raises
        ------
        ValueError
            If the name does not end in one of `UNITS` or is taken.
        """
        return Gauge(_with_unit(name), doc, registry=self.registry)

    def histogram(
        self, name: str, doc: str, bounds: Sequence[float] = TIME_BOUNDS_S
    ) -> Histogram:
        """Return a new histogram; its name ends in a unit.

        Parameters
        ----------
        name : str
            Name with unit.
        doc : str
            Description.
        bounds : sequence of float
            Upper bounds of the buckets, ascending.

        Raises
        ------
        ValueError
            If the name does not end in one of `UNITS` or is taken.
        """
        return Histogram(
            _with_unit(name),
            doc,
            registry=self.registry,
            buckets=[*bounds, float('inf')],
        )

    def add_gauges(
        self, sources: Mapping[str, tuple[str, Callable[[], float]]]
    ) -> None:
        """Add gauges without labels that are read when rendered.

        Parameters
        ----------
        sources : mapping
            Description and function that returns the number, by name.

        Raises
        ------
        ValueError
            If a name does not end in one of `UNITS` or is taken.

        Examples
        --------
        >>> metrics = Metrics()
        >>> metrics.add_gauges({'queue_count': ('Tasks.', lambda: 3)})
        >>> 'queue_count 3' in metrics.render().content.decode()
        True
        """
        for name, (doc, number) in sources.items():
            gauge = self.gauge(name, doc)
            self.before_render(partial(_set_gauge, gauge, number))

    def before_render(self, update: Callable[[], None]) -> None:
        """Call `update` before each rendering.

        Counts that change with every message are kept as plain integers and
        copied here, because changing a collector takes about 6 µs.
        """
        self.updates.append(update)

    def copy_counts(
        self,
        collector: Counter | Gauge,
        label: str,
        counts: Callable[[], Iterator[tuple[str, float]]],
    ) -> None:
        """Fill a collector with pairs of label value and number when read."""

        def update() -> None:
            for value, number in counts():
                collector.set({label: value}, number)

        self.before_render(update)

    def render(
        self, accept: Sequence[str] = ('text/plain',)
    ) -> RenderedMetrics:
        """Return the metrics in the format that the header asks for."""
        for update in self.updates:
            update()
        content, headers = render(self.registry, list(accept))
        return RenderedMetrics(content, headers['Content-Type'])


def _set_gauge(gauge: Gauge, number: Callable[[], float]) -> None:
    gauge.set({}, number())


def _with_unit(name: str) -> str:
    if name.rpartition('_')[2] not in UNITS:
        units = ', '.join(UNITS)
        raise ValueError(f'metric {name!r} must end in a unit: {units}')
    return PREFIX + name
