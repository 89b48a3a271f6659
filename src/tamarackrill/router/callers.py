"""Handlers of the callers' HTTP requests, at the entry router and at the home."""

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from tornado.iostream import StreamClosedError
from tornado.web import Application, HTTPError, RequestHandler, stream_request_body

from tamarackrill.contracts import Contract
from tamarackrill.decisions.hashing import rendezvous_order
from tamarackrill.events import REQUEST_FORWARDED, log_event
from tamarackrill.exceptions import Refusal
from tamarackrill.router.calls import Call, find_contract, read_call
from tamarackrill.router.claiming import HeldElsewhere
from tamarackrill.router.explaining import Question
from tamarackrill.router.flow import Flow
from tamarackrill.router.forwarding import (
    MAY_HAVE_RUN,
    find_forwarded_id,
    forward_call,
)
from tamarackrill.router.members import Member, Members
from tamarackrill.router.metrics import Metrics
from tamarackrill.router.outlets import Outlet
from tamarackrill.router.replies import Reply
from tamarackrill.router.upstream import (
    CurlAsyncHTTPClient,
    Exchange,
    Head,
    UpstreamFailed,
)

# Homes that are tried before the entry router runs a call by itself.
HOMES_TRIED = 2
# Marks a refusal of a router that leaves, so that the next home is tried.
LEAVING = "Tamarackrill-Leaving"
LEAVING_CODE = "leaving"
# A shorter answer is sent with its length; a longer one goes on in pieces.
HELD_MAX_BYTES = 1024 * 1024
NOT_PASSED_BACK = ("Connection", "Transfer-Encoding", "Content-Length", "Server")


class OpenCalls:
    """Counts the callers' connections that still wait for the end of an answer."""

    def __init__(self) -> None:
        self._count = 0
        self._none = asyncio.Event()
        self._none.set()

    @property
    def count(self) -> int:
        """Calls that are open now."""
        return self._count

    def enter(self) -> None:
        """Count one more."""
        self._count += 1
        self._none.clear()

    def leave(self) -> None:
        """Count one less."""
        self._count -= 1
        if not self._count:
            self._none.set()

    async def wait_none(self) -> None:
        """Return when no call is open."""
        await self._none.wait()


class Front(NamedTuple):
    """What the handlers use; owned by the application object.

    Parameters
    ----------
    flow : Flow
        Runs calls at this router.
    members : Members
        Live routers, this one among them.
    client : CurlAsyncHTTPClient
        For calls to other routers.
    metrics : Metrics
        Counters.
    open_calls : OpenCalls
        Calls whose answer has not ended.
    body_max_bytes : int
        Longest body.
    peer_keys : tuple of str
        Keys shared by the routers.
    find_holder : callable
        Returns the contract that holds a key, by the key's hash.
    is_leaving : callable
        Tells whether this router refuses new work.
    is_ready : callable
        Tells whether the balancer may send new work here.
    describe : callable
        Returns the status of this router.
    explain : callable
        Returns where a call would go.
    clock : callable
        Returns the present time.
    """

    flow: Flow
    members: Members
    client: CurlAsyncHTTPClient
    metrics: Metrics
    open_calls: OpenCalls
    body_max_bytes: int
    peer_keys: tuple[str, ...]
    find_holder: Callable[[str], Contract | None]
    is_leaving: Callable[[], bool]
    is_ready: Callable[[], bool]
    describe: Callable[[], dict[str, Any]]
    explain: Callable[[Question], dict[str, Any]]
    clock: Callable[[], float] = time.monotonic


class _Handler(RequestHandler):
    def initialize(self, front: Front) -> None:
        self.front = front

    def set_default_headers(self) -> None:
        self.clear_header("Server")

    def prepare(self) -> Any:
        raise HTTPError(404)

    def compute_etag(self) -> None:
        # An entity tag of ours would turn an endpoint's answer into a 304.
        return None

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        code = "not_found" if status_code == 404 else "bad_request"
        refusal = Refusal(code, status_code, self._reason)
        self.send_refusal(refusal)

    def send_refusal(self, refusal: Refusal) -> None:
        """Answer with a refusal, or cut an answer that has begun."""
        if self._headers_written:
            self.cut(refusal)
            return
        self.clear()
        self.set_status(refusal.status, refusal.code)
        if refusal.code == LEAVING_CODE:
            self.set_header(LEAVING, "1")
        self.set_header("Retry-After", str(max(1, round(refusal.retry_after_s))))
        self.finish(dict(refusal.to_body()))

    def cut(self, refusal: Refusal) -> None:
        """End an answer that has begun so that it can't be taken for a whole one."""
        content_type = self._headers.get("Content-Type") or ""
        if content_type.startswith("text/event-stream"):
            self.finish(f"event: error\ndata: {json.dumps(refusal.to_body())}\n\n")
            return
        connection = self.request.connection
        if connection is not None:
            connection.detach().close()


class _CallerOutlet(Outlet):
    """Writes pieces to the caller; has no room while the caller's socket is full."""

    def __init__(self, handler: "CallHandler", stream: bool) -> None:
        super().__init__()
        self._handler = handler
        self._stream = stream
        self._held: list[bytes] = []
        self._size_bytes = 0
        self._last_s: float | None = None

    def take(self, piece: bytes) -> bool:
        """Write a piece of a stream at once, of another answer once it is long."""
        if self._stream:
            self._record_gap()
            return self._write(piece)
        self._held.append(piece)
        self._size_bytes += len(piece)
        return self._size_bytes <= HELD_MAX_BYTES or self._write_held()

    def finish(self) -> None:
        """Write what is held and end the answer."""
        self._handler.finish(b"".join(self._held) or None)

    def _write_held(self) -> bool:
        held = b"".join(self._held)
        self._held.clear()
        self._size_bytes = 0
        return self._write(held)

    def _write(self, piece: bytes) -> bool:
        handler = self._handler
        handler.write(piece)
        flushed = handler.flush()
        connection = handler.request.connection
        if connection is None or not connection.stream.writing():
            return True
        flushed.add_done_callback(lambda _: self.on_room())
        return False

    def _record_gap(self) -> None:
        front = self._handler.front
        now_s = front.clock()
        if self._last_s is not None:
            front.metrics.record_gap(now_s - self._last_s)
        self._last_s = now_s


@stream_request_body
class CallHandler(_Handler):
    """Takes a call, finds its home and passes the answer back.

    The key is checked before the body is read, so that a stranger can't make the
    router hold a body for it.
    """

    def initialize(self, front: Front) -> None:
        """Start with nothing read."""
        super().initialize(front)
        self._exchange: Exchange | None = None
        self._reply: Reply | None = None
        self._body = bytearray()
        self._contract: Contract | None = None
        self._counted = False
        self._is_gone = False
        self._may_have_run = MAY_HAVE_RUN in self.request.headers

    def send_refusal(self, refusal: Refusal) -> None:
        """Answer with a refusal that is also true of the routers tried before."""
        # A home that was given up may have sent the call on before it was lost or
        # frozen.  What the next router says of it is true of its own doing only: told
        # "not run", a client would book again under another key.
        if self._may_have_run and refusal.run == "not_run":
            refusal = Refusal(
                refusal.code,
                refusal.status,
                refusal.message,
                "unknown",
                refusal.retry_after_s,
            )
        super().send_refusal(refusal)

    def prepare(self) -> None:
        """Check the key and the announced size before the body comes."""
        front = self.front
        front.metrics.count("requests", self.request.method or "")
        front.open_calls.enter()
        self._counted = True
        try:
            self._check_size(int(self.request.headers.get("Content-Length", "0")))
            authorization = self.request.headers.get("Authorization", "")
            self._contract = find_contract(front.find_holder, authorization)
            if front.is_leaving():
                raise Refusal(LEAVING_CODE, 503, "this router is leaving")
        except Refusal as refusal:
            self.send_refusal(refusal)

    def data_received(self, chunk: bytes) -> None:
        """Take a piece of the body."""
        self._body += chunk
        try:
            self._check_size(len(self._body))
        except Refusal as refusal:
            self._body.clear()
            if not self._finished:
                self.send_refusal(refusal)

    def _check_size(self, size_bytes: int) -> None:
        limit_bytes = self.front.body_max_bytes
        if size_bytes > limit_bytes:
            message = f"the body is longer than {limit_bytes} bytes"
            raise Refusal("body_too_long", 413, message)

    async def get(self) -> None:
        """Answer the call; the method does not matter here."""
        try:
            await self._answer()
        except Refusal as refusal:
            self.send_refusal(refusal)
        except StreamClosedError:
            self.on_connection_close()

    post = put = patch = delete = get

    def on_finish(self) -> None:
        """Count the call as over."""
        if self._counted:
            self._counted = False
            self.front.open_calls.leave()

    async def _answer(self) -> None:
        front = self.front
        if self._contract is None:
            return
        call = self._read_call(self._contract)
        forwarded_id = find_forwarded_id(
            self.request.headers, call.fingerprint, front.peer_keys
        )
        if forwarded_id:
            call = call._replace(request_id=forwarded_id)
        if not forwarded_id and await self._forward(call):
            return
        await self._serve(call)

    def _read_call(self, contract: Contract) -> Call:
        request = self.request
        return read_call(
            contract,
            request.method or "",
            request.uri or "",
            request.headers,
            bytes(self._body),
            self.front.clock(),
        )

    def _list_homes(self, call: Call) -> list[Member]:
        if not call.home_key:
            return []
        live = {member.name: member for member in self.front.members.list_live()}
        names = rendezvous_order(call.home_key, list(live), HOMES_TRIED)
        return [live[name] for name in names]

    async def _forward(self, call: Call) -> bool:
        """Return whether another router has answered the call."""
        for home in self._list_homes(call):
            if home.name == self.front.members.own.name:
                return False
            try:
                await self._forward_to(call, home)
                return True
            except UpstreamFailed as error:
                if self._is_gone:
                    return True
                self._may_have_run = self._may_have_run or error.sent
                # The home is gone.  Its memory of the chat is gone with it; the
                # next in order serves.  A call that may run only once is safe:
                # its claim is on the platform, not in the home's memory.
                if self._headers_written:
                    message = "the home router was lost during the answer"
                    refusal = Refusal("router_lost", 502, message, "unknown")
                    self.cut(refusal)
                    return True
        return False

    async def _forward_to(self, call: Call, home: Member) -> None:
        front = self.front
        authorization = self.request.headers.get("Authorization", "")
        log_event(REQUEST_FORWARDED, team=call.team, chat=call.chat, home=home.name)
        exchange = forward_call(
            front.client,
            call,
            home,
            authorization,
            front.peer_keys[0],
            front.clock(),
            self._may_have_run,
        )
        self._exchange = exchange
        try:
            head = await exchange.head()
            if LEAVING in head.headers:
                raise UpstreamFailed("the home router is leaving", sent=False)
            self.begin(head)
            outlet = _CallerOutlet(self, call.stream)
            await exchange.pump(outlet)
            outlet.finish()
        finally:
            await exchange.close()

    async def _serve(self, call: Call) -> None:
        reply = self.front.flow.open(call)
        self._reply = reply
        reply.readers += 1
        try:
            head = await reply.head()
            self.begin(head)
            outlet = _CallerOutlet(self, call.stream)
            await reply.pump(outlet, call.after_event)
            outlet.finish()
        except HeldElsewhere as held:
            await self._ask_holder(call, held)
        finally:
            self._leave()

    async def _ask_holder(self, call: Call, held: HeldElsewhere) -> None:
        # Routers that disagree for some seconds send a resend to another home.  The
        # router that holds the claim has the run or the answer; the caller would
        # otherwise hear "unknown" of a booking that went well.
        live = {member.name: member for member in self.front.members.list_live()}
        if held.router not in live:
            raise held
        try:
            await self._forward_to(call, live[held.router])
        except UpstreamFailed:
            raise held from None

    def begin(self, head: Head) -> None:
        """Set status and headers of the answer."""
        self.set_status(head.status)
        for name, value in head.headers.items():
            if name not in NOT_PASSED_BACK:
                self.set_header(name, value)

    def _leave(self) -> None:
        reply, self._reply = self._reply, None
        if reply is not None:
            reply.leave()

    def on_connection_close(self) -> None:
        """Let the run and the home know that the caller is gone."""
        self._is_gone = True
        self.on_finish()
        self._leave()
        if self._exchange is not None:
            self._exchange.cancel()


class _QueryHandler(_Handler):
    def prepare(self) -> None:
        return None


class HealthHandler(_QueryHandler):
    """Tells that the process runs."""

    def get(self) -> None:
        """Answer at once."""
        self.finish({"health": "ok"})


class ReadinessHandler(_QueryHandler):
    """Tells whether the balancer may send new work."""

    def get(self) -> None:
        """Answer 503 while leaving, without any contract, or with a faulty task."""
        ready = self.front.is_ready()
        self.set_status(200 if ready else 503)
        self.finish({"ready": ready})


class MetricsHandler(_QueryHandler):
    """Metrics as text."""

    def get(self) -> None:
        """Answer with all metrics."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self.front.metrics.format_text())


class StatusHandler(_QueryHandler):
    """Status of this router, for queries."""

    def get(self) -> None:
        """Answer with configuration, members, endpoints and work in flight."""
        self.finish(self.front.describe())


class ExplainHandler(_QueryHandler):
    """Where a call would go, for queries."""

    def get(self) -> None:
        """Answer for ``team``, ``chat`` and one of ``model`` and ``service``."""
        arguments = [self.get_argument(name, "") for name in Question._fields]
        try:
            self.finish(self.front.explain(Question(*arguments)))
        except Refusal as refusal:
            self.send_refusal(refusal)


def make_front(front: Front) -> Application:
    """Return the callers' side as a tornado application."""
    bound = {"front": front}
    return Application(
        [
            (r"/v1/chat/completions", CallHandler, bound),
            (r"/services/.+", CallHandler, bound),
            (r"/healthz", HealthHandler, bound),
            (r"/readyz", ReadinessHandler, bound),
            (r"/metrics", MetricsHandler, bound),
            (r"/v1/status", StatusHandler, bound),
            (r"/v1/explain", ExplainHandler, bound),
        ],
        default_handler_class=_Handler,
        default_handler_args=bound,
        log_function=lambda handler: None,
    )
