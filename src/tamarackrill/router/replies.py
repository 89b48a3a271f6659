"""The answer to one call: written once by the run, read by its callers.

A reply that is kept can be read again from any event, by a resend or by a caller
whose stream was cut.  A reply that is not kept holds the run back until its only
reader has taken what is there.
"""

import asyncio
from collections.abc import AsyncIterator, Callable

from tamarackrill.exceptions import Refusal
from tamarackrill.router.upstream import Head

# Bytes that a run may be ahead of its reader when the reply is not kept.
AHEAD_MAX_BYTES = 64 * 1024
# A longer answer is passed on but can't be read a second time.
KEPT_MAX_BYTES = 1024 * 1024


class Reply:
    """Head and chunks of an answer; each chunk of a stream is one event.

    Parameters
    ----------
    keep : bool
        Whether the chunks stay for later readers.
    """

    def __init__(self, keep: bool) -> None:
        self.keep = keep
        self.size_bytes = 0
        self.readers = 0
        self.started = False
        self._chunks: list[bytes] = []
        self._dropped = 0
        self._unread_bytes = 0
        self._head: Head | None = None
        self._refusal: Refusal | None = None
        self._finished = False
        self._changed = asyncio.Event()
        self._taken = asyncio.Event()
        self.abandoned = asyncio.Event()
        self._on_abandoned: Callable[[], None] = lambda: None

    @property
    def count(self) -> int:
        """Number of chunks written so far."""
        return self._dropped + len(self._chunks)

    @property
    def is_finished(self) -> bool:
        """Whether the run has ended, well or not."""
        return self._finished

    @property
    def is_whole(self) -> bool:
        """Whether the run ended and all of the answer can still be read."""
        return self._finished and self._refusal is None and not self._dropped

    @property
    def refusal(self) -> Refusal | None:
        """Why the run ended without an answer, or None."""
        return self._refusal

    def start(self, head: Head) -> None:
        """Set status and headers."""
        self._head = head
        self.started = True
        self._wake()

    async def put(self, chunk: bytes) -> None:
        """Append a chunk; waits for the reader if the reply is not kept."""
        self._chunks.append(chunk)
        self.size_bytes += len(chunk)
        self._unread_bytes += len(chunk)
        if self.size_bytes > KEPT_MAX_BYTES:
            self.keep = False
        self._wake()
        while not self.keep and self._unread_bytes > AHEAD_MAX_BYTES:
            if self.abandoned.is_set():
                return
            self._taken.clear()
            await self._taken.wait()

    def finish(self) -> None:
        """Mark the answer as whole."""
        self._finished = True
        self._wake()

    def fail(self, refusal: Refusal) -> None:
        """End the reply without a whole answer."""
        if not self._finished:
            self._refusal = refusal
            self._finished = True
            self._wake()

    async def head(self) -> Head:
        """Return status and headers.

        Raises
        ------
        Refusal
            If the run ended before.
        """
        while self._head is None:
            if self._refusal is not None:
                raise self._refusal
            await self._wait()
        return self._head

    async def read(self, after: int = 0) -> AsyncIterator[bytes]:
        """Yield the chunks after the first `after` ones.

        Raises
        ------
        Refusal
            If the run was cut, or if the chunks asked for are gone.
        """
        position = after
        while True:
            if position < self._dropped:
                message = "that part of the answer is no longer kept"
                raise Refusal("answer_gone", 409, message, "unknown")
            while position - self._dropped < len(self._chunks):
                chunk = self._chunks[position - self._dropped]
                position += 1
                yield chunk
                self._let_go(position, len(chunk))
            if self._finished:
                break
            await self._wait()
        if self._refusal is not None:
            raise self._refusal

    def leave(self) -> None:
        """Tell the run that a reader has gone away."""
        self.readers -= 1
        if self.readers <= 0 and not self.keep:
            self.abandoned.set()
            self._taken.set()
            self._on_abandoned()

    def when_abandoned(self, react: Callable[[], None]) -> None:
        """Have `react` called once no reader is left and nothing is kept."""
        self._on_abandoned = react

    def _let_go(self, position: int, size_bytes: int) -> None:
        self._unread_bytes = max(0, self._unread_bytes - size_bytes)
        self._taken.set()
        if self.keep:
            return
        count = position - self._dropped
        del self._chunks[:count]
        self._dropped = position

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _wait(self) -> None:
        await self._changed.wait()
