"""HTTP server that answers the first request of each connection before it stops."""

import asyncio
import socket
from collections.abc import Iterable
from typing import Any

from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPConnection, HTTPMessageDelegate
from tornado.iostream import IOStream

from tamarackrill.decisions.capacity.descriptors import (
    Decision,
    DescriptorUsage,
    decide_connection,
)
from tamarackrill.events import DESCRIPTORS_SHORT, log_event
from tamarackrill.router.accepting import (
    RETRY_PAUSE_S,
    Acceptor,
    read_descriptor_limit,
)
from tamarackrill.router.channels import count_open
from tamarackrill.router.client_streams import (
    ClientStream,
    RequestLimits,
    count_lingering,
)
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
    refuses_surplus : bool
        Whether the first request of a connection for which there are too few
        descriptors is refused, see `is_surplus`; otherwise the connection waits.
    limits : RequestLimits or None
        Bounds what clients send.
    """

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Initialize the server; the arguments are those of tornado's `HTTPServer`."""
        super().initialize(*args, **kwargs)
        self._acceptors: list[Acceptor] = []
        self._streams: set[IOStream] = set()
        self._surplus: set[IOStream] = set()
        self._decision: Decision = "serve"
        self._is_short = False
        self._descriptors_max = read_descriptor_limit()
        self.refuses_surplus = False
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
        self._acceptors += [
            Acceptor(listener, self._may_accept, self._handle_accepted)
            for listener in sockets
        ]

    def _handle_accepted(self, connection: socket.socket, address: tuple) -> None:
        self.handle_stream(IOStream(connection), address)

    def stop(self) -> None:
        """Stop accepting connections."""
        for acceptor in self._acceptors:
            acceptor.close()
        self._acceptors.clear()
        super().stop()

    def limit_descriptors(self, descriptors_max: int) -> None:
        """Use no more descriptors than that, or than the process may have."""
        self._descriptors_max = min(descriptors_max, read_descriptor_limit())

    def is_surplus(self, stream: IOStream) -> bool:
        """Return whether a connection was only taken to refuse its first request."""
        return stream in self._surplus

    def _may_accept(self) -> bool:
        """Return whether there are descriptors for another connection."""
        self._decision = self._decide_connection()
        return self._decision != "wait"

    def _decide_connection(self) -> Decision:
        clients = len(self._streams) + count_lingering()
        usage = DescriptorUsage(self._descriptors_max, clients, count_open())
        decision = decide_connection(usage)
        self._note_shortage(usage, decision != "serve")
        if decision == "serve" or self._close_idle():
            return "serve"
        return decision if self.refuses_surplus else "wait"

    def _note_shortage(self, usage: DescriptorUsage, is_short: bool) -> None:
        if is_short and not self._is_short:
            log_event(
                DESCRIPTORS_SHORT,
                limit=usage.limit,
                clients=usage.clients,
                endpoints=usage.endpoints,
                surplus=len(self._surplus),
            )
        self._is_short = is_short

    def _close_idle(self) -> bool:
        """Close a connection that is idle for long; return whether there is one."""
        for stream, timeout in self._idle_timeouts.items():
            if timeout.close_early():
                self._forget(stream)
                return True
        return False

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Handle a connection that was accepted."""
        stream = ClientStream(
            stream.socket,
            max_buffer_size=stream.max_buffer_size,
            read_chunk_size=stream.read_chunk_size,
            limits=self.limits,
        )
        self._streams.add(stream)
        if self._decision == "refuse":
            self._surplus.add(stream)
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
        return TimedRequest(request, lambda: self._cancel_idle_timeout(stream))

    def on_close(self, server_conn: object) -> None:
        """Stop tracking a connection that was closed."""
        assert isinstance(server_conn, HTTP1ServerConnection)
        self._forget(server_conn.stream)
        super().on_close(server_conn)

    def _forget(self, stream: IOStream) -> None:
        self._streams.discard(stream)
        self._surplus.discard(stream)
        self._cancel_idle_timeout(stream)
        self._mark_answered(stream)

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
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_s
        await self._accept_waiting(end_s)
        self.stop()
        left_s = max(0.0, end_s - loop.time())
        try:
            async with asyncio.timeout(min(left_s, FIRST_REQUEST_TIMEOUT_S)):
                await self._all_answered.wait()
        except TimeoutError:
            # The remaining connections have sent no request.
            return

    async def _accept_waiting(self, end_s: float) -> None:
        # Closing a listener resets the connections in its backlog, whose callers are
        # connected and may have sent a request.  Requests that end free descriptors.
        while not all(acceptor.accept_waiting() for acceptor in self._acceptors):
            left_s = end_s - asyncio.get_running_loop().time()
            if left_s <= 0:
                return
            await asyncio.sleep(min(RETRY_PAUSE_S, left_s))

    def _cancel_idle_timeout(self, stream: IOStream) -> None:
        timeout = self._idle_timeouts.pop(stream, None)
        if timeout is not None:
            timeout.cancel()

    def _mark_answered(self, stream: IOStream) -> None:
        self._unanswered.pop(stream, None)
        if not self._unanswered:
            self._all_answered.set()
