"""Messages about lost executors between processes."""

from loguru import logger

from limpetlanding.runs.losses import (
    RETENTION_S,
    ExecutorLoss,
    LossKind,
    LossLedger,
)
from limpetlanding.wire import Channel
from limpetlanding.wire.run_messages import ExecutorLost


def send_loss(channel: Channel, loss: ExecutorLoss, age_s: float = 0) -> None:
    """Report a loss to a peer, unless its build does not know the message.

    Parameters
    ----------
    channel : Channel
        Link to the peer.
    loss : ExecutorLoss
        The loss.
    age_s : float
        Time since the loss, in seconds.
    """
    if channel.peer.loss_reports:
        channel.notify(
            ExecutorLost(
                loss.loss_id,
                list(loss.recent_tasks),
                list(loss.other_tasks),
                loss.kind,
                1000 * age_s,
                list(loss.unconfirmed_tasks),
            )
        )


def send_known_losses(channel: Channel, ledger: LossLedger, now: float) -> None:
    """Report all remembered losses to a peer that has connected."""
    for loss, age_s in ledger.known(now):
        send_loss(channel, loss, age_s)


def received_loss(message: ExecutorLost) -> tuple[ExecutorLoss, float] | None:
    """Return the loss that a message reports, and its age in seconds.

    The age is at least 0 and at most that of a loss that is still remembered.
    A kind that only a newer build knows yields None.

    Examples
    --------
    >>> loss, age_s = received_loss(ExecutorLost('i-1', ['a'], [], 1, -5))
    >>> loss.kind, age_s
    (<LossKind.CRASHED: 1>, 0)
    >>> received_loss(ExecutorLost('i-1', ['a'], [], 9))
    """
    try:
        kind = LossKind(message.kind)
    except ValueError:
        logger.bind(step='crash', crash=message.loss_id).info(
            'report of a loss of unknown kind {} ignored', message.kind
        )
        return None
    loss = ExecutorLoss(
        message.loss_id,
        tuple(message.recent_tasks),
        tuple(message.other_tasks),
        kind,
        tuple(message.unconfirmed_tasks),
    )
    # The order of the arguments maps NaN to 0.
    return loss, min(max(0, message.age_ms / 1000), RETENTION_S)
