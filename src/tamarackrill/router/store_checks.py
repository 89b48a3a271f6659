"""Reads of the store that were sent after a request had arrived."""

import asyncio
from collections.abc import Awaitable, Callable

from tamarackrill.decisions.version_evidence import find_check_interval_s
from tamarackrill.exceptions import PlatformUnavailable
from tamarackrill.router import lateness

# Twice as long as a slow store takes for an answer, as endpoints and records may have
# to be read one after the other.
CHECK_TIMEOUT_S = 1.0
# After a read that failed.  Requests that arrive until then are refused at once.
RETRY_S = 0.25


class StoreChecks:
    """Reads what a decision rests on, once for all requests that wait for it.

    Parameters
    ----------
    read : callable
        ``await read()`` reads it and applies what has changed.
    count_routers : callable
        Returns how many routers read it.
    clock : callable
        Returns the current time.
    """

    def __init__(
        self,
        read: Callable[[], Awaitable[None]],
        count_routers: Callable[[], int],
        clock: Callable[[], float],
    ) -> None:
        self._read = read
        self._count_routers = count_routers
        self._clock = clock
        # Has not sent its read yet, so that it serves requests that arrive now.
        self._waiting: asyncio.Task[bool] | None = None
        self._tasks: set[asyncio.Task[bool]] = set()
        self._next_s = self._retry_s = clock()

    async def stop(self) -> None:
        """Cancel the reads."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def check(self) -> bool:
        """Return whether a read that was sent after this call has been answered."""
        if self._clock() < self._retry_s:
            return False
        if self._waiting is None:
            self._waiting = asyncio.create_task(self._run())
            self._tasks.add(self._waiting)
            self._waiting.add_done_callback(self._tasks.discard)
        # A client that disconnects doesn't end the read, which others wait for.
        return await asyncio.shield(self._waiting)

    async def _run(self) -> bool:
        try:
            await asyncio.sleep(self._next_s - self._clock())
        finally:
            self._waiting = None
        self._next_s = self._clock() + find_check_interval_s(self._count_routers())
        try:
            async with lateness.timeout(CHECK_TIMEOUT_S):
                await self._read()
        except (TimeoutError, PlatformUnavailable):
            self._retry_s = self._clock() + RETRY_S
            return False
        return True
