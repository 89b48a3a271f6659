"""An HTTP server that answers the first request of each connection before it ends."""

import asyncio
import socket
from collections.abc import Iterable
from typing import Any

from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPConnection, HTTPMessageDelegate
from tornado.iostream import IOStream

# A caller sends its request right after it has connected; over a loaded link that takes
# some hundred ms.
FIRST_REQUEST_MAX_S = 1.0


class EndingServer(HTTPServer):
    """A server of tornado that knows which connections have had no answer yet.

    A caller that has just connected is about to send.  Were its connection closed
    then, it would not know whether its request has run.
    """

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Start with no connections; takes what tornado's server takes."""
        super().initialize(*args, **kwargs)
        self._listeners: list[socket.socket] = []
        # Whether the first request is being waited for or answered, by connection;
        # one that has had an answer is not held.
        self._unanswered: dict[IOStream, bool] = {}
        self._all_answered = asyncio.Event()
        self._all_answered.set()

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accept connections of sockets that listen."""
        listeners = list(sockets)
        self._listeners += listeners
        super().add_sockets(listeners)

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Take a connection that was accepted."""
        self._unanswered[stream] = False
        self._all_answered.clear()
        super().handle_stream(stream, address)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return what reads the next request of a connection."""
        assert isinstance(request_conn, HTTP1Connection)
        stream = request_conn.stream
        if self._unanswered.get(stream):
            self._forget(stream)
        elif stream in self._unanswered:
            self._unanswered[stream] = True
        return super().start_request(server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Take that a connection has ended."""
        assert isinstance(server_conn, HTTP1ServerConnection)
        self._forget(server_conn.stream)
        super().on_close(server_conn)

    def leave(self) -> None:
        """End each connection with its next answer."""
        self.conn_params.no_keep_alive = True

    async def finish(self, wait_s: float = FIRST_REQUEST_MAX_S) -> None:
        """Accept no more connections, and wait until each has had an answer.

        Parameters
        ----------
        wait_s : float, optional
            Longest wait for connections on which nothing comes.
        """
        self.leave()
        for listener in self._listeners:
            self._accept_waiting(listener)
        self._listeners.clear()
        self.stop()
        try:
            async with asyncio.timeout(min(wait_s, FIRST_REQUEST_MAX_S)):
                await self._all_answered.wait()
        except TimeoutError:
            # What is left are connections on which nothing has come.
            return

    def _accept_waiting(self, listener: socket.socket) -> None:
        # Closing a listener resets the connections that wait there, whose callers have
        # connected and may have sent.
        while True:
            try:
                connection, address = listener.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            connection.setblocking(False)
            self.handle_stream(IOStream(connection), address)

    def _forget(self, stream: IOStream) -> None:
        self._unanswered.pop(stream, None)
        if not self._unanswered:
            self._all_answered.set()
