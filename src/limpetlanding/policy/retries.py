"""Retry budget, backoff and spreading of retries."""

from random import Random

RETRY_SHARE = 0.1


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

    def fresh(self, count: int = 1) -> None:
        """Count fresh requests."""
        self.tokens = min(self.tokens + count * self.share, self.reserve)

    def take(self) -> bool:
        """Tell whether one retry is allowed, and count it."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def backoff(
    attempt: int, rng: Random, base_ms: float = 50, max_ms: float = 2000
) -> float:
    """Return a delay in ms before retry `attempt` (from 0), full jitter."""
    return rng.uniform(0, min(max_ms, base_ms * 2 ** min(attempt, 32)))


def retry_after(excess_ms: float, rng: Random, min_ms: float = 50) -> float:
    """Return a delay in ms that spreads a wave of refused requests.

    `excess_ms` is the time that the system needs for the work it has.
    """
    return min_ms + rng.uniform(0, max(excess_ms, min_ms))
