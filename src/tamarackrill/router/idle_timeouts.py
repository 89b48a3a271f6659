"""Timeouts of client connections that send no complete request head.

Load pattern: the event loop is late, or the process stood still.  The timeout of a kept
connection and the request that arrived on it in time are then due in the same
iteration, and a plain timer would close the connection without an answer.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable

from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream

from tamarackrill.decisions.capacity.descriptors import may_close_idle
from tamarackrill.router.lateness import LateTimer

# Time in which the loop reads bytes that had arrived when the timeout was due.
READ_ARRIVED_S = 0.05


class IdleTimeout:
    """Closes a connection unless a request head is read from it in time.

    Parameters
    ----------
    stream : tornado.iostream.IOStream
        The connection, from which a request head is about to be read.
    idle_s : float
        Time in which the head must arrive.
    """

    def __init__(self, stream: IOStream, idle_s: float) -> None:
        self._stream = stream
        self._loop = asyncio.get_running_loop()
        self._since_s = self._loop.time()
        self._timer = LateTimer(self._since_s + idle_s, self._end)
        self._has_waited = False

    def cancel(self) -> None:
        """Let the connection be, as the head has been read or the connection ended."""
        self._timer.cancel()

    def close_early(self) -> bool:
        """Close the connection if it may make room for another; return whether so."""
        if not may_close_idle(self._since_s, self._loop.time()):
            return False
        if self._stream.closed() or _has_unread(self._stream):
            return False
        self._stream.close()
        return True

    def _end(self) -> None:
        if self._stream.closed():
            return
        # One that is being read would be closed although its client sent it in time.
        # A client that sends its head byte by byte gets this extension only once.
        is_arriving = not self._stream.reading() or _has_unread(self._stream)
        if is_arriving and not self._has_waited:
            self._has_waited = True
            self._timer = LateTimer(self._loop.time() + READ_ARRIVED_S, self._end)
            return
        self._stream.close()


def _has_unread(stream: IOStream) -> bool:
    try:
        return bool(stream.socket.recv(1, socket.MSG_PEEK))
    except OSError:
        return False


class TimedRequest(HTTPMessageDelegate):
    """Passes a request on, and ends the timeout of its head."""

    def __init__(
        self, request: HTTPMessageDelegate, end_timeout: Callable[[], None]
    ) -> None:
        self._request = request
        self._end_timeout = end_timeout

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """End the timeout."""
        self._end_timeout()
        return self._request.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass a part of the body on."""
        return self._request.data_received(chunk)

    def finish(self) -> None:
        """Pass the end of the request on."""
        self._request.finish()

    def on_connection_close(self) -> None:
        """Pass the end of the connection on."""
        self._request.on_connection_close()
