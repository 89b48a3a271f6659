"""Buffer between the run of a call, which writes the answer, and its readers.

A reply that is kept can be read again from any event, by a resend or by a caller that
lost its connection.  A reply that is not kept applies backpressure: the run waits while
its only reader is too far behind.
"""

import asyncio
from collections.abc import Callable

from tamarackrill.decisions.answer_memory import CHUNK_OVERHEAD_BYTES, AnswerMemory
from tamarackrill.exceptions import Refusal
from tamarackrill.router.outlets import Outlet
from tamarackrill.router.upstream import Head

# Bytes that a run can be ahead of its reader if the reply is not kept.
READ_AHEAD_MAX_BYTES = 64 * 1024
# A longer answer is passed on but not kept, so it can't be read a second time.
RETAINED_MAX_BYTES = 1024 * 1024
# How long a caller that doesn't read may hold what there is of an answer that failed.
FAILED_READ_MAX_S = 5.0


class _Reader:
    """Position of one caller in the answer."""

    def __init__(self, outlet: Outlet, position: int) -> None:
        self.outlet = outlet
        self.position = position
        self.is_full = False


class Reply(Outlet):
    """Head and chunks of an answer; a chunk of a stream is one event.

    Parameters
    ----------
    keep : bool
        Whether to keep the chunks for later readers.
    memory : AnswerMemory, optional
        Memory of all answers; not owned.

    Attributes
    ----------
    may_have_run : bool
        Whether any of the call can have been sent to an endpoint.
    """

    def __init__(self, keep: bool, memory: AnswerMemory | None = None) -> None:
        super().__init__()
        self.keep = keep
        self.memory = AnswerMemory() if memory is None else memory
        if keep:
            self.memory.retain(self)
        # Bytes that are counted in `memory`, until the run and its readers have ended.
        self._counted_bytes = 0
        self._is_counted = True
        self.may_have_run = False
        self.size_bytes = 0
        self.readers = 0
        self.started = False
        self._chunks: list[bytes] = []
        self._discarded = 0
        self._buffered_bytes = 0
        self._was_full = False
        self._active_readers: list[_Reader] = []
        self._head: Head | None = None
        self._refusal: Refusal | None = None
        self._finished = False
        self._changed = asyncio.Event()
        self.abandoned = asyncio.Event()
        self._on_abandoned: Callable[[], None] = lambda: None

    @property
    def count(self) -> int:
        """Number of chunks written, including those no longer held."""
        return self._discarded + len(self._chunks)

    @property
    def is_finished(self) -> bool:
        """Whether the run has ended, successfully or not."""
        return self._finished

    @property
    def is_complete(self) -> bool:
        """Whether the run succeeded and all of the answer can still be read."""
        return self._finished and self._refusal is None and not self._discarded

    @property
    def refusal(self) -> Refusal | None:
        """Why the run ended without an answer, or None."""
        return self._refusal

    def start(self, head: Head) -> None:
        """Set the status and headers."""
        self._head = head
        self.started = True
        self._wake()

    def take(self, piece: bytes) -> bool:
        """Append a chunk; return whether there is room for more."""
        return self.extend([piece])

    def extend(self, pieces: list[bytes]) -> bool:
        """Append chunks that came together; return whether there is room for more."""
        size_bytes = sum(map(len, pieces))
        self._chunks += pieces
        self.size_bytes += size_bytes
        self._buffered_bytes += size_bytes
        self._count(size_bytes + CHUNK_OVERHEAD_BYTES * len(pieces))
        if self.keep and self.size_bytes > RETAINED_MAX_BYTES:
            self.keep = False
            self.memory.release(self)
        for reader in self._active_readers:
            self._deliver(reader)
        self._discard_delivered()
        while (oldest := self.memory.pop_excess()) is not None:
            assert isinstance(oldest, Reply)
            oldest.stop_keeping()
        self._was_full = not self._has_room()
        return not self._was_full

    def finish(self) -> None:
        """Mark the answer as complete."""
        self._finished = True
        self.memory.release(self)
        self._stop_counting()
        self._wake()

    def fail(self, refusal: Refusal) -> None:
        """End the reply without a complete answer, unless it has ended already."""
        if not self._finished:
            self._refusal = refusal
            self.finish()

    async def head(self) -> Head:
        """Wait for the status and headers, and return them.

        Raises
        ------
        Refusal
            If the run ended without an answer.
        """
        while self._head is None:
            if self._refusal is not None:
                raise self._refusal
            await self._wait()
        return self._head

    async def pump(self, outlet: Outlet, after: int = 0) -> None:
        """Write all chunks after the first `after` ones to an outlet, until the end.

        Raises
        ------
        Refusal
            If the run failed, or if the requested chunks are no longer held.
        """
        if after < self._discarded:
            message = "that part of the answer is no longer kept"
            raise Refusal("answer_gone", 409, message, "unknown")
        reader = _Reader(outlet, after)
        outlet.on_writable = lambda: self._resume(reader)
        self._active_readers.append(reader)
        try:
            self._resume(reader)
            while not self._finished or reader.position < self.count:
                if self._refusal is None:
                    await self._wait()
                    continue
                async with asyncio.timeout(FAILED_READ_MAX_S):
                    await self._wait()
        except TimeoutError:
            assert self._refusal is not None
        finally:
            self._active_readers.remove(reader)
        if self._refusal is not None:
            raise self._refusal

    def remove_reader(self) -> None:
        """Remove a reader; abandon the run if it was the last and nothing is kept."""
        self.readers -= 1
        self._stop_counting()
        if self.readers <= 0 and not self.keep:
            self.abandon()

    def stop_keeping(self) -> None:
        """Keep only what its readers haven't got yet."""
        self.keep = False
        self._discard_delivered()
        if self.readers <= 0:
            self.abandon()

    def abandon(self) -> None:
        """Cancel the run, whoever reads it."""
        self.abandoned.set()
        self._on_abandoned()

    def set_abandoned_callback(self, callback: Callable[[], None]) -> None:
        """Set what is called once no reader is left and nothing is kept."""
        self._on_abandoned = callback

    def _deliver(self, reader: _Reader) -> None:
        undelivered = self._chunks[reader.position - self._discarded :]
        if undelivered and not reader.is_full:
            reader.position = self.count
            reader.is_full = not reader.outlet.take(b"".join(undelivered))

    def _resume(self, reader: _Reader) -> None:
        reader.is_full = False
        self._deliver(reader)
        self._discard_delivered()
        if self._finished:
            self._wake()
        elif self._was_full and self._has_room():
            self._was_full = False
            self.on_writable()

    def _discard_delivered(self) -> None:
        if self.keep or not self._active_readers:
            return
        lowest = min(reader.position for reader in self._active_readers)
        delivered = self._chunks[: lowest - self._discarded]
        del self._chunks[: lowest - self._discarded]
        size_bytes = sum(map(len, delivered))
        self._buffered_bytes -= size_bytes
        self._count(-size_bytes - CHUNK_OVERHEAD_BYTES * len(delivered))
        self._discarded = lowest

    def _count(self, size_bytes: int) -> None:
        if self._is_counted:
            self._counted_bytes += size_bytes
            self.memory.total_bytes += size_bytes

    def _stop_counting(self) -> None:
        """Leave an answer that was kept after its end to the cache of answers."""
        if self._finished and self.readers <= 0 and self._is_counted:
            self._count(-self._counted_bytes)
            self._is_counted = False

    def _has_room(self) -> bool:
        return self.keep or self._buffered_bytes <= READ_AHEAD_MAX_BYTES

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _wait(self) -> None:
        await self._changed.wait()
