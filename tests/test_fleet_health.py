"""Detection of failing endpoints from the reports of all routers."""

import random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tamarackrill.decisions.endpoint_news import FailureReport
from tamarackrill.decisions.fleet_health import (
    FAILED_MIN,
    PAUSE_MAX_S,
    PAUSE_MIN_S,
    RELAPSE_S,
    REPORT_KEPT_S,
    REPORTER_FAILURES_MAX,
    WINDOW_S,
    FleetHealth,
)

POOL = {f"e{number}": 10 for number in range(6)}
# Reporters 0 to 2 are in this router's zone, 10 to 12 and 20 to 21 in two others.
ZONES = {0: "own", 1: "own", 2: "own", 10: "b", 11: "b", 12: "b", 20: "c", 21: "c"}


def make_health():
    return FleetHealth(ZONES.get, "own")


def report(health, endpoint, reporters, failed=2, now_s=0.0, sequence=1):
    for reporter in reporters:
        health.observe(FailureReport(endpoint, reporter, sequence, failed), now_s)


def find_paused(health, now_s=0.1, pool=POOL, in_flight=5):
    health.pause_failing(pool, now_s)
    return health.find_paused(pool, in_flight, now_s)


def test_endpoint_reported_by_several_routers_is_excluded():
    # One engine of six fails every second request.  Each router has seen two failures,
    # and alone would send it three more requests before it ejects the engine.
    health = make_health()
    report(health, "e1", (0, 1, 2), 2)
    assert find_paused(health) == {"e1"}


def test_reports_of_one_router_exclude_nothing():
    # One router's own link is bad, and all its requests fail.  Its reports alone must
    # not make all routers exclude healthy endpoints.
    health = make_health()
    for name in POOL:
        report(health, name, (0,), 100)
    assert find_paused(health) == set()
    report(health, "e1", (1,), 1, sequence=3)
    assert find_paused(health) == set()
    assert REPORTER_FAILURES_MAX < FAILED_MIN


def test_failures_of_all_endpoints_exclude_none():
    # Half of all requests fail everywhere because of a bad release.  Excluding some
    # endpoints would only overload the rest.
    health = make_health()
    for name in POOL:
        report(health, name, (0, 1, 2), 5)
    assert find_paused(health) == set()


def test_failures_of_each_zone_at_its_own_endpoints_exclude_none():
    # Some paths of a service fail at every endpoint, and each zone sends to its own.
    # Failures of the others are reported by their zone alone; if they were ignored,
    # this zone's endpoint would look like the only failing one.
    health = make_health()
    pool = {"e1": 6, "e2": 6, "e3": 6}
    report(health, "e1", (0, 1, 2), 2)
    report(health, "e2", (10, 11, 12), 2)
    report(health, "e3", (20, 21), 3)
    assert find_paused(health, pool=pool, in_flight=1) == set()


def test_duplicate_reports_count_once():
    health = make_health()
    for _ in range(9):
        report(health, "e1", (0, 1), 1)
    assert find_paused(health) == set()


def test_old_failures_are_not_added_to_new_ones():
    health = make_health()
    report(health, "e1", (0, 1), 1, now_s=0.0, sequence=1)
    report(health, "e1", (0, 1), 1, now_s=WINDOW_S + 0.1, sequence=2)
    assert find_paused(health, WINDOW_S + 0.2) == set()


def test_endpoint_that_fails_for_one_zone_is_excluded_there_alone():
    # The path from one zone to an engine is bad.  The other zones can use it and must
    # not lose it.
    health = make_health()
    report(health, "e1", (10, 11, 12), 3)
    assert find_paused(health) == set()
    report(health, "e1", (20, 21), 3)
    assert find_paused(health) == {"e1"}


def test_reports_of_unknown_routers_do_not_count():
    health = make_health()
    report(health, "e1", (777, 778, 779), 3)
    assert find_paused(health) == set()


@pytest.mark.parametrize(("in_flight", "count"), [(5, 2), (22, 1), (60, 0)])
def test_exclusions_are_limited_by_the_capacity_of_the_rest(in_flight, count):
    # Two engines fail half of their requests while a burst fills all six.  Without the
    # two the others would be overloaded and fail all requests.
    health = make_health()
    for name in ("e1", "e2"):
        report(health, name, (0, 1, 2), 9)
    assert len(find_paused(health, in_flight=in_flight)) == count


def test_last_endpoint_is_never_excluded():
    health = make_health()
    report(health, "e1", (0, 1, 2), 9)
    assert find_paused(health, pool={"e1": 10}, in_flight=0) == set()


def test_pause_doubles_when_an_endpoint_relapses():
    health = make_health()
    report(health, "e1", (0, 1), 3)
    assert find_paused(health, 0.1) == {"e1"}
    assert find_paused(health, 0.1 + PAUSE_MIN_S) == set()
    report(health, "e1", (0, 1), 3, now_s=3.0, sequence=2)
    assert find_paused(health, 3.0) == {"e1"}
    assert find_paused(health, 3.0 + 1.9 * PAUSE_MIN_S) == {"e1"}
    assert find_paused(health, 3.0 + 2 * PAUSE_MIN_S) == set()
    later_s = 3.0 + 2 * PAUSE_MIN_S + RELAPSE_S + 0.1
    assert find_paused(health, later_s) == set()
    report(health, "e1", (0, 1), 3, now_s=later_s, sequence=3)
    assert find_paused(health, later_s) == {"e1"}
    assert find_paused(health, later_s + PAUSE_MIN_S) == set()


def test_restarted_endpoint_is_not_paused():
    health = make_health()
    report(health, "e1", (0, 1), 3)
    assert find_paused(health) == {"e1"}
    health.remove("e1")
    assert find_paused(health) == set()
    health.retain({"e2"})
    assert health.has_no_failures


def test_random_losses_exclude_none():
    # All engines lose one answer in twenty for minutes.  Excluding one for that would
    # have its sessions read again elsewhere.
    health = make_health()
    chance = random.Random(5)
    paused = 0
    for tick in range(4 * 600):
        now_s = tick / 4
        for name in POOL:
            for reporter in ZONES:
                if chance.random() < 0.05 * 0.25 * 8 / len(ZONES):
                    report(health, name, (reporter,), 1, now_s, tick)
        paused += len(find_paused(health, now_s))
    assert paused == 0


class FleetHealthMachine(RuleBasedStateMachine):
    """Late, duplicate and reordered failure reports of good and bad routers."""

    def __init__(self):
        super().__init__()
        self.health = make_health()
        self.now_s = 0.0
        self.told = []
        self.told_s = {}
        self.sequence = 0

    @rule(
        endpoint=st.sampled_from(sorted(POOL)),
        teller=st.sampled_from([*sorted(ZONES), 99]),
        failed=st.integers(0, 9),
    )
    def tell(self, endpoint, teller, failed):
        self.sequence += 1
        self.told.append(FailureReport(endpoint, teller, self.sequence, failed))
        self.told_s[self.told[-1]] = self.now_s
        self.health.observe(self.told[-1], self.now_s)

    @rule(data=st.data())
    def tell_again(self, data):
        # Reports are known again for this long; none is on its way for longer.
        recent = [r for r in self.told if self.now_s < self.told_s[r] + REPORT_KEPT_S]
        if recent:
            known = data.draw(st.sampled_from(recent[-20:]))
            before = {n: len(c) for n, c in self.health._counts.items()}
            self.health.observe(known, self.now_s)
            assert before == {n: len(c) for n, c in self.health._counts.items()}

    @rule(elapsed_s=st.floats(0.0, 4.0))
    def wait(self, elapsed_s):
        self.now_s += elapsed_s

    @rule(endpoint=st.sampled_from(sorted(POOL)))
    def restart(self, endpoint):
        self.health.remove(endpoint)
        assert endpoint not in self.health.find_paused(POOL, 0, self.now_s)

    @invariant()
    def some_endpoint_is_left(self):
        self.health.pause_failing(POOL, self.now_s)
        for in_flight in (0, 10, 30):
            left_out = self.health.find_paused(POOL, in_flight, self.now_s)
            assert len(left_out) < len(POOL)
            left = sum(s for n, s in POOL.items() if n not in left_out)
            assert not left_out or in_flight <= left

    @invariant()
    def sums_are_those_of_the_reports(self):
        for failures in self.health._counts.values():
            sums = {}
            for told in failures._reports:
                sums[told.reporter] = sums.get(told.reporter, 0) + told.failed
            assert failures.by_reporter == sums
            assert failures.total == sum(sums.values())

    @invariant()
    def pauses_end(self):
        late_s = self.now_s + PAUSE_MAX_S + 0.1
        assert self.health.find_paused(POOL, 0, late_s) == set()


TestFleetHealth = FleetHealthMachine.TestCase
