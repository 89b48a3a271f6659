"""Connections of clients: their memory, their processor time and their end."""

import asyncio
import socket
from asyncio import Future
from collections import deque
from collections.abc import Awaitable
from typing import Any

from tornado.iostream import IOStream, UnsatisfiableReadError

from tamarackrill.decisions.capacity.request_bytes import SMALL_BYTES, RequestBytes
from tamarackrill.decisions.request_reading import TURN_S, needs_turn

# Time in which a client takes the answer, and bytes read meanwhile.  Closed with bytes
# that were not read, the connection would be reset and the answer lost.
LINGER_S = 1.0
LINGER_MAX_BYTES = 8 * 1024 * 1024
READ_MAX_BYTES = 64 * 1024
# Matches where tornado's pattern, with an optional first CR, does; it is found faster.
HEAD_END = rb"\n\r?\n"
HEAD_END_BYTES = 3
# Time after which there may be room for a head, in seconds.
RETRY_AFTER = b"0.5"


class _NoRoom(UnsatisfiableReadError):
    """A head that exceeds the memory for requests."""


class ReadTurns:
    """Lets one connection at a time read short chunks, at a fixed rate."""

    def __init__(self) -> None:
        self._waiting: deque[Future[None]] = deque()

    async def wait(self) -> None:
        """Wait for the next turn."""
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        if not self._waiting:
            loop.call_later(TURN_S, self._give_turn)
        self._waiting.append(turn)
        await turn

    def _give_turn(self) -> None:
        turn = self._waiting.popleft()
        if self._waiting:
            asyncio.get_running_loop().call_later(TURN_S, self._give_turn)
        if not turn.done():
            turn.set_result(None)


class RequestLimits:
    """What the connections of a server share.

    Parameters
    ----------
    held : RequestBytes
        Bytes of requests.
    """

    def __init__(self, held: RequestBytes) -> None:
        self.held = held
        self.turns = ReadTurns()


class ClientStream(IOStream):
    """Bounds what a client sends, and answers it before it is closed.

    Tornado closes the connection without an answer if a head, or the line before a
    chunk of a body, exceeds its limit.

    Attributes
    ----------
    lingers : bool
        Whether the client may still be sending when the connection is closed.
    """

    _is_reading_head = False
    _has_written = False
    # Of the read buffer, 0 if it is small.
    _counted_bytes = 0
    # Of the read buffer, without the end of a head.
    _searched_bytes = 0
    _chunks = 0
    _taken_bytes = 0
    lingers = False

    def __init__(
        self, *args: Any, limits: RequestLimits | None = None, **kwargs: Any
    ) -> None:
        super().__init__(*args, **kwargs)
        self._limits = limits

    def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Read a head."""
        self._is_reading_head, self._has_written = True, False
        self._chunks = self._taken_bytes = self._searched_bytes = 0
        return super().read_until_regex(HEAD_END, max_bytes)

    def read_until(
        self, delimiter: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Read a line, which is that before a chunk."""
        self._is_reading_head = False
        limits = self._limits
        if limits is None or not needs_turn(self._chunks, self._taken_bytes):
            self._chunks += 1
            return super().read_until(delimiter, max_bytes)
        self._chunks += 1
        return self._read_in_turn(limits.turns, delimiter, max_bytes)

    async def _read_in_turn(
        self, turns: ReadTurns, delimiter: bytes, max_bytes: int | None
    ) -> bytes:
        await turns.wait()
        return await super().read_until(delimiter, max_bytes)

    def write(self, data: bytes | memoryview) -> "Future[None]":
        """Write to the client."""
        self._has_written = True
        return super().write(data)

    def _read_to_buffer(self) -> int | None:
        limits = self._limits
        if limits is None:
            return super()._read_to_buffer()
        self.read_chunk_size = limits.held.choose_read_bytes()
        size_bytes = super()._read_to_buffer()
        if self._read_buffer_size > SMALL_BYTES and not self.closed():
            self._count()
            if self._is_reading_head and limits.held.must_refuse(
                None, self._read_buffer_size
            ):
                raise _NoRoom("no memory for the head of a request")
        return size_bytes

    def _consume(self, loc: int) -> bytes:
        data = super()._consume(loc)
        self._taken_bytes += loc
        if self._counted_bytes:
            self._count()
        return data

    def _find_read_pos(self) -> int | None:
        if self._read_regex is None or not self._read_buffer:
            return super()._find_read_pos()
        # A head that arrives in pieces is not searched again from its beginning.
        begin = max(0, self._searched_bytes - HEAD_END_BYTES)
        found = self._read_regex.search(self._read_buffer, begin)
        self._searched_bytes = self._read_buffer_size if found is None else 0
        end = self._read_buffer_size if found is None else found.end()
        self._check_max_bytes(self._read_regex, end)
        return None if found is None else end

    def _count(self) -> None:
        """Count the bytes of the read buffer."""
        assert self._limits is not None
        size_bytes = self._read_buffer_size
        if size_bytes <= SMALL_BYTES:
            size_bytes = 0
        self._limits.held.add(None, size_bytes - self._counted_bytes)
        self._counted_bytes = size_bytes

    def close_fd(self) -> None:
        """Close the connection, after an answer to a line that is too long."""
        if isinstance(self.error, UnsatisfiableReadError) and not self._has_written:
            self._answer_unread(self._take_socket())
            # Its exception refers to the frames of the read, and these to the buffer.
            self._read_buffer, self._read_buffer_size = bytearray(), 0
        elif self.lingers and self.error is None:
            _linger(self._take_socket())
        super().close_fd()
        if self._limits is not None and self._counted_bytes:
            self._limits.held.add(None, -self._counted_bytes)
            self._counted_bytes = 0

    def _take_socket(self) -> socket.socket:
        """Return the connection's socket, which this stream no longer closes."""
        # A duplicate would need another descriptor, of which there may be none.
        connection = socket.socket(fileno=self.socket.detach())
        connection.setblocking(False)
        return connection

    def _answer_unread(self, connection: socket.socket) -> None:
        status = b"431 Request Header Fields Too Large"
        if isinstance(self.error, _NoRoom):
            status = b"503 Service Unavailable\r\nRetry-After: " + RETRY_AFTER
        elif not self._is_reading_head:
            status = b"400 Bad Request"
        answer = (
            b"HTTP/1.1 %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n" % status
        )
        try:
            connection.send(answer)
        except OSError:
            connection.close()
            return
        _linger(connection)


_lingering: set[socket.socket] = set()


def count_lingering() -> int:
    """Return how many connections are open only until their clients have an answer."""
    return len(_lingering)


def _linger(connection: socket.socket) -> None:
    """Read a connection until its client closes it, for a short while at most."""
    loop = asyncio.get_running_loop()
    try:
        connection.shutdown(socket.SHUT_WR)
    except OSError:
        connection.close()
        return
    left_bytes = LINGER_MAX_BYTES
    _lingering.add(connection)

    def end() -> None:
        _lingering.discard(connection)
        loop.remove_reader(connection)
        connection.close()

    timer = loop.call_later(LINGER_S, end)

    def discard() -> None:
        nonlocal left_bytes
        try:
            size_bytes = len(connection.recv(READ_MAX_BYTES))
        except BlockingIOError:
            return
        except OSError:
            # The client has reset the connection.
            size_bytes = 0
        left_bytes -= size_bytes
        if not size_bytes:
            timer.cancel()
            end()
        elif left_bytes <= 0:
            # The client, which can send no more, still has time to read the answer.
            loop.remove_reader(connection)

    loop.add_reader(connection, discard)
