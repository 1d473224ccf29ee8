"""Options of the parts of an agent; `role` fills them from the settings."""

from dataclasses import dataclass, field

from limpetlanding.agent.records import RecordLimits


@dataclass(slots=True)
class CoordinatorOptions:
    """Limits of the coordinator."""

    limits: RecordLimits = field(default_factory=RecordLimits)
    max_job_s: float = 600
    max_active_jobs: int = 50_000
    max_id_block: int = 10_000
    max_placements: int = 4
    # Covers the way of the last report and timer granularity; a job whose
    # executor is silent is answered this long after its deadline.
    answer_grace_s: float = 0.5
    # How often a coordinator asks after tasks that run beyond the deadline.
    late_poll_interval_s: float = 2
    revoke_timeout_s: float = 1
    # Ledgers taken over would otherwise pile up: 2,200 restarts a day.
    takeover_retention_s: float = 3600


@dataclass(slots=True)
class ExecutorOptions:
    """Limits of the executor.

    Markers outlive `max_job_s`, after which no coordinator sends `RunTasks`
    for the job, by `retention_s`. At 160 starts/s that is 115,000 markers.
    """

    retention_s: float = 120
    max_job_s: float = 600
    max_result_bytes: int = 64 * 1024 * 1024


@dataclass(slots=True)
class EndpointOptions:
    """Limits of calls to endpoints."""

    lease_s: float = 3
    silence_s: float = 1
    connect_timeout_s: float = 1
    # Shorter than the keep-alive of common HTTP servers (5 s and more): a
    # POST on a connection that the server is closing has an unknown fate.
    keepalive_s: float = 2
    # How long to wait after a cut connection for an announcement that shows
    # that the endpoint has not been restarted.
    announcement_wait_s: float = 2
