"""Writes the response to a client of the platform's interface."""

from asyncio import Future, get_running_loop
from collections.abc import Awaitable, Callable, Sequence
from http.client import responses

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, ResponseStartLine

from tamarackrill.decisions.capacity.buffers import (
    KERNEL_BYTES,
    RESPONSE_MAX_BYTES,
    ClientBuffers,
    Limit,
)
from tamarackrill.events import CLIENT_BUFFERS_SHORT, log_event
from tamarackrill.exceptions import ClientTooSlow as ClientTooSlow
from tamarackrill.router.channels import Channel
from tamarackrill.router.metrics import Metrics
from tamarackrill.router.sockets import reset_on_close

# Written to a client's connection at a time; more would be copied twice.
WRITE_MAX_BYTES = 64 * 1024


class ReplyMemory:
    """What the responses of a router hold.

    Parameters
    ----------
    buffers : ClientBuffers
        Decides which response may hold how much.
    metrics : Metrics
        Records counters and the gauge of what is held.
    """

    def __init__(self, buffers: ClientBuffers, metrics: Metrics) -> None:
        self.buffers = buffers
        self.metrics = metrics
        metrics.add_gauge("client_buffer_bytes", lambda: {"": buffers.held_bytes})

    def make_reply(
        self, connection: HTTP1Connection, must_close: bool, takes_chunks: bool = True
    ) -> "EdgeReply":
        """Return the reply to one request."""
        return EdgeReply(connection, must_close, takes_chunks, self)

    def release(self, team: str, size_bytes: int) -> None:
        """Subtract bytes that a response no longer holds."""
        self.buffers.add(team, -size_bytes)

    def note_limit(self, limit: Limit, is_first: bool) -> None:
        """Record that a response reached a bound, `is_first` this one."""
        if is_first:
            self.metrics.count("client_buffers", limit)
        usage = self.buffers.note_limit(limit)
        if usage is not None:
            log_event(CLIENT_BUFFERS_SHORT, **usage._asdict())


class EdgeReply:
    """Writes one response.

    Parameters
    ----------
    connection : HTTP1Connection
        The client's connection, from which the request was read.
    must_close : bool
        Whether the connection is closed after this response.
    takes_chunks : bool, default=True
        Whether the client reads chunks, which HTTP/1.0 doesn't have.
    memory : ReplyMemory, optional
        Counts what the responses of the router hold.

    Attributes
    ----------
    has_begun : bool
        Whether the response head has been sent.
    is_early : bool
        Whether it has been sent before its body was complete, so that the request can't
        be retried.
    is_complete : bool
        Whether all of the response has been passed on, though the client may not have
        all of it yet.
    is_over : bool
        Whether the response is complete or aborted.
    team : str
        Team that the request belongs to; empty if not known.
    takes_body : bool
        Whether the response has a body, which one to a HEAD request hasn't.
    """

    def __init__(
        self,
        connection: HTTP1Connection,
        must_close: bool,
        takes_chunks: bool = True,
        memory: ReplyMemory | None = None,
    ) -> None:
        self._connection = connection
        self._must_close = must_close
        self._takes_chunks = takes_chunks
        self._memory = memory
        # Bytes counted of bodies that are being read, or are sent as a whole.
        self.reserved_bytes = 0
        self._limits: set[Limit] = set()
        self.has_begun = False
        self.is_early = False
        self.is_complete = False
        self.is_over = False
        self.team = ""
        self.takes_body = True

    @property
    def is_client_gone(self) -> bool:
        """Whether the client has closed its connection."""
        return self._connection.stream.closed()

    async def begin(
        self,
        status: int,
        headers: Sequence[tuple[str, str]],
        body: bytes | None = None,
    ) -> None:
        """Send the head, or the complete response if the body is given.

        Parameters
        ----------
        status : int
            HTTP status code.
        headers : sequence of (str, str)
            All headers except ``Connection`` and ``Content-Length``.
        body : bytes or None
            Complete body; None if chunks follow.

        Raises
        ------
        tornado.iostream.StreamClosedError
            If the client has disconnected.
        """
        await self._start(status, headers, None if body is None else len(body), body)
        if body is not None:
            self.finish()

    async def begin_early(
        self,
        status: int,
        headers: Sequence[tuple[str, str]],
        size_bytes: int | None,
        held: bytes,
    ) -> None:
        """Send the head and the beginning of a body; return once more may be read.

        Parameters
        ----------
        status : int
            HTTP status code.
        headers : sequence of (str, str)
            All headers except ``Connection`` and ``Content-Length``.
        size_bytes : int or None
            Size of the whole body; None if it isn't known.
        held : bytes
            What has been read of the body.

        Raises
        ------
        tornado.iostream.StreamClosedError
            If the client has disconnected.
        """
        self._note_early(size_bytes)
        await self._start(status, headers, size_bytes, None)
        for begin in range(0, len(held), WRITE_MAX_BYTES):
            await self.write(held[begin : begin + WRITE_MAX_BYTES])
        self.drop_reserved()

    def _note_early(self, size_bytes: int | None) -> None:
        self.is_early = True
        if size_bytes is None and not self._takes_chunks:
            # Nothing else tells the client where the body ends.
            self._must_close = True

    def _start(
        self,
        status: int,
        headers: Sequence[tuple[str, str]],
        size_bytes: int | None,
        first: bytes | None,
    ) -> "Future[None]":
        """Send the head, with the first piece of a body."""
        fields = HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        if size_bytes is not None:
            fields["Content-Length"] = str(size_bytes)
        if self._must_close:
            fields["Connection"] = "close"
        line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        sent = first if first and self.takes_body else None
        future = self._connection.write_headers(line, fields, sent)
        # Nothing is sent if the headers can't be.
        self.has_begun = True
        return future

    async def write(self, chunk: bytes) -> None:
        """Send a chunk; return once the write buffer has room for the next one."""
        await self._connection.write(chunk)

    def finish(self) -> None:
        """Complete the response."""
        self.is_complete = self.is_over = True
        self._connection.finish()
        if self._must_close:
            # The response head announced the close.
            self._connection.close()

    def abort(self) -> None:
        """Close the connection so that a partial response can't pass for complete."""
        self.is_over = True
        if not self._takes_chunks and not self._connection.stream.closed():
            reset_on_close(self._connection.stream.socket)
        self._connection.close()

    def reserve(self, size_bytes: int, body_bytes: int) -> Limit | None:
        """Count bytes of a body that is read.

        Parameters
        ----------
        size_bytes : int
            Size of the bytes.
        body_bytes : int
            Size of all that has been read of the body.  Two attempts of a request may
            each read one.

        Returns
        -------
        {"response", "team", "total"} or None
            The bound for which no more of the body may be held, if any.
        """
        if body_bytes <= KERNEL_BYTES:
            return None
        if self._memory is None:
            return "response" if body_bytes >= RESPONSE_MAX_BYTES else None
        if body_bytes - size_bytes <= KERNEL_BYTES:
            size_bytes = body_bytes
        self.reserved_bytes += size_bytes
        self._hold(size_bytes)
        limit = self._memory.buffers.find_limit(self.team, body_bytes, False)
        if limit is not None:
            self._note_limit(limit)
        return limit

    def drop_reserved(self, size_bytes: int | None = None) -> None:
        """Release what was counted for bodies that are forwarded or given up.

        Parameters
        ----------
        size_bytes : int or None, default=None
            Size of one body that is given up; None for all of them.
        """
        if size_bytes is None or size_bytes > self.reserved_bytes:
            size_bytes = self.reserved_bytes
        elif size_bytes <= KERNEL_BYTES:
            return
        self.reserved_bytes -= size_bytes
        self._release(size_bytes)

    def release(self) -> None:
        """Drop all that is held."""
        self.drop_reserved()

    def _note_limit(self, limit: Limit) -> None:
        if self._memory is not None:
            self._memory.note_limit(limit, limit not in self._limits)
            self._limits.add(limit)

    def _hold(self, size_bytes: int) -> None:
        if self._memory is not None:
            self._memory.buffers.add(self.team, size_bytes)

    def _release(self, size_bytes: int) -> None:
        if self._memory is not None and size_bytes:
            self._memory.release(self.team, size_bytes)

    # Overridden where responses are buffered for clients that read slowly; here a write
    # returns only once the client's connection has taken it.

    def check_unread(self, channel: Channel) -> None:
        """Raise `ClientTooSlow` if a break of the response is due to the client.

        Here streams wait for their clients too, and a resumable one goes on elsewhere.
        """
        if self.is_early and channel.pauses.explain_abort(get_running_loop().time()):
            raise ClientTooSlow

    async def deliver(self, deadline_s: float) -> None:
        """Wait until the client has all of a complete response."""


MakeReply = Callable[[HTTP1Connection, bool, bool], EdgeReply]


class HeldBody:
    """Body of a response that is held until it is complete, or can't be held.

    Parameters
    ----------
    reply : EdgeReply
        Counts what is held.
    """

    def __init__(self, reply: EdgeReply) -> None:
        self._reply = reply
        self._data: bytes | bytearray = b""

    def take(self) -> bytes:
        """Return what has been read, and keep no reference to it."""
        data, self._data = bytes(self._data), b""
        return data

    def drop(self) -> None:
        """Give the body up."""
        self._reply.drop_reserved(len(self._data))
        self._data = b""

    async def read(self, read_chunk: Callable[[], Awaitable[bytes]]) -> Limit | None:
        """Read the body to its end; return the bound that it reached before, if any.

        Parameters
        ----------
        read_chunk : callable
            Returns the next bytes of the body, empty at its end.

        Raises
        ------
        ChannelError
            If the body is incomplete or invalid.
        """
        try:
            while piece := await read_chunk():
                if not self._data:
                    self._data = piece
                else:
                    # A list of many small pieces would take several times their size.
                    if isinstance(self._data, bytes):
                        self._data = bytearray(self._data)
                    self._data += piece
                limit = self._reply.reserve(len(piece), len(self._data))
                if limit is not None:
                    return limit
        except BaseException:
            self.drop()
            raise
        return None
