"""Contracts of customers, and the stream of records that publishes them."""

from limpetlanding.contracts.diff import Change, diff
from limpetlanding.contracts.keys import hash_key, new_key
from limpetlanding.contracts.ledger import (
    CustomerState,
    Decision,
    Ledger,
    LogEntry,
    Verdict,
)
from limpetlanding.contracts.model import (
    CURRENT_RULES,
    RULES,
    Contract,
    InvalidContract,
    Limits,
    check_contract,
    load_contract,
    parse_contract,
)
from limpetlanding.contracts.publish import (
    Publication,
    PublicationReport,
    PublicationResult,
    VersionUnknown,
    publish,
)
from limpetlanding.contracts.reading import (
    apply_records,
    read_page,
    read_to_end,
)
from limpetlanding.contracts.record import (
    NOTHING_READ,
    InvalidRecord,
    Record,
    RecordKind,
    canonical,
    parse_record,
    restatement_id,
)

__all__ = (
    'CURRENT_RULES',
    'NOTHING_READ',
    'RULES',
    'Change',
    'Contract',
    'CustomerState',
    'Decision',
    'InvalidContract',
    'InvalidRecord',
    'Ledger',
    'Limits',
    'LogEntry',
    'Publication',
    'PublicationReport',
    'PublicationResult',
    'Record',
    'RecordKind',
    'Verdict',
    'VersionUnknown',
    'apply_records',
    'canonical',
    'check_contract',
    'diff',
    'hash_key',
    'load_contract',
    'new_key',
    'parse_contract',
    'parse_record',
    'publish',
    'read_page',
    'read_to_end',
    'restatement_id',
)
