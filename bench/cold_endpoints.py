"""What four ways of sparing cold endpoints send to them, over a whole fleet.

Simulates three seconds in which twenty endpoints of one availability zone are cold.
Requests arrive at random routers; ten per second prefer each endpoint, and a hundred
the first one, whose prefix is hot.  An endpoint tolerates 17 per second; its limit is
30.5 within any second.  *Usual* is the mean rate that the nineteen others get, *hot*
the rate of the first, *most* the highest number within any second at any endpoint.

A request that a way keeps away from the cold endpoint goes to another one.  *Split*
divides the routers into two halves that take each other for gone but reach all
endpoints.  *Changed* replaces a third of the routers every half second.
"""

import random
from collections import Counter, defaultdict, deque
from collections.abc import Callable
from typing import NamedTuple

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions import hashing
from tamarackrill.decisions.cold_endpoints import (
    ColdTerms,
    StartPermits,
    Visibility,
    find_owner,
    find_share,
)

TERMS = ColdTerms(3.0, 30.5)
RATE_PER_S = 17.0
USUAL_PER_S, HOT_PER_S = 10.0, 100.0
ENDPOINTS = [Endpoint(f"e{n}", "engine", ("m",), "", "z0") for n in range(20)]
HOT = ENDPOINTS[0].name
ZONES = 4
SUBSET = 4
CHANGE_S = 0.5
SEEDS = 5
SIZES = (8, 62, 195, 370)
CASES = ("calm", "split", "changed")


class Request(NamedTuple):
    """A request that prefers a cold endpoint."""

    time_s: float
    router: str
    endpoint: Endpoint


class Fleet:
    """Routers, and which of them each one sees."""

    def __init__(self, size: int, case: str) -> None:
        self.case = case
        self.names = [f"z{n % ZONES}-r{n // ZONES}" for n in range(size)]

    def list_seen(self, router: str, now_s: float) -> list[str]:
        """Return the routers that one router sees, itself included."""
        if self.case != "split":
            return self.list_live(now_s)
        half = {n: hashing.hash_name(n) % 2 for n in self.names}
        return [name for name in self.names if half[name] == half[router]]

    def list_live(self, now_s: float) -> list[str]:
        """Return the names of the live routers; a replaced one gets a new name."""
        if self.case != "changed":
            return self.names
        step = int(now_s / CHANGE_S)
        return [
            f"{name}+{step - (step - n) % 3}" if step >= n % 3 else name
            for n, name in enumerate(self.names)
        ]


Way = Callable[[Request], bool]


def send_all(fleet: Fleet) -> Way:
    """Send each request, as if the endpoint were warm."""
    return lambda request: True


def share_rate(fleet: Fleet) -> Way:
    """Give each router an equal share of the rate, as tokens saved up to one."""
    saved: dict[tuple[str, str], tuple[float, float]] = {}

    def may_send(request: Request) -> bool:
        key = (request.router, request.endpoint.name)
        seen = len(fleet.list_seen(request.router, request.time_s))
        tokens, counted_s = saved.get(key, (1.0, request.time_s))
        tokens = min(1.0, tokens + RATE_PER_S / seen * (request.time_s - counted_s))
        saved[key] = (tokens - (tokens >= 1.0), request.time_s)
        return tokens >= 1.0

    return may_send


def send_from_subset(fleet: Fleet) -> Way:
    """Let few routers send to each endpoint, each with a token and its part."""
    saved: dict[tuple[str, str], tuple[float, float]] = {}
    rate_per_s = (RATE_PER_S - SUBSET) / SUBSET

    def may_send(request: Request) -> bool:
        seen = fleet.list_seen(request.router, request.time_s)
        first = hashing.rendezvous_order(request.endpoint.name, seen, SUBSET)
        if request.router not in first:
            return False
        key = (request.router, request.endpoint.name)
        tokens, counted_s = saved.get(key, (1.0, request.time_s))
        tokens = min(1.0, tokens + rate_per_s * (request.time_s - counted_s))
        saved[key] = (tokens - (tokens >= 1.0), request.time_s)
        return tokens >= 1.0

    return may_send


def tell_rates(age_s: float) -> Callable[[Fleet], Way]:
    """Let each router stop at what all together sent in the last second, as told."""

    def make(fleet: Fleet) -> Way:
        sent: dict[str, deque[tuple[float, str]]] = defaultdict(deque)

        def may_send(request: Request) -> bool:
            recent = sent[request.endpoint.name]
            while recent and recent[0][0] < request.time_s - 1.0 - age_s:
                recent.popleft()
            seen = set(fleet.list_seen(request.router, request.time_s))
            known = sum(
                router == request.router
                or (router in seen and t < request.time_s - age_s)
                for t, router in recent
            )
            if known >= RATE_PER_S:
                return False
            recent.append((request.time_s, request.router))
            return True

        return may_send

    return make


def ask_owner(fleet: Fleet) -> Way:
    """Ask the endpoint's owner for each request, as the product does."""
    permits: dict[str, StartPermits] = defaultdict(StartPermits)

    def may_send(request: Request) -> bool:
        seen = fleet.list_seen(request.router, request.time_s)
        zones: dict[str, list[str]] = defaultdict(list)
        for name in seen:
            zones[name.partition("-")[0]].append(name)
        owner = find_owner(request.endpoint, zones)
        assert owner is not None
        zone = owner.partition("-")[0]
        of_zone = [n for n in fleet.names if n.partition("-")[0] == zone]
        is_near = zone == request.endpoint.zone
        live, largest = len(zones[zone]), len(of_zone)
        if not is_near:
            live, largest = len(seen), len(fleet.names)
        if not Visibility(live, largest).has_majority:
            return False
        share = find_share(request.endpoint, zone)
        return permits[owner].take(request.endpoint.name, TERMS, share, request.time_s)

    return may_send


WAYS: dict[str, Callable[[Fleet], Way]] = {
    "as if warm": send_all,
    "shares": share_rate,
    "subset of 4": send_from_subset,
    "rates told, 0.2 s old": tell_rates(0.2),
    "rates told, 2 s old": tell_rates(2.0),
    "owner": ask_owner,
}


def make_requests(fleet: Fleet, seed: int) -> list[Request]:
    """Draw the requests of the time in which the endpoints are cold."""
    chance = random.Random(seed)
    found = []
    for endpoint in ENDPOINTS:
        rate_per_s = HOT_PER_S if endpoint.name == HOT else USUAL_PER_S
        time_s = chance.expovariate(rate_per_s)
        while time_s < TERMS.cold_s:
            router = chance.choice(fleet.list_live(time_s))
            found.append(Request(time_s, router, endpoint))
            time_s += chance.expovariate(rate_per_s)
    return sorted(found)


def count_most(times_s: list[float]) -> int:
    """Return the most of some sorted times within any second."""
    return max((sum(t <= u < t + 1.0 for u in times_s) for t in times_s), default=0)


def measure(make: Callable[[Fleet], Way], size: int, case: str) -> tuple[float, ...]:
    """Return the usual rate, the hot rate and the most within a second."""
    usual: list[float] = []
    hot: list[float] = []
    most = 0
    for seed in range(SEEDS):
        fleet = Fleet(size, case)
        may_send = make(fleet)
        sent: dict[str, list[float]] = defaultdict(list)
        for request in make_requests(fleet, seed):
            if may_send(request):
                sent[request.endpoint.name].append(request.time_s)
        rates = Counter(
            {name: len(times) / TERMS.cold_s for name, times in sent.items()}
        )
        hot.append(rates.pop(HOT, 0.0))
        usual.append(sum(rates.values()) / (len(ENDPOINTS) - 1))
        most = max([most, *(count_most(times_s) for times_s in sent.values())])
    return sum(usual) / SEEDS, sum(hot) / SEEDS, most


def main() -> None:
    """Print one table for each case."""
    for case in CASES:
        print(f"| {case} | " + " | ".join(f"{size} routers" for size in SIZES) + " |")
        print("| --- |" + " --- |" * len(SIZES))
        for name, make in WAYS.items():
            cells = []
            for size in SIZES:
                usual, hot, most = measure(make, size, case)
                cells.append(f"{usual:.1f} / {hot:.0f} / {most}")
            print(f"| {name} | " + " | ".join(cells) + " |")
        print()


if __name__ == "__main__":
    main()
