"""What of a stream of events may be passed on, and where another endpoint goes on.

Load pattern: an endpoint crashes in the middle of an event, and the stream goes on at
another one.  Were bytes passed on as they come, the half event would be joined to the
first event of the other endpoint, and the client would read a piece that nobody made.
So only whole events leave; half of one is dropped when its endpoint is lost.

Another endpoint is asked to go on after the last id that left.  If it begins earlier
all the same, what the client has already got is dropped, as it would see a piece twice.
"""

import re

_BOUNDARY = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id:[ ]?(\d+)[ \r]*$", re.MULTILINE)
# An event holds a few tokens, far below a kilobyte; an endpoint that never ends one is
# faulty and must not fill the router's memory.
EVENT_MAX_BYTES = 1 << 20


class EventStreamError(Exception):
    """An endpoint sent something that is no stream of events."""


class EventStream:
    """One stream towards a client, over all endpoints that feed it.

    Parameters
    ----------
    last_id : int or None
        Id after which the client asked to go on.
    """

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        self.events = 0
        self._partial = b""
        self._is_resumed = False

    def take(self, piece: bytes) -> bytes:
        """Take bytes of an endpoint; return the whole events that may leave.

        Raises
        ------
        EventStreamError
            If an event never ends.
        """
        data = self._partial + piece
        events = []
        start = 0
        for boundary in _BOUNDARY.finditer(data):
            event = data[start : boundary.end()]
            start = boundary.end()
            if self._is_due(event):
                events.append(event)
        self._partial = data[start:]
        if len(self._partial) > EVENT_MAX_BYTES:
            raise EventStreamError("an event does not end")
        self.events += len(events)
        return b"".join(events)

    def finish(self) -> bytes:
        """Return what follows the last whole event, of a stream that ended in order."""
        rest, self._partial = self._partial, b""
        return rest

    def resume(self) -> None:
        """Drop half an event; the next bytes come from another endpoint."""
        self._partial = b""
        self._is_resumed = True

    def _is_due(self, event: bytes) -> bool:
        found = _ID.search(event)
        if found is None:
            return True
        number = int(found[1])
        if self._is_resumed and self.last_id is not None and number <= self.last_id:
            return False
        self.last_id = number
        return True
