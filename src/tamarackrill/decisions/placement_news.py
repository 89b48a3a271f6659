"""Gossip between routers about which engines hold which prompts.

Load pattern: many routers each see a few requests of every session.  By rendezvous
hashing they agree without communication on a session's engine, until that is full or
leaves, or another one joins.  From then on each router knows only where it sent the
session itself.  Without gossip the routers spread a session over several engines and
name engines to copy from that hold nothing; each of these prompts is read or copied
again.

So a router announces each prefix that it sends to an engine which, as far as it knows,
doesn't hold it yet.  One router of each zone, its hub, collects the news of a tick and
sends it to the hubs of the other zones, and to its own zone through a few helpers.  So
a datagram carries the news of many routers, crosses between two zones once, and no
router sends it to more than a few others.

All news is a hint.  If a datagram is lost, a hub is down and not yet replaced, or a
router has just started, the routers concerned use rendezvous hashing and their own
requests, as they would without gossip.
"""

import math
from collections.abc import Iterable, Sequence
from enum import IntEnum
from typing import NamedTuple

from tamarackrill.decisions import hashing
from tamarackrill.decisions.endpoint_news import EndpointReport
from tamarackrill.decisions.loads import EndpointLoad

# Time between two batches of a router.  News arrives within three ticks.  Placements
# could wait 0.25 s, as sessions come back after seconds, but loads are stale after a
# few tenths of a second: with 0.25 s, 4.1 % of the requests described at
# `loads.NEWS_TTL_S` reach an engine above the bound, with 0.1 s 1.1 %.
TICK_S = 0.1
# Largest encoded size of an entry: hash, tokens and the engine's name.
ENTRY_BYTES = 32
# Entries that every router receives: 1.9 KB/s of the few KB/s for control traffic, and
# less than half of that if an engine has several entries.  Each router may send an
# equal part of them.
FLEET_ENTRIES_PER_S = 60.0
# Largest fleet in which placements that follow rendezvous hashing are announced too.
# It keeps sessions in place when an engine joins, which otherwise takes over one in as
# many as there are engines.  At 60 routers and 45 engines 1.1 % of prompts move without
# it and 0.6 % with it; at 370 routers 0.28 % and 0.26 %, at a cost of 2 KB/s for each
# router and 15 KB/s for a hub.
EXPECTED_ROUTERS_MAX = 60
# Burst of the rate limit, in seconds: a starting fleet announces everything at once.
BURST_S = 10.0
# News that could not be sent for this long is dropped: by then its session is in use
# elsewhere, or cold.
KEPT_S = 2.0
# Entries in one datagram, which keep it below the usual MTU.
BATCH_MAX = 40
# Loads that one router forwards per tick, the highest: 130 bytes, to a few routers.
# Only the endpoints at the bound matter, and these are few: with 16 no fewer requests
# reach engines above it.
LOADS_FORWARDED_MAX = 8
# Entries that one router queues for its next batch.
QUEUE_MAX = 2_000


class Holding(NamedTuple):
    """A prefix that an engine holds in its cache.

    Parameters
    ----------
    engine : str
        Name of the engine.
    key : str
        Key of the prefix; see `tamarackrill.decisions.prompts`.
    tokens : int
        Length of the prefix.
    """

    engine: str
    key: str
    tokens: int


class Stage(IntEnum):
    """Hop of a message on its way to all routers."""

    TO_HUB = 0
    """From a router to the hub of its zone."""
    HUB_TO_HUB = 1
    """From one zone's hub to another's."""
    TO_ZONE = 2
    """From a hub to its zone; helpers forward it."""
    TO_ROUTER = 3
    """To a router that doesn't forward it."""


Entry = Holding | EndpointReport


class News(NamedTuple):
    """A message between routers."""

    sender: str
    stage: Stage
    entries: tuple[Entry, ...]


class SendNews(NamedTuple):
    """Send news to a router."""

    router: str
    news: News


class _Queued(NamedTuple):
    queued_s: float
    is_expected: bool


def list_receivers(order: Sequence[str], own: str) -> list[str]:
    """Return the routers to which a router forwards its zone's news.

    The first of the order is the hub, the next few are its helpers.  With n routers
    besides the hub there are about sqrt(n) helpers, each of which serves as many.

    Parameters
    ----------
    order : sequence of str
        Routers of the zone.
    own : str
        This router, one of them.
    """
    rank = order.index(own)
    others = order[1:]
    helpers = math.isqrt(len(others))
    if rank == 0:
        return list(others[:helpers])
    if rank > helpers:
        return []
    return list(others[helpers + rank - 1 :: helpers])


class PlacementNews:
    """Queues the news that one router sends and forwards.

    Parameters
    ----------
    own : str
        Name of this router.
    zone : str
        Its availability zone.
    """

    def __init__(self, own: str, zone: str) -> None:
        self._own = own
        self._zone = zone
        # Routers of each zone, the hub first; all routers compute the same order.
        self._orders = {zone: [own]}
        self._live: frozenset[tuple[str, str]] = frozenset()
        self._routers = 1
        self._allowance = 0.0
        self._allowed_s = -math.inf
        self._own_news: dict[Holding, _Queued] = {}
        self._zone_queue = _Queue()
        self._hub_queue = _Queue()
        self.dropped = 0

    @property
    def is_hub(self) -> bool:
        """Whether this router collects the news of its zone."""
        return self._find_hub(self._zone) == self._own

    def set_members(self, members: Iterable[tuple[str, str]]) -> None:
        """Set the live routers and their zones; this one is always included."""
        live = frozenset(members)
        if live == self._live:
            return
        self._live = live
        names: dict[str, set[str]] = {self._zone: {self._own}}
        for name, zone in live:
            names.setdefault(zone, set()).add(name)
        self._routers = sum(len(zone) for zone in names.values())
        self._orders = {
            zone: hashing.rank(zone, sorted(zone_names))
            for zone, zone_names in names.items()
        }

    def tell(self, held: Holding, is_expected: bool, now_s: float) -> None:
        """Queue news of this router for its next batch.

        Parameters
        ----------
        held : Held
            Prefix that an engine holds from now on.
        is_expected : bool
            Whether rendezvous hashing sends the prompt there, so that routers without
            this news will most likely do the same.
        now_s : float
            The present time.
        """
        if is_expected and self._routers > EXPECTED_ROUTERS_MAX:
            return
        self._own_news[held] = _Queued(now_s, is_expected)
        while len(self._own_news) > QUEUE_MAX:
            del self._own_news[next(iter(self._own_news))]
            self.dropped += 1

    def receive(self, news: News) -> list[SendNews]:
        """Take another router's news; return what to forward at once."""
        if news.stage == Stage.TO_ZONE:
            return self._forward(news)
        if news.stage in (Stage.TO_HUB, Stage.HUB_TO_HUB):
            # Also if this router doesn't consider itself the hub: the sender knows
            # other members, and no other router will forward it.
            self.dropped += self._zone_queue.add(news.entries)
        if news.stage == Stage.TO_HUB:
            self.dropped += self._hub_queue.add(news.entries)
        return []

    def tick(
        self, now_s: float, facts: Iterable[EndpointReport] = ()
    ) -> list[SendNews]:
        """Return the messages to send now.

        Parameters
        ----------
        now_s : float
            The present time.
        facts : iterable of EndpointReport, optional
            This router's reports about endpoints, which take the same route.
        """
        own_news: list[Entry] = [*self._take_own_news(now_s), *facts]
        if self.is_hub:
            self.dropped += self._zone_queue.add(own_news)
            self.dropped += self._hub_queue.add(own_news)
            to_hub = []
        else:
            hub = self._find_hub(self._zone)
            to_hub = self._make_messages(own_news, Stage.TO_HUB, [hub])
        return to_hub + self._send_queued()

    def _find_hub(self, zone: str) -> str:
        return self._orders[zone][0]

    def _send_queued(self) -> list[SendNews]:
        order = [self._own, *_without(self._orders[self._zone], self._own)]
        receivers = list_receivers(order, self._own)
        to_zone = self._make_messages(self._zone_queue.take(), Stage.TO_ZONE, receivers)
        hubs = [self._find_hub(z) for z in sorted(self._orders) if z != self._zone]
        to_hubs = self._make_messages(self._hub_queue.take(), Stage.HUB_TO_HUB, hubs)
        return to_zone + to_hubs

    def _forward(self, news: News) -> list[SendNews]:
        order = self._orders[self._zone]
        if news.sender == self._own or news.sender not in order:
            return []
        order = [news.sender, *_without(order, news.sender)]
        receivers = list_receivers(order, self._own)
        return self._make_messages(news.entries, Stage.TO_ROUTER, receivers)

    def _make_messages(
        self, entries: Iterable[Entry], stage: Stage, receivers: Sequence[str]
    ) -> list[SendNews]:
        listed = list(entries)
        batches = [
            News(self._own, stage, tuple(listed[start : start + BATCH_MAX]))
            for start in range(0, len(listed), BATCH_MAX)
        ]
        return [SendNews(name, news) for news in batches for name in receivers]

    def _take_own_news(self, now_s: float) -> list[Holding]:
        """Return as much of this router's own news as its rate limit allows.

        Placements that others can't predict go first, then the longest prefixes, as
        reading a long one again costs as much as many short ones.
        """
        rate_per_s = FLEET_ENTRIES_PER_S / self._routers
        elapsed_s = min(BURST_S, now_s - self._allowed_s)
        self._allowed_s = now_s
        self._allowance += elapsed_s * rate_per_s
        self._allowance = min(self._allowance, rate_per_s * BURST_S)
        known = self._own_news
        fresh = [held for held in known if now_s - known[held].queued_s <= KEPT_S]
        self.dropped += len(known) - len(fresh)
        fresh.sort(key=lambda held: (known[held].is_expected, -held.tokens))
        count = min(len(fresh), int(self._allowance))
        self._allowance -= count
        self._own_news = {held: known[held] for held in fresh[count:]}
        return fresh[:count]


class _Queue:
    """Entries that a router forwards with its next batch."""

    def __init__(self) -> None:
        self._entries: dict[Entry, None] = {}
        self._loads: dict[str, EndpointLoad] = {}

    def add(self, entries: Iterable[Entry]) -> int:
        """Add entries; return how many were dropped."""
        for entry in entries:
            if isinstance(entry, EndpointLoad):
                # Several routers may report one endpoint; the latest report wins.
                self._loads[entry.endpoint] = entry
            else:
                self._entries[entry] = None
        dropped = max(0, len(self._entries) - QUEUE_MAX)
        for entry in list(self._entries)[:dropped]:
            del self._entries[entry]
        return dropped

    def take(self) -> list[Entry]:
        """Return and clear all entries, of the loads only the highest."""
        loads = sorted(self._loads.values(), key=lambda load: -load.in_flight)
        entries: list[Entry] = [*loads[:LOADS_FORWARDED_MAX], *self._entries]
        self._loads.clear()
        self._entries.clear()
        return entries


def _without(names: Iterable[str], name: str) -> list[str]:
    return [other for other in names if other != name]
