"""Entries and bodies as another writer may leave them."""

DEEP = b'[' * 100_000 + b']' * 100_000
"""Deeper than any decoder of JSON accepts."""

READABLE_DEPTH = 1000
"""Nesting that orjson accepts, and that `repr` cannot print."""

NESTED = b'[' * READABLE_DEPTH + b']' * READABLE_DEPTH

NUMBERS = (
    b'1' + b'0' * 400,
    b'1e400',
    b'18446744073709551616',
    b'18446744073709551615',
    b'9223372036854775808',
    b'-1',
    b'-9223372036854775808',
    b'1.5',
    b'NaN',
    b'Infinity',
    b'true',
)
"""JSON texts that are no whole number within the limits of any field."""

OTHER_TYPES = (b'"7"', b'[]', b'{}', b'[[1]]', NESTED, DEEP)
"""JSON texts that are no number."""

UNREADABLE = (
    b'',
    b'{',
    b'\xff\xfe',
    b'null',
    b'7',
    b'"text"',
    b'[]',
    DEEP,
    NESTED,
    b'{"a":"\\ud800"}',
    b'{"a":"\xed\xa0\x80"}',
)
"""Bytes that are no JSON object."""

ADDRESSES = (
    '',
    ':',
    'worker-1',
    '10.0.0.1',
    '10.0.0.1:',
    ':7100',
    '10.0.0.1:0',
    '10.0.0.1:65536',
    '10.0.0.1:99999',
    '10.0.0.1:-1',
    '10.0.0.1:7x',
    '10.0.0.1:' + '7' * 5000,
    '10.0.0.1:\u0667\u0661\u0660\u0660',
    '256.1.1.1:7100',
    'desk.example:7100',
    'a' * 300 + ':7100',
    'a..b:7100',
    '\x00:7100',
    '[::1]:7100',
)
"""Texts that are no address of a worker."""


def with_field(fields: bytes, name: str, value: bytes) -> bytes:
    """Return the JSON object with one more field, which replaces its equal."""
    return fields.rstrip()[:-1] + b',"%s":%s}' % (name.encode(), value)
