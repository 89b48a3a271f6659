"""Series of attempts of one request that run beside each other."""

import asyncio
from collections.abc import Coroutine
from typing import Any, NamedTuple

from tamarackrill.router.attempt_results import AttemptResult
from tamarackrill.router.edge_placing import EdgePlacement


class SeriesEnd(NamedTuple):
    """How a series of attempts, each of which retries the one before, has ended.

    Parameters
    ----------
    ended_s : float
        When it ended.
    reason : str
        Why it ended without an answer.
    retry_after_s : float or None
        When a client that is refused should come back, if that is known.
    placed : EdgePlacement or None
        Placement of the attempt that answered.
    answer : AttemptResult or None
        Its result; None without an answer.
    is_overtaken : bool
        Whether another series answered.
    """

    ended_s: float
    reason: str = ""
    retry_after_s: float | None = None
    placed: EdgePlacement | None = None
    answer: AttemptResult | None = None
    is_overtaken: bool = False


class AttemptTasks:
    """Tasks that run series of attempts beside the first one of a request."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[SeriesEnd]] = set()

    def start(self, series: Coroutine[Any, Any, SeriesEnd]) -> asyncio.Task[SeriesEnd]:
        """Run a series of attempts beside the others."""
        task = asyncio.create_task(series)
        self._tasks.add(task)
        return task

    async def wait_end(self, ended: SeriesEnd) -> SeriesEnd:
        """Return how the request ended, given how its first series did.

        Raises
        ------
        Exception
            That a series has raised.
        """
        while self._tasks and ended.answer is None:
            done, _ = await asyncio.wait(
                self._tasks, return_when=asyncio.FIRST_COMPLETED
            )
            self._tasks -= done
            for task in done:
                if not task.cancelled():
                    ended = max(ended, task.result(), key=_rank_end)
        return ended

    async def cancel(self) -> None:
        """End all series that are still running."""
        tasks, self._tasks = self._tasks, set()
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.gather(*tasks, return_exceptions=True)


def _rank_end(end: SeriesEnd) -> tuple[bool, bool, float]:
    return end.answer is not None, not end.is_overtaken, end.ended_s
