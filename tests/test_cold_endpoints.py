"""Cold endpoints, taken back by a whole fleet: pure decisions and their load."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.cold_endpoints import (
    OTHER_OWNER_SHARE,
    RETURNED_COLD_S,
    ZONE_OWNER_SHARE,
    ColdEndpoints,
    ColdTerms,
    ColdTolerance,
    Refusals,
    StartPermits,
    Visibility,
    find_owner,
    find_share,
    list_cold_terms,
)
from tamarackrill.decisions.manifests import Service

TERMS = {"m": ColdTerms(3.0, 30.5)}
WORKER = Endpoint("w", "engine", ("m",), "", "a")


def make_service(**fields):
    return Service("m", "/", 100, True, **fields)


@pytest.mark.parametrize(
    "fields, wanted",
    [
        ({}, {}),
        ({"cold_s": 3.0}, {}),
        ({"cold_rate_per_s": 17.0}, {}),
        ({"cold_s": 3.0, "cold_rate_per_s": 17.0}, {"m": ColdTerms(3.0, 30.5)}),
    ],
)
def test_only_services_that_state_both_have_terms(fields, wanted):
    tolerance = ColdTolerance(1.5, 5.0)
    assert list_cold_terms([make_service(**fields)], tolerance) == wanted


def test_entry_makes_an_endpoint_cold_for_as_long_as_it_says():
    # Guards against an endpoint that gets its full share of the load right after its
    # start, and against one that is never trusted again.
    cold = ColdEndpoints()
    (found,) = cold.observe_entries([WORKER._replace(cold_s=2.5)], TERMS, 10.0)
    assert found == ("w", 2.5, 2.5, "entry")
    assert cold.find_cold(12.4) == {"w"}
    assert not cold.is_cold("w", 12.6)


def test_unchanged_entry_does_not_make_an_endpoint_cold_again():
    # Guards against an entry that is seen at each change of another one, and restarts
    # the time each time.
    cold = ColdEndpoints()
    entry = WORKER._replace(cold_s=2.5)
    cold.observe_entries([entry], TERMS, 10.0)
    cold.observe_entries([entry], TERMS, 12.0)
    assert not cold.is_cold("w", 12.6)


def test_endpoint_becomes_cold_again_at_any_moment():
    cold = ColdEndpoints()
    cold.observe_entries([WORKER._replace(cold_s=3.0)], TERMS, 0.0)
    cold.observe_entries([WORKER], TERMS, 3.0)
    assert not cold.is_cold("w", 3.0)
    assert cold.observe_entries([WORKER._replace(cold_s=2.9)], TERMS, 20.0)
    assert cold.is_cold("w", 22.8)


def test_entry_that_states_hours_counts_for_what_the_service_allows():
    # Guards against an absurd entry that keeps an endpoint at a trickle for hours.
    cold = ColdEndpoints()
    (found,) = cold.observe_entries([WORKER._replace(cold_s=36000.0)], TERMS, 0.0)
    assert (found.cold_s, found.stated_s) == (3.0, 36000.0)
    assert not cold.is_cold("w", 3.1)


@pytest.mark.parametrize("source", ["returned", "evacuation"])
def test_endpoint_that_was_away_counts_as_cold_until_its_next_heartbeat(source):
    # Guards against the second in which an endpoint has restarted dark and answers
    # again, while its entry is still that of before.
    cold = ColdEndpoints()
    assert cold.observe_return(WORKER, source, TERMS, 5.0)
    assert cold.is_cold("w", 5.0 + RETURNED_COLD_S - 0.1)
    assert not cold.is_cold("w", 5.0 + RETURNED_COLD_S + 0.1)
    assert not cold.observe_return(WORKER, source, {}, 5.0)


def test_endpoint_that_is_gone_is_forgotten():
    cold = ColdEndpoints()
    cold.observe_entries([WORKER._replace(cold_s=3.0)], TERMS, 0.0)
    cold.observe_entries([], TERMS, 1.0)
    assert not cold.find_cold(1.0)


def test_owner_is_a_router_of_the_endpoints_zone_while_one_lives():
    # Guards against an owner on the other side of a cut: nobody could send to the
    # endpoint, though its own zone reaches it.
    zones = {"a": ["a1", "a2"], "b": ["b1", "b2", "b3"]}
    assert find_owner(WORKER, zones) in zones["a"]
    assert find_owner(WORKER, {"b": zones["b"]}) in zones["b"]
    assert find_owner(WORKER, {}) is None


@pytest.mark.parametrize(
    "live, largest, wanted",
    [(1, 1, True), (2, 4, False), (3, 4, True), (31, 62, False)],
)
def test_only_a_majority_permits(live, largest, wanted):
    assert Visibility(live, largest).has_majority == wanted


def test_refused_endpoint_is_not_asked_for_again_at_once():
    refusals = Refusals()
    refusals.observe("w", 1.0)
    assert refusals.find(1.05) == {"w"}
    assert not refusals.find(1.2)


def count_most_within(times_s, window_s):
    """Return the most of some sorted times within any window."""
    return max(
        (sum(t <= u < t + window_s for u in times_s) for t in times_s), default=0
    )


@pytest.mark.parametrize("rate_max_per_s", [1.0, 4.0, 17.0, 30.5, 300.0])
@pytest.mark.parametrize("share", [ZONE_OWNER_SHARE, OTHER_OWNER_SHARE])
def test_permits_of_one_owner_stay_within_its_share(rate_max_per_s, share):
    # Guards against a hot prefix: as many requests as routers can send ask for one
    # endpoint, after a pause in which permits were saved up.
    permits = StartPermits()
    terms = ColdTerms(3.0, rate_max_per_s)
    permits.take("w", terms, share, 0.0)
    asked_s = [5.0 + n / 2000 for n in range(6000)]
    given_s = [t for t in asked_s if permits.take("w", terms, share, t)]
    # Permits are used within a fifth of a second.
    assert count_most_within(given_s, 1.2) <= max(1.0, rate_max_per_s * share)
    if rate_max_per_s > 6.0:
        assert len(given_s) / 3.0 >= 0.5 * rate_max_per_s * share


def test_new_owner_starts_without_saved_permits():
    # Guards against a row of owners, each of which permits a burst: routers that are
    # killed and come back change the owner several times in a second.
    given = 0
    for number in range(8):
        given += StartPermits().take("w", TERMS["m"], ZONE_OWNER_SHARE, number / 8)
    assert given == 0


class PermitsMachine(RuleBasedStateMachine):
    """Routers with different views of the fleet ask for permits for one endpoint.

    Checks that the requests that arrive at it stay within the limit, whoever is killed,
    cut off or new, and however late permits are used.
    """

    ROUTERS = tuple(f"{zone}{n}" for zone in "ab" for n in range(5))
    TERMS = ColdTerms(3.0, 30.5)

    @initialize()
    def start(self):
        self.now_s = 10.0
        # Routers seen by each router, the most it has seen in its zone and in all.
        self.views = {name: set(self.ROUTERS) for name in self.ROUTERS}
        self.largest = {name: (5, 10) for name in self.ROUTERS}
        self.permits = {name: StartPermits() for name in self.ROUTERS}
        self.arrived_s = []

    @rule(wait_s=st.floats(0.001, 0.3))
    def wait(self, wait_s):
        self.now_s += wait_s

    @rule(groups=st.lists(st.integers(0, 4), min_size=10, max_size=10))
    def divide(self, groups):
        # Each group forgets the others, but all still reach the endpoint.
        group = dict(zip(self.ROUTERS, groups, strict=True))
        for name in self.ROUTERS:
            same = {other for other in self.ROUTERS if group[other] == group[name]}
            self.views[name] = same

    @rule()
    def heal(self):
        for name in self.ROUTERS:
            self.views[name] = set(self.ROUTERS)

    @rule(name=st.sampled_from(ROUTERS))
    def forget_permits(self, name):
        self.permits[name] = StartPermits()

    @rule(steps=st.sampled_from((4, 60)), used_s=st.floats(0.0, 0.2))
    def flood(self, steps, used_s):
        # The endpoint is the first choice of a hot prefix.
        for _ in range(steps):
            self.now_s += 0.025
            for asker in self.ROUTERS:
                owner = find_owner(WORKER, self._list_zones(asker))
                if owner in self.views[asker] and self._grants(owner):
                    self.arrived_s.append(self.now_s + used_s)

    def _grants(self, owner):
        zones = self._list_zones(owner)
        if find_owner(WORKER, zones) != owner:
            return False
        is_own = owner.startswith(WORKER.zone)
        live = len(zones[WORKER.zone]) if is_own else len(self.views[owner])
        visibility = Visibility(live, self.largest[owner][0 if is_own else 1])
        share = find_share(WORKER, owner[0])
        return visibility.has_majority and self.permits[owner].take(
            "w", self.TERMS, share, self.now_s
        )

    def _list_zones(self, name):
        zones = {}
        for other in sorted(self.views[name]):
            zones.setdefault(other[0], []).append(other)
        return zones

    @invariant()
    def rate_is_within_the_limit(self):
        if hasattr(self, "arrived_s"):
            recent_s = sorted(t for t in self.arrived_s if t > self.now_s - 2.0)
            most = count_most_within(recent_s, 1.0)
            assert most <= self.TERMS.rate_max_per_s


TestPermits = PermitsMachine.TestCase
TestPermits.settings = settings(max_examples=60, stateful_step_count=15, deadline=None)
