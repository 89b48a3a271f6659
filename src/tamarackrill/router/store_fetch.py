"""One HTTP call to a store, and its progress."""

import asyncio
import os
import socket
import time
from collections.abc import Callable
from typing import Any

import pycurl
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

from tamarackrill.decisions.capacity.store_answers import is_too_fine
from tamarackrill.router import lateness
from tamarackrill.router.background import discard_error
from tamarackrill.router.sockets import enable_keepalive


class CallProgress:
    """Progress of one call.

    Parameters
    ----------
    on_first_byte : callable
        Called when the first byte of the answer arrives.

    Attributes
    ----------
    is_too_long : bool
        Whether the answer exceeded the limit of its call, and was dropped.
    has_head : bool
        Whether the whole head of the answer has arrived; libcurl reports success also
        if the connection ends within it.
    """

    def __init__(self, on_first_byte: Callable[[], None]) -> None:
        self._on_first_byte = on_first_byte
        self.first_byte = asyncio.Event()
        self.first_byte_s: float | None = None
        self.size_bytes = 0
        self.has_head = False
        self.is_too_long = False
        self._is_informational = False

    def handle_header_line(self, line: str) -> None:
        """Record how far the head is; called for each header line of the answer."""
        if line.startswith("HTTP/"):
            self._is_informational = line.partition(" ")[2].startswith("1")
        elif line in ("\r\n", "\n"):
            self.has_head = not self._is_informational
        if self.first_byte_s is None:
            self.first_byte_s = time.monotonic()
            self.first_byte.set()
            self._on_first_byte()


async def fetch(
    client: AsyncHTTPClient,
    request: HTTPRequest,
    first_byte: asyncio.Event,
    first_byte_s: float,
) -> HTTPResponse:
    """Fetch a URL with a timeout for the first byte of the answer.

    A manifest of a thousand routes takes most of a second over a link of 5 Mbit/s.  If
    the timeout applied to the whole answer, a router behind such a link would read it
    again and again and never put it in force.

    Raises
    ------
    TimeoutError
        If the first byte did not arrive in time.
    """
    fetching = asyncio.ensure_future(client.fetch(request, raise_error=False))
    # After a timeout here, or when the router stops, the client ends the call at its
    # own timeout; its error would be logged as never retrieved.
    fetching.add_done_callback(discard_error)
    try:
        async with lateness.timeout(first_byte_s):
            await _wait_for_first_byte(fetching, first_byte)
    except TimeoutError:
        # A process that was not scheduled sees the timeout and the answer at once.  If
        # it raised then, a busy router would repeat the call again and again, and learn
        # of no change.
        if not first_byte.is_set() and not fetching.done():
            raise
        # tornado passes header lines on in the iteration after it has read them.
        await asyncio.sleep(0)
    return await fetching


def make_curl_setup(
    progress: CallProgress, max_bytes: int, is_write: bool
) -> Callable[[Any], None]:
    """Return a callback that sets the options of a call's curl handle.

    Parameters
    ----------
    progress : CallProgress
        Is told if the answer is too long.
    max_bytes : int
        Size above which an answer is not read, also one that doesn't tell its size.
    is_write : bool
        Whether the call writes.  It then has a connection of its own: libcurl sends a
        call again by itself if a reused one closes without an answer.
    """

    def set_options(curl: Any) -> None:
        # A watch on a dead connection would get no change until it times out; pycurl
        # has no option for the number of TCP keepalive probes.
        curl.setopt(pycurl.SOCKOPTFUNCTION, _set_socket_options)
        # Handles are reused and keep the previous call's limit.
        curl.setopt(pycurl.MAXFILESIZE_LARGE, max_bytes)
        body = curl.info["buffer"]
        pieces = 0

        def write(chunk: bytes) -> int:
            nonlocal pieces
            pieces += 1
            if is_too_fine(pieces, body.tell()):
                return 0
            # Of a compressed answer, what has been decompressed counts.
            if body.tell() + len(chunk) > max_bytes:
                progress.is_too_long = True
                return 0
            return int(body.write(chunk))

        curl.setopt(pycurl.WRITEFUNCTION, write)
        curl.setopt(pycurl.FRESH_CONNECT, is_write)
        curl.setopt(pycurl.FORBID_REUSE, is_write)

    return set_options


async def _wait_for_first_byte(
    fetching: asyncio.Future[Any], first_byte: asyncio.Event
) -> None:
    waiting = asyncio.ensure_future(first_byte.wait())
    try:
        await asyncio.wait([fetching, waiting], return_when=asyncio.FIRST_COMPLETED)
    finally:
        waiting.cancel()


def _set_socket_options(fd: int, purpose: int) -> int:
    with socket.socket(fileno=os.dup(fd)) as connection:
        enable_keepalive(connection)
    return int(pycurl.SOCKOPT_OK)
