"""Queued calls of one slot queue, in the order in which they are served.

Load pattern: one team surges, or sends urgent and less urgent calls together.  Without
an order by team, whoever sends most is served most; without one by urgency, urgent
calls wait behind the others of their team; with strict urgency, the others starve.
"""

from collections import OrderedDict
from collections.abc import Iterator
from typing import NamedTuple

from tamarackrill.decisions.capacity.slots import SlotRequest
from tamarackrill.decisions.capacity.work_estimates import WORK_MIN_S
from tamarackrill.decisions.fairness import FairScheduler

# Weight of an urgency over the next one: in practice, urgent calls go first, and a
# ninth of the team's share is left for the others.
URGENCY_WEIGHT = 8.0
# Urgencies that are told apart; weights of more steps would exceed any real work.
URGENCY_MAX = 7
# Least part of the rate that teams with queued calls are expected to get: the share is
# that of the few calls that run, and fair order gives them more before long.
QUEUED_SHARE_MIN = 0.25
# Weights are within this range, so that none takes everything or stops the order.
WEIGHT_MIN, WEIGHT_MAX = 0.01, 100.0


class WaitingCall(NamedTuple):
    """A queued call.

    Parameters
    ----------
    request : SlotRequest
        What was offered.
    work_s : float
        Expected work in slot-seconds.
    is_booked : bool
        Whether it returned at its booked time.
    last_start_s : float
        Latest time at which it can start and meet its deadline.
    wait_s : float
        Expected wait when it was queued.
    """

    request: SlotRequest
    work_s: float
    is_booked: bool = False
    last_start_s: float = 0.0
    wait_s: float = 0.0


class _Lane:
    """Calls of one team and urgency: booked ones first, then by arrival."""

    def __init__(self) -> None:
        self.booked: OrderedDict[str, WaitingCall] = OrderedDict()
        self.arrived: OrderedDict[str, WaitingCall] = OrderedDict()
        self.work_s = 0.0
        self.booked_work_s = 0.0

    def __len__(self) -> int:
        return len(self.booked) + len(self.arrived)

    def __iter__(self) -> Iterator[WaitingCall]:
        yield from self.booked.values()
        yield from self.arrived.values()

    def change(self, call: WaitingCall, sign: int) -> None:
        calls = self.booked if call.is_booked else self.arrived
        if sign > 0:
            calls[call.request.key] = call
        else:
            del calls[call.request.key]
        self.work_s = self.work_s + sign * call.work_s if len(self) else 0.0
        if call.is_booked:
            self.booked_work_s += sign * call.work_s

    def find_last(self) -> WaitingCall:
        calls = self.arrived or self.booked
        return calls[next(reversed(calls))]


class _Team:
    """Queued calls of one team by urgency."""

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.lanes: dict[int, _Lane] = {}
        self.scheduler = FairScheduler()

    def __iter__(self) -> Iterator[WaitingCall]:
        for name in self.scheduler.list_in_order():
            yield from self.lanes[int(name)]

    def find_first(self) -> WaitingCall:
        name = self.scheduler.find_first("any")
        return next(iter(self.lanes[int(name or 0)]))

    def find_last(self) -> WaitingCall:
        return self.lanes[max(self.lanes)].find_last()

    def sum_work_s(self) -> float:
        return sum(lane.work_s for lane in self.lanes.values())


def limit_weight(weight: float) -> float:
    """Return a weight within the range that is used."""
    return min(max(weight, WEIGHT_MIN), WEIGHT_MAX)


def _limit_urgency(urgency: int) -> int:
    return min(max(urgency, 0), URGENCY_MAX)


class WaitingCalls:
    """Queued calls by team; weighted fair order of teams, then of urgencies."""

    def __init__(self) -> None:
        self.calls: dict[str, WaitingCall] = {}
        self.work_s = 0.0
        self.weight = 0.0
        self.scheduler = FairScheduler()
        self._teams: dict[str, _Team] = {}
        # Work of granted calls by team, of all, and of the teams with queued calls.
        self._running_s: dict[str, float] = {}
        self._running_all_s = 0.0
        self._running_queued_s = 0.0
        # Actual less expected work of ended calls, to be charged with the next one.
        self._pending_s: dict[str, float] = {}
        # Number of the current time without an empty queue; at its end, `scheduler`
        # forgets all charges.
        self._busy_period = 1

    def __len__(self) -> int:
        return len(self.calls)

    def has_team(self, team: str) -> bool:
        """Return whether a team has queued calls."""
        return team in self._teams

    def add(self, call: WaitingCall) -> None:
        """Queue a call."""
        request = call.request
        team = self._teams.get(request.team)
        if team is None:
            team = self._teams[request.team] = _Team(limit_weight(request.weight))
            self.weight += team.weight
            self._running_queued_s += self._running_s.get(request.team, 0.0)
            self.scheduler.join(request.team, "any")
        urgency = _limit_urgency(request.urgency)
        lane = team.lanes.get(urgency)
        if lane is None:
            lane = team.lanes[urgency] = _Lane()
            team.scheduler.join(str(urgency), "any")
        lane.change(call, 1)
        self.calls[request.key] = call
        self.work_s += call.work_s

    def remove(self, key: str) -> WaitingCall | None:
        """Remove a call that isn't served; return None if it isn't queued."""
        call = self.calls.pop(key, None)
        if call is None:
            return None
        team = self._teams[call.request.team]
        urgency = _limit_urgency(call.request.urgency)
        lane = team.lanes[urgency]
        lane.change(call, -1)
        self.work_s = self.work_s - call.work_s if self.calls else 0.0
        if not len(lane):
            del team.lanes[urgency]
            team.scheduler.leave(str(urgency), "any")
        if not team.lanes:
            del self._teams[call.request.team]
            if not self._teams:
                self._busy_period += 1
                self._pending_s.clear()
            self.weight = self.weight - team.weight if self._teams else 0.0
            self._running_queued_s -= self._running_s.get(call.request.team, 0.0)
            self.scheduler.leave(call.request.team, "any")
        return call

    def serve(self, key: str) -> int:
        """Remove a call that starts now, and charge its team.

        Returns
        -------
        int
            The busy period in which it is charged, for `adjust_cost`; above 0.
        """
        busy_period = self._busy_period
        request, work_s = self.calls[key].request, self.calls[key].work_s
        team = self._teams[request.team]
        urgency = _limit_urgency(request.urgency)
        team.scheduler.serve(str(urgency), work_s, URGENCY_WEIGHT**-urgency)
        cost_s = work_s + self._pending_s.pop(request.team, 0.0)
        if cost_s < 0.0:
            self._pending_s[request.team] = cost_s
        self.scheduler.serve(request.team, max(0.0, cost_s), team.weight)
        self.remove(key)
        return busy_period

    def find_first(self) -> WaitingCall | None:
        """Return the call that is served next."""
        team = self.scheduler.find_first("any")
        return None if team is None else self._teams[team].find_first()

    def iterate(self) -> Iterator[WaitingCall]:
        """Yield all calls, teams and urgencies in their current order."""
        for team in self.scheduler.list_in_order():
            yield from self._teams[team]

    def change_running(self, team: str, work_s: float) -> None:
        """Record that a call of `team` starts; ends if `work_s` is negative."""
        left_s = self._running_s.get(team, 0.0) + work_s
        # Less than any call is a rounding error of the sum.
        if left_s < WORK_MIN_S / 2:
            self._running_s.pop(team, None)
        else:
            self._running_s[team] = left_s
        has_any = bool(self._running_s)
        self._running_all_s = self._running_all_s + work_s if has_any else 0.0
        if team in self._teams:
            self._running_queued_s += work_s

    def adjust_cost(self, team: str, difference_s: float, charged_in: int) -> None:
        """Charge `team` for work that an ended call needed beyond the expected.

        With its next call, since `FairScheduler.charge` can't set a team back behind
        the virtual time, and a team of light calls would lose most of its credit.

        Ignored if the call's charge is forgotten or there was none: a team whose calls
        found free slots and took less than expected would be served before all others
        until that credit was used up.

        Parameters
        ----------
        team : str
            Team of the call.
        difference_s : float
            Its actual less its expected work; negative if it needed less.
        charged_in : int
            What `serve` returned for it; 0 if it was never queued.
        """
        if charged_in != self._busy_period:
            return
        self._pending_s[team] = self._pending_s.get(team, 0.0) + difference_s

    def remove_idle(self) -> None:
        """Forget teams with nothing queued or granted; call about once a second."""
        self.scheduler.remove_idle()
        known = self._teams.keys() | self._running_s.keys()
        for team in self._pending_s.keys() - known:
            del self._pending_s[team]

    def measure_mean_s(self, calls: int) -> float:
        """Return the mean work of the granted `calls`."""
        return self._running_all_s / calls if calls else 0.0

    def measure_share(self, team: str) -> float:
        """Return the part of the rate that teams with queued calls and `team` get.

        The others find their slots without being queued.  What they use now is what
        they will use while a call waits.
        """
        if self._running_all_s <= 0.0:
            return 1.0
        own_s = 0.0 if team in self._teams else self._running_s.get(team, 0.0)
        share = (self._running_queued_s + own_s) / self._running_all_s
        return min(1.0, max(QUEUED_SHARE_MIN, share))

    def sum_ahead_s(self, call: WaitingCall) -> float:
        """Return the work that is served before a new `call` of its team."""
        team = self._teams.get(call.request.team)
        if team is None:
            return 0.0
        urgency = _limit_urgency(call.request.urgency)
        lanes = ((u, lane) for u, lane in team.lanes.items() if u <= urgency)
        return sum(
            lane.booked_work_s if call.is_booked and u == urgency else lane.work_s
            for u, lane in lanes
        )

    def sum_weight(self, request: SlotRequest) -> float:
        """Return the weight of all teams with queued calls and that of `request`."""
        if request.team in self._teams:
            return self.weight
        return self.weight + limit_weight(request.weight)

    def share_work_s(self, request: SlotRequest, own_s: float) -> float:
        """Return the work of all teams while that of `request` is served `own_s`."""
        team = self._teams.get(request.team)
        others_s = self.work_s - (team.sum_work_s() if team else 0.0)
        shared_s = own_s * self.sum_weight(request) / limit_weight(request.weight)
        return min(shared_s, others_s + own_s)

    def estimate_work_s(self, call: WaitingCall) -> float:
        """Return the work that the slots do while `call` waits if it is queued now.

        Its own work counts: with one call queued of each team, all wait for a round.
        Teams without queued calls go before all but the first call of a team.
        """
        own_s = self.sum_ahead_s(call) + call.work_s
        shared_s = self.share_work_s(call.request, own_s)
        round_s = min(shared_s, self.share_work_s(call.request, call.work_s))
        return round_s + (shared_s - round_s) / self.measure_share(call.request.team)

    def find_last_calls(self) -> list[WaitingCall]:
        """Return, of each team, the call that is served last."""
        return [team.find_last() for team in self._teams.values()]

    def sum_by_team(self) -> dict[str, float]:
        """Return the queued work of each team in slot-seconds."""
        return {name: team.sum_work_s() for name, team in self._teams.items()}
