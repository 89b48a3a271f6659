"""Endpoints that fail, as all routers see them together."""

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
    REPORTER_FAILURES_MAX,
    WINDOW_S,
    FleetHealth,
)

POOL = {f"e{number}": 10 for number in range(6)}
# Tellers 0 to 2 are of this router's zone, 10 to 12 and 20 to 22 of two others.
ZONES = {0: "own", 1: "own", 2: "own", 10: "b", 11: "b", 12: "b", 20: "c", 21: "c"}


def make_health():
    return FleetHealth(ZONES.get, "own")


def tell(health, endpoint, tellers, failed=2, now_s=0.0, sequence=1):
    for teller in tellers:
        health.observe(FailureReport(endpoint, teller, sequence, failed), now_s)


def find_paused(health, now_s=0.1, pool=POOL, in_flight=5):
    health.pause_failing(pool, now_s)
    return health.find_paused(pool, in_flight, now_s)


def test_endpoint_that_fails_for_several_routers_gets_no_work():
    # One engine of six fails each second request.  No router has seen more than two of
    # its failures; each would send it three more before it believed itself.
    health = make_health()
    tell(health, "e1", (0, 1, 2), 2)
    assert find_paused(health) == {"e1"}


def test_router_that_fails_everywhere_has_nothing_left_out():
    # One router's own link is bad, and all its requests fail.  Were it believed, all
    # routers would leave good endpoints alone, one after the other.
    health = make_health()
    for name in POOL:
        tell(health, name, (0,), 100)
    assert find_paused(health) == set()
    tell(health, "e1", (1,), 1, sequence=3)
    assert find_paused(health) == set()
    assert REPORTER_FAILURES_MAX < FAILED_MIN


def test_failures_that_all_endpoints_share_leave_none_out():
    # Half of all requests fail everywhere, because a release answers them wrongly.
    # Leaving endpoints out would only push the rest.
    health = make_health()
    for name in POOL:
        tell(health, name, (0, 1, 2), 5)
    assert find_paused(health) == set()


def test_failures_of_paths_that_each_zone_asks_its_own_endpoints_for_are_usual():
    # Some paths of a service fail at every endpoint, and each zone asks its own.  The
    # failures of the other endpoints are told by their zone alone; passed over for
    # that, they would make this zone's endpoint look like the only one that fails.
    health = make_health()
    pool = {"e1": 6, "e2": 6, "e3": 6}
    tell(health, "e1", (0, 1, 2), 2)
    tell(health, "e2", (10, 11, 12), 2)
    tell(health, "e3", (20, 21), 3)
    assert find_paused(health, pool=pool, in_flight=1) == set()


def test_what_is_told_twice_counts_once():
    health = make_health()
    for _ in range(9):
        tell(health, "e1", (0, 1), 1)
    assert find_paused(health) == set()


def test_old_failures_are_not_added_to_new_ones():
    health = make_health()
    tell(health, "e1", (0, 1), 1, now_s=0.0, sequence=1)
    tell(health, "e1", (0, 1), 1, now_s=WINDOW_S + 0.1, sequence=2)
    assert find_paused(health, WINDOW_S + 0.2) == set()


def test_endpoint_that_fails_callers_of_one_zone_only_is_left_out_there_alone():
    # The path from one zone to an engine is bad.  The other zones are served well by
    # it, and must not lose it.
    health = make_health()
    tell(health, "e1", (10, 11, 12), 3)
    assert find_paused(health) == set()
    tell(health, "e1", (20, 21), 3)
    assert find_paused(health) == {"e1"}


def test_tellers_that_nobody_knows_do_not_count():
    health = make_health()
    tell(health, "e1", (777, 778, 779), 3)
    assert find_paused(health) == set()


@pytest.mark.parametrize(("in_flight", "count"), [(5, 2), (22, 1), (60, 0)])
def test_as_many_are_left_out_as_the_rest_has_room_for(in_flight, count):
    # Two engines fail half of their requests while a burst fills all six.  Without
    # them the others would be pushed beyond what they bear, and fail all.
    health = make_health()
    for name in ("e1", "e2"):
        tell(health, name, (0, 1, 2), 9)
    assert len(find_paused(health, in_flight=in_flight)) == count


def test_last_endpoint_is_never_left_out():
    health = make_health()
    tell(health, "e1", (0, 1, 2), 9)
    assert find_paused(health, pool={"e1": 10}, in_flight=0) == set()


def test_endpoint_gets_work_again_after_a_pause_that_doubles_when_it_relapses():
    health = make_health()
    tell(health, "e1", (0, 1), 3)
    assert find_paused(health, 0.1) == {"e1"}
    assert find_paused(health, 0.1 + PAUSE_MIN_S) == set()
    tell(health, "e1", (0, 1), 3, now_s=3.0, sequence=2)
    assert find_paused(health, 3.0) == {"e1"}
    assert find_paused(health, 3.0 + 1.9 * PAUSE_MIN_S) == {"e1"}
    assert find_paused(health, 3.0 + 2 * PAUSE_MIN_S) == set()
    later_s = 3.0 + 2 * PAUSE_MIN_S + RELAPSE_S + 0.1
    assert find_paused(health, later_s) == set()
    tell(health, "e1", (0, 1), 3, now_s=later_s, sequence=3)
    assert find_paused(health, later_s) == {"e1"}
    assert find_paused(health, later_s + PAUSE_MIN_S) == set()


def test_endpoint_that_has_started_anew_is_trusted():
    health = make_health()
    tell(health, "e1", (0, 1), 3)
    assert find_paused(health) == {"e1"}
    health.remove("e1")
    assert find_paused(health) == set()
    health.retain({"e2"})
    assert health.has_no_failures


def test_losses_by_chance_leave_nobody_out():
    # All engines lose one answer in twenty for minutes.  An engine that was left out
    # for that would have its sessions read again elsewhere.
    health = make_health()
    chance = random.Random(5)
    left_out = 0
    for tick in range(4 * 600):
        now_s = tick / 4
        for name in POOL:
            for teller in ZONES:
                if chance.random() < 0.05 * 0.25 * 8 / len(ZONES):
                    tell(health, name, (teller,), 1, now_s, tick)
        left_out += len(find_paused(health, now_s))
    assert left_out == 0


class FleetHealthMachine(RuleBasedStateMachine):
    """Failures told late, doubled and reordered, by good and bad routers."""

    def __init__(self):
        super().__init__()
        self.health = make_health()
        self.now_s = 0.0
        self.told = []
        self.sequence = 0

    @rule(
        endpoint=st.sampled_from(sorted(POOL)),
        teller=st.sampled_from([*sorted(ZONES), 99]),
        failed=st.integers(0, 9),
    )
    def tell(self, endpoint, teller, failed):
        self.sequence += 1
        self.told.append(FailureReport(endpoint, teller, self.sequence, failed))
        self.health.observe(self.told[-1], self.now_s)

    @rule(data=st.data())
    def tell_again(self, data):
        if self.told:
            known = data.draw(st.sampled_from(self.told[-20:]))
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
    def pauses_end(self):
        late_s = self.now_s + PAUSE_MAX_S + 0.1
        assert self.health.find_paused(POOL, 0, late_s) == set()


TestFleetHealth = FleetHealthMachine.TestCase
