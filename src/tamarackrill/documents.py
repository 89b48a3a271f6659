"""Parse JSON files and record the line of each value.

A finding about a contract names the line and the field, so that an operator can
locate an error in a long file.  The standard library's decoder parses the text; this
module only records where each value starts.
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
        Name of the file or other source of the text.
    value : object
        The parsed value.
    lines : dict
        1-based line number of the value at each field path.
    findings : tuple of Finding
        Errors that the standard parser ignores, such as duplicate fields.
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


class _LocatedValue(NamedTuple):
    value: Any
    start: int


class _ObjectPairs(NamedTuple):
    pairs: list[tuple[str, _LocatedValue]]


class _LocatingDecoder(json.JSONDecoder):
    """JSON decoder that returns each value with its start index."""

    def __init__(self) -> None:
        super().__init__(
            object_pairs_hook=_ObjectPairs, parse_constant=_reject_constant
        )
        # The standard decoder passes its own scanner to nested values; both parsers
        # are wrapped so that nested values go through `_scan` and get an index too.
        self.parse_object = self._parse_object
        self.parse_array = self._parse_array
        self._scan_value = scanner.py_make_scanner(self)  # type: ignore[attr-defined]
        self.scan_once = self._scan

    def _scan(self, text: str, index: int) -> tuple[_LocatedValue, int]:
        value, end = self._scan_value(text, index)
        return _LocatedValue(value, index), end

    def _parse_object(self, text_and_end: Any, strict: bool, _: Any, *rest: Any) -> Any:
        parse = decoder.JSONObject  # type: ignore[attr-defined]
        return parse(text_and_end, strict, self._scan, *rest)

    def _parse_array(self, text_and_end: Any, _: Any, *rest: Any) -> Any:
        parse = decoder.JSONArray  # type: ignore[attr-defined]
        return parse(text_and_end, self._scan, *rest)


def _reject_constant(name: str) -> Any:
    raise ValueError(f"{name} is not a valid JSON number")


def format_path(path: FieldPath) -> str:
    """Return a field path in the form ``calls[0].method``."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.removeprefix(".")


def parse_document(name: str, text: str) -> Document:
    """Parse a JSON text.

    Parameters
    ----------
    name : str
        Name of the source, for findings.
    text : str
        JSON text.

    Returns
    -------
    Document

    Raises
    ------
    FindingsError
        If the text is not valid JSON; the finding names the line.
    """
    try:
        located = _LocatingDecoder().decode(text)
    except json.JSONDecodeError as error:
        place = f"{name}:{error.lineno}"
        raise FindingsError([Finding(place, f"invalid JSON: {error.msg}")]) from error
    except (ValueError, RecursionError) as error:
        raise FindingsError([Finding(name, f"invalid JSON: {error}")]) from error
    lines: dict[FieldPath, int] = {}
    findings: list[Finding] = []
    value = _build_value(located, (), text, name, lines, findings)
    return Document(name, value, lines, tuple(findings))


def read_document(path: str) -> Document:
    """Read and parse a JSON file.

    Raises
    ------
    FindingsError
        If the file can't be read or is not valid JSON.
    """
    return parse_document(path, read_text(path))


def _build_value(
    located: _LocatedValue,
    path: FieldPath,
    text: str,
    name: str,
    lines: dict[FieldPath, int],
    findings: list[Finding],
) -> Any:
    lines[path] = text.count("\n", 0, located.start) + 1
    value = located.value
    if isinstance(value, list):
        return [
            _build_value(item, (*path, number), text, name, lines, findings)
            for number, item in enumerate(value)
        ]
    if not isinstance(value, _ObjectPairs):
        return value
    fields: dict[str, Any] = {}
    for key, item in value.pairs:
        # The standard decoder silently keeps the last of two fields with the same
        # name; an operator's edit of the first one would have no effect.
        is_duplicate = key in fields
        fields[key] = _build_value(item, (*path, key), text, name, lines, findings)
        if is_duplicate:
            place = f"{name}:{lines[(*path, key)]}: {format_path((*path, key))}"
            findings.append(Finding(place, "field is given twice"))
    return fields
