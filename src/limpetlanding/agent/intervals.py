"""Set of numbers that uses little memory if most are contiguous."""

from bisect import bisect_right
from collections.abc import Iterable


class IntervalSet:
    """Set of numbers, stored as at most `limit` closed intervals.

    When there are more intervals, the two lowest ones are merged; the numbers
    between them count as members from then on.

    Parameters
    ----------
    limit : int
        Maximum number of intervals.

    Examples
    --------
    >>> numbers = IntervalSet()
    >>> for number in (1, 2, 4, 3, 9):
    ...     numbers.add(number)
    >>> numbers.intervals
    [(1, 4), (9, 9)]
    >>> 3 in numbers, 5 in numbers
    (True, False)
    """

    def __init__(
        self, intervals: Iterable[tuple[int, int]] = (), limit: int = 50_000
    ) -> None:
        self.limit = limit
        self.firsts: list[int] = []
        self.lasts: list[int] = []
        for first, last in intervals:
            self.firsts.append(first)
            self.lasts.append(last)

    def __contains__(self, number: int) -> bool:
        index = bisect_right(self.firsts, number) - 1
        return index >= 0 and number <= self.lasts[index]

    @property
    def intervals(self) -> list[tuple[int, int]]:
        """All intervals as (first, last), ascending."""
        return list(zip(self.firsts, self.lasts, strict=True))

    def add(self, number: int) -> None:
        """Add one number."""
        if number in self:
            return
        index = bisect_right(self.firsts, number)
        self.firsts.insert(index, number)
        self.lasts.insert(index, number)
        if (
            index + 1 < len(self.firsts)
            and self.firsts[index + 1] == number + 1
        ):
            self._merge_with_next(index)
        if index and self.lasts[index - 1] == number - 1:
            self._merge_with_next(index - 1)
        while len(self.firsts) > self.limit:
            self._merge_with_next(0)

    def _merge_with_next(self, index: int) -> None:
        del self.firsts[index + 1]
        del self.lasts[index]
