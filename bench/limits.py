"""Error of fleet-wide limits and bytes for them, three ways, in simulated time.

``python bench/limits.py`` prints one line of JSON for each way and case;
``--full`` adds 370 routers with 2,300 teams.  The ways:

- ``even_split``: each router enforces limit / routers; no bytes.
- ``home_grant``: the team's home router decides each request; exact while the home
  is reachable, a question and an answer a request.
- ``summed_usage``: `limits.FleetLimits` with `usage.UsageExchange`.
"""

import argparse
import json
import random
import time
import tracemalloc
from collections import Counter, deque
from collections.abc import Callable
from typing import Any, NamedTuple

from tamarackrill.contracts import Contract
from tamarackrill.decisions.limits import FleetLimits
from tamarackrill.decisions.usage import (
    DIGEST_OVERHEAD_BYTES,
    ENTRY_BYTES,
    RouterLocation,
    UsageDigest,
    UsageExchange,
)

LIMIT_PER_S = 100.0
TICK_S = 0.1
# Each router sends every half second: in each tick, one part of the routers.
PARTS = 5
BUDGET_BYTES_PER_S = 700
ZONES = 4
SERVICE_S = 2.0


class Node(NamedTuple):
    """One router of the simulated fleet."""

    name: str
    zone: str
    limits: FleetLimits
    exchange: UsageExchange


class Fleet:
    """Routers that exchange digests, delivered at the next tick."""

    def __init__(self, count: int, contracts: dict[str, Contract]) -> None:
        self.contracts = contracts
        self.places = [
            RouterLocation(f"router-{i}", f"zone-{i % ZONES}") for i in range(count)
        ]
        self.nodes = {
            place.name: Node(
                place.name,
                place.zone,
                FleetLimits(place.name),
                UsageExchange(place.name, place.zone, contracts.get),
            )
            for place in self.places
        }
        self.mail: list[tuple[str, UsageDigest]] = []
        self.sent_bytes: Counter[str] = Counter()
        self.got_bytes: Counter[str] = Counter()
        self.cut: str | None = None
        self.admitted: Counter[str] = Counter()
        self.ending: deque[tuple[float, str, str]] = deque()
        self.set_routers(lambda node: self.places, 0.0)

    def set_routers(
        self, see: Callable[[Node], list[RouterLocation]], now_s: float
    ) -> None:
        """Tell each router whom it takes to be live."""
        for node in self.nodes.values():
            node.exchange.set_routers(see(node), now_s)

    def admit(self, name: str, team: str, now_s: float) -> str:
        """Offer one request at a router; returns the limit it is over, or ''."""
        node = self.nodes[name]
        decision = node.limits.admit(self.contracts[team], 10.0, now_s)
        if decision.admitted:
            self.ending.append((now_s + SERVICE_S, name, team))
        return decision.limit

    def end_requests(self, now_s: float) -> None:
        """End the requests whose time has come."""
        while self.ending and self.ending[0][0] <= now_s:
            _, name, team = self.ending.popleft()
            self.nodes[name].limits.finish(team, 0.0, now_s)

    def exchange(self, now_s: float, part: int, parts: int) -> None:
        """Deliver what is under way, and let one part of the routers send."""
        mail, self.mail = self.mail, []
        for sender, digest in mail:
            if self.is_cut(sender, digest.peer):
                continue
            self.nodes[digest.peer].exchange.observe(sender, digest.entries, now_s)
            size = DIGEST_OVERHEAD_BYTES + ENTRY_BYTES * len(digest.entries)
            self.sent_bytes[sender] += size
            self.got_bytes[digest.peer] += size
        for index, node in enumerate(self.nodes.values()):
            if index % parts == part:
                own = node.limits.list_usage(now_s)
                for digest in node.exchange.collect(own, now_s, BUDGET_BYTES_PER_S):
                    self.mail.append((node.name, digest))
            for others in node.exchange.drain_updates():
                node.limits.observe_others(others, now_s)

    def is_cut(self, first: str, second: str) -> bool:
        """Return whether a partition lies between two routers."""
        zones = {self.nodes[first].zone, self.nodes[second].zone}
        return self.cut in zones and len(zones) > 1


class EvenSplit:
    """Token buckets of limit / routers."""

    def __init__(self, count: int) -> None:
        self._count = count
        self._levels: dict[str, tuple[float, float]] = {}

    def admit(self, name: str, now_s: float) -> bool:
        """Decide one request."""
        share = LIMIT_PER_S / self._count
        level, at_s = self._levels.get(name, (max(1.0, share), now_s))
        level = min(max(1.0, share), level + share * (now_s - at_s))
        admitted = level >= 1.0
        self._levels[name] = (level - admitted, now_s)
        return admitted


def choose_router(case: str, routers: int, now_s: float, source: random.Random) -> int:
    """Return where the next request arrives."""
    if case == "skewed":
        # Nine in ten requests come to a tenth of the routers.
        hot = max(1, routers // 10)
        return source.randrange(hot if source.random() < 0.9 else routers)
    if case == "moving":
        # All arrivals move on to another tenth of the routers each 10 s.
        hot = max(1, routers // 10)
        return (int(now_s / 10.0) * hot + source.randrange(hot)) % routers
    return source.randrange(routers)


def run_case(routers: int, case: str, load: float, run_s: float = 60.0) -> list[dict]:
    """Return the error of each way for one team at `load` times its limit.

    The error is what was admitted over the lesser of limit and demand, less 1, for
    the whole run after 10 s and for its worst 5 s.
    """
    contract = Contract("t", (), rate_per_s=LIMIT_PER_S, rate_burst=LIMIT_PER_S)
    contract = contract._replace(tokens_per_s=1e9, tokens_burst=1e9, in_flight_max=9999)
    fleet, even = Fleet(routers, {"t": contract}), EvenSplit(routers)
    source = random.Random(7)
    admitted: dict[str, Counter[int]] = {"even_split": Counter(), "summed": Counter()}
    offered: Counter[int] = Counter()
    next_s = 0.0
    for tick in range(int(run_s / TICK_S)):
        now_s = tick * TICK_S
        while next_s <= now_s:
            index = choose_router(case, routers, now_s, source)
            name = f"router-{index}"
            offered[int(now_s)] += 1
            admitted["summed"][int(now_s)] += not fleet.admit(name, "t", now_s)
            admitted["even_split"][int(now_s)] += even.admit(name, now_s)
            next_s += source.expovariate(load * LIMIT_PER_S)
        fleet.end_requests(now_s)
        fleet.exchange(now_s, tick % PARTS, PARTS)
    rows = []
    for way, counts in admitted.items():
        row: dict[str, Any] = {"way": way, "case": case, "load": load}
        row["routers"] = routers
        row["error"] = _error(counts, offered, 10, int(run_s))
        windows = [_error(counts, offered, s, s + 5) for s in range(10, int(run_s) - 5)]
        row["worst_5s_over"], row["worst_5s_under"] = max(windows), min(windows)
        row["first_10s_admitted"] = sum(counts[s] for s in range(10))
        row["bytes_per_s"] = 0.0
        if way == "summed":
            row["bytes_per_s"] = _rate(fleet, run_s, max)
            row["bytes_per_s_mean"] = _rate(fleet, run_s, lambda x: sum(x) / len(x))
        rows.append(row)
    return rows


def _rate(fleet: Fleet, run_s: float, join: Callable) -> float:
    return round(join([fleet.sent_bytes[n] / run_s for n in fleet.nodes]), 1)


def _error(counts: Counter, offered: Counter, from_s: int, to_s: int) -> float:
    seconds = range(from_s, to_s)
    demand = sum(offered[s] for s in seconds)
    allowed = min(demand, LIMIT_PER_S * len(seconds))
    return round(sum(counts[s] for s in seconds) / allowed - 1.0, 3)


def run_cut(routers: int, load: float = 2.0) -> dict:
    """Return what is admitted while one of four zones is cut off for 100 s.

    From 20 s on no digest passes, and from 30 s on each side takes the other for
    dead.  From 120 s on all is as before.
    """
    contract = Contract("t", (), rate_per_s=LIMIT_PER_S, rate_burst=LIMIT_PER_S)
    contract = contract._replace(tokens_per_s=1e9, tokens_burst=1e9, in_flight_max=9999)
    fleet = Fleet(routers, {"t": contract})
    source = random.Random(7)
    admitted: Counter[int] = Counter()
    next_s = 0.0
    for tick in range(int(160 / TICK_S)):
        now_s = tick * TICK_S
        if tick == 200:
            fleet.cut = "zone-0"
        if tick == 300:
            fleet.set_routers(
                lambda node: [
                    p for p in fleet.places if not fleet.is_cut(p.name, node.name)
                ],
                now_s,
            )
        if tick == 1200:
            fleet.cut = None
            fleet.set_routers(lambda node: fleet.places, now_s)
        while next_s <= now_s:
            name = f"router-{source.randrange(routers)}"
            admitted[int(now_s)] += not fleet.admit(name, "t", now_s)
            next_s += source.expovariate(load * LIMIT_PER_S)
        fleet.end_requests(now_s)
        fleet.exchange(now_s, tick % PARTS, PARTS)
    row: dict[str, Any] = {"way": "summed", "case": "cut", "routers": routers}
    spans = {"before": (10, 20), "10_to_60s": (30, 80), "60_to_100s": (90, 120)}
    for name, (from_s, to_s) in {**spans, "after": (135, 160)}.items():
        mean = sum(admitted[s] for s in range(from_s, to_s)) / (to_s - from_s)
        row[f"{name}_over_limit"] = round(mean / LIMIT_PER_S, 2)
    return row


def run_in_flight(routers: int, load: float) -> dict:
    """Return requests in flight under a limit of 100, at `load` times it."""
    contract = Contract("t", (), rate_per_s=1e6, rate_burst=1e6, in_flight_max=100)
    contract = contract._replace(tokens_per_s=1e9, tokens_burst=1e9)
    fleet = Fleet(routers, {"t": contract})
    source = random.Random(7)
    seen, next_s, refused, offered = [], 0.0, 0, 0
    for tick in range(int(60 / TICK_S)):
        now_s = tick * TICK_S
        fleet.end_requests(now_s)
        while next_s <= now_s:
            offered += 1
            name = f"router-{source.randrange(routers)}"
            refused += bool(fleet.admit(name, "t", now_s))
            next_s += source.expovariate(load * 100 / SERVICE_S)
        if now_s > 15:
            seen.append(len(fleet.ending))
        fleet.exchange(now_s, tick % PARTS, PARTS)
    return {
        "way": "summed",
        "case": "in_flight",
        "routers": routers,
        "load": load,
        "mean_over_limit": round(sum(seen) / len(seen) / 100, 2),
        "max_over_limit": max(seen) / 100,
        "refused": round(refused / offered, 3),
    }


def run_full(
    routers: int = 370,
    teams: int = 2300,
    rate: float = 6500.0,
    run_s: float = 150.0,
    measured_from_s: float = 110.0,
) -> dict:
    """Return bytes, time and state with all teams, sizes as 1/rank (Zipf)."""
    source = random.Random(7)
    weights = [1.0 / (i + 1) for i in range(teams)]
    total = sum(weights)
    contracts = {}
    for i, weight in enumerate(weights):
        # One team in ten is close to its limit or above it, the others far below.
        mean = rate * weight / total
        limit = mean * (0.8 if i % 10 == 0 else 5.0)
        contracts[f"team-{i}"] = Contract(
            f"team-{i}", (), rate_per_s=limit, rate_burst=max(10.0, limit)
        )._replace(tokens_per_s=1e9, tokens_burst=1e9, in_flight_max=9999)
    names = list(contracts)
    fleet = Fleet(routers, contracts)
    admitted: Counter[str] = Counter()
    busy_s = 0.0
    for tick in range(int(run_s / TICK_S)):
        now_s = tick * TICK_S
        if now_s == measured_from_s:
            fleet.sent_bytes.clear()
            fleet.got_bytes.clear()
        count = int(rate * TICK_S)
        for team in source.choices(names, weights, k=count):
            limit = fleet.admit(f"router-{source.randrange(routers)}", team, now_s)
            admitted[team] += not limit and now_s >= measured_from_s
        fleet.end_requests(now_s)
        started_s = time.perf_counter()
        fleet.exchange(now_s, tick % PARTS, PARTS)
        busy_s += time.perf_counter() - started_s
    measured_s = run_s - measured_from_s
    limited = [t for i, t in enumerate(names) if i % 10 == 0 and i < 500]
    over = [admitted[t] / measured_s / contracts[t].rate_per_s - 1 for t in limited]
    free = sum(admitted[t] for i, t in enumerate(names) if i % 10)
    free_rate = rate * sum(w for i, w in enumerate(weights) if i % 10) / total
    return {
        "way": "summed",
        "case": "full",
        "routers": routers,
        "teams": teams,
        "limited_error_mean": round(sum(over) / len(over), 3),
        "limited_error_largest_team": round(over[0], 3),
        "unlimited_admitted": round(free / measured_s / free_rate, 3),
        "sent_bytes_per_s_mean": _rate(fleet, measured_s, lambda x: sum(x) / len(x)),
        "sent_bytes_per_s_max": _rate(fleet, measured_s, max),
        "got_bytes_per_s_max": round(max(fleet.got_bytes.values()) / measured_s, 1),
        "home_grant_bytes_per_s_mean": round(
            2 * rate / routers * (ENTRY_BYTES + DIGEST_OVERHEAD_BYTES), 1
        ),
        "exchange_core_share": round(busy_s / run_s / routers, 5),
    }


def measure_state_bytes() -> float:
    """Return the state of a router, in a tenth of the fleet with a tenth of all.

    Each router has as many teams to meet and to be the home of as in the whole
    fleet; the time of a run under `tracemalloc` allows no more.
    """
    tracemalloc.start()
    run_full(37, 230, 650.0, 60.0, 30.0)
    state_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return round(state_bytes / 37)


def measure_admit_us(teams: int) -> float:
    """Return µs of one decision."""
    contracts = [Contract(f"t{i}", ()) for i in range(teams)]
    limits = FleetLimits("r")
    rounds = 20_000
    started_s = time.perf_counter()
    for i in range(rounds):
        limits.admit(contracts[i % teams], 1.0, i / 1000)
    return round((time.perf_counter() - started_s) / rounds * 1e6, 2)


def measure() -> dict[str, float]:
    """Return the slopes that docs/CAPACITY.md needs."""
    # Shorter than the run of the design page; all visits have been sampled once.
    row = run_full(run_s=100.0, measured_from_s=70.0)
    return {
        "limits_us_per_request": measure_admit_us(2300),
        "limits_sent_bytes_per_s": row["sent_bytes_per_s_mean"],
        "limits_state_bytes_per_router": measure_state_bytes(),
        "limits_exchange_core_share": row["exchange_core_share"],
    }


def main() -> None:
    """Run all cases."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--full", action="store_true", help="370 routers, 2,300 teams")
    arguments = parser.parse_args()
    for routers in (8, 40, 370):
        for case in ("even", "skewed", "moving"):
            for load in (0.7, 2.0, 10.0):
                for row in run_case(routers, case, load):
                    print(json.dumps(row), flush=True)
        print(json.dumps(run_cut(routers)), flush=True)
        for load in (0.7, 3.0):
            print(json.dumps(run_in_flight(routers, load)), flush=True)
    for teams in (100, 500, 1000, 2300):
        print(json.dumps({"teams": teams, "admit_us": measure_admit_us(teams)}))
    if arguments.full:
        print(json.dumps(run_full()))
        print(json.dumps({"state_bytes_per_router": measure_state_bytes()}))


if __name__ == "__main__":
    main()
