"""Callers and slots in simulated time, to drive an admission queue in one process.

It stands in for what lies around the queue of one router: callers with deadlines
that may try again, and slots of one endpoint pool.  Nothing here decides anything.
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
    """What `AdmissionQueue` and the baselines of the benchmarks have in common."""

    def offer(self, request: WaitingRequest, now_s: float) -> list[Refuse]:
        """Queue or refuse a request."""

    def dispatch(self, pool_name: str, slots_free: int, now_s: float) -> list[Action]:
        """Start requests."""

    def release(self, request_id: str, now_s: float) -> None:
        """Take note of a finished request."""

    def expire(self, now_s: float) -> list[Refuse]:
        """Refuse what is late."""

    def cancel(self, request_id: str) -> bool:
        """Forget a waiting request."""


class Call(NamedTuple):
    """What one caller wants."""

    team: str
    arrives_s: float
    size_tokens: float
    patience_s: float
    weight: float = 1.0
    priority: int = 0
    retries: int = 0


class Outcome(NamedTuple):
    """How one attempt of a call ended for its caller.

    Parameters
    ----------
    call : Call
        What was wanted.
    attempt : int
        0 for the first.
    result : str
        ``"answered"`` (in time), ``"timeout"`` or the code of a refusal.
    sent_s, ended_s : float
        When the caller sent it, and when the caller knew the result.
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


class _Run:
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
            size_tokens = 0.0  # the caller has gone; a baseline starts it all the same
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
    """Play `calls` against `queue` and return how each attempt ended.

    Parameters
    ----------
    queue : Queue
        State under test; it is changed.
    calls : iterable of Call
        What the callers want.  A caller that is refused comes back after
        Retry-After, one that ran into its deadline at once, `Call.retries` times.
    slots : int
        Requests that the pool works on at once.
    until_s : float
        When the callers stop and the run ends.
    seed : int, default=1
        Seed of the service times.
    spread : float, default=0.2
        Service times vary by this share, evenly.

    Returns
    -------
    list of Outcome
        In order of time; attempts open at `until_s` are left out.
    """
    run = _Run(queue, slots, seed, spread)
    for call in calls:
        run.send(call, 0, call.arrives_s)
    run.push(TICK_S, "tick", "")
    while run.events and run.events[0][0] <= until_s:
        now_s, _, kind, request_id = heapq.heappop(run.events)
        if kind == "tick":
            run.apply(queue.expire(now_s), now_s)
            run.push(now_s + TICK_S, "tick", "")
        else:
            getattr(run, kind)(request_id, now_s)
        run.apply(queue.dispatch(POOL, run.free, now_s), now_s)
    return run.outcomes


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
    """Return calls of one team with random (Poisson) arrivals."""
    source = random.Random(f"{team}/{size_tokens}/{seed}")
    calls = []
    at_s = from_s + source.expovariate(rate_per_s)
    while at_s < to_s:
        calls.append(Call(team, at_s, size_tokens, patience_s, weight, retries=retries))
        at_s += source.expovariate(rate_per_s)
    return calls
