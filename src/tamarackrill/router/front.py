"""Base class and shared context of the HTTP handlers on the callers' port."""

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from tornado.httputil import HTTPHeaders
from tornado.web import HTTPError, RequestHandler

from tamarackrill.contracts import Contract
from tamarackrill.decisions.capacity.request_bytes import RequestBytes
from tamarackrill.decisions.ordering import HOME_MOVED
from tamarackrill.exceptions import Refusal
from tamarackrill.router.catching_up import CatchUp
from tamarackrill.router.explaining import ExplainQuery
from tamarackrill.router.flow import LEAVING_CODE, STOPPED_CODE, CallRunner
from tamarackrill.router.forwarding import MAY_HAVE_RUN_HEADER
from tamarackrill.router.guarded_requests import OwnAnswer
from tamarackrill.router.members import Members
from tamarackrill.router.metrics import Metrics
from tamarackrill.router.sockets import reset_on_close
from tamarackrill.router.upstream import (
    UpstreamClient,
)

# Marks a refusal by a router that is shutting down, or may no longer be the home of the
# chat; the next home router is tried.
LEAVING_HEADER = "Tamarackrill-Leaving"
NOT_FOUND = 404
INTERNAL_ERROR = 500
UNAVAILABLE = 503


class OpenCalls:
    """Calls of clients whose answers have not ended."""

    def __init__(self) -> None:
        self._stops: dict[object, Callable[[], None]] = {}
        self._none = asyncio.Event()
        self._none.set()

    @property
    def count(self) -> int:
        """Number of calls that are open now."""
        return len(self._stops)

    def add(self, call: object, stop: Callable[[], None]) -> None:
        """Add one call, and what tells its client that this router stops."""
        self._stops[call] = stop
        self._none.clear()

    def remove(self, call: object) -> None:
        """Remove one call."""
        del self._stops[call]
        if not self._stops:
            self._none.set()

    def stop_all(self) -> None:
        """Tell the clients of all open calls that this router stops."""
        for stop in list(self._stops.values()):
            stop()

    async def wait_until_zero(self) -> None:
        """Wait until no call is open."""
        await self._none.wait()


class FrontContext(NamedTuple):
    """Objects that the handlers share; owned by the application object.

    Parameters
    ----------
    call_runner : CallRunner
        Runs calls at this router.
    members : Members
        Live routers, including this one.
    client : UpstreamClient
        For calls to other routers.
    metrics : Metrics
        Counters.
    open_calls : OpenCalls
        Count of calls whose answers have not ended.
    body_max_bytes : int
        Maximum size of a request body.
    request_bytes : RequestBytes
        Bytes of all request bodies.
    peer_keys : tuple of str
        Keys shared by the routers.
    find_contract_by_key_hash : callable
        Returns the contract that an API key belongs to, by the key's hash.
    is_leaving : callable
        Returns whether this router refuses new calls.
    is_ready : callable
        Returns whether the load balancer may send new calls to this router.
    describe : callable
        Returns the status of this router.
    explain : callable
        Returns where a call would be routed.
    catch_up : CatchUp
        Lets calls wait after a standstill of this process.
    clock : callable
        Returns the current time.
    """

    call_runner: CallRunner
    members: Members
    client: UpstreamClient
    metrics: Metrics
    open_calls: OpenCalls
    body_max_bytes: int
    request_bytes: RequestBytes
    peer_keys: tuple[str, ...]
    find_contract_by_key_hash: Callable[[str], Contract | None]
    is_leaving: Callable[[], bool]
    is_ready: Callable[[], bool]
    describe: Callable[[], dict[str, Any]]
    explain: Callable[[ExplainQuery], dict[str, Any]]
    catch_up: CatchUp
    clock: Callable[[], float] = time.monotonic


class FrontHandler(RequestHandler):
    """Base class of the handlers on the callers' port; by itself it answers 404."""

    _finished: bool

    def initialize(self, front: FrontContext) -> None:
        """Store the context that the handlers share."""
        self.front = front

    def set_default_headers(self) -> None:
        """Leave out the Server header, which tornado would add."""
        self.clear_header("Server")

    def prepare(self) -> Any:
        """Answer 404; overridden by handlers that serve a path."""
        raise HTTPError(NOT_FOUND)

    def compute_etag(self) -> None:
        """Return no entity tag, as it could turn an endpoint's answer into a 304."""
        return

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer an error raised by tornado with the JSON body of a refusal."""
        self.send_refusal(_build_refusal(status_code, self._reason))

    def send_error(self, status_code: int = INTERNAL_ERROR, **kwargs: Any) -> None:
        """Answer an error, or abort an answer that has started.

        Tornado would end it as if it were complete.
        """
        if self._headers_written and not self._finished:
            self.abort(_build_refusal(status_code, self._reason))
            return
        super().send_error(status_code, **kwargs)

    def send_refusal(self, refusal: Refusal) -> None:
        """Answer with a refusal, or abort an answer that has started."""
        if self._headers_written:
            self.abort(refusal)
            return
        self.clear()
        self.set_status(refusal.status, refusal.code)
        if refusal.code in (LEAVING_CODE, HOME_MOVED):
            self.set_header(LEAVING_HEADER, "1")
        if refusal.code == STOPPED_CODE:
            # The router that forwarded the call can turn to another one.
            self.set_header(MAY_HAVE_RUN_HEADER, "1")
        self.set_header("Retry-After", _format_retry_after(refusal))
        self.finish(dict(refusal.to_body()))

    def abort(self, refusal: Refusal) -> None:
        """End an answer that has started so that it can't be taken for complete."""
        content_type = self._headers.get("Content-Type") or ""
        if content_type.startswith("text/event-stream"):
            self.finish(f"event: error\ndata: {json.dumps(refusal.to_body())}\n\n")
            return
        connection = self.request.connection
        if connection is not None and not self._finished:
            stream = connection.detach()
            if self.request.version == "HTTP/1.0" and not stream.closed():
                reset_on_close(stream.socket)
            stream.close()
            # Tornado would end an answer on the connection that is detached.
            self._finished = True
            self.on_finish()


def refuse_unread(headers: HTTPHeaders) -> OwnAnswer:
    """Return the refusal of a call whose reading raised an undeclared error."""
    refusal = make_unsent_refusal()
    if MAY_HAVE_RUN_HEADER in headers:
        refusal.run = "unknown"
    fields = {
        "Content-Type": "application/json; charset=UTF-8",
        "Retry-After": _format_retry_after(refusal),
    }
    body = json.dumps(refusal.to_body()).encode()
    return OwnAnswer(refusal.status, refusal.code, fields, body)


def make_unsent_refusal() -> Refusal:
    """Return the refusal of a call that an undeclared error ended before its run."""
    message = "internal error in the router"
    return Refusal("internal", UNAVAILABLE, message, "not_run")


def _format_retry_after(refusal: Refusal) -> str:
    return str(max(1, round(refusal.retry_after_s)))


def _build_refusal(status: int, reason: str) -> Refusal:
    # An internal error can happen after the call was sent.  With "not_run" the caller
    # would send its confirmation again under a new key.
    if status >= INTERNAL_ERROR:
        return Refusal("internal", status, "internal error in the router", "unknown")
    code = "not_found" if status == NOT_FOUND else "bad_request"
    return Refusal(code, status, reason)
