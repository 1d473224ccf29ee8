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
    """Fields of a customer's contract that an entry uses.

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
    """Contracts in force, as known to the configuration replica."""

    def contract(self, customer: str) -> Contract | None:
        """Return the contract in force for a customer."""

    def customer_of_key(self, key_hash: str) -> str | None:
        """Return the customer whose contract lists this key hash."""


def authenticate(header: str, contracts: Contracts) -> Contract | None:
    """Return the contract of the key in an ``Authorization`` header.

    The key is looked up by its SHA-256 hash, and the hash is compared in
    constant time, so that the response time does not reveal how much of a
    guessed key is right. The result is None if the key is not valid.
    """
    key = header[len(_SCHEME_PREFIX) :].strip()
    if header[: len(_SCHEME_PREFIX)].lower() != _SCHEME_PREFIX or not key:
        return None
    if len(key) > _MAX_KEY_CHARS:
        return None
    key_hash = sha256(key.encode('utf-8', 'surrogateescape')).hexdigest()
    customer = contracts.customer_of_key(key_hash)
    contract = None if customer is None else contracts.contract(customer)
    # The contract itself must list the key too, so that a withdrawn key is
    # refused even if the index of keys is stale.
    if contract is None or not any(
        hmac.compare_digest(key_hash, listed) for listed in contract.keys
    ):
        return None
    return contract
