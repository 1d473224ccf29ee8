"""Registry of message classes, and the messages of every link.

The messages of entries and agents are in `limpetlanding.wire.job_messages`,
those of fronts and workers in `limpetlanding.wire.run_messages`. A process
imports only its own, because each class adds 0.4 ms to its start.

Times are in milliseconds unless the name of a field says otherwise. They are
durations (time left, time spent), because the processes share no clock.
Payloads are JSON texts encoded as bytes.

Messages are encoded by position: the order and the defaults of the fields are
part of the protocol.
"""

from collections.abc import Callable
from dataclasses import dataclass

PROTOCOL_VERSION = 1

MESSAGE_TYPES: dict[str, type] = {}


def message(tag: str) -> Callable[[type], type]:
    """Return a decorator that registers a message class under `tag`.

    Raises
    ------
    ValueError
        If another class is registered under the tag.
    """

    def register(cls: type) -> type:
        if tag in MESSAGE_TYPES:
            raise ValueError(f'message tag {tag!r} is taken')
        MESSAGE_TYPES[tag] = cls
        return cls

    return register


@message('hello')
@dataclass(slots=True)
class Hello:
    """First frame of a link, in each direction."""

    protocol: int
    role: str
    node: str
    incarnation: str
    failure_domain: str
    address: str
    http_address: str
    region: str = ''
    # Whether the sender understands slow heartbeats and `Farewell`.
    slow_heartbeats: bool = False
    # Whether the sender understands reports of lost executors.
    loss_reports: bool = False
    # Whether the sender understands lists of cancelled jobs.
    cancel_lists: bool = False


@message('hb')
@dataclass(slots=True)
class Heartbeat:
    """Notification that keeps an idle link alive.

    ``config_digest`` is the digest of the sender's configuration. ``slowdown``
    is the multiple of the usual interval after which the next frame of the
    sender follows at the latest.
    """

    config_digest: int = 0
    slowdown: float = 1.0


@message('bye')
@dataclass(slots=True)
class Farewell:
    """Notification that the sender closes the link and needs no other.

    The receiver does not dial the sender again on its own.
    """


@message('error')
@dataclass(slots=True)
class ErrorReply:
    """Reply to a request that failed at the peer.

    ``step`` and ``peer`` tell where the failure occurred.
    """

    step: str
    peer: str
    detail: str


@message('ack')
@dataclass(slots=True)
class Ack:
    """Reply without content."""

    ok: bool = True
    detail: str = ''
