"""JSON with comments whose errors name file, line, key and unit."""

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

# Also matches a string or comment without end, so that hostile text is not
# searched again from every quote (60 kB took a minute).
_TOKEN = re.compile(
    r'"(?:\\.|[^\\"])*(?:"|\\?\Z)|/\*.*?(?:\*/|\Z)|//[^\r\n]*', re.DOTALL
)
_STRING = re.compile(r'"(?:\\.|[^\\"])*"', re.DOTALL)
_SUFFIX = re.compile('_(per_second|ms|s|bytes)$')

_Path = tuple[str | int, ...]
_Model = TypeVar('_Model', bound=BaseModel)


@dataclass(frozen=True, slots=True)
class Problem:
    """One error in a document.

    Parameters
    ----------
    file : str
        Path or name of the document.
    line : int
        Line of the key, from 1.
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
    """A document is not valid; `problems` lists every error."""

    def __init__(self, problems: Iterable[Problem]) -> None:
        self.problems = tuple(problems)
        super().__init__(
            '; '.join(map(str, self.problems)),
            step='read document',
            peer=self.problems[0].file if self.problems else '',
        )


@dataclass(slots=True)
class Document:
    """Decoded document with the line of each key and item."""

    file: str
    data: Any
    lines: dict[_Path, int] = field(default_factory=dict)

    def line(self, path: _Path) -> int:
        """Return the line of `path`, or of its nearest known parent."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


@dataclass(slots=True)
class _Located:
    # A decoded value together with its position in the decoded text.
    value: Any
    position: int


def unit_of(key: str) -> str:
    """Return the unit that the suffix of `key` names, or an empty text.

    Examples
    --------
    >>> unit_of('retention_s'), unit_of('host')
    ('seconds', '')
    """
    match = _SUFFIX.search(key)
    return UNITS[match[1]] if match else ''


def parse_document(text: str, file: str) -> Document:
    """Return the JSON document with comments that is written in `text`.

    Parameters
    ----------
    text : str
        At most `MAX_DOCUMENT_BYTES` in UTF-8, nested at most
        `MAX_DOCUMENT_DEPTH` deep.
    file : str
        Name for error messages.

    Raises
    ------
    DocumentError
        If the text is too long or too deep, is not JSON with comments,
        or repeats a key.

    Examples
    --------
    >>> parse_document('{// names' + chr(10) + '"a": 1}', 'x.json').lines
    {('a',): 2}
    """
    _check_size(text, file)
    original = _string_lines(text, file)
    decoded = _decode(text, file, original)
    document = Document(file, None)
    lines = _Lines(decoded[1], original)
    problems: list[Problem] = []
    document.data = _unwrap(decoded[0], (), document, lines, problems)
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
    """Return `document` as a `model`.

    Raises
    ------
    DocumentError
        If a key is unknown or missing, or a value or unit is wrong.
    """
    try:
        return model.model_validate(document.data)
    except ValidationError as error:
        raise DocumentError(
            _problem(document, dict(item), model) for item in error.errors()
        ) from error


class _Lines:
    # Comments are removed before decoding, with their line ends, so lines
    # are found through the strings, which keep their order.
    def __init__(self, decoded: str, original: list[int]) -> None:
        self.starts = [
            token.start()
            for token in _TOKEN.finditer(decoded)
            if token[0].startswith('"')
        ]
        self.original = original

    def before(self, position: int) -> int:
        """Return the line of the last string before `position`."""
        ordinal = bisect_left(self.starts, position) - 1
        if 0 <= ordinal < len(self.original):
            return self.original[ordinal]
        return 1


class _Decoder(json.JSONDecoder):
    # The decoder of the standard library, with positions of the values.
    def __init__(self, **options: Any) -> None:
        options['object_pairs_hook'] = _Pairs
        super().__init__(**options)
        self.text = ''
        self.parse_object = self._object
        self.parse_array = self._array
        self.parse_constant = _refuse_constant
        self.scan_once = py_make_scanner(self)

    def decode(self, s: str, *args: Any) -> Any:
        return super().decode(s, *args), s

    def _object(self, start, strict, scan, *hooks):
        return JSONObject(start, strict, _located(scan), *hooks)

    def _array(self, start, scan):
        return JSONArray(start, _located(scan))


@dataclass(slots=True)
class _Pairs:
    # Keys and values of one object, with repeated keys.
    pairs: list[tuple[str, _Located]]


def _located(scan):
    def scan_with_position(text: str, position: int):
        value, end = scan(text, position)
        return _Located(value, position), end

    return scan_with_position


def _refuse_constant(name: str) -> None:
    raise ValueError(f'{name} is not JSON')


def _check_size(text: str, file: str) -> None:
    size = len(text.encode(errors='surrogatepass'))
    if size > MAX_DOCUMENT_BYTES:
        detail = f'{size} bytes are too long, at most {MAX_DOCUMENT_BYTES}'
        raise DocumentError([Problem(file, 1, '', detail, 'bytes')])


def _string_lines(text: str, file: str) -> list[int]:
    lines = []
    for token in _TOKEN.finditer(text):
        line = text.count('\n', 0, token.start()) + 1
        if not _is_closed(token[0]):
            raise DocumentError([Problem(file, line, '', 'no end of text')])
        if token[0].startswith('"'):
            lines.append(line)
    return lines


def _is_closed(token: str) -> bool:
    if token.startswith('/*'):
        return token.endswith('*/') and len(token) > len('/**')
    return token.startswith('//') or _STRING.fullmatch(token) is not None


def _decode(text: str, file: str, original: list[int]) -> tuple[Any, str]:
    try:
        return jsonc.loads(text, cls=_Decoder)
    except json.JSONDecodeError as error:
        line = _Lines(error.doc, original).before(error.pos + 1)
        detail = f'not JSON: {error.msg} (after the key or text on this line)'
    except RecursionError:
        line, detail = 1, f'nested deeper than {MAX_DOCUMENT_DEPTH}'
    except ValueError as error:
        line, detail = 1, str(error)
    raise DocumentError([Problem(file, line, '', detail)])


def _unwrap(value, path, document, lines, problems):
    if len(path) > MAX_DOCUMENT_DEPTH:
        detail = f'nested deeper than {MAX_DOCUMENT_DEPTH}'
        key = '.'.join(map(str, path))
        raise DocumentError([Problem(document.file, 1, key, detail)])
    if isinstance(value, _Pairs):
        items = value.pairs
        _check_keys(items, path, document.file, lines, problems)
    elif isinstance(value, list):
        items = enumerate(value)
    else:
        return value
    result = {}
    for key, item in items:
        inner = (*path, key)
        position = item.position + isinstance(key, int)
        document.lines[inner] = lines.before(position)
        result[key] = _unwrap(item.value, inner, document, lines, problems)
    return result if isinstance(value, _Pairs) else list(result.values())


def _check_keys(pairs, path, file, lines, problems) -> None:
    by_key = sorted(pairs, key=lambda pair: pair[0])
    for (first, _), (second, item) in pairwise(by_key):
        if first == second:
            key = '.'.join(map(str, (*path, second)))
            line = lines.before(item.position)
            problems.append(Problem(file, line, key, 'key is repeated'))


def _problem(document: Document, error: dict, model) -> Problem:
    path = tuple(error['loc'])
    key = str(path[-1]) if path else ''
    unit = unit_of(key)
    detail = error['msg']
    if error['type'] == 'extra_forbidden':
        known = _fields_beside(model, path)
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
            return f'unknown key, write {name}', unit_of(name)
    names = ', '.join(sorted(known))
    return f'unknown key, known are {names}', ''


def _fields_beside(model, path: _Path) -> list[str]:
    for step in path[:-1]:
        field_info = model.model_fields.get(step) if model else None
        model = _model_in(field_info.annotation) if field_info else None
    return list(model.model_fields) if model else []


def _model_in(annotation):
    candidates = (annotation, *getattr(annotation, '__args__', ()))
    for candidate in candidates:
        if isinstance(candidate, type) and issubclass(candidate, BaseModel):
            return candidate
    return None
