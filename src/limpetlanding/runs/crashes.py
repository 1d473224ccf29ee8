"""Crashes of executors, and the tasks that had runs there.

A task that crashes the executors that start it would take them away one after
another, with all tasks beside it. The decisions here answer that load: which
tasks may be the cause of a crash, and which are not started again.
"""

from dataclasses import dataclass

RECENT_START_S = 0.1
"""A run is a likely cause of a crash if it was started within this time before
the last answer of its executor, or later. An executor starts about 20 tasks a
second, so that one or two tasks are within it by coincidence."""


@dataclass(frozen=True, slots=True)
class Crash:
    """One crash of an executor.

    Parameters
    ----------
    crash_id : str
        Name of the crash, the same in all reports of it.
    recent_tasks : tuple of str
        Tasks that were started shortly before the crash.
    other_tasks : tuple of str
        The other tasks that had runs at the executor.
    is_certain : bool
        False if the executor has only fallen silent so far.
    """

    crash_id: str
    recent_tasks: tuple[str, ...] = ()
    other_tasks: tuple[str, ...] = ()
    is_certain: bool = True


def is_recent_start(started_at: float | None, last_answer_at: float) -> bool:
    """Tell whether a run was started shortly before its executor crashed.

    Parameters
    ----------
    started_at : float or None
        When the executor confirmed the start, in seconds; None if it did not.
    last_answer_at : float
        When the executor answered the last time, on the same clock.

    Examples
    --------
    >>> is_recent_start(9.95, 10), is_recent_start(9.5, 10)
    (True, False)
    >>> is_recent_start(None, 10)
    True
    """
    return started_at is None or started_at >= last_answer_at - RECENT_START_S
