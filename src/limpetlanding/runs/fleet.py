"""Fleet: the workers as one front knows them."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from limpetlanding.runs.model import Resources, Step
from limpetlanding.wire import Channel
from limpetlanding.wire.run_messages import WorkerReport

FAR_FACTOR = 1.5
"""Run time on another rack than that of the data, by the platform's pages."""

FOREIGN_DOMAIN_FACTOR = 1.02
"""Prefers the own failure domain among workers of about the same speed."""

FULL_FACTOR = 0.05
"""Spreads tasks over workers of about the same speed."""


@dataclass(slots=True, eq=False)
class WorkerView:
    """One worker incarnation.

    Parameters
    ----------
    channel : Channel
        Link to the worker.
    report : WorkerReport
        Its latest report.
    reported_at : float
        When the report arrived, in monotonic seconds.
    ordered : dict
        Needs of the runs that the latest report may not contain.
    runs : dict
        Tasks by run key that this front believes are there.
    """

    channel: Channel
    report: WorkerReport
    reported_at: float
    ordered: dict[str, Resources] = field(default_factory=dict)
    runs: dict[str, object] = field(default_factory=dict)
    # Reported room less what was ordered since.
    free: Resources = field(init=False)

    def __post_init__(self) -> None:
        """Take the room of the first report."""
        self._count_free()

    @property
    def name(self) -> str:
        """Node name of the worker."""
        return self.channel.peer.node

    @property
    def capacity(self) -> Resources:
        """Whole room."""
        report = self.report
        return Resources(report.cpu, report.memory_mb, report.gpu)

    def update(self, report: WorkerReport, now: float) -> None:
        """Take a newer report."""
        self.report = report
        self.reported_at = now
        self._count_free()

    def order(self, key: str, need: Resources) -> None:
        """Note a run that is being ordered."""
        self.ordered[key] = need
        self.free -= need

    def settle(self, key: str) -> None:
        """Note that the report contains the outcome of an order."""
        self.free += self.ordered.pop(key, Resources())

    def is_usable(self) -> bool:
        """Tell whether new runs may be ordered here."""
        if self.channel.suspect or not self.report.accepting:
            return False
        return self.report.health == 'good' or not (self.ordered or self.runs)

    def _count_free(self) -> None:
        report = self.report
        room = Resources(
            report.free_cpu, report.free_memory_mb, report.free_gpu
        )
        self.free = sum(
            (Resources() - need for need in self.ordered.values()), room
        )


class Fleet:
    """Workers of all pools, by channel."""

    def __init__(self, failure_domain: str) -> None:
        self.failure_domain = failure_domain
        self.views: dict[Channel, WorkerView] = {}

    def update(
        self, channel: Channel, report: WorkerReport, now: float
    ) -> WorkerView:
        """Take a report; return the view of its worker."""
        view = self.views.get(channel)
        if view is None:
            view = WorkerView(channel, report, now)
            self.views[channel] = view
        else:
            view.update(report, now)
        return view

    def usable(self, pool: str) -> list[WorkerView]:
        """Return the workers of a pool that take new runs now."""
        return [
            view
            for view in self.views.values()
            if view.report.pool == pool and view.is_usable()
        ]

    def ranked(
        self, step: Step, views: Iterable[WorkerView], most_ratio: float
    ) -> list[WorkerView]:
        """Return workers with room for a task, first where it may end first.

        Parameters
        ----------
        step : Step
            Step of the task.
        views : iterable of WorkerView
            Usable workers of the pool.
        most_ratio : float
            Workers with a higher ratio of run times are too slow.
        """
        fitting = [
            view
            for view in views
            if view.free.covers(step.need)
            and view.report.run_ratio <= most_ratio
            and (not step.label or step.label in view.report.labels)
        ]
        return sorted(fitting, key=lambda x: self._cost(x, step))

    def _cost(self, view: WorkerView, step: Step) -> float:
        cost = view.report.run_ratio
        if step.data_rack and step.data_rack not in view.report.labels:
            cost *= FAR_FACTOR
        if view.report.failure_domain != self.failure_domain:
            cost *= FOREIGN_DOMAIN_FACTOR
        used_share = 1 - view.free.cpu / max(view.capacity.cpu, 1)
        return cost * (1 + FULL_FACTOR * used_share)


def best_ratio(views: Iterable[WorkerView]) -> float:
    """Return the lowest ratio of run times of some workers, full or not."""
    return min((view.report.run_ratio for view in views), default=1)
