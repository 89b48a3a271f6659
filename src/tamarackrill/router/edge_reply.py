"""Writes the response to a client of the platform's interface."""

from asyncio import Future
from collections.abc import Awaitable, Callable, Sequence
from http.client import responses

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, ResponseStartLine

from tamarackrill.exceptions import ClientTooSlow as ClientTooSlow
from tamarackrill.router.channels import Channel
from tamarackrill.router.sockets import reset_on_close


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

    Attributes
    ----------
    has_begun : bool
        Whether the response head has been sent.
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
    ) -> None:
        self._connection = connection
        self._must_close = must_close
        self._takes_chunks = takes_chunks
        self.has_begun = False
        self.is_complete = False
        self.is_over = False
        self.team = ""
        self.takes_body = True

    def close_after(self) -> None:
        """Close the connection after this response, which has not begun."""
        self._must_close = True

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
        await self._start(status, headers, body, body)
        if body is not None:
            self.finish()

    def _start(
        self,
        status: int,
        headers: Sequence[tuple[str, str]],
        body: bytes | None,
        first: bytes | None,
    ) -> "Future[None]":
        """Send the head, with the first piece of a body that is complete."""
        fields = HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        if body is not None:
            fields["Content-Length"] = str(len(body))
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

    # Overridden where responses are buffered for clients that read slowly; here a write
    # returns only once the client's connection has taken it.

    async def reserve(self, size_bytes: int, body_bytes: int) -> None:
        """Count bytes of a body that is read; return once more may be read.

        Parameters
        ----------
        size_bytes : int
            Size of the bytes.
        body_bytes : int
            Size of all that has been read of the body.  Two attempts of a request may
            each read one.
        """

    def drop_reserved(self, size_bytes: int | None = None) -> None:
        """Release what was counted for bodies that are forwarded or given up.

        Parameters
        ----------
        size_bytes : int or None, default=None
            Size of one body that is given up; None for all of them.
        """

    def check_unread(self, channel: Channel) -> None:
        """Raise `ClientTooSlow` if a break of the response is due to the client."""

    async def deliver(self, deadline_s: float) -> None:
        """Wait until the client has all of a complete response."""

    def release(self) -> None:
        """Drop all that is held."""


MakeReply = Callable[[HTTP1Connection, bool, bool], EdgeReply]


async def read_body(
    read_chunk: Callable[[], Awaitable[bytes]], reply: EdgeReply
) -> bytes:
    """Return the body of a response, which the reply then sends as a whole.

    Parameters
    ----------
    read_chunk : callable
        Returns the next bytes of the body, empty at its end.
    reply : EdgeReply
        Counts what is held.

    Raises
    ------
    ChannelError
        If the body is incomplete or invalid.
    """
    pieces = []
    read_bytes = 0
    try:
        while piece := await read_chunk():
            pieces.append(piece)
            read_bytes += len(piece)
            await reply.reserve(len(piece), read_bytes)
    except BaseException:
        reply.drop_reserved(read_bytes)
        raise
    return b"".join(pieces)
