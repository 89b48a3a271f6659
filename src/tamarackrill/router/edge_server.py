"""Reads client requests on the platform's interface and matches them to routes."""

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

from tamarackrill.decisions.capacity.descriptors import (
    RETRY_AFTER_S as SURPLUS_RETRY_AFTER_S,
)
from tamarackrill.decisions.capacity.request_bytes import RequestBytes
from tamarackrill.decisions.capacity.sharing_scope import weigh_team
from tamarackrill.decisions.engine_waits import rank_urgency
from tamarackrill.decisions.manifests import (
    ClientLimits,
    Route,
    RouteTable,
    TeamKeys,
    choose_service,
)
from tamarackrill.decisions.request_reading import BodyProgress, is_overdue
from tamarackrill.decisions.request_targets import is_sendable
from tamarackrill.decisions.stopping import RETRY_AFTER_S as LEAVING_RETRY_AFTER_S
from tamarackrill.decisions.unexpected_errors import RETRY_AFTER_S, choose_status
from tamarackrill.events import CALL_LEFT, CALL_REFUSED, log_event
from tamarackrill.platform.headers import (
    RequestHeaders,
    build_error_headers,
    parse_request_headers,
    read_request_id,
)
from tamarackrill.router.background import log_task_failure
from tamarackrill.router.client_streams import ClientStream, RequestLimits
from tamarackrill.router.deployment_view import DeploymentView
from tamarackrill.router.draining_server import DrainingServer
from tamarackrill.router.edge_calls import (
    EdgeCall,
    describe_call,
    find_first_attempt,
    find_shared_prefixes,
    hash_shared_parts,
)
from tamarackrill.router.edge_flow import EdgeFlow
from tamarackrill.router.edge_reply import ClientTooSlow, EdgeReply, MakeReply
from tamarackrill.router.guarded_requests import OwnAnswer, RequestGuard, send_answer
from tamarackrill.router.metrics import Metrics
from tamarackrill.router.request_bodies import RequestBody
from tamarackrill.router.standstill import wait_never
from tamarackrill.router.unexpected_errors import (
    convert_stray_cancellation,
    record_unexpected,
    tolerate,
)

# Headers above the manifest's limit get a 431; the connection is closed if they exceed
# what is read: this many times the limit, and at least and at most so much.
HEADERS_READ_LIMITS = 2
HEADERS_READ_MIN_BYTES = 64 * 1024
HEADERS_READ_MAX_BYTES = 8 * 1024 * 1024
UNLIMITED_BYTES = 1 << 40
# Default until a manifest sets the idle timeout: as long as browsers and proxies
# commonly keep connections alive, so that no request races with the router's close.
IDLE_TIMEOUT_S = 75.0
# A router without a manifest was started within the last second or two.
NO_MANIFEST_RETRY_AFTER_S = 0.5
# Time in which a router reads a newer manifest that others already hold: half a second
# over a slow link.
OUTDATED_RETRY_AFTER_S = 0.5
# Other routers put a manifest in force within this time of this one.
LIMIT_RAISED_RETRY_AFTER_S = 0.5
# Bodies are held for about as long as requests take.
NO_MEMORY_RETRY_AFTER_S = 0.5
# Time in which a client has to take the router's own response, some hundred bytes, also
# if its deadline has passed.
REFUSAL_DELIVERY_S = 1.0
# Time for the refusals of requests that a router which stops has not read.
UNREAD_REFUSAL_S = 0.1
DEFAULT_MEMORY_BYTES = 200 * 1024 * 1024
_INTERNAL_BODY = b'{"error": "internal"}\n'


class _Denied(Exception):
    """A request that the current manifest doesn't allow, or that is malformed."""

    def __init__(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


class EdgeServer(HTTPServerConnectionDelegate):
    """HTTP server for clients.

    Parameters
    ----------
    view : DeploymentView
        Holds the current manifest.
    flow : EdgeFlow
        Serves requests that match a route.
    metrics : Metrics
        Records counters.
    clock : callable
        Returns the present time.
    memory_bytes : int, optional
        Memory of the VM.

    Attributes
    ----------
    is_leaving : bool
        Whether each connection is closed after its next response.
    sheds_connections : bool
        Whether each connection is closed after its next response because other routers
        serve clients better; new connections are still served.
    accepts_requests : bool
        Whether requests are still served rather than refused.
    make_reply : callable
        Returns the reply to a request, given its connection.
    is_outdated : callable
        Returns whether other routers may already have a newer manifest.
    wait_current : callable
        Waits for news if the router has just stood still.
    reading : set of _Request
        Requests whose head has been read and whose body hasn't.
    """

    def __init__(
        self,
        view: DeploymentView,
        flow: EdgeFlow,
        metrics: Metrics,
        clock: Callable[[], float],
        memory_bytes: int = DEFAULT_MEMORY_BYTES,
    ) -> None:
        self.view = view
        self.flow = flow
        self.metrics = metrics
        self.clock = clock
        self.is_leaving = False
        self.sheds_connections = False
        self.accepts_requests = True
        self.is_outdated: Callable[[], bool] = lambda: False
        self.wait_current: Callable[[], Awaitable[None]] = wait_never
        self.make_reply: MakeReply = EdgeReply
        self.in_flight: set[asyncio.Task[None]] = set()
        self.request_bytes = RequestBytes(memory_bytes)
        self.reading: set[_Request] = set()
        self.server = DrainingServer(
            self,
            max_header_size=HEADERS_READ_MIN_BYTES,
            max_body_size=UNLIMITED_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
        )
        self.server.guard = RequestGuard(_refuse_unread, metrics)
        self.server.refuses_surplus = True
        self.server.limits = RequestLimits(self.request_bytes)

    def set_limits(self, limits: ClientLimits) -> None:
        """Follow the limits of a manifest while heads are read.

        Connections that send no complete request head within the idle timeout are
        closed.  Each holds a file descriptor and some 50 kB, so clients that vanish
        without closing would exhaust the router.
        """
        self.server.idle_timeout_s = limits.idle_timeout_s
        self.server.conn_params.max_header_size = min(
            HEADERS_READ_MAX_BYTES,
            max(HEADERS_READ_MIN_BYTES, HEADERS_READ_LIMITS * limits.header_max_bytes),
        )

    def leave(self) -> None:
        """Close each connection after its next response."""
        self.is_leaving = True
        self.server.leave()

    async def refuse_unread(self) -> None:
        """Refuse the requests whose body has not arrived as a whole."""
        tasks = []
        for request in list(self.reading):
            with tolerate(self.metrics, "refuse unread"):
                tasks.append(request.refuse())
        if tasks:
            await asyncio.wait(tasks, timeout=UNREAD_REFUSAL_S)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate that reads the next request of a connection."""
        assert isinstance(request_conn, HTTP1Connection)
        return _Request(self, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Do nothing, as connections have no state here."""

    def end_overdue(self) -> None:
        """Refuse the requests whose bodies do not arrive in time."""
        table = self.view.routes
        if table is None or not self.reading:
            return
        idle_max_s = table.manifest.limits.idle_timeout_s
        wait_max_s = max((r.timeout_s for r in table.manifest.routes), default=0.0)
        for request in list(self.reading):
            request.end_overdue(idle_max_s, wait_max_s, self.clock())

    def find_team_name(self, key: str) -> str | None:
        """Return the team that holds a key, None if the manifest has no teams."""
        table = self.view.routes
        if table is None or not table.needs_keys:
            return None
        team = table.find_team(key)
        return "" if team is None else team.name

    def match(
        self,
        line: RequestStartLine,
        host: str,
        headers: RequestHeaders,
        body: bytes,
        arrived_s: float,
    ) -> EdgeCall:
        """Match a request to its route and service.

        Raises
        ------
        _Denied
            If the router itself refuses the request.
        """
        table = self.view.routes
        if table is None:
            raise _Denied(503, "no_manifest", NO_MANIFEST_RETRY_AFTER_S)
        if not is_sendable(line.path):
            raise _Denied(400, "malformed_target")
        route = table.find_route(host, line.path.partition("?")[0])
        if route is None:
            raise self.deny_unmatched(404, "no_route")
        team = self._find_team(table, route, headers)
        if len(body) > table.manifest.limits.body_max_bytes:
            raise self.deny_unmatched(413, "body_too_long")
        if not self.accepts_requests:
            raise _Denied(503, "leaving", LEAVING_RETRY_AFTER_S)
        if not headers.request_id:
            raise _Denied(400, "no_request_id")
        # A stream stays at the service that began it.
        service = choose_service(route.shares, find_first_attempt(headers))
        if service is None:
            raise _Denied(503, "no_service", NO_MANIFEST_RETRY_AFTER_S)
        timeout_s = route.timeout_s
        if headers.wait_s is not None:
            timeout_s = min(timeout_s, headers.wait_s)
        return EdgeCall(
            method=line.method,
            target=line.path,
            headers=headers,
            body=body,
            route=route,
            service=service,
            team=None if team is None else team.name,
            arrived_s=arrived_s,
            deadline_s=arrived_s + timeout_s,
            manifest_version=table.manifest.version,
            prefixes=find_shared_prefixes(route, headers),
            parts=hash_shared_parts(headers),
            urgency=rank_urgency(
                None if team is None else team.priority, route.priority
            ),
            weight=weigh_team(None if team is None else team.priority),
        )

    def _find_team(
        self, table: RouteTable, route: Route, headers: RequestHeaders
    ) -> TeamKeys | None:
        if not table.needs_keys:
            return None
        found = table.find_team(headers.key) if headers.key else None
        if found is None and not route.is_anonymous:
            raise self.deny_unmatched(401, "unknown_key")
        return found

    def deny_unmatched(self, status: int, reason: str) -> _Denied:
        """Return the denial of a request that the manifest doesn't allow.

        Clients treat 401, 404, 413 and 431 as final. If a newer manifest is known, or
        nothing has been heard of the store for longer than a change may take to
        propagate, it may be allowed by now, so clients get a 503 and retry.
        """
        if self.is_outdated():
            return _Denied(503, "manifest_outdated", OUTDATED_RETRY_AFTER_S)
        return _Denied(status, reason)


def _read_host(line: RequestStartLine, headers: HTTPHeaders) -> str:
    """Return the host that a client names; empty if HTTP/1.0 lets it name none.

    Raises
    ------
    _Denied
        If there are several, by which a program in front may choose another route, or
        none (RFC 9112, 3.2).
    """
    hosts = headers.get_list("Host")
    if len(hosts) > 1 or (not hosts and line.version != "HTTP/1.0"):
        raise _Denied(400, "malformed_host")
    return hosts[0] if hosts else ""


def _refuse_unread(headers: HTTPHeaders) -> OwnAnswer:
    """Return the refusal of a request whose reading raised an undeclared error."""
    fields = build_error_headers(read_request_id(headers.get_all()), RETRY_AFTER_S)
    status = choose_status(has_sent=False, is_late=False)
    return OwnAnswer(status, "Service Unavailable", fields, _INTERNAL_BODY)


class _Request(HTTPMessageDelegate):
    """Reads and serves one request of a client."""

    def __init__(self, server: EdgeServer, connection: HTTP1Connection) -> None:
        self._server = server
        self._connection = connection
        self._body = RequestBody(server.request_bytes, self._find_team)
        # Why the request is refused before all of it has been read.
        self._denied: _Denied | None = None
        self._is_refused_early = False
        # Whether it was overdue when that was last checked.
        self._is_overdue = False
        self._progress: BodyProgress | None = None
        self._task: asyncio.Task[None] | None = None
        self._call: EdgeCall | None = None
        self._reply: EdgeReply | None = None
        # Whether the task was cancelled for the client's disconnect.
        self._is_cancelled = False
        self._arrived_s = 0.0

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Store the request line and headers."""
        assert isinstance(start_line, RequestStartLine)
        self._start_line = start_line
        self._headers = headers
        self._arrived_s = self._server.clock()
        self._server.reading.add(self)
        return None

    def _find_team(self) -> str | None:
        return self._server.find_team_name(parse_request_headers(self._headers).key)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Store a chunk of the body; a body beyond the size limit is discarded."""
        if self._task is not None:
            return self._wait_refused(self._task)
        server = self._server
        table = server.view.routes
        limit_bytes = None if table is None else table.manifest.limits.body_max_bytes
        if not self._body.take(chunk, limit_bytes, server.clock()):
            denied = _Denied(503, "no_memory", NO_MEMORY_RETRY_AFTER_S)
            return self._wait_refused(self._refuse_early(denied))
        if self._body.is_far_beyond:
            return self._wait_refused(self._refuse_early(None))
        return None

    async def _wait_refused(self, task: "asyncio.Task[None]") -> None:
        """Read nothing more until the request has been refused."""
        await asyncio.wait([task])

    def end_overdue(self, idle_max_s: float, wait_max_s: float, now_s: float) -> None:
        """Refuse the request if its body has not arrived in time."""
        body = self._body
        if self._progress is None:
            wait_s = parse_request_headers(self._headers).wait_s
            self._progress = BodyProgress(
                self._arrived_s, self._arrived_s, None, wait_s
            )
        if body.read_s is not None:
            self._progress = self._progress._replace(
                read_s=body.read_s, excess_s=body.excess_s
            )
        if not is_overdue(self._progress, idle_max_s, wait_max_s, now_s):
            self._is_overdue = False
            return
        if not self._is_overdue:
            # After a standstill the rest of the body may have arrived unread.
            self._is_overdue = True
            return
        self._refuse_early(None if body.is_discarded else _Denied(408, "body_late"))

    def _refuse_early(self, denied: _Denied | None) -> "asyncio.Task[None]":
        """Refuse the request before all of it has been read.

        Parameters
        ----------
        denied : _Denied or None
            Why; None for the limits of the manifest.
        """
        self._denied, self._is_refused_early = denied, True
        self._body.release()
        stream = self._connection.stream
        assert isinstance(stream, ClientStream)
        stream.lingers = True
        return self._start()

    def finish(self) -> None:
        """Serve the request, which is now complete."""
        if self._task is not None:
            # It has been refused in the meantime.
            return
        # Once a request is complete, tornado reports a disconnect of its client only to
        # this callback. Unnoticed, the request would hold its slot at an unresponsive
        # endpoint until its deadline: of 130 such requests, 83 were still running half
        # a second after their clients had left.
        self._connection.set_close_callback(self.on_connection_close)
        self._start()

    def _start(self) -> "asyncio.Task[None]":
        self._server.reading.discard(self)
        self._task = asyncio.create_task(self._serve())
        self._server.in_flight.add(self._task)
        self._task.add_done_callback(self._end)
        return self._task

    def _end(self, task: asyncio.Task[None]) -> None:
        self._server.in_flight.discard(task)
        self._body.release()
        is_stray = task.cancelled() and not self._is_cancelled
        if not log_task_failure(task) and not is_stray:
            return
        # Otherwise the client would wait for an answer until its deadline.
        if self._reply is not None:
            self._connection.close()
            return
        answer = _refuse_unread(self._headers)
        send_answer(self._connection, answer, self._start_line.method)

    def on_connection_close(self) -> None:
        """Cancel the request of a client that has disconnected."""
        if self._task is None:
            self._server.reading.discard(self)
            self._body.release()
            return
        if self._task.done():
            return
        self._is_cancelled = True
        self._task.cancel()
        self._record_left()

    def refuse(self) -> "asyncio.Task[None]":
        """Answer that the request, whose body hasn't been read, has not run."""
        return self._refuse_early(_Denied(503, "leaving", LEAVING_RETRY_AFTER_S))

    def _record_left(self) -> None:
        with tolerate(self._server.metrics, "record left"):
            self._server.metrics.count("clients_left")
            if self._call is not None:
                log_event(
                    CALL_LEFT,
                    **describe_call(self._call),
                    after_s=self._server.clock() - self._arrived_s,
                )

    async def _serve(self) -> None:
        server = self._server
        must_close = server.is_leaving or server.sheds_connections
        must_close = must_close or self._is_refused_early or self._is_surplus()
        takes_chunks = self._start_line.version != "HTTP/1.0"
        # Used unless the reply that buffers can be made.
        reply = EdgeReply(self._connection, must_close, takes_chunks)
        self._reply = reply
        try:
            with convert_stray_cancellation():
                reply = server.make_reply(self._connection, must_close, takes_chunks)
                reply.takes_body = self._start_line.method != "HEAD"
                await self._match_and_serve(reply)
                await reply.deliver(self._find_delivery_end_s())
        except StreamClosedError as error:
            if reply.is_client_gone:
                self._record_left()
            else:
                await self._answer_unexpected(reply, error)
        except ClientTooSlow:
            reply.abort()
        except Exception as error:  # noqa: BLE001
            # A bug in the router must not leave a client waiting until its deadline.
            await self._answer_unexpected(reply, error)
        finally:
            with tolerate(server.metrics, "release reply"):
                reply.release()

    async def _answer_unexpected(self, reply: EdgeReply, error: Exception) -> None:
        """Answer a request that an undeclared error has ended."""
        try:
            record_unexpected(self._server.metrics, "serve", error)
            if reply.is_over:
                return
            if reply.has_begun:
                reply.abort()
                return
            # Without a call nothing has been sent to an endpoint.
            has_sent = self._call is not None
            status = choose_status(has_sent, is_late=False)
            retry_after_s = None if has_sent else RETRY_AFTER_S
            request_id = "" if self._call is None else self._call.request_id
            headers = build_error_headers(request_id, retry_after_s)
            await reply.begin(status, list(headers.items()), _INTERNAL_BODY)
            await reply.deliver(self._server.clock() + REFUSAL_DELIVERY_S)
        except StreamClosedError:
            self._record_left()
        except Exception:
            reply.abort()

    def _find_delivery_end_s(self) -> float:
        end_s = self._server.clock() + REFUSAL_DELIVERY_S
        # An endpoint's failure that is passed on may be long.
        return end_s if self._call is None else max(end_s, self._call.deadline_s)

    async def _match_and_serve(self, reply: EdgeReply) -> None:
        headers = parse_request_headers(self._headers)
        await self._server.wait_current()
        try:
            if self._is_surplus():
                raise _Denied(503, "too_many_connections", SURPLUS_RETRY_AFTER_S)
            if self._denied is not None:
                raise self._denied
            self._check_sizes()
            self._call = self._server.match(
                self._start_line,
                _read_host(self._start_line, self._headers),
                headers,
                self._body.join(),
                self._arrived_s,
            )
        except _Denied as denied:
            await self._deny(reply, headers.request_id, denied)
            return
        reply.team = self._call.team or ""
        await self._server.flow.serve(self._call, reply)

    def _is_surplus(self) -> bool:
        return self._server.server.is_surplus(self._connection.stream)

    def _check_sizes(self) -> None:
        table = self._server.view.routes
        if table is None:
            return
        limits = table.manifest.limits
        size_bytes = sum(len(n) + len(v) + 4 for n, v in self._headers.get_all())
        if size_bytes + len(self._start_line.path) > limits.header_max_bytes:
            raise self._server.deny_unmatched(431, "head_too_long")
        if self._body.size_bytes > limits.body_max_bytes:
            raise self._server.deny_unmatched(413, "body_too_long")
        if self._body.is_discarded:
            # A newer manifest allows the body, which is gone by now.
            raise _Denied(503, "limit_raised", LIMIT_RAISED_RETRY_AFTER_S)

    async def _deny(self, reply: EdgeReply, request_id: str, denied: _Denied) -> None:
        table = self._server.view.routes
        log_event(
            CALL_REFUSED,
            request=request_id,
            route="",
            service="",
            team="",
            status=denied.status,
            reason=denied.reason,
            version=0 if table is None else table.manifest.version,
            sent=0,
            retry_after_s=denied.retry_after_s,
            after_s=self._server.clock() - self._arrived_s,
        )
        self._server.metrics.count_refusal(denied.reason)
        headers = build_error_headers(request_id, denied.retry_after_s)
        body = b'{"error": "%s"}\n' % denied.reason.encode()
        await reply.begin(denied.status, list(headers.items()), body)
