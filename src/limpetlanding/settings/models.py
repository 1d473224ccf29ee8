"""Models of entry and agent settings."""

from pathlib import Path
from typing import Annotated, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    StringConstraints,
    model_validator,
)
from yarl import URL

MEBIBYTE = 1_048_576
MAX_PORT = 65_535


def _check_host_port(text: str) -> str:
    host, colon, port = text.rpartition(':')
    if not (host and colon and port.isascii() and port.isdigit()):
        raise ValueError(f'{text!r} is not host:port')
    if not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f'port {port} is not between 1 and {MAX_PORT}')
    return text


def _check_url(text: str) -> str:
    url = URL(text)
    if url.scheme not in {'http', 'https'} or not url.host:
        raise ValueError(f'{text!r} is not an http or https URL')
    return text.rstrip('/')


Name = Annotated[
    str, StringConstraints(pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$')
]
HostPort = Annotated[str, AfterValidator(_check_host_port)]
HttpUrl = Annotated[str, AfterValidator(_check_url)]
Host = Annotated[str, StringConstraints(min_length=1, max_length=253)]
Milliseconds = Annotated[float, Field(gt=0, le=3_600_000, allow_inf_nan=False)]
DelayMs = Annotated[float, Field(ge=0, le=60_000, allow_inf_nan=False)]
Seconds = Annotated[float, Field(gt=0, le=86_400, allow_inf_nan=False)]
Bytes = Annotated[int, Field(gt=0)]
Count = Annotated[int, Field(gt=0)]


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True, strict=True)


class Address(_StrictModel):
    """Address on which a process listens; port 0 selects a free port."""

    host: Host = '127.0.0.1'
    port: Annotated[int, Field(ge=0, le=MAX_PORT)] = 0


class HttpTlsSettings(_StrictModel):
    """PEM files of an HTTP listener; clients present no certificate."""

    certificate: Path = Field(strict=False)
    key: Path = Field(strict=False)


class HttpAddress(Address):
    """Address of an HTTP listener, with its PEM files if it uses TLS."""

    tls: HttpTlsSettings | None = None


class LogSettings(_StrictModel):
    """Connection of an entry to the log service."""

    url: HttpUrl
    # Time for which the platform's log keeps a record. Contracts in force are
    # appended again at half of this age.
    retention_s: Annotated[float, Field(gt=0, le=31_536_000)] = 604_800
    timeout_ms: Milliseconds = 2_000
    stream: Name = 'contracts'


class TlsSettings(_StrictModel):
    """PEM files for the links between processes."""

    certificate: Path = Field(strict=False)
    key: Path = Field(strict=False)
    authority: Path = Field(strict=False)


class TraceSettings(_StrictModel):
    """Collector that receives the spans (OTLP over HTTP)."""

    url: HttpUrl


class EmulatedDelay(_StrictModel):
    """One-way delay in ms added to frames, for benchmarks on one host.

    `own` applies within a failure domain, `cross` between two of them.
    """

    own: DelayMs = 0
    cross: DelayMs = 0


class Settings(_StrictModel):
    """Settings of one entry or agent.

    Times carry their unit in the name: ``_ms`` is milliseconds and ``_s``
    seconds.

    Examples
    --------
    >>> settings = Settings(role='agent', node='agent-1', region='punjab',
    ...     failure_domain='kasur', entries=['127.0.0.1:7100'])
    >>> settings.retention_s
    120
    """

    role: Literal['entry', 'agent']
    node: Name
    region: Name
    failure_domain: Name
    listen: Address = Address()
    http: HttpAddress = HttpAddress()
    # Host at which peers reach this process; required if it listens on all
    # interfaces.
    advertise_host: Host | None = None
    entries: list[HostPort] = []
    log: LogSettings | None = None
    tls: TlsSettings | None = None
    traces: TraceSettings | None = None
    log_level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'
    policy: Literal['limpetlanding', 'naive'] = 'limpetlanding'
    emulated_delay_ms: EmulatedDelay = EmulatedDelay()
    max_body_bytes: Bytes = MEBIBYTE
    # Limit for the results stored at one agent, within 256 MB per node.
    max_result_bytes: Bytes = 64 * MEBIBYTE
    max_records: Count = 200_000
    retention_s: Seconds = 120
    max_job_s: Seconds = 600
    endpoint_lease_ms: Milliseconds = 3_000
    endpoint_silence_ms: Milliseconds = 1_000
    load_report_ms: Milliseconds = 50
    # Allows task runs of several seconds to end before a planned stop.
    stop_grace_s: Seconds = 60

    @model_validator(mode='after')
    def _check_role(self) -> 'Settings':
        if self.role == 'agent' and not self.entries:
            raise ValueError('an agent needs at least one address in entries')
        if self.role == 'agent' and self.log is not None:
            raise ValueError('an agent does not read the log; remove log')
        if self.listen.host in {'0.0.0.0', '::'} and not self.advertise_host:
            raise ValueError('listen on all interfaces requires advertise_host')
        return self
