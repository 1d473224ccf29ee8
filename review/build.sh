#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: those of the project, which the
# build of deploy/system.toml has copied to target/deps, and review/bed.py.
# Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/deps/limpetlanding
cp -r src/limpetlanding target/deps/
python3 -m compileall -q target/deps/limpetlanding/standin
PYTHONPATH=target/deps:review PYTHONDONTWRITEBYTECODE=1 python3 -c '
import bed'
