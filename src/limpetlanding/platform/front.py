"""Process of a front: ``python -m limpetlanding.platform.front``."""

from limpetlanding.lifecycle.loop import run_process
from limpetlanding.platform.roles import run_front

if __name__ == '__main__':
    run_process(run_front())
