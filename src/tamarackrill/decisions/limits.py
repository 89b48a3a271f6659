"""Limits of a team over the whole fleet, while each router sees a sliver of it.

Load pattern: a team's requests come to all routers, unevenly, and move between them.
Without a common sum, each router could only enforce its even part of a limit: a team
whose callers reach few routers is then refused far below its contract (99.7 % of it
at one of 370 routers), or, with the whole limit at each router, gets many times what
was agreed, seen as other teams that wait.

Each router counts what it is asked for, and learns the sum over the fleet from
`usage`, some seconds late.  When the sum is above a limit, every router admits the
same fraction of what it gets, however little that is, by carrying the rest over from
request to request.  So nothing has to be divided between routers: the fraction holds
for any spread of arrivals, and moving arrivals change no sum.  A bucket and a count
in each router also keep the whole limit exactly if all arrivals come to one router.

docs/design/limits.md has the ways that were weighed, and the error measured.
"""

import math
import zlib
from typing import Literal, NamedTuple

from tamarackrill.contracts import Contract

UsageScope = Literal["router", "zone", "other_routers", "other_zones"]
LimitName = Literal["", "rate", "tokens", "in_flight"]

# Rates are means over about 2 s: long enough that a sum over the fleet is not noise
# at 10 requests a second, and no longer than the sums are late anyway.
METER_WINDOW_S = 2.0
# Requests in flight are steered so that they would reach the limit in 4 s, about
# twice the time until an effect is seen in the sum.  With 8 s the error was larger.
IN_FLIGHT_HORIZON_S = 4.0
# Below this share of the limit nothing is refused.  What others end a second comes
# late, and reads as nothing when a team has just begun.
IN_FLIGHT_NEAR = 0.8
# A sum that was not renewed for so long is not used any more.  Partitions are mostly
# shorter; until then the other side is taken to ask for what it asked last.
HOLD_S = 60.0
# A team that was quiet for so long is forgotten.  Longer than the slowest report of
# `usage` takes: the last one, that there is nothing any more, must still go out.
FORGET_S = 150.0
RETRY_MIN_S = 1.0
RETRY_MAX_S = 30.0


class TeamUsage(NamedTuple):
    """What a part of the fleet was asked for by a team.

    Parameters
    ----------
    team : str
        Name of the team.
    scope : {"router", "zone", "other_routers", "other_zones"}
        Whose usage this is: that of a router or zone, as it reports it, or that of
        all others in the fleet, as it is told in return.
    origin : str
        Name of the router or zone.
    requests_per_s : float
        Requests offered a second, refused ones included.
    tokens_per_s : float
        Tokens asked for a second, those of refused requests included.
    in_flight : int
        Requests waiting or at endpoints.
    done_per_s : float
        Requests that ended a second, refused ones excluded.
    """

    team: str
    scope: UsageScope
    origin: str
    requests_per_s: float
    tokens_per_s: float
    in_flight: int
    done_per_s: float = 0.0


class LimitDecision(NamedTuple):
    """Whether a request is within its team's limits.

    Parameters
    ----------
    admitted : bool
        If True, `FleetLimits.finish` must follow.
    limit : {"", "rate", "tokens", "in_flight"}
        Which limit it is over.
    retry_after_s : float
        When to come back.
    """

    admitted: bool
    limit: LimitName = ""
    retry_after_s: float = 0.0


class Meter:
    """Rate of something, as a mean that forgets over `METER_WINDOW_S`."""

    def __init__(self) -> None:
        self._sum = 0.0
        self._updated_s = -math.inf

    def add(self, amount: float, now_s: float) -> None:
        """Count `amount` at `now_s`."""
        self._sum = self._decay(now_s) + amount
        self._updated_s = max(now_s, self._updated_s)

    def read(self, now_s: float) -> float:
        """Return the amount a second."""
        return self._decay(now_s) / METER_WINDOW_S

    def _decay(self, now_s: float) -> float:
        elapsed_s = max(0.0, now_s - self._updated_s)
        return self._sum * math.exp(-elapsed_s / METER_WINDOW_S) if self._sum else 0.0


class _Bucket:
    """Tokens of a token bucket, filled at a rate that each call names."""

    def __init__(self, level: float) -> None:
        self.level = level

    def fill(self, amount: float, most: float) -> None:
        self.level = min(most, self.level + amount)


class _Team:
    """What this router knows of one team."""

    def __init__(self, contract: Contract, now_s: float, phase: float) -> None:
        self.requests = Meter()
        self.tokens = Meter()
        self.done = Meter()
        self.in_flight = 0
        self.burst = contract.rate_burst
        self.tokens_burst = contract.tokens_burst
        self.updated_s = now_s
        # What this router itself may still admit, and what the whole fleet may.
        self.own_requests = _Bucket(contract.rate_burst)
        self.own_tokens = _Bucket(contract.tokens_burst)
        self.fleet_requests = _Bucket(contract.rate_burst)
        self.fleet_tokens = _Bucket(contract.tokens_burst)
        # Fraction of a request that earlier ones left over.  It starts elsewhere at
        # each router; otherwise all would admit, and refuse, their first together.
        self.carried = phase
        self.refusals = 0
        self.others: TeamUsage | None = None
        self.others_at_s = -math.inf

    def take_bursts(self, contract: Contract) -> None:
        """Grant at once what a changed contract adds to the bursts.

        Filled at the new rate alone, a burst that was used up would have the team
        refused after its contract allows it more.
        """
        more = max(0.0, contract.rate_burst - self.burst)
        more_tokens = max(0.0, contract.tokens_burst - self.tokens_burst)
        self.burst = contract.rate_burst
        self.tokens_burst = contract.tokens_burst
        for bucket in (self.own_requests, self.fleet_requests):
            bucket.level += more
        for bucket in (self.own_tokens, self.fleet_tokens):
            bucket.level += more_tokens


class FleetLimits:
    """Limits of all teams at one router.

    Parameters
    ----------
    router : str
        Name of this router.
    """

    def __init__(self, router: str) -> None:
        self._router = router
        self._teams: dict[str, _Team] = {}

    def admit(
        self, contract: Contract, cost_tokens: float, now_s: float
    ) -> LimitDecision:
        """Decide whether a request is within the limits of its contract.

        Parameters
        ----------
        contract : Contract
            Contract of the team.
        cost_tokens : float
            Expected length of the answer.
        now_s : float
            Present time.

        Returns
        -------
        Verdict
        """
        team = self._teams.get(contract.team)
        if team is None:
            phase = hash_unit(f"{contract.team}/{self._router}")
            team = self._teams[contract.team] = _Team(contract, now_s, phase)
        if now_s - team.others_at_s > HOLD_S:
            team.others = None
        team.take_bursts(contract)
        # Before this request is counted: the burst was used by what came since the
        # last one, and a request after a pause must not pay for the pause.
        _fill(team, contract, self._sum_fleet(team, contract.team, now_s), now_s)
        team.requests.add(1.0, now_s)
        team.tokens.add(cost_tokens, now_s)
        total = self._sum_fleet(team, contract.team, now_s)
        limit, excess = _find_limit(team, contract, total)
        if limit:
            return self._refuse(team, contract, limit, excess)
        team.own_requests.level -= 1.0
        team.own_tokens.level -= cost_tokens
        team.in_flight += 1
        return LimitDecision(True)

    def finish(self, name: str, correction_tokens: float, now_s: float) -> None:
        """Take note that an admitted request has ended.

        Parameters
        ----------
        name : str
            Name of the team.
        correction_tokens : float
            Real length of the answer less the expected one.
        now_s : float
            Present time.
        """
        team = self._teams.get(name)
        if team is None or not team.in_flight:
            return
        team.in_flight -= 1
        team.done.add(1.0, now_s)
        team.tokens.add(correction_tokens, now_s)
        team.own_tokens.level -= correction_tokens

    def list_usage(self, now_s: float) -> list[TeamUsage]:
        """Return this router's own usage, for `usage.UsageExchange`.

        A team that has been quiet is listed a last time, and then forgotten.
        """
        usages = []
        for name, team in list(self._teams.items()):
            usages.append(self._read_own(team, name, now_s))
            quiet_s = now_s - team.updated_s
            if not team.in_flight and quiet_s > FORGET_S:
                del self._teams[name]
        return usages

    def observe_others(self, others: TeamUsage, now_s: float) -> None:
        """Take in what all other routers were asked for by a team."""
        team = self._teams.get(others.team)
        if team is not None:
            team.others = others
            team.others_at_s = now_s
            self._cap_burst(team, now_s)

    def _cap_burst(self, team: _Team, now_s: float) -> None:
        # A router that a team has just come to still holds the whole burst for it.
        # Callers that move from router to router would be granted it at each.
        own_per_s = team.requests.read(now_s)
        others = team.others
        if others is not None and others.requests_per_s > 0:
            share = own_per_s / (own_per_s + others.requests_per_s)
            most = share * team.burst
            team.fleet_requests.level = min(team.fleet_requests.level, most)

    def list_fleet_usage(self, now_s: float) -> list[TeamUsage]:
        """Return the fleet's usage of each team, as this router sees it."""
        teams = self._teams.items()
        return [self._sum_fleet(team, name, now_s) for name, team in teams]

    def get_fleet_usage(self, name: str, now_s: float) -> TeamUsage | None:
        """Return the fleet's usage as this router sees it, or None if unknown."""
        team = self._teams.get(name)
        return self._sum_fleet(team, name, now_s) if team else None

    def _read_own(self, team: _Team, name: str, now_s: float) -> TeamUsage:
        return TeamUsage(
            name,
            "router",
            self._router,
            team.requests.read(now_s),
            max(0.0, team.tokens.read(now_s)),
            team.in_flight,
            team.done.read(now_s),
        )

    def _sum_fleet(self, team: _Team, name: str, now_s: float) -> TeamUsage:
        own = self._read_own(team, name, now_s)
        if team.others is None:
            return own
        return add_usage(own, team.others)

    def _refuse(
        self, team: _Team, contract: Contract, limit: LimitName, excess: float
    ) -> LimitDecision:
        team.refusals += 1
        unit = hash_unit(f"{contract.team}/{self._router}/{team.refusals}")
        retry_s = max(RETRY_MIN_S, min(RETRY_MAX_S, excess)) * (0.5 + unit)
        return LimitDecision(False, limit, max(RETRY_MIN_S, retry_s))


def measure_pressure(usage: TeamUsage, contract: Contract) -> float:
    """Return how much of its tightest limit a usage takes; 1.0 is all of it."""
    return max(
        usage.requests_per_s / contract.rate_per_s,
        usage.tokens_per_s / contract.tokens_per_s,
        usage.in_flight / contract.in_flight_max,
    )


def add_usage(first: TeamUsage, second: TeamUsage, sign: int = 1) -> TeamUsage:
    """Return the sum of two usages, or their difference; never below 0."""
    return first._replace(
        requests_per_s=max(0.0, first.requests_per_s + sign * second.requests_per_s),
        tokens_per_s=max(0.0, first.tokens_per_s + sign * second.tokens_per_s),
        in_flight=max(0, first.in_flight + sign * second.in_flight),
        done_per_s=max(0.0, first.done_per_s + sign * second.done_per_s),
    )


def _fill(team: _Team, contract: Contract, total: TeamUsage, now_s: float) -> None:
    elapsed_s = max(0.0, now_s - team.updated_s)
    team.updated_s = max(now_s, team.updated_s)
    rate, tokens = contract.rate_per_s, contract.tokens_per_s
    team.own_requests.fill(rate * elapsed_s, contract.rate_burst)
    team.own_tokens.fill(tokens * elapsed_s, contract.tokens_burst)
    # What the fleet admits of its usage beyond the limit comes out of the burst.
    spare = rate - total.requests_per_s
    team.fleet_requests.fill(spare * elapsed_s, contract.rate_burst)
    spare = tokens - total.tokens_per_s
    team.fleet_tokens.fill(spare * elapsed_s, contract.tokens_burst)
    team.fleet_requests.level = max(0.0, team.fleet_requests.level)
    team.fleet_tokens.level = max(0.0, team.fleet_tokens.level)


def _find_limit(
    team: _Team, contract: Contract, total: TeamUsage
) -> tuple[LimitName, float]:
    """Return the limit that the next request is over, and by what factor."""
    if team.own_requests.level < 1.0:
        return "rate", 1.0 / contract.rate_per_s
    if team.own_tokens.level <= 0.0:
        return "tokens", -team.own_tokens.level / contract.tokens_per_s
    if team.in_flight >= contract.in_flight_max:
        return "in_flight", RETRY_MIN_S
    fractions: list[tuple[float, LimitName]] = [
        (_fraction_of_rate(team, contract, total), "rate"),
        (_fraction_of_tokens(team, contract, total), "tokens"),
        (_fraction_of_in_flight(team, contract, total), "in_flight"),
    ]
    fraction, limit = min(fractions)
    if fraction >= 1.0:
        return "", 1.0
    team.carried += fraction
    if team.carried >= 1.0:
        team.carried -= 1.0
        return "", 1.0
    return limit, 1.0 / max(fraction, 1.0 / RETRY_MAX_S)


def _fraction_of_rate(team: _Team, contract: Contract, total: TeamUsage) -> float:
    if team.fleet_requests.level > 0 or not total.requests_per_s:
        return 1.0
    return contract.rate_per_s / total.requests_per_s


def _fraction_of_tokens(team: _Team, contract: Contract, total: TeamUsage) -> float:
    if team.fleet_tokens.level > 0 or not total.tokens_per_s:
        return 1.0
    return contract.tokens_per_s / total.tokens_per_s


def _fraction_of_in_flight(team: _Team, contract: Contract, total: TeamUsage) -> float:
    # Own requests are known as they come and go; only what other routers admit and
    # end until the next sum arrives has to be foreseen.
    others = team.others
    if others is None or total.in_flight < IN_FLIGHT_NEAR * contract.in_flight_max:
        return 1.0
    room = contract.in_flight_max - total.in_flight
    room_soon = room + others.done_per_s * IN_FLIGHT_HORIZON_S
    if room_soon <= 0:
        return 0.0
    arrivals = others.requests_per_s * IN_FLIGHT_HORIZON_S
    return room_soon / arrivals if arrivals else 1.0


def hash_unit(text: str) -> float:
    """Return a number from 0 up to 1 that depends on `text` alone."""
    return zlib.crc32(text.encode()) / 2**32
