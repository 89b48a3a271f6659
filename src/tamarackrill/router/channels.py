"""Connections to endpoints, one request at a time on each.

h11 parses and writes HTTP/1.1 without doing any input or output itself, so that this
module sees each byte: whether any of a request can have left, whether anything was left
behind an answer, and whether a connection ended in order or was reset.
"""

import asyncio
from typing import NamedTuple

import h11

from tamarackrill.router.sockets import enable_keepalive

Headers = list[tuple[str, str]]

# Bytes of an answer that are held for a slow client before the endpoint is held back:
# two socket reads of asyncio, which keep the path full.
UNREAD_MAX_BYTES = 128 * 1024


class ChannelBroken(Exception):
    """A connection ended, or brought something that is no answer."""


class AnswerHead(NamedTuple):
    """Status and headers of an answer, the names also in lower case."""

    status: int
    headers: tuple[tuple[str, str], ...]
    by_name: dict[str, str]


class Channel(asyncio.Protocol):
    """One connection to an endpoint.

    Attributes
    ----------
    used : int
        Requests that were sent on it.
    idle_since_s : float
        When the last answer ended.
    idle_max_s : float
        How long the endpoint keeps it open without a request.
    """

    def __init__(self) -> None:
        self.used = 0
        self.idle_since_s = 0.0
        self.idle_max_s = 0.0
        self._transport: asyncio.Transport | None = None
        self._http = h11.Connection(h11.CLIENT)
        self._request: h11.Request | None = None
        self._waiting: asyncio.Future[None] | None = None
        self._unread_bytes = 0
        self._is_paused = False
        self._is_ended = False
        self._error: Exception | None = None
        self._is_spoiled = False

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up the socket."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        enable_keepalive(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Take bytes; those that nobody waits for spoil the connection."""
        if self._request is None:
            self._is_spoiled = True
            return
        self._feed(data)

    def eof_received(self) -> bool:
        """Take the end of what the endpoint sends."""
        self._end(None)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Take the end of the connection; an error tells that it was reset."""
        self._end(exc)

    # For whoever sends a request

    @property
    def is_open(self) -> bool:
        """Whether it can take another request."""
        is_live = self._transport is not None and not self._transport.is_closing()
        return is_live and not self._is_ended and not self._is_spoiled

    def send(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Send a whole request."""
        self._request = h11.Request(method=method, target=target, headers=headers)
        self.used += 1
        sent = self._http.send(self._request) or b""
        if body:
            sent += self._http.send(h11.Data(data=body)) or b""
        sent += self._http.send(h11.EndOfMessage()) or b""
        assert self._transport is not None
        self._transport.write(sent)

    async def read_head(self) -> AnswerHead:
        """Return status and headers of the next answer.

        Raises
        ------
        ChannelBroken
            If there will be none.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return _read_head(event)
            if not isinstance(event, h11.InformationalResponse):
                raise ChannelBroken("the connection ended before an answer")

    async def read_piece(self) -> bytes:
        """Return the next bytes of the body, empty at its end.

        Raises
        ------
        ChannelBroken
            If the body was cut.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                if event.data:
                    return bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return b""
            else:
                raise ChannelBroken("the connection ended within an answer")

    async def skip_answer(self) -> None:
        """Read a whole answer that belongs to another request, and wait for the next.

        An endpoint may send a second answer to a request after the first one; it then
        stands where the answer to the next request is expected.
        """
        while await self.read_piece():
            pass
        behind, _ = self._http.trailing_data
        assert self._request is not None
        # A parser takes one answer for each request that it has written.
        self._http = h11.Connection(h11.CLIENT)
        self._http.send(self._request)
        for name, value in self._request.headers:
            if name == b"content-length" and int(value):
                self._http.send(h11.Data(data=bytes(int(value))))
        self._http.send(h11.EndOfMessage())
        if behind:
            self._feed(bytes(behind))

    def finish(self) -> bool:
        """End a request whose answer is whole; return whether it may take another."""
        self._request = None
        behind, _ = self._http.trailing_data
        is_clean = not behind and self._transport_is_drained()
        if not is_clean or not self.is_open or self._http.states != _BOTH_DONE:
            self.close()
            return False
        self._http.start_next_cycle()
        return True

    def close(self) -> None:
        """Close the connection at once; an endpoint at work sees it and stops."""
        if self._transport is not None:
            self._transport.abort()

    # Own

    def _transport_is_drained(self) -> bool:
        # An endpoint may answer before it has read a long request.  What is still to
        # be written would be read as the next request.
        return (
            self._transport is not None and not self._transport.get_write_buffer_size()
        )

    def _feed(self, data: bytes) -> None:
        self._unread_bytes += len(data)
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._error = error
        if self._unread_bytes > UNREAD_MAX_BYTES and not self._is_paused:
            self._is_paused = True
            assert self._transport is not None
            self._transport.pause_reading()
        self._wake()

    def _end(self, error: Exception | None) -> None:
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
                raise ChannelBroken(str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            if self._error is not None:
                raise ChannelBroken(repr(self._error)) from self._error
            if self._is_ended:
                raise ChannelBroken("the connection has ended")
            self._go_on_reading()
            self._waiting = asyncio.get_running_loop().create_future()
            await self._waiting

    def _go_on_reading(self) -> None:
        self._unread_bytes = 0
        if self._is_paused and self._transport is not None:
            self._is_paused = False
            self._transport.resume_reading()


_BOTH_DONE = {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}


def _read_head(response: h11.Response) -> AnswerHead:
    headers = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in response.headers.raw_items()
    )
    by_name = {name.lower(): value for name, value in headers}
    return AnswerHead(response.status_code, headers, by_name)


async def open_channel(address: str, timeout_s: float) -> Channel:
    """Connect to an endpoint.

    Raises
    ------
    OSError
        If no connection could be made in time; nothing was sent then.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        _, channel = await loop.create_connection(Channel, host, int(port))
    return channel
