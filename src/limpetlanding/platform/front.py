"""Process of a front: ``python -m limpetlanding.platform.front``."""

from limpetlanding.platform.loading import loading_modules


def main() -> None:
    """Run the process until SIGTERM."""
    with loading_modules():
        from limpetlanding.lifecycle.loop import run_process
        from limpetlanding.platform.front_role import run_front

    run_process(run_front())


if __name__ == '__main__':
    main()
