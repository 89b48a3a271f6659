"""Timeouts that don't take the lateness of this process for that of others.

Load pattern: a router's event loop is busy for longer than a timeout.  The timer and
the answer, which arrived in time, are both due when the loop goes on, and the timer
wins.  The router would take all endpoints for unreachable, and refuse requests for it.
"""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator, Callable

# A timer that fires this much after it was due shows that the loop was late.
LATE_S = 0.01
# Time that the loop then has for what arrived meanwhile.
CATCH_UP_S = 0.05
# Times in a row.  In a router that is always late, every timeout ends at last.
CATCH_UPS_MAX = 10
# All of them together, however late the loop is at each: ten of a loop that is late by
# half a second would prolong a deadline by five.
CATCH_UPS_MAX_S = CATCH_UPS_MAX * CATCH_UP_S


class LateTimer:
    """Timer that waits on if it was due while the loop was late.

    Parameters
    ----------
    due_s : float
        When it is due, by the loop's clock.
    on_due : callable
        Called once.
    has_progress : callable, optional
        Returns whether what is waited for has gone on since the last call.  While it
        does, the timer waits on once the loop was late.
    catch_ups_max : int, optional
        How often it waits on.
    catch_ups_max_s : float, optional
        How long it waits on, however late the loop is each time.
    """

    def __init__(
        self,
        due_s: float,
        on_due: Callable[[], None],
        has_progress: Callable[[], bool] = lambda: False,
        catch_ups_max: int = CATCH_UPS_MAX,
        catch_ups_max_s: float = CATCH_UPS_MAX_S,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._on_due = on_due
        self._has_progress = has_progress
        self._catch_ups = 0
        self._end_s = math.inf
        self._catch_ups_max = catch_ups_max
        self._catch_ups_max_s = catch_ups_max_s
        self._start(due_s)

    def cancel(self) -> None:
        """Stop the timer."""
        self._timer.cancel()

    def _start(self, due_s: float) -> None:
        self._timer = self._loop.call_at(due_s, self._fire, due_s)

    def _fire(self, due_s: float) -> None:
        now_s = self._loop.time()
        has_progress = self._has_progress()
        goes_on = now_s >= due_s + LATE_S or (self._catch_ups > 0 and has_progress)
        has_ended = self._catch_ups >= self._catch_ups_max or now_s >= self._end_s
        if not goes_on or has_ended:
            self._on_due()
            return
        if not self._catch_ups:
            self._end_s = now_s + self._catch_ups_max_s
        self._catch_ups += 1
        self._start(min(now_s + CATCH_UP_S, self._end_s))


@contextlib.asynccontextmanager
async def timeout_at(
    due_s: float,
    has_progress: Callable[[], bool] = lambda: False,
    catch_ups_max_s: float = CATCH_UPS_MAX_S,
) -> AsyncIterator[None]:
    """Like ``asyncio.timeout_at``, but wait on while the loop is late.

    Parameters
    ----------
    due_s : float
        When it is due, by the loop's clock.
    has_progress, catch_ups_max_s : callable and float, optional
        As for `LateTimer`.

    Raises
    ------
    TimeoutError
        If the body did not end in time.
    """
    async with asyncio.timeout(None) as scope:
        # A time that has passed lets it expire in the next iteration.
        timer = LateTimer(
            due_s,
            lambda: scope.reschedule(due_s),
            has_progress,
            catch_ups_max_s=catch_ups_max_s,
        )
        try:
            yield
        finally:
            timer.cancel()


def timeout(timeout_s: float | None) -> contextlib.AbstractAsyncContextManager[None]:
    """Like ``asyncio.timeout``, but wait on while the loop is late.

    A process that stands still for a second, twice, would otherwise take others that
    answered within milliseconds for silent.
    """
    if timeout_s is None:
        return contextlib.nullcontext()
    due_s = asyncio.get_running_loop().time() + timeout_s
    return timeout_at(due_s, catch_ups_max_s=math.inf)
