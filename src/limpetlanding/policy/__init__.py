"""Scheduling decisions, independent of network, processes and clocks."""

from limpetlanding.policy.admission import (
    Admission,
    AdmissionLimits,
    AdmissionRequest,
    Admitted,
    CustomerUsage,
    NaiveAdmission,
    Refused,
)
from limpetlanding.policy.ejection import OutlierDetector
from limpetlanding.policy.estimates import Estimate, Estimator
from limpetlanding.policy.load import (
    LONG_TASK_MS,
    AgentLoad,
    KindLoad,
    PendingTask,
    SystemLoad,
    system_load,
)
from limpetlanding.policy.moves import Move, PlacedTask, plan_moves
from limpetlanding.policy.placement import (
    PlacementPlan,
    can_run,
    choose_placements,
    choose_placements_naive,
    completion_ms,
    no_placement_reason,
    place,
    wait_ms,
)
from limpetlanding.policy.queueing import (
    FifoQueue,
    QueuedTask,
    TaskQueue,
    make_queue,
)
from limpetlanding.policy.retries import (
    RetryBudget,
    backoff_ms,
    spread_retry_ms,
)
from limpetlanding.policy.shares import ShareLedger
from limpetlanding.policy.speed import SpeedTracker

__all__ = (
    'LONG_TASK_MS',
    'Admission',
    'AdmissionLimits',
    'AdmissionRequest',
    'Admitted',
    'AgentLoad',
    'CustomerUsage',
    'Estimate',
    'Estimator',
    'FifoQueue',
    'KindLoad',
    'Move',
    'NaiveAdmission',
    'OutlierDetector',
    'PendingTask',
    'PlacedTask',
    'PlacementPlan',
    'QueuedTask',
    'Refused',
    'RetryBudget',
    'ShareLedger',
    'SpeedTracker',
    'SystemLoad',
    'TaskQueue',
    'backoff_ms',
    'can_run',
    'choose_placements',
    'choose_placements_naive',
    'completion_ms',
    'make_queue',
    'no_placement_reason',
    'place',
    'plan_moves',
    'spread_retry_ms',
    'system_load',
    'wait_ms',
)
