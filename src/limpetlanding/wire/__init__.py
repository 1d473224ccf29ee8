"""Internal protocol: messages, codec and channels between processes."""

from limpetlanding.wire.addresses import MAX_PORT, is_ipv4_address
from limpetlanding.wire.channel import Channel, RemoteError
from limpetlanding.wire.codec import MAX_FRAME_BYTES
from limpetlanding.wire.counters import Counters, Traffic
from limpetlanding.wire.messages import (
    MESSAGE_TYPES,
    PROTOCOL_VERSION,
    Ack,
    ErrorReply,
    Farewell,
    Heartbeat,
    Hello,
)
from limpetlanding.wire.node import Node
from limpetlanding.wire.options import NodeOptions, Timing

__all__ = (
    'MAX_FRAME_BYTES',
    'MAX_PORT',
    'MESSAGE_TYPES',
    'PROTOCOL_VERSION',
    'Ack',
    'Channel',
    'Counters',
    'ErrorReply',
    'Farewell',
    'Heartbeat',
    'Hello',
    'Node',
    'NodeOptions',
    'RemoteError',
    'Timing',
    'Traffic',
    'is_ipv4_address',
)
