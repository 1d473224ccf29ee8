"""Reports of one worker on the losses of its executor."""

from collections.abc import Callable, Iterable
from dataclasses import replace

from loguru import logger

from limpetlanding.runs.losses import ExecutorLoss, LossKind, is_recent_start
from limpetlanding.runs.tracked_run import TrackedRun

MAX_LOGGED_TASKS = 30
"""Tasks that the log line of a loss names; an executor runs about 20."""

LOG_MESSAGES = {
    LossKind.SILENT: 'executor silent, runs lapsed',
    LossKind.CRASHED: 'executor crashed',
    LossKind.ANSWERED: 'executor answers again: it had not crashed',
}


class ExecutorLosses:
    """The current loss of an executor, and the runs that ended because of it.

    Parameters
    ----------
    source : str
        Distinguishes the losses that different processes report of one
        incarnation of an executor.
    now : float
        Current time, in monotonic seconds.
    """

    def __init__(self, source: str, now: float) -> None:
        self.source = source
        self.last_answer_at = now
        self.runs: list[TrackedRun] = []
        # The last report of the current loss, if it was reported.
        self.reported: ExecutorLoss | None = None
        # Called with each report.
        self.on_loss: Callable[[ExecutorLoss], None] = _ignore

    def record_loss(
        self,
        incarnation: str,
        ended: Iterable[TrackedRun],
        kind: LossKind,
        now: float,
    ) -> None:
        """Record that the executor is lost, and report what is new.

        Parameters
        ----------
        incarnation : str
            Incarnation of the executor.
        ended : iterable of TrackedRun
            Runs that have ended because of the loss since the last call.
        kind : LossKind
            What is known of the loss.
        now : float
            Current time, in monotonic seconds.
        """
        ended = list(ended)
        self.runs += ended
        known = self.reported
        if not self.runs or (known and known.kind >= kind and not ended):
            return
        confirmed = [held for held in self.runs if held.started]
        recent = {held.task for held in confirmed if self._is_recent(held)}
        others = {held.task for held in confirmed} - recent
        unconfirmed = {held.task for held in self.runs} - recent - others
        loss_id = (
            known.loss_id if known else f'{incarnation}/{self.source}/{now:.3f}'
        )
        loss = ExecutorLoss(
            loss_id,
            tuple(sorted(recent)),
            tuple(sorted(others)),
            kind,
            tuple(sorted(unconfirmed)),
        )
        self._report(loss, incarnation, now)

    def record_answer(self, now: float) -> None:
        """Record an answer during which the executor may have had runs."""
        self.last_answer_at = now

    def end_silence(self, incarnation: str, now: float) -> None:
        """Withdraw the report of a loss, because the executor has answered."""
        if self.reported is not None:
            loss = replace(self.reported, kind=LossKind.ANSWERED)
            self._report(loss, incarnation, now)
        self.reset(now)

    def reset(self, now: float) -> None:
        """Begin with an executor that is not lost."""
        self.last_answer_at = now
        self.reported = None
        self.runs.clear()

    def _report(self, loss: ExecutorLoss, incarnation: str, now: float) -> None:
        self.reported = loss
        logger.bind(
            step='executor',
            peer=incarnation,
            crash=loss.loss_id,
            recent=loss.recent_tasks[:MAX_LOGGED_TASKS],
            others=loss.other_tasks[:MAX_LOGGED_TASKS],
            unconfirmed=loss.unconfirmed_tasks[:MAX_LOGGED_TASKS],
            silent_ms=round(1000 * (now - self.last_answer_at)),
        ).info(LOG_MESSAGES[loss.kind])
        self.on_loss(loss)

    def _is_recent(self, held: TrackedRun) -> bool:
        return is_recent_start(held.started_at, self.last_answer_at)


def _ignore(_loss: ExecutorLoss) -> None:
    """Do nothing; used until a callback is set."""
