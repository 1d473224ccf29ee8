"""Outcomes of jobs, states of tasks and reasons."""

from enum import StrEnum


class Outcome(StrEnum):
    """Outcome of a job, as far as it is known when the caller is answered."""

    COMPLETE = 'complete'
    FAILED = 'failed'
    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'


class TaskState(StrEnum):
    """State of one task at the executor."""

    QUEUED = 'queued'
    RUNNING = 'running'
    DONE = 'done'
    ERROR = 'error'
    NOT_STARTED = 'not_started'
    UNKNOWN = 'unknown'


class Reason(StrEnum):
    """Why a job or task was refused, failed or has an unknown outcome."""

    OVERLOAD = 'overload'
    OVER_LIMIT = 'over_limit'
    DEADLINE = 'deadline'
    NO_ENDPOINT = 'no_endpoint'
    ENDPOINT_AWAY = 'endpoint_away'
    TOO_LARGE = 'too_large'
    UNAUTHORIZED = 'unauthorized'
    KIND_NOT_ALLOWED = 'kind_not_allowed'
    CANCELLED = 'cancelled'
    TASK_ERROR = 'task_error'
    AGENT_LOST = 'agent_lost'
    COORDINATOR_LOST = 'coordinator_lost'
    EXPIRED = 'expired'
    CONFLICT = 'conflict'
    MALFORMED = 'malformed'
    STOPPING = 'stopping'
    ENTRY_TIMEOUT = 'entry_timeout'
