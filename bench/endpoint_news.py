"""How soon and at what cost routers together leave a failing endpoint alone.

Simulates the pure modules at 8, 76 and 370 routers: requests arrive at random routers
and go to random endpoints, one of which fails half of its requests.  *Seconds* is the
time until nine in ten routers leave it out, with every hundredth datagram lost: the
median and the most of five seeds.  Then all is well but for one router whose own
requests all fail: *wrong* counts endpoints that routers leave out in ten minutes.
*B/s* is what a router sends for the news while the endpoint fails, mean and most;
*loads* is what it sends for loads alone, drawn around a mean of five requests.
"""

import math
import random
from collections.abc import Iterator
from typing import NamedTuple

from tamarackrill.decisions.endpoint_news import (
    EndpointNews,
    FailureReport,
    hash_reporter,
)
from tamarackrill.decisions.fleet_health import FleetHealth
from tamarackrill.decisions.placement_news import TICK_S, PlacementNews, SendNews
from tamarackrill.decisions.routing import compute_bound
from tamarackrill.protocol.news_codec import encode_news

HEADERS_BYTES = 28
KEYS = ("key",)
SEEDS = 5
PLAY_MAX_S = 60.0
LOADS_S = 5.0
LOAD_MEAN = 5
LOAD_FACTOR, LOAD_SLACK = 1.5, 2
QUIET_S = 600.0
FAILING = "e0"
LOST_SHARE = 0.01


class Size(NamedTuple):
    """A fleet and its traffic."""

    routers: int
    zones: int
    endpoints: int
    calls_per_s: float


SIZES = (
    Size(8, 3, 6, 48.0),
    Size(76, 3, 45, 300.0),
    Size(370, 8, 780, 6_500.0),
)


class Fleet:
    """Routers that serve requests and tell each other what fails."""

    def __init__(self, size: Size, seed: int) -> None:
        self.chance = random.Random(seed)
        self.size = size
        self.names = [f"r{number}" for number in range(size.routers)]
        zones = {
            name: f"z{number % size.zones}" for number, name in enumerate(self.names)
        }
        by_reporter = {hash_reporter(name): zone for name, zone in zones.items()}
        self.pool = {f"e{number}": 48 for number in range(size.endpoints)}
        self.relays = {n: PlacementNews(n, zones[n]) for n in self.names}
        self.news = {n: EndpointNews(hash_reporter(n), 0) for n in self.names}
        self.shared = {n: FleetHealth(by_reporter.get, zones[n]) for n in self.names}
        self.sent_bytes = dict.fromkeys(self.names, 0)
        for relay in self.relays.values():
            relay.set_members(zones.items())

    def call(self, endpoint: str, is_ok: bool, router: str) -> None:
        """Take the answer of one request."""
        if not is_ok:
            self.news[router].observe_failure(endpoint)

    def tick(self, now_s: float) -> None:
        """Exchange news."""
        for name in self.names:
            facts = self.news[name].take()
            self.take(name, facts, now_s)
            self.deliver(name, self.relays[name].tick(now_s, facts), now_s)

    def take(self, name: str, entries: list, now_s: float) -> None:
        """Give a router what it was told."""
        for entry in entries:
            if isinstance(entry, FailureReport):
                self.shared[name].observe(entry, now_s)

    def deliver(self, sender: str, actions: list[SendNews], now_s: float) -> None:
        """Carry out what a router sends."""
        for action in actions:
            size = len(encode_news(action.news, KEYS)) + HEADERS_BYTES
            self.sent_bytes[sender] += size
            if self.chance.random() < LOST_SHARE:
                continue
            self.take(action.router, list(action.news.entries), now_s)
            self.deliver(
                action.router, self.relays[action.router].receive(action.news), now_s
            )

    def count_acting(self, now_s: float) -> int:
        """Return how many routers leave the failing endpoint out."""
        return sum(FAILING in self.find_paused(name, now_s) for name in self.names)

    def find_paused(self, name: str, now_s: float) -> set[str]:
        """Return the endpoints that a router leaves out."""
        health = self.shared[name]
        if health.has_no_failures:
            return set()
        health.pause_failing(self.pool, now_s)
        return health.find_paused(self.pool, 0, now_s)


def list_arrivals(fleet: Fleet, until_s: float) -> Iterator[tuple[float, str, str]]:
    """Return arrivals: when, at which router, for which endpoint."""
    now_s = 0.0
    while now_s < until_s:
        now_s += fleet.chance.expovariate(fleet.size.calls_per_s)
        endpoint = f"e{fleet.chance.randrange(fleet.size.endpoints)}"
        yield now_s, fleet.chance.choice(fleet.names), endpoint


def find_seconds(size: Size, seed: int) -> tuple[float, float, float]:
    """Return when nine in ten act, and the bytes a second, mean and most."""
    fleet = Fleet(size, seed)
    acted_s = PLAY_MAX_S
    tick_s = 0.0
    for now_s, router, endpoint in list_arrivals(fleet, PLAY_MAX_S):
        is_ok = endpoint != FAILING or fleet.chance.random() < 0.5
        fleet.call(endpoint, is_ok, router)
        if now_s < tick_s:
            continue
        tick_s += TICK_S
        fleet.tick(now_s)
        if fleet.count_acting(now_s) >= 0.9 * size.routers:
            acted_s = now_s
            break
    sent = [count / acted_s for count in fleet.sent_bytes.values()]
    return acted_s, sum(sent) / len(sent), max(sent)


def count_wrong(size: Size, seed: int) -> int:
    """Return how many endpoints were left out because of one bad router."""
    fleet = Fleet(size, seed)
    bad, wrong = fleet.names[0], set()
    tick_s = 0.0
    for now_s, router, endpoint in list_arrivals(fleet, QUIET_S):
        fleet.call(endpoint, router != bad, router)
        if now_s >= tick_s:
            tick_s += TICK_S
            fleet.tick(now_s)
            for name in fleet.names[:3]:
                wrong |= fleet.find_paused(name, now_s)
    return len(wrong)


def draw_load(chance: random.Random) -> int:
    """Return a load, Poisson distributed around the mean."""
    count, product = 0, chance.random()
    while product > math.exp(-LOAD_MEAN):
        count += 1
        product *= chance.random()
    return count


def count_load_bytes(size: Size, seed: int) -> tuple[float, float]:
    """Return the bytes a second that routers send to tell loads, mean and most."""
    fleet = Fleet(size, seed)
    bound = compute_bound(LOAD_FACTOR, LOAD_MEAN, 1, LOAD_SLACK)
    tick_s = 0.0
    for now_s, router, endpoint in list_arrivals(fleet, LOADS_S):
        load = draw_load(fleet.chance)
        fleet.news[router].observe_load(endpoint, load, bound)
        if now_s >= tick_s:
            tick_s += TICK_S
            fleet.tick(now_s)
    sent = [count / LOADS_S for count in fleet.sent_bytes.values()]
    return sum(sent) / len(sent), max(sent)


def main() -> None:
    """Print a row for each size."""
    print(
        "routers  endpoints  seconds  most s  B/s mean  B/s most  "
        "loads mean  loads most  wrong (10 min)"
    )
    for size in SIZES:
        rows = [find_seconds(size, seed) for seed in range(SEEDS)]
        seconds = sorted(row[0] for row in rows)
        loads_mean, loads_most = count_load_bytes(size, 1)
        wrong = count_wrong(size, 1) if size.calls_per_s < 1_000 else "not run"
        print(
            f"{size.routers:7}  {size.endpoints:9}  {seconds[SEEDS // 2]:7.2f}  "
            f"{seconds[-1]:6.2f}  {sum(r[1] for r in rows) / SEEDS:8.0f}  "
            f"{max(r[2] for r in rows):8.0f}  "
            f"{loads_mean:10.0f}  {loads_most:10.0f}  {wrong}"
        )


if __name__ == "__main__":
    main()
