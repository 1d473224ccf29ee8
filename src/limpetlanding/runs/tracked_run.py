"""Runs that a worker has accepted, and how they end."""

from dataclasses import dataclass
from enum import StrEnum
from math import inf

from limpetlanding.runs.model import Resources, RunEnd


class Evidence(StrEnum):
    """What shows that a run has ended, or never started."""

    # The executor lists its end.
    LISTED = 'end listed'
    # The executor lists it neither as active nor as ended, although its start
    # or its stop had been confirmed before.
    UNLISTED = 'not listed'
    # The executor has refused its start.
    START_REFUSED = 'start refused'
    # Its start was not sent.
    NOT_SENT = 'start not sent'
    # No connection could be opened to send its start.
    UNDELIVERED = 'start not delivered'
    # Its lease has expired on the slowest clock.
    LEASE = 'lease expired'
    # Nothing listens at the address of the executor, which is on this machine.
    REFUSED = 'connections refused'
    # A later incarnation of the executor answers.
    REPLACED = 'another incarnation answers'


@dataclass(slots=True, eq=False)
class TrackedRun:
    """A run that occupies resources at the executor.

    Parameters
    ----------
    owner : str
        Incarnation of the front that ordered the run.
    job_id, task : str
        Job id and name of the task.
    run : int
        Number of the run.
    need : Resources
        Resources that the run occupies.
    spec : str
        Opaque text of the job that is passed to the task.
    checkpoint : str
        Checkpoint to resume from; empty if the task starts anew.
    estimate_ms : float
        Declared run time in milliseconds; 0 if none was declared.
    ordered_at : float
        When the front sent the order, in seconds on the clock of the
        supervisor.
    """

    owner: str
    job_id: str
    task: str
    run: int
    need: Resources
    spec: str = ''
    checkpoint: str = ''
    estimate_ms: float = 0
    ordered_at: float = inf
    # Revision of the executor under which the run was ordered.
    revision: int = 0
    # The start may still be carried out: it is on its way or was not answered.
    start_pending: bool = False
    # Fencing token of the last attempt to start the run.
    start_fence: int = 0
    started: bool = False
    # An inventory that is requested after this time lists the run unless it has
    # ended or can never start.
    listed_after: float | None = None
    started_at: float = 0
    # End of the lease in the last start that was sent; None before.
    lease_until_ms: int | None = None
    percent: float = -1
    progress_at: float = 0
    requested_end: RunEnd | None = None
    stop_sent: bool = False
    # An inventory did not list the run before its stop was confirmed.
    was_unlisted: bool = False
    # When the stop was requested; None once the executor has confirmed it.
    stop_requested_at: float | None = None

    @property
    def key(self) -> tuple[str, int]:
        """Task and number of the run."""
        return self.task, self.run


@dataclass(frozen=True, slots=True)
class RunResult:
    """End of a run, as reported to its front."""

    held: TrackedRun
    how: RunEnd
    run_ms: float
    suspect: bool
    evidence: Evidence
