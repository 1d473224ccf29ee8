"""Job ids, outcomes and payload digests."""

from limpetlanding.jobs.digest import payloads_digest
from limpetlanding.jobs.ids import (
    InvalidJobId,
    JobId,
    mint_job_id,
    new_incarnation,
    parse_job_id,
    verify_job_id,
)
from limpetlanding.jobs.outcome import Outcome, Reason, TaskState

__all__ = (
    'InvalidJobId',
    'JobId',
    'Outcome',
    'Reason',
    'TaskState',
    'mint_job_id',
    'new_incarnation',
    'parse_job_id',
    'payloads_digest',
    'verify_job_id',
)
