"""Reads clients' requests from the platform's interface and matches them to routes."""

import asyncio
from collections.abc import Awaitable, Callable

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from tamarackrill.decisions.engine_waits import rank_urgency
from tamarackrill.decisions.manifests import (
    Route,
    RouteTable,
    TeamKeys,
    choose_service,
)
from tamarackrill.events import CALL_LEFT, CALL_REFUSED, TASK_FAILED, log_event
from tamarackrill.platform.headers import (
    RequestHeaders,
    build_error_headers,
    parse_request_headers,
)
from tamarackrill.router.deployment_view import DeploymentView
from tamarackrill.router.edge_calls import EdgeCall, find_shared_prefixes
from tamarackrill.router.edge_flow import EdgeFlow
from tamarackrill.router.edge_reply import EdgeReply
from tamarackrill.router.ending_server import EndingServer
from tamarackrill.router.metrics import Metrics

# Twice what the manifests seen so far allow; a longer header is refused by its length
# below that, and its connection is closed above it.
HEADERS_READ_MAX_BYTES = 64 * 1024
UNLIMITED_BYTES = 1 << 40
# Until the manifest says how long clients may stay idle: what browsers and proxies
# commonly keep a connection for, so that no request crosses the router's close.
IDLE_TIMEOUT_S = 75.0
# A router that knows no manifest has been started within the last second or two.
NO_MANIFEST_RETURN_S = 0.5
# Time in which a router reads a newer manifest that others already hold: half a second
# over a thin link.
OUTDATED_RETURN_S = 0.5
# A balancer takes a router out within two seconds of SIGTERM, and a client that comes
# back reaches another one then.
LEAVING_RETURN_S = 0.2


class _Denied(Exception):
    """A request that the manifest in force doesn't allow, or that can't be read."""

    def __init__(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


class EdgeServer(HTTPServerConnectionDelegate):
    """The server towards clients.

    Parameters
    ----------
    view : DeploymentView
        Manifest in force.
    flow : EdgeFlow
        Serves requests that match.
    metrics : Metrics
        Counts.
    clock : callable
        Returns the present time.

    Attributes
    ----------
    is_leaving : bool
        Whether connections end with their next answer.
    sends_elsewhere : bool
        Whether connections end with their next answer because clients are better
        served by other routers; new ones are served all the same.
    takes_work : bool
        Whether requests are still served.
    is_outdated : callable
        Returns whether another manifest may be in force elsewhere by now.
    """

    def __init__(
        self,
        view: DeploymentView,
        flow: EdgeFlow,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self.view = view
        self.flow = flow
        self.metrics = metrics
        self.clock = clock
        self.is_leaving = False
        self.sends_elsewhere = False
        self.takes_work = True
        self.is_outdated: Callable[[], bool] = lambda: False
        self.in_flight: set[asyncio.Task[None]] = set()
        self.server = EndingServer(
            self,
            max_header_size=HEADERS_READ_MAX_BYTES,
            max_body_size=UNLIMITED_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
        )

    def limit_idle(self, idle_s: float) -> None:
        """End connections on which no whole head has come for so long.

        Each idle connection holds a descriptor and some 50 kB, and clients that have
        gone without a word would fill the router up with them.
        """
        # Read by the server for each request that it waits for.
        self.server.conn_params.header_timeout = idle_s

    def leave(self) -> None:
        """End each connection with its next answer."""
        self.is_leaving = True
        self.server.leave()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return what reads the next request of a connection."""
        assert isinstance(request_conn, HTTP1Connection)
        return _Request(self, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Nothing is kept for a connection."""

    def match(
        self,
        line: RequestStartLine,
        host: str,
        headers: RequestHeaders,
        body: bytes,
        arrived_s: float,
    ) -> EdgeCall:
        """Return the call of a request.

        Raises
        ------
        _Denied
            If it gets an answer of the router's own.
        """
        table = self.view.routes
        if table is None:
            raise _Denied(503, "no_manifest", NO_MANIFEST_RETURN_S)
        route = table.find_route(host, line.path.partition("?")[0])
        if route is None:
            raise self._deny_unknown(404, "no_route")
        team = self._find_team(table, route, headers)
        if len(body) > table.manifest.limits.body_max_bytes:
            raise _Denied(413, "body_too_long")
        if not self.takes_work:
            raise _Denied(503, "leaving", LEAVING_RETURN_S)
        if not headers.request_id:
            raise _Denied(400, "no_request_id")
        service = choose_service(route.shares, headers.request_id)
        if service is None:
            raise _Denied(503, "no_service", NO_MANIFEST_RETURN_S)
        waits_s = route.timeout_s
        if headers.wait_s is not None:
            waits_s = min(waits_s, headers.wait_s)
        return EdgeCall(
            method=line.method,
            target=line.path,
            headers=headers,
            body=body,
            route=route,
            service=service,
            team=None if team is None else team.name,
            arrived_s=arrived_s,
            limit_s=arrived_s + waits_s,
            manifest_version=table.manifest.version,
            prefixes=find_shared_prefixes(route, headers),
            urgency=rank_urgency(
                None if team is None else team.priority, route.priority
            ),
        )

    def _find_team(
        self, table: RouteTable, route: Route, headers: RequestHeaders
    ) -> TeamKeys | None:
        if not table.needs_keys:
            return None
        found = table.find_team(headers.key) if headers.key else None
        if found is None and not route.is_anonymous:
            raise self._deny_unknown(401, "unknown_key")
        return found

    def _deny_unknown(self, status: int, reason: str) -> _Denied:
        """Return the denial of a route or key that the manifest doesn't name.

        Clients take 404 and 401 for final.  A router that knows of a newer manifest,
        or has not heard of the store for longer than a change may take, would turn
        away for good those who may be served; told to come back, they find out.
        """
        if self.is_outdated():
            return _Denied(503, "manifest_outdated", OUTDATED_RETURN_S)
        return _Denied(status, reason)


class _Request(HTTPMessageDelegate):
    """One request of a client, as it is read."""

    def __init__(self, server: EdgeServer, connection: HTTP1Connection) -> None:
        self._server = server
        self._connection = connection
        self._pieces: list[bytes] = []
        self._size_bytes = 0
        self._task: asyncio.Task[None] | None = None
        self._call: EdgeCall | None = None
        self._arrived_s = 0.0

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Take the head."""
        assert isinstance(start_line, RequestStartLine)
        self._line = start_line
        self._headers = headers
        self._arrived_s = self._server.clock()
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Take a piece of the body; what goes beyond the limit is not kept."""
        self._size_bytes += len(chunk)
        table = self._server.view.routes
        if table is None or self._size_bytes <= table.manifest.limits.body_max_bytes:
            self._pieces.append(chunk)
        return None

    def finish(self) -> None:
        """Serve the request, which is whole."""
        # Once a request is whole, tornado tells of its client's close only here.  Not
        # noticed, a request at an endpoint that is silent would keep its place there
        # until its deadline, for nobody: of 130 whose clients left such an endpoint, 83
        # were still at work half a second later.
        self._connection.set_close_callback(self.on_connection_close)
        self._task = asyncio.create_task(self._serve())
        self._server.in_flight.add(self._task)
        self._task.add_done_callback(self._server.in_flight.discard)

    def on_connection_close(self) -> None:
        """Stop all work for a client that has left."""
        if self._task is None or self._task.done():
            return
        self._server.metrics.count("clients_left")
        if self._call is not None:
            log_event(
                CALL_LEFT,
                request=self._call.request_id,
                route=self._call.route.name,
                after_s=self._server.clock() - self._arrived_s,
            )
        self._task.cancel()

    async def _serve(self) -> None:
        server = self._server
        must_close = server.is_leaving or server.sends_elsewhere
        reply = EdgeReply(self._connection, must_close)
        try:
            await self._answer(reply)
        except StreamClosedError:
            # The client has left while its answer was written.
            self._server.metrics.count("clients_left")
        except Exception as error:  # noqa: BLE001
            # A fault of ours must not leave a client waiting for its deadline.
            log_event(TASK_FAILED, task="serve", error=repr(error))
            if not reply.is_over:
                reply.cut()

    async def _answer(self, reply: EdgeReply) -> None:
        headers = parse_request_headers(self._headers)
        try:
            self._check_head()
            self._call = self._server.match(
                self._line,
                self._headers.get("Host", ""),
                headers,
                b"".join(self._pieces),
                self._arrived_s,
            )
        except _Denied as denied:
            await self._deny(reply, headers.request_id, denied)
            return
        await self._server.flow.serve(self._call, reply)

    def _check_head(self) -> None:
        table = self._server.view.routes
        if table is None:
            return
        limits = table.manifest.limits
        size_bytes = sum(len(n) + len(v) + 4 for n, v in self._headers.get_all())
        if size_bytes + len(self._line.path) > limits.header_max_bytes:
            raise _Denied(431, "head_too_long")
        if self._size_bytes > limits.body_max_bytes:
            raise _Denied(413, "body_too_long")

    async def _deny(self, reply: EdgeReply, request_id: str, denied: _Denied) -> None:
        table = self._server.view.routes
        log_event(
            CALL_REFUSED,
            request=request_id,
            route="",
            status=denied.status,
            reason=denied.reason,
            version=0 if table is None else table.manifest.version,
            sent=0,
            retry_after_s=denied.retry_after_s,
        )
        self._server.metrics.count_refusal(denied.reason)
        headers = build_error_headers(request_id, denied.retry_after_s)
        body = b'{"error": "%s"}\n' % denied.reason.encode()
        await reply.begin(denied.status, list(headers.items()), body)
