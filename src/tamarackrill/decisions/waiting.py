"""Waiting and running requests of one endpoint pool, and estimates of waits.

Load pattern: a queue whose length does not predict its wait, since requests differ
a thousandfold in length.  Without an estimate in slot time, a missed deadline is
noticed only after it has passed.  `admission` decides with the state kept here.
"""

import math
from bisect import bisect_left, insort
from typing import NamedTuple

from tamarackrill.decisions.estimates import (
    LONG_SHARE_MIN,
    ServiceEstimate,
    is_short,
)
from tamarackrill.decisions.fairness import FairScheduler, SizeClass


class WaitingRequest(NamedTuple):
    """Properties of a request that admission depends on.

    Parameters
    ----------
    id : str
        Unique among waiting and running requests of this router.
    team : str
        Team of the caller.
    pool : str
        Requested model or service.
    weight : float
        Weight in the team's contract.
    priority : int
        Higher goes first, inside the team only.
    size_tokens : float
        Expected length of the answer; 0 for a plain service.
    deadline_s : float
        When the whole answer is due, on the clock of ``now_s``.
    arrived_s : float
        When the request arrived.
    """

    id: str
    team: str
    pool: str
    weight: float
    priority: int
    size_tokens: float
    deadline_s: float
    arrived_s: float


class Entry(NamedTuple):
    """A waiting request with its sort key in the queue of its team."""

    sort_key_s: float
    sequence: int
    request: WaitingRequest
    cost: float


class RunningRequest(NamedTuple):
    """A request at an endpoint."""

    request: WaitingRequest
    cost: float
    started_s: float


class Rates(NamedTuple):
    """Throughput of a pool in tokens a second; 0 if unknown.

    Parameters
    ----------
    all_tokens_per_s : float
        Of all slots that may be used now.
    short_tokens_per_s, long_tokens_per_s : float
        Of the slots that only short or only long requests may use.
    """

    all_tokens_per_s: float
    short_tokens_per_s: float
    long_tokens_per_s: float


class TeamQueue:
    """Waiting requests of one team, one sorted list for each size class."""

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.entries: dict[SizeClass, list[Entry]] = {"short": [], "long": []}
        self.cost = 0.0

    def __len__(self) -> int:
        return sum(map(len, self.entries.values()))

    def find_first(self, size_class: SizeClass) -> Entry:
        """Return the next request of this size class."""
        if size_class != "any":
            return self.entries[size_class][0]
        return min(entries[0] for entries in self.entries.values() if entries)

    def find_last(self) -> Entry:
        """Return the request that is served last."""
        return max(entries[-1] for entries in self.entries.values() if entries)

    def sum_cost_ahead(self, entry: Entry) -> float:
        """Return the total cost of the requests ahead of `entry`."""
        if len(self) and entry > self.find_last():
            return self.cost
        lists = self.entries.values()
        return sum(
            e.cost for found in lists for e in found[: bisect_left(found, entry)]
        )


class Backlog:
    """Number and cost of the requests that wait in one size class."""

    def __init__(self) -> None:
        self.count = 0
        self.cost = 0.0

    def add(self, cost: float, sign: int) -> None:
        """Add (sign 1) or subtract (sign -1) one request."""
        self.count += sign
        self.cost = self.cost + sign * cost if self.count else 0.0

    @property
    def mean_cost(self) -> float:
        """Mean cost of a waiting request, 0 if none waits."""
        return self.cost / self.count if self.count else 0.0


class Pool:
    """Waiting and running requests of one model or service, and its speed."""

    def __init__(self) -> None:
        self.teams: dict[str, TeamQueue] = {}
        self.scheduler = FairScheduler()
        self.estimate = ServiceEstimate()
        self.running: dict[str, RunningRequest] = {}
        self.running_long_count = 0
        self.slots = 0
        self.backlogs: dict[SizeClass, Backlog] = {
            "any": Backlog(),
            "short": Backlog(),
            "long": Backlog(),
        }
        # Sum of the weights of the teams that have requests waiting.
        self.waiting_weight = 0.0
        # Latest retry time given to each team; see `admission`.
        self.next_retry_s: dict[str, float] = {}

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return self.backlogs["any"].count

    def add(self, entry: Entry) -> None:
        """Queue a request."""
        request, size_class = entry.request, classify_size(entry.request)
        queue = self.teams.get(request.team)
        if queue is None:
            queue = self.teams[request.team] = TeamQueue(request.weight)
            self.waiting_weight += queue.weight
        insort(queue.entries[size_class], entry)
        queue.cost += entry.cost
        self.scheduler.join(request.team, "any")
        self.scheduler.join(request.team, size_class)
        self.backlogs["any"].add(entry.cost, 1)
        self.backlogs[size_class].add(entry.cost, 1)

    def remove(self, entry: Entry) -> None:
        """Remove a request from the queue, whether it starts or is refused."""
        team, size_class = entry.request.team, classify_size(entry.request)
        queue = self.teams[team]
        entries = queue.entries[size_class]
        del entries[bisect_left(entries, entry)]
        queue.cost -= entry.cost
        self.backlogs["any"].add(entry.cost, -1)
        self.backlogs[size_class].add(entry.cost, -1)
        if not entries:
            self.scheduler.leave(team, size_class)
        if not len(queue):
            self.scheduler.leave(team, "any")
            self.waiting_weight -= queue.weight
            del self.teams[team]

    def choose_size_class(self, now_s: float) -> SizeClass:
        """Return the size class that may use the next free slot."""
        if self.running_long_count >= self.slots - self.count_reserved(now_s):
            return "short"
        below_min = self.running_long_count < int(self.slots * LONG_SHARE_MIN)
        return "long" if below_min and self.backlogs["long"].count else "any"

    def count_reserved(self, now_s: float) -> int:
        """Return how many slots are reserved for short requests."""
        return self.estimate.count_reserved(self.slots, now_s)

    def measure_rates(self, now_s: float) -> Rates:
        """Return the throughput available to this router's queue."""
        speed = self.estimate.tokens_per_s
        if speed is None:
            return Rates(0.0, 0.0, 0.0)
        reserved = self.count_reserved(now_s)
        usable = max(1, self.slots - reserved, len(self.running))
        long_slots = int(self.slots * LONG_SHARE_MIN)
        return Rates(speed * usable, speed * reserved, speed * long_slots)

    def estimate_wait_s(
        self, request: WaitingRequest, cost_ahead: float, rates: Rates
    ) -> float:
        """Return how long `request` waits behind `cost_ahead` of its own team."""
        if not rates.all_tokens_per_s or (
            not self.waiting and len(self.running) < self.slots
        ):
            return 0.0
        backlog = self.backlogs["any"]
        teams_ahead = self.scheduler.count_teams_ahead(request.team, "any")
        is_queued = request.team in self.teams
        weight = self.waiting_weight + (0.0 if is_queued else request.weight)
        # Includes what the other teams are served in the meantime if all of them
        # keep waiting; never more than the whole backlog.
        with_others = (
            cost_ahead * weight / request.weight + teams_ahead * backlog.mean_cost
        )
        cost = min(backlog.cost, with_others) + backlog.mean_cost
        wait_s = cost / rates.all_tokens_per_s
        return min(wait_s, self._estimate_class_wait_s(classify_size(request), rates))

    def _estimate_class_wait_s(self, size_class: SizeClass, rates: Rates) -> float:
        """Return the wait of the last request if its class gets only its own slots."""
        short = size_class == "short"
        rate = rates.short_tokens_per_s if short else rates.long_tokens_per_s
        backlog = self.backlogs[size_class]
        return (backlog.cost + backlog.mean_cost) / rate if rate else math.inf

    def list_in_order(self) -> list[tuple[str, TeamQueue]]:
        """Return the waiting teams and their queues, in the order of service."""
        return [(team, self.teams[team]) for team in self.scheduler.list_in_order()]


def classify_size(request: WaitingRequest) -> SizeClass:
    """Return the size class of a request, ``"short"`` or ``"long"``."""
    return "short" if is_short(request.size_tokens) else "long"
