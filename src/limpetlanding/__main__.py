"""Runs the command line: ``python -m limpetlanding``."""

from limpetlanding.cli.main import main

if __name__ == '__main__':
    main()
