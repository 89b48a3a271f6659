"""What the logs of routers say of one request."""

import json
from collections.abc import Iterable
from typing import Any

REQUEST_FIELD = "request"
TIME_FIELD = "time_s"
# Lines about an endpoint that can explain what became of a request sent there.
ENDPOINT_FIELD = "endpoint"
NEAR_S = 3.0


def find_lines(request_id: str, lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return the log lines that concern a request, in order of time.

    Parameters
    ----------
    request_id : str
        Id of the client's attempt.
    lines : iterable of str
        Lines of JSON, of any number of routers; others are passed over.

    Returns
    -------
    list of dict
        The request's own lines, and those of the endpoints that it was sent to within
        `NEAR_S` of them that name no other request.
    """
    parsed = [line for text in lines if (line := parse_line(text)) is not None]
    own = [line for line in parsed if line.get(REQUEST_FIELD) == request_id]
    endpoints = {line[ENDPOINT_FIELD] for line in own if ENDPOINT_FIELD in line}
    times = [line[TIME_FIELD] for line in own]
    near = [
        line
        for line in parsed
        if REQUEST_FIELD not in line
        and line.get(ENDPOINT_FIELD) in endpoints
        and min(times) - NEAR_S <= line[TIME_FIELD] <= max(times) + NEAR_S
    ]
    return sorted([*own, *near], key=lambda line: line[TIME_FIELD])


def parse_line(text: str) -> dict[str, Any] | None:
    """Return the fields of a log line, or None if it is none of ours."""
    # A log may hold lines that are not ours, such as a traceback of the interpreter,
    # and the platform may put its own words before each line.
    start = text.find("{")
    if start < 0:
        return None
    try:
        line = json.loads(text[start:])
    except ValueError:
        return None
    return line if isinstance(line, dict) and TIME_FIELD in line else None


def format_lines(found: list[dict[str, Any]]) -> str:
    """Return the lines as text, with times counted from the first."""
    if not found:
        return "no line names this request"
    began_s = found[0][TIME_FIELD]
    shown = []
    for line in found:
        fields = {
            name: value
            for name, value in line.items()
            if name not in (TIME_FIELD, "event", "name", REQUEST_FIELD)
        }
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        after_s = line[TIME_FIELD] - began_s
        shown.append(f"{after_s:8.4f} s  {line.get('name', 'text'):<20} {text}")
    return "\n".join(shown)
