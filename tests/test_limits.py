"""Tests of fleet-wide team limits, by the requests that several routers admit."""

import random
from collections import Counter

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tamarackrill.contracts import Contract
from tamarackrill.decisions.limits import FleetLimits, TeamUsage
from tamarackrill.decisions.usage import RouterLocation, UsageExchange

LIMIT_PER_S = 100.0
LOOSE = Contract("t", (), rate_per_s=1e6, rate_burst=1e6, in_flight_max=10**6)
LOOSE = LOOSE._replace(tokens_per_s=1e9, tokens_burst=1e9)
RATE = LOOSE._replace(rate_per_s=LIMIT_PER_S, rate_burst=LIMIT_PER_S)
TOKENS = LOOSE._replace(tokens_per_s=10 * LIMIT_PER_S, tokens_burst=10 * LIMIT_PER_S)
IN_FLIGHT = LOOSE._replace(in_flight_max=100)


class Fleet:
    """Routers in two zones; digests are delivered in the next step of 0.1 s."""

    def __init__(self, count, contract):
        self.contract = contract
        self.locations = [RouterLocation(f"r{i}", f"z{i % 2}") for i in range(count)]
        self.limits = [FleetLimits(location.name) for location in self.locations]
        self.exchanges = {
            location.name: UsageExchange(
                location.name, location.zone, lambda _: contract
            )
            for location in self.locations
        }
        for exchange in self.exchanges.values():
            exchange.set_routers(self.locations, 0.0)
        self.undelivered = []
        self.in_service = []
        self.now_s = 0.0
        self.partitioned = False

    def run(self, seconds, rate_per_s, choose, service_s=1.0):
        """Offer requests; return the number admitted and the peak in flight."""
        source = random.Random(3)
        admitted, most = 0, 0
        for _ in range(round(seconds * 10)):
            self.now_s += 0.1
            self.end()
            for _ in range(round(rate_per_s / 10)):
                index = choose(self.now_s, source)
                decision = self.limits[index].admit(self.contract, 10.0, self.now_s)
                admitted += decision.admitted
                assert decision.admitted or decision.retry_after_s >= 1.0
                if decision.admitted:
                    self.in_service.append((self.now_s + service_s, index))
            most = max(most, len(self.in_service))
            self.exchange()
        return admitted, most

    def end(self):
        while self.in_service and self.in_service[0][0] <= self.now_s:
            self.limits[self.in_service.pop(0)[1]].finish("t", 0.0, self.now_s)

    def exchange(self):
        digests, self.undelivered = self.undelivered, []
        for sender, digest in digests:
            if (
                not self.partitioned
                or (int(sender[1:]) - int(digest.peer[1:])) % 2 == 0
            ):
                receiver = self.exchanges[digest.peer]
                receiver.observe(sender, digest.entries, self.now_s)
        for location, limits in zip(self.locations, self.limits, strict=True):
            exchange = self.exchanges[location.name]
            usage = limits.list_usage(self.now_s)
            sent = exchange.collect(usage, self.now_s, 1000)
            self.undelivered += [(location.name, digest) for digest in sent]
            for others in exchange.drain_updates():
                limits.observe_others(others, self.now_s)


def even(now_s, source):
    return source.randrange(8)


def skewed(now_s, source):
    return 0 if source.random() < 0.9 else source.randrange(8)


def moving(now_s, source):
    return int(now_s / 10) % 8


@pytest.mark.parametrize("choose", [even, skewed, moving])
@pytest.mark.parametrize("contract", [RATE, TOKENS])
def test_limit_holds_over_all_routers(contract, choose):
    # A team sends five times its limit to eight routers.  If each router enforced
    # the whole limit by itself, all would be admitted and other teams would wait.
    fleet = Fleet(8, contract)
    fleet.run(10, 5 * LIMIT_PER_S, choose)
    admitted, _ = fleet.run(40, 5 * LIMIT_PER_S, choose)
    assert admitted / 40 == pytest.approx(LIMIT_PER_S, rel=0.15)


@pytest.mark.parametrize("choose", [even, skewed, moving])
def test_team_within_its_contract_is_never_refused(choose):
    # Callers of a team mostly reach one of eight routers.  With an eighth of the
    # limit at each router, four in five of their requests would be refused.
    fleet = Fleet(8, RATE)
    admitted, _ = fleet.run(50, 0.7 * LIMIT_PER_S, choose)
    assert admitted == 50 * 0.7 * LIMIT_PER_S


def test_in_flight_limit_holds_over_all_routers():
    # Without the limit, three times as many requests would be in flight.
    fleet = Fleet(8, IN_FLIGHT)
    fleet.run(20, 150, even, service_s=2.0)
    _, most = fleet.run(30, 150, even, service_s=2.0)
    assert 80 <= most <= 140


def test_partitioned_zones_keep_the_limit_until_remote_usage_expires():
    # The zones cannot reach each other and consider each other's routers dead.  If
    # each dropped the other's usage at once, the team would get twice its limit.
    fleet = Fleet(8, RATE)
    fleet.run(20, 3 * LIMIT_PER_S, even)
    fleet.partitioned = True
    for location in fleet.locations:
        side = [other for other in fleet.locations if other.zone == location.zone]
        fleet.exchanges[location.name].set_routers(side, fleet.now_s)
    admitted, _ = fleet.run(30, 3 * LIMIT_PER_S, even)
    assert admitted / 30 == pytest.approx(LIMIT_PER_S, rel=0.2)
    # After a minute without reports each side enforces the whole limit by itself, as
    # documented for operators; neither exceeds it.
    fleet.run(50, 3 * LIMIT_PER_S, even)
    admitted, _ = fleet.run(30, 3 * LIMIT_PER_S, even)
    assert admitted / 30 == pytest.approx(2 * LIMIT_PER_S, rel=0.2)


def test_limit_holds_after_loss_of_an_aggregator():
    # The router that sums a team's usage dies, and its successor starts with an empty
    # sum.  If it replied at once, all requests would be admitted until it had received
    # all reports.
    fleet = Fleet(9, RATE)
    aggregators = fleet.exchanges["r0"].find_aggregators("t")
    alive = [
        i
        for i, location in enumerate(fleet.locations)
        if location.name not in aggregators
    ]

    def choose(now_s, source):
        return source.choice(alive)

    fleet.run(20, 3 * LIMIT_PER_S, choose)
    left = [fleet.locations[i] for i in alive]
    for location in fleet.locations:
        fleet.exchanges[location.name].set_routers(left, fleet.now_s)
    admitted, _ = fleet.run(3, 3 * LIMIT_PER_S, choose)
    assert admitted / 3 == pytest.approx(LIMIT_PER_S, rel=0.15)


def test_digests_keep_to_the_byte_budget():
    # 500 teams become active at a router at once.  If all were reported in one
    # digest round, control traffic would displace responses.
    exchange = UsageExchange("r0", "z", lambda team: RATE._replace(team=team))
    exchange.set_routers([RouterLocation(f"r{i}", "z") for i in range(50)], 0.0)
    usages = [TeamUsage(f"t{i}", "router", "r0", 90, 0, 0) for i in range(500)]
    sent: Counter[int] = Counter()
    reported = set()
    for second in range(60):
        for digest in exchange.collect(usages, float(second), 1000.0):
            sent[second] += 72 + 62 * len(digest.entries)
            reported.update(usage.team for usage in digest.entries)
    assert sum(sent.values()) <= 1000 * 70
    assert len(reported) > 450


@pytest.mark.parametrize(
    ("before", "after"),
    [
        ({"rate_burst": 2.0, "rate_per_s": 0.01}, {"rate_burst": 100.0}),
        ({"tokens_burst": 20.0, "tokens_per_s": 0.01}, {"tokens_burst": 900.0}),
    ],
)
def test_burst_increase_of_a_contract_is_granted_at_once(before, after):
    # If the larger burst were only refilled over time, a team would be refused after
    # its contract was changed to allow it more.
    limits = FleetLimits("r")
    contract = LOOSE._replace(**before)
    assert [limits.admit(contract, 10.0, 1.0).admitted for _ in range(3)] == [1, 1, 0]
    assert limits.admit(contract._replace(**after), 10.0, 1.001).admitted


def test_burst_decrease_of_a_contract_leaves_no_debt():
    limits = FleetLimits("r")
    contract = LOOSE._replace(rate_burst=100.0, rate_per_s=0.01)
    for _ in range(101):
        limits.admit(contract, 0.0, 1.0)
    fewer = contract._replace(rate_burst=2.0, rate_per_s=1.0)
    assert limits.admit(fewer, 0.0, 3.0).admitted


def test_burst_after_a_pause_is_admitted():
    # An idle team sends its whole burst at once.  If the pause counted as use, the
    # burst would be refused after each pause.
    contract = TOKENS._replace(tokens_burst=20_000.0)
    limits = FleetLimits("r")
    for now_s in (0.0, 60.0):
        decisions = [limits.admit(contract, 3000.0, now_s).admitted for _ in range(9)]
        assert decisions.count(True) == 7


class LimitsMachine(RuleBasedStateMachine):
    """One router enforces the whole contract, whatever usage it receives."""

    def __init__(self):
        super().__init__()
        self.contract = LOOSE._replace(rate_per_s=2.0, rate_burst=2.0, in_flight_max=3)
        self.limits = FleetLimits("r")
        self.now_s, self.admitted, self.in_flight = 0.0, 0, 0

    @rule(elapsed_s=st.sampled_from([0.0, 0.5, 70.0]))
    def admit(self, elapsed_s):
        self.now_s += elapsed_s
        verdict = self.limits.admit(self.contract, 1.0, self.now_s)
        self.admitted += verdict.admitted
        self.in_flight += verdict.admitted
        assert bool(verdict.limit) != verdict.admitted

    @rule()
    def finish(self):
        if self.in_flight:
            self.limits.finish("t", 0.0, self.now_s)
            self.in_flight -= 1

    @rule(rate=st.sampled_from([0.0, 0.1, 1e5]), done=st.sampled_from([0.0, 1e5]))
    def hear(self, rate, done):
        others = TeamUsage("t", "other_routers", "r", rate, 0.0, 0, done)
        self.limits.observe_others(others, self.now_s)
        self.limits.list_usage(self.now_s)

    @invariant()
    def contract_holds(self):
        assert self.admitted <= 2.0 + 2.0 * self.now_s
        assert self.in_flight <= 3


TestLimitsMachine = LimitsMachine.TestCase
