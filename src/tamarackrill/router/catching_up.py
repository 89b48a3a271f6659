"""Reads the news before the first decisions after a standstill of this process.

`tamarackrill.decisions.catching_up` decides.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable

from tamarackrill.decisions.catching_up import (
    CATCH_UP_MAX_S,
    Standstill,
    find_standstill,
    find_waited_s,
    may_have_moved,
)
from tamarackrill.events import ROUTER_CAUGHT_UP, log_event
from tamarackrill.router.background import log_task_failure
from tamarackrill.router.lateness import timeout
from tamarackrill.router.sockets import read_received_s

# Between two beats of the event loop, by whose gaps a standstill is noticed.
BEAT_S = 0.1


class CatchUp:
    """Lets decisions wait after a standstill until the news has been read.

    Parameters
    ----------
    refresh : callable
        ``await refresh()`` reads the news and returns whether all of it was read.
    clock : callable
        Returns the current time, including suspension of the VM.

    Attributes
    ----------
    on_standstill : callable
        Called with each `Standstill`, before anything is read.
    on_current : callable
        Called when decisions may go on.
    """

    def __init__(
        self, refresh: Callable[[], Awaitable[bool]], clock: Callable[[], float]
    ) -> None:
        self._refresh = refresh
        self._clock = clock
        self._last_beat_s = clock()
        self._latest: Standstill | None = None
        self._task: asyncio.Task[bool] | None = None
        self._timer: asyncio.TimerHandle | None = None
        # How long decisions still wait, and since when.
        self._wait_left_s = CATCH_UP_MAX_S
        self._waiting_s = 0.0
        self.on_standstill: Callable[[Standstill], None] = lambda standstill: None
        self.on_current: Callable[[], None] = lambda: None

    async def run(self) -> None:
        """Look for standstills, until cancelled."""
        try:
            self._beat()
            await asyncio.get_running_loop().create_future()
        finally:
            if self._timer is not None:
                self._timer.cancel()

    def _beat(self) -> None:
        # A task would go on an iteration later, after timers that became due during a
        # standstill have been handled.
        self._timer = asyncio.get_running_loop().call_later(BEAT_S, self._beat)
        self.is_current()
        self._last_beat_s = self._clock()

    async def stop(self) -> None:
        """Cancel the reading of news."""
        task, self._task = self._task, None
        if task is not None:
            task.cancel()
            await asyncio.wait([task])

    def is_current(self) -> bool:
        """Return whether nothing is to be read before the next decision."""
        now_s = self._clock()
        gap_s = max(0.0, now_s - self._last_beat_s - BEAT_S)
        standstill = find_standstill(gap_s, now_s)
        if standstill is not None:
            self._last_beat_s = now_s
            self._start(standstill)
        return self._task is None

    async def wait(self) -> None:
        """Wait until decisions may go on."""
        while not self.is_current():
            assert self._task is not None
            await asyncio.wait([self._task])

    def find_waited_s(self, connection: socket.socket) -> float:
        """Return how long a call waited in its socket because of a standstill."""
        if self._latest is None:
            return 0.0
        received_s = read_received_s(connection)
        return find_waited_s(self._latest, received_s, self._clock())

    def may_have_moved(self, waited_s: float) -> bool:
        """Return whether the chat of a call that waited may have another home now."""
        return may_have_moved(self._latest, waited_s)

    def _start(self, standstill: Standstill) -> None:
        if self._task is None:
            self._wait_left_s = CATCH_UP_MAX_S
        else:
            # What is being read may be from before this standstill.
            self._task.cancel()
            has_run_s = standstill.ended_s - standstill.gap_s - self._waiting_s
            self._wait_left_s -= max(0.0, has_run_s)
        self._latest = standstill
        self._waiting_s = standstill.ended_s
        self._task = asyncio.create_task(
            self._read_news(self._wait_left_s), name="catch up"
        )
        self._task.add_done_callback(lambda task: self._end(standstill, task))
        self.on_standstill(standstill)

    async def _read_news(self, timeout_s: float) -> bool:
        try:
            async with timeout(max(0.0, timeout_s)):
                return await self._refresh()
        except TimeoutError:
            return False

    def _end(self, standstill: Standstill, task: asyncio.Task[bool]) -> None:
        if task is not self._task:
            return
        self._task = None
        has_failed = log_task_failure(task)
        log_event(
            ROUTER_CAUGHT_UP,
            gap_s=round(standstill.gap_s, 3),
            duration_s=round(self._clock() - standstill.ended_s, 3),
            is_complete=not has_failed and not task.cancelled() and task.result(),
        )
        self.on_current()
