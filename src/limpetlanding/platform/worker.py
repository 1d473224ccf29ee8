"""Process of a worker: ``python -m limpetlanding.platform.worker``."""

from limpetlanding.platform.loading import loading_modules


def main() -> None:
    """Run the process until SIGTERM."""
    with loading_modules():
        from limpetlanding.lifecycle.loop import run_process
        from limpetlanding.platform.worker_role import run_worker

    run_process(run_worker())


if __name__ == '__main__':
    main()
