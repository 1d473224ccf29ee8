"""Expected run times, learnt by customer and kind."""

from array import array
from collections import OrderedDict
from dataclasses import dataclass, field
from math import exp, log

DEFAULT_MS = 300
"""Estimate for a kind without history or declaration: the middle of the
common range of 50 ms to 1 s."""

MAX_PAIRS = 10_000
"""About 1 KB each, so 10 MB at most."""

WINDOW = 64
"""Recent runs kept for each pair. The mean over 64 runs with a standard
deviation of half the mean is off by 6%."""

STRAGGLER = 4
"""Runs above this multiple of the median are stragglers if they are few."""

MAX_STRAGGLER_SHARE = 0.1
"""Runs above the limit are a normal part of the kind if they are more than
this share of the window."""

UNPROVED_ERROR = 1.0
"""Root mean square error, in the logarithm, that a source is taken to have
before it has been checked: a factor of 2.7."""

SPEED_WEIGHT = 0.005

_ERROR_WEIGHT = 0.1
_P90 = 0.9
_SUM_UP_EVERY = 8
_MAX_LOG_ERROR = 4
_DEFAULT_SPREAD = 2
_SMALLEST_MS = 0.1
_LARGEST_MS = 1e8


@dataclass(frozen=True, slots=True)
class Estimate:
    """Expected run time at speed 1.0, in milliseconds."""

    mean_ms: float
    p90_ms: float


class Estimator:
    """Estimates run times from history and declarations.

    There are two sources: the recent runs of the pair of customer and kind,
    and the declared time multiplied by the ratio of actual to declared time
    found in recent runs. Each is weighted by the inverse of its squared
    error so far, so a declaration counts as much as it has proved right.

    Run times are normalised by the endpoint's speed relative to the mean
    speed (in the logarithm) of all observed runs. Endpoint speeds are
    themselves learnt from these estimates; without that anchor the two could
    drift by a common factor.

    Parameters
    ----------
    max_pairs : int
        Pairs of customer and kind that are kept; the least recently
        observed one is dropped.

    Examples
    --------
    >>> estimator = Estimator()
    >>> for run_ms in (90, 110, 100, 9000):
    ...     estimator.observe('quotes', 'price', None, run_ms, speed=1.0)
    >>> round(estimator.estimate('quotes', 'price').mean_ms)
    100
    """

    def __init__(self, max_pairs: int = MAX_PAIRS) -> None:
        self.max_pairs = max_pairs
        self.pairs: OrderedDict[tuple[str, str], _Pair] = OrderedDict()
        self.log_speed: float = 0

    def estimate(
        self, customer: str, kind: str, declared_ms: float | None = None
    ) -> Estimate:
        """Return the expected run time at speed 1.0."""
        pair = self.pairs.get((customer, kind)) or _Pair()
        return pair.estimate(_plausible(declared_ms))

    def observe(
        self,
        customer: str,
        kind: str,
        declared_ms: float | None,
        run_ms: float,
        speed: float,
    ) -> None:
        """Learn from a run of `run_ms` at an endpoint of speed `speed`."""
        if run_ms <= 0 or speed <= 0:
            return
        self.log_speed += SPEED_WEIGHT * (log(speed) - self.log_speed)
        key = (customer, kind)
        pair = self.pairs.get(key)
        if pair is None:
            pair = _Pair()
            self.pairs[key] = pair
        self.pairs.move_to_end(key)
        work_ms = _plausible(run_ms * speed / exp(self.log_speed))
        pair.observe(_plausible(declared_ms), work_ms or _SMALLEST_MS)
        if len(self.pairs) > self.max_pairs:
            self.pairs.popitem(last=False)


@dataclass(slots=True)
class _Window:
    """The last values of one quantity, summed up robustly.

    A full window is summed up at every eighth value only: sorting it took
    most of the time of `Estimator.observe`.
    """

    recent: array = field(default_factory=lambda: array('f'))
    position: int = 0
    mean: float = 0
    p90: float = 0

    def add(self, value: float) -> None:
        if len(self.recent) < WINDOW:
            self.recent.append(value)
        else:
            self.recent[self.position] = value
            self.position = (self.position + 1) % WINDOW
        if self.position % _SUM_UP_EVERY == 0:
            self._sum_up()

    def _sum_up(self) -> None:
        ordered = sorted(self.recent)
        count = len(ordered)
        # The lower median, so that one of two runs can be a straggler.
        limit = ordered[(count - 1) // 2] * STRAGGLER
        most = max(1, int(count * MAX_STRAGGLER_SHARE))
        stragglers = sum(x > limit for x in ordered[-most - 1 :])
        normal = ordered
        if 0 < stragglers <= most:
            normal = ordered[: count - stragglers]
        self.mean = sum(normal) / len(normal)
        self.p90 = ordered[min(count - 1, int(count * _P90))]


@dataclass(slots=True)
class _Source:
    """Error of one source of estimates, in the logarithm, squared."""

    error: float = UNPROVED_ERROR**2

    def check(self, estimated: float, actual: float) -> None:
        error = _log_ratio(actual, estimated)
        error = max(min(error, _MAX_LOG_ERROR), -_MAX_LOG_ERROR)
        self.error += _ERROR_WEIGHT * (error**2 - self.error)


@dataclass(slots=True)
class _Pair:
    """What is known of one customer and kind."""

    runs: _Window = field(default_factory=_Window)
    ratios: _Window = field(default_factory=_Window)
    history: _Source = field(default_factory=_Source)
    declared: _Source = field(default_factory=_Source)

    def estimate(self, declared_ms: float | None) -> Estimate:
        mean_ms = self.runs.mean or DEFAULT_MS
        spread = _DEFAULT_SPREAD
        if self.runs.mean:
            spread = max(self.runs.p90 / self.runs.mean, 1)
        if declared_ms is None:
            return Estimate(mean_ms, mean_ms * spread)
        trust = self.history.error / (self.history.error + self.declared.error)
        corrected_ms = declared_ms * (self.ratios.mean or 1)
        mean_ms *= exp(trust * _log_ratio(corrected_ms, mean_ms))
        if self.ratios.mean:
            ratio_spread = max(self.ratios.p90 / self.ratios.mean, 1)
            spread += trust * (ratio_spread - spread)
        return Estimate(mean_ms, mean_ms * spread)

    def observe(self, declared_ms: float | None, work_ms: float) -> None:
        self.history.check(self.runs.mean or DEFAULT_MS, work_ms)
        self.runs.add(work_ms)
        if declared_ms is not None:
            self.declared.check(declared_ms * (self.ratios.mean or 1), work_ms)
            self.ratios.add(work_ms / declared_ms)


def _plausible(ms: float | None) -> float | None:
    if ms is None or not ms > 0:
        return None
    return min(max(ms, _SMALLEST_MS), _LARGEST_MS)


def _log_ratio(value: float, other: float) -> float:
    return log(value / other)
