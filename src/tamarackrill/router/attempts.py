"""One attempt of a call at one endpoint: send it, check it, write the reply."""

from collections.abc import Callable
from typing import Literal, NamedTuple

from tamarackrill.contracts import Endpoint
from tamarackrill.router.calls import Call
from tamarackrill.router.outlets import Outlet
from tamarackrill.router.replies import Reply
from tamarackrill.router.upstream import (
    CurlAsyncHTTPClient,
    Exchange,
    Head,
    UpstreamError,
)

Outcome = Literal["answered", "overloaded", "refused", "not_sent", "cut", "cancelled"]

EVENT_END = b"\n\n"
CLOSING_EVENT = b"data: [DONE]"
# An event or a whole answer longer than this is passed on in pieces.
PIECE_MAX_BYTES = 1024 * 1024
SERVER_ERROR = 500
OVERLOADED = 503
CANCEL_PATH = "/v1/cancel/"
CANCEL_TIMEOUT_S = 1.0

# Headers of the endpoint's connection to us; the caller's has its own.
_NOT_PASSED_BACK = frozenset(
    ("Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Server")
)


class Attempt(NamedTuple):
    """How one attempt went.

    Parameters
    ----------
    outcome : {"answered", "overloaded", "refused", "not_sent", "cut", "cancelled"}
        ``"not_sent"`` only if no byte can have reached the endpoint; ``"overloaded"``
        if the answer was passed on and says that the endpoint has too much to do.
    first_byte_s : float or None
        Time from sending to the first byte of the answer.
    chunks : int
        Chunks written to the reply.
    reason : str
        What went wrong, if something did.
    """

    outcome: Outcome
    first_byte_s: float | None = None
    chunks: int = 0
    reason: str = ""


class _EventOutlet(Outlet):
    """Hands whole server-sent events on to a reply, however the bytes come in."""

    def __init__(self, reply: Reply) -> None:
        super().__init__()
        self.is_closed = False
        self._rest = b""
        self._reply = reply
        reply.on_writable = lambda: self.on_writable()

    def take(self, piece: bytes) -> bool:
        """Take bytes of the stream."""
        rest = self._rest + piece.replace(b"\r\n", b"\n")
        *events, self._rest = rest.split(EVENT_END)
        if len(self._rest) > PIECE_MAX_BYTES:
            raise UpstreamError("an event of the stream is too long", sent=True)
        if not events:
            return True
        self.is_closed = events[-1].startswith(CLOSING_EVENT)
        return self._reply.extend([event + EVENT_END for event in events])


class _WholeOutlet(Outlet):
    """Holds an answer until it is whole; hands a long one on in large pieces.

    Nothing of a short answer is written before it is known to be whole: one that was
    cut can then be asked for again, and the caller sees one answer.
    """

    def __init__(self, reply: Reply, head: Head) -> None:
        super().__init__()
        self._held: list[bytes] = []
        self._size_bytes = 0
        self._reply = reply
        self._head = head
        reply.on_writable = lambda: self.on_writable()

    def take(self, piece: bytes) -> bool:
        """Take bytes of the answer."""
        self._held.append(piece)
        self._size_bytes += len(piece)
        return self._size_bytes <= PIECE_MAX_BYTES or self.write()

    def write(self) -> bool:
        """Write what is held to the reply; return whether it has room."""
        if not self._reply.started:
            self._reply.start(self._head)
        held = b"".join(self._held)
        self._held.clear()
        self._size_bytes = 0
        return self._reply.take(held) if held else True


async def attempt_call(
    client: CurlAsyncHTTPClient,
    call: Call,
    endpoint: Endpoint,
    reply: Reply,
    have_chunks: int,
    take_errors: bool,
    clock: Callable[[], float],
) -> Attempt:
    """Send a call to an endpoint and write its answer to the reply.

    Parameters
    ----------
    client : CurlAsyncHTTPClient
        Not owned.
    call : Call
        The call.
    endpoint : Endpoint
        Where it goes.
    reply : Reply
        Gets the head once and the chunks.
    have_chunks : int
        Chunks that the reply has already from an attempt that was cut; the
        endpoint is asked to resume after them.
    take_errors : bool
        Whether an answer with a status of 500 or above is the answer; otherwise
        the outcome is ``"refused"`` and nothing is written.
    clock : callable
        Returns the present time.

    Returns
    -------
    Attempt
    """
    sent_s = clock()
    exchange = Exchange(
        client,
        call.method,
        f"http://{endpoint.address}{call.path}",
        _build_headers(call, have_chunks),
        call.body,
        max(0.001, call.deadline_s - sent_s),
        # Not even one that may run twice goes out on a kept connection: that of an
        # engine which is just ending would take it down too, as lost and as suspected
        # of the crash.  A new one is refused by then, and costs a millisecond else.
        repeatable=False,
    )
    reply.when_abandoned(exchange.cancel)
    first_byte_s: float | None = None
    before = reply.count
    try:
        head = await exchange.head()
        first_byte_s = clock() - sent_s
        is_overloaded = head.status == OVERLOADED
        if head.status >= SERVER_ERROR and not is_overloaded and not take_errors:
            return Attempt("refused", first_byte_s, 0, f"status {head.status}")
        is_stream = call.stream and _is_event_stream(head)
        pump = _pump_events if is_stream else _pump_whole
        await pump(exchange, _strip_head(head), reply)
    except UpstreamError as error:
        outcome = _find_outcome(error, reply)
        if outcome == "cancelled" and call.kind == "engine":
            await _cancel_at_engine(client, call, endpoint)
        return Attempt(outcome, first_byte_s, reply.count - before, error.reason)
    finally:
        await exchange.close()
    outcome = "overloaded" if is_overloaded else "answered"
    return Attempt(outcome, first_byte_s, reply.count - before)


async def _cancel_at_engine(
    client: CurlAsyncHTTPClient, call: Call, endpoint: Endpoint
) -> None:
    # An engine keeps a stream for a while after its connection closed, so that it
    # can be resumed.  Unless it is told, it goes on generating for nobody.
    url = f"http://{endpoint.address}{CANCEL_PATH}{call.request_id}"
    exchange = Exchange(client, "POST", url, {}, b"", CANCEL_TIMEOUT_S, True)
    try:
        await exchange.head()
    except UpstreamError:
        return
    finally:
        await exchange.close()


def _find_outcome(error: UpstreamError, reply: Reply) -> Outcome:
    if not error.sent:
        return "not_sent"
    return "cancelled" if reply.abandoned.is_set() else "cut"


def _build_headers(call: Call, have_chunks: int) -> dict[str, str]:
    headers = {**call.headers, "Request-Id": call.request_id}
    if have_chunks:
        headers["Last-Event-ID"] = str(have_chunks)
    return headers


def _strip_head(head: Head) -> Head:
    kept = {k: v for k, v in head.headers.items() if k not in _NOT_PASSED_BACK}
    return Head(head.status, kept)


def _is_event_stream(head: Head) -> bool:
    return head.headers.get("Content-Type", "").startswith("text/event-stream")


async def _pump_events(exchange: Exchange, head: Head, reply: Reply) -> None:
    if not reply.started:
        reply.start(head)
    outlet = _EventOutlet(reply)
    await exchange.pump(outlet)
    # A stream can end without its closing event though the connection closed in
    # good order, as when an engine is stopped.  The caller would take half an
    # answer for a whole one.
    if not outlet.is_closed:
        raise UpstreamError("the stream ended without its closing event", sent=True)


async def _pump_whole(exchange: Exchange, head: Head, reply: Reply) -> None:
    outlet = _WholeOutlet(reply, head)
    await exchange.pump(outlet)
    outlet.write()
