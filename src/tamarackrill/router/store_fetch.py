"""One HTTP call to a store, and how far it has come."""

import asyncio
import os
import socket
import time
from collections.abc import Callable
from typing import Any

import pycurl
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

from tamarackrill.router.sockets import enable_keepalive


class Progress:
    """How far one call has come.

    Parameters
    ----------
    on_first_byte : callable
        Called when the answer begins.
    """

    def __init__(self, on_first_byte: Callable[[], None]) -> None:
        self._on_begin = on_first_byte
        self.begun = asyncio.Event()
        self.begun_s: float | None = None
        self.size_bytes = 0

    def begin(self, line: str) -> None:
        """Take a line of the answer's head."""
        if self.begun_s is None:
            self.begun_s = time.monotonic()
            self.begun.set()
            self._on_begin()


async def fetch(
    client: AsyncHTTPClient,
    request: HTTPRequest,
    begun: asyncio.Event,
    first_byte_s: float,
) -> HTTPResponse:
    """Fetch, and give up if the answer has not begun in time.

    A manifest of a thousand routes takes most of a second over a link of 5 Mbit/s.
    Were the whole answer to come within the time of a first byte, a router behind
    such a link would read it over and over and never have it in force.

    Raises
    ------
    TimeoutError
        If the answer has not begun.
    """
    fetching = asyncio.ensure_future(client.fetch(request, raise_error=False))
    # Whoever gives up, here or by stopping the router, leaves the client to end the
    # call at its own timeout; its error would be reported as one nobody looked at.
    fetching.add_done_callback(_forget)
    try:
        async with asyncio.timeout(first_byte_s):
            await _wait_begun(fetching, begun)
    except TimeoutError:
        # A process that got no time finds the timeout and the answer together.  Were
        # it to give up then, it would ask again and again while it is busy, and hear
        # of nothing.
        if not begun.is_set() and not fetching.done():
            raise
    return await fetching


def make_preparation(max_bytes: int | None) -> Callable[[Any], None]:
    """Return what sets the options of a call's handle.

    Parameters
    ----------
    max_bytes : int or None
        Longest answer that is read.
    """

    def prepare(curl: Any) -> None:
        # A watch on a connection that has fallen silent would hear of no change until
        # it times out; pycurl has no option for the number of the kernel's questions.
        curl.setopt(pycurl.SOCKOPTFUNCTION, _set_socket_options)
        # Handles are used again, with the limit of the call before; 0 is none.
        curl.setopt(pycurl.MAXFILESIZE_LARGE, max_bytes or 0)

    return prepare


def _forget(fetching: asyncio.Future[Any]) -> None:
    if not fetching.cancelled():
        fetching.exception()


async def _wait_begun(fetching: asyncio.Future[Any], begun: asyncio.Event) -> None:
    waiting = asyncio.ensure_future(begun.wait())
    try:
        await asyncio.wait([fetching, waiting], return_when=asyncio.FIRST_COMPLETED)
    finally:
        waiting.cancel()


def _set_socket_options(fd: int, purpose: int) -> int:
    with socket.socket(fileno=os.dup(fd)) as connection:
        enable_keepalive(connection)
    return int(pycurl.SOCKOPT_OK)
