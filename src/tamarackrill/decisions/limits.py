"""Fleet-wide limits of a team, enforced by routers that each see few of its requests.

Load pattern: a team's requests reach all routers, unevenly, and move between them.
Without a fleet-wide sum, each router could only enforce an equal share of a limit: a
team whose callers reach few routers is then refused far below its contract (it loses
99.7 % of it if they reach one of 370 routers).  With the whole limit at each router,
the team gets many times what its contract allows, and other teams wait.

Each router counts its own requests, and receives the sum over the fleet from `usage`
some seconds late.  When the sum exceeds a limit, every router admits the same
fraction of its requests, carrying the remainder from request to request so that this
also works at low rates.  Limits need not be divided between routers: the fraction
holds for any distribution of arrivals, and arrivals that move do not change the sum.
A token bucket and a count in each router also enforce the whole limit exactly if all
requests reach one router.

docs/design/limits.md compares the alternatives and has the error.
"""

import math
import zlib
from typing import Literal, NamedTuple

from tamarackrill.contracts import Contract

UsageScope = Literal["router", "zone", "other_routers", "other_zones"]
LimitName = Literal["", "rate", "tokens", "in_flight"]

# Averaging time of rates: long enough that a fleet-wide sum is not noise at 10
# requests a second, and no longer than the sums are delayed anyway.
METER_WINDOW_S = 2.0
# Requests in flight are controlled to reach the limit in 4 s, about twice the delay
# until an effect shows in the sum.  8 s gives a larger error.
IN_FLIGHT_HORIZON_S = 4.0
# Below this share of the limit nothing is refused.  The completion rate of other
# routers arrives late, and is zero for a team that has just begun.
IN_FLIGHT_THRESHOLD = 0.8
# Expiry of a sum that is not renewed.  Partitions are mostly shorter; until then the
# other side is assumed to send what it last reported.
REMOTE_USAGE_TTL_S = 60.0
# Expiry of an idle team.  Longer than the slowest report interval of `usage`, since
# the last report, that usage is zero, must still be sent.
IDLE_TEAM_TTL_S = 150.0
RETRY_MIN_S = 1.0
RETRY_MAX_S = 30.0


class TeamUsage(NamedTuple):
    """Usage of a team at one router, in one zone or at a set of them.

    Parameters
    ----------
    team : str
        Name of the team.
    scope : {"router", "zone", "other_routers", "other_zones"}
        What the usage covers: a router or zone, in its report, or all others in the
        fleet, in the reply to it.
    origin : str
        Name of the reporting router or zone.
    requests_per_s : float
        Offered requests a second, including refused ones.
    tokens_per_s : float
        Requested tokens a second, including those of refused requests.
    in_flight : int
        Requests waiting or running at endpoints.
    done_per_s : float
        Finished requests a second, excluding refused ones.
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
        The limit that is exceeded.
    retry_after_s : float
        Delay after which the client may retry.
    """

    admitted: bool
    limit: LimitName = ""
    retry_after_s: float = 0.0


class Meter:
    """Exponentially decaying mean of a rate, over `METER_WINDOW_S`."""

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


class _TokenBucket:
    """Token bucket whose refill and capacity are given with each call."""

    def __init__(self, level: float) -> None:
        self.level = level

    def refill(self, amount: float, capacity: float) -> None:
        self.level = min(capacity, self.level + amount)


class _TeamState:
    """Usage and limit state of one team at this router."""

    def __init__(self, contract: Contract, now_s: float, initial_credit: float) -> None:
        self.requests = Meter()
        self.tokens = Meter()
        self.done = Meter()
        self.in_flight = 0
        self.burst = contract.rate_burst
        self.tokens_burst = contract.tokens_burst
        self.updated_s = now_s
        # What this router alone and the whole fleet may still admit.
        self.router_request_bucket = _TokenBucket(contract.rate_burst)
        self.router_token_bucket = _TokenBucket(contract.tokens_burst)
        self.fleet_request_bucket = _TokenBucket(contract.rate_burst)
        self.fleet_token_bucket = _TokenBucket(contract.tokens_burst)
        # Fraction of a request that may still be admitted.  It starts at a different
        # value in each router; otherwise all would admit or refuse in step.
        self.admission_credit = initial_credit
        self.refusals = 0
        self.others: TeamUsage | None = None
        self.others_at_s = -math.inf

    def apply_burst_increase(self, contract: Contract) -> None:
        """Add at once what a changed contract adds to the bursts.

        If an exhausted bucket were only refilled at the new rate, the team would be
        refused after its contract allows it more.
        """
        added_burst = max(0.0, contract.rate_burst - self.burst)
        added_tokens = max(0.0, contract.tokens_burst - self.tokens_burst)
        self.burst = contract.rate_burst
        self.tokens_burst = contract.tokens_burst
        for bucket in (self.router_request_bucket, self.fleet_request_bucket):
            bucket.level += added_burst
        for bucket in (self.router_token_bucket, self.fleet_token_bucket):
            bucket.level += added_tokens


class FleetLimits:
    """Limits of all teams at one router.

    Parameters
    ----------
    router : str
        Name of this router.
    """

    def __init__(self, router: str) -> None:
        self._router = router
        self._teams: dict[str, _TeamState] = {}

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
            Current time.

        Returns
        -------
        Verdict
        """
        team = self._teams.get(contract.team)
        if team is None:
            credit = hash_to_fraction(f"{contract.team}/{self._router}")
            team = self._teams[contract.team] = _TeamState(contract, now_s, credit)
        if now_s - team.others_at_s > REMOTE_USAGE_TTL_S:
            team.others = None
        team.apply_burst_increase(contract)
        # Before this request is counted: the burst was used by the arrivals since the
        # last one, and a pause must not be charged to the request that ends it.
        _refill_buckets(
            team, contract, self._sum_fleet(team, contract.team, now_s), now_s
        )
        team.requests.add(1.0, now_s)
        team.tokens.add(cost_tokens, now_s)
        total = self._sum_fleet(team, contract.team, now_s)
        limit, retry_base_s = _find_limit(team, contract, total)
        if limit:
            return self._refuse(team, contract, limit, retry_base_s)
        team.router_request_bucket.level -= 1.0
        team.router_token_bucket.level -= cost_tokens
        team.in_flight += 1
        return LimitDecision(True)

    def finish(self, name: str, correction_tokens: float, now_s: float) -> None:
        """Record that an admitted request has finished.

        Parameters
        ----------
        name : str
            Name of the team.
        correction_tokens : float
            Actual length of the answer minus the expected one.
        now_s : float
            Current time.
        """
        team = self._teams.get(name)
        if team is None or not team.in_flight:
            return
        team.in_flight -= 1
        team.done.add(1.0, now_s)
        team.tokens.add(correction_tokens, now_s)
        team.router_token_bucket.level -= correction_tokens

    def list_usage(self, now_s: float) -> list[TeamUsage]:
        """Return this router's own usage, for `usage.UsageExchange`.

        An idle team is listed a last time and then removed.
        """
        usages = []
        for name, team in list(self._teams.items()):
            usages.append(self._read_own(team, name, now_s))
            idle_s = now_s - team.updated_s
            if not team.in_flight and idle_s > IDLE_TEAM_TTL_S:
                del self._teams[name]
        return usages

    def observe_others(self, others: TeamUsage, now_s: float) -> None:
        """Update the usage of a team at all other routers."""
        team = self._teams.get(others.team)
        if team is not None:
            team.others = others
            team.others_at_s = now_s
            self._cap_burst(team, now_s)

    def _cap_burst(self, team: _TeamState, now_s: float) -> None:
        # A router that a team has not used before has a full burst for it.  Callers
        # that move from router to router would get a full burst at each.
        own_per_s = team.requests.read(now_s)
        others = team.others
        if others is not None and others.requests_per_s > 0:
            share = own_per_s / (own_per_s + others.requests_per_s)
            burst_max = share * team.burst
            team.fleet_request_bucket.level = min(
                team.fleet_request_bucket.level, burst_max
            )

    def list_fleet_usage(self, now_s: float) -> list[TeamUsage]:
        """Return the fleet's usage of each team, as known to this router."""
        teams = self._teams.items()
        return [self._sum_fleet(team, name, now_s) for name, team in teams]

    def get_fleet_usage(self, name: str, now_s: float) -> TeamUsage | None:
        """Return the fleet's usage of a team, or None for an unknown team."""
        team = self._teams.get(name)
        return self._sum_fleet(team, name, now_s) if team else None

    def _read_own(self, team: _TeamState, name: str, now_s: float) -> TeamUsage:
        return TeamUsage(
            name,
            "router",
            self._router,
            team.requests.read(now_s),
            max(0.0, team.tokens.read(now_s)),
            team.in_flight,
            team.done.read(now_s),
        )

    def _sum_fleet(self, team: _TeamState, name: str, now_s: float) -> TeamUsage:
        own = self._read_own(team, name, now_s)
        if team.others is None:
            return own
        return add_usage(own, team.others)

    def _refuse(
        self,
        team: _TeamState,
        contract: Contract,
        limit: LimitName,
        retry_base_s: float,
    ) -> LimitDecision:
        team.refusals += 1
        jitter = hash_to_fraction(f"{contract.team}/{self._router}/{team.refusals}")
        retry_s = max(RETRY_MIN_S, min(RETRY_MAX_S, retry_base_s)) * (0.5 + jitter)
        return LimitDecision(False, limit, max(RETRY_MIN_S, retry_s))


def compute_utilization(usage: TeamUsage, contract: Contract) -> float:
    """Return the utilization of the tightest limit; 1.0 is the whole limit."""
    return max(
        usage.requests_per_s / contract.rate_per_s,
        usage.tokens_per_s / contract.tokens_per_s,
        usage.in_flight / contract.in_flight_max,
    )


def add_usage(first: TeamUsage, second: TeamUsage, sign: int = 1) -> TeamUsage:
    """Return the sum, or with sign -1 the difference, of two usages; at least 0."""
    return first._replace(
        requests_per_s=max(0.0, first.requests_per_s + sign * second.requests_per_s),
        tokens_per_s=max(0.0, first.tokens_per_s + sign * second.tokens_per_s),
        in_flight=max(0, first.in_flight + sign * second.in_flight),
        done_per_s=max(0.0, first.done_per_s + sign * second.done_per_s),
    )


def _refill_buckets(
    team: _TeamState, contract: Contract, total: TeamUsage, now_s: float
) -> None:
    elapsed_s = max(0.0, now_s - team.updated_s)
    team.updated_s = max(now_s, team.updated_s)
    rate, tokens = contract.rate_per_s, contract.tokens_per_s
    team.router_request_bucket.refill(rate * elapsed_s, contract.rate_burst)
    team.router_token_bucket.refill(tokens * elapsed_s, contract.tokens_burst)
    # What the fleet admits beyond the limit is taken from the burst.
    spare = rate - total.requests_per_s
    team.fleet_request_bucket.refill(spare * elapsed_s, contract.rate_burst)
    spare = tokens - total.tokens_per_s
    team.fleet_token_bucket.refill(spare * elapsed_s, contract.tokens_burst)
    team.fleet_request_bucket.level = max(0.0, team.fleet_request_bucket.level)
    team.fleet_token_bucket.level = max(0.0, team.fleet_token_bucket.level)


def _find_limit(
    team: _TeamState, contract: Contract, total: TeamUsage
) -> tuple[LimitName, float]:
    """Return the exceeded limit, and the Retry-After in seconds before its bounds."""
    if team.router_request_bucket.level < 1.0:
        return "rate", 1.0 / contract.rate_per_s
    if team.router_token_bucket.level <= 0.0:
        return "tokens", -team.router_token_bucket.level / contract.tokens_per_s
    if team.in_flight >= contract.in_flight_max:
        return "in_flight", RETRY_MIN_S
    fractions: list[tuple[float, LimitName]] = [
        (_admit_fraction_by_rate(team, contract, total), "rate"),
        (_admit_fraction_by_tokens(team, contract, total), "tokens"),
        (_admit_fraction_by_in_flight(team, contract, total), "in_flight"),
    ]
    fraction, limit = min(fractions)
    if fraction >= 1.0:
        return "", 1.0
    team.admission_credit += fraction
    if team.admission_credit >= 1.0:
        team.admission_credit -= 1.0
        return "", 1.0
    return limit, 1.0 / max(fraction, 1.0 / RETRY_MAX_S)


def _admit_fraction_by_rate(
    team: _TeamState, contract: Contract, total: TeamUsage
) -> float:
    if team.fleet_request_bucket.level > 0 or not total.requests_per_s:
        return 1.0
    return contract.rate_per_s / total.requests_per_s


def _admit_fraction_by_tokens(
    team: _TeamState, contract: Contract, total: TeamUsage
) -> float:
    if team.fleet_token_bucket.level > 0 or not total.tokens_per_s:
        return 1.0
    return contract.tokens_per_s / total.tokens_per_s


def _admit_fraction_by_in_flight(
    team: _TeamState, contract: Contract, total: TeamUsage
) -> float:
    # Own requests in flight are known exactly; what other routers admit and finish
    # until the next sum arrives has to be predicted.
    others = team.others
    if others is None or total.in_flight < IN_FLIGHT_THRESHOLD * contract.in_flight_max:
        return 1.0
    headroom = contract.in_flight_max - total.in_flight
    expected_headroom = headroom + others.done_per_s * IN_FLIGHT_HORIZON_S
    if expected_headroom <= 0:
        return 0.0
    arrivals = others.requests_per_s * IN_FLIGHT_HORIZON_S
    return expected_headroom / arrivals if arrivals else 1.0


def hash_to_fraction(text: str) -> float:
    """Return a hash of `text` as a number in [0, 1)."""
    return zlib.crc32(text.encode()) / 2**32
