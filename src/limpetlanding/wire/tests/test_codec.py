from contextlib import suppress
from dataclasses import fields, is_dataclass
from types import NoneType
from typing import get_args, get_origin, get_type_hints

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limpetlanding.errors import ProtocolError
from limpetlanding.wire import MAX_FRAME_BYTES, MESSAGE_TYPES, Ack, Heartbeat
from limpetlanding.wire.codec import (
    HEADER_BYTES,
    FrameBuffer,
    FrameKind,
    MalformedMessage,
    decode_body,
    encode_frame,
    tag_of,
)
from limpetlanding.wire.job_messages import IdBlock, JobAnswer, TaskReport


def values_of(hint):
    """Return a strategy for values of the declared type of a field."""
    origin = get_origin(hint)
    if origin is list:
        return st.lists(values_of(get_args(hint)[0]), max_size=3)
    if origin is dict:
        key, value = get_args(hint)
        return st.dictionaries(values_of(key), values_of(value), max_size=3)
    if origin is not None:
        inner = [arg for arg in get_args(hint) if arg is not NoneType]
        return st.none() | values_of(inner[0])
    if is_dataclass(hint):
        hints = get_type_hints(hint)
        parts = {f.name: values_of(hints[f.name]) for f in fields(hint)}
        return st.builds(hint, **parts)
    return {
        int: st.integers(-(2**63), 2**64 - 1),
        float: st.floats(allow_nan=False),
        str: st.text(max_size=20),
        bytes: st.binary(max_size=20),
        bool: st.booleans(),
    }[hint]


messages = st.one_of([values_of(cls) for cls in MESSAGE_TYPES.values()])


def body_of(tag, values, kind=0, number=0):
    return msgpack.packb([kind, number, tag, values])


class TestCodec:
    @settings(derandomize=True)
    @given(messages, st.sampled_from(FrameKind), st.integers(0, 2**63))
    def test_round_trip(self, message, kind, number):
        frame = decode_body(encode_frame(kind, number, message)[HEADER_BYTES:])
        assert frame.message == message
        assert (frame.kind, frame.number) == (kind, number)
        assert frame.tag == tag_of(message)

    @pytest.mark.parametrize('tag', MESSAGE_TYPES)
    def test_fields_of_newer_senders_are_ignored(self, tag):
        # Guards against an upgrade that breaks links to older versions.
        @settings(derandomize=True, max_examples=10)
        @given(values_of(MESSAGE_TYPES[tag]))
        def check(message):
            body = encode_frame(FrameKind.NOTIFY, 0, message)[HEADER_BYTES:]
            kind, number, _, values = msgpack.unpackb(body)
            longer = body_of(tag, [*values, 'new', None], kind, number)
            assert decode_body(longer).message == message

        check()

    def test_missing_fields_of_older_senders_get_their_default(self):
        assert decode_body(body_of('ack', [False])).message == Ack(False)

    def test_integer_is_converted_to_float(self):
        values = ['j', 'c', [], [], 5]
        deadline_ms = decode_body(body_of('place', values)).message.deadline_ms
        assert isinstance(deadline_ms, float)

    @pytest.mark.parametrize(
        ('tag', 'values', 'expected'),
        [
            ('nope', [], "unknown message tag 'nope'"),
            ('block', ['i', 1, 2], 'IdBlock: 3 fields, expected 4'),
            ('block', ['i', 1, 2, 's'], 'IdBlock.secret: expected bytes'),
            ('block', ['i', True, 2, b's'], 'IdBlock.first: expected int'),
            ('block', {}, 'IdBlock: fields are not an array'),
            ('ack', ['yes'], 'Ack.ok: expected bool, got str'),
            ('want', [[1]], 'ConfigRequest.versions: expected map'),
            ('want', [{'a': 'b'}], 'ConfigRequest.versions: expected int'),
            ('records', [b'x'], 'ConfigRecords.records: expected array'),
            ('report', ['j', [[0]]], 'TaskReport: 1 fields, expected 2'),
            ('report', ['j', [[0, 's', '', 5]]], 'TaskResult: fields are not'),
        ],
    )
    def test_error_names_the_wrong_field(self, tag, values, expected):
        with pytest.raises(MalformedMessage) as caught:
            decode_body(body_of(tag, values, FrameKind.REQUEST, 9))
        assert expected in str(caught.value)
        assert (caught.value.number, caught.value.tag) == (9, tag)

    @pytest.mark.parametrize(
        'body',
        [
            b'',
            b'\xc1',
            msgpack.packb(5),
            msgpack.packb([0, 0]),
            msgpack.packb([3, 0, 'ack', []]),
            msgpack.packb([0, -1, 'ack', []]),
            msgpack.packb([0, 0, ['ack'], []]),
            msgpack.packb({'a': 1}),
            msgpack.packb([0, 0, 'ack', []]) + b'x',
            b'\x91' * 5000,
            b'\xdd\xff\xff\xff\xff',
        ],
    )
    def test_malformed_body_is_an_error(self, body):
        # Guards against exceptions of other types, which would not be reported
        # as a protocol error of the peer.
        with pytest.raises(ProtocolError):
            decode_body(body)

    @settings(derandomize=True, max_examples=500)
    @given(messages, st.data())
    def test_damaged_body_is_a_message_or_an_error(self, message, data):
        body = bytearray(
            encode_frame(FrameKind.REQUEST, 1, message)[HEADER_BYTES:]
        )
        where = data.draw(st.integers(0, len(body) - 1))
        body[where] = data.draw(st.integers(0, 255))
        try:
            frame = decode_body(bytes(body))
        except ProtocolError:
            return
        assert type(frame.message) in MESSAGE_TYPES.values()

    @pytest.mark.parametrize(
        'message',
        [
            object(),
            TaskReport(0, 'done'),
            Heartbeat(2**64),
            Ack(detail='\ud800'),
            Ack(detail=object()),
            IdBlock('i', 1, 1, b'x' * MAX_FRAME_BYTES),
        ],
    )
    def test_message_that_cannot_be_encoded_is_an_error(self, message):
        with pytest.raises(ProtocolError, match='step encode'):
            encode_frame(FrameKind.NOTIFY, 0, message)

    def test_failed_encoding_does_not_change_the_next_frame(self):
        # Guards against a reused packer that keeps part of a failed message.
        before = encode_frame(FrameKind.NOTIFY, 0, Ack())
        with pytest.raises(ProtocolError):
            encode_frame(FrameKind.NOTIFY, 0, Ack(detail=object()))
        assert encode_frame(FrameKind.NOTIFY, 0, Ack()) == before


class TestFrameBuffer:
    @settings(derandomize=True)
    @given(st.lists(messages, max_size=5), st.integers(1, 50))
    def test_frames_survive_any_splitting(self, sent, chunk_bytes):
        stream = b''.join(encode_frame(FrameKind.NOTIFY, 0, m) for m in sent)
        buffer = FrameBuffer()
        received = [
            frame.message
            for start in range(0, len(stream), chunk_bytes)
            for frame in buffer.feed(stream[start : start + chunk_bytes])
        ]
        assert received == sent
        assert not buffer.received

    def test_too_long_frame_is_rejected_by_its_header(self):
        # Guards against buffering a frame that is rejected anyway.
        header = (MAX_FRAME_BYTES + 1).to_bytes(HEADER_BYTES, 'big')
        with pytest.raises(ProtocolError, match='exceeds'):
            list(FrameBuffer().feed(header))

    def test_frame_of_maximum_size_is_accepted(self):
        spare = len(encode_frame(FrameKind.NOTIFY, 0, Ack())) + 8
        message = Ack(detail='x' * (MAX_FRAME_BYTES - spare))
        stream = encode_frame(FrameKind.NOTIFY, 0, message)
        assert [f.message for f in FrameBuffer().feed(stream)] == [message]


def test_default_lists_are_not_shared():
    # Guards against results of one job that appear in the answer of another.
    first = decode_body(body_of('answer', ['a', 'x'])).message
    second = decode_body(body_of('answer', ['b', 'x'])).message
    first.results.append(1)
    assert second == JobAnswer('b', 'x')


@pytest.mark.parametrize('position', range(4))
@pytest.mark.parametrize('depth', [400, 900, 1015, 100_000])
def test_deeply_nested_frame_is_refused(position, depth):
    # Guards against a dialer that ends at the first frame of a stranger.
    items = [b'\x00', b'\x00', b'\xa3ack', b'\x90']
    items[position] = b'\x91' * depth + b'\x90'
    with pytest.raises(ProtocolError):
        decode_body(b'\x94' + b''.join(items))


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=60))
def test_any_bytes_are_a_frame_or_refused(content):
    with suppress(ProtocolError):
        decode_body(content)
