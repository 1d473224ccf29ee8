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
    load_object,
    optional_field,
    optional_number,
    required_field,
)
from limpetlanding.runs.keeper import STOP_S

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
    listen = optional_field(fields, 'listen', dict, {}, _STEP)
    store = optional_field(fields, 'platform', dict, {}, _STEP)
    bounds = optional_field(fields, 'bounds', dict, {}, _STEP)
    ports = required_field(fields, 'portRange', list, _STEP)
    if not ports or not isinstance(ports[0], int):
        raise Malformed('portRange: expected two ports', step=_STEP)
    # Ports are the same on all machines, so a seed's address for links
    # follows from the host of its other address.
    hosts = [
        str(seed).rpartition(':')[0]
        for seed in optional_field(fields, 'seeds', list, [], _STEP)
    ]
    own_host = required_field(fields, 'ip', str, _STEP)
    return ProcessSettings(
        node=required_field(fields, 'nodeName', str, _STEP),
        failure_domain=required_field(fields, 'zone', str, _STEP),
        region=optional_field(fields, 'region', str, '', _STEP),
        address=f'{own_host}:{ports[0]}',
        client_address=optional_field(listen, 'front', str, '', _STEP),
        readiness_address=optional_field(
            listen, 'readinessAddr', str, '', _STEP
        ),
        control_address=optional_field(listen, 'control', str, '', _STEP),
        executor_address=optional_field(fields, 'app', str, '', _STEP),
        pool=optional_field(fields, 'service', str, '', _STEP),
        store_address=optional_field(store, 'address', str, '', _STEP),
        seeds=[f'{host}:{ports[0]}' for host in hosts],
        grace_s=float(
            optional_number(bounds, 'graceS', _STEP) or DEFAULT_GRACE_S
        ),
        stop_s=optional_number(bounds, 'stopGraceMs', _STEP) / 1000 or STOP_S,
    )
