"""Modules that a process loads before it serves."""

import gc
import os
import re
import signal
import subprocess
import sys

import pytest

from limpetlanding.lifecycle import loop
from limpetlanding.platform import front, worker

LOADED_LATER = {
    'aioprometheus',
    'limpetlanding.runs.metrics',
    'limpetlanding.telemetry.metrics',
    'limpetlanding.telemetry.service',
}
NEVER_LOADED = {
    'fire',
    'limpetlanding.agent',
    'limpetlanding.cli',
    'limpetlanding.config',
    'limpetlanding.contracts',
    'limpetlanding.entry',
    'limpetlanding.logservice',
    'limpetlanding.membership',
    'limpetlanding.policy',
    'limpetlanding.settings',
    'limpetlanding.standin',
    'limpetlanding.startup',
    'limpetlanding.wire.job_messages',
    'opentelemetry',
    'pydantic',
    'requests',
    'rich',
}
ONLY_FRONT = {
    'limpetlanding.platform.front_role',
    'limpetlanding.platform.ingress',
    'limpetlanding.runs.dispatcher',
    'limpetlanding.runs.front',
    'limpetlanding.runs.placement',
}
ONLY_WORKER = {
    'limpetlanding.platform.control',
    'limpetlanding.platform.executor',
    'limpetlanding.platform.worker_role',
    'limpetlanding.runs.registration',
    'limpetlanding.runs.supervisor',
    'limpetlanding.runs.worker',
}


def loaded_modules(role):
    """Start a process without settings and return the modules it loads.

    It ends where it would read its settings, after all imports of the start.
    """
    environment = {'PYTHONPATH': os.pathsep.join(filter(None, sys.path))}
    ended = subprocess.run(
        [
            sys.executable,
            '-X',
            'importtime',
            '-m',
            f'limpetlanding.platform.{role}',
        ],
        env=environment,
        capture_output=True,
        text=True,
        check=False,
    )
    assert 'LIMPETLANDING_CONFIG is not set' in ended.stderr
    return set(re.findall(r'^import time:.*\| +(\S+)$', ended.stderr, re.M))


def in_packages(modules, packages):
    """Return the modules that are, or belong to, one of the packages."""
    return {
        x for x in modules for y in packages if x == y or x.startswith(f'{y}.')
    }


class TestImports:
    """Guards against starts that load modules which the role doesn't need.

    After a loss of power of all machines nothing is served before the first
    processes have loaded their modules, at 0.12 to 0.6 of a core.
    """

    @pytest.mark.parametrize(
        ('role', 'own', 'others'),
        [
            ('front', ONLY_FRONT, ONLY_WORKER),
            ('worker', ONLY_WORKER, ONLY_FRONT),
        ],
    )
    def test_start_loads_only_what_the_role_needs(self, role, own, others):
        loaded = loaded_modules(role)
        assert own <= loaded
        unneeded = LOADED_LATER | NEVER_LOADED | others
        assert not in_packages(loaded, unneeded)


class TestLoading:
    """Guards against a process left as it is prepared for its imports."""

    @pytest.mark.parametrize('role', [front, worker])
    def test_garbage_is_collected_once_modules_are_loaded(
        self, role, monkeypatch
    ):
        collected = []

        def run_process(work):
            work.close()
            collected.append(gc.isenabled())

        monkeypatch.setattr(loop, 'run_process', run_process)
        handler = signal.getsignal(signal.SIGHUP)
        try:
            role.main()
            ignored = signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
        finally:
            signal.signal(signal.SIGHUP, handler)
            gc.unfreeze()
        assert collected == [True]
        assert ignored
