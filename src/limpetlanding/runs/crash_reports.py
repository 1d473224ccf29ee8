"""Messages about crashed executors between processes."""

from limpetlanding.runs.crashes import Crash, CrashLedger
from limpetlanding.wire import Channel
from limpetlanding.wire.run_messages import ExecutorCrashed


def send_crash(channel: Channel, crash: Crash, age_s: float = 0) -> None:
    """Report a crash to a peer, unless its build does not know the message.

    Parameters
    ----------
    channel : Channel
        Link to the peer.
    crash : Crash
        The crash.
    age_s : float
        Time since the crash, in seconds.
    """
    if channel.peer.crash_reports:
        channel.notify(
            ExecutorCrashed(
                crash.crash_id,
                list(crash.recent_tasks),
                list(crash.other_tasks),
                crash.is_certain,
                1000 * age_s,
            )
        )


def send_known_crashes(
    channel: Channel, ledger: CrashLedger, now: float
) -> None:
    """Report all remembered crashes to a peer that has connected."""
    for crash, age_s in ledger.known(now):
        send_crash(channel, crash, age_s)


def received_crash(message: ExecutorCrashed) -> Crash:
    """Return the crash that a message reports."""
    return Crash(
        message.crash_id,
        tuple(message.recent_tasks),
        tuple(message.other_tasks),
        message.is_certain,
    )
