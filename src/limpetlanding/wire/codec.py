"""Codec: encodes messages as frames and decodes them.

A frame is a 4-byte big-endian length followed by the body, a msgpack array
``[kind, number, tag, fields]``. Fields are identified by their position. A
newer sender may append fields, which an older receiver ignores; fields that an
older sender lacks get their default.
"""

from collections.abc import Callable, Iterator
from dataclasses import MISSING, dataclass, fields, is_dataclass
from enum import IntEnum
from functools import cache
from operator import attrgetter
from reprlib import repr as short_repr
from types import NoneType, UnionType
from typing import Any, Union, get_args, get_origin, get_type_hints

import msgpack

from limpetlanding.errors import ProtocolError
from limpetlanding.wire.messages import MESSAGE_TYPES

MAX_FRAME_BYTES = 4 * 1024 * 1024
HEADER_BYTES = 4
_BODY_ITEMS = 4

Decoder = Callable[[Any], Any]


class MalformedMessage(ProtocolError):
    """The frame is valid, but the message in it is not.

    Parameters
    ----------
    detail : str
        What is wrong with the message.
    kind : int
        Kind of the frame.
    number : int
        Number of the request; 0 for notifications.
    tag : str
        Tag of the message.
    """

    def __init__(self, detail: str, kind: int, number: int, tag: str) -> None:
        super().__init__(detail, step='decode')
        self.kind = kind
        self.number = number
        self.tag = tag


class FrameKind(IntEnum):
    """Role of a frame: notification, request, or reply to a request."""

    NOTIFY = 0
    REQUEST = 1
    REPLY = 2


@dataclass(slots=True)
class Frame:
    """One decoded frame.

    Parameters
    ----------
    kind : FrameKind
        Role of the frame.
    number : int
        Number of the request; 0 for notifications.
    tag : str
        Tag of the message type.
    message : object
        Instance of a registered message class.
    byte_count : int
        Size of the frame, header included.
    """

    kind: int
    number: int
    tag: str
    message: Any
    byte_count: int


def tag_of(message: Any) -> str:
    """Return the tag under which the class of `message` is registered.

    Raises
    ------
    ProtocolError
        If the class is not registered.
    """
    tag = _tags().get(type(message))
    if tag is None:
        raise ProtocolError(
            f'{type(message).__name__} is not a message class', step='encode'
        )
    return tag


def encode_frame(kind: int, number: int, message: Any) -> bytes:
    """Return the encoded frame of one message.

    Raises
    ------
    ProtocolError
        If the class of the message is not registered, if a value in it cannot
        be represented in msgpack, or if the body exceeds `MAX_FRAME_BYTES`.

    Examples
    --------
    >>> from limpetlanding.wire.messages import Heartbeat
    >>> frame = encode_frame(FrameKind.NOTIFY, 0, Heartbeat(7))
    >>> decode_body(frame[HEADER_BYTES:]).message
    Heartbeat(config_digest=7, slowdown=1.0, sent_ms=0)
    """
    tag = tag_of(message)
    try:
        body = _PACKER.pack((kind, number, tag, message))
    except (TypeError, ValueError, OverflowError) as error:
        raise ProtocolError(
            f'{tag}: cannot encode: {error}', step='encode'
        ) from error
    if len(body) > MAX_FRAME_BYTES:
        raise ProtocolError(
            f'{tag}: frame of {len(body)} bytes exceeds {MAX_FRAME_BYTES}',
            step='encode',
        )
    return len(body).to_bytes(HEADER_BYTES, 'big') + body


def decode_body(body: bytes | memoryview) -> Frame:
    """Decode the body of a frame, which follows the length.

    Raises
    ------
    MalformedMessage
        If the tag is unknown, or the number or type of the fields is wrong.
    ProtocolError
        If the body is not valid msgpack or not an array of the four items.
    """
    try:
        kind, number, tag, values = msgpack.unpackb(body)[:_BODY_ITEMS]
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise _malformed(f'body is not a frame: {error}') from error
    if not _is_exactly(kind, int) or not 0 <= kind <= FrameKind.REPLY:
        raise _malformed(f'unknown frame kind {short_repr(kind)}')
    if not _is_exactly(number, int) or number < 0:
        raise _malformed(f'invalid request number {short_repr(number)}')
    if not isinstance(tag, str):
        raise _malformed(f'invalid message tag {short_repr(tag)}')
    try:
        message = _decode_message(tag, values)
    except ProtocolError as error:
        raise MalformedMessage(error.detail, kind, number, tag) from error
    return Frame(kind, number, tag, message, len(body) + HEADER_BYTES)


class FrameBuffer:
    """Splits received bytes into frames.

    Parameters
    ----------
    max_frame_bytes : int
        Largest body that is accepted.
    """

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self.max_frame_bytes = max_frame_bytes
        self.received = bytearray()

    def feed(self, chunk: bytes) -> Iterator[Frame]:
        """Append `chunk` and yield the frames that are complete.

        Frames that the caller does not consume stay in the buffer.

        Raises
        ------
        ProtocolError
            If a frame is malformed or longer than `max_frame_bytes`.
        """
        received = self.received
        received += chunk
        start = 0
        try:
            while (body_start := start + HEADER_BYTES) <= len(received):
                end = body_start + self._body_size(received[start:body_start])
                if end > len(received):
                    return
                start = end
                yield decode_body(bytes(received[body_start:end]))
        finally:
            # If the caller stops early, the other frames stay in the buffer.
            del received[:start]

    def _body_size(self, header: bytearray) -> int:
        size = int.from_bytes(header, 'big')
        if size > self.max_frame_bytes:
            raise _malformed(
                f'frame of {size} bytes exceeds {self.max_frame_bytes}'
            )
        return size


def _decode_message(tag: str, values: Any) -> Any:
    if tag not in MESSAGE_TYPES:
        raise _malformed(f'unknown message tag {tag!r}')
    return _decoder(MESSAGE_TYPES[tag])(values)


def _malformed(detail: str) -> ProtocolError:
    return ProtocolError(detail, step='decode')


@cache
def _tags() -> dict[type, str]:
    return {kind: tag for tag, kind in MESSAGE_TYPES.items()}


@cache
def _field_getter(message_type: type) -> Callable[[Any], tuple[Any, ...]]:
    if not is_dataclass(message_type):
        raise TypeError(
            f'{message_type.__name__} is not a dataclass and has no wire format'
        )
    names = [spec.name for spec in fields(message_type)]
    getter = attrgetter(*names) if names else _no_fields
    if len(names) == 1:
        return lambda message: (getter(message),)
    return getter


def _no_fields(_message: Any) -> tuple[Any, ...]:
    return ()


def _pack_dataclass(obj: Any) -> tuple[Any, ...]:
    return _field_getter(type(obj))(obj)


# One packer for all frames, because creating one takes longer than packing.
_PACKER = msgpack.Packer(default=_pack_dataclass)


@cache
def _decoder(message_type: type) -> Decoder:
    hints = get_type_hints(message_type)
    specs = fields(message_type)
    decoders = [
        _value_decoder(hints[spec.name], f'{message_type.__name__}.{spec.name}')
        for spec in specs
    ]
    required = sum(
        spec.default is MISSING and spec.default_factory is MISSING
        for spec in specs
    )
    exact_types = [hints[spec.name] for spec in specs]

    def decode_fields(values: Any) -> Any:
        if not isinstance(values, list):
            raise _malformed(
                f'{message_type.__name__}: fields are not an array'
            )
        if len(values) < required:
            raise _malformed(
                f'{message_type.__name__}: {len(values)} fields, '
                f'expected {required}'
            )
        # Fast path: most messages have only scalars of the declared types, and
        # comparing all types at once avoids one call per field.
        if list(map(type, values)) == exact_types:
            return message_type(*values)
        pairs = zip(decoders, values, strict=False)
        return message_type(*[convert(value) for convert, value in pairs])

    return decode_fields


def _value_decoder(hint: Any, field_name: str) -> Decoder:
    origin = get_origin(hint)
    if origin in {Union, UnionType}:
        return _optional_decoder(hint, field_name)
    if origin is list:
        return _list_decoder(
            _value_decoder(get_args(hint)[0], field_name), field_name
        )
    if origin is dict:
        key, value = get_args(hint)
        return _dict_decoder(
            _value_decoder(key, field_name),
            _value_decoder(value, field_name),
            field_name,
        )
    if is_dataclass(hint):
        return _decoder(hint)
    return _scalar_decoder(hint, field_name)


def _optional_decoder(hint: Any, field_name: str) -> Decoder:
    inner = [arg for arg in get_args(hint) if arg is not NoneType]
    decode = _value_decoder(inner[0], field_name)
    return lambda value: None if value is None else decode(value)


def _list_decoder(decode: Decoder, field_name: str) -> Decoder:
    def decode_list(values: Any) -> list[Any]:
        if not isinstance(values, list):
            raise _wrong_type(field_name, 'array', values)
        return [decode(value) for value in values]

    return decode_list


def _dict_decoder(key: Decoder, value: Decoder, field_name: str) -> Decoder:
    def decode_dict(entries: Any) -> dict[Any, Any]:
        if not isinstance(entries, dict):
            raise _wrong_type(field_name, 'map', entries)
        return {key(k): value(v) for k, v in entries.items()}

    return decode_dict


def _scalar_decoder(expected: type, field_name: str) -> Decoder:
    def decode_scalar(value: Any) -> Any:
        if _is_exactly(value, expected):
            return value
        if expected is float and _is_exactly(value, int):
            return float(value)
        raise _wrong_type(field_name, expected.__name__, value)

    return decode_scalar


def _is_exactly(value: Any, expected: type) -> bool:
    # isinstance would accept a boolean for an integer field.
    return value.__class__ is expected


def _wrong_type(field_name: str, expected: str, value: Any) -> ProtocolError:
    return _malformed(
        f'{field_name}: expected {expected}, got {type(value).__name__}'
    )
