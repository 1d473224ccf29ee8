"""Waits between attempts."""

from random import Random

FIRST_WAIT_S = 0.1
LONGEST_WAIT_S = 5.0


def backoff_s(attempt: int, rng: Random) -> float:
    """Return the wait before attempt number `attempt` + 1, in seconds.

    The wait doubles up to `LONGEST_WAIT_S`. Its upper half is random, so
    that readers that lost the log together do not return together.

    Examples
    --------
    >>> 0.05 <= backoff_s(1, Random(1)) <= 0.1
    True
    >>> 2.5 <= backoff_s(60, Random(1)) <= 5
    True
    """
    doublings = min(attempt - 1, 10)
    longest = min(LONGEST_WAIT_S, FIRST_WAIT_S * 2**doublings)
    return longest * rng.uniform(0.5, 1)
