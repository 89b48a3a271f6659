"""HTTP requests to endpoints and other routers, through tornado's curl client.

An `Exchange` is one request and its response: it streams the body with backpressure,
can be cancelled at once, and knows whether any byte of the request can have been sent.
"""

import asyncio
import collections
import contextlib
import os
import socket
import time
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse

from tamarackrill.decisions.read_slices import (
    ReadShare,
    may_resume_another,
    refill,
    take_piece,
    take_unseen,
    use_up,
)
from tamarackrill.decisions.status_lines import holds_status_line
from tamarackrill.router.outlets import Outlet

# Unread bytes of a response at which libcurl stops reading from the socket.  Two reads
# of libcurl's default buffer of 16 KiB keep the connection busy.
UNREAD_MAX_BYTES = 32 * 1024
CONNECT_TIMEOUT_S = 1.0
# A handle takes about 5 kB; a fleet of 370 nodes at 6,500 requests/s uses about 200.
CLIENTS_MAX = 1000


class UpstreamError(Exception):
    """An exchange ended without a complete response.

    Parameters
    ----------
    reason : str
        Error message, usually of libcurl.
    sent : bool
        False only if no byte of the request can have reached the server.
    is_silent : bool, default=False
        Whether the server neither accepted nor refused the connection in time.
    """

    def __init__(self, reason: str, sent: bool, is_silent: bool = False) -> None:
        super().__init__(reason)
        self.reason = reason
        self.sent = sent
        self.is_silent = is_silent


class Head(NamedTuple):
    """Status and headers of a response."""

    status: int
    headers: dict[str, str]


class ReadTurns:
    """Resumes paused responses in turn, a few in each iteration of the event loop."""

    def __init__(self) -> None:
        self._waiting: collections.deque[Callable[[], None]] = collections.deque()

    def add(self, resume: Callable[[], None]) -> None:
        """Call `resume` in a later iteration of the event loop."""
        self._waiting.append(resume)
        if len(self._waiting) == 1:
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        started_s = time.monotonic()
        try:
            for _ in range(len(self._waiting)):
                try:
                    self._waiting[0]()
                finally:
                    # Afterwards, so that `add` doesn't schedule another iteration.
                    self._waiting.popleft()
                if not may_resume_another(started_s, time.monotonic()):
                    break
        finally:
            # One that fails must not stop the others for good.
            if self._waiting:
                asyncio.get_running_loop().call_soon(self._run)


class Exchange:
    """One request and its streamed response; it starts when it is created.

    Parameters
    ----------
    client : UpstreamClient
        HTTP client; closed by the caller.
    method, url : str
        Method and URL of the request.
    headers : mapping of str to str
        Headers of the request.
    body : bytes
        Body of the request.
    timeout_s : float
        Time limit for the whole exchange.
    repeatable : bool
        Whether the request may reach the server twice.
    """

    def __init__(
        self,
        client: "UpstreamClient",
        method: str,
        url: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
        repeatable: bool,
    ) -> None:
        self._chunks: collections.deque[bytes] = collections.deque()
        self._unread_bytes = 0
        self._outlet: Outlet | None = None
        self._outlet_error: Exception | None = None
        self._is_full = False
        self._paused = False
        self._share = ReadShare(time.monotonic())
        self._awaits_turn = False
        self._cancelled = False
        self._is_finished = False
        self._error: UpstreamError | None = None
        self._changed = asyncio.Event()
        self._head: asyncio.Future[Head] = asyncio.get_running_loop().create_future()
        self._status = 0
        self._fault = ""
        self._header_lines: dict[str, str] = {}
        self._curl: Any = None
        self._sent_bytes = 0
        # Whether libcurl has reported that it sent nothing.
        self._is_unsent = False
        self._client = client
        self._turns = client.turns
        self._repeatable = repeatable
        request = _ObservedRequest(
            url,
            method,
            headers=dict(headers),
            body=body if body or method in ("POST", "PUT", "PATCH") else None,
            connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=timeout_s,
            prepare_curl_callback=self._prepare,
            follow_redirects=False,
            allow_nonstandard_methods=True,
            decompress_response=False,
        )
        request.on_end = self._record_sent_bytes
        self._task = asyncio.ensure_future(self._fetch(request))

    @property
    def unread_bytes(self) -> int:
        """Bytes of the body that are received but not yet passed on."""
        return self._unread_bytes

    async def head(self) -> Head:
        """Return status and headers as soon as they are received.

        Raises
        ------
        UpstreamError
            If the exchange ended before that.
        """
        return await self._head

    async def pump(self, outlet: Outlet) -> None:
        """Pass the body on to an outlet as it is received, until the response ends.

        Parameters
        ----------
        outlet : Outlet
            Receives the chunks.  While it is full, reading from the server is paused.

        Raises
        ------
        UpstreamError
            If the response was cut off; the outlet then got only part of it.
        """
        outlet.on_writable = self._resume
        self._outlet = outlet
        self._resume()
        # A caller that doesn't read would hold an answer that failed for ever.
        while not self._is_finished or (self._chunks and self._error is None):
            self._changed.clear()
            await self._changed.wait()
        # The traceback of the error refers to the outlet.  If this exchange kept
        # either, what the outlet has buffered would stay until a garbage collection.
        self._outlet = None
        error, self._outlet_error = self._outlet_error, None
        if error is not None:
            try:
                raise error
            finally:
                del error
        if self._error is not None:
            raise self._error

    def cancel(self) -> None:
        """Close the connection immediately, so that the server notices it."""
        self._cancelled = True
        self._chunks.clear()
        self._changed.set()
        if self._is_finished or self._curl is None:
            return
        if self._paused:
            # libcurl doesn't watch the socket of a paused response.
            self._await_turn()
        # libcurl calls the progress callback only when data arrives or once a second.
        # Shutting down the socket makes it react at once, so that an engine doesn't
        # keep generating for a client that has disconnected.
        fd = -1
        # The client may be closed before its exchanges, which ended them.
        with contextlib.suppress(pycurl.error):
            fd = self._curl.getinfo(pycurl.ACTIVESOCKET)
        if fd >= 0:
            with socket.socket(fileno=os.dup(fd)) as active:
                _shut_down(active)

    async def close(self) -> None:
        """Cancel if still running, and wait until the connection is released."""
        if not self._is_finished:
            self.cancel()
        await asyncio.wait([self._task])

    def _prepare(self, curl: Any) -> None:
        self._curl = curl
        # tornado processes header lines in a later iteration of its event loop, so the
        # first bytes of the body could arrive before them.
        curl.setopt(pycurl.HEADERFUNCTION, self._take_header_line)
        curl.setopt(pycurl.WRITEFUNCTION, self._write)
        curl.setopt(pycurl.XFERINFOFUNCTION, self._check_progress)
        curl.setopt(pycurl.NOPROGRESS, 0)
        # Otherwise libcurl removes the dot segments of a path, so that the call runs
        # under another one than its contract was checked for.
        curl.setopt(pycurl.PATH_AS_IS, 1)
        # libcurl resends a request by itself if a reused connection closes before any
        # byte of the response, so that the server may get the request twice.  It never
        # does so on a new connection.
        is_fresh = 0 if self._repeatable else 1
        curl.setopt(pycurl.FRESH_CONNECT, is_fresh)
        curl.setopt(pycurl.FORBID_REUSE, is_fresh)

    def _record_sent_bytes(self) -> None:
        if self._curl is not None:
            self._sent_bytes = int(self._curl.getinfo(pycurl.REQUEST_SIZE))
            self._is_unsent = self._sent_bytes == 0

    def _check_progress(self, *progress: int) -> int:
        if self._cancelled:
            return 1
        if self._head.done() and not self._paused:
            now_s = time.monotonic()
            if not take_unseen(self._share, now_s):
                self._pause_until_turn()
                self._curl.pause(pycurl.PAUSE_RECV)
        return 0

    def _write(self, chunk: bytes) -> int:
        if self._cancelled:
            return 0
        if not take_piece(self._share, len(chunk), time.monotonic()):
            return self._pause_until_turn()
        if self._outlet is not None and not self._is_full:
            self._forward(chunk)
            return 0 if self._cancelled else len(chunk)
        # Without a limit the router would buffer the whole response of a fast engine
        # for each slow client and run out of memory.
        if self._unread_bytes >= UNREAD_MAX_BYTES:
            self._paused = True
            return int(pycurl.WRITEFUNC_PAUSE)
        self._chunks.append(chunk)
        self._unread_bytes += len(chunk)
        return len(chunk)

    def _forward(self, chunk: bytes) -> None:
        assert self._outlet is not None
        try:
            self._is_full = not self._outlet.take(chunk)
            if self._outlet.parts > 1:
                use_up(self._share, self._outlet.parts)
        except Exception as error:  # noqa: BLE001
            # pycurl would only print an exception raised in its callback and continue.
            # `pump` has to raise it, and nothing more may be read.
            self._outlet_error = error
            self._cancelled = True

    def _resume(self) -> None:
        self._is_full = False
        while self._chunks and not self._is_full:
            chunk = self._chunks.popleft()
            self._unread_bytes -= len(chunk)
            self._forward(chunk)
        if self._is_finished or self._cancelled:
            self._changed.set()
        else:
            self._unpause()

    def _pause_until_turn(self) -> int:
        self._paused = True
        self._await_turn()
        return int(pycurl.WRITEFUNC_PAUSE)

    def _await_turn(self) -> None:
        if not self._awaits_turn:
            self._awaits_turn = True
            self._turns.add(self._take_turn)

    def _take_turn(self) -> None:
        self._awaits_turn = False
        refill(self._share, time.monotonic())
        self._unpause()

    def _unpause(self) -> None:
        must_wait = self._awaits_turn or (self._is_full and not self._cancelled)
        if self._paused and not must_wait and self._curl is not None:
            self._paused = False
            # It fails if the exchange ends meanwhile; `_fetch` gets that error.
            with contextlib.suppress(pycurl.error):
                self._curl.pause(pycurl.PAUSE_CONT)

    def _take_header_line(self, raw: bytes) -> int:
        if self._cancelled:
            return 0
        # Interim responses may be followed by others without end.
        if not take_piece(self._share, len(raw), time.monotonic()):
            return self._pause_until_turn()
        if holds_status_line(raw, 1):
            # libcurl ends the exchange if less is taken than it passes on.
            self._fault = "another response begins within the head"
            return 0
        # At the end of the connection libcurl passes on a part of the last line.
        if raw.endswith(b"\n"):
            self._parse_header_line(raw)
        return len(raw)

    def _parse_header_line(self, raw: bytes) -> None:
        line = raw.decode("latin-1").strip()
        if line.startswith("HTTP/"):
            self._status = int(line.split()[1])
            self._header_lines = {}
        elif ":" in line:
            name, _, value = line.partition(":")
            self._header_lines[name.strip().title()] = value.strip()
        elif not line and self._status >= 200 and not self._head.done():
            self._head.set_result(Head(self._status, dict(self._header_lines)))

    async def _fetch(self, request: HTTPRequest) -> None:
        try:
            await self._client.fetch(request, raise_error=False)
        except CurlError as error:
            # If an endpoint reads a request on a reused connection and crashes, libcurl
            # reconnects and fails.  The error then reports only the failed connection,
            # although the request was sent and may have run.
            is_silent = error.errno == pycurl.E_OPERATION_TIMEDOUT and self._is_unsent
            sent = not is_silent and (
                self._sent_bytes > 0 or error.errno not in _NOTHING_SENT
            )
            self._error = UpstreamError(self._fault or str(error), sent, is_silent)
        except Exception as error:  # noqa: BLE001 - the exchange must always end
            self._error = UpstreamError(repr(error), sent=True)
        self._is_finished = True
        self._curl = None
        if not self._head.done():
            # libcurl reports success if the connection ends within a head.
            if self._error is None:
                self._error = UpstreamError("the head is incomplete", sent=True)
            self._head.set_exception(self._error)
            self._head.exception()
        self._changed.set()


class _ObservedRequest(HTTPRequest):
    """A request with a callback that runs while its libcurl handle is still valid."""

    on_end: Callable[[], None] = staticmethod(lambda: None)


class UpstreamClient(CurlAsyncHTTPClient):
    """Calls a request's `on_end` before its libcurl handle is reused.

    Attributes
    ----------
    turns : ReadTurns
        Turns of the responses that are paused.
    """

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Initialize the client; the arguments are those of its base class."""
        super().initialize(*args, **kwargs)
        self.turns = ReadTurns()

    def fetch_impl(
        self, request: HTTPRequest, callback: Callable[[HTTPResponse], None]
    ) -> None:
        """Start a request."""

        def finish(response: HTTPResponse) -> None:
            if isinstance(response.request, _ObservedRequest):
                response.request.on_end()
            callback(response)

        super().fetch_impl(request, finish)


# libcurl errors that occur before any byte of the request can have been sent.
_NOTHING_SENT = (
    pycurl.E_URL_MALFORMAT,
    pycurl.E_COULDNT_RESOLVE_HOST,
    pycurl.E_COULDNT_CONNECT,
)


def _shut_down(active: socket.socket) -> None:
    try:
        active.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


def make_client() -> UpstreamClient:
    """Return a new client for exchanges; the caller closes it."""
    return UpstreamClient(
        force_instance=True, max_clients=CLIENTS_MAX, max_body_size=1 << 40
    )


def close_client(client: CurlAsyncHTTPClient) -> None:
    """Close a client, including its requests in flight."""
    client.close()
    # Closing the handles makes libcurl request one more timeout after tornado has
    # removed its own.  It would fire on a closed client and log a traceback if the
    # process continues, as with an embedded router.
    if client._timeout is not None:
        client.io_loop.remove_timeout(client._timeout)
        client._timeout = None
