"""Write events to the log; `events` declares the events themselves."""

import json
from collections.abc import Callable
from typing import NamedTuple

from absl import logging


class Event(NamedTuple):
    """Declaration of one kind of log event."""

    number: int
    name: str
    level: int
    fields: tuple[str, ...]
    meaning: str
    action: str = "None."


def format_key_value(event: Event, fields: dict[str, object]) -> str:
    """Format an event as ``E<number> <name> key=value ...``."""
    pairs = " ".join(f"{key}={_format_value(value)}" for key, value in fields.items())
    return f"E{event.number} {event.name} {pairs}".rstrip()


def format_json(event: Event, fields: dict[str, object]) -> str:
    """Format an event as one line of JSON."""
    line = {"event": event.number, "name": event.name, **fields}
    return json.dumps(line, default=str)


def _format_value(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    if isinstance(value, list | tuple):
        return ",".join(str(item) for item in value) or "-"
    text = str(value)
    # An unescaped line break in a client-supplied value would let the client forge
    # log lines.
    return json.dumps(text) if any(c in text for c in ' "\n\r\t=') else text or "-"


Formatter = Callable[[Event, dict[str, object]], str]
_formatter: list[Formatter] = [format_key_value]


def use_formatter(formatter: Formatter) -> None:
    """Set the formatter of `log_event` for this process."""
    _formatter[0] = formatter


def log_event(event: Event, **fields: object) -> None:
    """Write one event to the log.

    Parameters
    ----------
    event : Event
        One of `tamarackrill.events`.
    **fields : object
        All fields that the event declares, and no others.

    Raises
    ------
    ValueError
        If the fields differ from the declared ones.
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
    """Log message of an event, formatted only if a handler needs the text."""

    def __init__(self, event: Event, fields: dict[str, object]) -> None:
        self._event = event
        self._fields = fields

    def __str__(self) -> str:
        return _formatter[0](self._event, self._fields)
