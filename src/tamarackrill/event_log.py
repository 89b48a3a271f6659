"""How an event becomes a line of the log; the events themselves stand in `events`."""

import json
from collections.abc import Callable
from typing import NamedTuple

from absl import logging


class Event(NamedTuple):
    """One kind of log line."""

    number: int
    name: str
    level: int
    fields: tuple[str, ...]
    meaning: str
    action: str = "None."


def format_key_value(event: Event, fields: dict[str, object]) -> str:
    """Return the line ``E<number> <name> key=value ...``."""
    pairs = " ".join(f"{key}={_quote(value)}" for key, value in fields.items())
    return f"E{event.number} {event.name} {pairs}".rstrip()


def format_json(event: Event, fields: dict[str, object]) -> str:
    """Return the event as one line of JSON."""
    line = {"event": event.number, "name": event.name, **fields}
    return json.dumps(line, default=str)


def _quote(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    if isinstance(value, list | tuple):
        return ",".join(str(item) for item in value) or "-"
    text = str(value)
    # A line break in a value that a caller chose would let the caller write log
    # lines of its own; such a line would look like ours, so it is escaped.
    return json.dumps(text) if any(c in text for c in ' "\n\r\t=') else text or "-"


Formatter = Callable[[Event, dict[str, object]], str]
_formatter: list[Formatter] = [format_key_value]


def use_formatter(formatter: Formatter) -> None:
    """Make `formatter` the one that `log_event` uses in this process."""
    _formatter[0] = formatter


def log_event(event: Event, **fields: object) -> None:
    """Write one event to the log.

    Parameters
    ----------
    event : Event
        One of `tamarackrill.events`.
    **fields : object
        Exactly the fields that the event declares.

    Raises
    ------
    ValueError
        If the fields are not the declared ones.
    """
    if set(fields) != set(event.fields):
        raise ValueError(f"{event.name} takes {event.fields}, not {tuple(fields)}")
    logging.log(
        event.level,
        "%s",
        _LazyLine(event, fields),
        extra={"event": event, "event_fields": fields},
    )


class _LazyLine:
    """An event's line, formatted only by a handler that wants text."""

    def __init__(self, event: Event, fields: dict[str, object]) -> None:
        self._event = event
        self._fields = fields

    def __str__(self) -> str:
        return _formatter[0](self._event, self._fields)
