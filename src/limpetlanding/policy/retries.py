"""Retry budget, exponential backoff and spreading of retries."""

from random import Random

RETRY_SHARE = 0.1
"""Retries allowed per request. A system that fails every request gets 10% more
load, while three attempts for each request would triple the load."""

MAX_RETRY_AFTER_MS = 10_000
"""Upper bound of the spread: a retry after a longer delay is of no use to the
caller."""

_MAX_EXPONENT = 32


class RetryBudget:
    """Token bucket that limits retries to a share of the new requests.

    Parameters
    ----------
    share : float
        Retries allowed per new request.
    reserve : float
        Retries allowed at the start, and largest number that can be saved.
    """

    def __init__(self, share: float = RETRY_SHARE, reserve: float = 10) -> None:
        self.share = share
        self.reserve = reserve
        self.tokens = reserve

    def deposit(self, count: int = 1) -> None:
        """Add the retries earned by `count` new requests."""
        self.tokens = min(self.tokens + count * self.share, self.reserve)

    def try_withdraw(self) -> bool:
        """Return whether a retry is allowed; if so, it is counted."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def backoff_ms(
    attempt: int, rng: Random, base_ms: float = 50, max_ms: float = 2000
) -> float:
    """Return the delay in ms before retry `attempt`, counted from 0.

    The delay is exponential with full jitter: it is drawn between 0 and
    `base_ms` times two to the power of `attempt`, at most `max_ms`.

    References
    ----------
    M. Brooker: Exponential Backoff And Jitter, 2015.

    Examples
    --------
    >>> delays = [backoff_ms(3, Random(seed)) for seed in range(100)]
    >>> min(delays) < 50 < 350 < max(delays) <= 400
    True
    """
    longest_ms = min(max_ms, base_ms * 2 ** min(attempt, _MAX_EXPONENT))
    return rng.uniform(0, longest_ms)


def spread_retry_ms(
    excess_ms: float,
    rng: Random,
    min_ms: float = 50,
    max_ms: float = MAX_RETRY_AFTER_MS,
) -> float:
    """Return a retry delay in ms that spreads many refused requests.

    Parameters
    ----------
    excess_ms : float
        Time that the system needs for its present work and for the retries
        of requests refused so far. The retries are spread evenly over it.
    """
    latest_ms = min(max(excess_ms, min_ms), max_ms)
    return min_ms + rng.uniform(0, latest_ms)
