"""Customer keys. Contracts contain only their hashes."""

import secrets
from hashlib import sha256

_KEY_BYTES = 32


def new_key() -> str:
    """Return a random customer key."""
    return secrets.token_urlsafe(_KEY_BYTES)


def hash_key(key: str) -> str:
    """Return the SHA-256 of `key` in hexadecimal, as contracts list it.

    A fast hash suffices, because keys are random and cannot be guessed.

    Examples
    --------
    >>> hash_key('example')[:16]
    '50d858e0985ecc7f'
    """
    return sha256(key.encode(errors='surrogatepass')).hexdigest()
