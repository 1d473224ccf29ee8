"""Authentication of customers by their keys."""

import hmac
from hashlib import sha256
from typing import Any, Protocol

_SCHEME_PREFIX = 'bearer '
_MAX_KEY_CHARS = 512


class ContractLimits(Protocol):
    """Limits in a contract."""

    tasks_at_once: int
    tasks_per_second: float


class Contract(Protocol):
    """What an entry needs of a customer's contract.

    `keys` are SHA-256 hashes in hexadecimal, `answer_within_ms` is the
    longest deadline, and a `max_task_size` of None or 0 means no limit.
    """

    customer: str
    keys: Any
    limits: ContractLimits
    answer_within_ms: float
    may_refuse: Any
    kinds: Any
    peak_share: float
    max_task_size: int | None


class Contracts(Protocol):
    """Current contracts, as the configuration replica knows them."""

    def contract(self, customer: str) -> Contract | None:
        """Return the contract in force for a customer."""

    def customer_of_key(self, key_hash: str) -> str | None:
        """Return the customer whose contract lists this key hash."""


def authenticate(header: str, contracts: Contracts) -> Contract | None:
    """Return the contract of the key in an ``Authorization`` header.

    The look-up is by the SHA-256 of the key, so its duration tells nothing
    about how much of a guessed key is right; the hash that was found is
    compared in constant time.
    """
    key = header[len(_SCHEME_PREFIX) :].strip()
    if header[: len(_SCHEME_PREFIX)].lower() != _SCHEME_PREFIX or not key:
        return None
    if len(key) > _MAX_KEY_CHARS:
        return None
    key_hash = sha256(key.encode('utf-8', 'surrogateescape')).hexdigest()
    customer = contracts.customer_of_key(key_hash)
    contract = None if customer is None else contracts.contract(customer)
    # The contract is asked as well, so that a key that it no longer lists is
    # refused even if the index of keys were behind.
    if contract is None or not any(
        hmac.compare_digest(key_hash, listed) for listed in contract.keys
    ):
        return None
    return contract
