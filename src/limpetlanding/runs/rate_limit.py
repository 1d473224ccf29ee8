"""Limit on how often something is done."""


class RateLimit:
    """Token bucket, which is full at the start.

    Parameters
    ----------
    per_s : float
        Tokens that are added each second.
    burst : float
        Largest number of tokens.

    Examples
    --------
    >>> limit = RateLimit(per_s=10, burst=2)
    >>> [limit.allows(1, now=0) for _ in range(3)]
    [True, True, False]
    >>> limit.allows(1, now=0.1)
    True
    """

    def __init__(self, per_s: float, burst: float) -> None:
        self.per_s = per_s
        self.burst = burst
        self.tokens = burst
        self.filled_at: float = 0

    def allows(self, count: int, now: float) -> bool:
        """Take tokens if there are enough; return whether there were.

        Parameters
        ----------
        count : int
            Number of tokens.
        now : float
            Time in monotonic seconds.
        """
        added = (now - self.filled_at) * self.per_s
        self.tokens = min(self.tokens + added, self.burst)
        self.filled_at = now
        if count > self.tokens:
            return False
        self.tokens -= count
        return True
