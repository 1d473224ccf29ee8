"""Digest of payloads, to verify results and to compare submissions."""

from collections.abc import Iterable
from hashlib import sha256


def payloads_digest(payloads: Iterable[bytes]) -> str:
    """Return the hexadecimal SHA-256 over payloads in order, with lengths.

    Each payload is preceded by its length, so that two lists with the same
    concatenation have different digests.

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
