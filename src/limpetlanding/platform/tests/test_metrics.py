"""Metrics and status of the platform's processes."""

import os
import re

from limpetlanding.platform.tests.rig import System
from limpetlanding.runs.metrics import (
    front_metrics,
    front_status,
    worker_metrics,
    worker_status,
)
from limpetlanding.startup.tests.test_metrics_page import documented_metrics
from limpetlanding.telemetry.output import MAX_WAITING_BYTES, BoundedOutput


def names(metrics):
    """Return the names of the metrics and the rendered text."""
    text = metrics.render().content.decode()
    return set(re.findall(r'^# TYPE (\w+) ', text, re.MULTILINE)), text


class TestMetrics:
    """Guards against undocumented metrics and metrics without values."""

    async def test_page_lists_what_fronts_and_workers_serve(self):
        output = BoundedOutput(os.pipe()[1])
        async with System(worker_count=1).run() as system:
            front = front_metrics(system.fronts[0], output)
            worker = worker_metrics(system.workers[0], output)
            await system.submit('5c0e7a21d94b36f8')
            front_names, front_text = names(front)
            worker_names, worker_text = names(worker)
        page = documented_metrics()
        common = set(page['Every role']) - {'limpetlanding_config_age_seconds'}
        assert front_names | worker_names == common | set(
            page['On the platform']
        )
        assert 'events_total{event="jobs_completed"} 1' in front_text
        assert 'worker_runs_total{how="done"} 2' in worker_text

    async def test_status_names_workers_and_runs(self):
        async with System(worker_count=1).run() as system:
            shown = front_status(system.fronts[0])
            assert shown['workers'][0]['node'] == 'w0'
            assert shown['workers'][0]['usable']
            assert shown['known_workers'] == 1
            shown = worker_status(system.workers[0])
            assert shown['executor'].startswith('i-0/')
            assert shown['runs'] == []
            assert shown['fronts'] == ['f0']


class TestOutput:
    """Guards against logs that block the process or grow without bound."""

    def test_lines_beyond_the_volume_are_dropped_and_counted(self):
        reader, writer = os.pipe()
        output = BoundedOutput(writer, clock=lambda: 0.0)
        for _ in range(1210):
            output.write('x\n')
        assert output.dropped == 10
        assert os.read(reader, 10_000).count(b'x') == 1200

    def test_unread_output_does_not_block(self):
        _, writer = os.pipe()
        output = BoundedOutput(writer, clock=lambda: 0.0)
        for _ in range(1000):
            output.write('x' * 2000 + '\n')
        assert output.dropped
        assert output.waiting_bytes <= MAX_WAITING_BYTES
