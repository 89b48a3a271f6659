"""Finds the beginning of an HTTP/1.1 response within the head of another one.

An endpoint that has stopped within a head may send another response on the same
connection.  The two parse as one head, with the status of the first and the body of the
second, if a reason phrase or a header of the first takes up the status line.
"""

import re

_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")


def holds_status_line(text: bytes, start: int = 0) -> bool:
    """Return whether a status line begins in part of a head, from an offset on."""
    return _STATUS_LINE.search(text, start) is not None
