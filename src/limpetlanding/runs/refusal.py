"""Decides which waiting jobs are refused, and when their clients may return.

The decisions answer an overload: more jobs arrive than the workers complete for
seconds on end, as in a burst or after the loss of many workers. A job that
cannot end in time to be of use would only take the room of jobs that can, so it
is refused as soon as that is certain instead of at its client's deadline.
"""

from math import ceil
from random import Random

from limpetlanding.runs.jobs import ActiveJob

ESTIMATE_TOLERANCE = 0.8
"""Part of the expected run time that a job must have left. It is below 1
because declared run times may be too high."""

MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 30
"""Limits of the time until a client may return, in seconds."""


def last_useful_start(active: ActiveJob, run_ratio: float) -> float:
    """Return when the waiting tasks must start for the answer to be of use.

    Parameters
    ----------
    active : ActiveJob
        The job.
    run_ratio : float
        Expected run time as a multiple of the declared one.

    Returns
    -------
    float
        Monotonic seconds.
    """
    run_s = active.longest_waiting_s * run_ratio
    return active.useful_until - ESTIMATE_TOLERANCE * run_s


def cannot_end_in_time(active: ActiveJob, now: float, run_ratio: float) -> bool:
    """Tell whether the waiting tasks cannot end before the client leaves.

    Other than a hopeless job, the job may have run. Its client gets an answer
    at once, and its tasks take no room from jobs that can be answered. After a
    suspension of this machine the client may have left long ago.
    """
    if now > active.waits_until:
        return True
    run_s = ESTIMATE_TOLERANCE * active.longest_waiting_s * run_ratio
    return not active.placed and now > active.waits_until - run_s


def max_useful_ratio(active: ActiveJob, now: float) -> float:
    """Return the highest run ratio at which a late job is still of use.

    A job that has started is completed at any worker as long as its client
    waits, because the client cannot be told that it has not run.
    """
    run_s = ESTIMATE_TOLERANCE * active.longest_waiting_s
    if active.has_run or not run_s:
        return float('inf')
    return (active.useful_until - now) / run_s


def is_hopeless(active: ActiveJob, now: float, run_ratio: float) -> bool:
    """Tell whether a job has not run and cannot end in time to be of use."""
    if active.has_run or active.placed:
        return False
    return now > last_useful_start(active, run_ratio)


def is_hopeless_trial(active: ActiveJob, now: float, run_ratio: float) -> bool:
    """Tell whether a job that may crash an executor cannot be of use any more.

    Other than a job that has begun and is not suspect, it is not completed: its
    next start may take an executor away from jobs that are of use.
    """
    return not active.placed and now > last_useful_start(active, run_ratio)


def retry_after_s(waited_s: float, rng: Random) -> int:
    """Return the number of seconds after which a refused client may return.

    An overload that has made a job wait for some time is expected to last for
    about as long again. The time is spread by half in both directions, so that
    the clients of a burst do not return as a burst.

    Examples
    --------
    >>> draws = [retry_after_s(8, Random(seed)) for seed in range(50)]
    >>> min(draws) >= 4, max(draws) <= 12, len(set(draws)) > 5
    (True, True, True)
    >>> retry_after_s(0, Random(1))
    1
    """
    seconds = ceil(waited_s * rng.uniform(0.5, 1.5))
    return min(max(seconds, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
