"""Asks other routers what a router that has just started can't learn elsewhere.

The store may not say which endpoints are leaving: it may be away while this
router starts, or have come back from a copy that was made before.  That a service is
brittle is known from answers alone, of which this router has had none.  Routers that
have seen it remember it.
"""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable, Iterable

from tamarackrill.decisions.leaving import FleetNews
from tamarackrill.decisions.lost_manifests import ToldManifest
from tamarackrill.events import FLEET_NEWS_LEARNED, FLEET_NEWS_NOT_LEARNED, log_event
from tamarackrill.router.background import log_task_failure
from tamarackrill.router.members import Members
from tamarackrill.router.peer_api import NEWS_PATH, PeerUnavailable

Pull = Callable[[str, str, float], Awaitable[bytes]]

# How long an answer is waited for, and for all of them a new router keeps new
# connections away.
ANSWER_TIMEOUT_S = 1.0
# Routers asked at a time, and in all if some of them don't answer.
ASKED_MAX = 3
ASKED_IN_ALL_MAX = 9
# A router that has run for this long without hearing of others knows what they know.
KNOWS_AFTER_S = 10.0
# Pauses between the questions of a router that nobody could answer yet.
RETRIES_S = (0.25, 1.0, 4.0)
# Time over which the routers of a fleet ask after the store has been restored.
SPREAD_S = 0.2


class FleetNewsExchange:
    """Learns from other routers what they know, and tells them.

    Parameters
    ----------
    members : Members
        Live routers, including this one.
    contacts : iterable of str
        Peer addresses of some routers that may run when this one starts.
    list_news : callable
        Returns what this router knows, without the field `is_complete`.
    observe_news : callable
        Called with what another router knows.
    pull : callable
        ``await pull(address, uri, timeout_s)`` returns an answer of another router.
    clock : callable
        Returns the current time.

    Attributes
    ----------
    observe_manifest : callable
        Called with the address of a router and what it tells of its manifest.
    find_arrived_s : callable
        ``find_arrived_s(now_s)`` returns a time after which something that is read now
        has arrived, which is earlier after this router stood still.
    """

    def __init__(
        self,
        members: Members,
        contacts: Iterable[str],
        list_news: Callable[[], FleetNews],
        observe_news: Callable[[FleetNews], None],
        pull: Pull,
        clock: Callable[[], float],
    ) -> None:
        self._members = members
        self._contacts = tuple(contacts)
        self._list_news = list_news
        self._observe_news = observe_news
        self._pull = pull
        self._clock = clock
        self.observe_manifest: Callable[[str, ToldManifest], None] = (
            lambda address, told: None
        )
        self.find_arrived_s: Callable[[float], float] = lambda now_s: now_s
        self._started_s = clock()
        self._was_told = False
        self._tasks: set[asyncio.Task[None]] = set()
        # Set once another router has answered, or none of the contacts could.
        self.first_answer = asyncio.Event()

    def start(self) -> None:
        """Ask other routers until one that knows has answered."""
        self._start_task(self._ask_at_start())

    def ask_again(self) -> None:
        """Ask some routers, as the store has been restored."""
        self._start_task(self._ask_after_restore())

    async def stop(self) -> None:
        """Cancel all questions."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def may_serve(self) -> bool:
        """Whether new connections may come."""
        if self.first_answer.is_set():
            return True
        # Answers may wait in this router's sockets.
        arrived_s = self.find_arrived_s(self._clock())
        return arrived_s >= self._started_s + ANSWER_TIMEOUT_S

    async def encode_news(self) -> bytes:
        """Return what this router knows, as the answer to another one."""
        ran_s = self._clock() - self._started_s
        is_complete = self._was_told or ran_s >= KNOWS_AFTER_S
        return json.dumps(self._list_news()._replace(is_complete=is_complete)).encode()

    def _start_task(self, asking: Awaitable[None]) -> None:
        task = asyncio.ensure_future(asking)
        task.add_done_callback(log_task_failure)
        task.add_done_callback(self._tasks.discard)
        self._tasks.add(task)

    async def _ask_at_start(self) -> None:
        was_told = await self._ask(self._contacts)
        self.first_answer.set()
        if not was_told:
            await self._ask_until_told()

    async def _ask_after_restore(self) -> None:
        await asyncio.sleep(random.uniform(0.0, SPREAD_S))
        # This router may be cut off from the others.
        if not await self._ask(self._list_addresses()):
            await self._ask_until_told()

    async def _ask_until_told(self) -> None:
        for retry_s in RETRIES_S:
            await asyncio.sleep(retry_s)
            if await self._ask(self._list_addresses()):
                return

    def _list_addresses(self) -> list[str]:
        own = self._members.own.name
        return [m.peer_address for m in self._members.list_live() if m.name != own]

    async def _ask(self, addresses: Iterable[str]) -> bool:
        """Ask some routers; return whether one that knows has answered."""
        known = list(addresses)
        asked = iter(random.sample(known, min(ASKED_IN_ALL_MAX, len(known))))

        async def ask_in_turn() -> bool:
            for address in asked:
                knows = await self._ask_one(address)
                if knows is not None:
                    return knows
            return False

        return any(await asyncio.gather(*(ask_in_turn() for _ in range(ASKED_MAX))))

    async def _ask_one(self, address: str) -> bool | None:
        """Ask a router; return whether it knows, None if it doesn't answer."""
        try:
            text = await self._pull(address, NEWS_PATH, ANSWER_TIMEOUT_S)
            news = FleetNews.parse(text)
        except (PeerUnavailable, ValueError) as error:
            log_event(FLEET_NEWS_NOT_LEARNED, peer=address, reason=str(error))
            return None
        self._observe_news(news)
        self.observe_manifest(address, news.manifest)
        if news.is_complete:
            self._was_told = True
            self.first_answer.set()
        log_event(
            FLEET_NEWS_LEARNED,
            peer=address,
            leaving=len(news.leaving),
            ended=len(news.ended.names),
            brittle=len(news.brittle),
            is_complete=news.is_complete,
        )
        return news.is_complete
