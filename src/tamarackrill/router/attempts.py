"""One attempt of a call: sends it to an endpoint and writes the answer to a reply."""

import math
from collections.abc import Callable
from typing import Literal, NamedTuple

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.answer_memory import (
    PIECE_MAX_BYTES,
    find_piece_max_bytes,
)
from tamarackrill.decisions.event_stream import (
    EventSplitter,
    EventStream,
    EventStreamError,
)
from tamarackrill.router.calls import Call
from tamarackrill.router.outlets import Outlet
from tamarackrill.router.replies import Reply
from tamarackrill.router.unexpected_errors import convert_stray_cancellation
from tamarackrill.router.upstream import (
    Exchange,
    Head,
    UpstreamClient,
    UpstreamError,
)

Outcome = Literal["answered", "overloaded", "refused", "not_sent", "cut", "cancelled"]

DONE_EVENT = b"data: [DONE]"
OK = 200
SERVER_ERROR = 500
OVERLOADED = 503
CANCEL_PATH = "/v1/cancel/"
CANCEL_TIMEOUT_S = 1.0

# Headers that apply only to the connection between router and endpoint.
_DROPPED_RESPONSE_HEADERS = frozenset(
    ("Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Server")
)


class Attempt(NamedTuple):
    """Result of one attempt.

    Parameters
    ----------
    outcome : {"answered", "overloaded", "refused", "not_sent", "cut", "cancelled"}
        ``"not_sent"`` only if no byte can have reached the endpoint; ``"overloaded"``
        if the endpoint answered that it is overloaded, and the answer was passed on.
    first_byte_s : float or None
        Time from sending to the first byte of the answer.
    chunks : int
        Chunks written to the reply.
    reason : str
        Why the attempt failed, or empty.
    retry_after_s : float
        How long the endpoint asked for no further calls; 0 if it didn't.
    error : Exception or None
        Undeclared error that ended the attempt.
    is_silent : bool
        Whether the endpoint neither accepted nor refused the connection in time.
    """

    outcome: Outcome
    first_byte_s: float | None = None
    chunks: int = 0
    reason: str = ""
    retry_after_s: float = 0.0
    error: Exception | None = None
    is_silent: bool = False


class _EventStreamOutlet(Outlet):
    """Splits the received bytes into server-sent events and passes these to a reply."""

    def __init__(self, reply: Reply) -> None:
        super().__init__()
        self.is_complete = False
        self._splitter = EventSplitter()
        self._reply = reply
        reply.on_writable = lambda: self.on_writable()

    def take(self, piece: bytes) -> bool:
        """Pass on the events that are complete; keep the rest for the next piece."""
        events = self._splitter.take(piece.replace(b"\r\n", b"\n"))
        if self._splitter.partial_bytes > PIECE_MAX_BYTES:
            self._splitter.clear()
            raise UpstreamError("an event of the stream is too long", sent=True)
        self.parts = len(events)
        if not events:
            return True
        self.is_complete = events[-1].startswith(DONE_EVENT)
        return self._reply.extend(events)


class _BufferingOutlet(Outlet):
    """Buffers an answer until it is complete; passes a long one on in large pieces.

    No byte of a short answer is written before all of it has arrived, so that the call
    can be retried if the connection is lost, without the caller noticing.
    """

    def __init__(self, reply: Reply, head: Head) -> None:
        super().__init__()
        self._buffered = bytearray()
        self._reply = reply
        self._memory = reply.memory
        self._head = head
        reply.on_writable = lambda: self.on_writable()
        self._events = EventStream() if _is_event_stream(head) else None

    def take(self, piece: bytes) -> bool:
        """Buffer bytes of the answer; write them once there are too many."""
        if self._events is not None:
            self._events.take(piece)
        self._buffered += piece
        memory = self._memory
        memory.total_bytes += len(piece)
        max_bytes = find_piece_max_bytes(memory.total_bytes, self._reply.started)
        return len(self._buffered) <= max_bytes or self.write()

    def finish(self) -> None:
        """Write the rest of the answer, which has ended.

        Raises
        ------
        EventStreamError
            If it is an event stream that was broken off.
        """
        if self._events is not None:
            self._events.finish()
        self.write()

    def write(self) -> bool:
        """Write the buffered bytes to the reply; return whether it can take more."""
        if not self._reply.started:
            self._reply.start(self._head)
        buffered = self.clear()
        return self._reply.take(buffered) if buffered else True

    def clear(self) -> bytes:
        """Remove the buffered bytes and return them."""
        buffered = bytes(self._buffered)
        self._buffered.clear()
        self._memory.total_bytes -= len(buffered)
        return buffered


async def attempt_call(
    client: UpstreamClient,
    call: Call,
    endpoint: Endpoint,
    reply: Reply,
    received_chunks: int,
    accept_errors: bool,
    clock: Callable[[], float],
) -> Attempt:
    """Send a call to an endpoint and write its answer to the reply.

    Parameters
    ----------
    client : UpstreamClient
        Not owned.
    call : Call
        The call.
    endpoint : Endpoint
        The endpoint that the call is sent to.
    reply : Reply
        Receives the head, once, and the chunks.
    received_chunks : int
        Number of chunks that the reply has from an attempt whose connection was
        lost; the endpoint is asked to resume after them.
    accept_errors : bool
        Whether to pass on an answer with a status of 500 or above; otherwise the
        outcome is ``"refused"`` and nothing is written.  503 is always passed on.
    clock : callable
        Returns the current time.

    Returns
    -------
    Attempt
    """
    sent_s = clock()
    try:
        with convert_stray_cancellation():
            exchange = Exchange(
                client,
                call.method,
                f"http://{endpoint.address}{call.path}",
                _build_headers(call, received_chunks),
                call.body,
                max(0.001, call.deadline_s - sent_s),
                # Use a new connection even for idempotent calls.  On a kept-alive
                # connection to an engine that is exiting, the call would be lost and
                # suspected of having crashed it.  A new connection is refused by then;
                # otherwise it costs 1 ms.
                repeatable=False,
            )
    except Exception as error:
        return Attempt("not_sent", reason=repr(error), error=error)
    reply.set_abandoned_callback(exchange.cancel)
    first_byte_s: float | None = None
    chunks_before = reply.count
    try:
        with convert_stray_cancellation():
            head = await exchange.head()
        first_byte_s = clock() - sent_s
        is_stream = call.stream and _is_event_stream(head)
        if reply.count and not (is_stream and head.status == OK):
            # An engine that has restarted doesn't know the stream.  Its error page
            # would follow the caller's events, as if the answer were complete.
            reason = f"stream resumed with status {head.status}"
            return Attempt("cut", first_byte_s, 0, reason)
        is_overloaded = head.status == OVERLOADED
        if head.status >= SERVER_ERROR and not is_overloaded and not accept_errors:
            return Attempt("refused", first_byte_s, 0, f"status {head.status}")
        pump = _pump_events if is_stream else _pump_buffered
        with convert_stray_cancellation():
            await pump(exchange, _strip_head(head), reply)
    except UpstreamError as error:
        outcome = _classify_failure(error, reply)
        if outcome == "cancelled" and call.kind == "engine":
            await _cancel_at_engine(client, call, endpoint)
        return Attempt(
            outcome,
            first_byte_s,
            reply.count - chunks_before,
            error.reason,
            is_silent=error.is_silent,
        )
    except Exception as error:
        chunks = reply.count - chunks_before
        return Attempt("cut", first_byte_s, chunks, repr(error), error=error)
    finally:
        await exchange.close()
    chunks = reply.count - chunks_before
    if is_overloaded:
        retry_after_s = _read_retry_after_s(head)
        return Attempt("overloaded", first_byte_s, chunks, retry_after_s=retry_after_s)
    return Attempt("answered", first_byte_s, chunks)


def _read_retry_after_s(head: Head) -> float:
    """Return the seconds that an endpoint asks to wait; 0 for a date or nonsense."""
    try:
        retry_after_s = float(head.headers.get("Retry-After", "0"))
    except ValueError:
        return 0.0
    return max(0.0, retry_after_s) if math.isfinite(retry_after_s) else 0.0


async def _cancel_at_engine(
    client: UpstreamClient, call: Call, endpoint: Endpoint
) -> None:
    # An engine keeps a stream running for a while after its connection closed, so that
    # it can be resumed.  Without this request it would go on generating in vain.
    url = f"http://{endpoint.address}{CANCEL_PATH}{call.request_id}"
    exchange = Exchange(client, "POST", url, {}, b"", CANCEL_TIMEOUT_S, True)
    try:
        await exchange.head()
    except UpstreamError:
        return
    finally:
        await exchange.close()


def _classify_failure(error: UpstreamError, reply: Reply) -> Outcome:
    if not error.sent:
        return "not_sent"
    return "cancelled" if reply.abandoned.is_set() else "cut"


def _build_headers(call: Call, received_chunks: int) -> dict[str, str]:
    headers = {**call.headers, "Request-Id": call.request_id}
    if received_chunks:
        headers["Last-Event-ID"] = str(received_chunks)
    return headers


def _strip_head(head: Head) -> Head:
    kept = {k: v for k, v in head.headers.items() if k not in _DROPPED_RESPONSE_HEADERS}
    return Head(head.status, kept)


def _is_event_stream(head: Head) -> bool:
    return head.headers.get("Content-Type", "").startswith("text/event-stream")


async def _pump_events(exchange: Exchange, head: Head, reply: Reply) -> None:
    if not reply.started:
        reply.start(head)
    outlet = _EventStreamOutlet(reply)
    await exchange.pump(outlet)
    # A stream can end without its final event though the connection was closed
    # cleanly, for example when an engine is stopped.  Without this check the caller
    # would take a partial answer for a complete one.
    if not outlet.is_complete:
        raise UpstreamError("the stream ended without its final event", sent=True)


async def _pump_buffered(exchange: Exchange, head: Head, reply: Reply) -> None:
    outlet = _BufferingOutlet(reply, head)
    try:
        await exchange.pump(outlet)
        outlet.finish()
    except EventStreamError as error:
        raise UpstreamError(str(error), sent=True) from error
    finally:
        outlet.clear()
