"""Claims in simulated time: platform calls, waits and processor time by rate.

The functions that the daemon runs are driven by a platform that answers after
`ANSWER_S`.  Three ways are compared on the same arrivals: one object for each claim
(the baseline), buckets written by whichever router has the call, and buckets whose
calls all go to one router, the bucket's home.
"""

import heapq
import json
import random
import time
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

from slopes import Fit, count_bytes, fit, time_us
from tamarackrill.decisions import claims
from tamarackrill.decisions.claim_buckets import (
    AddClaim,
    Claim,
    encode_entries,
    find_bucket,
    format_attempt,
    hash_claim_key,
    merge_changes,
)
from tamarackrill.decisions.claim_messages import (
    BucketRead,
    BucketWritten,
    ClaimRequested,
    Granted,
    Message,
    ReadBucket,
    Refused,
    RunEnded,
    TimePassed,
    WriteBucket,
    WriteConflicted,
)

SEED = 4
DURATION_S = 12.0
ANSWER_S = 0.003
RUN_S = 0.2
TIMEOUT_S = 30.0
RATES = (10, 50, 150, 325)
ROUTERS = 8
TARGET_ROUTERS = 370
# The brief names no share of calls that may not repeat; 1 in 20 of 6,500 is taken.
TARGET_RATE = 325
CLAIMS_KEPT = (500, 1000, 2000, 4000)
WAIT_QUANTILE = 0.95

Route = Callable[[random.Random, str, int], int]


class Result(NamedTuple):
    """Figures of one run."""

    writes_per_s: float
    conflicts_per_s: float
    reads_per_s: float
    wait_p95_ms: float
    refused_share: float
    cpu_us_per_claim: float


class Simulation:
    """Routers and one platform; events in the order of their time."""

    def __init__(self, routers: int) -> None:
        self.states = [claims.Claims(f"r{i}", "0") for i in range(routers)]
        self.objects: dict[str, tuple[int, dict[str, Claim]]] = {}
        self.counts: Counter[str] = Counter()
        self.asked_s: dict[int, float] = {}
        self.waits_s: list[float] = []
        self.cpu_s = 0.0
        self._events: list[tuple[float, int, int, Any]] = []
        self._timers: dict[int, float] = {}

    def put(self, at_s: float, router: int, event: Any) -> None:
        """Have a router take a message, or the platform a call, at a time."""
        self.counts["events"] += 1
        heapq.heappush(self._events, (at_s, self.counts["events"], router, event))

    def run(self) -> None:
        """Take all events until `DURATION_S`."""
        while self._events and self._events[0][0] < DURATION_S:
            now_s, _, router, event = heapq.heappop(self._events)
            if isinstance(event, ReadBucket | WriteBucket):
                self.put(now_s + ANSWER_S / 2, router, self._answer(event))
                continue
            if isinstance(event, TimePassed) and self._timers.get(router) != now_s:
                continue
            self._step(router, event, now_s)

    def _answer(self, event: ReadBucket | WriteBucket) -> Message:
        version, entries = self.objects.get(event.bucket, (0, {}))
        if isinstance(event, ReadBucket):
            self.counts["reads"] += 1
            return BucketRead(event.bucket, version, entries)
        self.counts["writes"] += 1
        if event.expected_version != version:
            self.counts["conflicts"] += 1
            return WriteConflicted(event.bucket, version, entries)
        self.objects[event.bucket] = version + 1, event.entries
        return BucketWritten(event.bucket, version + 1)

    def _step(self, router: int, message: Message, now_s: float) -> None:
        state = self.states[router]
        start_s = time.perf_counter()
        actions = claims.step(state, message, now_s)
        due_s = claims.next_due_s(state)
        self.cpu_s += time.perf_counter() - start_s
        for action in actions:
            if isinstance(action, ReadBucket | WriteBucket):
                self.put(now_s + ANSWER_S / 2, router, action)
            elif isinstance(action, Granted):
                self.waits_s.append(now_s - self.asked_s[action.request])
                ended = RunEnded(action.key_hash, action.attempt, True)
                self.put(now_s + RUN_S, router, ended)
            elif isinstance(action, Refused):
                self.counts["refused"] += 1
        if due_s is not None and self._timers.get(router) != due_s:
            self._timers[router] = due_s
            self.put(max(now_s, due_s), router, TimePassed())
            self._timers[router] = max(now_s, due_s)


def simulate(rate_per_s: int, routers: int, route: Route) -> Result:
    """Return the figures of one rate of claims, each with a key of its own."""
    generator = random.Random(SEED)
    simulation = Simulation(routers)
    at_s = generator.expovariate(rate_per_s)
    number = 0
    while at_s < DURATION_S - 1:
        number += 1
        key_hash = hash_claim_key("team", f"key-{number}")
        asked = ClaimRequested(number, key_hash, at_s + TIMEOUT_S)
        simulation.asked_s[number] = at_s
        simulation.put(at_s, route(generator, key_hash, routers), asked)
        at_s += generator.expovariate(rate_per_s)
    simulation.run()
    counts, waits_s = simulation.counts, sorted(simulation.waits_s)
    return Result(
        round(counts["writes"] / DURATION_S, 1),
        round(counts["conflicts"] / DURATION_S, 1),
        round(counts["reads"] / DURATION_S, 1),
        round(1000 * waits_s[int(len(waits_s) * WAIT_QUANTILE)], 1),
        round(counts["refused"] / number, 4),
        round(1e6 * simulation.cpu_s / number, 1),
    )


def route_anywhere(generator: random.Random, key_hash: str, routers: int) -> int:
    """Send a call to any router."""
    return generator.randrange(routers)


def route_home(generator: random.Random, key_hash: str, routers: int) -> int:
    """Send all calls of a bucket to one router."""
    return int(find_bucket(key_hash)[:3]) % routers


def simulate_baseline(rate_per_s: int, routers: int) -> Result:
    """Return the figures of one object for each claim."""
    grouped = claims.find_bucket
    claims.find_bucket = lambda key_hash: key_hash
    try:
        return simulate(rate_per_s, routers, route_anywhere)
    finally:
        claims.find_bucket = grouped


def weigh_claims(count: int) -> float:
    """Return the bytes that cached claims take in memory."""
    return float(count_bytes(lambda: _make_entries(count)))


def _make_entries(count: int) -> dict[str, Claim]:
    return {
        hash_claim_key("team", f"key-{number}"): Claim(
            format_attempt("caerdydd-a-1", "0123456789abcdef", number),
            "claimed",
            1e9 + number,
        )
        for number in range(count)
    }


def weigh_value(count: int) -> float:
    """Return the bytes of a bucket's value on its way to the platform."""
    return float(len(json.dumps(encode_entries(_make_entries(count)))))


def time_write(count: int) -> float:
    """Return the processor time of merging one claim and encoding the value."""
    entries = _make_entries(count)
    add = AddClaim(1, "f" * 24, "r/0/1", 0.0, 1.0, 1.0, 2e9)

    def write() -> None:
        json.dumps(encode_entries(merge_changes(entries, [add], 1.0).entries))

    return time_us(write, 10)


def _fit(unit: str, measure_one: Callable[[int], float]) -> Fit:
    values = [measure_one(count) for count in CLAIMS_KEPT]
    return fit(unit, "claim", CLAIMS_KEPT, values)


def measure() -> dict[str, Any]:
    """Return all figures; those named ``claims_`` are for the size expected."""
    rows = [
        {
            "rate_per_s": rate,
            "one_object_each": simulate_baseline(rate, ROUTERS)._asdict(),
            "any_router": simulate(rate, ROUTERS, route_anywhere)._asdict(),
            "home": simulate(rate, ROUTERS, route_home)._asdict(),
        }
        for rate in RATES
    ]
    target = simulate(TARGET_RATE, TARGET_ROUTERS, route_home)
    spread = simulate(TARGET_RATE, TARGET_ROUTERS, route_anywhere)
    state = _fit("bytes", weigh_claims)
    cpu_s = target.cpu_us_per_claim * TARGET_RATE / 1e6
    busiest_share = 1 / len({find_bucket(f"{n:08x}" + "0" * 16) for n in range(64)})
    return {
        "rates": rows,
        "target_home": target._asdict(),
        "target_any_router": spread._asdict(),
        "claim_bytes": state,
        "value_bytes": _fit("bytes", weigh_value),
        "write_us": _fit("µs", time_write),
        "claims_core_share": cpu_s * busiest_share,
        "claims_state_bytes": state.at(claims.CACHED_CLAIMS_MAX),
        "claims_writes_per_s": target.writes_per_s,
        "claims_reads_per_s": target.reads_per_s,
    }


if __name__ == "__main__":
    print(json.dumps(measure(), indent=1))
