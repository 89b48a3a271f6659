"""HTTP handler of the callers' calls, at the entry router and at the home router."""

import socket
from typing import Any

from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError
from tornado.web import stream_request_body

from tamarackrill.contracts import Contract
from tamarackrill.decisions.answer_memory import find_piece_max_bytes
from tamarackrill.decisions.capacity.request_bytes import SMALL_BYTES
from tamarackrill.decisions.hashing import rendezvous_order
from tamarackrill.decisions.ordering import HOME_MOVED
from tamarackrill.events import REQUEST_FORWARDED, log_event
from tamarackrill.exceptions import Refusal
from tamarackrill.router.calls import Call, authenticate, read_call
from tamarackrill.router.claiming import ClaimHeldElsewhere
from tamarackrill.router.flow import make_stop_refusal
from tamarackrill.router.forwarding import (
    MAY_HAVE_RUN_HEADER,
    forward_call,
    verify_forwarded_id,
)
from tamarackrill.router.front import (
    INTERNAL_ERROR,
    LEAVING_HEADER,
    FrontContext,
    FrontHandler,
    make_unsent_refusal,
)
from tamarackrill.router.members import Member
from tamarackrill.router.outlets import Outlet
from tamarackrill.router.replies import Reply
from tamarackrill.router.upstream import (
    Exchange,
    Head,
    UpstreamError,
)

# Home routers that are tried before the entry router runs a call itself.
HOMES_MAX = 2
LENGTH_DIGITS_MAX = 18
DROPPED_RESPONSE_HEADERS = (
    "Connection",
    "Transfer-Encoding",
    "Content-Length",
    "Server",
)


def _read_length(headers: HTTPHeaders) -> int:
    """Return the length that a request states; 0 unless it is a plain number.

    Tornado refuses what is malformed, and the body is counted as it arrives.
    """
    text = headers.get("Content-Length", "")
    is_number = text.isascii() and text.isdigit() and len(text) <= LENGTH_DIGITS_MAX
    return int(text) if is_number else 0


class _CallerOutlet(Outlet):
    """Writes an answer to the caller; applies backpressure while its socket is full."""

    def __init__(self, handler: "CallHandler", stream: bool) -> None:
        super().__init__()
        self._handler = handler
        self._stream = stream
        self._buffered = bytearray()
        self._memory = handler.front.call_runner.memory
        self._has_begun = False
        self._last_s: float | None = None

    def take(self, piece: bytes) -> bool:
        """Write a piece of a stream at once; buffer other answers up to a limit.

        Short answers are sent at once, with their length; longer ones in pieces.
        """
        if self._stream:
            self._record_gap()
            return self._write(piece)
        self._buffered += piece
        memory = self._memory
        memory.total_bytes += len(piece)
        max_bytes = find_piece_max_bytes(memory.total_bytes, self._has_begun)
        return len(self._buffered) <= max_bytes or self._write_buffered()

    def finish(self) -> None:
        """Write what is buffered and end the answer."""
        self._handler.finish(self.clear() or None)

    def clear(self) -> bytes:
        """Remove the buffered bytes and return them."""
        data = bytes(self._buffered)
        self._buffered.clear()
        self._memory.total_bytes -= len(data)
        return data

    def _write_buffered(self) -> bool:
        self._has_begun = True
        return self._write(self.clear())

    def _write(self, piece: bytes) -> bool:
        handler = self._handler
        handler.write(piece)
        flushed = handler.flush()
        connection = handler.request.connection
        if connection is None or not connection.stream.writing():
            return True
        flushed.add_done_callback(lambda _: self.on_writable())
        return False

    def _record_gap(self) -> None:
        front = self._handler.front
        now_s = front.clock()
        if self._last_s is not None:
            front.metrics.record_token_gap(now_s - self._last_s)
        self._last_s = now_s


@stream_request_body
class CallHandler(FrontHandler):
    """Runs a call at its home router or forwards it there, and returns the answer.

    The API key is checked before the body is read, so that an unauthenticated client
    can't make the router buffer a body.
    """

    def initialize(self, front: FrontContext) -> None:
        """Set the state of a new request."""
        super().initialize(front)
        self._exchange: Exchange | None = None
        self._reply: Reply | None = None
        self._body = bytearray()
        # Bytes of the body that are counted, until the call has ended.
        self._counted_bytes = 0
        self._contract: Contract | None = None
        self._counted = False
        self._is_disconnected = False
        self._is_stopped = False
        # Whether a run or another router may have got the call.
        self._is_handed_on = False
        # How long the call waited in its socket while this process stood still.
        self._waited_s = 0.0
        self._may_have_run = MAY_HAVE_RUN_HEADER in self.request.headers

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer an error; one before the call's run is told as not run."""
        if status_code >= INTERNAL_ERROR and not self._is_handed_on:
            self.send_refusal(make_unsent_refusal())
            return
        super().write_error(status_code, **kwargs)

    def send_refusal(self, refusal: Refusal) -> None:
        """Answer with a refusal that also accounts for the routers tried before."""
        # A home router that failed may have sent the call to an endpoint before.  The
        # next router's "not run" covers only that router: a client that relied on it
        # would repeat a booking under another key, and book twice.
        if self._may_have_run and refusal.run == "not_run":
            refusal = Refusal(
                refusal.code,
                refusal.status,
                refusal.message,
                "unknown",
                refusal.retry_after_s,
            )
        super().send_refusal(refusal)

    async def prepare(self) -> None:
        """Check the API key and the Content-Length before the body arrives."""
        front = self.front
        front.metrics.count("requests", self.request.method or "")
        front.open_calls.add(self, self._stop)
        self._counted = True
        if not front.catch_up.is_current():
            started_s = front.clock()
            self._waited_s = front.catch_up.find_waited_s(self._get_socket())
            await front.catch_up.wait()
            self._waited_s += front.clock() - started_s
        try:
            self._check_size(_read_length(self.request.headers))
            authorization = self.request.headers.get("Authorization", "")
            self._contract = authenticate(
                front.find_contract_by_key_hash, authorization
            )
            if front.is_leaving():
                raise make_stop_refusal(False)
        except Refusal as refusal:
            self.send_refusal(refusal)

    def _get_socket(self) -> socket.socket:
        connection = self.request.connection
        assert connection is not None
        found: socket.socket = connection.stream.socket
        return found

    def data_received(self, chunk: bytes) -> None:
        """Append a piece of the body; refuse a body that can't be kept."""
        self._body += chunk
        try:
            self._check_size(len(self._body))
            self._check_memory(len(self._body))
        except Refusal as refusal:
            self._body.clear()
            if not self._finished:
                self.send_refusal(refusal)

    def _check_size(self, size_bytes: int) -> None:
        limit_bytes = self.front.body_max_bytes
        if size_bytes > limit_bytes:
            message = f"the body is longer than {limit_bytes} bytes"
            raise Refusal("body_too_long", 413, message)

    def _check_memory(self, size_bytes: int) -> None:
        if size_bytes <= SMALL_BYTES or self._contract is None or not self._counted:
            return
        held, team = self.front.request_bytes, self._contract.team
        held.add(team, size_bytes - self._counted_bytes)
        self._counted_bytes = size_bytes
        if held.must_refuse(team, size_bytes):
            message = "too many request bodies are being read"
            raise Refusal("bodies_full", 503, message)

    async def get(self) -> None:
        """Answer the call, whatever its method."""
        if self._is_disconnected or self._finished:
            return
        try:
            await self._answer()
        except Refusal as refusal:
            self.send_refusal(refusal)
        except StreamClosedError:
            connection = self.request.connection
            if connection is not None and not connection.stream.closed():
                raise
            self.on_connection_close()

    post = put = patch = delete = get

    def on_finish(self) -> None:
        """Remove the call from the count of open calls."""
        if self._counted:
            self._counted = False
            if self._counted_bytes and self._contract is not None:
                released_bytes = -self._counted_bytes
                self.front.request_bytes.add(self._contract.team, released_bytes)
            self.front.open_calls.remove(self)

    async def _answer(self) -> None:
        front = self.front
        if self._contract is None:
            return
        call = self._read_call(self._contract)
        if call.deadline_s <= front.clock():
            raise Refusal("too_late", 504, "the deadline has passed")
        forwarded_id = verify_forwarded_id(
            self.request.headers, call.fingerprint, front.peer_keys
        )
        if forwarded_id:
            call = call._replace(request_id=forwarded_id)
        if self._may_have_moved(call) and forwarded_id:
            raise Refusal(HOME_MOVED, 503, "the chat may have another home router now")
        if not forwarded_id and await self._forward(call, self._may_have_moved(call)):
            return
        try:
            await self._serve(call)
        except Refusal as refusal:
            has_moved = refusal.code == HOME_MOVED and not forwarded_id
            if not has_moved or not await self._forward(call, has_moved):
                raise

    def _may_have_moved(self, call: Call) -> bool:
        is_ordered = bool(call.chat) and call.sequence is not None
        return is_ordered and self.front.catch_up.may_have_moved(self._waited_s)

    def _read_call(self, contract: Contract) -> Call:
        request = self.request
        body = bytes(self._body)
        self._body.clear()
        return read_call(
            contract,
            request.method or "",
            request.uri or "",
            request.headers,
            body,
            self.front.clock() - self._waited_s,
        )

    def _list_homes(self, call: Call) -> list[Member]:
        if not call.home_key:
            return []
        live = {member.name: member for member in self.front.members.list_live()}
        names = rendezvous_order(call.home_key, list(live), HOMES_MAX)
        return [live[name] for name in names]

    async def _forward(self, call: Call, has_moved: bool) -> bool:
        """Try the other home routers; return whether the call is done with.

        If the chat has moved away from this router, those after it are tried too.
        """
        for home in self._list_homes(call):
            if home.name == self.front.members.own.name:
                if has_moved:
                    continue
                return False
            try:
                await self._forward_to(call, home)
                return True
            except UpstreamError as error:
                if self._is_disconnected:
                    return True
                if self._is_stopped:
                    raise make_stop_refusal(True) from None
                self._may_have_run = self._may_have_run or error.sent
                # The state of the chat is lost with its home router, and the next
                # router in order takes over.  A non-idempotent call still runs at
                # most once, as its claim is stored on the platform.
                if self._headers_written:
                    message = "the home router was lost during the answer"
                    refusal = Refusal("router_lost", 502, message, "unknown")
                    self.abort(refusal)
                    return True
        return False

    async def _forward_to(self, call: Call, home: Member) -> None:
        front = self.front
        authorization = self.request.headers.get("Authorization", "")
        log_event(REQUEST_FORWARDED, team=call.team, chat=call.chat, home=home.name)
        self._is_handed_on = True
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
            if LEAVING_HEADER in head.headers:
                raise UpstreamError("the home router refuses the call", sent=False)
            if MAY_HAVE_RUN_HEADER in head.headers:
                raise UpstreamError("the home router has stopped", sent=True)
            self.start_answer(head)
            outlet = _CallerOutlet(self, call.stream)
            try:
                await exchange.pump(outlet)
                outlet.finish()
            finally:
                outlet.clear()
        finally:
            await exchange.close()

    async def _serve(self, call: Call) -> None:
        self._is_handed_on = True
        reply = self.front.call_runner.open(call)
        self._reply = reply
        reply.readers += 1
        try:
            head = await reply.head()
            self.start_answer(head)
            outlet = _CallerOutlet(self, call.stream)
            try:
                await reply.pump(outlet, call.last_event_id)
                outlet.finish()
            finally:
                outlet.clear()
        except ClaimHeldElsewhere as held:
            await self._forward_to_claim_holder(call, held)
        finally:
            self._detach_reply()

    async def _forward_to_claim_holder(
        self, call: Call, held: ClaimHeldElsewhere
    ) -> None:
        # While the routers' member lists differ, for some seconds, a resend can go to
        # another home router.  The router that holds the claim has the run or the
        # answer; otherwise the caller would get "unknown" for a booking that succeeded.
        live = {member.name: member for member in self.front.members.list_live()}
        if held.router not in live:
            raise held
        try:
            await self._forward_to(call, live[held.router])
        except UpstreamError:
            if self._is_stopped:
                raise make_stop_refusal(True) from None
            raise held from None

    def start_answer(self, head: Head) -> None:
        """Set the status and headers of the answer."""
        self.set_status(head.status)
        for name, value in head.headers.items():
            if name not in DROPPED_RESPONSE_HEADERS:
                self.set_header(name, value)

    def _stop(self) -> None:
        """Tell the caller that this router stops, unless a run does so."""
        self._is_stopped = True
        if self._exchange is not None:
            self._exchange.cancel()
        elif not self._is_handed_on and not self._finished:
            self.send_refusal(make_stop_refusal(False))

    def _detach_reply(self) -> None:
        reply, self._reply = self._reply, None
        if reply is not None:
            reply.remove_reader()

    def on_connection_close(self) -> None:
        """Cancel the run or the forwarded call, as the caller has disconnected."""
        super().on_connection_close()
        self._is_disconnected = True
        self.on_finish()
        self._detach_reply()
        if self._exchange is not None:
            self._exchange.cancel()
