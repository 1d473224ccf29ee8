import pytest

from limpetlanding.telemetry.metrics import Metrics


class TestMetrics:
    @pytest.mark.parametrize(
        ('kind', 'name'),
        [
            ('counter', 'jobs'),
            ('gauge', 'queue'),
            ('histogram', 'wait_ms'),
            ('histogram', 'seconds_wait'),
        ],
    )
    def test_name_without_unit_is_refused(self, kind, name):
        # Guards against metrics whose unit is only known from the source.
        with pytest.raises(ValueError, match='must end in'):
            getattr(Metrics(), kind)(name, 'doc')

    def test_histogram_counts_by_bound(self):
        metrics = Metrics()
        waits = metrics.histogram('wait_seconds', 'Wait.', [0.1, 1])
        waits.observe({}, 0.5)
        text = metrics.render().content.decode()
        assert 'limpetlanding_wait_seconds_bucket{le="0.1"} 0' in text
        assert 'limpetlanding_wait_seconds_bucket{le="1.0"} 1' in text
        assert 'limpetlanding_wait_seconds_sum 0.5' in text

    def test_counts_are_copied_at_each_rendering(self):
        metrics, counts = Metrics(), {'a': 1}
        metrics.copy_counts(
            metrics.counter('events_total', 'Events.'),
            'event',
            lambda: iter(counts.items()),
        )
        metrics.render()
        counts['a'] = 5
        text = metrics.render().content.decode()
        assert 'limpetlanding_events_total{event="a"} 5' in text

    def test_two_processes_in_one_interpreter_have_separate_metrics(self):
        # Guards against use of the global registry of the library, which
        # refuses a second metric of the same name.
        for _ in range(2):
            Metrics().counter('jobs_total', 'Jobs.')
