"""Settings file that the platform writes for each process."""

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from limpetlanding.errors import LimpetlandingError

SETTINGS_VARIABLE = 'LIMPETLANDING_CONFIG'


class SettingsError(LimpetlandingError):
    """The settings file cannot be used."""


class _Section(BaseModel):
    # The platform may add fields at any time.
    model_config = ConfigDict(extra='ignore')


class _Listen(_Section):
    front: str = ''
    readiness: str = Field('', alias='readinessAddr')
    control: str = ''


class _Bounds(_Section):
    grace_s: float = Field(6, alias='graceS')


class _Platform(_Section):
    address: str = ''


class _File(_Section):
    node: str = Field(alias='nodeName')
    ip: str
    zone: str
    region: str = ''
    listen: _Listen = Field(default_factory=_Listen)
    port_range: tuple[int, int] = Field(alias='portRange')
    seeds: list[str] = Field(default_factory=list)
    bounds: _Bounds = Field(default_factory=_Bounds)
    app: str = ''
    platform: _Platform = Field(default_factory=_Platform)


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
    store_address : str
        Where the store listens.
    seeds : list of str
        Addresses of links of fronts that may be up.
    grace_s : float
        Time between SIGTERM and SIGKILL.
    """

    node: str
    failure_domain: str
    region: str
    address: str
    client_address: str
    readiness_address: str
    control_address: str
    executor_address: str
    store_address: str
    seeds: list[str]
    grace_s: float


def settings_path() -> Path:
    """Return the path of the settings file.

    Raises
    ------
    SettingsError
        If the environment does not name it.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(
            f'{SETTINGS_VARIABLE} is not set', step='read settings'
        )
    return Path(path)


def read_settings(path: Path) -> ProcessSettings:
    """Read and check a settings file.

    Raises
    ------
    SettingsError
        If the file cannot be read or a field is missing or wrong.
    """
    try:
        return decode_settings(orjson.loads(path.read_bytes()))
    except (OSError, orjson.JSONDecodeError) as error:
        raise SettingsError(
            str(error), step='read settings', peer=str(path)
        ) from error


def decode_settings(fields: Any) -> ProcessSettings:
    """Return the settings in the decoded content of a file.

    Raises
    ------
    SettingsError
        If a field is missing or wrong; the message names all such fields.
    """
    try:
        content = _File.model_validate(fields)
    except ValidationError as error:
        problems = '; '.join(
            f'{".".join(map(str, x["loc"]))}: {x["msg"]}'
            for x in error.errors()
        )
        raise SettingsError(problems, step='read settings') from error
    # Ports are the same on all machines, so a seed's address for links
    # follows from the host of its other address.
    port = content.port_range[0]
    return ProcessSettings(
        node=content.node,
        failure_domain=content.zone,
        region=content.region,
        address=f'{content.ip}:{port}',
        client_address=content.listen.front,
        readiness_address=content.listen.readiness,
        control_address=content.listen.control,
        executor_address=content.app,
        store_address=content.platform.address,
        seeds=[f'{x.rpartition(":")[0]}:{port}' for x in content.seeds],
        grace_s=content.bounds.grace_s,
    )
