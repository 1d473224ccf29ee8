"""Interfaces of this package to an executor and to the store.

Adapters raise `ExecutorUnavailable` or `StoreUnavailable` if they receive no
answer; they raise no other errors than those declared here.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Protocol

from limpetlanding.errors import LimpetlandingError
from limpetlanding.runs.model import Catalog, Resources, RunEnd

NOT_ANNOUNCED = -1
"""Sequence of an executor of which this process has no announcement. Its pool
and labels are assumed, and its capacity counts as zero."""

DEFAULT_STOP_DURATION_S = 0.05
"""Longest time that the executor takes to stop a run, unless configured."""


class ExecutorUnavailable(LimpetlandingError):
    """No usable answer; the call may have been or may yet be executed."""


class ExecutorDown(ExecutorUnavailable):
    """No process listens at the address of the executor."""


class ExecutorReplaced(LimpetlandingError):
    """Another incarnation of the executor is at the address."""


class FenceRejected(LimpetlandingError):
    """The call was not executed: a higher fencing token has been used."""


class StoreUnavailable(LimpetlandingError):
    """The store did not answer or refused the call."""


@dataclass(frozen=True, slots=True)
class Executor:
    """An executor as it announces itself.

    Parameters
    ----------
    executor_id : str
        Id of the executor; it may be the same after a restart.
    start_time_ms : int
        Start of this incarnation, in Unix milliseconds; 0 if unknown.
    pool : str
        Pool that the executor belongs to.
    capacity : Resources
        Total resources of the executor.
    labels : tuple of str
        Labels for the kind of machine and the rack.
    draining : bool
        Whether the executor is about to shut down.
    sequence : int
        Number of the announcement, which rises within one incarnation, or
        `NOT_ANNOUNCED`.
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
        """Name of this incarnation, unique over restarts."""
        return f'{self.executor_id}/{self.start_time_ms}'


@dataclass(frozen=True, slots=True)
class ActiveRun:
    """A run that an executor lists as active.

    Parameters
    ----------
    task : str
        Name of the task.
    run : int
        Number of the run.
    percent : float
        Progress in percent.
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
        Position in the executor's list of ended runs.
    task : str
        Name of the task.
    run : int
        Number of the run.
    how : RunEnd
        How the run ended.
    """

    number: int
    task: str
    run: int
    how: RunEnd


@dataclass(frozen=True, slots=True)
class Inventory:
    """Runs that an executor lists.

    Parameters
    ----------
    clock_ms : int
        Clock of the executor at the time of its answer, in milliseconds.
    start_time_ms : int
        Start of the incarnation that answered, in Unix milliseconds; 0 if
        the answer does not state it.
    active : list of ActiveRun
        Runs that have not ended.
    ended : list of EndedRun
        Ended runs that have not been acknowledged.
    """

    clock_ms: int
    start_time_ms: int
    active: list[ActiveRun] = field(default_factory=list)
    ended: list[EndedRun] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class StartReply:
    """Answer to the order to start a run.

    Parameters
    ----------
    clock_ms : int or None
        Clock of the executor in milliseconds; None if the answer does not
        state it.
    refusal : str
        Empty if the run was started; else ``expired`` (the lease in the
        order had expired), ``outdated`` (the executor has seen this run
        number or a higher one), ``full``, ``unhealthy`` or ``invalid``.
    """

    clock_ms: int | None
    refusal: str = ''


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to an executor to start a run.

    Parameters
    ----------
    task : str
        Name of the task.
    run : int
        Number of the run.
    spec : str
        Opaque text of the job that is passed to the task.
    lease_until_ms : int
        End of the lease in milliseconds on the executor's clock.
    checkpoint : str
        Checkpoint to resume from; empty if the task starts anew.
    """

    task: str
    run: int
    spec: str
    lease_until_ms: int
    checkpoint: str = ''


@dataclass(frozen=True, slots=True)
class WorkerRecord:
    """Record of a worker in the store.

    Parameters
    ----------
    name : str
        Name of the machine.
    address : str
        ``host:port`` at which the worker accepts links.
    capacity : Resources or None
        Capacity of its executor as last announced; None if no executor has
        announced itself yet.
    failure_domain : str
        Failure domain of the machine; empty if the record does not state it.
    executor : str
        Incarnation of the executor that announced the capacity; empty if the
        record does not state it.
    draining : bool
        Whether that executor was about to shut down.
    """

    name: str
    address: str
    capacity: Resources | None = None
    failure_domain: str = ''
    executor: str = ''
    draining: bool = False


@dataclass(frozen=True, slots=True)
class CallTarget:
    """Executor that a call is meant for, and the token of the caller.

    Parameters
    ----------
    executor_id : str
        Id of the executor.
    fence : int
        Fencing token of the caller; the executor rejects a call with a lower
        token than it has seen.
    """

    executor_id: str
    fence: int


class ExecutorPort(Protocol):
    """Calls to one executor.

    All calls raise `ExecutorUnavailable`; all except `identify` also raise
    `ExecutorReplaced` and `FenceRejected`.
    """

    # Whether the executor is on this machine, so that no network path can
    # refuse connections in its place.
    is_local: bool

    async def start(self, to: CallTarget, order: StartOrder) -> StartReply:
        """Start a run."""

    async def stop(self, to: CallTarget, task: str, run: int) -> None:
        """Stop a run; if it has not started, block its start."""

    async def inventory(
        self,
        to: CallTarget,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_ms: int,
    ) -> Inventory:
        """Renew the lease and list the runs.

        The executor answers once a run ends, at the latest after `wait_ms`.
        """

    async def identify(self) -> str:
        """Return the id of the executor at the address."""

    async def close(self) -> None:
        """Close all connections."""


class StorePort(Protocol):
    """Calls to the store; all of them raise `StoreUnavailable`."""

    def catalogs(self) -> AsyncIterator[Catalog]:
        """Yield configurations as they are published, until an error."""

    async def register_worker(self, record: WorkerRecord) -> None:
        """Replace the record of a worker."""

    async def worker(self, name: str) -> WorkerRecord | None:
        """Return the record of a worker, or None if there is none."""

    def workers(self) -> AsyncIterator[list[WorkerRecord]]:
        """Yield the records of workers as they change, until an error."""

    async def close(self) -> None:
        """Close all connections."""
