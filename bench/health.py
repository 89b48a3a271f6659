"""Measure outlier detection, the cap and flap damping against none of them.

``python bench/health.py`` prints one table.  Seven routers serve one pool of five
endpoints; seeds are fixed, and every line meets the same requests.
"""

import random
from collections.abc import Callable
from typing import NamedTuple

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions import health as rules
from tamarackrill.decisions.health import Health
from tamarackrill.decisions.routing import LoadBalancer, PlacementRequest

ROUTERS = 7
RATE_PER_S = 20.0
DURATION_S = 300.0
BAD_FROM_S, BAD_UNTIL_S = 60.0, 180.0
USUAL_S, SLOW_S = 0.15, 3.0
LATE_S = 1.0
FLAP_S = 10.0
POOL = [f"engine-{i}" for i in range(5)]
BAD = "engine-1"
ENDPOINTS = [Endpoint(name, "engine", ("m",), "", "zone-1", slots=99) for name in POOL]

# First-token time of an engine at a time; None if the endpoint is not there.
Answer = Callable[[str, float], float | None]


class Result(NamedTuple):
    """What callers met while the endpoint was bad, and after."""

    late_share: float
    moves: int
    back_after_s: float


def _is_bad_time(now_s: float) -> bool:
    return BAD_FROM_S <= now_s < BAD_UNTIL_S


def one_slow(name: str, now_s: float) -> float | None:
    """One endpoint is twenty times slower."""
    return SLOW_S if name == BAD and _is_bad_time(now_s) else USUAL_S


def all_slow(name: str, now_s: float) -> float | None:
    """All endpoints are twenty times slower."""
    return SLOW_S if _is_bad_time(now_s) else USUAL_S


def flapping(name: str, now_s: float) -> float | None:
    """One endpoint is away for five of each ten seconds."""
    is_away = now_s % FLAP_S < FLAP_S / 2
    return None if name == BAD and _is_bad_time(now_s) and is_away else USUAL_S


class _Run:
    """One run; holds the routers' states."""

    def __init__(self, answer: Answer, seed: int) -> None:
        self.answer = answer
        self.random = random.Random(seed)
        self.states = [Health() for _ in range(ROUTERS)]
        self.placements = [LoadBalancer(2.0) for _ in range(ROUTERS)]
        self.present = dict.fromkeys(POOL, True)
        self.homes: dict[int, str] = {}
        self.moves = self.late = self.met = 0
        self.back_s = 0.0

    def step(self, now_s: float) -> None:
        """Tell the routers of membership, probe, and send one request."""
        for name in POOL:
            is_present = self.answer(name, now_s) is not None
            if is_present != self.present[name]:
                self.present[name] = is_present
                for state in self.states:
                    tell = state.observe_present if is_present else state.observe_absent
                    tell(name, now_s)
        for state in self.states:
            due = state.next_probe(now_s)
            if due is not None:
                wait_s = self.answer(due, now_s)
                state.observe_probe(due, wait_s is not None, wait_s, POOL, now_s)
        self.send(self.random.randrange(500), now_s)

    def send(self, chat: int, now_s: float) -> None:
        """Send a request of a chat through its home."""
        router = chat % ROUTERS
        state, placement = self.states[router], self.placements[router]
        there = [name for name in POOL if self.present[name]]
        allowed = set(state.find_allowed(there, now_s))
        live = [endpoint for endpoint in ENDPOINTS if endpoint.name in allowed]
        request = PlacementRequest(f"{chat}/{now_s}", f"chat-{chat}")
        choice = placement.choose(request, live, now_s)
        assert choice is not None
        name = choice.endpoint.name
        wait_s = self.answer(name, now_s) or USUAL_S
        state.observe_answer(name, True, wait_s, POOL, now_s)
        self.moves += self.homes.get(chat, name) != name
        self.homes[chat] = name
        if _is_bad_time(now_s):
            self.met += 1
            self.late += wait_s > LATE_S
        elif now_s > BAD_UNTIL_S and name == BAD and not self.back_s:
            self.back_s = now_s - BAD_UNTIL_S


def run(answer: Answer, seed: int = 1) -> Result:
    """Return what the callers of one run met."""
    state = _Run(answer, seed)
    for number in range(int(DURATION_S * RATE_PER_S)):
        state.step(number / RATE_PER_S)
    return Result(state.late / state.met, state.moves, state.back_s)


def _show(name: str, answer: Answer, **off: float) -> None:
    """Print a line with and without a mechanism."""
    kept = {key: getattr(rules, key) for key in off}
    for label, values in (("on", kept), ("off", off)):
        for key, value in values.items():
            setattr(rules, key, value)
        found = run(answer)
        print(
            f"{name:34} {label:4} late {found.late_share:.3f}"
            f"  moves of chats {found.moves:5}  back after {found.back_after_s:.1f} s",
            flush=True,
        )
    for key, value in kept.items():
        setattr(rules, key, value)


def main() -> None:
    """Print the table."""
    never = 1e9
    _show("one slow: comparison", one_slow, SLOW_MULTIPLE=never)
    _show("all slow: relative to peers", all_slow, SLOW_MULTIPLE=0.0)
    _show("flap: damping", flapping, PENALTY_STOP=never)


if __name__ == "__main__":
    main()
