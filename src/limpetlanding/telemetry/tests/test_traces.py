import sys

import pytest
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)

from limpetlanding.telemetry import traces
from limpetlanding.telemetry.traces import (
    configure_traces,
    shut_down_traces,
    span,
)

TRACE_ID = '4bf92f3577b34da6a3ce929d0e0e4736'
PARENT = f'00-{TRACE_ID}-00f067aa0ba902b7-01'


@pytest.fixture
def exporter():
    exporter = InMemorySpanExporter()
    configure_traces(lambda: exporter, node='agent-1')
    yield exporter
    shut_down_traces()


def finished_spans(exporter):
    traces._active['provider'].force_flush()
    return exporter.get_finished_spans()


class TestTracesOff:
    @pytest.mark.parametrize('traceparent', ['', PARENT, 'nonsense'])
    def test_traceparent_is_passed_on(self, traceparent):
        # Guards against a trace of the caller that ends in this system.
        with span('submit', traceparent, tasks=3) as current_span:
            current_span.set_attributes(outcome='complete')
        assert current_span.traceparent == traceparent

    def test_error_propagates(self):
        with pytest.raises(KeyError), span('submit'):
            raise KeyError

    def test_opentelemetry_is_not_imported(self):
        # Guards against start-up time and memory spent on a disabled feature.
        modules = vars(sys.modules[span.__module__])
        assert not any('opentelemetry' in name for name in modules)


class TestTracesOn:
    def test_spans_of_one_request_form_one_trace(self, exporter):
        with (
            span('submit', PARENT, tasks=3) as first,
            span('run', first.traceparent) as second,
        ):
            second.set_attributes(endpoint='e')
        run, submit = finished_spans(exporter)
        assert f'{submit.context.trace_id:x}' == TRACE_ID
        assert run.parent.span_id == submit.context.span_id
        assert submit.attributes == {'tasks': 3}
        assert run.attributes == {'endpoint': 'e'}
        assert submit.resource.attributes['node'] == 'agent-1'
        assert first.traceparent.startswith(f'00-{TRACE_ID}-')

    @pytest.mark.parametrize('traceparent', ['', 'nonsense'])
    def test_span_without_valid_parent_starts_a_trace(
        self, exporter, traceparent
    ):
        # Guards against a span of another request that becomes the parent.
        with span('other'), span('submit', traceparent):
            pass
        submit, other = finished_spans(exporter)
        assert submit.parent is None
        assert submit.context.trace_id != other.context.trace_id

    def test_error_is_recorded(self, exporter):
        with pytest.raises(KeyError), span('submit'):
            raise KeyError
        (submit,) = finished_spans(exporter)
        assert not submit.status.is_ok
