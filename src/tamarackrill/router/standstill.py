"""Notices that this process stood still, before it decides anything."""

import asyncio
import math
from collections.abc import Callable, Collection

from tamarackrill.decisions.loop_activity import TICK_S
from tamarackrill.decisions.standstill import (
    find_gap_s,
    find_news_wait_s,
    find_spent_wait_s,
    has_news,
)
from tamarackrill.events import ROUTER_RESUMED, ROUTER_UP_TO_DATE, log_event
from tamarackrill.router import lateness


def chain(
    first: Callable[[str, float], None], then: Callable[[str, float], None]
) -> Callable[[str, float], None]:
    """Return a callback that calls two callbacks of a kind's news."""

    def call(kind: str, as_of_s: float) -> None:
        first(kind, as_of_s)
        then(kind, as_of_s)

    return call


async def wait_never() -> None:
    """Don't wait, at a router whose standstills nobody monitors."""


class StandstillMonitor:
    """Notices a standstill at the first decision after it.

    Parameters
    ----------
    kinds : collection of str
        Kinds of objects that decisions depend on.
    news_max_s : float
        Time in which a change has to be in force.
    clock : callable
        Returns the current time.
    elapsed_clock : callable
        Returns the current time on a clock that goes on while the VM is suspended.

    Attributes
    ----------
    on_resumed : callable
        Called once after each standstill; asks for news.
    """

    def __init__(
        self,
        kinds: Collection[str],
        news_max_s: float,
        clock: Callable[[], float],
        elapsed_clock: Callable[[], float],
    ) -> None:
        self._kinds = kinds
        self._news_max_s = news_max_s
        self._clock = clock
        self._elapsed_clock = elapsed_clock
        self._last_beat_s = elapsed_clock()
        self._resumed_s = -math.inf
        # On the clock of beats: when the process went on, and when it was up to date.
        self._ran_since_s = self._current_since_s = self._last_beat_s
        self._spent_s = 0.0
        self._as_of_s: dict[str, float] = {}
        self._up_to_date = asyncio.Event()
        self._up_to_date.set()
        self._waited = 0
        self.on_resumed: Callable[[], None] = lambda: None

    @property
    def has_news(self) -> bool:
        """Whether the store has told all kinds since the last standstill."""
        return self._up_to_date.is_set()

    def start(self) -> None:
        """Begin to monitor; the time until now counts as no standstill."""
        self._last_beat_s = self._elapsed_clock()
        self._resumed_s = -math.inf
        self._ran_since_s = self._current_since_s = self._last_beat_s
        self._spent_s = 0.0
        self._up_to_date.set()

    def beat(self, now_s: float) -> None:
        """Show that the process runs; see `find_gap_s` for a beat that is late."""
        self.find_gap_s(now_s)
        self._last_beat_s = self._elapsed_clock()

    def find_gap_s(self, now_s: float) -> float:
        """Return the length of a standstill that ends now; 0 if there was none."""
        elapsed_s = self._elapsed_clock()
        gap_s = find_gap_s(self._last_beat_s, elapsed_s, self._news_max_s)
        if gap_s:
            self._spend()
            self._last_beat_s, self._resumed_s = elapsed_s, now_s
            self._ran_since_s = elapsed_s
            self._up_to_date.clear()
            self._waited = 0
            log_event(ROUTER_RESUMED, gap_s=round(gap_s, 3))
            self.on_resumed()
        return gap_s

    def _spend(self) -> None:
        """Count the time that the process ran since it went on, up to its last beat."""
        waited_s = self._current_since_s - self._ran_since_s
        current_s = self._last_beat_s - self._current_since_s
        if not self.has_news:
            # Less than a beat counts as one, or short runs would spend nothing.
            waited_s = max(TICK_S, self._last_beat_s - self._ran_since_s)
            current_s = 0.0
        self._spent_s = find_spent_wait_s(self._spent_s, waited_s, current_s)

    def find_resumed_s(self) -> float:
        """Return when the process last went on; minus infinity if it never stopped."""
        self.find_gap_s(self._clock())
        return self._resumed_s

    def observe_news(self, kind: str, as_of_s: float) -> None:
        """Record that the store has told a kind of objects as of some time."""
        resumed_s = self.find_resumed_s()
        self._as_of_s[kind] = max(as_of_s, self._as_of_s.get(kind, -math.inf))
        if self.has_news:
            return
        if has_news(self._kinds, self._as_of_s, resumed_s):
            after_s = self._clock() - resumed_s
            log_event(ROUTER_UP_TO_DATE, after_s=round(after_s, 4), waited=self._waited)
            self._current_since_s = self._elapsed_clock()
            self._up_to_date.set()

    async def wait_current(self) -> None:
        """Wait for news, if there was none since a standstill, but not for long."""
        resumed_s, now_s = self.find_resumed_s(), self._clock()
        wait_s = find_news_wait_s(self.has_news, resumed_s, now_s, self._spent_s)
        if not wait_s:
            return
        self._waited += 1
        try:
            async with lateness.timeout(wait_s):
                await self._up_to_date.wait()
        except TimeoutError:
            return
