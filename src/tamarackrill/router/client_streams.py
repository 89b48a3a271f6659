"""Connections of clients that send a line or a head which is too long to be read."""

import asyncio
import socket
from asyncio import Future
from collections.abc import Awaitable

from tornado.iostream import IOStream, UnsatisfiableReadError

# Time in which a client takes the answer.  Closed with bytes that were not read, the
# connection would be reset and the answer lost.
LINGER_S = 1.0
READ_MAX_BYTES = 64 * 1024


class ClientStream(IOStream):
    """Answers a client that sends a line which is too long, before it is closed.

    Tornado closes the connection without an answer if a head, or the line before a
    chunk of a body, exceeds its limit.
    """

    _is_reading_head = False
    _has_written = False

    def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Read a head."""
        self._is_reading_head, self._has_written = True, False
        return super().read_until_regex(regex, max_bytes)

    def read_until(
        self, delimiter: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Read a line."""
        self._is_reading_head = False
        return super().read_until(delimiter, max_bytes)

    def write(self, data: bytes | memoryview) -> "Future[None]":
        """Write to the client."""
        self._has_written = True
        return super().write(data)

    def close_fd(self) -> None:
        """Close the connection, after an answer to a line that is too long."""
        if isinstance(self.error, UnsatisfiableReadError) and not self._has_written:
            self._answer_too_long(self.socket.dup())
        super().close_fd()

    def _answer_too_long(self, connection: socket.socket) -> None:
        status = b"431 Request Header Fields Too Large"
        if not self._is_reading_head:
            status = b"400 Bad Request"
        answer = (
            b"HTTP/1.1 %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n" % status
        )
        try:
            connection.send(answer)
            connection.shutdown(socket.SHUT_WR)
        except OSError:
            connection.close()
            return
        _discard_rest(connection)


def _discard_rest(connection: socket.socket) -> None:
    """Read a connection until its client closes it, for a short while at most."""
    loop = asyncio.get_running_loop()

    def end() -> None:
        loop.remove_reader(connection)
        connection.close()

    timer = loop.call_later(LINGER_S, end)

    def discard() -> None:
        try:
            if connection.recv(READ_MAX_BYTES):
                return
        except BlockingIOError:
            return
        except OSError:
            # The client has reset the connection.
            pass
        timer.cancel()
        end()

    loop.add_reader(connection, discard)
