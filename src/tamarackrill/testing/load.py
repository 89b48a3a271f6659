"""Load simulation for an admission queue, in virtual time and one process.

It simulates the environment of one router's queue: callers with deadlines and retries,
and the slots of one endpoint pool.  All admission decisions are the queue's.
"""

import heapq
import random
from collections.abc import Iterable
from typing import NamedTuple, Protocol

from tamarackrill.decisions.admission import Action, Refuse, Start
from tamarackrill.decisions.estimates import compute_cost
from tamarackrill.decisions.waiting import WaitingRequest

POOL = "pool"
TICK_S = 0.25
SLOT_TOKENS_PER_S = 1 / 0.046


class Queue(Protocol):
    """Interface shared by `AdmissionQueue` and the baselines of the benchmarks."""

    def offer(self, request: WaitingRequest, now_s: float) -> list[Refuse]:
        """Queue or refuse a request."""

    def dispatch(self, pool_name: str, slots_free: int, now_s: float) -> list[Action]:
        """Start waiting requests in free slots."""

    def release(self, request_id: str, now_s: float) -> None:
        """Record that a request has finished."""

    def expire(self, now_s: float) -> list[Refuse]:
        """Refuse requests that cannot meet their deadlines."""

    def cancel(self, request_id: str) -> bool:
        """Remove a waiting request."""


class Call(NamedTuple):
    """One call: its request, deadline and retries."""

    team: str
    arrives_s: float
    size_tokens: float
    patience_s: float
    weight: float = 1.0
    priority: int = 0
    retries: int = 0


class Outcome(NamedTuple):
    """Result of one attempt of a call, as its caller sees it.

    Parameters
    ----------
    call : Call
        The call that was attempted.
    attempt : int
        Number of the attempt, from 0.
    result : str
        ``"answered"`` (in time), ``"timeout"`` or the code of a refusal.
    sent_s, ended_s : float
        When the caller sent the attempt, and when it got the result.
    """

    call: Call
    attempt: int
    result: str
    sent_s: float
    ended_s: float


class _Attempt(NamedTuple):
    call: Call
    number: int
    sent_s: float


class _Simulation:
    def __init__(self, queue: Queue, slots: int, seed: int, spread: float) -> None:
        self.queue = queue
        self.free = slots
        self.random = random.Random(seed)
        self.spread = spread
        self.events: list[tuple[float, int, str, str]] = []
        self.attempts: dict[str, _Attempt] = {}
        self.open: set[str] = set()
        self.outcomes: list[Outcome] = []
        self.sequence = 0

    def push(self, at_s: float, kind: str, request_id: str) -> None:
        self.sequence += 1
        heapq.heappush(self.events, (at_s, self.sequence, kind, request_id))

    def send(self, call: Call, number: int, at_s: float) -> None:
        request_id = f"{call.team}/{self.sequence}/{number}"
        self.attempts[request_id] = _Attempt(call, number, at_s)
        self.push(at_s, "arrive", request_id)

    def arrive(self, request_id: str, now_s: float) -> None:
        call = self.attempts[request_id].call
        due_s = now_s + call.patience_s
        request = WaitingRequest(
            request_id,
            call.team,
            POOL,
            call.weight,
            call.priority,
            call.size_tokens,
            due_s,
            now_s,
        )
        self.open.add(request_id)
        self.push(due_s, "timeout", request_id)
        self.apply(self.queue.offer(request, now_s), now_s)

    def finish(self, request_id: str, now_s: float) -> None:
        self.free += 1
        self.queue.release(request_id, now_s)
        self.end(request_id, "answered", now_s, 0.0)

    def timeout(self, request_id: str, now_s: float) -> None:
        if request_id in self.open:
            self.queue.cancel(request_id)
            self.end(request_id, "timeout", now_s, 0.0)

    def end(
        self, request_id: str, result: str, now_s: float, retry_after_s: float
    ) -> None:
        if request_id not in self.open:
            return
        self.open.remove(request_id)
        call, number, sent_s = self.attempts.pop(request_id)
        self.outcomes.append(Outcome(call, number, result, sent_s, now_s))
        if result != "answered" and number < call.retries:
            self.send(call, number + 1, now_s + retry_after_s)

    def apply(self, actions: Iterable[Action], now_s: float) -> None:
        for action in actions:
            if isinstance(action, Start):
                self.start(action.request_id, now_s)
            else:
                self.end(action.request_id, action.code, now_s, action.retry_after_s)

    def start(self, request_id: str, now_s: float) -> None:
        self.free -= 1
        if request_id in self.attempts:
            size_tokens = self.attempts[request_id].call.size_tokens
        else:
            size_tokens = 0.0  # a baseline may start a request that timed out
        service_s = compute_cost(size_tokens) / SLOT_TOKENS_PER_S
        service_s *= 1.0 + self.random.uniform(-self.spread, self.spread)
        self.push(now_s + service_s, "finish", request_id)


def simulate_load(
    queue: Queue,
    calls: Iterable[Call],
    slots: int,
    until_s: float,
    seed: int = 1,
    spread: float = 0.2,
) -> list[Outcome]:
    """Simulate `calls` against `queue` and return the outcome of each attempt.

    Parameters
    ----------
    queue : Queue
        Queue under test; it is modified.
    calls : iterable of Call
        Calls to make.  Up to `Call.retries` times, a caller retries: after Retry-After
        if it was refused, at once if it timed out.
    slots : int
        Requests that the pool processes concurrently.
    until_s : float
        When the callers stop and the run ends.
    seed : int, default=1
        Seed of the service times.
    spread : float, default=0.2
        Service times vary uniformly by up to this fraction.

    Returns
    -------
    list of Outcome
        In order of time, without the attempts still open at `until_s`.
    """
    simulation = _Simulation(queue, slots, seed, spread)
    for call in calls:
        simulation.send(call, 0, call.arrives_s)
    simulation.push(TICK_S, "tick", "")
    while simulation.events and simulation.events[0][0] <= until_s:
        now_s, _, kind, request_id = heapq.heappop(simulation.events)
        if kind == "tick":
            simulation.apply(queue.expire(now_s), now_s)
            simulation.push(now_s + TICK_S, "tick", "")
        else:
            getattr(simulation, kind)(request_id, now_s)
        simulation.apply(queue.dispatch(POOL, simulation.free, now_s), now_s)
    return simulation.outcomes


def make_calls(
    team: str,
    rate_per_s: float,
    from_s: float,
    to_s: float,
    size_tokens: float,
    patience_s: float,
    seed: int = 1,
    weight: float = 1.0,
    retries: int = 0,
) -> list[Call]:
    """Return calls of one team with Poisson arrivals."""
    source = random.Random(f"{team}/{size_tokens}/{seed}")
    calls = []
    at_s = from_s + source.expovariate(rate_per_s)
    while at_s < to_s:
        calls.append(Call(team, at_s, size_tokens, patience_s, weight, retries=retries))
        at_s += source.expovariate(rate_per_s)
    return calls
