"""Parser of JSON with comments; errors name file, line, key and unit."""

import json
import re
from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise
from json.decoder import JSONArray, JSONObject
from json.scanner import py_make_scanner
from pathlib import Path
from typing import Any, TypeVar

import jsonc
from pydantic import BaseModel, ValidationError

from limpetlanding.errors import LimpetlandingError

MAX_DOCUMENT_BYTES = 65_536
MAX_DOCUMENT_DEPTH = 16

UNITS = {
    'ms': 'milliseconds',
    's': 'seconds',
    'bytes': 'bytes',
    'per_second': 'a number per second',
}

# Also matches unterminated strings and comments. Otherwise hostile text would
# be searched again from every quote, which took a minute for 60 kB.
_TOKEN = re.compile(
    r'"(?:\\.|[^\\"])*(?:"|\\?\Z)|/\*.*?(?:\*/|\Z)|//[^\r\n]*', re.DOTALL
)
_STRING = re.compile(r'"(?:\\.|[^\\"])*"', re.DOTALL)
_SUFFIX = re.compile('_(per_second|ms|s|bytes)$')

_KeyPath = tuple[str | int, ...]
_Model = TypeVar('_Model', bound=BaseModel)


@dataclass(frozen=True, slots=True)
class Problem:
    """One error in a document.

    Parameters
    ----------
    file : str
        Path or name of the document.
    line : int
        Line of the key, counted from 1.
    key : str
        Path of the key, such as ``limits.tasks_at_once``.
    detail : str
        What is wrong.
    unit : str
        Unit that the key expects; empty if it has none.

    Examples
    --------
    >>> str(Problem('a.json', 3, 'retention_s', 'not a number', 'seconds'))
    'a.json:3: retention_s: not a number (expected unit: seconds)'
    """

    file: str
    line: int
    key: str
    detail: str
    unit: str = ''

    def __str__(self) -> str:
        where = f'{self.file}:{self.line}: '
        key = f'{self.key}: ' if self.key else ''
        unit = f' (expected unit: {self.unit})' if self.unit else ''
        return f'{where}{key}{self.detail}{unit}'


class DocumentError(LimpetlandingError):
    """A document cannot be read or is not valid.

    The attribute `problems` lists every error.
    """

    def __init__(self, problems: Iterable[Problem]) -> None:
        self.problems = tuple(problems)
        super().__init__(
            '; '.join(map(str, self.problems)),
            step='read document',
            peer=self.problems[0].file if self.problems else '',
        )


@dataclass(slots=True)
class Document:
    """Decoded document with the line of each key and array item."""

    file: str
    data: Any
    lines: dict[_KeyPath, int] = field(default_factory=dict)

    def line(self, path: _KeyPath) -> int:
        """Return the line of `path`, or of its nearest parent with a line."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


@dataclass(slots=True)
class _PositionedValue:
    # A decoded value and its position in the text without comments.
    value: Any
    position: int


def unit_of(key: str) -> str:
    """Return the unit that the suffix of `key` stands for, or ``''``.

    Examples
    --------
    >>> unit_of('retention_s'), unit_of('host')
    ('seconds', '')
    """
    match = _SUFFIX.search(key)
    return UNITS[match[1]] if match else ''


def parse_document(text: str, file: str) -> Document:
    """Return the decoded document with the lines of its keys.

    Parameters
    ----------
    text : str
        JSON with comments; at most `MAX_DOCUMENT_BYTES` in UTF-8, nested at
        most `MAX_DOCUMENT_DEPTH` deep.
    file : str
        Name of the document in error messages.

    Raises
    ------
    DocumentError
        If the text is too long, nested too deep or not JSON with comments,
        or if a key is repeated.

    Examples
    --------
    >>> parse_document('{// names' + chr(10) + '"a": 1}', 'x.json').lines
    {('a',): 2}
    """
    _check_size(text, file)
    string_lines = _find_string_lines(text, file)
    decoded = _decode(text, file, string_lines)
    document = Document(file, None)
    line_finder = _LineFinder(decoded[1], string_lines)
    problems: list[Problem] = []
    document.data = _to_plain_value(
        decoded[0], (), document, line_finder, problems
    )
    if problems:
        raise DocumentError(problems)
    return document


def read_document(path: str | Path) -> Document:
    """Return the document in a file.

    Raises
    ------
    DocumentError
        If the file cannot be read or is not valid.
    """
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise DocumentError([Problem(str(path), 1, '', str(error))]) from error
    return parse_document(text, str(path))


def validate(document: Document, model: type[_Model]) -> _Model:
    """Return the data of `document` as an instance of `model`.

    Raises
    ------
    DocumentError
        If a key is unknown or missing, or a value or unit is wrong.
    """
    try:
        return model.model_validate(document.data)
    except ValidationError as error:
        raise DocumentError(
            _to_problem(document, dict(item), model) for item in error.errors()
        ) from error


class _LineFinder:
    # Finds the lines of positions in the text that is decoded. Comments and
    # the line ends in them are removed from it, so that lines cannot be
    # counted there. The strings keep their order, so the n-th string of this
    # text is on the line of the n-th string of the original text.
    def __init__(self, decoded: str, string_lines: list[int]) -> None:
        self.string_starts = [
            token.start()
            for token in _TOKEN.finditer(decoded)
            if token[0].startswith('"')
        ]
        self.string_lines = string_lines

    def line_before(self, position: int) -> int:
        """Return the line of the last string before `position`."""
        ordinal = bisect_left(self.string_starts, position) - 1
        if 0 <= ordinal < len(self.string_lines):
            return self.string_lines[ordinal]
        return 1


class _Decoder(json.JSONDecoder):
    # The decoder of the standard library, extended by the position of each
    # value. It also returns the text that it decodes.
    def __init__(self, **options: Any) -> None:
        options['object_pairs_hook'] = _ObjectItems
        super().__init__(**options)
        self.text = ''
        self.parse_object = self._object
        self.parse_array = self._array
        self.parse_constant = _reject_constant
        self.scan_once = py_make_scanner(self)

    def decode(self, s: str, *args: Any) -> Any:
        return super().decode(s, *args), s

    def _object(self, start, strict, scan, *hooks):
        return JSONObject(start, strict, _with_positions(scan), *hooks)

    def _array(self, start, scan):
        return JSONArray(start, _with_positions(scan))


@dataclass(slots=True)
class _ObjectItems:
    # Keys and values of one object; repeated keys are kept.
    pairs: list[tuple[str, _PositionedValue]]


def _with_positions(scan):
    def scan_with_position(text: str, position: int):
        value, end = scan(text, position)
        return _PositionedValue(value, position), end

    return scan_with_position


def _reject_constant(name: str) -> None:
    raise ValueError(f'{name} is not JSON')


def _check_size(text: str, file: str) -> None:
    size = len(text.encode(errors='surrogatepass'))
    if size > MAX_DOCUMENT_BYTES:
        detail = f'{size} bytes, more than the limit of {MAX_DOCUMENT_BYTES}'
        raise DocumentError([Problem(file, 1, '', detail, 'bytes')])


def _find_string_lines(text: str, file: str) -> list[int]:
    """Return the line of each string in `text`, in order."""
    lines = []
    for token in _TOKEN.finditer(text):
        line = text.count('\n', 0, token.start()) + 1
        if not _is_closed(token[0]):
            raise DocumentError(
                [
                    Problem(
                        file, line, '', 'text of a string or comment has no end'
                    )
                ]
            )
        if token[0].startswith('"'):
            lines.append(line)
    return lines


def _is_closed(token: str) -> bool:
    if token.startswith('/*'):
        return token.endswith('*/') and len(token) > len('/**')
    return token.startswith('//') or _STRING.fullmatch(token) is not None


def _decode(text: str, file: str, string_lines: list[int]) -> tuple[Any, str]:
    try:
        return jsonc.loads(text, cls=_Decoder)
    except json.JSONDecodeError as error:
        line = _LineFinder(error.doc, string_lines).line_before(error.pos + 1)
        detail = f'not JSON: {error.msg} (after the key or text on this line)'
    except RecursionError:
        line, detail = 1, f'nested deeper than {MAX_DOCUMENT_DEPTH}'
    except ValueError as error:
        line, detail = 1, str(error)
    raise DocumentError([Problem(file, line, '', detail)])


def _to_plain_value(value, path, document, line_finder, problems):
    """Return a decoded value without positions.

    The lines of its items are added to `document`, repeated keys to
    `problems`.
    """
    if len(path) > MAX_DOCUMENT_DEPTH:
        detail = f'nested deeper than {MAX_DOCUMENT_DEPTH}'
        key = '.'.join(map(str, path))
        raise DocumentError([Problem(document.file, 1, key, detail)])
    if isinstance(value, _ObjectItems):
        items = value.pairs
        _check_repeated_keys(items, path, document.file, line_finder, problems)
    elif isinstance(value, list):
        items = enumerate(value)
    else:
        return value
    result = {}
    for key, item in items:
        item_path = (*path, key)
        # An object value gets the line of its key. An array item gets its own
        # line if it is a string, else that of the last string before it.
        position = item.position + isinstance(key, int)
        document.lines[item_path] = line_finder.line_before(position)
        result[key] = _to_plain_value(
            item.value, item_path, document, line_finder, problems
        )
    return result if isinstance(value, _ObjectItems) else list(result.values())


def _check_repeated_keys(pairs, path, file, line_finder, problems) -> None:
    by_key = sorted(pairs, key=lambda pair: pair[0])
    for (first, _), (second, item) in pairwise(by_key):
        if first == second:
            key = '.'.join(map(str, (*path, second)))
            line = line_finder.line_before(item.position)
            problems.append(Problem(file, line, key, 'key is repeated'))


def _to_problem(document: Document, error: dict, model) -> Problem:
    path = tuple(error['loc'])
    key = str(path[-1]) if path else ''
    unit = unit_of(key)
    detail = error['msg']
    if error['type'] == 'extra_forbidden':
        known = _sibling_fields(model, path)
        detail, unit = _unknown_key(key, known)
    elif error['type'] == 'missing':
        detail = 'key is missing'
    line = document.line(path)
    name = '.'.join(map(str, path))
    return Problem(document.file, line, name, detail, unit)


def _unknown_key(key: str, known: Iterable[str]) -> tuple[str, str]:
    stem = _SUFFIX.sub('', key)
    for name in known:
        if _SUFFIX.sub('', name) == stem:
            return f'unknown key, use {name}', unit_of(name)
    names = ', '.join(sorted(known))
    return f'unknown key, known keys are {names}', ''


def _sibling_fields(model, path: _KeyPath) -> list[str]:
    """Return the fields of the model that contains the key at `path`."""
    for step in path[:-1]:
        field_info = model.model_fields.get(step) if model else None
        model = _nested_model(field_info.annotation) if field_info else None
    return list(model.model_fields) if model else []


def _nested_model(annotation):
    candidates = (annotation, *getattr(annotation, '__args__', ()))
    for candidate in candidates:
        if isinstance(candidate, type) and issubclass(candidate, BaseModel):
            return candidate
    return None
