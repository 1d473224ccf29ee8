"""Decisions of the dispatcher as pure functions and small state."""

from limpetlanding.policy.admission import (
    Admission,
    AdmissionRequest,
    Admitted,
    Limits,
    NaiveAdmission,
    Refused,
    Usage,
)
from limpetlanding.policy.ejection import OutlierDetector
from limpetlanding.policy.estimates import Estimate, Estimator
from limpetlanding.policy.load import (
    LONG_MS,
    AgentLoad,
    KindLoad,
    Pending,
    SystemLoad,
    system_load,
)
from limpetlanding.policy.moves import Move, PlacedTask, plan_moves
from limpetlanding.policy.placement import (
    Plan,
    can_run,
    choose,
    choose_naive,
    completion_ms,
    no_place_reason,
    place,
    wait_ms,
)
from limpetlanding.policy.queueing import (
    FifoQueue,
    QueuedTask,
    TaskQueue,
    make_queue,
)
from limpetlanding.policy.retries import RetryBudget, backoff, retry_after
from limpetlanding.policy.shares import ShareLedger
from limpetlanding.policy.speed import SpeedTracker

__all__ = (
    'LONG_MS',
    'Admission',
    'AdmissionRequest',
    'Admitted',
    'AgentLoad',
    'Estimate',
    'Estimator',
    'FifoQueue',
    'KindLoad',
    'Limits',
    'Move',
    'NaiveAdmission',
    'OutlierDetector',
    'Pending',
    'PlacedTask',
    'Plan',
    'QueuedTask',
    'Refused',
    'RetryBudget',
    'ShareLedger',
    'SpeedTracker',
    'SystemLoad',
    'TaskQueue',
    'Usage',
    'backoff',
    'can_run',
    'choose',
    'choose_naive',
    'completion_ms',
    'make_queue',
    'no_place_reason',
    'place',
    'plan_moves',
    'retry_after',
    'system_load',
    'wait_ms',
)
