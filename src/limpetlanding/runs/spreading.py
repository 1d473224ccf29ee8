"""Spreads the orders of several fronts over workers of similar cost.

Each front decides on reports that are some 10 to 140 ms old and does not know
what the others order meanwhile. If all of them take the same best worker first,
the first orders to arrive fill it and the others are refused. So a front draws
two of the workers of similar cost at random and takes the one with more room.
"""

from collections.abc import Callable, Sequence
from random import Random
from typing import TypeVar

T = TypeVar('T')

SIMILAR_COST_FACTOR = 1.3
"""Cost relative to the lowest one up to which workers count as equally good.
The measured run times of equal executors differ by up to a fifth; data on
another rack costs a factor of 1.5 and must not be ignored."""

DRAWN_WORKERS = 2
"""Workers from which the one with most room is taken. With three, the same
workers are chosen more often and more orders are refused."""


def spread_order(
    candidates: Sequence[T],
    cost: Callable[[T], float],
    room: Callable[[T], int],
    rng: Random,
) -> list[T]:
    """Return the candidates in the order in which a front tries them.

    Parameters
    ----------
    candidates : sequence
        Workers that can run the task.
    cost : callable
        Expected cost at a worker; lower is better.
    room : callable
        Free resources of a worker.
    rng : random.Random
        Draws among the workers of similar cost; the others follow by cost.

    Examples
    --------
    >>> cost = {'a': 1.0, 'b': 2.0, 'c': 1.1}.get
    >>> room = {'a': 10, 'b': 90, 'c': 20}.get
    >>> spread_order('abc', cost, room, Random(1))
    ['c', 'a', 'b']
    """
    if len(candidates) < 2:
        return list(candidates)
    costs = {candidate: cost(candidate) for candidate in candidates}
    limit = SIMILAR_COST_FACTOR * min(costs.values())
    similar = [x for x in candidates if costs[x] <= limit]
    rest = [x for x in candidates if costs[x] > limit]
    rng.shuffle(similar)

    def preference(candidate: T) -> tuple[int, float]:
        return room(candidate), -costs[candidate]

    order = []
    while similar:
        best = max(similar[:DRAWN_WORKERS], key=preference)
        similar.remove(best)
        order.append(best)
    return order + sorted(rest, key=costs.__getitem__)
