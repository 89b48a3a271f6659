"""Handler of the callers' calls, at the entry router and at the home."""

from tornado.iostream import StreamClosedError
from tornado.web import stream_request_body

from tamarackrill.contracts import Contract
from tamarackrill.decisions.hashing import rendezvous_order
from tamarackrill.events import REQUEST_FORWARDED, log_event
from tamarackrill.exceptions import Refusal
from tamarackrill.router.calls import Call, find_contract, read_call
from tamarackrill.router.claiming import ClaimHeldElsewhere
from tamarackrill.router.forwarding import (
    MAY_HAVE_RUN_HEADER,
    forward_call,
    verify_forwarded_id,
)
from tamarackrill.router.front import LEAVING, LEAVING_CODE, Front, Handler
from tamarackrill.router.members import Member
from tamarackrill.router.outlets import Outlet
from tamarackrill.router.replies import Reply
from tamarackrill.router.upstream import (
    Exchange,
    Head,
    UpstreamFailed,
)

# Homes that are tried before the entry router runs a call by itself.
HOMES_TRIED = 2
# A shorter answer is sent with its length; a longer one goes on in pieces.
HELD_MAX_BYTES = 1024 * 1024
NOT_PASSED_BACK = ("Connection", "Transfer-Encoding", "Content-Length", "Server")


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
            front.metrics.record_token_gap(now_s - self._last_s)
        self._last_s = now_s


@stream_request_body
class CallHandler(Handler):
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
        self._may_have_run = MAY_HAVE_RUN_HEADER in self.request.headers

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
        forwarded_id = verify_forwarded_id(
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
        except ClaimHeldElsewhere as held:
            await self._ask_holder(call, held)
        finally:
            self._leave()

    async def _ask_holder(self, call: Call, held: ClaimHeldElsewhere) -> None:
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
