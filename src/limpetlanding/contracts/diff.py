"""Differences between two contracts."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Change:
    """One field that differs; a missing field has the value None."""

    field: str
    old: Any
    new: Any

    def __str__(self) -> str:
        return f'{self.field}: {self.old!r} -> {self.new!r}'


def diff(old: Mapping[str, Any], new: Mapping[str, Any]) -> list[Change]:
    """Return the fields in which two contracts differ, in field order.

    Examples
    --------
    >>> diff({'limits': {'a': 1}, 'b': 2}, {'limits': {'a': 3}, 'b': 2})
    [Change(field='limits.a', old=1, new=3)]
    """
    return list(_changes(old, new, ''))


def _changes(old, new, prefix: str) -> Iterator[Change]:
    for key in sorted({*old, *new}):
        before, after = old.get(key), new.get(key)
        if isinstance(before, Mapping) and isinstance(after, Mapping):
            yield from _changes(before, after, f'{prefix}{key}.')
        elif before != after:
            yield Change(f'{prefix}{key}', before, after)
