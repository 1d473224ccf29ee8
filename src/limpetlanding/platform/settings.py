"""Settings file that the platform writes for each process.

Like all bodies of the platform, the fields are checked without pydantic, whose
import would lengthen the start of a process by a third. Until the process has
started, its machine serves no requests.
"""

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from loguru import logger

from limpetlanding.errors import LimpetlandingError
from limpetlanding.platform.decode import (
    Malformed,
    is_count,
    load_object,
    optional_field,
    optional_number,
    required_field,
)
from limpetlanding.runs.ports import DEFAULT_STOP_DURATION_S
from limpetlanding.wire import MAX_PORT, is_ipv4_address

SETTINGS_VARIABLE = 'LIMPETLANDING_CONFIG'

DEFAULT_GRACE_S = 6
"""Time from SIGTERM to SIGKILL, the same on all deployments so far."""

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
        Location of the machine.
    address : str
        ``host:port`` of the process for links from other processes.
    client_address, readiness_address, control_address : str
        ``host:port`` at which the process serves clients, the load balancer
        and the executor; empty if it does not serve them.
    executor_address : str
        ``host:port`` of the executor on this machine; empty if there is none.
    pool : str
        Pool of the machine's executor when the process starts; may be empty.
    store_address : str
        ``host:port`` of the store.
    seeds : list of str
        Link addresses of fronts that may be running.
    grace_s : float
        Time from SIGTERM to SIGKILL, in seconds.
    stop_s : float
        Longest time that the executor takes to stop a run, in seconds.
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
        If the environment variable is not set.
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
    """Convert the fields of a settings file.

    Unknown fields are ignored, because the platform may add some.

    Raises
    ------
    Malformed
        If a field is missing or wrong.
    """
    listen = optional_field(fields, 'listen', dict, {}, _STEP)
    store = optional_field(fields, 'platform', dict, {}, _STEP)
    bounds = optional_field(fields, 'bounds', dict, {}, _STEP)
    ports = required_field(fields, 'portRange', list, _STEP)
    if not ports or not is_count(ports[0]) or not 0 < ports[0] <= MAX_PORT:
        raise Malformed('portRange: expected two ports', step=_STEP)
    seeds = optional_field(fields, 'seeds', list, [], _STEP)
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
        seeds=_link_addresses(seeds, ports[0]),
        grace_s=float(
            optional_number(bounds, 'graceS', _STEP) or DEFAULT_GRACE_S
        ),
        stop_s=optional_number(bounds, 'stopGraceMs', _STEP) / 1000
        or DEFAULT_STOP_DURATION_S,
    )


def _link_addresses(seeds: list[Any], port: int) -> list[str]:
    """Return the link addresses of the listed seeds; odd ones are left out.

    The ports of the listed seeds are not their link ports. The port range is
    the same on all machines, and its first port is used for links.
    """
    hosts = [x.rpartition(':')[0] for x in seeds if isinstance(x, str)]
    addresses = [f'{host}:{port}' for host in hosts]
    usable = list(filter(is_ipv4_address, addresses))
    if len(usable) < len(seeds):
        logger.bind(step='settings').error(
            '{} unusable seeds ignored', len(seeds) - len(usable)
        )
    return usable
