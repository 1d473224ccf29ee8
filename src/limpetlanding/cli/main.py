"""Entry point of the ``limpetlanding`` command."""

import fire

from limpetlanding import __version__


def version() -> str:
    """Return the version of the package."""
    return __version__


def main() -> None:
    """Run the command line."""
    fire.Fire({'version': version}, name='limpetlanding')
