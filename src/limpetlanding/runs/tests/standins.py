"""Stand-ins for the workers that a front knows."""

from types import SimpleNamespace

from limpetlanding.wire.run_messages import WorkerReport

CORES = 64_000
"""Capacity and free processors of a worker, in thousandths of a core."""

MEMORY_MB = 131_072


class StandinChannel:
    """Link to a worker that answers."""

    def __init__(self, name):
        self.peer = SimpleNamespace(node=name)
        self.suspect = False


def report(free_cpu=CORES, run_ratio=1.0, domain='z1', labels=()):
    """Return the report of a worker."""
    return WorkerReport(
        'i-1/1',
        'desk',
        domain,
        list(labels),
        CORES,
        MEMORY_MB,
        0,
        free_cpu,
        MEMORY_MB,
        0,
        True,
        'good',
        run_ratio,
    )
