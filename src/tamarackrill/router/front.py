"""What all handlers of the callers' port share."""

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from tornado.web import HTTPError, RequestHandler

from tamarackrill.contracts import Contract
from tamarackrill.exceptions import Refusal
from tamarackrill.router.explaining import Question
from tamarackrill.router.flow import Flow
from tamarackrill.router.members import Members
from tamarackrill.router.metrics import Metrics
from tamarackrill.router.upstream import (
    CurlAsyncHTTPClient,
)

# Marks a refusal of a router that leaves, so that the next home is tried.
LEAVING = "Tamarackrill-Leaving"
LEAVING_CODE = "leaving"
NOT_FOUND = 404
INTERNAL_ERROR = 500


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


class Handler(RequestHandler):
    """Base of all handlers of the callers' port; answers 404 by itself."""

    def initialize(self, front: Front) -> None:
        """Take what the handlers share."""
        self.front = front

    def set_default_headers(self) -> None:
        """Leave out the name of the server."""
        self.clear_header("Server")

    def prepare(self) -> Any:
        """Answer that there is nothing here."""
        raise HTTPError(NOT_FOUND)

    def compute_etag(self) -> None:
        """Return no entity tag."""
        # An entity tag of ours would turn an endpoint's answer into a 304.
        return

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer an error of tornado's in the form of a refusal."""
        self.send_refusal(_find_refusal(status_code, self._reason))

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


def _find_refusal(status: int, reason: str) -> Refusal:
    # A fault of ours can come after the call was sent.  Told that nothing ran, the
    # caller would send its confirmation again under a new key.
    if status >= INTERNAL_ERROR:
        return Refusal("internal", status, "a fault of the router", "unknown")
    code = "not_found" if status == NOT_FOUND else "bad_request"
    return Refusal(code, status, reason)
