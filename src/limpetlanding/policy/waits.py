"""Prediction of the waiting time in the queue of an executor."""

from dataclasses import dataclass

TYPICAL_SHORT_MS = 300
"""Typical run time of short tasks, which run for 50 ms to 1 s."""

TYPICAL_LONG_MS = 3000

SHORT_RESERVED_SHARE = 0.25
"""Share of the slots that long work cannot use. A quarter lets short work run
while all other slots are busy with tasks of seconds. The other 75% are what
long work needs in the benchmark ``head-of-line``, where it takes about 40% of
the capacity."""


@dataclass(slots=True)
class SlotLoad:
    """Load of a group of slots, as known to its queue or to an entry.

    `busy` is the number of running tasks, and `long_busy` the number of those
    in the long class. Queued work is the sum of expected run times at speed
    1.0, in ms. `fresh` is the number of busy slots whose task has just
    started: they become free after a whole run time, while the other tasks
    are at a random point of their run time.
    """

    slots: int
    speed: float
    busy: int
    long_busy: int
    queued_short_ms: float
    queued_long_ms: float
    fresh: int = 0


def long_slots(slots: int) -> int:
    """Return how many of the slots long work may use.

    Examples
    --------
    >>> [long_slots(slots) for slots in (0, 1, 2, 4, 8, 64)]
    [0, 1, 1, 3, 6, 48]
    """
    if slots <= 1:
        return slots
    return slots - max(1, int(slots * SHORT_RESERVED_SHARE))


def predict_wait_ms(load: SlotLoad, is_long: bool) -> float:
    """Predict how long a task that joins the queue now will wait, in ms.

    Short work waits for the queued short work and until the next slot is
    free. Long work waits for all queued work and until a slot is free that
    long work may use. Without slots the wait is infinite.

    Examples
    --------
    >>> idle = SlotLoad(8, 1.0, 0, 0, 0, 0)
    >>> predict_wait_ms(idle, is_long=True)
    0
    >>> full = SlotLoad(8, 2.0, 8, 0, 1600, 0)
    >>> predict_wait_ms(full, is_long=False) > 1600 / (8 * 2.0)
    True
    """
    if load.slots == 0:
        return float('inf')
    if is_long:
        return _long_wait_ms(load)
    if load.busy < load.slots:
        return 0
    return short_wait_ms(load)


def short_wait_ms(load: SlotLoad) -> float:
    """Predict the wait of a short task when no slot is free, in ms."""
    short_slots = max(load.slots - load.long_busy, 1)
    residual_ms = TYPICAL_SHORT_MS / (max(short_slots - load.fresh, 0) + 1)
    return (load.queued_short_ms / short_slots + residual_ms) / load.speed


def _long_wait_ms(load: SlotLoad) -> float:
    allowed_slots = long_slots(load.slots)
    blocked = load.long_busy >= allowed_slots
    if not blocked and load.busy < load.slots:
        return 0
    residual_ms = TYPICAL_LONG_MS if blocked else TYPICAL_SHORT_MS
    residual_ms /= allowed_slots + 1
    ahead_ms = load.queued_short_ms / load.slots
    ahead_ms += load.queued_long_ms / allowed_slots
    return (ahead_ms + residual_ms) / load.speed
