"""What waits and runs in one endpoint pool, and how long a wait will be.

Load pattern: a queue whose length says nothing about its wait, since the work in it
differs a thousandfold in length.  Without an estimate in slot time, a deadline can
only be missed, not foreseen.  `admission` decides with what this module holds.
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
    """What admission has to know of one request.

    Parameters
    ----------
    id : str
        Unique among waiting and running requests of this router.
    team : str
        Team of the caller.
    pool : str
        Model or service that was asked for.
    weight : float
        Weight in the team's contract.
    priority : int
        Higher goes first, inside the team only.
    size_tokens : float
        Expected length of the answer; 0 for a plain service.
    deadline_s : float
        When the whole answer is due, on the clock of ``now_s``.
    arrived_s : float
        When the request came.
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
    """A waiting request with its place in the order of its team."""

    order_s: float
    sequence: int
    request: WaitingRequest
    cost: float


class Running(NamedTuple):
    """A request at an endpoint."""

    request: WaitingRequest
    cost: float
    started_s: float


class Rates(NamedTuple):
    """How fast a pool works its queue off, in tokens a second; 0 if unknown.

    Parameters
    ----------
    all_tokens_per_s : float
        Of all slots that may be used now.
    short_tokens_per_s, long_tokens_per_s : float
        Of the slots that short and long work have for themselves.
    """

    all_tokens_per_s: float
    short_tokens_per_s: float
    long_tokens_per_s: float


class TeamQueue:
    """Waiting requests of one team, short and long apart, each in order."""

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.lines: dict[SizeClass, list[Entry]] = {"short": [], "long": []}
        self.cost = 0.0

    def __len__(self) -> int:
        return sum(map(len, self.lines.values()))

    def find_first(self, size_class: SizeClass) -> Entry:
        """Return the request of this lane that goes next."""
        if size_class != "any":
            return self.lines[size_class][0]
        return min(line[0] for line in self.lines.values() if line)

    def find_last(self) -> Entry:
        """Return the request that goes last."""
        return max(line[-1] for line in self.lines.values() if line)

    def sum_before(self, entry: Entry) -> float:
        """Return the cost of what goes before `entry`."""
        if len(self) and entry > self.find_last():
            return self.cost
        lines = self.lines.values()
        return sum(e.cost for line in lines for e in line[: bisect_left(line, entry)])


class Backlog:
    """Sums over the requests that wait in one lane."""

    def __init__(self) -> None:
        self.count = 0
        self.cost = 0.0

    def add(self, cost: float, sign: int) -> None:
        """Count one request in (sign 1) or out (sign -1)."""
        self.count += sign
        self.cost = self.cost + sign * cost if self.count else 0.0

    @property
    def mean_cost(self) -> float:
        """Mean cost of a waiting request, 0 if none waits."""
        return self.cost / self.count if self.count else 0.0


class Pool:
    """Queue of one model or service, and what is known of its speed."""

    def __init__(self) -> None:
        self.teams: dict[str, TeamQueue] = {}
        self.scheduler = FairScheduler()
        self.estimate = ServiceEstimate()
        self.running: dict[str, Running] = {}
        self.running_long = 0
        self.slots = 0
        self.backlogs: dict[SizeClass, Backlog] = {
            "any": Backlog(),
            "short": Backlog(),
            "long": Backlog(),
        }
        self.weight = 0.0
        self.bookings: dict[str, float] = {}

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return self.backlogs["any"].count

    def add(self, entry: Entry) -> None:
        """Let a request wait."""
        request, size_class = entry.request, find_lane(entry.request)
        queue = self.teams.get(request.team)
        if queue is None:
            queue = self.teams[request.team] = TeamQueue(request.weight)
            self.weight += queue.weight
        insort(queue.lines[size_class], entry)
        queue.cost += entry.cost
        self.scheduler.join(request.team, "any")
        self.scheduler.join(request.team, size_class)
        self.backlogs["any"].add(entry.cost, 1)
        self.backlogs[size_class].add(entry.cost, 1)

    def remove(self, entry: Entry) -> None:
        """Take a request out, whether it starts or is refused."""
        team, size_class = entry.request.team, find_lane(entry.request)
        queue = self.teams[team]
        line = queue.lines[size_class]
        del line[bisect_left(line, entry)]
        queue.cost -= entry.cost
        self.backlogs["any"].add(entry.cost, -1)
        self.backlogs[size_class].add(entry.cost, -1)
        if not line:
            self.scheduler.leave(team, size_class)
        if not len(queue):
            self.scheduler.leave(team, "any")
            self.weight -= queue.weight
            del self.teams[team]

    def choose_lane(self, now_s: float) -> SizeClass:
        """Return which work may have the next free slot."""
        if self.running_long >= self.slots - self.count_reserved(now_s):
            return "short"
        kept = self.running_long < int(self.slots * LONG_SHARE_MIN)
        return "long" if kept and self.backlogs["long"].count else "any"

    def count_reserved(self, now_s: float) -> int:
        """Return how many slots long work leaves to short work."""
        return self.estimate.count_reserved(self.slots, now_s)

    def measure_rates(self, now_s: float) -> Rates:
        """Return how fast this router's queue is worked off."""
        speed = self.estimate.tokens_per_s
        if speed is None:
            return Rates(0.0, 0.0, 0.0)
        reserved = self.count_reserved(now_s)
        usable = max(1, self.slots - reserved, len(self.running))
        kept = int(self.slots * LONG_SHARE_MIN)
        return Rates(speed * usable, speed * reserved, speed * kept)

    def estimate_wait_s(
        self, request: WaitingRequest, cost_before: float, rates: Rates
    ) -> float:
        """Return how long `request` waits behind `cost_before` of its own team."""
        if not rates.all_tokens_per_s or (
            not self.waiting and len(self.running) < self.slots
        ):
            return 0.0
        backlog = self.backlogs["any"]
        before = self.scheduler.count_teams_ahead(request.team, "any")
        own = request.team in self.teams
        weight = self.weight + (0.0 if own else request.weight)
        # What the other teams get meanwhile, if all of them go on waiting; never
        # more than all there is.
        with_others = cost_before * weight / request.weight + before * backlog.mean_cost
        cost = min(backlog.cost, with_others) + backlog.mean_cost
        wait_s = cost / rates.all_tokens_per_s
        return min(wait_s, self._estimate_lane_wait_s(find_lane(request), rates))

    def _estimate_lane_wait_s(self, size_class: SizeClass, rates: Rates) -> float:
        """Return the wait of the last in a lane that only gets its own slots."""
        short = size_class == "short"
        rate = rates.short_tokens_per_s if short else rates.long_tokens_per_s
        backlog = self.backlogs[size_class]
        return (backlog.cost + backlog.mean_cost) / rate if rate else math.inf

    def list_in_order(self) -> list[tuple[str, TeamQueue]]:
        """Return the teams that wait and their queues, first turn first."""
        return [(team, self.teams[team]) for team in self.scheduler.list_in_order()]


def find_lane(request: WaitingRequest) -> SizeClass:
    """Return the lane that a request waits in, besides ``"any"``."""
    return "short" if is_short(request.size_tokens) else "long"
