"""The answer to one call: written once by the run, read by its callers.

A reply that is kept can be read again from any event, by a resend or by a caller
whose stream was cut.  A reply that is not kept holds the run back until its only
reader has taken what is there.
"""

import asyncio
from collections.abc import Callable

from tamarackrill.exceptions import Refusal
from tamarackrill.router.outlets import Outlet
from tamarackrill.router.upstream import Head

# Bytes that a run may be ahead of its reader when the reply is not kept.
AHEAD_MAX_BYTES = 64 * 1024
# A longer answer is passed on but can't be read a second time.
KEPT_MAX_BYTES = 1024 * 1024


class _Reader:
    """How far one caller has got."""

    def __init__(self, outlet: Outlet, position: int) -> None:
        self.outlet = outlet
        self.position = position
        self.is_full = False


class Reply(Outlet):
    """Head and chunks of an answer; each chunk of a stream is one event.

    Parameters
    ----------
    keep : bool
        Whether the chunks stay for later readers.
    """

    def __init__(self, keep: bool) -> None:
        super().__init__()
        self.keep = keep
        self.size_bytes = 0
        self.readers = 0
        self.started = False
        self._chunks: list[bytes] = []
        self._dropped = 0
        self._held_bytes = 0
        self._was_full = False
        self._pumped: list[_Reader] = []
        self._head: Head | None = None
        self._refusal: Refusal | None = None
        self._finished = False
        self._changed = asyncio.Event()
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
    def is_complete(self) -> bool:
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

    def take(self, piece: bytes) -> bool:
        """Append a chunk; return whether the run may go on."""
        return self.extend([piece])

    def extend(self, pieces: list[bytes]) -> bool:
        """Append chunks that came together; return whether the run may go on."""
        size_bytes = sum(map(len, pieces))
        self._chunks += pieces
        self.size_bytes += size_bytes
        self._held_bytes += size_bytes
        if self.size_bytes > KEPT_MAX_BYTES:
            self.keep = False
        for reader in self._pumped:
            self._feed(reader)
        self._drop_taken()
        self._was_full = not self._has_room()
        return not self._was_full

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

    async def pump(self, outlet: Outlet, after: int = 0) -> None:
        """Hand on the chunks after the first `after` ones, to the end.

        Raises
        ------
        Refusal
            If the run was cut, or if the chunks asked for are gone.
        """
        if after < self._dropped:
            message = "that part of the answer is no longer kept"
            raise Refusal("answer_gone", 409, message, "unknown")
        reader = _Reader(outlet, after)
        outlet.on_room = lambda: self._resume(reader)
        self._pumped.append(reader)
        try:
            self._resume(reader)
            while not self._finished or reader.position < self.count:
                await self._wait()
        finally:
            self._pumped.remove(reader)
        if self._refusal is not None:
            raise self._refusal

    def leave(self) -> None:
        """Tell the run that a reader has gone away."""
        self.readers -= 1
        if self.readers <= 0 and not self.keep:
            self.abandoned.set()
            self._on_abandoned()

    def when_abandoned(self, react: Callable[[], None]) -> None:
        """Have `react` called once no reader is left and nothing is kept."""
        self._on_abandoned = react

    def _feed(self, reader: _Reader) -> None:
        waiting = self._chunks[reader.position - self._dropped :]
        if waiting and not reader.is_full:
            reader.position = self.count
            reader.is_full = not reader.outlet.take(b"".join(waiting))

    def _resume(self, reader: _Reader) -> None:
        reader.is_full = False
        self._feed(reader)
        self._drop_taken()
        if self._finished:
            self._wake()
        elif self._was_full and self._has_room():
            self._was_full = False
            self.on_room()

    def _drop_taken(self) -> None:
        if self.keep or not self._pumped:
            return
        lowest = min(reader.position for reader in self._pumped)
        taken = self._chunks[: lowest - self._dropped]
        del self._chunks[: lowest - self._dropped]
        self._held_bytes -= sum(map(len, taken))
        self._dropped = lowest

    def _has_room(self) -> bool:
        return self.keep or self._held_bytes <= AHEAD_MAX_BYTES

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _wait(self) -> None:
        await self._changed.wait()
