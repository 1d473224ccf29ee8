"""Waits between attempts, with exponential backoff and jitter."""

from random import Random

FIRST_WAIT_S = 0.1
MAX_WAIT_S = 5.0


def backoff_s(attempt: int, rng: Random) -> float:
    """Return the wait after attempt number `attempt`, in seconds.

    The wait doubles up to `MAX_WAIT_S`. Its upper half is random, so that
    readers do not all retry at the same moment after an outage.

    Parameters
    ----------
    attempt : int
        Number of the failed attempt, from 1.
    rng : Random
        Source of the jitter.

    Examples
    --------
    >>> 0.05 <= backoff_s(1, Random(1)) <= 0.1
    True
    >>> 2.5 <= backoff_s(60, Random(1)) <= 5
    True
    """
    doublings = min(attempt - 1, 10)
    wait_s = min(MAX_WAIT_S, FIRST_WAIT_S * 2**doublings)
    return wait_s * rng.uniform(0.5, 1)
