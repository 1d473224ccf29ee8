"""Metrics, whose names end in a unit."""

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
# The bounds range from a network round trip to the deadline of a long job.
TIME_BOUNDS_S = (0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 20, 60)


@dataclass(frozen=True, slots=True)
class RenderedMetrics:
    """HTTP response body with metrics in a format of Prometheus.

    Parameters
    ----------
    content : bytes
        Body of the response.
    content_type : str
        Value of the header ``Content-Type``.
    """

    content: bytes
    content_type: str


class Metrics:
    """Metrics of one process, in a registry of their own.

    Names get the prefix ``limpetlanding_``. Labels must have few values, so
    they must not contain job ids, customers or peers.

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
        """Return a new counter; `name` must end in ``_total``.

        Raises
        ------
        ValueError
            If the name has another ending or is already in use.
        """
        if not name.endswith('_total'):
            raise ValueError(f'counter {name!r} must end in _total')
        return Counter(PREFIX + name, doc, registry=self.registry)

    def gauge(self, name: str, doc: str) -> Gauge:
        """Return a new gauge; `name` must end in a unit.

        Raises
        ------
        ValueError
            If the name does not end in one of `UNITS` or is already in use.
        """
        return Gauge(_full_name(name), doc, registry=self.registry)

    def histogram(
        self, name: str, doc: str, bounds: Sequence[float] = TIME_BOUNDS_S
    ) -> Histogram:
        """Return a new histogram.

        Parameters
        ----------
        name : str
            Name that ends in a unit.
        doc : str
            Description.
        bounds : sequence of float
            Upper bounds of the buckets, ascending; a bucket without an upper
            bound is added.

        Raises
        ------
        ValueError
            If the name does not end in one of `UNITS` or is already in use.
        """
        return Histogram(
            _full_name(name),
            doc,
            registry=self.registry,
            buckets=[*bounds, float('inf')],
        )

    def add_gauges(
        self, sources: Mapping[str, tuple[str, Callable[[], float]]]
    ) -> None:
        """Add gauges without labels whose values are read at each rendering.

        Parameters
        ----------
        sources : mapping
            Description and function that returns the value, by name.

        Raises
        ------
        ValueError
            If a name does not end in one of `UNITS` or is already in use.

        Examples
        --------
        >>> metrics = Metrics()
        >>> metrics.add_gauges({'queue_count': ('Tasks.', lambda: 3)})
        >>> 'queue_count 3' in metrics.render().content.decode()
        True
        """
        for name, (doc, read_value) in sources.items():
            gauge = self.gauge(name, doc)
            self.before_render(partial(_set_gauge, gauge, read_value))

    def before_render(self, update: Callable[[], None]) -> None:
        """Call `update` before each rendering.

        Counts that change with every message are kept as plain integers and
        copied to a collector by `update`, because each change of a collector
        takes about 6 µs.
        """
        self.updates.append(update)

    def copy_counts(
        self,
        collector: Counter | Gauge,
        label: str,
        counts: Callable[[], Iterator[tuple[str, float]]],
    ) -> None:
        """Copy counts to a collector before each rendering.

        Parameters
        ----------
        collector : Counter or Gauge
            Collector with one label.
        label : str
            Name of the label.
        counts : callable
            Returns pairs of a value of the label and its count.
        """

        def update() -> None:
            for value, count in counts():
                collector.set({label: value}, count)

        self.before_render(update)

    def render(
        self, accept: Sequence[str] = ('text/plain',)
    ) -> RenderedMetrics:
        """Return the metrics in the format that the HTTP client accepts.

        Parameters
        ----------
        accept : sequence of str
            Values of the ``Accept`` header.
        """
        for update in self.updates:
            update()
        content, headers = render(self.registry, list(accept))
        return RenderedMetrics(content, headers['Content-Type'])


def _set_gauge(gauge: Gauge, read_value: Callable[[], float]) -> None:
    gauge.set({}, read_value())


def _full_name(name: str) -> str:
    if name.rpartition('_')[2] not in UNITS:
        units = ', '.join(UNITS)
        raise ValueError(f'metric {name!r} must end in a unit: {units}')
    return PREFIX + name
