"""Calls to endpoints and to other routers, through tornado's curl client.

An `Exchange` is one call: it hands the answer on piece by piece, holds a fast
endpoint back for a slow reader, can be cancelled at once, and tells whether any
byte of the request can have left.
"""

import asyncio
import collections
import os
import socket
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse

from tamarackrill.router.outlets import Outlet

# Unread bytes of one answer at which libcurl is told to stop reading its socket.
# Two reads of libcurl's default buffer of 16 KiB keep the pipe full.
UNREAD_MAX_BYTES = 32 * 1024
CONNECT_TIMEOUT_S = 1.0
# A handle costs about 5 kB; 370 nodes at 6,500 requests/s have some 200 in use.
CLIENTS_MAX = 1000


class UpstreamError(Exception):
    """An exchange ended without a whole answer.

    Parameters
    ----------
    reason : str
        What libcurl said.
    sent : bool
        False only if no byte of the request can have reached the other side.
    """

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.sent = sent


class Head(NamedTuple):
    """Status and headers of an answer."""

    status: int
    headers: dict[str, str]


class Exchange:
    """One call and its answer, as it comes in.

    Parameters
    ----------
    client : CurlAsyncHTTPClient
        Not owned.
    method, url : str
        The call.
    headers : mapping of str to str
        Headers of the call.
    body : bytes
        Body of the call.
    timeout_s : float
        The exchange fails if it is not over by then.
    repeatable : bool
        Whether the call may reach the other side twice.
    """

    def __init__(
        self,
        client: CurlAsyncHTTPClient,
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
        self._cancelled = False
        self._over = False
        self._error: UpstreamError | None = None
        self._changed = asyncio.Event()
        self._head: asyncio.Future[Head] = asyncio.get_running_loop().create_future()
        self._status = 0
        self._header_lines: dict[str, str] = {}
        self._curl: Any = None
        self._sent_bytes = 0
        self._client = client
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
        request.on_end = self._note_sent
        self._task = asyncio.ensure_future(self._fetch(request))

    @property
    def unread_bytes(self) -> int:
        """Bytes of the body that were received and not yet read."""
        return self._unread_bytes

    async def head(self) -> Head:
        """Return status and headers as soon as they are there.

        Raises
        ------
        UpstreamError
            If the exchange ended before.
        """
        return await self._head

    async def pump(self, outlet: Outlet) -> None:
        """Hand the body on piece by piece, as it comes.

        Parameters
        ----------
        outlet : Outlet
            Gets the pieces.  While it has no room the other side is held back.

        Raises
        ------
        UpstreamError
            If the answer was cut; what was handed on is then not the whole answer.
        """
        outlet.on_writable = self._resume
        self._outlet = outlet
        self._resume()
        while not self._over or self._chunks:
            self._changed.clear()
            await self._changed.wait()
        if self._outlet_error is not None:
            raise self._outlet_error
        if self._error is not None:
            raise self._error

    def cancel(self) -> None:
        """Close the connection now; the endpoint sees that its reader is gone."""
        self._cancelled = True
        self._chunks.clear()
        self._changed.set()
        if self._over or self._curl is None:
            return
        # libcurl asks whether to go on only when something arrives or once a
        # second.  A shut socket makes it look at once, so that an engine does not
        # go on generating for a caller who has left.
        fd = self._curl.getinfo(pycurl.ACTIVESOCKET)
        if fd >= 0:
            with socket.socket(fileno=os.dup(fd)) as active:
                _shut(active)

    async def close(self) -> None:
        """Cancel if still running, and wait until the connection is let go."""
        if not self._over:
            self.cancel()
        await asyncio.wait([self._task])

    def _prepare(self, curl: Any) -> None:
        self._curl = curl
        # tornado hands header lines on at a later turn of its loop, so that the
        # first bytes of the body could overtake them.
        curl.setopt(pycurl.HEADERFUNCTION, self._take_header_line)
        curl.setopt(pycurl.WRITEFUNCTION, self._write)
        curl.setopt(pycurl.XFERINFOFUNCTION, self._go_on)
        curl.setopt(pycurl.NOPROGRESS, 0)
        # libcurl by itself sends a request a second time when a reused connection
        # closes before any byte of the answer: the other side then counts two
        # arrivals for one call.  It does not on a connection made for the call.
        fresh = 0 if self._repeatable else 1
        curl.setopt(pycurl.FRESH_CONNECT, fresh)
        curl.setopt(pycurl.FORBID_REUSE, fresh)

    def _note_sent(self) -> None:
        if self._curl is not None:
            self._sent_bytes = int(self._curl.getinfo(pycurl.REQUEST_SIZE))

    def _go_on(self, *progress: int) -> int:
        return 1 if self._cancelled else 0

    def _write(self, chunk: bytes) -> int:
        if self._cancelled:
            return 0
        self._set_head()
        if self._outlet is not None and not self._is_full:
            self._hand_on(chunk)
            return 0 if self._cancelled else len(chunk)
        # An engine can be faster than its caller.  Without a bound the router
        # would hold whole answers for each slow caller and run out of memory.
        if self._unread_bytes >= UNREAD_MAX_BYTES:
            self._paused = True
            return int(pycurl.WRITEFUNC_PAUSE)
        self._chunks.append(chunk)
        self._unread_bytes += len(chunk)
        return len(chunk)

    def _hand_on(self, chunk: bytes) -> None:
        assert self._outlet is not None
        try:
            self._is_full = not self._outlet.take(chunk)
        except Exception as error:  # noqa: BLE001
            # libcurl would print an exception of its callback and go on; the reader
            # has to see it, and no more may be read.
            self._outlet_error = error
            self._cancelled = True

    def _resume(self) -> None:
        self._is_full = False
        while self._chunks and not self._is_full:
            chunk = self._chunks.popleft()
            self._unread_bytes -= len(chunk)
            self._hand_on(chunk)
        if self._over or self._cancelled:
            self._changed.set()
        elif self._paused and not self._is_full and self._curl is not None:
            self._paused = False
            self._curl.pause(pycurl.PAUSE_CONT)

    def _take_header_line(self, raw: bytes) -> None:
        line = raw.decode("latin-1").strip()
        if line.startswith("HTTP/"):
            self._status = int(line.split()[1])
            self._header_lines = {}
        elif ":" in line:
            name, _, value = line.partition(":")
            self._header_lines[name.strip().title()] = value.strip()
        elif not line and self._status >= 200:
            self._set_head()

    def _set_head(self) -> None:
        if not self._head.done():
            self._head.set_result(Head(self._status, dict(self._header_lines)))

    async def _fetch(self, request: HTTPRequest) -> None:
        try:
            await self._client.fetch(request, raise_error=False)
        except CurlError as error:
            # An endpoint that reads a request on a kept connection and crashes leaves
            # libcurl to connect anew, which fails; the error then tells of the
            # connection alone, though the request has left and may have run.
            sent = self._sent_bytes > 0 or error.errno not in _NOTHING_SENT
            self._error = UpstreamError(str(error), sent)
        except Exception as error:  # noqa: BLE001 - an answer must end, come what may
            self._error = UpstreamError(repr(error), sent=True)
        self._over = True
        self._curl = None
        if self._error is not None and not self._head.done():
            self._head.set_exception(self._error)
            self._head.exception()
        elif not self._head.done():
            self._set_head()
        self._changed.set()


class _ObservedRequest(HTTPRequest):
    """A request that hears of its end while libcurl's handle is still its own."""

    on_end: Callable[[], None] = staticmethod(lambda: None)


class _ObservingClient(CurlAsyncHTTPClient):
    """Tells requests of their end before their handle serves another one."""

    def fetch_impl(
        self, request: HTTPRequest, callback: Callable[[HTTPResponse], None]
    ) -> None:
        """Start a request."""

        def finish(response: HTTPResponse) -> None:
            if isinstance(response.request, _ObservedRequest):
                response.request.on_end()
            callback(response)

        super().fetch_impl(request, finish)


# Errors of libcurl that come before any byte of the request can have left.
_NOTHING_SENT = (
    pycurl.E_URL_MALFORMAT,
    pycurl.E_COULDNT_RESOLVE_HOST,
    pycurl.E_COULDNT_CONNECT,
)


def _shut(active: socket.socket) -> None:
    try:
        active.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


def make_client() -> CurlAsyncHTTPClient:
    """Return a client of its own for exchanges; the caller closes it."""
    return _ObservingClient(
        force_instance=True, max_clients=CLIENTS_MAX, max_body_size=1 << 40
    )


def close_client(client: CurlAsyncHTTPClient) -> None:
    """Close a client, whatever it still has in flight."""
    client.close()
    # Closing libcurl's handles makes libcurl ask for one more timeout, after tornado
    # has dropped the one it had.  It would find the client closed and leave a
    # traceback in the log of a process that lives on, as that of an embedded router.
    if client._timeout is not None:
        client.io_loop.remove_timeout(client._timeout)
        client._timeout = None
