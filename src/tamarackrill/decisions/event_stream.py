"""Server-sent event streams: forwards whole events and resumes at another endpoint.

Load pattern: an endpoint crashes in the middle of an event, and the stream continues at
another one. If bytes were forwarded as they arrive, the partial event would be joined
to the other endpoint's first event, and the client would read a corrupt event. So only
complete events are forwarded; a partial one is dropped when its endpoint is lost.

The end of a body is no proof that its stream is complete.  A body without framing ends
with its connection, also if the endpoint has crashed, and an intermediary may complete
the frame of a partial body.  A client that takes a partial stream for a complete one
never asks for the rest.  So a stream that ends inside an event has been broken off.

The other endpoint is asked to continue after the last forwarded id. If it starts
earlier, events that the client already has are dropped, so that it does not see them
twice.

Two endpoints may supply the rest of a stream at the same time, as a silent one may go
on.  Each has its own `EventStream`, so that a partial event of one is never joined to
data of the other; the first one that completes an event supplies all that follows.
"""

import re

_EVENT_END = re.compile(rb"\r?\n\r?\n")
# Begin of a line that is neither blank nor a comment.
_CONTENT = re.compile(rb"(?:\A|[\r\n])[^:\r\n]")
# Bytes of the longest end of an event that may have arrived without its last one.
_END_PARTIAL_BYTES = 3
# A number of more digits is no id: ids count events.
_ID = re.compile(rb"^id:[ ]?(\d{1,18})[ \r]*$", re.MULTILINE)
# An event holds a few tokens, far below a kilobyte; an endpoint that never ends one is
# faulty and must not exhaust the router's memory.
EVENT_MAX_BYTES = 1 << 16


class EventStreamError(Exception):
    """An endpoint sent data that is not a valid event stream, or only part of one."""


def ends_inside_event(rest: bytes) -> bool:
    """Return whether the bytes after the last complete event belong to another one.

    Blank lines and comments are no part of an event.
    """
    return _CONTENT.search(rest) is not None


class EventSplitter:
    """Splits a stream into events; its work is linear in the bytes that arrive."""

    def __init__(self) -> None:
        self._partial = bytearray()
        # Whether the partial event has content up to here.
        self._checked_bytes = 0
        self._has_content = False

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun that isn't complete."""
        if not self._has_content:
            # What was there before has been searched, but for its last line break.
            found = _CONTENT.search(self._partial, self._checked_bytes)
            self._has_content = found is not None
            self._checked_bytes = max(0, len(self._partial) - 1)
        return self._has_content

    @property
    def partial(self) -> bytes:
        """Bytes after the last complete event."""
        return bytes(self._partial)

    @property
    def partial_bytes(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._partial)

    def take(self, chunk: bytes) -> list[bytes]:
        """Add bytes and return the events that are complete, with their ends."""
        # What was there before has been searched, but for a partial end of an event.
        searched = max(0, len(self._partial) - _END_PARTIAL_BYTES)
        self._partial += chunk
        ends = [found.end() for found in _EVENT_END.finditer(self._partial, searched)]
        if not ends:
            return []
        starts = [0, *ends[:-1]]
        events = [
            bytes(self._partial[start:end])
            for start, end in zip(starts, ends, strict=True)
        ]
        del self._partial[: ends[-1]]
        self._restart_check()
        return events

    def clear(self) -> None:
        """Drop the bytes after the last complete event."""
        self._partial.clear()
        self._restart_check()

    def _restart_check(self) -> None:
        self._checked_bytes = 0
        self._has_content = False


class _Forwarded:
    """What a client has of its stream, whichever endpoints supplied it."""

    def __init__(self, last_id: int | None) -> None:
        self.last_id = last_id
        self.events = 0
        # An endpoint broke off inside an event, so that at least this one is missing.
        self.is_event_missing = False
        self.sources: list[EventStream] = []


class EventStream:
    """One client's event stream, as endpoints supply it one after the other.

    Parameters
    ----------
    last_id : int or None
        Id after which the client asked to resume.

    Attributes
    ----------
    own_events : int
        Number of events forwarded of the present endpoint.
    """

    def __init__(self, last_id: int | None = None) -> None:
        self._forwarded = _Forwarded(last_id)
        self._splitter = EventSplitter()
        self._is_resumed = False
        self._is_ended = False
        self.own_events = 0
        # State before the last events, until the client is known to get them.
        self._before: tuple[int | None, int, int, bool] | None = None

    @property
    def last_id(self) -> int | None:
        """Id of the last event that was forwarded, or after which to resume."""
        return self._forwarded.last_id

    @property
    def events(self) -> int:
        """Number of events forwarded, whichever endpoints supplied them."""
        return self._forwarded.events

    @property
    def partial_bytes(self) -> int:
        """Bytes received after the last complete event."""
        return self._splitter.partial_bytes

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun that isn't complete."""
        return self._splitter.is_inside_event

    def fork(self) -> "EventStream":
        """Return the rest of the same stream, as another endpoint supplies it."""
        fork = EventStream()
        fork._forwarded = self._forwarded
        fork.resume()
        self._forwarded.sources.append(fork)
        return fork

    def end(self) -> None:
        """End what an endpoint supplies; a partial event of it is dropped."""
        self._is_ended = True
        sources = self._forwarded.sources
        if self in sources:
            sources.remove(self)
            self.resume()

    def _end_others(self) -> None:
        """End all other sources: the client has what they have only part of."""
        sources = self._forwarded.sources
        for source in sources:
            if source is not self:
                source._is_ended = True
                source._splitter.clear()
        sources[:] = [source for source in sources if source is self]

    def take(self, chunk: bytes) -> bytes:
        """Add bytes from an endpoint and return the complete events to forward.

        Raises
        ------
        EventStreamError
            If an event exceeds `EVENT_MAX_BYTES` without ending.
        """
        if self._is_ended:
            return b""
        forwarded = self._forwarded
        self._before = (
            forwarded.last_id,
            forwarded.events,
            self.own_events,
            forwarded.is_event_missing,
        )
        events = [e for e in self._splitter.take(chunk) if self._should_forward(e)]
        if self.partial_bytes > EVENT_MAX_BYTES:
            raise EventStreamError("event exceeds the allowed size")
        self._forwarded.events += len(events)
        self.own_events += len(events)
        is_alone = not forwarded.is_event_missing and len(forwarded.sources) <= 1
        if not is_alone and any(map(ends_inside_event, events)):
            forwarded.is_event_missing = False
            self._end_others()
        return b"".join(events)

    def confirm(self) -> None:
        """Record that the client gets the events that were taken."""
        self._before = None

    def undo(self) -> None:
        """Forget the events that were taken last, unless they were confirmed.

        Otherwise an error before they are passed on would leave them out of a stream
        that goes on at another endpoint.
        """
        if self._before is not None:
            last_id, events, self.own_events, is_event_missing = self._before
            self._forwarded.last_id = last_id
            self._forwarded.events = events
            self._forwarded.is_event_missing = is_event_missing
            self._before = None

    def finish(self, is_framed: bool = True, may_be_empty: bool = True) -> bytes:
        """Return the bytes after the last event of a stream whose body has ended.

        Parameters
        ----------
        is_framed : bool, default=True
            Whether the response states where its body ends.
        may_be_empty : bool, default=True
            Whether a new stream may end without an event.

        Raises
        ------
        EventStreamError
            If the stream was broken off.
        """
        rest = self._splitter.partial
        if ends_inside_event(rest):
            raise EventStreamError("the stream ended inside an event")
        if self._is_event_missing():
            raise EventStreamError("the stream ended before an event that had begun")
        if not may_be_empty and self.last_id is None and not self.events:
            raise EventStreamError("the stream ended before its first event")
        # A client may ask for the rest of a stream of which it has all events.  An
        # endpoint that goes on for one that broke the stream off has events to send.
        is_asked_rest = self.last_id is not None and not self.events
        if not is_framed and not is_asked_rest and not self.own_events:
            raise EventStreamError("the connection ended before the first event")
        self._splitter.clear()
        return rest

    def resume(self) -> None:
        """Drop a partial event; the next bytes come from another endpoint."""
        if ends_inside_event(self._splitter.partial):
            self._forwarded.is_event_missing = True
        self._splitter.clear()
        self._is_resumed = True
        self.own_events = 0

    def _is_event_missing(self) -> bool:
        """Return whether another endpoint has begun an event that nobody completed."""
        others = (s for s in self._forwarded.sources if s is not self)
        return self._forwarded.is_event_missing or any(
            ends_inside_event(other._splitter.partial) for other in others
        )

    def _should_forward(self, event: bytes) -> bool:
        found = _ID.search(event)
        if found is None:
            return True
        number = int(found[1])
        if self._is_resumed and self.last_id is not None and number <= self.last_id:
            return False
        self._forwarded.last_id = number
        return True
