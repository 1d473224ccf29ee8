"""Traces with one span for each step of a request, off by default.

While traces are off, the libraries of OpenTelemetry are not imported and a
span only passes on the ``traceparent`` that it received.

References
----------
W3C Trace Context, https://www.w3.org/TR/trace-context/
"""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

NANOSECONDS_PER_SECOND = 1_000_000_000
SpanExporterFactory = Callable[[], Any]

# Provider and tracer, set by `configure_traces`; empty while traces are off.
_active: dict[str, Any] = {}


class ActiveSpan:
    """A span in progress.

    Parameters
    ----------
    traceparent : str
        Value to send with the request to the next process.
    otel_span : object, optional
        The span of OpenTelemetry; None while traces are off.
    """

    __slots__ = ('otel_span', 'traceparent')

    def __init__(self, traceparent: str, otel_span: Any = None) -> None:
        self.traceparent = traceparent
        self.otel_span = otel_span

    def set_attributes(self, **attributes: Any) -> None:
        """Add attributes to the span."""
        if self.otel_span is not None:
            self.otel_span.set_attributes(attributes)


@contextmanager
def span(
    name: str, traceparent: str = '', **attributes: Any
) -> Iterator[ActiveSpan]:
    """Record a span around a block.

    Parameters
    ----------
    name : str
        Step of the request, such as ``submit``.
    traceparent : str
        Value received with the request; empty starts a new trace.
    **attributes : str, bool, int or float
        Attributes of the span.

    Yields
    ------
    ActiveSpan
        The span; its ``traceparent`` is sent to the next process.

    Examples
    --------
    >>> with span('submit', '00-1f-2e-01') as current_span:
    ...     current_span.traceparent
    '00-1f-2e-01'
    """
    if not _active:
        yield ActiveSpan(traceparent)
        return
    parent = _extract(traceparent)
    with _active['tracer'].start_as_current_span(
        name, context=parent, attributes=attributes
    ) as otel_span:
        yield ActiveSpan(_inject(otel_span), otel_span)


def record_span(
    name: str, traceparent: str, duration_s: float, **attributes: Any
) -> None:
    """Record a span that ends now, such as the time in a queue.

    Parameters
    ----------
    name : str
        Step of the request.
    traceparent : str
        Value received with the request.
    duration_s : float
        Seconds since the start of the span.
    **attributes : str, bool, int or float
        Attributes of the span.
    """
    if not _active:
        return
    started_ns = time.time_ns() - int(duration_s * NANOSECONDS_PER_SECOND)
    _active['tracer'].start_span(
        name,
        context=_extract(traceparent),
        attributes=attributes,
        start_time=started_ns,
    ).end()


def configure_traces(exporter: SpanExporterFactory, **resource: str) -> None:
    """Turn traces on.

    Parameters
    ----------
    exporter : callable
        Returns an OpenTelemetry span exporter, such as `otlp_exporter`.
    **resource : str
        Attributes of the process, such as ``role`` and ``node``.
    """
    from opentelemetry.sdk.resources import Resource
    from opentelemetry.sdk.trace import TracerProvider
    from opentelemetry.sdk.trace.export import BatchSpanProcessor

    shut_down_traces()
    attributes = {'service.name': 'limpetlanding', **resource}
    provider = TracerProvider(resource=Resource(attributes))
    provider.add_span_processor(BatchSpanProcessor(exporter()))
    _active['provider'] = provider
    _active['tracer'] = provider.get_tracer('limpetlanding')


def otlp_exporter(url: str) -> SpanExporterFactory:
    """Return a factory for an exporter that sends OTLP over HTTP to `url`."""

    def create() -> Any:
        from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
            OTLPSpanExporter,
        )

        return OTLPSpanExporter(endpoint=url)

    return create


def shut_down_traces() -> None:
    """Send the spans that are still queued, and turn traces off."""
    provider = _active.pop('provider', None)
    _active.clear()
    if provider is not None:
        provider.shutdown()


def _propagator() -> Any:
    from opentelemetry.trace.propagation.tracecontext import (
        TraceContextTextMapPropagator,
    )

    return TraceContextTextMapPropagator()


def _extract(traceparent: str) -> Any:
    from opentelemetry.context import Context

    # With an empty context, the span of another request that is active in the
    # same task does not become the parent.
    carrier = {'traceparent': traceparent}
    return _propagator().extract(carrier, Context())


def _inject(otel_span: Any) -> str:
    from opentelemetry.trace import set_span_in_context

    carrier: dict[str, str] = {}
    _propagator().inject(carrier, set_span_in_context(otel_span))
    return carrier['traceparent']
