"""Runs the benchmark: ``python -m limpetlanding.bench``."""

from limpetlanding.bench.main import main

if __name__ == '__main__':
    main()
