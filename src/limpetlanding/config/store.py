"""Store of the configuration of one process."""

import json
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from hashlib import sha256

from limpetlanding.contracts import (
    RULES,
    Contract,
    InvalidContract,
    InvalidRecord,
    Record,
    RecordKind,
    canonical,
    check_contract,
    parse_record,
)
from limpetlanding.errors import LimpetlandingError

# A quarter of the largest frame of the internal protocol.
MAX_REPLY_BYTES = 1024 * 1024

_DIGEST_BYTES = 7


class UnacceptableRecord(LimpetlandingError):
    """A record from a peer is malformed or its contract is invalid."""


@dataclass(frozen=True, slots=True)
class StoredContract:
    """Contract of one customer that is in force in this process.

    Parameters
    ----------
    version : int
        Version of the contract; the first is 1.
    contract : Contract
        The contract.
    offset : int
        Log offset at which the version was accepted.
    record : Record
        Record of the log that contains the contract.
    """

    version: int
    contract: Contract
    offset: int
    record: Record

    def encode(self) -> bytes:
        """Return the JSON that is sent to other replicas."""
        return canonical({'offset': self.offset, 'record': self.record.body()})


@dataclass(frozen=True, slots=True)
class UnreadableVersion:
    """A newer version under rules that this program does not know."""

    version: int
    rules: int


class ConfigStore:
    """Contracts in force, by customer. The version of a customer never falls.

    Parameters
    ----------
    rules : mapping of int to model
        Rules versions that this program knows.

    Examples
    --------
    >>> store = ConfigStore()
    >>> store.vector(), store.digest, store.age_s(now=10)
    ({}, 0, None)
    """

    def __init__(self, rules: Mapping[int, type[Contract]] = RULES) -> None:
        self.rules = rules
        self.stored: dict[str, StoredContract] = {}
        self.unreadable: dict[str, UnreadableVersion] = {}
        self.digest = 0
        self.forks = 0
        self.rejected = 0
        self.informed = False
        self.confirmed_at: float | None = None
        self.on_change: list[Callable[[str, StoredContract], None]] = []
        self.owners: dict[str, set[str]] = {}

    def contract(self, customer: str) -> Contract | None:
        """Return the contract of `customer` that is in force."""
        stored = self.stored.get(customer)
        return stored.contract if stored else None

    def customer_of(self, key_hash: str) -> str | None:
        """Return the customer whose contract lists a key.

        A key in the contracts of two customers identifies neither, because
        it is not known whose it is. Publishing refuses such a contract.

        Parameters
        ----------
        key_hash : str
            SHA-256 of the key, hexadecimal.
        """
        owners = self.owners.get(key_hash, ())
        return next(iter(owners)) if len(owners) == 1 else None

    def vector(self) -> dict[str, int]:
        """Return the version of each customer.

        It includes unreadable versions, because they would otherwise be
        requested again at every heartbeat.
        """
        versions = {name: item.version for name, item in self.stored.items()}
        for name, item in self.unreadable.items():
            versions[name] = max(item.version, versions.get(name, 0))
        return versions

    def missing_records(
        self, vector: Mapping[str, int], limit_bytes: int = MAX_REPLY_BYTES
    ) -> list[bytes]:
        """Return the records that a replica with `vector` lacks.

        Parameters
        ----------
        vector : mapping of str to int
            Version of each customer at the other replica.
        limit_bytes : int
            Limit on the total size. The rest is left for the next request,
            but at least one missing record is returned.
        """
        return list(_limit_size(self._newer_than(vector), limit_bytes))

    def adopt(self, encoded: bytes) -> bool:
        """Store a record from another replica if it supersedes the known one.

        Returns
        -------
        bool
            Whether the configuration changed.

        Raises
        ------
        UnacceptableRecord
            If the record is malformed or its contract is invalid.
        """
        try:
            offset, record = _decode(encoded)
            return self.put(offset, record)
        except (InvalidRecord, InvalidContract) as error:
            self.rejected += 1
            raise UnacceptableRecord(
                str(error), step='adopt configuration'
            ) from error

    def put(self, offset: int, record: Record) -> bool:
        """Store an accepted record if it supersedes the known one.

        It does so if its version is higher, or if it has another contract of
        the same version that was accepted at a lower offset.

        Parameters
        ----------
        offset : int
            Log offset at which the version was accepted.
        record : Record
            Record of the kind contract or restatement.

        Returns
        -------
        bool
            Whether the configuration changed.

        Raises
        ------
        InvalidContract
            If the contract breaks its rules or is that of another customer.
        """
        known = self.stored.get(record.customer)
        if known and not _supersedes(offset, record, known):
            return False
        if record.rules not in self.rules:
            self._note_unreadable(record)
            return False
        contract = check_contract(record.contract, record.rules, self.rules)
        if contract.customer != record.customer:
            raise InvalidContract('contract of another customer')
        if known and known.version == record.version:
            self.forks += 1
        stored = StoredContract(record.version, contract, offset, record)
        self._replace(record.customer, known, stored)
        return True

    def mark_current(self, now: float) -> None:
        """Record that the log had nothing newer at time `now`, in seconds."""
        if self.confirmed_at is None or now > self.confirmed_at:
            self.confirmed_at = now

    def age_s(self, now: float) -> float | None:
        """Return the seconds since the store was last known to be current.

        Newer versions may exist in the log since then. None means that the
        store was never known to be current.
        """
        if self.confirmed_at is None:
            return None
        return max(0, now - self.confirmed_at)

    def _newer_than(self, vector: Mapping[str, int]) -> Iterator[bytes]:
        for name in sorted(self.stored):
            if self.stored[name].version > vector.get(name, 0):
                yield self.stored[name].encode()

    def _note_unreadable(self, record: Record) -> None:
        noted = self.unreadable.get(record.customer)
        if noted is None or noted.version < record.version:
            item = UnreadableVersion(record.version, record.rules)
            self.unreadable[record.customer] = item

    def _replace(
        self,
        customer: str,
        known: StoredContract | None,
        stored: StoredContract,
    ) -> None:
        unreadable = self.unreadable.get(customer)
        if unreadable and unreadable.version <= stored.version:
            self.unreadable.pop(customer)
        if known:
            self.digest ^= _version_hash(customer, known.version)
            self._set_owner(customer, known.contract, owns=False)
        self.stored[customer] = stored
        self.digest ^= _version_hash(customer, stored.version)
        self._set_owner(customer, stored.contract, owns=True)
        for notify in self.on_change:
            notify(customer, stored)

    def _set_owner(
        self, customer: str, contract: Contract, *, owns: bool
    ) -> None:
        for key in contract.keys:
            owners = self.owners.setdefault(key, set())
            if owns:
                owners.add(customer)
            else:
                owners.discard(customer)
            if not owners:
                self.owners.pop(key)


def _supersedes(offset: int, record: Record, known: StoredContract) -> bool:
    if record.version != known.version:
        return record.version > known.version
    # Two contracts have the same version: the one accepted at the lower
    # offset is in force. The later one would revert an accepted contract.
    differs = record.contract != known.record.contract
    return differs and offset < known.offset


def _version_hash(customer: str, version: int) -> int:
    # The digest is the XOR of these hashes. It does not depend on the order
    # of changes, and a change is applied to it without hashing the versions
    # of other customers again.
    text = f'{version}:{customer}'.encode()
    return int.from_bytes(sha256(text).digest()[:_DIGEST_BYTES])


def _decode(encoded: bytes) -> tuple[int, Record]:
    try:
        data = json.loads(encoded)
    except (ValueError, RecursionError) as error:
        raise InvalidRecord(f'not JSON: {error}') from error
    if not isinstance(data, dict):
        raise InvalidRecord('not an object')
    offset = data.get('offset')
    if not isinstance(offset, int) or isinstance(offset, bool) or offset < 0:
        raise InvalidRecord('offset is missing or negative')
    record = parse_record(data.get('record'))
    if not _is_offset_of(record, offset):
        raise InvalidRecord(f'{record.kind} with offset {offset}')
    return offset, record


def _is_offset_of(record: Record, offset: int) -> bool:
    if record.kind is RecordKind.CONTRACT:
        return offset > record.as_of
    return record.kind is RecordKind.RESTATEMENT and offset == record.origin


def _limit_size(items: Iterable[bytes], limit_bytes: int) -> Iterator[bytes]:
    # The first item is always yielded, so that every request makes progress.
    total = 0
    for item in items:
        if total and total + len(item) > limit_bytes:
            return
        total += len(item)
        yield item
