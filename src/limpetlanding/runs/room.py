"""The room of one executor, and what proves that it is free.

The executor does not check its capacity, and an order without an answer may be
carried out seconds later, also by its next incarnation under the same id. A run
therefore occupies its resources from before its start is sent until two things
are proved: it has ended, and no order can still start it.

A run has ended if the executor lists its end, or does not list it although it
would have to. A start can come no more if it was answered; or if its lease has
expired or its stop was confirmed, and the same incarnation has answered a call
with a higher fencing token. A new incarnation has seen no token, so it gets no
start before it has answered a call with a token above those of all earlier
starts.

Times are in monotonic seconds of this process; the module makes no calls.
"""

from collections.abc import Iterator

from limpetlanding.runs.executor_clock import ExecutorClock
from limpetlanding.runs.model import Resources, RunEnd
from limpetlanding.runs.ports import Inventory
from limpetlanding.runs.tracked_run import Evidence, TrackedRun

LEASE_MS = 900
"""Requested duration of a lease."""

MAX_LEASE_MS = 1000
"""Longest lease that the platform grants; a longer one is shortened to it."""

STOP_MARGIN_S = 0.1
"""Added to the duration of a stop. After that time a run that no inventory
lists counts as ended; an executor that had started it lists its end sooner."""

LATE_ORDER_S = 15
"""Time during which an order without an answer may still be carried out."""

Ending = tuple[TrackedRun, RunEnd, Evidence]
"""A run that has ended, how, and what shows it."""


class Room:
    """Runs, leases and fencing tokens of one executor.

    Parameters
    ----------
    fence : int
        First fencing token; higher than those of earlier processes.
    stop_s : float
        Longest time in seconds that the executor takes to stop a run.

    Examples
    --------
    >>> room = Room(fence=7, stop_s=0.05)
    >>> room.begin_incarnation(Resources(4000))
    >>> room.refusal_reason(Resources(4000), now=1.0)
    'room not confirmed by the executor'
    >>> room.take_inventory(Inventory(5000, 1), room.fence, sent=1.0, now=1.1)
    []
    >>> room.refusal_reason(Resources(4000), now=1.1)
    ''
    """

    def __init__(self, fence: int, stop_s: float) -> None:
        # Time after which an order to stop has certainly had its effect.
        self.stop_limit_s = stop_s + STOP_MARGIN_S
        self.capacity = Resources()
        self.runs: dict[tuple[str, int], TrackedRun] = {}
        self.unknown_runs: set[tuple[str, int]] = set()
        self.unknown_runs_since: float = 0
        # Until then, unknown runs may occupy resources even if not listed.
        self.unknown_runs_until: float = 0
        self.clock = ExecutorClock()
        self.last_lease_ms = 0
        self.fence = fence
        # No start is sent until the current incarnation has answered an
        # inventory with this token or a higher one.
        self.required_fence = fence
        # Highest token that it has answered; 0 if it has to answer again.
        self.confirmed_fence = 0
        self.lost_start_at: float | None = None

    @property
    def free(self) -> Resources:
        """Resources that no run occupies; negative beyond the capacity."""
        return sum(
            (Resources() - run.need for run in self.runs.values()),
            self.capacity,
        )

    def begin_incarnation(self, capacity: Resources) -> None:
        """Begin another incarnation; runs that are left keep their room."""
        self.raise_fence()
        self.require_inventory()
        self.capacity = capacity
        self.clock = ExecutorClock()
        self.last_lease_ms = 0
        self.unknown_runs.clear()

    def assume_longest_lease(self, clock_ms: int, now: float) -> None:
        """Record a reading of the executor's clock and a lease granted then."""
        self.clock.record(clock_ms, now)
        self.last_lease_ms = clock_ms + MAX_LEASE_MS

    def raise_fence(self, increment: int = 1) -> None:
        """Let the next inventory block all starts that were sent before."""
        self.fence += increment
        self.required_fence = self.fence

    @property
    def is_confirmed(self) -> bool:
        """Whether no start that is not known here can still be carried out."""
        return self.confirmed_fence >= self.required_fence

    def require_inventory(self) -> None:
        """Send no start before the next answer of the executor."""
        self.confirmed_fence = 0

    def refusal_reason(self, need: Resources, now: float) -> str:
        """Return why a run cannot be started now; empty if it can."""
        if not self.is_confirmed:
            return 'room not confirmed by the executor'
        if self.unknown_runs or now < self.unknown_runs_until:
            return 'unknown runs are being stopped'
        return '' if self.free.covers(need) else 'no room'

    def reserve(self, held: TrackedRun) -> None:
        """Reserve the resources of a run, before its start is sent."""
        self.runs[held.key] = held

    def release(self, held: TrackedRun) -> bool:
        """Free the resources of a run; return whether it occupied any."""
        if not self.holds(held):
            return False
        self.runs.pop(held.key)
        if held.start_pending and held.start_fence >= self.confirmed_fence:
            self.raise_fence()
        return True

    def holds(self, held: TrackedRun) -> bool:
        """Tell whether a run occupies resources."""
        # Run numbers begin at 1 at each front, so that keys may be equal.
        return self.runs.get(held.key) is held

    def is_overfull(self) -> bool:
        """Tell whether the runs need more than the capacity."""
        return not self.free.covers(Resources())

    def may_get_late_start(self, now: float) -> bool:
        """Tell whether a start without an answer may still be carried out."""
        return (
            self.lost_start_at is not None
            and now - self.lost_start_at < LATE_ORDER_S
        )

    def new_lease_end_ms(self, now: float, owners_overdue_s: float) -> int:
        """Return the end of a lease that is granted now.

        Parameters
        ----------
        now : float
            Current time.
        owners_overdue_s : float
            Time by which the lease is shortened because the owner of a run is
            silent; negative if it is not.

        Returns
        -------
        int
            Time in milliseconds on the clock of the executor.
        """
        overdue_s = max(self._overdue_stop_s(now), owners_overdue_s, 0)
        now_ms = self.clock.read_at(now) or 0
        lease_end_ms = now_ms + LEASE_MS - round(1000 * overdue_s)
        self.last_lease_ms = max(self.last_lease_ms, lease_end_ms)
        return lease_end_ms

    def record_sent(self, held: TrackedRun, lease_until_ms: int) -> None:
        """Record that the start of a run is being sent."""
        held.lease_until_ms = lease_until_ms
        held.start_fence = self.fence
        held.start_pending = True

    def record_started(self, held: TrackedRun, now: float) -> None:
        """Record that the executor has confirmed a start or lists the run."""
        self.record_answered(held)
        # The stop may have been confirmed before.
        held.listed_after = max(held.listed_after or now, now)
        if not held.started:
            held.started = True
            held.started_at = now
            held.progress_at = now

    def record_answered(self, held: TrackedRun) -> None:
        """Record that the last start that was sent can have no later effect."""
        held.start_pending = False

    def record_lost_start(self, now: float) -> None:
        """Record that a start was not answered."""
        self.lost_start_at = now
        self.raise_fence()

    def record_stopped(self, held: TrackedRun, now: float) -> None:
        """Record that the executor has confirmed the stop of a run."""
        held.stop_requested_at = None
        # A run that is being stopped occupies its resources, although it may be
        # listed neither as active nor as ended.
        held.listed_after = now + self.stop_limit_s

    def take_inventory(
        self, inventory: Inventory, fence: int, sent: float, now: float
    ) -> list[Ending]:
        """Learn from an answer of the current incarnation.

        Parameters
        ----------
        inventory : Inventory
            The answer.
        fence : int
            Fencing token of the call.
        sent : float
            When the call was sent.
        now : float
            Current time.

        Returns
        -------
        list of Ending
            Runs that have ended; the caller releases them.
        """
        self.clock.record(inventory.clock_ms, now)
        self.confirmed_fence = max(self.confirmed_fence, fence)
        listed = {(x.task, x.run): x.how for x in inventory.ended}
        active = {(run.task, run.run) for run in inventory.active}
        for key in active & self.runs.keys():
            held = self.runs[key]
            held.was_unlisted = False
            self.record_answered(held)
            if not held.started:
                # The answer to the start was lost, but the run has started.
                self.record_started(held, now)
        endings = [
            (held, _run_end(held, listed[key]), Evidence.LISTED)
            for key, held in self.runs.items()
            if key in listed
        ]
        for held, _, _ in endings:
            self.record_answered(held)
        unlisted = self.runs.keys() - active - listed.keys()
        endings += [
            ending
            for key in sorted(unlisted)
            for ending in self._judge_unlisted(self.runs[key], fence, sent, now)
        ]
        self._follow_unknown_runs(active - self.runs.keys(), now)
        return endings

    def is_lease_past(self, now: float) -> bool:
        """Tell whether all leases have expired, even on the slowest clock."""
        return self.clock.is_past(self.last_lease_ms, now)

    def _judge_unlisted(
        self, held: TrackedRun, fence: int, sent: float, now: float
    ) -> Iterator[Ending]:
        evidence = self._evidence_of_end(held, fence, sent)
        if evidence is None:
            return
        if held.stop_requested_at is not None and not held.was_unlisted:
            # The stop may have been carried out but not yet answered.
            held.was_unlisted = True
            held.listed_after = now + self.stop_limit_s
            return
        default = RunEnd.LAPSED if held.started else RunEnd.REFUSED
        yield held, held.requested_end or default, evidence

    def _evidence_of_end(
        self, held: TrackedRun, fence: int, sent: float
    ) -> Evidence | None:
        if held.start_pending and fence <= held.start_fence:
            return None
        if held.listed_after is not None:
            return Evidence.UNLISTED if held.listed_after < sent else None
        if not held.stop_sent or held.lease_until_ms is None:
            return None
        # The executor rejects a start whose lease has expired.
        is_too_late = self.clock.is_past(held.lease_until_ms, sent)
        return Evidence.LEASE if is_too_late else None

    def _follow_unknown_runs(
        self, keys: set[tuple[str, int]], now: float
    ) -> None:
        if self.unknown_runs - keys:
            self.unknown_runs_until = now + self.stop_limit_s
        if keys and not self.unknown_runs:
            self.unknown_runs_since = now
        self.unknown_runs = keys

    def _overdue_stop_s(self, now: float) -> float:
        """Return the age of the oldest stop without an answer, in seconds.

        The executor has one lease for all runs. A run that has to be stopped
        must end within the duration of a lease, even if the stop is lost.
        """
        requested = [
            held.stop_requested_at
            for held in self.runs.values()
            if held.stop_requested_at is not None
        ]
        if self.unknown_runs:
            requested.append(self.unknown_runs_since)
        return now - min(requested, default=now)


def _run_end(held: TrackedRun, listed: RunEnd) -> RunEnd:
    if listed is RunEnd.STOPPED and held.requested_end is not None:
        return held.requested_end
    return listed
