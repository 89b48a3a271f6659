"""What routers tell each other about which engines hold which prompts.

Load pattern: many routers each see a sliver of every session.  Rendezvous hashing lets
them agree without a word on where a session goes, until its engine is full, leaves, or
another one joins.  From then on each router knows only where it sent the session
itself.  Without news the routers spread one session over several engines, and name
engines to copy from that hold nothing; each of these prompts is read or copied again.

So a router tells of each prefix that it sends to an engine which, as far as it has
heard, doesn't hold it yet.  News is gathered by one router of each zone, the zone's
hub, which sends what came within a tick to the hubs of the other zones, and to its own
zone through a few helpers.  So a datagram carries the news of many routers, crosses
between two zones once, and is sent to no more than a few routers by any one.

All of it is a hint.  A datagram that is lost, a hub that is down until the others
notice, a router that has just started: whoever lacks the news goes by rendezvous
hashing and its own sends, as without it.
"""

import math
from collections.abc import Iterable, Sequence
from enum import IntEnum
from typing import NamedTuple

from tamarackrill.decisions import hashing
from tamarackrill.decisions.endpoint_news import EndpointReport
from tamarackrill.decisions.loads import EndpointLoad

# Between two batches of a router.  News is on its way for three ticks at most.  What is
# told of sessions would bear a quarter of a second, as those come back after seconds;
# loads are old after a few tenths: with 0.25 s, 4.1 in 100 of the requests that are
# named at `NEWS_KEPT_S` came to an engine above the bound, with 0.1 s 1.1.
TICK_S = 0.1
# Most bytes of one entry as it is sent: hash, tokens and the engine's name.
ENTRY_BYTES = 32
# Entries that every router receives: 1.9 KB/s of the few that it may spend on control
# traffic, and less than half of that where an engine has several.  Each router takes
# an equal part of it for its own news.
FLEET_ENTRIES_PER_S = 60.0
# Routers of a fleet in which what others expect is told too.  It keeps a session where
# it is when an engine joins, which takes over one session in as many as there are
# engines: at 60 routers and 45 engines 1.1 % of prompts moved without it and 0.6 with
# it, at 370 routers 0.28 and 0.26, for 2 KB/s of each router and 15 of a hub.
EXPECTED_ROUTERS_MAX = 60
# A fleet that starts has everything to tell at once.
BURST_S = 10.0
# News that could not be told for so long is dropped: its session is in use elsewhere
# by then, or cold.
KEPT_S = 2.0
# Entries in one datagram, so that it stays below the MTU that is in common use.
BATCH_MAX = 40
# Loads that one router passes on in a tick, the highest: 130 bytes, to a handful of
# routers.  What matters is which endpoints are at the bound, and these are few: with 16
# no fewer requests came to engines above it.
LOADS_PASSED_MAX = 8
# Entries that one router holds for its next batch.
QUEUE_MAX = 2_000


class Holding(NamedTuple):
    """An engine holds a prefix.

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
    """Where news is on its way."""

    TO_HUB = 0
    """From a router to the hub of its zone."""
    HUB_TO_HUB = 1
    """From one zone's hub to another's."""
    TO_ZONE = 2
    """From a hub to its zone; helpers pass it on."""
    TO_ROUTER = 3
    """To a router that passes nothing on."""


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


class _Told(NamedTuple):
    told_s: float
    is_expected: bool


def list_receivers(order: Sequence[str], own: str) -> list[str]:
    """Return whom a router passes its zone's news on to.

    The first of the order is the hub, the next few are its helpers, as many as each of
    them then has others to serve: with n others, about the root of n.

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
    """News that one router has to tell and to pass on.

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
        # Routers of each zone, the hub first, in an order that all compute alike.
        self._orders = {zone: [own]}
        self._live: frozenset[tuple[str, str]] = frozenset()
        self._routers = 1
        self._allowance = 0.0
        self._allowed_s = -math.inf
        self._own_news: dict[Holding, _Told] = {}
        self._to_spread = _Queue()
        self._to_cross = _Queue()
        self.dropped = 0

    @property
    def is_hub(self) -> bool:
        """Whether this router gathers the news of its zone."""
        return self._find_hub(self._zone) == self._own

    def set_members(self, members: Iterable[tuple[str, str]]) -> None:
        """Take the live routers and their zones; this one is always among them."""
        live = frozenset(members)
        if live == self._live:
            return
        self._live = live
        names: dict[str, set[str]] = {self._zone: {self._own}}
        for name, zone in live:
            names.setdefault(zone, set()).add(name)
        self._routers = sum(len(zone) for zone in names.values())
        self._orders = {
            zone: hashing.rank(zone, sorted(found)) for zone, found in names.items()
        }

    def tell(self, held: Holding, is_expected: bool, now_s: float) -> None:
        """Take what this router has found out itself, for its next batch.

        Parameters
        ----------
        held : Held
            What an engine holds from now on.
        is_expected : bool
            Whether rendezvous hashing sends the prompt there, so that routers which
            don't hear of it will most likely do the same.
        now_s : float
            The present time.
        """
        if is_expected and self._routers > EXPECTED_ROUTERS_MAX:
            return
        self._own_news[held] = _Told(now_s, is_expected)
        while len(self._own_news) > QUEUE_MAX:
            del self._own_news[next(iter(self._own_news))]
            self.dropped += 1

    def receive(self, news: News) -> list[SendNews]:
        """Take another router's news; return what is passed on at once."""
        if news.stage == Stage.TO_ZONE:
            return self._pass_on(news)
        if news.stage in (Stage.TO_HUB, Stage.HUB_TO_HUB):
            # Also while this router doesn't take itself for the hub: the sender knows
            # of fewer or more routers, and nobody else will pass it on.
            self.dropped += self._to_spread.add(news.entries)
        if news.stage == Stage.TO_HUB:
            self.dropped += self._to_cross.add(news.entries)
        return []

    def tick(
        self, now_s: float, facts: Iterable[EndpointReport] = ()
    ) -> list[SendNews]:
        """Return what is to be sent now.

        Parameters
        ----------
        now_s : float
            The present time.
        facts : iterable of Fact, optional
            What this router has to tell of endpoints; it goes the same way.
        """
        own_news: list[Entry] = [*self._take_own_news(now_s), *facts]
        if self.is_hub:
            self.dropped += self._to_spread.add(own_news)
            self.dropped += self._to_cross.add(own_news)
            gathered = []
        else:
            hub = self._find_hub(self._zone)
            gathered = self._make(own_news, Stage.TO_HUB, [hub])
        return gathered + self._send_queued()

    def _find_hub(self, zone: str) -> str:
        return self._orders[zone][0]

    def _send_queued(self) -> list[SendNews]:
        order = [self._own, *_without(self._orders[self._zone], self._own)]
        receivers = list_receivers(order, self._own)
        spread = self._make(self._to_spread.take(), Stage.TO_ZONE, receivers)
        hubs = [self._find_hub(z) for z in sorted(self._orders) if z != self._zone]
        crossing = self._make(self._to_cross.take(), Stage.HUB_TO_HUB, hubs)
        return spread + crossing

    def _pass_on(self, news: News) -> list[SendNews]:
        order = self._orders[self._zone]
        if news.sender == self._own or news.sender not in order:
            return []
        order = [news.sender, *_without(order, news.sender)]
        receivers = list_receivers(order, self._own)
        return self._make(news.entries, Stage.TO_ROUTER, receivers)

    def _make(
        self, entries: Iterable[Entry], stage: Stage, receivers: Sequence[str]
    ) -> list[SendNews]:
        told = list(entries)
        batches = [
            News(self._own, stage, tuple(told[start : start + BATCH_MAX]))
            for start in range(0, len(told), BATCH_MAX)
        ]
        return [SendNews(name, news) for news in batches for name in receivers]

    def _take_own_news(self, now_s: float) -> list[Holding]:
        """Return as much of this router's own news as its part allows.

        What others can't guess goes first; then the longest, as a long prefix that is
        read again costs what many short ones do.
        """
        rate_per_s = FLEET_ENTRIES_PER_S / self._routers
        elapsed_s = min(BURST_S, now_s - self._allowed_s)
        self._allowed_s = now_s
        self._allowance += elapsed_s * rate_per_s
        self._allowance = min(self._allowance, rate_per_s * BURST_S)
        known = self._own_news
        fresh = [held for held in known if now_s - known[held].told_s <= KEPT_S]
        self.dropped += len(known) - len(fresh)
        fresh.sort(key=lambda held: (known[held].is_expected, -held.tokens))
        count = min(len(fresh), int(self._allowance))
        self._allowance -= count
        self._own_news = {held: known[held] for held in fresh[count:]}
        return fresh[:count]


class _Queue:
    """Entries that a router passes on with its next batch."""

    def __init__(self) -> None:
        self._entries: dict[Entry, None] = {}
        self._loads: dict[str, EndpointLoad] = {}

    def add(self, entries: Iterable[Entry]) -> int:
        """Take entries; return how many had to be dropped."""
        for entry in entries:
            if isinstance(entry, EndpointLoad):
                # Several routers have heard of one endpoint; the last word counts.
                self._loads[entry.endpoint] = entry
            else:
                self._entries[entry] = None
        dropped = max(0, len(self._entries) - QUEUE_MAX)
        for entry in list(self._entries)[:dropped]:
            del self._entries[entry]
        return dropped

    def take(self) -> list[Entry]:
        """Return all that is passed on now, of loads the highest."""
        loads = sorted(self._loads.values(), key=lambda load: -load.in_flight)
        entries: list[Entry] = [*loads[:LOADS_PASSED_MAX], *self._entries]
        self._loads.clear()
        self._entries.clear()
        return entries


def _without(names: Iterable[str], name: str) -> list[str]:
    return [other for other in names if other != name]
