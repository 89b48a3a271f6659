"""Query that finds the lines about one request in router logs."""

import json
from collections.abc import Iterable
from typing import Any

REQUEST_FIELD = "request"
TIME_FIELD = "time_s"
ENDPOINT_FIELD = "endpoint"
# Lines about an endpoint this close to a request sent there may explain its outcome.
ENDPOINT_WINDOW_S = 3.0


def find_lines(request_id: str, lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return the log lines that concern a request, ordered by time.

    Parameters
    ----------
    request_id : str
        ID of the client's attempt.
    lines : iterable of str
        JSON log lines of any number of routers; other lines are ignored.

    Returns
    -------
    list of dict
        The lines of the request, and lines without a request about the endpoints that
        it was sent to, within `ENDPOINT_WINDOW_S` of the request's lines.
    """
    parsed = [line for text in lines if (line := parse_line(text)) is not None]
    own = [line for line in parsed if line.get(REQUEST_FIELD) == request_id]
    endpoints = {line[ENDPOINT_FIELD] for line in own if ENDPOINT_FIELD in line}
    times = [line[TIME_FIELD] for line in own]
    nearby = [
        line
        for line in parsed
        if REQUEST_FIELD not in line
        and line.get(ENDPOINT_FIELD) in endpoints
        and min(times) - ENDPOINT_WINDOW_S
        <= line[TIME_FIELD]
        <= max(times) + ENDPOINT_WINDOW_S
    ]
    return sorted([*own, *nearby], key=lambda line: line[TIME_FIELD])


def parse_line(text: str) -> dict[str, Any] | None:
    """Return the fields of a log line, or None if a router did not write it."""
    # A log may contain other lines, such as an interpreter traceback, and the platform
    # may prefix each line with text.
    start = text.find("{")
    if start < 0:
        return None
    try:
        line = json.loads(text[start:])
    except ValueError:
        return None
    return line if isinstance(line, dict) and TIME_FIELD in line else None


def format_lines(log_lines: list[dict[str, Any]]) -> str:
    """Format log lines as text, with times relative to the first line."""
    if not log_lines:
        return "no line mentions this request"
    start_s = log_lines[0][TIME_FIELD]
    shown = []
    for line in log_lines:
        fields = {
            name: value
            for name, value in line.items()
            if name not in (TIME_FIELD, "event", "name", REQUEST_FIELD)
        }
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        after_s = line[TIME_FIELD] - start_s
        shown.append(f"{after_s:8.4f} s  {line.get('name', 'text'):<20} {text}")
    return "\n".join(shown)
