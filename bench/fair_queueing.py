"""Start-time fair queueing against deficit round robin.

``python bench/fair_queueing.py`` prints one line of JSON for each way and number
of teams.  Simulated time and fixed seeds, but for the µs of a decision.
"""

import itertools
import json
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from baselines import DeficitRoundRobin
from tamarackrill.decisions.fairness import FairScheduler

WAYS: dict[str, Callable[[], Any]] = {
    "start_time_fair_queueing": FairScheduler,
    "deficit_round_robin": DeficitRoundRobin,
}
TEAM_COUNTS = (10, 100, 1000, 2300)
# Costs of waiting requests, in tokens: lookups, answers and drafts.
COSTS = (7, 200, 27, 1000, 407)
WINDOW_TOKENS_PER_TEAM = 2000


def measure_turns(way: Callable[[], Any], teams: int) -> dict[str, float]:
    """Return how fair the turns are, and how long a team that comes in waits.

    All teams wait all the time, every fourth with weight 3.  In windows of 2,000
    tokens of work for each team, the worst team's service by weight is compared
    with the mean.  A team that comes in is served after so many tokens of others.
    """
    scheduler = way()
    names = [f"t{i}" for i in range(teams)]
    weights = {name: 3.0 if i % 4 == 0 else 1.0 for i, name in enumerate(names)}
    costs = {name: itertools.cycle(COSTS) for name in names}
    for i, name in enumerate(names):
        scheduler.join(name, "any")
        for _ in range(i % len(COSTS)):
            next(costs[name])
    worst = []
    started_s = time.perf_counter()
    decisions = 0
    for _ in range(5):
        done: Counter[str] = Counter()
        total = 0
        while total < WINDOW_TOKENS_PER_TEAM * teams:
            team = scheduler.find_first("any")
            cost = next(costs[team])
            scheduler.serve(team, cost, weights[team])
            done[team] += cost
            total += cost
            decisions += 1
        mean = total / sum(weights.values())
        worst.append(min(done[name] / weights[name] for name in names) / mean)
    took_s = time.perf_counter() - started_s
    waits = [_measure_entry(scheduler, costs, weights) for _ in range(20)]
    return {
        "worst_share": round(min(worst), 3),
        "entry_wait_mean_tokens": round(sum(waits) / len(waits)),
        "entry_wait_max_tokens": max(waits),
        "decision_us": round(took_s / decisions * 1e6, 2),
    }


def _measure_entry(
    scheduler: Any, costs: dict[str, Any], weights: dict[str, float]
) -> int:
    scheduler.join("new", "any")
    waited = 0
    while (team := scheduler.find_first("any")) != "new":
        cost = next(costs[team])
        scheduler.serve(team, cost, weights[team])
        waited += cost
    scheduler.serve("new", 200, 1.0)
    scheduler.leave("new", "any")
    for _ in range(len(costs)):
        team = scheduler.find_first("any")
        scheduler.serve(team, next(costs[team]), weights[team])
    return waited


def main() -> None:
    """Print the table."""
    for teams in TEAM_COUNTS:
        for name, way in WAYS.items():
            row = {"way": name, "teams": teams, **measure_turns(way, teams)}
            print(json.dumps(row))


if __name__ == "__main__":
    main()
