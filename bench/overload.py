"""Goodput, waits and fairness of admission under load, against FIFO queues.

``python bench/overload.py`` prints one JSON line for each measurement;
``--plot docs/img/overload.svg`` also draws the goodput, ``--json`` keeps the lines.
All in simulated time with fixed seeds, but for the µs of a decision.
"""

import argparse
import json
import time
import tracemalloc
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from baselines import FifoQueue
from tamarackrill.decisions.admission import AdmissionQueue
from tamarackrill.decisions.estimates import compute_cost, is_short
from tamarackrill.decisions.waiting import WaitingRequest
from tamarackrill.testing.load import (
    SLOT_TOKENS_PER_S,
    Call,
    Outcome,
    Queue,
    make_calls,
    simulate_load,
)

SLOTS = 40
TEAMS = 10
QUEUE_MAX = 512
RUN_S = 300.0
WARM_UP_S = 60.0
LONG_TOKENS, LONG_PATIENCE_S = 400.0, 40.0
SHORT_TOKENS, SHORT_PATIENCE_S = 20.0, 5.0
SHORT_SHARE = 0.2
RETRIES = 3
LOADS = (0.5, 0.8, 1.0, 1.5, 2.0, 5.0, 10.0)
TEAM_COUNTS = (100, 500, 1000, 2300)

POLICIES: dict[str, Callable[[], Queue]] = {
    "tamarackrill": lambda: AdmissionQueue(QUEUE_MAX),
    "fifo": lambda: FifoQueue(QUEUE_MAX),
    "fifo_cancelling": lambda: FifoQueue(QUEUE_MAX, cancels=True),
}


def make_mix(team: str, load: float, from_s: float, to_s: float) -> list[Call]:
    """Return long and short calls that need `load` of all slots."""
    calls = []
    for size_tokens, patience_s, share in (
        (LONG_TOKENS, LONG_PATIENCE_S, 1.0 - SHORT_SHARE),
        (SHORT_TOKENS, SHORT_PATIENCE_S, SHORT_SHARE),
    ):
        rate = load * share * SLOTS * SLOT_TOKENS_PER_S / compute_cost(size_tokens)
        calls += make_calls(
            team, rate, from_s, to_s, size_tokens, patience_s, retries=RETRIES
        )
    return calls


def summarize(outcomes: Iterable[Outcome], from_s: float, to_s: float) -> dict:
    """Return goodput (share of all slots) and waits of answers by kind."""
    row: dict[str, Any] = {}
    kept = [o for o in outcomes if from_s <= o.ended_s < to_s]
    answered = [o for o in kept if o.result == "answered"]
    work = sum(compute_cost(o.call.size_tokens) for o in answered)
    row["goodput"] = round(work / SLOT_TOKENS_PER_S / SLOTS / (to_s - from_s), 3)
    for kind in ("short", "long"):
        of_kind = [o for o in kept if is_short(o.call.size_tokens) == (kind == "short")]
        waits = sorted(o.ended_s - o.sent_s for o in of_kind if o.result == "answered")
        row[f"{kind}_in_time"] = round(len(waits) / max(1, len(of_kind)), 3)
        row[f"{kind}_p99_s"] = round(waits[int(0.99 * len(waits))], 2) if waits else -1
    row["timeouts"] = sum(o.result == "timeout" for o in kept)
    return row


def measure_loads() -> list[dict]:
    """Return goodput and waits at 0.5 to 10 times what the slots can do."""
    rows = []
    for load in LOADS:
        calls = []
        for i in range(TEAMS):
            calls += make_mix(f"t{i}", load / TEAMS, 0.0, RUN_S)
        for policy, make in POLICIES.items():
            outcomes = simulate_load(make(), calls, SLOTS, RUN_S)
            row = summarize(outcomes, WARM_UP_S, RUN_S)
            rows.append({"measure": "load", "load": load, "policy": policy, **row})
    return rows


def _sum_asked(outcomes: Iterable[Outcome]) -> float:
    asked = [
        compute_cost(o.call.size_tokens)
        for o in outcomes
        if o.attempt == 0 and WARM_UP_S <= o.ended_s < RUN_S
    ]
    return sum(asked) / SLOT_TOKENS_PER_S / SLOTS / (RUN_S - WARM_UP_S)


def measure_surge() -> list[dict]:
    """Return Jain's index while one team sends ten times what the slots can do.

    What a team gets is measured by its answers in time over the lesser of what it
    asked for and its share; 1.0 for all is fair.
    """
    quiet = [f"t{i}" for i in range(1, TEAMS)]
    calls = make_mix("t0", 10.0, 0.0, RUN_S)
    for team in quiet:
        calls += make_mix(team, 0.6 / TEAMS, 0.0, RUN_S)
    rows = []
    for policy, make in POLICIES.items():
        outcomes = simulate_load(make(), calls, SLOTS, RUN_S)
        got = []
        for team in ["t0", *quiet]:
            own = [o for o in outcomes if o.call.team == team]
            part = summarize(own, WARM_UP_S, RUN_S)["goodput"]
            got.append(min(1.0, part / min(_sum_asked(own), 1.0 / TEAMS)))
        squares = sum(x * x for x in got)
        index = sum(got) ** 2 / (len(got) * squares) if squares else 0.0
        others = [o for o in outcomes if o.call.team != "t0"]
        row = summarize(others, WARM_UP_S, RUN_S)
        row = {"jain": round(index, 3), "worst": round(min(got), 3), "quiet": row}
        rows.append({"measure": "surge", "policy": policy, **row})
    return rows


def measure_recovery() -> list[dict]:
    """Return goodput after a minute at 10 times, and when refusals have ended."""
    calls = []
    for i in range(TEAMS):
        calls += make_mix(f"t{i}", 0.7 / TEAMS, 0.0, 900.0)
        calls += make_mix(f"s{i}", 10.0 / TEAMS, 60.0, 120.0)
    rows = []
    for policy, make in POLICIES.items():
        outcomes = simulate_load(make(), calls, SLOTS, 900.0)
        failed = [o.ended_s for o in outcomes if o.result != "answered"]
        rows.append(
            {
                "measure": "recovery",
                "policy": policy,
                "goodput_burst": summarize(outcomes, 60.0, 120.0)["goodput"],
                "goodput_after": summarize(outcomes, 120.0, 240.0)["goodput"],
                "last_failure_s": round(max(failed, default=0.0)),
            }
        )
    return rows


def _fill(teams: int) -> AdmissionQueue:
    queue = AdmissionQueue(4 * teams)
    for i in range(2 * teams):
        queue.offer(_make_request(i, teams), 0.0)
    return queue


def _make_request(i: int, teams: int) -> WaitingRequest:
    size_tokens = LONG_TOKENS if i % 3 else SHORT_TOKENS
    return WaitingRequest(
        f"request-{i}", f"team-{i % teams}", "p", 1.0, 0, size_tokens, 1e9, 0.0
    )


def measure_cost(teams: int) -> dict:
    """Return µs of a decision and bytes of state, two requests waiting a team."""
    tracemalloc.start()
    queue = _fill(teams)
    state_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    rounds = 2000
    started_s = time.perf_counter()
    for i in range(rounds):
        request = _make_request(2 * teams + i, teams)
        queue.offer(request, 1.0)
        for action in queue.dispatch("p", 1, 1.0):
            queue.release(action.request_id, 20.0)
    decision_s = (time.perf_counter() - started_s) / rounds
    started_s = time.perf_counter()
    queue.expire(2.0)
    return {
        "measure": "cost",
        "teams": teams,
        "offer_take_release_us": round(decision_s * 1e6, 1),
        "expire_us_per_waiting": round(
            (time.perf_counter() - started_s) * 1e6 / queue.count_waiting("p"), 2
        ),
        "bytes_per_waiting": round(state_bytes / (2 * teams)),
        "bytes_per_team": round(state_bytes / teams),
    }


def measure() -> dict[str, float]:
    """Return the slopes that docs/CAPACITY.md needs.

    Returns
    -------
    dict of str to float
        µs of one request's decisions and bytes of state per waiting request, at
        the largest number of teams.
    """
    row = measure_cost(TEAM_COUNTS[-1])
    return {
        "admission_us_per_request": row["offer_take_release_us"],
        "admission_expire_us_per_waiting": row["expire_us_per_waiting"],
        "admission_bytes_per_waiting": float(row["bytes_per_waiting"]),
    }


def plot(rows: list[dict], path: str) -> None:
    """Draw goodput and the lookups in time over load."""
    import matplotlib

    matplotlib.use("svg" if path.endswith("svg") else "agg")
    matplotlib.rcParams["svg.hashsalt"] = "overload"
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(9, 3.5))
    titles = {
        "goodput": "answers in time, share of all slots",
        "short_in_time": "lookups in time, share of attempts",
    }
    for axis, (field, title) in zip(axes, titles.items(), strict=True):
        for policy in POLICIES:
            points = [row for row in rows if row["policy"] == policy]
            loads = [row["load"] for row in points]
            axis.plot(loads, [row[field] for row in points], "o-", label=policy)
        axis.set(xlabel="load", title=title, xscale="log", ylim=(0, 1.05))
        axis.legend()
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None} if path.endswith("svg") else None)


def main() -> None:
    """Run all measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plot", help="file to draw into, .svg or .png")
    parser.add_argument("--json", help="file to write all lines into")
    arguments = parser.parse_args()
    loads = measure_loads()
    costs = [measure_cost(teams) for teams in TEAM_COUNTS]
    rows = [*loads, *measure_surge(), *measure_recovery(), *costs]
    lines = "".join(json.dumps(row) + "\n" for row in rows)
    print(lines, end="")
    if arguments.json:
        Path(arguments.json).write_text(lines)
    if arguments.plot:
        plot(loads, arguments.plot)


if __name__ == "__main__":
    main()
