"""Time that messages of a peer have been on their way."""

from math import inf

WINDOW_S = 5
"""The shortest transit counts for one to two windows. Within this time clocks
that differ in rate by 2% drift apart by 0.1 to 0.2 s."""


class TransitClock:
    """Estimates how long a message was on its way, without a common clock.

    The difference of the two clocks is taken from the message with the shortest
    transit of the last seconds, so that the estimate is the time beyond it. It
    includes the time until the message is read.

    Examples
    --------
    >>> transit = TransitClock()
    >>> transit.record(sent_s=100.0, now=7.002)
    >>> transit.record(sent_s=100.1, now=7.3)
    >>> round(transit.transit_s(sent_s=100.2, now=7.802), 3)
    0.6
    """

    def __init__(self) -> None:
        self.window_begin = -inf
        self.shortest = inf
        self.shortest_before = inf

    def record(self, sent_s: float, now: float) -> None:
        """Record a message.

        Parameters
        ----------
        sent_s : float
            Time of its sending, in seconds on the clock of the peer.
        now : float
            Time, in seconds on the clock of this process.
        """
        difference = now - sent_s
        if now - self.window_begin > WINDOW_S:
            self.window_begin = now
            self.shortest_before = self.shortest
            self.shortest = difference
        self.shortest = min(self.shortest, difference)

    def transit_s(self, sent_s: float, now: float) -> float:
        """Return the estimated transit of a message; 0 if none is known.

        The parameters are those of `record`.
        """
        shortest = min(self.shortest, self.shortest_before)
        return max(now - sent_s - shortest, 0)
