"""Drives the placement of several routers through traffic, churn and lost reports.

No cluster simulator: the decisions are called as the daemon calls them, and what
stands around them is a count of requests for each engine and a list of its cached
chats.  Requests end on their own; reports, digests, cache events and membership arrive
late or not at all.
"""

import heapq
import math
import random
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import NamedTuple

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions import hashing
from tamarackrill.decisions.cache_index import CacheAction, CacheEvent
from tamarackrill.decisions.reservations import (
    RESERVATION_ATTEMPTS_MAX,
    Reservations,
    find_owner,
    must_reserve,
)
from tamarackrill.decisions.routing import LoadBalancer, PlacementRequest, compute_bound


class Scenario(NamedTuple):
    """One run: sizes, traffic and faults.  Times are in seconds."""

    name: str
    routers: int
    engines: int
    zones: int
    rate_per_s: float
    service_s: float
    chats: int
    # Chats whose prefix one engine keeps, least recently used out first.
    cached_chats: int
    duration_s: float = 300.0
    popularity: float = 0.8
    report_every_s: float = 1.0
    report_lag_s: float = 1.0
    reports_lost: float = 0.1
    digest_every_s: float = 0.5
    digest_fanout: int = 3
    digest_lag_s: float = 0.01
    digests_lost: float = 0.02
    events_lost: float = 0.1
    event_lag_s: float = 2.0
    view_lag_s: float = 3.0
    churn_every_s: float = 20.0
    away_s: float = 8.0
    router_every_s: float = 45.0


CEGIN = Scenario("cegin-ddata", 7, 5, 4, 4.0, 6.0, 400, 120)
COOP = Scenario("co-operative", 7, 5, 3, 4.0, 6.0, 300, 90)
# One model of 23 at the size of two years hence: 780 / 23 engines, 6,500 / 23
# requests a second, and 430 tokens of 46 ms for each answer.
FULL = Scenario(
    "full-size-model",
    370,
    34,
    8,
    283.0,
    20.0,
    20_000,
    900,
    duration_s=120.0,
    router_every_s=40.0,
)
SCENARIOS = (CEGIN, COOP, FULL)


class Outcome(NamedTuple):
    """What one run gave."""

    reuse: float
    skew_mean: float
    skew_p99: float
    # Share of sends that put an engine above the bound by the true loads of the engines
    # that are there, and the largest load as a multiple of that bound.
    over_bound: float
    worst: float
    # The same share while routers agreed on membership and no owner had just started.
    over_settled: float
    requests: int
    # Asks of an owner for each request, and requests that no owner granted.
    asks: float
    forced: float


class Router:
    """One router: its placement, its view of the engines and last reports."""

    def __init__(
        self, name: str, view: dict[str, Endpoint], load_factor: float
    ) -> None:
        self.name = name
        self.view = dict(view)
        self.placement = LoadBalancer(load_factor)
        self.reservations = Reservations(load_factor)
        self.reported: dict[str, int] = {}


Pick = Callable[[Router, PlacementRequest, float, random.Random], str]


def pick_placed(
    router: Router, request: PlacementRequest, now_s: float, rng: random.Random
) -> str:
    """Ask the module under test."""
    endpoints = list(router.view.values())
    choice = router.placement.choose(request, endpoints, now_s)
    assert choice is not None
    return choice.endpoint.name


def pick_random(
    router: Router, request: PlacementRequest, now_s: float, rng: random.Random
) -> str:
    """Baseline: any engine."""
    return rng.choice(list(router.view))


def pick_least(
    router: Router, request: PlacementRequest, now_s: float, rng: random.Random
) -> str:
    """Baseline: the engine whose last report is the lowest."""
    names = list(router.view)
    rng.shuffle(names)
    return min(names, key=lambda name: router.reported.get(name, 0))


def pick_hashed(
    router: Router, request: PlacementRequest, now_s: float, rng: random.Random
) -> str:
    """Baseline: plain consistent hashing, without a bound."""
    return hashing.rendezvous_order(request.chat, list(router.view), 1)[0]


def pick_of_two(
    router: Router, request: PlacementRequest, now_s: float, rng: random.Random
) -> str:
    """Baseline: the emptier of two random engines by report and own sends."""
    names = list(router.view)
    drawn = rng.sample(names, min(2, len(names)))
    loads = router.placement.loads.estimate(drawn, now_s)
    return min(zip(loads, drawn, strict=True))[1]


BASELINES: dict[str, Pick] = {
    "random": pick_random,
    "least reported load": pick_least,
    "plain consistent hashing": pick_hashed,
    "two random choices": pick_of_two,
}


class Knowledge(NamedTuple):
    """How routers come to know the load that others cause."""

    reports: bool = True
    owners: bool = True
    # Ask an owner only as `must_reserve` says.
    near_only: bool = True


OWNERS = Knowledge()
KNOWLEDGE = {
    "shares (own requests only)": Knowledge(reports=False, owners=False),
    "reports and own sends": Knowledge(owners=False),
    "owner, always asked": Knowledge(near_only=False),
    "owner, asked near the bound": OWNERS,
}


class Driver:
    """Drives routers and engines through one scenario."""

    def __init__(
        self,
        scenario: Scenario,
        pick: Pick,
        load_factor: float,
        knowledge: Knowledge,
        seed: int,
    ) -> None:
        self.scenario = scenario
        self.pick = pick
        self.load_factor = load_factor
        self.knowledge = knowledge
        # Traffic and faults draw from generators of their own, so that each policy
        # meets the same ones.
        self.rng = random.Random(seed)
        self.traffic = random.Random(seed + 1000)
        self.faults = random.Random(seed + 2000)
        self.engines = {
            f"engine-{i}": Endpoint(
                f"engine-{i}",
                "engine",
                ("model",),
                "",
                f"zone-{i % scenario.zones}",
                slots=1_000_000,
            )
            for i in range(scenario.engines)
        }
        self.live = dict(self.engines)
        self.names = [f"router-{i}" for i in range(scenario.routers)]
        self.routers = {name: self.make_router(name) for name in self.names}
        self.load = dict.fromkeys(self.engines, 0)
        self.caches: dict[str, OrderedDict[str, None]] = {
            name: OrderedDict() for name in self.engines
        }
        self.sequences = dict.fromkeys(self.engines, 0)
        self.homes: dict[str, str] = {}
        weights = [(i + 1) ** -scenario.popularity for i in range(scenario.chats)]
        self.chat_weights = weights
        self.chat_names = [f"chat-{i}" for i in range(scenario.chats)]
        self.seen: set[str] = set()
        self.hits = self.returns = self.over = self.placed = 0
        self.asks = self.forced = self.over_settled = 0
        self.disturbed_s = 0.0
        self.owner_names = {
            name: find_owner(engine, len(self.engines), self.names)
            for name, engine in self.engines.items()
        }
        self.worst = 0.0
        self.skews: list[float] = []
        self.queue: list[tuple[float, int, Callable[[float], None]]] = []
        self.count = 0

    def make_router(self, name: str) -> Router:
        """Return a router that knows the engines and no loads."""
        return Router(name, self.live, self.load_factor)

    def at(self, time_s: float, action: Callable[[float], None]) -> None:
        """Run `action` at a time."""
        self.count += 1
        heapq.heappush(self.queue, (time_s, self.count, action))

    def every(self, period_s: float, action: Callable[[float], None]) -> None:
        """Run `action` again and again."""

        def repeat(now_s: float) -> None:
            action(now_s)
            self.at(now_s + period_s, repeat)

        self.at(period_s, repeat)

    def run(self) -> Outcome:
        """Return what the callers and engines met."""
        s = self.scenario
        self.every(s.report_every_s, self.send_reports)
        self.every(0.25, self.sample)
        if self.knowledge.owners:
            self.every(s.digest_every_s, self.send_digests)
        if s.churn_every_s:
            self.every(s.churn_every_s, self.churn_engine)
        if s.router_every_s:
            self.every(s.router_every_s, self.restart_router)
        arrivals = deque(
            self.traffic.choices(
                self.chat_names,
                self.chat_weights,
                k=int(s.rate_per_s * s.duration_s * 1.2),
            )
        )

        def arrive(now_s: float) -> None:
            if arrivals:
                self.place(arrivals.popleft(), now_s)
                self.at(now_s + self.traffic.expovariate(s.rate_per_s), arrive)

        self.at(0.0, arrive)
        while self.queue and self.queue[0][0] < s.duration_s:
            now_s, _, action = heapq.heappop(self.queue)
            action(now_s)
        skews = sorted(self.skews)
        return Outcome(
            self.hits / self.returns,
            sum(skews) / len(skews),
            skews[int(0.99 * len(skews))],
            self.over / self.placed,
            self.worst,
            self.over_settled / self.placed,
            self.placed,
            self.asks / self.placed,
            self.forced / self.placed,
        )

    def find_home(self, chat: str) -> Router:
        """Return the home router of a chat."""
        if chat not in self.homes:
            self.homes[chat] = hashing.rendezvous_order(chat, self.names, 1)[0]
        return self.routers[self.homes[chat]]

    def place(self, chat: str, now_s: float) -> None:
        """Send one request of a chat."""
        service_s = self.traffic.expovariate(1 / self.scenario.service_s)
        router = self.find_home(chat)
        request = PlacementRequest(f"{chat}/{self.placed}", chat, "", 1000)
        engine = self.choose(router, request, now_s)
        router.placement.start(engine, request, now_s)
        self.load[engine] += 1
        self.count_send(chat, engine, now_s)

        def finish(then_s: float) -> None:
            self.load[engine] -= 1
            router.placement.finish(engine, then_s)
            for owner in self.routers.values():
                owner.reservations.release(request.key, then_s)

        self.at(now_s + service_s, finish)

    def choose(self, router: Router, request: PlacementRequest, now_s: float) -> str:
        """Return the engine, by asking its owner where there are owners."""
        if self.pick is not pick_placed or not self.knowledge.owners:
            return self.pick(router, request, now_s, self.rng)
        endpoints = list(router.view.values())
        refused: list[str] = []
        while len(refused) < RESERVATION_ATTEMPTS_MAX - 1:
            choice = router.placement.choose(request, endpoints, now_s, None, refused)
            if choice is None:
                break
            is_asked = not self.knowledge.near_only or must_reserve(
                choice, len(endpoints)
            )
            if not is_asked or self.ask(router, request, choice.endpoint, now_s, False):
                return choice.endpoint.name
            refused.append(choice.endpoint.name)
        self.forced += now_s > self.warm_s
        loads = router.placement.loads.estimate(list(router.view), now_s)
        name = min(zip(loads, router.view, strict=True))[1]
        self.ask(router, request, router.view[name], now_s, True)
        return name

    def ask(
        self,
        router: Router,
        request: PlacementRequest,
        endpoint: Endpoint,
        now_s: float,
        is_last: bool,
    ) -> bool:
        """Ask the owner of an engine for a reservation."""
        self.asks += 1
        name = endpoint.name
        owner = self.routers[self.owner_names[name]]
        grant = owner.reservations.reserve(
            request.key,
            endpoint,
            list(owner.view.values()),
            router.name,
            math.inf,
            now_s,
            is_last,
        )
        count = grant.in_flight - grant.is_granted
        router.placement.observe_report(name, count, now_s, now_s)
        return grant.is_granted

    def count_send(self, chat: str, engine: str, now_s: float) -> None:
        """Count reuse and the bound of one send."""
        self.placed += 1
        if chat in self.seen and now_s > self.warm_s:
            self.returns += 1
            self.hits += chat in self.caches[engine]
        self.seen.add(chat)
        # The bound as it truly is, over the engines that are there.
        if engine in self.live and now_s > self.warm_s:
            total = sum(self.load[name] for name in self.live)
            bound = compute_bound(self.load_factor, total, len(self.live))
            is_over = self.load[engine] > bound
            self.over += is_over
            is_settled = now_s > self.disturbed_s + self.scenario.view_lag_s
            self.over_settled += is_over and is_settled
            self.worst = max(self.worst, self.load[engine] / bound)
        self.use_cache(chat, engine, now_s)

    @property
    def warm_s(self) -> float:
        """Return the time from which on runs count."""
        return self.scenario.duration_s / 6

    def use_cache(self, chat: str, engine: str, now_s: float) -> None:
        """Let an engine cache a chat, and evict another."""
        cache = self.caches[engine]
        cache[chat] = None
        cache.move_to_end(chat)
        if len(cache) > self.scenario.cached_chats:
            evicted, _ = cache.popitem(last=False)
            self.publish(engine, "evicted", evicted, now_s)

    def publish(
        self, engine: str, action: CacheAction, chat: str, now_s: float
    ) -> None:
        """Publish a cache event, late, and lose some."""
        self.sequences[engine] += 1
        if self.faults.random() < self.scenario.events_lost:
            return
        event = CacheEvent(engine, self.sequences[engine], action, chat, 0, now_s)

        def deliver(_: float) -> None:
            # An engine's events go to all routers; only the home keeps the chat.
            routers = [self.find_home(chat)] if chat else self.routers.values()
            for router in routers:
                router.placement.observe_event(event)

        self.at(now_s + self.scenario.event_lag_s, deliver)

    def send_reports(self, now_s: float) -> None:
        """Send each engine's count to all routers, late."""
        reports = {name: self.load[name] for name in self.live}

        def deliver(then_s: float) -> None:
            for router in self.routers.values():
                for name, load in reports.items():
                    if self.rng.random() < self.scenario.reports_lost:
                        continue
                    router.reported[name] = load
                    if self.knowledge.reports:
                        router.placement.observe_report(name, load, now_s, then_s)
                        router.reservations.loads.observe_report(
                            name, load, now_s, then_s
                        )

        self.at(now_s + self.scenario.report_lag_s, deliver)

    def send_digests(self, now_s: float) -> None:
        """Send each router's counts as an owner to a few peers."""
        s = self.scenario
        sent = []
        for name in self.names:
            router = self.routers[name]
            owned = [e for e in router.view if self.owner_names[e] == name]
            entries = router.reservations.digest(owned, now_s)
            others = [peer for peer in self.names if peer != name]
            for peer in self.rng.sample(others, min(s.digest_fanout, len(others))):
                if self.rng.random() >= s.digests_lost:
                    sent.append((peer, name, entries))

        def deliver(then_s: float) -> None:
            for peer, _, entries in sent:
                self.routers[peer].placement.observe_peer(entries, then_s)
                self.routers[peer].reservations.loads.observe_peer(entries, then_s)

        self.at(now_s + s.digest_lag_s, deliver)

    def sample(self, now_s: float) -> None:
        """Note how uneven the engines are loaded."""
        loads = [self.load[name] for name in self.live]
        if now_s > self.warm_s and sum(loads):
            self.skews.append(max(loads) * len(loads) / sum(loads))

    def churn_engine(self, now_s: float) -> None:
        """Take one engine away for a while; half of them come back empty."""
        name = self.faults.choice(sorted(self.live))
        is_restart = self.faults.random() < 0.5
        del self.live[name]
        self.announce(name, None, now_s)

        def come_back(then_s: float) -> None:
            self.live[name] = self.engines[name]
            if is_restart:
                self.caches[name].clear()
                self.publish(name, "cleared", "", then_s)
            self.announce(name, self.engines[name], then_s)

        self.at(now_s + self.scenario.away_s, come_back)

    def announce(self, name: str, endpoint: Endpoint | None, now_s: float) -> None:
        """Tell each router of a change, each after a while of its own."""
        self.disturbed_s = now_s
        for router_name in self.names:
            delay_s = self.faults.random() * self.scenario.view_lag_s

            def learn(_: float, router_name: str = router_name) -> None:
                view = self.routers[router_name].view
                if endpoint is None:
                    view.pop(name, None)
                else:
                    view[name] = endpoint

            self.at(now_s + delay_s, learn)

    def restart_router(self, now_s: float) -> None:
        """Replace a router by one that knows nothing yet."""
        self.disturbed_s = now_s
        name = self.faults.choice(self.names)
        self.routers[name] = self.make_router(name)
