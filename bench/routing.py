"""Measure cache reuse and load skew of the placement against named baselines.

``python bench/routing.py`` prints the tables and writes docs/img/routing.json and
docs/img/routing.svg; ``--quick`` prints those of one scenario.  Seeds are fixed; all
policies of a scenario meet the same requests and faults.
"""

import argparse
import json
import sys
import time
import tracemalloc
from pathlib import Path
from typing import Any

from placement_driver import (
    BASELINES,
    KNOWLEDGE,
    OWNERS,
    Driver,
    Knowledge,
    Outcome,
    Pick,
    Scenario,
    pick_hashed,
    pick_placed,
)
from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.cache_index import CacheIndex
from tamarackrill.decisions.loads import Loads
from tamarackrill.decisions.reservations import Reservations
from tamarackrill.decisions.routing import LoadBalancer, PlacementRequest

IMAGES = Path(__file__).parent.parent / "docs" / "img"
LOAD_FACTORS = (1.05, 1.1, 1.25, 1.5, 1.75, 2.0, 2.5, 3.0)
SEEDS = (1, 2, 3)
SIZES = (50, 100, 400, 800)

# Five engines behind seven routers, as both run today.  Their request rates are not
# known: four a second of six seconds each keep five requests at each engine.
CEGIN = Scenario("cegin-ddata", 7, 5, 4, 4.0, 6.0, 400, 120)
# The co-operative's chats are fewer and longer, and its zones are cut more often.
COOP = Scenario("co-operative", 7, 5, 3, 4.0, 6.0, 200, 80, churn_every_s=12.0)
# One model of 23 at the size of two years hence: 780 / 23 engines, 6,500 / 23
# requests a second, and 430 tokens of 46 ms for each answer.
FULL = Scenario(
    "full-size-model",
    routers=370,
    engines=34,
    zones=8,
    rate_per_s=283.0,
    service_s=20.0,
    chats=20_000,
    cached_chats=900,
    duration_s=120.0,
    router_every_s=40.0,
)


def run(
    scenario: Scenario,
    pick: Pick = pick_placed,
    load_factor: float = 1.5,
    knowledge: Knowledge = OWNERS,
) -> Outcome:
    """Return the mean outcome over the seeds, and the worst of the worst."""
    seeds = SEEDS if scenario.engines < 10 else SEEDS[:1]
    found = [
        Driver(scenario, pick, load_factor, knowledge, seed).run() for seed in seeds
    ]
    means = [sum(values) / len(found) for values in zip(*found, strict=True)]
    return Outcome(*means)._replace(worst=max(one.worst for one in found))


def show(name: str, outcome: Outcome) -> None:
    """Print one line of a table."""
    print(
        f"  {name:28} reuse {outcome.reuse:.3f}  max/mean {outcome.skew_mean:.2f}"
        f" p99 {outcome.skew_p99:.2f}  over {outcome.over_bound:.4f}"
        f" settled {outcome.over_settled:.4f} worst {outcome.worst:.2f}"
        f"  asks {outcome.asks:.2f} last {outcome.forced:.4f}",
        flush=True,
    )


def compare(scenario: Scenario, load_factor: float) -> dict[str, Any]:
    """Print and return the baselines and the ways to know others' load."""
    print(f"{scenario.name}, c = {load_factor}")
    found = {name: run(scenario, pick, load_factor) for name, pick in BASELINES.items()}
    for name, knowledge in KNOWLEDGE.items():
        found[name] = run(scenario, pick_placed, load_factor, knowledge)
    for name, outcome in found.items():
        show(name, outcome)
    return {name: outcome._asdict() for name, outcome in found.items()}


def draw_curve(scenario: Scenario) -> list[dict[str, float]]:
    """Print and return reuse, relative to plain hashing, and skew over c."""
    print(f"{scenario.name}, curve over c")
    plain = run(scenario, pick_hashed)
    points = []
    for load_factor in LOAD_FACTORS:
        outcome = run(scenario, load_factor=load_factor)
        show(f"c = {load_factor}", outcome)
        points.append(
            {
                "load_factor": load_factor,
                "reuse_of_plain": outcome.reuse / plain.reuse,
                **outcome._asdict(),
            }
        )
    return points


def plot(curves: dict[str, list[dict[str, float]]], path: Path) -> None:
    """Draw skew against reuse, one point for each c."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(6.4, 4.2))
    for name, points in curves.items():
        skews = [point["skew_p99"] for point in points]
        reuses = [point["reuse_of_plain"] for point in points]
        axes.plot(skews, reuses, marker="o", label=name)
        for point in points:
            place = (point["skew_p99"], point["reuse_of_plain"])
            axes.annotate(f"{point['load_factor']:g}", place, fontsize=7)
    axes.set_xlabel("max/mean of requests in flight, p99 over time")
    axes.set_ylabel("cache reuse, share of plain consistent hashing")
    axes.set_title("Skew against reuse through churn; labels give c")
    axes.grid(alpha=0.3)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)


def make_pool(count: int) -> list[Endpoint]:
    """Return `count` engines of one model."""
    return [
        Endpoint(f"engine-{i:04}", "engine", ("model",), "10.0.0.1:80", "zone-1")
        for i in range(count)
    ]


def time_us(action: Any, repeats: int) -> float:
    """Return the mean time of one call."""
    started_s = time.perf_counter()
    for number in range(repeats):
        action(number)
    return (time.perf_counter() - started_s) / repeats * 1e6


def count_bytes(build: Any) -> int:
    """Return the bytes that what `build` returns holds."""
    tracemalloc.start()
    kept = build()
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size_bytes


def _measure_decision(count: int) -> dict[str, float]:
    pool, placement, owner = make_pool(count), LoadBalancer(1.5), Reservations(1.5)
    for endpoint in pool:
        placement.observe_report(endpoint.name, 3, 0.0, 1.0)
        owner.loads.observe_report(endpoint.name, 3, 0.0, 1.0)

    def choose(number: int) -> None:
        placement.choose(PlacementRequest("r", f"chat-{number}"), pool, 1.0)

    def reserve(number: int) -> None:
        owner.reserve(f"{number}", pool[number % count], pool, "a", 9.0, 1.0)

    return {
        "endpoints": count,
        "choose_us": time_us(choose, 400),
        "reserve_us": time_us(reserve, 400),
    }


def _build_chats(count: int) -> CacheIndex:
    index = CacheIndex(count)
    for number in range(count):
        index.record_send(f"team-{number % 97}/chat-{number:08}", "engine", 1, 1.0)
    return index


def _build_loads(count: int) -> Loads:
    loads = Loads()
    for number in range(count):
        loads.observe_report(f"engine-{number:04}", 5, 1.0, 1.5)
        loads.start(f"engine-{number:04}", 1.0)
    return loads


def measure() -> dict[str, Any]:
    """Return the time of a decision and the bytes of its state, by size.

    Returns
    -------
    dict
        ``decisions``: for each number of endpoints of one pool, the microseconds of
        a choice and of an owner's answer; ``bytes_per_chat`` and
        ``bytes_per_endpoint``: slopes between the smallest and the largest size.
    """
    small, large = 1_000, 10_000
    chats = count_bytes(lambda: _build_chats(large)) - count_bytes(
        lambda: _build_chats(small)
    )
    endpoints = count_bytes(lambda: _build_loads(SIZES[-1])) - count_bytes(
        lambda: _build_loads(SIZES[0])
    )
    return {
        "decisions": [_measure_decision(count) for count in SIZES],
        "bytes_per_chat": chats / (large - small),
        "bytes_per_endpoint": endpoints / (SIZES[-1] - SIZES[0]),
    }


def main(arguments: list[str]) -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="one scenario only")
    parser.add_argument("--costs", action="store_true", help="time and bytes only")
    options = parser.parse_args(arguments)
    costs = measure()
    print(json.dumps(costs, indent=1))
    if options.costs:
        return
    if options.quick:
        compare(CEGIN, 1.5)
        return
    curves = {scenario.name: draw_curve(scenario) for scenario in (CEGIN, COOP)}
    tables = {scenario.name: compare(scenario, 1.5) for scenario in (CEGIN, COOP, FULL)}
    IMAGES.mkdir(parents=True, exist_ok=True)
    found = {"costs": costs, "curves": curves, "tables": tables}
    (IMAGES / "routing.json").write_text(json.dumps(found, indent=1) + "\n")
    plot(curves, IMAGES / "routing.svg")


if __name__ == "__main__":
    main(sys.argv[1:])
