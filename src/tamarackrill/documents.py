"""JSON files whose values know the line they stand on.

A finding about a contract names the line and the field, so that an operator finds
a fault in a long file at once.  The standard library's JSON parser does the work;
this module only notes where each value began.
"""

import json
from json import decoder, scanner
from typing import Any, NamedTuple

from tamarackrill.exceptions import Finding, FindingsError
from tamarackrill.text_files import read_text

FieldPath = tuple[str | int, ...]


class Document(NamedTuple):
    """A parsed JSON text.

    Parameters
    ----------
    name : str
        Name of the file, or of the place that the text came from.
    value : object
        The parsed value.
    lines : dict
        Line, counted from 1, of the value at each path of fields.
    findings : tuple of Finding
        Faults that the parser would pass over, such as a field given twice.
    """

    name: str
    value: Any
    lines: dict[FieldPath, int]
    findings: tuple[Finding, ...] = ()

    def place(self, path: FieldPath) -> str:
        """Return ``file:line: field`` for the value at `path`."""
        known = path
        while known and known not in self.lines:
            known = known[:-1]
        line = self.lines.get(known)
        parts = [f"{self.name}:{line}" if line else self.name]
        if path:
            parts.append(format_path(path))
        return ": ".join(parts)


class _Placed(NamedTuple):
    value: Any
    start: int


class _Fields(NamedTuple):
    pairs: list[tuple[str, _Placed]]


class _PlacingDecoder(json.JSONDecoder):
    """The library's decoder, whose values carry the index that they began at."""

    def __init__(self) -> None:
        super().__init__(object_pairs_hook=_Fields, parse_constant=_refuse_constant)
        # The library hands its own scanner down to nested values; both parsers are
        # wrapped so that nested values go through `_scan` and get their index too.
        self.parse_object = self._parse_object
        self.parse_array = self._parse_array
        self._scan_value = scanner.py_make_scanner(self)  # type: ignore[attr-defined]
        self.scan_once = self._scan

    def _scan(self, text: str, index: int) -> tuple[_Placed, int]:
        value, end = self._scan_value(text, index)
        return _Placed(value, index), end

    def _parse_object(self, text_and_end: Any, strict: bool, _: Any, *rest: Any) -> Any:
        parse = decoder.JSONObject  # type: ignore[attr-defined]
        return parse(text_and_end, strict, self._scan, *rest)

    def _parse_array(self, text_and_end: Any, _: Any, *rest: Any) -> Any:
        parse = decoder.JSONArray  # type: ignore[attr-defined]
        return parse(text_and_end, self._scan, *rest)


def _refuse_constant(name: str) -> Any:
    raise ValueError(f"{name} is no JSON number")


def format_path(path: FieldPath) -> str:
    """Return a path of fields as ``calls[0].method``."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.removeprefix(".")


def parse_document(name: str, text: str) -> Document:
    """Return the parsed text.

    Parameters
    ----------
    name : str
        Named in findings.
    text : str
        JSON text.

    Returns
    -------
    Document

    Raises
    ------
    FindingsError
        If the text is no JSON; names the line.
    """
    try:
        placed = _PlacingDecoder().decode(text)
    except json.JSONDecodeError as error:
        place = f"{name}:{error.lineno}"
        raise FindingsError([Finding(place, f"no JSON: {error.msg}")]) from error
    except (ValueError, RecursionError) as error:
        raise FindingsError([Finding(name, f"no JSON: {error}")]) from error
    lines: dict[FieldPath, int] = {}
    findings: list[Finding] = []
    value = _unwrap(placed, (), text, name, lines, findings)
    return Document(name, value, lines, tuple(findings))


def read_document(path: str) -> Document:
    """Return the parsed file.

    Raises
    ------
    FindingsError
        If the file can't be read or is no JSON.
    """
    return parse_document(path, read_text(path))


def _unwrap(
    placed: _Placed,
    path: FieldPath,
    text: str,
    name: str,
    lines: dict[FieldPath, int],
    findings: list[Finding],
) -> Any:
    lines[path] = text.count("\n", 0, placed.start) + 1
    value = placed.value
    if isinstance(value, list):
        return [
            _unwrap(item, (*path, number), text, name, lines, findings)
            for number, item in enumerate(value)
        ]
    if not isinstance(value, _Fields):
        return value
    fields: dict[str, Any] = {}
    for key, item in value.pairs:
        # The library keeps the last of two fields of one name without a word; an
        # operator who edited the first would see a change that has no effect.
        repeated = key in fields
        fields[key] = _unwrap(item, (*path, key), text, name, lines, findings)
        if repeated:
            place = f"{name}:{lines[(*path, key)]}: {format_path((*path, key))}"
            findings.append(Finding(place, "field is given twice"))
    return fields
