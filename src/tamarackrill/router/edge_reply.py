"""The answer to a client of the platform's interface."""

from collections.abc import Sequence
from http.client import responses

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, ResponseStartLine


class EdgeReply:
    """Writes one answer.

    Parameters
    ----------
    connection : HTTP1Connection
        The client's connection, whose request has been read.
    must_close : bool
        Whether the connection ends with this answer.

    Attributes
    ----------
    has_begun : bool
        Whether the client has got the head of the answer.
    """

    def __init__(self, connection: HTTP1Connection, must_close: bool) -> None:
        self._connection = connection
        self._must_close = must_close
        self.has_begun = False
        self.is_over = False

    async def begin(
        self,
        status: int,
        headers: Sequence[tuple[str, str]],
        body: bytes | None = None,
    ) -> None:
        """Send the head; with a body the whole answer.

        Parameters
        ----------
        status : int
            Status.
        headers : sequence of (str, str)
            All headers but those of the connection.
        body : bytes or None
            The whole body; None if pieces follow.

        Raises
        ------
        tornado.iostream.StreamClosedError
            If the client has left.
        """
        fields = HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        if body is not None:
            fields["Content-Length"] = str(len(body))
        if self._must_close:
            fields["Connection"] = "close"
        self.has_begun = True
        line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        await self._connection.write_headers(line, fields, body or None)
        if body is not None:
            self.finish()

    async def write(self, piece: bytes) -> None:
        """Send a piece; returns once there is room for the next."""
        await self._connection.write(piece)

    def finish(self) -> None:
        """End the answer as complete."""
        self.is_over = True
        self._connection.finish()
        if self._must_close:
            # The head says that the connection ends here.
            self._connection.close()

    def cut(self) -> None:
        """End the connection, so that half an answer doesn't look like a whole one."""
        self.is_over = True
        self._connection.close()
