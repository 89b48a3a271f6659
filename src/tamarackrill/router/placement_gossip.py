"""Gossip of prompt placements and endpoint reports between routers."""

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
from tamarackrill.router.background import log_task_failure, run_restarting
from tamarackrill.router.members import Member, Members
from tamarackrill.router.metrics import Metrics
from tamarackrill.router.peer_api import PeerUnavailable

# Entries of the snapshot that a starting router loads from a peer: the sessions of the
# last minutes, about 120 KB once per process.
SNAPSHOT_ENTRIES_MAX = 4_000
# Routers up to which each of them is told directly that an endpoint turns requests
# away, which takes a few milliseconds and a datagram for each router.
DIRECT_ROUTERS_MAX = 64
# Peers that a starting router asks for a snapshot; each may have just started itself.
SNAPSHOT_PEERS_MAX = 3

Pull = Callable[[str], Awaitable[bytes]]


class PlacementGossip:
    """Announces new placements to the other routers, and records theirs.

    Parameters
    ----------
    news : PlacementNews
        Decides which news goes to which router.
    endpoint_news : EndpointNews
        This router's reports about endpoints.
    index : CacheIndex
        Engines that cache each prefix; placements of other routers are recorded in it.
    observe_reports : callable
        Called with endpoint reports of other routers, and with failures that this one
        reports.
    members : Members
        Live routers, including this one.
    send : callable
        Sends a datagram to a peer address.
    pull : callable
        ``await pull(peer_address)`` returns another router's encoded snapshot.
    peer_keys : tuple of str
        The first key signs, all verify.
    metrics : Metrics
        Receives the counts of entries sent and received.
    clock : callable
        Returns the current time.
    """

    def __init__(
        self,
        news: PlacementNews,
        endpoint_news: EndpointNews,
        index: CacheIndex,
        observe_reports: Callable[[list[EndpointReport]], None],
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
        self._observe_reports = observe_reports
        self._members = members
        self._send = send
        self._pull = pull
        self._peer_keys = peer_keys
        self._metrics = metrics
        self._clock = clock
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the gossip, and load a snapshot from a peer."""
        ticks = run_restarting("placement gossip", self._run_ticks)
        for work in (ticks, self._load_snapshot()):
            task = asyncio.create_task(work)
            task.add_done_callback(log_task_failure)
            self._tasks.append(task)

    async def stop(self) -> None:
        """Cancel all tasks and wait for them."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def tell(self, found: list[Holding], is_expected: bool) -> None:
        """Announce placements of this router; see `PlacementNews.tell`."""
        now_s = self._clock()
        for held in found:
            self._news.tell(held, is_expected, now_s)

    def send_brittle(self) -> None:
        """Send reports of brittle endpoints to all routers now.

        In a large fleet they go through the hubs with the next batch instead.
        """
        names = [member.name for member in self._members.list_live()]
        if len(names) > DIRECT_ROUTERS_MAX:
            return
        own = self._members.own.name
        news = News(own, Stage.TO_ROUTER, tuple(self._endpoint_news.take_brittle()))
        if news.entries:
            self._send_news([SendNews(name, news) for name in names if name != own])

    def encode_snapshot(self) -> bytes:
        """Return the recent placements, encoded for a starting router."""
        found = self._index.list_recent(SNAPSHOT_ENTRIES_MAX, self._clock())
        entries = tuple(
            Holding(h.endpoint, key, h.tokens) for key, h in reversed(found)
        )
        return serialize_news(News(self._members.own.name, Stage.TO_ROUTER, entries))

    def handle_datagram(self, datagram: bytes, source: str) -> bool:
        """Process a datagram; return whether it was a placement news message."""
        news = decode_news(datagram, self._peer_keys)
        if news is None:
            return False
        self._metrics.count("placements_heard", by=len(news.entries))
        self._apply_news(news)
        self._send_news(self._news.receive(news))
        return True

    def _apply_news(self, news: News) -> None:
        now_s = self._clock()
        reports: list[EndpointReport] = []
        for entry in news.entries:
            if isinstance(entry, Holding):
                self._index.record_send(entry.key, entry.engine, entry.tokens, now_s)
            else:
                reports.append(entry)
        if reports:
            self._observe_reports(reports)

    async def _run_ticks(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            live = [(m.name, m.zone) for m in self._members.list_live()]
            self._news.set_members(live)
            reports = self._endpoint_news.take()
            # This router's own loads and misplaced addresses are already recorded.
            self._observe_reports(
                [report for report in reports if isinstance(report, FailureReport)]
            )
            self._send_news(self._news.tick(self._clock(), reports))

    def _send_news(self, actions: list[SendNews]) -> None:
        if not actions:
            return
        addresses = {m.name: m.peer_address for m in self._members.list_live()}
        # Each batch goes to several routers, and encoding takes longer than sending.
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

    async def _load_snapshot(self) -> None:
        # A starting router doesn't know which engines cache which prompts.  Without a
        # snapshot it would send sessions that have moved to engines which have to read
        # them, and name the wrong engines to copy from, until it has sent each session
        # once itself.
        asked: set[str] = set()
        while len(asked) < SNAPSHOT_PEERS_MAX:
            await asyncio.sleep(TICK_S)
            peer = self._choose_peer(asked)
            if peer is not None:
                asked.add(peer.name)
                if await self._load_snapshot_from(peer):
                    return

    def _choose_peer(self, asked: set[str]) -> Member | None:
        own = self._members.own
        others = [
            member
            for member in self._members.list_live()
            if member.name != own.name and member.name not in asked
        ]
        near = [member for member in others if member.zone == own.zone]
        return next(iter(near or others), None)

    async def _load_snapshot_from(self, peer: Member) -> bool:
        try:
            news = deserialize_news(await self._pull(peer.peer_address))
        except PeerUnavailable as error:
            log_event(PLACEMENTS_NOT_LEARNED, peer=peer.name, reason=error.message)
            return False
        if news is None:
            log_event(PLACEMENTS_NOT_LEARNED, peer=peer.name, reason="malformed")
            return False
        self._apply_news(news)
        log_event(PLACEMENTS_LEARNED, peer=peer.name, count=len(news.entries))
        return bool(news.entries)
