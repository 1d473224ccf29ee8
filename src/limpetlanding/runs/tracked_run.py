"""Runs that a worker holds, and their ends."""

from dataclasses import dataclass
from math import inf

from limpetlanding.runs.model import Resources, RunEnd


@dataclass(slots=True, eq=False)
class TrackedRun:
    """One run that occupies room at the executor.

    Parameters
    ----------
    owner : str
        Front on whose behalf it runs.
    job_id, task : str
        Job and task.
    run : int
        Number of the run.
    need : Resources
        Room it occupies.
    spec : str
        Text of the job.
    checkpoint : str
        Checkpoint to resume from.
    estimate_ms : float
        Declared run time.
    ordered_at : float
        When the order arrived, on the clock of the supervisor.
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
    started: bool = False
    # An inventory asked for after this moment lists the run unless it has
    # ended or can never begin.
    listed_from: float | None = None
    begun_at: float = 0
    lease_until_ms: int = 0
    percent: float = -1
    progress_at: float = 0
    stop_as: RunEnd | None = None
    stop_sent: bool = False

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
