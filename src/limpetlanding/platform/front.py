"""Process of a front: ``python -m limpetlanding.platform.front``."""

import signal


def main() -> None:
    """Run the process until SIGTERM."""
    # Loading the modules takes 0.4 s. SIGHUP, which reports changed settings,
    # would end the process during that time.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from limpetlanding.lifecycle.loop import run_process
    from limpetlanding.platform.front_role import run_front

    run_process(run_front())


if __name__ == '__main__':
    main()
