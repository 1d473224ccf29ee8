"""Estimates of run times by customer and kind."""

from array import array
from collections import OrderedDict
from dataclasses import dataclass, field
from math import exp, log

DEFAULT_MS = 300
"""Estimate for a kind without history or declaration: the middle of the usual
range of 50 ms to 1 s."""

MAX_PAIRS = 10_000
"""Number of pairs of customer and kind that are kept: about 1 KB each, 10 MB in
all."""

WINDOW_SIZE = 64
"""Recent runs kept for each pair. The mean over 64 runs with a standard
deviation of half the mean has a standard error of 6%."""

STRAGGLER_RATIO = 4
"""Runs above this multiple of the median are stragglers, unless there are more
than `MAX_STRAGGLER_SHARE` of them."""

MAX_STRAGGLER_SHARE = 0.1
"""If a larger share of the window is above the limit, such runs are normal for
the kind and are not left out."""

INITIAL_ERROR = 1.0
"""Root mean square error of the logarithm that is assumed for a source of
estimates before it has been checked: a factor of 2.7."""

SPEED_WEIGHT = 0.005
"""Weight of a new run in the moving mean of the logarithm of the speeds."""

_ERROR_WEIGHT = 0.1
_P90 = 0.9
_UPDATE_INTERVAL = 8
_MAX_LOG_ERROR = 4
_DEFAULT_SPREAD = 2
_SMALLEST_MS = 0.1
_LARGEST_MS = 1e8


@dataclass(frozen=True, slots=True)
class Estimate:
    """Mean and 90% quantile of the run time at speed 1.0, in milliseconds."""

    mean_ms: float
    p90_ms: float


class Estimator:
    """Estimates run times from history and declarations.

    There are two sources: the recent runs of the pair of customer and kind,
    and the declared time multiplied by the ratio of actual to declared time
    found in recent runs. Each is weighted by the inverse of its squared
    past error, so that declarations count the more, the more accurate they
    have been.

    Run times are normalised by the speed of the endpoint relative to the
    geometric mean of the speeds in the observed runs. The speeds of the
    endpoints are learnt from these estimates. Without the division by the
    mean, speeds and estimates could drift together by a common factor.

    Parameters
    ----------
    max_pairs : int
        Pairs of customer and kind that are kept. If there are more, the
        least recently observed one is dropped.

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
        self.pairs: OrderedDict[tuple[str, str], _PairHistory] = OrderedDict()
        self.log_speed: float = 0

    def estimate(
        self, customer: str, kind: str, declared_ms: float | None = None
    ) -> Estimate:
        """Estimate the run time at speed 1.0.

        `declared_ms` is the run time that the customer declared, if any.
        """
        pair = self.pairs.get((customer, kind)) or _PairHistory()
        return pair.estimate(_clamp_ms(declared_ms))

    def observe(
        self,
        customer: str,
        kind: str,
        declared_ms: float | None,
        run_ms: float,
        speed: float,
    ) -> None:
        """Add a run of `run_ms` at an endpoint of speed `speed`.

        Runs without a positive time or speed are ignored.
        """
        if run_ms <= 0 or speed <= 0:
            return
        self.log_speed += SPEED_WEIGHT * (log(speed) - self.log_speed)
        key = (customer, kind)
        pair = self.pairs.get(key)
        if pair is None:
            pair = _PairHistory()
            self.pairs[key] = pair
        self.pairs.move_to_end(key)
        work_ms = _clamp_ms(run_ms * speed / exp(self.log_speed))
        pair.observe(_clamp_ms(declared_ms), work_ms or _SMALLEST_MS)
        if len(self.pairs) > self.max_pairs:
            self.pairs.popitem(last=False)


@dataclass(slots=True)
class _Window:
    """Recent values of one quantity, with robust statistics.

    The statistics of a full window are updated at every eighth value only,
    as sorting the window took most of the time of `Estimator.observe`. `mean`
    leaves out stragglers if they are few; `p90` is the 90% quantile.
    """

    recent: array = field(default_factory=lambda: array('f'))
    position: int = 0
    mean: float = 0
    p90: float = 0

    def add(self, value: float) -> None:
        if len(self.recent) < WINDOW_SIZE:
            self.recent.append(value)
        else:
            self.recent[self.position] = value
            self.position = (self.position + 1) % WINDOW_SIZE
        if self.position % _UPDATE_INTERVAL == 0:
            self._update_statistics()

    def _update_statistics(self) -> None:
        ordered = sorted(self.recent)
        count = len(ordered)
        # The limit is based on the lower median, so that one of two runs can
        # count as a straggler.
        limit = ordered[(count - 1) // 2] * STRAGGLER_RATIO
        max_stragglers = max(1, int(count * MAX_STRAGGLER_SHARE))
        stragglers = sum(x > limit for x in ordered[-max_stragglers - 1 :])
        normal = ordered
        if 0 < stragglers <= max_stragglers:
            normal = ordered[: count - stragglers]
        self.mean = sum(normal) / len(normal)
        self.p90 = ordered[min(count - 1, int(count * _P90))]


@dataclass(slots=True)
class _SourceError:
    """Moving mean of the squared log error of one source of estimates."""

    error: float = INITIAL_ERROR**2

    def check(self, estimated: float, actual: float) -> None:
        error = _log_ratio(actual, estimated)
        error = max(min(error, _MAX_LOG_ERROR), -_MAX_LOG_ERROR)
        self.error += _ERROR_WEIGHT * (error**2 - self.error)


@dataclass(slots=True)
class _PairHistory:
    """Recent runs of one customer and kind.

    `ratios` are those of actual to declared run time.
    """

    runs: _Window = field(default_factory=_Window)
    ratios: _Window = field(default_factory=_Window)
    history: _SourceError = field(default_factory=_SourceError)
    declared: _SourceError = field(default_factory=_SourceError)

    def estimate(self, declared_ms: float | None) -> Estimate:
        mean_ms = self.runs.mean or DEFAULT_MS
        spread = _DEFAULT_SPREAD
        if self.runs.mean:
            spread = max(self.runs.p90 / self.runs.mean, 1)
        if declared_ms is None:
            return Estimate(mean_ms, mean_ms * spread)
        declared_weight = self.history.error / (
            self.history.error + self.declared.error
        )
        corrected_ms = declared_ms * (self.ratios.mean or 1)
        mean_ms *= exp(declared_weight * _log_ratio(corrected_ms, mean_ms))
        if self.ratios.mean:
            ratio_spread = max(self.ratios.p90 / self.ratios.mean, 1)
            spread += declared_weight * (ratio_spread - spread)
        return Estimate(mean_ms, mean_ms * spread)

    def observe(self, declared_ms: float | None, work_ms: float) -> None:
        self.history.check(self.runs.mean or DEFAULT_MS, work_ms)
        self.runs.add(work_ms)
        if declared_ms is not None:
            self.declared.check(declared_ms * (self.ratios.mean or 1), work_ms)
            self.ratios.add(work_ms / declared_ms)


def _clamp_ms(ms: float | None) -> float | None:
    if ms is None or not ms > 0:
        return None
    return min(max(ms, _SMALLEST_MS), _LARGEST_MS)


def _log_ratio(value: float, other: float) -> float:
    return log(value / other)
