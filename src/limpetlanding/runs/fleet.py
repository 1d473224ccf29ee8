"""The workers that one front knows, and their latest reports."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from limpetlanding.runs.model import Resources, Step
from limpetlanding.runs.spreading import spread_order
from limpetlanding.runs.trials import StartTimes
from limpetlanding.runs.worker_losses import WorkerState
from limpetlanding.wire import Channel
from limpetlanding.wire.run_messages import WorkerReport

OTHER_RACK_FACTOR = 1.5
"""Factor by which a task runs longer on another rack than that of its data,
according to the documentation of the platform."""

OTHER_DOMAIN_FACTOR = 1.02
"""Cost factor of other failure domains. The front prefers its own domain among
workers of similar speed with the same room."""


@dataclass(slots=True, eq=False)
class WorkerView:
    """One incarnation of a worker as the front knows it.

    Parameters
    ----------
    channel : Channel
        Link to the worker.
    report : WorkerReport
        Latest report of the worker.
    reported_at : float
        When the report arrived, in monotonic seconds.
    pending_needs : dict
        Resources, by run key, of the ordered runs that the latest report may
        not include.
    runs : dict
        Tasks, by run key, of the runs that this front assumes at the worker.
    """

    channel: Channel
    report: WorkerReport
    reported_at: float
    pending_needs: dict[str, Resources] = field(default_factory=dict)
    runs: dict[str, object] = field(default_factory=dict)
    # The latest order of this front.
    starts: StartTimes = field(default_factory=StartTimes)
    # Reported free resources minus those of `pending_needs`.
    free: Resources = field(init=False)

    def __post_init__(self) -> None:
        """Compute the free resources from the first report."""
        self._update_free()

    @property
    def name(self) -> str:
        """Node name of the worker."""
        return self.channel.peer.node

    @property
    def state(self) -> WorkerState:
        """What the latest report tells of the worker and its executor."""
        report = self.report
        incarnation = self.channel.peer.incarnation
        return WorkerState(
            self.name, incarnation, report.executor, report.accepting
        )

    @property
    def capacity(self) -> Resources:
        """Total resources of the executor."""
        report = self.report
        return Resources(report.cpu, report.memory_mb, report.gpu)

    def update(self, report: WorkerReport, now: float) -> None:
        """Store a newer report."""
        self.report = report
        self.reported_at = now
        self._update_free()

    def record_order(self, key: str, need: Resources) -> None:
        """Reserve the resources of a run that is being ordered."""
        self.pending_needs[key] = need
        self.free -= need

    def settle_order(self, key: str) -> None:
        """End the reservation of an order that was answered or is lost.

        After an answer, the latest report of the worker includes the outcome of
        the order. After a lost order, it need not.
        """
        self.free += self.pending_needs.pop(key, Resources())

    def is_usable(self) -> bool:
        """Tell whether new runs may be ordered from the worker."""
        if self.channel.suspect or not self.report.accepting:
            return False
        return self.report.health == 'good' or not (
            self.pending_needs or self.runs
        )

    def _update_free(self) -> None:
        report = self.report
        reported_free = Resources(
            report.free_cpu, report.free_memory_mb, report.free_gpu
        )
        self.free = sum(
            (Resources() - need for need in self.pending_needs.values()),
            reported_free,
        )


class Fleet:
    """Workers of all pools, by channel.

    Parameters
    ----------
    failure_domain : str
        Failure domain of the front.
    rng : random.Random
        Spreads orders over workers of similar cost.
    """

    def __init__(self, failure_domain: str, rng: Random) -> None:
        self.failure_domain = failure_domain
        self.rng = rng
        self.views: dict[Channel, WorkerView] = {}

    def update(
        self, channel: Channel, report: WorkerReport, now: float
    ) -> WorkerView:
        """Store a report; return the view of its worker."""
        view = self.views.get(channel)
        if view is None:
            view = WorkerView(channel, report, now)
            self.views[channel] = view
        else:
            view.update(report, now)
        return view

    def former_view(self, channel: Channel) -> WorkerView | None:
        """Return the view of an earlier channel to the same incarnation."""
        peer = channel.peer
        return next(
            (
                view
                for other, view in self.views.items()
                if other is not channel
                and other.peer.node == peer.node
                and other.peer.incarnation == peer.incarnation
            ),
            None,
        )

    def move(self, view: WorkerView, channel: Channel) -> None:
        """Let a view continue on a new channel to its worker."""
        self.views.pop(view.channel)
        view.channel = channel
        self.views[channel] = view

    def usable(self, pool: str) -> list[WorkerView]:
        """Return the workers of a pool that accept new runs now."""
        return [
            view
            for view in self.views.values()
            if view.report.pool == pool and view.is_usable()
        ]

    def ranked(
        self, step: Step, views: Iterable[WorkerView], max_run_ratio: float
    ) -> list[WorkerView]:
        """Return the workers that can run a task, the one to try first.

        Parameters
        ----------
        step : Step
            Step of the task.
        views : iterable of WorkerView
            Usable workers of the pool.
        max_run_ratio : float
            Workers with a higher ratio of run time to estimate are left out.
        """
        fitting = [
            view
            for view in views
            if view.free.covers(step.need)
            and view.report.run_ratio <= max_run_ratio
            and (not step.label or step.label in view.report.labels)
        ]
        return spread_order(
            fitting, lambda x: self._cost(x, step), _free_cpu, self.rng
        )

    def _cost(self, view: WorkerView, step: Step) -> float:
        cost = view.report.run_ratio
        if step.data_rack and step.data_rack not in view.report.labels:
            cost *= OTHER_RACK_FACTOR
        if view.report.failure_domain != self.failure_domain:
            cost *= OTHER_DOMAIN_FACTOR
        return cost


def lowest_run_ratio(views: Iterable[WorkerView]) -> float:
    """Return the lowest ratio of run time to estimate; 1 without workers."""
    return min((view.report.run_ratio for view in views), default=1)


def _free_cpu(view: WorkerView) -> int:
    return view.free.cpu
