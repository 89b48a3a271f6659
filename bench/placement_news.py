"""What routers gain and spend by telling where prompts went, by the size of the fleet.

Simulates the pure modules at 8, 60 and 370 routers while engines are replaced one by
one.  A prompt is *moved* if it goes to an engine that doesn't hold its session though
another one does; it is *lost* if besides no engine that holds it is named to copy from,
so that it is read again.  The baseline is the same fleet without news, where each
router knows only its own sends.  At 370 routers a fifth of the traffic, sessions and
engines is played.
"""

import random
from collections import defaultdict
from typing import NamedTuple

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.cache_index import CacheIndex
from tamarackrill.decisions.placement_news import TICK_S, PlacementNews, SendNews
from tamarackrill.decisions.pools import EndpointPool
from tamarackrill.decisions.prefix_copies import PrefixCopies
from tamarackrill.decisions.prompts import Prefix, PromptPart, list_prefixes
from tamarackrill.decisions.routing import LoadBalancer, PlacementRequest
from tamarackrill.protocol.news_codec import encode_news

PLAY_S = 20.0
REPLACE_EVERY_S = 4.0
HEADERS_BYTES = 28
KEYS = ("key",)
KINDS = 16


class Size(NamedTuple):
    """A fleet and its traffic."""

    routers: int
    zones: int
    engines: int
    sessions: int
    calls_per_s: float


SIZES = (
    Size(8, 4, 5, 275, 52.0),
    Size(60, 4, 45, 2_750, 508.0),
    Size(370, 8, 156, 20_000, 1_300.0),
)


class Router:
    """The modules of one router."""

    def __init__(self, name: str, zone: str, engines: EndpointPool) -> None:
        self.index = CacheIndex()
        self.placement = LoadBalancer(cache=self.index, slack=2)
        self.copies = PrefixCopies(self.index)
        self.copies.observe_endpoints(engines.by_name, 0.0)
        self.news = PlacementNews(name, zone)
        self.sent_bytes = 0


class Fleet:
    """Routers, engines and what these hold."""

    def __init__(self, size: Size, has_news: bool) -> None:
        self.chance = random.Random(1)
        self.has_news = has_news
        self.engines = EndpointPool(make_engine(n) for n in range(size.engines))
        self.count = size.engines
        self.held: dict[str, set[str]] = defaultdict(set)
        self.lost = self.moved = self.calls = 0
        self.routers = {}
        for number in range(size.routers):
            name, zone = f"edge-{number}", f"zone-{number % size.zones}"
            self.routers[name] = Router(name, zone, self.engines)
        members = [(n, f"zone-{i % size.zones}") for i, n in enumerate(self.routers)]
        for router in self.routers.values():
            router.news.set_members(members)

    def call(self, prompt: tuple[Prefix, ...], now_s: float) -> None:
        """Send a prompt through some router."""
        router = self.chance.choice(list(self.routers.values()))
        key = prompt[0].key
        request = PlacementRequest(str(self.calls), key, tokens=prompt[0].tokens)
        choice = router.placement.choose(request, self.engines, now_s)
        assert choice is not None
        chosen = choice.endpoint.name
        source = router.copies.find_source(prompt, chosen, self.engines, (), now_s)
        holders = self.held[key] & self.engines.by_name.keys()
        self.calls += 1
        if holders and chosen not in holders:
            self.moved += 1
            self.lost += source is None or source.name not in holders
        found = router.copies.record_send(prompt, chosen, now_s)
        self.held[key].add(chosen)
        if self.has_news:
            for held in found:
                router.news.tell(held, choice.reason == "hashed", now_s)

    def replace_engine(self, now_s: float) -> None:
        """Let one engine join and one leave."""
        left = list(self.engines.by_name.values())
        left.pop(self.chance.randrange(len(left)))
        self.engines = EndpointPool([*left, make_engine(self.count)])
        self.count += 1
        for router in self.routers.values():
            router.copies.observe_endpoints(self.engines.by_name, now_s)

    def tick(self, now_s: float) -> None:
        """Exchange news; every hundredth datagram is lost."""
        for router in self.routers.values():
            self.deliver(router, router.news.tick(now_s), now_s)

    def deliver(self, sender: Router, actions: list[SendNews], now_s: float) -> None:
        """Carry out what a router sends."""
        for action in actions:
            datagram = encode_news(action.news, KEYS)
            sender.sent_bytes += len(datagram) + HEADERS_BYTES
            if self.chance.random() < 0.01:
                continue
            receiver = self.routers[action.router]
            for held in action.news.entries:
                receiver.index.record_send(held.key, held.engine, held.tokens, now_s)
            self.deliver(receiver, receiver.news.receive(action.news), now_s)


def make_engine(number: int) -> Endpoint:
    """Return an engine."""
    name = f"i-{number:010}"
    return Endpoint(name, "engine", ("m",), "h:1", f"zone-{number % 4}", slots=48)


def play(size: Size, has_news: bool) -> Fleet:
    """Return a fleet after some seconds of traffic."""
    fleet = Fleet(size, has_news)
    chance = random.Random(2)
    prompts = [
        list_prefixes([PromptPart(f"k{n % KINDS}", 1000), PromptPart(f"s{n}", 3000)])
        for n in range(size.sessions)
    ]
    now_s, tick_s, replace_s = 0.0, 0.0, REPLACE_EVERY_S
    while now_s < PLAY_S:
        now_s += 1.0 / size.calls_per_s
        if now_s >= tick_s:
            tick_s += TICK_S
            fleet.tick(now_s)
        if now_s >= replace_s:
            replace_s += REPLACE_EVERY_S
            fleet.replace_engine(now_s)
        fleet.call(chance.choice(prompts), now_s)
    return fleet


def main() -> None:
    """Print a row for each size, without news and with it."""
    print("routers  news  calls  moved %  lost %  B/s mean  B/s most  dropped")
    for size in SIZES:
        for has_news in (False, True):
            fleet = play(size, has_news)
            sent = [r.sent_bytes / PLAY_S for r in fleet.routers.values()]
            dropped = sum(router.news.dropped for router in fleet.routers.values())
            print(
                f"{size.routers:7}  {has_news!s:5}  {fleet.calls:5}  "
                f"{100 * fleet.moved / fleet.calls:7.2f}  "
                f"{100 * fleet.lost / fleet.calls:6.2f}  "
                f"{sum(sent) / len(sent):8.0f}  {max(sent):8.0f}  {dropped:7}"
            )


if __name__ == "__main__":
    main()
