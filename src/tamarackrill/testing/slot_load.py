"""Clients, routers and workers of one plain service, in virtual time and one process.

It simulates clients that retry, the delays between routers, loads that are known late,
and workers that run as many calls as they have slots and queue some more.  How routers
decide is a policy; `slot_routers` has that of docs/design/capacity-sharing.md.
"""

import heapq
import math
import random
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple, Protocol

from tamarackrill.decisions.capacity.load_reports import LoadReport

# Delay one way between routers of one availability zone and of two.
ZONE_DELAY_S = 0.0002
CROSS_DELAY_S = 0.0014
WORKER_QUEUE = 24
# Interval in which routers tell each other the loads of endpoints.
NEWS_INTERVAL_S = 1.0
# Retry-After of a router that finds all workers' queues full.
FULL_RETRY_S = 0.1
# As on the design page.
RETRY_TIME_SHARE = 1 / 3


class SlotCall(NamedTuple):
    """One call of a client, with its retries."""

    team: str
    arrives_s: float
    work_s: float = 0.045
    urgency: int = 0
    weight: float = 1.0
    route: str = "lookup"
    objective_s: float = 0.215
    deadline_s: float = 1.076
    retries: int = 1
    is_immediate: bool = False
    zone: int | None = None


class SlotOutcome(NamedTuple):
    """What a client got: ``"served"``, ``"rejected"`` or ``"timeout"``."""

    call: SlotCall
    result: str
    ended_s: float
    attempts: int

    @property
    def is_in_time(self) -> bool:
        """Whether it was served within the objective."""
        took_s = self.ended_s - self.call.arrives_s
        return self.result == "served" and took_s <= self.call.objective_s


class Attempt:
    """One attempt of a call at a router."""

    def __init__(self, call: SlotCall, number: int, client: int, router: int) -> None:
        self.call = call
        self.number = number
        self.client = client
        self.router = router
        self.is_decided = False
        self.retry_after_s: float | None = None
        self.has_overflowed = False
        # Zones that were asked, by key of the ask.
        self.asks: dict[str, int] = {}


class Worker:
    """A worker with slots and a queue in order of arrival.

    Parameters
    ----------
    name : str
        Name of the endpoint.
    zone : int
        Number of its availability zone.
    slots : int
        Calls that it runs concurrently.
    slowdown : float
        How long work takes.
    reports_slowdown : bool
        Whether its load header says so.
    """

    def __init__(
        self,
        name: str,
        zone: int,
        slots: int = 6,
        slowdown: float = 1.0,
        reports_slowdown: bool = False,
    ) -> None:
        self.name = name
        self.zone = zone
        self.slots = slots
        self.slowdown = slowdown
        self.reports_slowdown = reports_slowdown
        self.running = 0
        self.queue: deque[tuple[float, Callable[[], None]]] = deque()

    @property
    def total(self) -> int:
        """Calls that run or are queued."""
        return self.running + len(self.queue)

    def report(self) -> LoadReport:
        """Return what its load header states."""
        slowdown = self.slowdown if self.reports_slowdown else None
        return LoadReport(self.running, len(self.queue), slowdown)


class Policy(Protocol):
    """How routers decide about an attempt."""

    def start(self, world: "SlotWorld") -> None:
        """Prepare; called once."""

    def handle(self, attempt: Attempt) -> None:
        """Decide about an attempt that has arrived at its router."""


class SlotWorld:
    """Clients, routers and workers.

    Parameters
    ----------
    workers : sequence of Worker
        Endpoints of the service.
    routers : int
        Number of routers, spread over the zones.
    zones : int
        Number of availability zones.
    seed : int
        Seed of all random choices.
    """

    def __init__(
        self, workers: Sequence[Worker], routers: int, zones: int, seed: int
    ) -> None:
        self.workers = list(workers)
        self.routers = routers
        self.zones = zones
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.outcomes: list[SlotOutcome] = []
        self.messages = 0
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._sequence = 0
        self._news: dict[str, int] = {}
        # Load of a worker in the last response to a router, and when that was.
        self._seen: dict[tuple[int, str], tuple[int, float]] = {}
        self._sent: dict[tuple[int, str], int] = {}

    def after(self, delay_s: float, action: Callable[..., None], *args: Any) -> None:
        """Schedule `action`."""
        self._sequence += 1
        at_s = self.now_s + delay_s
        heapq.heappush(self._events, (at_s, self._sequence, action, args))

    def run(self, calls: Iterable[SlotCall], policy: Policy, until_s: float) -> None:
        """Simulate `calls` until `until_s`."""
        self._policy = policy
        policy.start(self)
        self._tell_loads()
        for client, call in enumerate(calls):
            zone = self.random.randrange(self.zones) if call.zone is None else call.zone
            router = self.random.randrange(zone, self.routers, self.zones)
            attempt = Attempt(call, 0, client, router)
            self.after(call.arrives_s, policy.handle, attempt)
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action, args = heapq.heappop(self._events)
            action(*args)

    def get_delay_s(self, zone: int, other: int) -> float:
        """Return the one-way delay between zones."""
        return ZONE_DELAY_S if zone == other else CROSS_DELAY_S

    def get_zone(self, router: int) -> int:
        """Return the zone of a router."""
        return router % self.zones

    def estimate(self, router: int, worker: Worker) -> int:
        """Return the load of a worker as a router knows it."""
        key = (router, worker.name)
        total, seen_s = self._seen.get(key, (0, -math.inf))
        if seen_s < self._news_s:
            total = self._news[worker.name]
        return max(total, self._sent.get(key, 0))

    def choose(self, router: int, avoid: Sequence[str] = ()) -> Worker | None:
        """Return the less loaded of two workers by the router's estimates."""
        eligible = [w for w in self.workers if w.name not in avoid]
        if not eligible:
            return None
        two = self.random.sample(eligible, min(2, len(eligible)))
        return min(two, key=lambda w: self.estimate(router, w) / w.slots)

    def send(
        self,
        attempt: Attempt,
        worker: Worker,
        end: Callable[[Attempt, Worker, float, LoadReport | None], None],
    ) -> None:
        """Send an attempt to a worker; `end` is called with its response."""
        key = (attempt.router, worker.name)
        self._sent[key] = self._sent.get(key, 0) + 1
        delay_s = self.get_delay_s(self.get_zone(attempt.router), worker.zone)
        self.after(delay_s, self._accept, attempt, worker, self.now_s, delay_s, end)

    def send_directly(self, attempt: Attempt, avoid: tuple[str, ...] = ()) -> None:
        """Send an attempt as routers without slot queues do; two workers at most."""
        worker = self.choose(attempt.router, avoid)

        def end(
            attempt: Attempt, worker: Worker, took_s: float, load: LoadReport | None
        ) -> None:
            if load is not None:
                self.answer(attempt)
            elif avoid:
                self.refuse(attempt, FULL_RETRY_S)
            else:
                self.send_directly(attempt, (worker.name,))

        if worker is None:
            self.refuse(attempt, FULL_RETRY_S)
        else:
            self.send(attempt, worker, end)

    def answer(self, attempt: Attempt) -> None:
        """End a call with a response."""
        took_s = self.now_s - attempt.call.arrives_s
        result = "served" if took_s <= attempt.call.deadline_s else "timeout"
        self._end(attempt, result)

    def refuse(self, attempt: Attempt, retry_after_s: float) -> None:
        """End an attempt with a rejection; its client may retry."""
        call = attempt.call
        if attempt.number >= call.retries:
            self._end(attempt, "rejected")
            return
        left_s = call.arrives_s + call.deadline_s - self.now_s
        delay_s = min(retry_after_s, max(0.0, left_s) * RETRY_TIME_SHARE)
        zone = self.get_zone(attempt.router)
        router = self.random.randrange(zone, self.routers, self.zones)
        again = Attempt(call, attempt.number + 1, attempt.client, router)
        delay_s = 0.0 if call.is_immediate else delay_s
        self.after(delay_s, self._policy.handle, again)

    def _end(self, attempt: Attempt, result: str) -> None:
        outcome = SlotOutcome(attempt.call, result, self.now_s, attempt.number + 1)
        self.outcomes.append(outcome)

    def _tell_loads(self) -> None:
        self._news = {worker.name: worker.total for worker in self.workers}
        self._news_s = self.now_s
        self.after(NEWS_INTERVAL_S, self._tell_loads)

    def _accept(
        self,
        attempt: Attempt,
        worker: Worker,
        sent_s: float,
        delay_s: float,
        end: Callable[[Attempt, Worker, float, LoadReport | None], None],
    ) -> None:
        work_s = attempt.call.work_s * self.random.uniform(0.9, 1.1)

        def finish() -> None:
            load = worker.report()
            worker.running -= 1
            self._start_next(worker)
            self.after(delay_s, respond, load)

        def respond(load: LoadReport | None) -> None:
            key = (attempt.router, worker.name)
            self._sent[key] -= 1
            total = load.total if load else worker.slots + WORKER_QUEUE
            self._seen[key] = (total, self.now_s)
            end(attempt, worker, self.now_s - sent_s, load)

        if len(worker.queue) >= WORKER_QUEUE:
            self.after(delay_s, respond, None)
            return
        worker.queue.append((work_s, finish))
        self._start_next(worker)

    def _start_next(self, worker: Worker) -> None:
        while worker.queue and worker.running < worker.slots:
            work_s, finish = worker.queue.popleft()
            worker.running += 1
            self.after(work_s * worker.slowdown, finish)


def make_calls(
    team: str, rate: float, from_s: float, to_s: float, seed: int, **fields: Any
) -> list[SlotCall]:
    """Return calls of one team that arrive at random at `rate` per second."""
    generator = random.Random(f"{seed}/{team}/{rate}")
    calls, at_s = [], from_s
    while rate > 0 and (at_s := at_s + generator.expovariate(rate)) < to_s:
        calls.append(SlotCall(team, at_s, **fields))
    return calls
