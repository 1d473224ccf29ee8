"""Customer keys; only their hashes leave the customer."""

import secrets
from hashlib import sha256

_KEY_BYTES = 32


def new_key() -> str:
    """Return a random customer key."""
    return secrets.token_urlsafe(_KEY_BYTES)


def hash_key(key: str) -> str:
    """Return the hash under which a contract lists `key`.

    A fast hash suffices, because keys are random and not chosen by people.

    Examples
    --------
    >>> hash_key('example')[:16]
    '50d858e0985ecc7f'
    """
    return sha256(key.encode(errors='surrogatepass')).hexdigest()
