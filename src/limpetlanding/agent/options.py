"""Options of coordinator, executor and endpoint calls.

The module `role` sets some of them from the settings of the process.
"""

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
    # Allows for the transfer of the last report and for timer granularity. If
    # the executor does not answer, the job waits for it until this time plus
    # `late_poll_interval_s` after the deadline.
    answer_grace_s: float = 0.5
    # Interval of the requests about tasks that run beyond the deadline.
    late_poll_interval_s: float = 2
    revoke_timeout_s: float = 1
    # Bounds the number of taken-over ledgers, at 2,200 restarts a day.
    takeover_retention_s: float = 3600


@dataclass(slots=True)
class ExecutorOptions:
    """Limits of the executor.

    No coordinator sends `RunTasks` for a job after `max_job_s`. A seen task is
    remembered for `max_job_s` plus `retention_s`; at 160 starts/s these are
    115,000 tasks.
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
    # Shorter than the keep-alive of common HTTP servers (5 s and more). It is
    # unknown whether a POST is processed if the server closes its connection.
    keepalive_s: float = 2
    # After a lost connection: how long to wait for an announcement, which
    # shows that the endpoint has not been restarted.
    announcement_wait_s: float = 2
