"""Allows ``python -m limpetlanding.platform front`` and ``worker``."""

import fire

from limpetlanding.platform.roles import run_front, run_worker
from limpetlanding.startup.loop import run_process


def front() -> None:
    """Run the front that the platform's settings describe."""
    run_process(run_front())


def worker() -> None:
    """Run the worker that the platform's settings describe."""
    run_process(run_worker())


if __name__ == '__main__':
    fire.Fire({'front': front, 'worker': worker})
