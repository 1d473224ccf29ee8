"""Process of a worker: ``python -m limpetlanding.platform.worker``."""

import signal


def main() -> None:
    """Run the process until SIGTERM."""
    # Loading the modules takes 0.4 s. SIGHUP, which reports changed settings,
    # would end the process during that time.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from limpetlanding.lifecycle.loop import run_process
    from limpetlanding.platform.worker_role import run_worker

    run_process(run_worker())


if __name__ == '__main__':
    main()
