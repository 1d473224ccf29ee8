"""Retry budget, backoff and spreading of retries."""

from random import Random

RETRY_SHARE = 0.1
"""With 10% retries a system that fails everything sees 10% more load, where
three attempts for each request would triple it."""

MAX_RETRY_AFTER_MS = 10_000
"""A caller that is told more has better things to do than to retry."""

_MAX_EXPONENT = 32


class RetryBudget:
    """Allows retries as a share of fresh work.

    Parameters
    ----------
    share : float
        Retries allowed per fresh request.
    reserve : float
        Retries allowed at the start and saved at most.
    """

    def __init__(self, share: float = RETRY_SHARE, reserve: float = 10) -> None:
        self.share = share
        self.reserve = reserve
        self.tokens = reserve

    def deposit(self, count: int = 1) -> None:
        """Count fresh requests."""
        self.tokens = min(self.tokens + count * self.share, self.reserve)

    def try_withdraw(self) -> bool:
        """Tell whether one retry is allowed, and count it."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def backoff_ms(
    attempt: int, rng: Random, base_ms: float = 50, max_ms: float = 2000
) -> float:
    """Return a delay in ms before retry `attempt` (from 0), full jitter.

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
    """Return a delay in ms that spreads a wave of refused requests.

    Parameters
    ----------
    excess_ms : float
        Time that the system needs for the work it has and for the retries
        announced so far; retries are spread evenly over it.
    """
    latest_ms = min(max(excess_ms, min_ms), max_ms)
    return min_ms + rng.uniform(0, latest_ms)
