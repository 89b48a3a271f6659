"""Formatting of tables and JSON for the terminal."""

import json
from collections.abc import Sequence
from typing import Any


def format_table(rows: Sequence[Any]) -> str:
    """Return rows of one NamedTuple type as a table headed by the field names."""
    if not rows:
        return "none"
    cells = [
        [*rows[0]._fields],
        *([_format_cell(value) for value in row] for row in rows),
    ]
    widths = [max(len(row[i]) for row in cells) for i in range(len(cells[0]))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


def format_json(value: Any) -> str:
    """Return a value as indented JSON, with named tuples as objects."""
    return json.dumps(_to_json_value(value), indent=2, ensure_ascii=False, default=str)


def _to_json_value(value: Any) -> Any:
    if hasattr(value, "_asdict"):
        return {name: _to_json_value(item) for name, item in value._asdict().items()}
    if isinstance(value, dict):
        return {name: _to_json_value(item) for name, item in value.items()}
    if isinstance(value, list | tuple):
        return [_to_json_value(item) for item in value]
    return value


def _format_cell(value: Any) -> str:
    if isinstance(value, tuple | list):
        return ",".join(map(str, value)) or "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return "-" if value in (None, "") else str(value)
