"""Exchanges with the other routers what they know of prompts and of endpoints."""

import asyncio
from collections.abc import Awaitable, Callable

from tamarackrill.decisions.cache_index import CacheIndex
from tamarackrill.decisions.endpoint_news import (
    EndpointNews,
    EndpointReport,
    FailureReport,
)
from tamarackrill.decisions.placement_news import (
    TICK_S,
    Holding,
    News,
    PlacementNews,
    SendNews,
    Stage,
)
from tamarackrill.events import (
    PLACEMENTS_LEARNED,
    PLACEMENTS_NOT_LEARNED,
    log_event,
)
from tamarackrill.protocol.news_codec import (
    decode_news,
    deserialize_news,
    encode_news,
    serialize_news,
)
from tamarackrill.router.background import log_failure
from tamarackrill.router.members import Member, Members
from tamarackrill.router.metrics import Metrics
from tamarackrill.router.peer_api import PeerUnavailable

# Entries that a router which has just started is given: the sessions of some minutes,
# about 120 KB once in the life of a process.
LEARNED_MAX = 4_000
# Routers asked by one that has just started; each may have just started itself.
TEACHERS_MAX = 3

Pull = Callable[[str], Awaitable[bytes]]


class PlacementTeller:
    """Tells the other routers of new placements, and takes theirs.

    Parameters
    ----------
    news : PlacementNews
        Decides what goes to whom.
    endpoint_news : EndpointNews
        What this router has to tell of endpoints.
    index : CacheIndex
        Holders of prefixes; what others tell is put in.
    take_facts : callable
        Called with what routers tell of endpoints, and with the failures that this one
        tells.
    members : Members
        Live routers, this one among them.
    send : callable
        Sends a datagram to a peer address.
    pull : callable
        ``await pull(peer_address)`` returns what another router knows, encoded.
    peer_keys : tuple of str
        The first signs, all verify.
    metrics : Metrics
        Counts.
    clock : callable
        Returns the present time.
    """

    def __init__(
        self,
        news: PlacementNews,
        endpoint_news: EndpointNews,
        index: CacheIndex,
        take_facts: Callable[[list[EndpointReport]], None],
        members: Members,
        send: Callable[[str, bytes], None],
        pull: Pull,
        peer_keys: tuple[str, ...],
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._news = news
        self._endpoint_news = endpoint_news
        self._index = index
        self._take_facts = take_facts
        self._members = members
        self._send = send
        self._pull = pull
        self._peer_keys = peer_keys
        self._metrics = metrics
        self._clock = clock
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start to tell, and to learn what others know."""
        for work in (self._tell_for_ever(), self._learn()):
            task = asyncio.create_task(work)
            task.add_done_callback(log_failure)
            self._tasks.append(task)

    async def stop(self) -> None:
        """End both."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def tell(self, found: list[Holding], is_expected: bool) -> None:
        """Take what this router has found out itself; see `PlacementNews.tell`."""
        now_s = self._clock()
        for held in found:
            self._news.tell(held, is_expected, now_s)

    def encode_known(self) -> bytes:
        """Return what this router knows, for one that has just started."""
        found = self._index.list_recent(LEARNED_MAX, self._clock())
        entries = tuple(
            Holding(h.endpoint, key, h.tokens) for key, h in reversed(found)
        )
        return serialize_news(News(self._members.own.name, Stage.TO_ROUTER, entries))

    def take_datagram(self, datagram: bytes, source: str) -> bool:
        """Take a datagram; return whether it held news of placements."""
        news = decode_news(datagram, self._peer_keys)
        if news is None:
            return False
        self._metrics.count("placements_heard", by=len(news.entries))
        self._take_news(news)
        self._act(self._news.receive(news))
        return True

    def _take_news(self, news: News) -> None:
        now_s = self._clock()
        facts: list[EndpointReport] = []
        for entry in news.entries:
            if isinstance(entry, Holding):
                self._index.record_send(entry.key, entry.engine, entry.tokens, now_s)
            else:
                facts.append(entry)
        if facts:
            self._take_facts(facts)

    async def _tell_for_ever(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            live = [(m.name, m.zone) for m in self._members.list_live()]
            self._news.set_members(live)
            facts = self._endpoint_news.take()
            # Of loads and addresses this router knows what it tells.
            self._take_facts(
                [fact for fact in facts if isinstance(fact, FailureReport)]
            )
            self._act(self._news.tick(self._clock(), facts))

    def _act(self, actions: list[SendNews]) -> None:
        if not actions:
            return
        addresses = {m.name: m.peer_address for m in self._members.list_live()}
        # Each batch goes to a handful of routers, and to encode it takes longer than to
        # send it.
        datagrams: dict[int, bytes] = {}
        for action in actions:
            address = addresses.get(action.router)
            if address is None:
                continue
            datagram = datagrams.get(id(action.news))
            if datagram is None:
                datagram = encode_news(action.news, self._peer_keys)
                datagrams[id(action.news)] = datagram
            self._metrics.count("placements_sent", by=len(action.news.entries))
            self._send(address, datagram)

    async def _learn(self) -> None:
        # A router that starts while the others serve knows no engine that holds a
        # prompt.  Until it has sent each session once itself, it would send those that
        # have moved to engines which have to read them, and name the wrong ones to copy
        # from.
        asked: set[str] = set()
        while len(asked) < TEACHERS_MAX:
            await asyncio.sleep(TICK_S)
            teacher = self._find_teacher(asked)
            if teacher is not None:
                asked.add(teacher.name)
                if await self._learn_from(teacher):
                    return

    def _find_teacher(self, asked: set[str]) -> Member | None:
        own = self._members.own
        others = [
            member
            for member in self._members.list_live()
            if member.name != own.name and member.name not in asked
        ]
        near = [member for member in others if member.zone == own.zone]
        return next(iter(near or others), None)

    async def _learn_from(self, teacher: Member) -> bool:
        try:
            news = deserialize_news(await self._pull(teacher.peer_address))
        except PeerUnavailable as error:
            log_event(PLACEMENTS_NOT_LEARNED, peer=teacher.name, reason=error.message)
            return False
        if news is None:
            log_event(PLACEMENTS_NOT_LEARNED, peer=teacher.name, reason="malformed")
            return False
        self._take_news(news)
        log_event(PLACEMENTS_LEARNED, peer=teacher.name, count=len(news.entries))
        return bool(news.entries)
