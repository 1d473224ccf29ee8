"""Expected run times, learnt by customer and kind."""

from collections import OrderedDict
from dataclasses import dataclass

DEFAULT_MS = 300
"""Estimate for a kind without history or declaration: the middle of the
common range of 50 ms to 1 s."""

MAX_PAIRS = 10_000


@dataclass(frozen=True, slots=True)
class Estimate:
    """Expected run time at speed 1.0, in milliseconds."""

    mean_ms: float
    p90_ms: float


@dataclass(slots=True)
class _History:
    count: int = 0
    mean_ms: float = 0


class Estimator:
    """Estimates run times from history and declarations.

    Parameters
    ----------
    max_pairs : int
        Pairs of customer and kind that are kept; the least recently used
        one is dropped.
    """

    def __init__(self, max_pairs: int = MAX_PAIRS) -> None:
        self.max_pairs = max_pairs
        self.pairs: OrderedDict[tuple[str, str], _History] = OrderedDict()

    def estimate(
        self, customer: str, kind: str, declared_ms: float | None = None
    ) -> Estimate:
        """Return the expected run time at speed 1.0."""
        history = self.pairs.get((customer, kind))
        if history is None:
            mean_ms = declared_ms or DEFAULT_MS
        else:
            mean_ms = history.mean_ms
        return Estimate(mean_ms, 2 * mean_ms)

    def observe(
        self,
        customer: str,
        kind: str,
        declared_ms: float | None,
        run_ms: float,
        speed: float,
    ) -> None:
        """Learn from a run of `run_ms` at an endpoint of speed `speed`."""
        key = (customer, kind)
        history = self.pairs.setdefault(key, _History())
        self.pairs.move_to_end(key)
        history.count += 1
        weight = max(1 / history.count, 0.05)
        history.mean_ms += weight * (run_ms * speed - history.mean_ms)
        while len(self.pairs) > self.max_pairs:
            self.pairs.popitem(last=False)
