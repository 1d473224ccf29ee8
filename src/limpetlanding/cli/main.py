"""Entry point of the ``limpetlanding`` command."""

import importlib
import sys
from typing import Any

import fire

from limpetlanding import __version__
from limpetlanding.cli.exits import FAILURE
from limpetlanding.errors import LimpetlandingError
from limpetlanding.settings import DocumentError, Settings, load_settings


def version() -> str:
    """Return the version of the package."""
    return __version__


def entry(settings: str) -> None:
    """Run an entry with the settings file SETTINGS."""
    from limpetlanding.entry.role import run_entry
    from limpetlanding.lifecycle.loop import run_process

    run_process(run_entry(_settings_for('entry', settings)))


def agent(settings: str) -> None:
    """Run an agent with the settings file SETTINGS."""
    from limpetlanding.agent.role import run_agent
    from limpetlanding.lifecycle.loop import run_process

    run_process(run_agent(_settings_for('agent', settings)))


def check_settings(file: str, *, json: bool = False) -> str:
    """Check a settings file without starting anything.

    Parameters
    ----------
    json : bool
        Print the settings with all defaults as JSON.
    """
    settings = load_settings(file)
    if json:
        return settings.model_dump_json(indent=2)
    return f'{file}: valid settings of {settings.role} {settings.node}'


_VERBS = {
    'version': version,
    'entry': entry,
    'agent': agent,
    'check-settings': check_settings,
}
# The modules of these verbs are imported only when needed, because each import
# adds to the start-up time of every verb.
_LAZY_VERBS = {
    'submit': 'limpetlanding.cli.caller:submit',
    'status-job': 'limpetlanding.cli.caller:status_job',
    'cancel': 'limpetlanding.cli.caller:cancel',
    'contract': 'limpetlanding.cli.contracts:VERBS',
    'status': 'limpetlanding.cli.operator:status',
    'drain': 'limpetlanding.cli.operator:drain',
    'explain': 'limpetlanding.cli.operator:explain',
    'standin': 'limpetlanding.cli.standins:VERBS',
}


def verbs(first: str) -> dict[str, Any]:
    """Return the verbs that the command line needs, by name.

    Parameters
    ----------
    first : str
        First argument of the command line. If it is not a verb, all verbs
        are imported, because the help lists them.
    """
    if first in _VERBS:
        return _VERBS
    wanted = [first] if first in _LAZY_VERBS else _LAZY_VERBS
    return _VERBS | {name: _import_object(_LAZY_VERBS[name]) for name in wanted}


def main() -> None:
    """Run the command line.

    Exit codes: 0 success, 1 failure, 2 wrong usage, 3 another operator
    published first, 4 unknown result.
    """
    first = sys.argv[1] if len(sys.argv) > 1 else ''
    try:
        fire.Fire(verbs(first), name='limpetlanding')
    except DocumentError as error:
        print(*error.problems, sep='\n', file=sys.stderr)
        sys.exit(FAILURE)
    except LimpetlandingError as error:
        print(error, file=sys.stderr)
        sys.exit(FAILURE)


def _import_object(target: str) -> Any:
    module, _, name = target.partition(':')
    return getattr(importlib.import_module(module), name)


def _settings_for(role: str, path: str) -> Settings:
    settings = load_settings(path)
    if settings.role != role:
        raise LimpetlandingError(
            f'the settings have the role {settings.role}, not {role}',
            step='read settings',
            peer=path,
        )
    return settings
