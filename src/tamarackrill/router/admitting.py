"""Admits calls: limits of the team, then a place in the queue of the pool."""

import asyncio
from collections import deque
from collections.abc import Callable

from tamarackrill.exceptions import Refusal
from tamarackrill.router.calls import Call


class Admitter:
    """Queues of waiting calls, one for each pool.

    Parameters
    ----------
    count_free : callable
        Returns how many more calls the pool of a call can take now.
    queue_max : int
        Waiting calls for each pool.
    """

    def __init__(self, count_free: Callable[[Call], int], queue_max: int) -> None:
        self._count_free = count_free
        self._queue_max = queue_max
        self._waiting: dict[str, deque[tuple[Call, asyncio.Future[None]]]] = {}
        self._granted = 0

    async def enter(self, call: Call, now_s: float) -> None:
        """Return when the call may be placed; must be followed by `leave`.

        Raises
        ------
        Refusal
            If the team is over a limit, or the call can't be served in time.
        """
        queue = self._waiting.setdefault(call.pool, deque())
        if not queue and self._count_free(call) > 0:
            return
        if len(queue) >= self._queue_max:
            raise Refusal("overloaded", 503, "the queue is full")
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        queue.append((call, future))
        try:
            await asyncio.wait_for(future, max(0.0, call.deadline_s - now_s))
        except TimeoutError:
            message = "no endpoint became free in time"
            raise Refusal("overloaded", 503, message) from None

    def leave(self, call: Call, tokens: int, now_s: float) -> None:
        """Count a call as over and admit those that can go next."""
        self.wake(call.pool)

    def wake(self, pool: str) -> None:
        """Admit waiting calls of a pool for which there is room now."""
        queue = self._waiting.get(pool)
        while queue:
            call, future = queue[0]
            if not future.done():
                if self._count_free(call) <= 0:
                    return
                future.set_result(None)
                queue.popleft()
                return
            queue.popleft()

    def describe(self) -> dict[str, int]:
        """Return the number of waiting calls of each pool, for queries."""
        return {pool: len(queue) for pool, queue in self._waiting.items()}
