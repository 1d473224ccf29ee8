"""What this package needs of an executor and of a store.

Adapters implement these interfaces; they raise `ExecutorUnavailable` or
`StoreUnavailable` where an answer is missing, and nothing else.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Protocol

from limpetlanding.errors import LimpetlandingError
from limpetlanding.runs.model import Catalog, Resources, RunEnd


class ExecutorUnavailable(LimpetlandingError):
    """No usable answer came; the call may have been executed or may yet be."""


class ExecutorReplaced(LimpetlandingError):
    """Another life of the executor is at the address."""


class FenceRejected(LimpetlandingError):
    """The executor has seen a higher fencing token; nothing was done."""


class StoreUnavailable(LimpetlandingError):
    """The store did not answer or refused the call."""


@dataclass(frozen=True, slots=True)
class Executor:
    """What an executor says of itself.

    Parameters
    ----------
    executor_id : str
        Id, unique for one life unless the executor restarts under it.
    start_time_ms : int
        Start of this life, in Unix milliseconds; 0 if unknown.
    pool : str
        Pool it belongs to.
    capacity : Resources
        Its whole room.
    labels : tuple of str
        Kind and rack.
    draining : bool
        Whether it is about to leave.
    sequence : int
        Rises with each announcement of one life.
    """

    executor_id: str
    start_time_ms: int
    pool: str
    capacity: Resources
    labels: tuple[str, ...]
    draining: bool
    sequence: int

    @property
    def incarnation(self) -> str:
        """Name of this life."""
        return f'{self.executor_id}/{self.start_time_ms}'


@dataclass(frozen=True, slots=True)
class ActiveRun:
    """A run that an executor lists as active.

    Parameters
    ----------
    task : str
        Task.
    run : int
        Number of the run.
    percent : float
        Progress of the work.
    """

    task: str
    run: int
    percent: float


@dataclass(frozen=True, slots=True)
class EndedRun:
    """A run that an executor lists as ended.

    Parameters
    ----------
    number : int
        Position in the executor's list of ends.
    task : str
        Task.
    run : int
        Number of the run.
    how : RunEnd
        How it ended.
    """

    number: int
    task: str
    run: int
    how: RunEnd


@dataclass(frozen=True, slots=True)
class Inventory:
    """Runs at an executor.

    Parameters
    ----------
    clock_ms : int
        Clock of the executor as it answered.
    start_time_ms : int
        Start of the life that answered; 0 if it does not say.
    active : list of ActiveRun
        Active runs.
    ended : list of EndedRun
        Ends that are not acknowledged.
    """

    clock_ms: int
    start_time_ms: int
    active: list[ActiveRun] = field(default_factory=list)
    ended: list[EndedRun] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class StartReply:
    """Answer to a start.

    Parameters
    ----------
    clock_ms : int or None
        Clock of the executor; None if the answer has none.
    refusal : str
        Empty if the run is there; else ``expired`` (the lease of the order
        had passed), ``outdated`` (run number), ``full``, ``unhealthy`` or
        ``invalid``.
    """

    clock_ms: int | None
    refusal: str = ''


@dataclass(frozen=True, slots=True)
class StartOrder:
    """One start as an executor is told.

    Parameters
    ----------
    task : str
        Task.
    run : int
        Number of the run.
    spec : str
        Text of the job.
    lease_until_ms : int
        End of the lease on the executor's clock.
    checkpoint : str
        Checkpoint to resume from; empty for none.
    """

    task: str
    run: int
    spec: str
    lease_until_ms: int
    checkpoint: str = ''


@dataclass(frozen=True, slots=True)
class WorkerRecord:
    """What the store keeps of a worker.

    Parameters
    ----------
    name : str
        Name of the machine.
    address : str
        ``host:port`` of its links.
    capacity : Resources or None
        Room of its executor, which stays with the machine; None if no
        executor has announced itself yet.
    """

    name: str
    address: str
    capacity: Resources | None = None


@dataclass(frozen=True, slots=True)
class CallTarget:
    """Which life of an executor a call is meant for, and from whom it comes.

    Parameters
    ----------
    executor_id : str
        Id of the executor.
    fence : int
        Fencing token of the caller; the executor does nothing for a token
        that is lower than one it has seen.
    """

    executor_id: str
    fence: int


class ExecutorPort(Protocol):
    """Calls to one executor.

    All raise `ExecutorUnavailable`, `ExecutorReplaced` and, but for `identify`,
    `FenceRejected`.
    """

    async def start(self, to: CallTarget, order: StartOrder) -> StartReply:
        """Start a run."""

    async def stop(self, to: CallTarget, task: str, run: int) -> None:
        """Stop a run, and bar it if it has not begun."""

    async def inventory(
        self,
        to: CallTarget,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_ms: int,
    ) -> Inventory:
        """Renew the lease and list the runs, waiting for an end."""

    async def identify(self) -> str:
        """Return the id of the executor that is there."""

    async def close(self) -> None:
        """Close all connections."""


class StorePort(Protocol):
    """Calls to the store; all raise `StoreUnavailable`."""

    def catalogs(self) -> AsyncIterator[Catalog]:
        """Yield configurations as they are published, until an error."""

    async def register_worker(self, record: WorkerRecord) -> None:
        """Replace the record of a worker."""

    async def worker(self, name: str) -> WorkerRecord | None:
        """Return the record of a worker."""

    def workers(self) -> AsyncIterator[list[WorkerRecord]]:
        """Yield records as they change, until an error."""

    async def close(self) -> None:
        """Close all connections."""
