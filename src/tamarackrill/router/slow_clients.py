"""Buffers responses for clients that read slowly.

Each response has at most one write to its client's connection in flight, as
`HTTP1Connection` keeps only the future of the last one; what follows is staged here.
Completion of a write is taken from the stream itself, whose futures resolve in order.
"""

import asyncio
import socket
from collections.abc import Callable, Sequence

from tornado.http1connection import HTTP1Connection
from tornado.iostream import StreamClosedError

from tamarackrill.decisions.attempt_timeouts import RESPONSE_TRANSIT_S
from tamarackrill.decisions.capacity.buffers import (
    KERNEL_BYTES,
    ClientBuffers,
)
from tamarackrill.platform.settings_file import PlatformSettings
from tamarackrill.router import lateness
from tamarackrill.router.channels import Channel
from tamarackrill.router.edge_reply import (
    WRITE_MAX_BYTES,
    ClientTooSlow,
    EdgeReply,
    MakeReply,
    ReplyMemory,
)
from tamarackrill.router.metrics import Metrics

# The kernel's buffer of a client connection for a long body.  A client acknowledges two
# segments at once and a single one 40 ms later, and those of loopback have 64 KiB.
LONG_KERNEL_BYTES = 128 * 1024
# Stopped responses are checked this often at most, so that many of them cost little.
WAKE_INTERVAL_S = 0.02


def choose_replies(
    settings: PlatformSettings, metrics: Metrics, clock: Callable[[], float]
) -> MakeReply:
    """Return what makes the replies to clients: buffered ones if they read slowly."""
    buffers = ClientBuffers(settings.memory_bytes)
    if not settings.has_slow_peers:
        return ReplyMemory(buffers, metrics).make_reply
    return SlowClients(buffers, metrics, clock).make_reply


class SlowClients(ReplyMemory):
    """Buffers of all responses of a router.

    Parameters
    ----------
    buffers : ClientBuffers
        Decides which response may hold how much.
    metrics : Metrics
        Records counters and the gauge of what is held.
    clock : callable
        Returns the present time.
    """

    def __init__(
        self, buffers: ClientBuffers, metrics: Metrics, clock: Callable[[], float]
    ) -> None:
        super().__init__(buffers, metrics)
        self.clock = clock
        # Responses stopped by the bound of their team or the total, in order.
        self._stopped: dict[str, dict[BufferedReply, None]] = {}
        self._is_wake_due = False

    def make_reply(
        self, connection: HTTP1Connection, must_close: bool, takes_chunks: bool = True
    ) -> "BufferedReply":
        """Return the reply to one request."""
        return BufferedReply(self, connection, must_close, takes_chunks)

    def release(self, team: str, size_bytes: int) -> None:
        """Subtract bytes that a response no longer holds."""
        super().release(team, size_bytes)
        if self._stopped:
            self._wake_later()

    async def wait_room(self, reply: "BufferedReply") -> None:
        """Wait until a stopped response of a team may be checked again."""
        waiting = self._stopped.setdefault(reply.team, {})
        waiting[reply] = None
        try:
            await reply.wait_change()
        finally:
            waiting.pop(reply, None)
            if not waiting and self._stopped.get(reply.team) is waiting:
                del self._stopped[reply.team]

    def _wake_later(self) -> None:
        if not self._is_wake_due:
            self._is_wake_due = True
            asyncio.get_running_loop().call_later(WAKE_INTERVAL_S, self._wake_stopped)

    def _wake_stopped(self) -> None:
        self._is_wake_due = False
        for team, waiting in list(self._stopped.items()):
            room_bytes = self.buffers.find_room_bytes(team)
            # Each of them reads a piece before it is checked again.
            pieces = 0 if room_bytes <= 0 else 1 + int(room_bytes // WRITE_MAX_BYTES)
            for reply in list(waiting)[:pieces]:
                del waiting[reply]
                reply.wake()
            # Those that are woken may have nothing more to read, and release nothing.
            if waiting and room_bytes > 0:
                self._wake_later()


class BufferedReply(EdgeReply):
    """Writes one response, and buffers it while the client does not read it.

    Parameters
    ----------
    owner : SlowClients
        Buffers of all responses.
    connection, must_close, takes_chunks
        As for `EdgeReply`.
    """

    def __init__(
        self,
        owner: SlowClients,
        connection: HTTP1Connection,
        must_close: bool,
        takes_chunks: bool = True,
    ) -> None:
        super().__init__(connection, must_close, takes_chunks, owner)
        self._owner = owner
        self._stream = connection.stream
        self._staged = bytearray()
        # Of a complete body, which isn't copied.
        self._rest = memoryview(b"")
        self._is_writing = False
        self._has_left = False
        # What a callback of a write has raised.
        self._error: Exception | None = None
        # Bytes held in the write in flight, and all including those staged.
        self._in_flight_bytes = 0
        self._held_bytes = 0
        # Two attempts of a request may wait at the same time.
        self._changes: set[asyncio.Future[None]] = set()
        if not self._stream.closed():
            # By default the kernel takes up to 4 MB for a client that reads nothing.
            self._stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BYTES
            )

    async def begin(
        self,
        status: int,
        headers: Sequence[tuple[str, str]],
        body: bytes | None = None,
    ) -> None:
        """Send the head, or the complete response if the body is given.

        Raises
        ------
        ClientTooSlow
            If the client does not take a body for which there is no memory.
        tornado.iostream.StreamClosedError
            If the client has disconnected.
        """
        self.drop_reserved()
        size_bytes = None if body is None else len(body)
        self._start_writing(status, headers, size_bytes, body or b"")
        if size_bytes is None:
            return
        buffers = self._owner.buffers
        if self._is_writing and buffers.must_cut_body(self.team, size_bytes):
            raise ClientTooSlow
        self.is_complete = True

    async def begin_early(
        self,
        status: int,
        headers: Sequence[tuple[str, str]],
        size_bytes: int | None,
        held: bytes,
    ) -> None:
        """Send the head and the beginning of a body; return once more may be read.

        Raises
        ------
        tornado.iostream.StreamClosedError
            If the client has disconnected.
        """
        self._note_early(size_bytes)
        if not self._stream.closed():
            self._stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, LONG_KERNEL_BYTES
            )
        self.drop_reserved()
        self._start_writing(status, headers, size_bytes, held)
        await self._wait_room()

    def _start_writing(
        self,
        status: int,
        headers: Sequence[tuple[str, str]],
        size_bytes: int | None,
        body: bytes,
    ) -> None:
        first = body[:WRITE_MAX_BYTES]
        future = self._start(status, headers, size_bytes, first)
        if future.done():
            future.result()
        self._hold(len(first))
        self._watch(len(first))
        if self.takes_body and len(body) > WRITE_MAX_BYTES:
            # In pieces, so that `deliver` sees whether the client reads.
            self._rest = memoryview(body)[WRITE_MAX_BYTES:]
            self._hold(len(self._rest))
            self._write_staged()

    async def write(self, chunk: bytes) -> None:
        """Send or buffer a chunk; return once the next one may be read.

        Raises
        ------
        tornado.iostream.StreamClosedError
            If the client has disconnected.
        """
        self._check_open()
        # Of an attempt whose response was not forwarded.
        self.drop_reserved()
        self._hold(len(chunk))
        if self._is_writing:
            self._staged += chunk
        else:
            self._connection.write(chunk)
            self._watch(len(chunk))
        await self._wait_room()

    def finish(self) -> None:
        """Mark the response as complete; `deliver` waits until the client has it."""
        self.is_complete = True

    async def deliver(self, deadline_s: float) -> None:
        """Wait until the client has all of a complete response.

        Raises
        ------
        ClientTooSlow
            If it does not have it in time.
        tornado.iostream.StreamClosedError
            If the client has disconnected.
        """
        if not self.is_complete or self.is_over:
            return
        try:
            async with lateness.timeout_at(
                deadline_s + RESPONSE_TRANSIT_S, self._watch_progress()
            ):
                await self._wait_written()
                self._check_open()
                self._connection.finish()
                self._watch(0)
                await self._wait_written()
        except TimeoutError:
            raise ClientTooSlow from None
        self.is_over = True
        if self._must_close:
            self._connection.close()

    def release(self) -> None:
        """Drop all that is held."""
        self._staged.clear()
        self._rest = memoryview(b"")
        self.reserved_bytes = self._in_flight_bytes = 0
        self._release(self._held_bytes)

    def check_unread(self, channel: Channel) -> None:
        """Raise `ClientTooSlow` if a break of the response is due to the client."""
        if channel.pauses.explain_abort(self._owner.clock()):
            raise ClientTooSlow

    async def wait_change(self) -> None:
        """Wait until bytes have been written, the client has left, or `wake`."""
        change = asyncio.get_running_loop().create_future()
        self._changes.add(change)
        try:
            await change
        finally:
            self._changes.discard(change)

    def wake(self) -> None:
        """End `wait_change`."""
        for change in self._changes:
            if not change.done():
                change.set_result(None)

    async def _wait_room(self) -> None:
        """Wait until more may be read of a response that is forwarded."""
        buffers = self._owner.buffers
        while limit := buffers.find_limit(self.team, self._held_bytes, True):
            self._note_limit(limit)
            if limit == "response":
                await self.wait_change()
            else:
                await self._owner.wait_room(self)
            self._check_open()

    def _watch_progress(self) -> Callable[[], bool]:
        """Return a function that tells whether more was written since its last call."""
        held_bytes = self._held_bytes

        def has_progress() -> bool:
            nonlocal held_bytes
            before_bytes, held_bytes = held_bytes, self._held_bytes
            return held_bytes < before_bytes

        return has_progress

    async def _wait_written(self) -> None:
        while self._is_writing:
            await self.wait_change()
        if self._error is not None:
            raise self._error
        # After its last write the stream may have been closed here.
        if self._has_left:
            raise StreamClosedError

    def _check_open(self) -> None:
        if self._error is not None:
            raise self._error
        if self._stream.closed():
            raise StreamClosedError

    def _hold(self, size_bytes: int) -> None:
        self._held_bytes += size_bytes
        self._owner.buffers.add(self.team, size_bytes)

    def _release(self, size_bytes: int) -> None:
        if size_bytes:
            self._held_bytes -= size_bytes
            self._owner.release(self.team, size_bytes)

    def _watch(self, size_bytes: int) -> None:
        """Release the bytes of the write just begun once it has ended."""
        if not self._stream.writing():
            # A write that fails at once closes the stream and leaves nothing to wait
            # for; the end of a connection's last response sets no error.
            self._has_left = self._stream.error is not None
            self._release(size_bytes)
            return
        self._is_writing = True
        self._in_flight_bytes = size_bytes
        self._stream.write(b"").add_done_callback(self._end_write)

    def _end_write(self, future: "asyncio.Future[None]") -> None:
        self._is_writing = False
        try:
            self._write_on(future)
        except Exception as error:
            # Raised where the response is written or waited for.
            self._error = error
        self.wake()

    def _write_on(self, future: "asyncio.Future[None]") -> None:
        self._has_left = future.exception() is not None
        if self._has_left:
            self.release()
        written_bytes, self._in_flight_bytes = self._in_flight_bytes, 0
        self._release(written_bytes)
        self._write_staged()

    def _write_staged(self) -> None:
        while (self._rest or self._staged) and not self._is_writing:
            if self._rest:
                piece = bytes(self._rest[:WRITE_MAX_BYTES])
                self._rest = self._rest[WRITE_MAX_BYTES:]
            else:
                piece = bytes(self._staged[:WRITE_MAX_BYTES])
                del self._staged[:WRITE_MAX_BYTES]
            self._connection.write(piece)
            self._watch(len(piece))
