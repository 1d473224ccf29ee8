"""Digests that tell whole answers and equal submissions apart from others."""

from collections.abc import Iterable
from hashlib import sha256


def payloads_digest(payloads: Iterable[bytes]) -> str:
    """Return the SHA-256 over payloads in order, each with its length.

    The lengths keep two lists with the same concatenation apart.

    Examples
    --------
    >>> payloads_digest([b'ab', b'c']) == payloads_digest([b'a', b'bc'])
    False
    """
    digest = sha256()
    for payload in payloads:
        digest.update(len(payload).to_bytes(8, 'big'))
        digest.update(payload)
    return digest.hexdigest()
