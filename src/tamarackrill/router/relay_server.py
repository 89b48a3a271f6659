"""Forwards single attempts of other routers to endpoints over this router's links."""

import asyncio
from collections.abc import Awaitable, Callable

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    HTTPServerRequest,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError
from tornado.routing import Matcher

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.capacity.request_bytes import RequestBytes
from tamarackrill.events import ATTEMPT_RELAYED, log_event
from tamarackrill.platform.headers import (
    filter_response_headers,
    is_resumption,
    read_request_id,
    shorten_deadline,
)
from tamarackrill.router.background import log_task_failure
from tamarackrill.router.channels import Channel, ChannelError, ResponseHead
from tamarackrill.router.client_streams import ClientStream
from tamarackrill.router.deployment_view import DeploymentView
from tamarackrill.router.edge_attempts import EdgeAttempts
from tamarackrill.router.edge_placing import EdgePlacer
from tamarackrill.router.edge_reply import EdgeReply
from tamarackrill.router.guarded_requests import OwnAnswer, RequestGuard, send_answer
from tamarackrill.router.metrics import Metrics
from tamarackrill.router.paths import CONNECT_TIMEOUT_S
from tamarackrill.router.relay_messages import (
    ANSWERED,
    NOT_SENT,
    OUTCOME_HEADER,
    PROOF_HEADER,
    RelayedAttempt,
    read_attempt,
    remove_relay_headers,
)
from tamarackrill.router.request_bodies import RequestBody
from tamarackrill.router.standstill import wait_never
from tamarackrill.router.unexpected_errors import (
    convert_stray_cancellation,
    record_unexpected,
    tolerate,
)

# Attempts forwarded at the same time.  Each buffers up to 64 KiB for a slow reader.
RELAYED_MAX = 256
FORBIDDEN_STATUS = 403
UNAVAILABLE_STATUS = 503
UNLIMITED_BYTES = 1 << 40


class RelayedRequestMatcher(Matcher):
    """Matches requests that carry an attempt of another router."""

    def match(self, request: HTTPServerRequest) -> dict | None:
        """Return an empty dict for such a request, None for others."""
        return {} if PROOF_HEADER in request.headers else None


class RelayServer(HTTPServerConnectionDelegate):
    """Serves attempts of routers that can't reach an endpoint themselves.

    An attempt goes straight to its endpoint or is refused, so that it never passes
    through more than two routers.

    Parameters
    ----------
    view : DeploymentView
        Known endpoints.
    placer : EdgePlacer
        Knows which endpoints must not get requests.
    attempts : EdgeAttempts
        Owns the connections to endpoints.
    peer_keys : tuple of str
        Keys that authenticate other routers.
    metrics : Metrics
        Records counters.
    clock : callable
        Returns the current time.
    request_bytes : RequestBytes
        Bytes of requests that are held, also those of clients.

    Attributes
    ----------
    is_leaving : bool
        Whether further attempts are refused.
    in_flight : set of asyncio.Task
        Attempts being forwarded.
    wait_current : callable
        Waits for news if this router has just stood still.
    """

    def __init__(
        self,
        view: DeploymentView,
        placer: EdgePlacer,
        attempts: EdgeAttempts,
        peer_keys: tuple[str, ...],
        metrics: Metrics,
        clock: Callable[[], float],
        request_bytes: RequestBytes,
    ) -> None:
        self.request_bytes = request_bytes
        self.peer_keys = peer_keys
        self.clock = clock
        self.is_leaving = False
        self.wait_current: Callable[[], Awaitable[None]] = wait_never
        self.in_flight: set[asyncio.Task[None]] = set()
        self._sent: set[EdgeReply] = set()
        self._view = view
        self._placer = placer
        self._attempts = attempts
        self.metrics = metrics

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate that reads the next attempt of a connection."""
        connection = request_conn
        assert isinstance(connection, HTTP1Connection)
        # The limit of the manifest applies instead of that of the other pages.
        connection.set_max_body_size(UNLIMITED_BYTES)
        guard = RequestGuard(_refuse_unread, self.metrics)
        return guard.start(lambda: _RelayedRequest(self, connection), connection)

    def on_close(self, server_conn: object) -> None:
        """Do nothing, as connections have no state here."""

    def find_body_max_bytes(self) -> int | None:
        """Return the limit of the manifest, None if there is none."""
        table = self._view.routes
        return None if table is None else table.manifest.limits.body_max_bytes

    async def find_reached(self, names: list[str], is_fresh: bool) -> list[str]:
        """Return which endpoints this router reaches.

        Parameters
        ----------
        names : list of str
            Endpoints that another router asks about.
        is_fresh : bool
            Whether to probe all of them.
        """
        if self.is_leaving:
            return []
        usable = [e for name in names if (e := self._find_usable(name)) is not None]
        return await self._attempts.paths.confirm_reached(usable, is_fresh)

    def _find_usable(self, name: str) -> Endpoint | None:
        """Return an endpoint if requests may be sent to it now, else None."""
        endpoint = self._view.find_endpoint(name)
        if endpoint is None or endpoint.state != "live":
            return None
        if endpoint.zone in self._view.evacuated_zones:
            return None
        unavailable = self._placer.find_unusable(self.clock())
        return None if name in unavailable else endpoint

    async def forward(
        self, attempt: RelayedAttempt, reply: EdgeReply, arrived_s: float
    ) -> None:
        """Send an attempt to its endpoint, and the response to the router.

        Raises
        ------
        tornado.iostream.StreamClosedError
            If the router has disconnected.
        """
        await self.wait_current()
        opened: tuple[Endpoint, Channel] | None = None
        request_id = read_request_id(attempt.headers)
        with tolerate(self.metrics, "open relayed", request_id, attempt.endpoint):
            opened = await self._open(attempt)
        if opened is None:
            await self._refuse(reply)
            return
        endpoint, channel = opened
        is_clean = False
        head: ResponseHead | None = None
        try:
            self._sent.add(reply)
            headers = shorten_deadline(attempt.headers, self.clock() - arrived_s)
            channel.send(attempt.method, attempt.target, headers, attempt.body)
            with convert_stray_cancellation():
                head = await self._forward_response(attempt, endpoint, channel, reply)
            is_clean = True
        except ChannelError:
            # The other router sees that the response is incomplete, as it would on a
            # connection of its own.
            reply.abort()
        except StreamClosedError:
            raise
        except Exception as error:
            record_unexpected(
                self.metrics, "relay", error, request_id, attempt.endpoint
            )
            if channel.has_written or reply.has_begun:
                reply.abort()
            else:
                await self._refuse(reply)
        finally:
            self._sent.discard(reply)
            if not is_clean:
                channel.close()
            outcome = ANSWERED if is_clean else "lost"
            self.metrics.count("attempts_relayed", outcome)
            log_event(
                ATTEMPT_RELAYED,
                request=request_id,
                endpoint=attempt.endpoint,
                outcome=outcome,
                status=0 if head is None else head.status,
                framing="" if head is None else head.framing,
                total_s=round(self.clock() - arrived_s, 4),
            )

    def cut(self, is_last: bool) -> None:
        """Cut off attempts that were sent and have no response, or all at last.

        The other router then knows only that the attempt may have run.
        """
        for reply in list(self._sent):
            if is_last or not reply.has_begun:
                self.metrics.count("attempts_relayed", "stopped")
                reply.abort()

    async def _refuse(self, reply: EdgeReply) -> None:
        """Tell the other router that an attempt has not been sent."""
        self.metrics.count("attempts_relayed", NOT_SENT)
        await reply.begin(UNAVAILABLE_STATUS, [(OUTCOME_HEADER, NOT_SENT)], b"")

    async def _open(self, attempt: RelayedAttempt) -> tuple[Endpoint, Channel] | None:
        endpoint = self._find_usable(attempt.endpoint)
        is_full = len(self.in_flight) > RELAYED_MAX
        if endpoint is None or is_full or self.is_leaving:
            return None
        try:
            # A kept connection may end with the request unread, which only the other
            # router may send again, as it knows what is left of the retry budget.
            channel = await self._attempts.open_own_channel(
                endpoint, False, CONNECT_TIMEOUT_S
            )
        except OSError as error:
            self._attempts.paths.record_failure(endpoint, error)
            return None
        if not self._placer.takes_work(endpoint):
            channel.close()
            return None
        return endpoint, channel

    async def _forward_response(
        self,
        attempt: RelayedAttempt,
        endpoint: Endpoint,
        channel: Channel,
        reply: EdgeReply,
    ) -> ResponseHead:
        request_id = read_request_id(attempt.headers)
        head, answer_headers = await self._attempts.read_matching_head(
            request_id, endpoint, channel
        )
        self._attempts.paths.record_answer(endpoint)
        fields = remove_relay_headers(filter_response_headers(head.headers))
        await reply.begin(head.status, [*fields, (OUTCOME_HEADER, ANSWERED)])
        has_body = False
        while chunk := await channel.read_chunk():
            has_body = True
            await reply.write(chunk)
        # The other router sees a frame in any case, so it can't tell.
        is_unframed_stream = head.framing == "close" and answer_headers.is_event_stream
        if is_unframed_stream and not has_body and not is_resumption(attempt.headers):
            raise ChannelError("the connection ended before the first event")
        await self._attempts.checks.confirm_end(endpoint, head, attempt.is_repeatable)
        reply.finish()
        if channel.finish():
            self._attempts.pool.give_back(
                endpoint.name, channel, answer_headers.idle_max_s, self.clock()
            )
        return head


def _refuse_unread(headers: HTTPHeaders) -> OwnAnswer:
    """Return the refusal of an attempt whose reading raised an undeclared error."""
    fields = {OUTCOME_HEADER: NOT_SENT}
    return OwnAnswer(UNAVAILABLE_STATUS, "Service Unavailable", fields, b"")


class _RelayedRequest(HTTPMessageDelegate):
    """Reads and serves one attempt of another router."""

    def __init__(self, server: RelayServer, connection: HTTP1Connection) -> None:
        self._server = server
        self._connection = connection
        self._body = RequestBody(server.request_bytes, lambda: None)
        self._task: asyncio.Task[None] | None = None
        self._reply: EdgeReply | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Store the request line and headers."""
        assert isinstance(start_line, RequestStartLine)
        self._start_line = start_line
        self._headers = headers
        self._arrived_s = self._server.clock()
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Store a chunk of the body, or refuse the attempt if it is too long."""
        server, body = self._server, self._body
        has_room = body.take(chunk, server.find_body_max_bytes(), server.clock())
        if not has_room or body.is_discarded:
            self._refuse_early()
        return None

    def _refuse_early(self) -> None:
        self._body.release()
        self._server.metrics.count("attempts_relayed", NOT_SENT)
        stream = self._connection.stream
        assert isinstance(stream, ClientStream)
        stream.lingers = True
        answer = _refuse_unread(self._headers)
        answer.headers["Connection"] = "close"
        send_answer(self._connection, answer, self._start_line.method)

    def finish(self) -> None:
        """Serve the attempt, which is now complete."""
        self._connection.set_close_callback(self.on_connection_close)
        self._task = asyncio.create_task(self._serve())
        self._server.in_flight.add(self._task)
        self._task.add_done_callback(self._end)

    def _end(self, task: asyncio.Task[None]) -> None:
        self._server.in_flight.discard(task)
        self._body.release()
        if not log_task_failure(task):
            return
        if self._reply is not None:
            self._connection.close()
            return
        answer = _refuse_unread(self._headers)
        send_answer(self._connection, answer, self._start_line.method)

    def on_connection_close(self) -> None:
        """Cancel the attempt of a router that has disconnected."""
        if self._task is None:
            self._body.release()
        else:
            self._task.cancel()

    async def _serve(self) -> None:
        server, line = self._server, self._start_line
        self._reply = EdgeReply(self._connection, must_close=server.is_leaving)
        reply = self._reply
        pairs = list(self._headers.get_all())
        body = self._body.join()
        try:
            attempt = read_attempt(
                line.method, line.path, pairs, body, server.peer_keys
            )
            if attempt is None:
                await reply.begin(FORBIDDEN_STATUS, [], b"")
                return
            with convert_stray_cancellation():
                await server.forward(attempt, reply, self._arrived_s)
        except StreamClosedError:
            if not reply.is_client_gone:
                reply.abort()
        except Exception as error:  # noqa: BLE001
            # A bug here must not leave the other router waiting until its deadline.
            record_unexpected(server.metrics, "relay", error)
            if not reply.is_over:
                reply.abort()
