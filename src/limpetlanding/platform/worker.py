"""Process of a worker: ``python -m limpetlanding.platform.worker``."""

from limpetlanding.lifecycle.loop import run_process
from limpetlanding.platform.roles import run_worker

if __name__ == '__main__':
    run_process(run_worker())
