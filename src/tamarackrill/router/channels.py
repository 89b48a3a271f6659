"""HTTP/1.1 connections to endpoints, with one request at a time on each.

h11 parses and writes HTTP/1.1 without doing any I/O, so that this module handles every
byte itself.  It knows whether any of a request can have been sent, whether data follows
a response, and whether a connection was closed properly or reset.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Literal, NamedTuple

import h11

from tamarackrill.decisions.addresses import read_router_address
from tamarackrill.decisions.attempt_timeouts import CONNECTION_TIMEOUT_S
from tamarackrill.decisions.capacity.buffers import ReadPauses
from tamarackrill.decisions.status_lines import holds_status_line
from tamarackrill.router import lateness
from tamarackrill.router.sockets import enable_keepalive, find_unacknowledged_s

Headers = list[tuple[str, str]]
Framing = Literal["none", "length", "chunked", "close"]

# Read from a connection at a time.  asyncio's own 256 KiB, buffered here and in the
# client's connection, would take 150 MB for 300 clients that do not read.
READ_MAX_BYTES = 32 * 1024
# Bytes of a response buffered for a slow client before reading from the endpoint is
# paused.  A reader that keeps up takes one read before the next, and is never paused.
UNREAD_MAX_BYTES = 32 * 1024
# The event loop fills it and hands it over in one step, so that all connections of a
# loop, of which a process has one, share it.
_READ_BUFFER = memoryview(bytearray(READ_MAX_BYTES))


class ChannelError(Exception):
    """A connection ended too early, or its data isn't a valid response."""


class ConnectionUnavailable(OSError):
    """A connection can't be made, for a reason other than the network's."""


class ResponseHead(NamedTuple):
    """Status and headers of a response.

    Parameters
    ----------
    status : int
        HTTP status code.
    headers : tuple of (str, str)
        All headers, in order.
    by_name : dict of str to str
        Headers, with names in lower case.
    framing : {"none", "length", "chunked", "close"}
        What tells where the body ends; ``"none"`` if there is no body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    by_name: dict[str, str]
    framing: Framing


class Channel(asyncio.BufferedProtocol):
    """One connection to an endpoint.

    Attributes
    ----------
    requests_sent : int
        Number of requests sent on the connection.
    has_written : bool
        Whether any of the present request may have been sent.
    has_received : bool
        Whether any data has arrived since it was sent.
    idle_since_s : float
        When the last response ended.
    idle_max_s : float
        How long the endpoint keeps an idle connection open.
    pauses : ReadPauses
        Pauses of the current response in which nothing was read from it.
    """

    def __init__(self) -> None:
        self.requests_sent = 0
        self.has_written = False
        self.has_received = False
        self.idle_since_s = 0.0
        self.idle_max_s = 0.0
        self.pauses = ReadPauses()
        self._transport: asyncio.Transport | None = None
        self._http = h11.Connection(h11.CLIENT)
        self._request: h11.Request | None = None
        self._waiting: asyncio.Future[None] | None = None
        self._unread_bytes = 0
        self._is_paused = False
        self._is_ended = False
        self._error: Exception | None = None
        self._has_unexpected_data = False

    # asyncio.BufferedProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable TCP keepalive."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        user_timeout_ms = int(1000 * CONNECTION_TIMEOUT_S)
        enable_keepalive(transport.get_extra_info("socket"), user_timeout_ms)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer into which the next data is read."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Process data; without a request in flight, mark the connection unusable."""
        if self._request is None:
            self._has_unexpected_data = True
            return
        self._receive(bytes(_READ_BUFFER[:nbytes]))

    def eof_received(self) -> bool:
        """Handle the end of the endpoint's data."""
        self._handle_end(None)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection; `exc` is set if it was reset."""
        self._handle_end(exc)

    # Requests and responses

    @property
    def is_open(self) -> bool:
        """Whether another request can be sent."""
        is_live = self._transport is not None and not self._transport.is_closing()
        return is_live and not self._is_ended and not self._has_unexpected_data

    @property
    def has_ended_unanswered(self) -> bool:
        """Whether a kept connection ended before any data answered its request."""
        is_kept = self.requests_sent > 1
        return is_kept and self._is_ended and not self.has_received

    def find_unacknowledged_s(self) -> float:
        """Return for how long the endpoint's machine has owed an acknowledgement."""
        if self._transport is None or self._transport.is_closing():
            return 0.0
        return find_unacknowledged_s(self._transport.get_extra_info("socket"))

    def send(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Send a complete request."""
        # Values may have bytes above 0x7f, which clients' headers are decoded from.
        fields = [(n.encode("latin-1"), v.encode("latin-1")) for n, v in headers]
        self._request = h11.Request(method=method, target=target, headers=fields)
        self.requests_sent += 1
        self.has_received = False
        self.pauses = ReadPauses()
        sent = self._http.send(self._request) or b""
        if body:
            sent += self._http.send(h11.Data(data=body)) or b""
        sent += self._http.send(h11.EndOfMessage()) or b""
        assert self._transport is not None
        self.has_written = True
        self._transport.write(sent)

    async def read_head(self) -> ResponseHead:
        """Return status and headers of the next response.

        Raises
        ------
        ChannelError
            If the connection ends or its data is invalid.
        """
        while True:
            event = await self._next_event()
            if not isinstance(event, h11.Response | h11.InformationalResponse):
                raise ChannelError("the connection ended before an answer")
            if _is_joined(event):
                raise ChannelError("another response begins within the head")
            if isinstance(event, h11.Response):
                return _read_head(event, self._is_head_request())

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the body, empty at its end.

        Raises
        ------
        ChannelError
            If the body is incomplete or invalid.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                if event.data:
                    return bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return b""
            else:
                raise ChannelError("the connection ended within an answer")

    async def skip_response(self) -> None:
        """Discard a response to another request, and prepare to read the next one.

        An endpoint may send a second response to a request; it then arrives where the
        response to the next request is expected.
        """
        while await self.read_chunk():
            pass
        trailing, _ = self._http.trailing_data
        assert self._request is not None
        # h11 accepts one response per request, so a new parser gets the request again.
        self._http = h11.Connection(h11.CLIENT)
        self._http.send(self._request)
        for name, value in self._request.headers:
            if name == b"content-length" and int(value):
                self._http.send(h11.Data(data=bytes(int(value))))
        self._http.send(h11.EndOfMessage())
        if trailing:
            self._receive(bytes(trailing))

    def finish(self) -> bool:
        """End a request after its response; return whether the connection is reusable.

        A connection that isn't reusable is closed.
        """
        self._request = None
        self.has_written = False
        trailing, _ = self._http.trailing_data
        is_clean = not trailing and self._is_write_buffer_empty()
        if not is_clean or not self.is_open or self._http.states != _BOTH_DONE:
            self.close()
            return False
        self._http.start_next_cycle()
        return True

    def close(self) -> None:
        """Abort the connection, so that the endpoint stops work on its request."""
        if self._transport is not None:
            self._transport.abort()

    # Internals

    def _is_head_request(self) -> bool:
        return self._request is not None and self._request.method == b"HEAD"

    def _is_write_buffer_empty(self) -> bool:
        # An endpoint may respond before it has read all of a long request.  The bytes
        # still to be written would be read as the next request.
        return (
            self._transport is not None and not self._transport.get_write_buffer_size()
        )

    def _receive(self, data: bytes) -> None:
        self.has_received = True
        self._unread_bytes += len(data)
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._error = error
        if self._unread_bytes > UNREAD_MAX_BYTES and not self._is_paused:
            self._is_paused = True
            assert self._transport is not None
            self._transport.pause_reading()
            self.pauses.begin(asyncio.get_running_loop().time())
        self._wake()

    def _handle_end(self, error: Exception | None) -> None:
        if self._is_ended:
            return
        self._is_ended = True
        if error is not None:
            self._error = error
        elif self._error is None:
            try:
                self._http.receive_data(b"")
            except h11.RemoteProtocolError as fault:
                self._error = fault
        self._wake()

    def _wake(self) -> None:
        if self._waiting is not None and not self._waiting.done():
            self._waiting.set_result(None)

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise ChannelError(str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            if self._error is not None:
                raise ChannelError(repr(self._error)) from self._error
            if self._is_ended:
                raise ChannelError("the connection has ended")
            self._resume_reading()
            self._waiting = asyncio.get_running_loop().create_future()
            await self._waiting

    def _resume_reading(self) -> None:
        self._unread_bytes = 0
        if self._is_paused and self._transport is not None:
            self._is_paused = False
            self._transport.resume_reading()
            self.pauses.end(asyncio.get_running_loop().time())


# No content, not modified.
_STATUSES_WITHOUT_BODY = (204, 304)
_BOTH_DONE = {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}


def _is_joined(response: h11.Response | h11.InformationalResponse) -> bool:
    texts = [response.reason, *(value for _, value in response.headers)]
    return any(holds_status_line(text) for text in texts)


def _read_head(response: h11.Response, is_head_request: bool) -> ResponseHead:
    headers = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in response.headers.raw_items()
    )
    by_name = {name.lower(): value for name, value in headers}
    status = response.status_code
    framing: Framing
    if is_head_request or status in _STATUSES_WITHOUT_BODY:
        framing = "none"
    elif "transfer-encoding" in by_name:
        framing = "chunked"
    else:
        framing = "length" if "content-length" in by_name else "close"
    return ResponseHead(status, headers, by_name, framing)


Connect = Callable[[str, float], Awaitable[Channel]]


async def open_channel(address: str, timeout_s: float) -> Channel:
    """Connect to an endpoint.

    Raises
    ------
    OSError
        If the connection failed or timed out; nothing was sent.
    """
    try:
        host, port = read_router_address(address)
        loop = asyncio.get_running_loop()
        async with lateness.timeout(timeout_s):
            _, channel = await loop.create_connection(Channel, host, port)
    except OSError:
        raise
    except Exception as error:
        raise ConnectionUnavailable(f"can't connect to {address!r}: {error}") from error
    return channel
