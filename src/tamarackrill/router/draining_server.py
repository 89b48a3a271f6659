"""HTTP server that answers the first request of each connection before it stops."""

import asyncio
import socket
from collections.abc import Iterable
from typing import Any

from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPConnection, HTTPMessageDelegate
from tornado.iostream import IOStream

from tamarackrill.router.client_streams import ClientStream, RequestLimits
from tamarackrill.router.guarded_requests import RequestGuard
from tamarackrill.router.idle_timeouts import IdleTimeout, TimedRequest

# Callers send their first request right after connecting; over a loaded link it takes
# some hundred ms to arrive.
FIRST_REQUEST_TIMEOUT_S = 1.0


class DrainingServer(HTTPServer):
    """Tornado HTTP server that tracks connections without a first response.

    A caller that has just connected is about to send a request.  If its connection were
    closed then, the caller could not know whether the request has run.

    Attributes
    ----------
    idle_timeout_s : float or None
        Time in which the next head must arrive on a connection, or the connection is
        closed; read each time that the server waits for a request.
    guard : RequestGuard or None
        Answers requests whose reading raises an undeclared error.
    limits : RequestLimits or None
        Bounds what clients send.
    """

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Initialize the server; the arguments are those of tornado's `HTTPServer`."""
        super().initialize(*args, **kwargs)
        self._listeners: list[socket.socket] = []
        # Whether the first request of each connection has started; a connection is
        # removed after its first response.
        self._unanswered: dict[IOStream, bool] = {}
        self._all_answered = asyncio.Event()
        self._all_answered.set()
        # Tornado's own timeout closes connections whose request has arrived.
        self.idle_timeout_s = self.conn_params.header_timeout
        self.conn_params.header_timeout = None
        self._idle_timeouts: dict[IOStream, IdleTimeout] = {}
        self.guard: RequestGuard | None = None
        self.limits: RequestLimits | None = None

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accept connections from listening sockets."""
        listeners = list(sockets)
        self._listeners += listeners
        super().add_sockets(listeners)

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Handle a connection that was accepted."""
        stream = ClientStream(
            stream.socket,
            max_buffer_size=stream.max_buffer_size,
            read_chunk_size=stream.read_chunk_size,
            limits=self.limits,
        )
        self._unanswered[stream] = False
        self._all_answered.clear()
        super().handle_stream(stream, address)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate that reads the next request of a connection."""
        assert isinstance(request_conn, HTTP1Connection)
        if self.guard is None:
            return self._start_request(server_conn, request_conn)
        return self.guard.start(
            lambda: self._start_request(server_conn, request_conn), request_conn
        )

    def _start_request(
        self, server_conn: object, request_conn: HTTP1Connection
    ) -> HTTPMessageDelegate:
        stream = request_conn.stream
        if self._unanswered.get(stream):
            self._mark_answered(stream)
        elif stream in self._unanswered:
            self._unanswered[stream] = True
        self._cancel_idle_timeout(stream)
        request = super().start_request(server_conn, request_conn)
        if self.idle_timeout_s is None:
            return request
        timeout = IdleTimeout(stream, self.idle_timeout_s)
        self._idle_timeouts[stream] = timeout
        return TimedRequest(request, timeout)

    def on_close(self, server_conn: object) -> None:
        """Stop tracking a connection that was closed."""
        assert isinstance(server_conn, HTTP1ServerConnection)
        self._cancel_idle_timeout(server_conn.stream)
        self._mark_answered(server_conn.stream)
        super().on_close(server_conn)

    def leave(self) -> None:
        """Close each connection after its next response."""
        self.conn_params.no_keep_alive = True

    async def finish(self, wait_s: float = FIRST_REQUEST_TIMEOUT_S) -> None:
        """Stop accepting and wait until each open connection has had a response.

        Parameters
        ----------
        wait_s : float, optional
            Maximum wait for connections that send no request.
        """
        self.leave()
        for listener in self._listeners:
            self._accept_waiting(listener)
        self._listeners.clear()
        self.stop()
        try:
            async with asyncio.timeout(min(wait_s, FIRST_REQUEST_TIMEOUT_S)):
                await self._all_answered.wait()
        except TimeoutError:
            # The remaining connections have sent no request.
            return

    def _accept_waiting(self, listener: socket.socket) -> None:
        # Closing a listener resets the connections in its backlog, whose callers are
        # connected and may have sent a request.
        while True:
            try:
                connection, address = listener.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            connection.setblocking(False)
            self.handle_stream(IOStream(connection), address)

    def _cancel_idle_timeout(self, stream: IOStream) -> None:
        timeout = self._idle_timeouts.pop(stream, None)
        if timeout is not None:
            timeout.cancel()

    def _mark_answered(self, stream: IOStream) -> None:
        self._unanswered.pop(stream, None)
        if not self._unanswered:
            self._all_answered.set()
