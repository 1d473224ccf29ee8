"""Predicted waiting time in the queue of an executor."""

from dataclasses import dataclass

TYPICAL_SHORT_MS = 300
"""Middle of the common run times, 50 ms to 1 s."""

TYPICAL_LONG_MS = 3000

RESERVED_SHARE = 0.25
"""Share of the slots that long work cannot take. A quarter leaves long work
the 75% that it needs at the head-of-line load (about 40% of capacity in long
work) and lets short work pass when all other slots hold tasks of seconds."""


@dataclass(slots=True)
class SlotLoad:
    """Load of a group of slots, as its queue or an entry knows it.

    `busy` counts running tasks, `long_busy` those of the long class;
    queued work is the sum of expected run times at speed 1.0 in ms. `fresh`
    counts the busy slots whose task has just started: none of them comes
    free before a whole run time, while the others are at a random point.
    """

    slots: int
    speed: float
    busy: int
    long_busy: int
    queued_short_ms: float
    queued_long_ms: float
    fresh: int = 0


def long_slots(slots: int) -> int:
    """Return how many slots long work may occupy.

    Examples
    --------
    >>> [long_slots(slots) for slots in (0, 1, 2, 4, 8, 64)]
    [0, 1, 1, 3, 6, 48]
    """
    if slots <= 1:
        return slots
    return slots - max(1, int(slots * RESERVED_SHARE))


def predict_wait_ms(load: SlotLoad, is_long: bool) -> float:
    """Predict how long a task that joins the queue now will wait, in ms.

    Short work waits for the queued short work and for the next slot to come
    free; long work waits for all queued work and for a slot that long work
    may take.

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
    turning = max(load.slots - load.long_busy, 1)
    residual_ms = TYPICAL_SHORT_MS / (max(turning - load.fresh, 0) + 1)
    return (load.queued_short_ms / turning + residual_ms) / load.speed


def _long_wait_ms(load: SlotLoad) -> float:
    allowed = long_slots(load.slots)
    blocked = load.long_busy >= allowed
    if not blocked and load.busy < load.slots:
        return 0
    residual_ms = TYPICAL_LONG_MS if blocked else TYPICAL_SHORT_MS
    residual_ms /= allowed + 1
    ahead_ms = load.queued_short_ms / load.slots
    ahead_ms += load.queued_long_ms / allowed
    return (ahead_ms + residual_ms) / load.speed
