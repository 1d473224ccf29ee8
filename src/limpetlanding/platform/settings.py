"""Settings file that the platform writes for each process.

The fields are checked by hand like all other bodies of the platform: loading
pydantic would add a third to the start of a process, during which its machine
serves nobody.
"""

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from limpetlanding.errors import LimpetlandingError
from limpetlanding.platform.decode import (
    Malformed,
    field_of,
    load_object,
    number_of,
    required,
)
from limpetlanding.runs.supervisor import DEFAULT_STOP_DURATION_S

SETTINGS_VARIABLE = 'LIMPETLANDING_CONFIG'

DEFAULT_GRACE_S = 6
"""Time from SIGTERM to SIGKILL on all deployments so far."""

_STEP = 'read settings'


class SettingsError(LimpetlandingError):
    """The settings file cannot be used."""


@dataclass(frozen=True, slots=True)
class ProcessSettings:
    """Settings of one process.

    Parameters
    ----------
    node : str
        Name of the machine.
    failure_domain, region : str
        Where it stands.
    address : str
        ``host:port`` for links between the processes of the system.
    client_address, readiness_address, control_address : str
        Where clients, the load balancer and the executor call; empty if the
        process does not serve them.
    executor_address : str
        Where the executor beside the process listens; empty if there is none.
    pool : str
        Pool of the machine's executor as the process starts; may be empty.
    store_address : str
        Where the store listens.
    seeds : list of str
        Addresses of links of fronts that may be up.
    grace_s : float
        Time between SIGTERM and SIGKILL.
    stop_s : float
        Longest time that a stop takes at the executor, in seconds.
    """

    node: str
    failure_domain: str
    region: str
    address: str
    client_address: str
    readiness_address: str
    control_address: str
    executor_address: str
    pool: str
    store_address: str
    seeds: list[str]
    grace_s: float
    stop_s: float


def settings_path() -> Path:
    """Return the path of the settings file.

    Raises
    ------
    SettingsError
        If the environment does not name it.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f'{SETTINGS_VARIABLE} is not set', step=_STEP)
    return Path(path)


def read_settings(path: Path) -> ProcessSettings:
    """Read and check a settings file.

    Raises
    ------
    SettingsError
        If the file cannot be read, or a field is missing or wrong.
    """
    try:
        return decode_settings(load_object(path.read_bytes(), _STEP))
    except (OSError, Malformed) as error:
        raise SettingsError(str(error), step=_STEP, peer=str(path)) from error


def decode_settings(fields: dict[str, Any]) -> ProcessSettings:
    """Return the settings in the decoded content of a file.

    Fields that are not known are ignored, since the platform may add some.

    Raises
    ------
    Malformed
        If a field is missing or wrong.
    """
    listen = field_of(fields, 'listen', dict, {}, _STEP)
    store = field_of(fields, 'platform', dict, {}, _STEP)
    bounds = field_of(fields, 'bounds', dict, {}, _STEP)
    ports = required(fields, 'portRange', list, _STEP)
    if not ports or not isinstance(ports[0], int):
        raise Malformed('portRange: expected two ports', step=_STEP)
    # Ports are the same on all machines, so a seed's address for links
    # follows from the host of its other address.
    hosts = [
        str(seed).rpartition(':')[0]
        for seed in field_of(fields, 'seeds', list, [], _STEP)
    ]
    own_host = required(fields, 'ip', str, _STEP)
    return ProcessSettings(
        node=required(fields, 'nodeName', str, _STEP),
        failure_domain=required(fields, 'zone', str, _STEP),
        region=field_of(fields, 'region', str, '', _STEP),
        address=f'{own_host}:{ports[0]}',
        client_address=field_of(listen, 'front', str, '', _STEP),
        readiness_address=field_of(listen, 'readinessAddr', str, '', _STEP),
        control_address=field_of(listen, 'control', str, '', _STEP),
        executor_address=field_of(fields, 'app', str, '', _STEP),
        pool=field_of(fields, 'service', str, '', _STEP),
        store_address=field_of(store, 'address', str, '', _STEP),
        seeds=[f'{host}:{ports[0]}' for host in hosts],
        grace_s=float(number_of(bounds, 'graceS', _STEP) or DEFAULT_GRACE_S),
        stop_s=number_of(bounds, 'stopGraceMs', _STEP) / 1000
        or DEFAULT_STOP_DURATION_S,
    )
