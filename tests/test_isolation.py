import pytest

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.isolation import (
    BALANCER_DETECTION_S,
    WITNESSES_PER_ZONE,
    Isolation,
    choose_witnesses,
    is_isolated,
)


def make_pool(service, *zones):
    return [
        Endpoint(f"{service}-{zone}", "service", (service,), "h:1", zone)
        for zone in zones
    ]


WRITERS = make_pool("writer", "b", "c", "d")
DESKS = make_pool("desk", "a", "b", "c", "d")
POOLS = [WRITERS, DESKS]
ROUTERS = [
    Endpoint(f"router-{zone}{number}", "service", (), "h:1", zone)
    for zone in "abc"
    for number in range(3)
]
WITNESSES = choose_witnesses("a", ROUTERS)
OUTSIDE = {e.name for pool in POOLS for e in pool if e.zone != "a"}
OUTSIDE |= {witness.name for witness in WITNESSES}


def test_zone_without_an_endpoint_of_a_service_is_isolated_by_a_cut():
    # The zone is cut off.  It has a desk but no writer, so each client that requests a
    # draft is refused until the cut ends, though every other zone could serve it.
    assert is_isolated("a", POOLS, WITNESSES, OUTSIDE)


def test_zone_with_endpoints_of_all_services_is_not_isolated():
    pools = [make_pool("writer", "a", "b", "c"), DESKS]
    assert not is_isolated("a", pools, WITNESSES, OUTSIDE)


def test_service_whose_endpoints_have_all_ended_leaves_routers_ready():
    # All writers crash at once.  If the routers of all zones became unready, no client
    # would reach the desks, which are healthy.
    assert not is_isolated("a", POOLS, WITNESSES, {e.name for e in WRITERS})


def test_outage_of_the_only_service_leaves_routers_ready():
    # The only service of a deployment loses all endpoints.  Routers of other zones
    # still answer, so there is no cut, and clients need a reachable router to learn
    # when to retry.
    silent = {endpoint.name for endpoint in WRITERS}
    assert not is_isolated("a", [WRITERS], WITNESSES, silent)


def test_witnesses_are_some_routers_of_each_other_zone():
    found = sorted(witness.zone for witness in WITNESSES)
    assert found == sorted("bc" * WITNESSES_PER_ZONE)


@pytest.mark.parametrize("reached", sorted(OUTSIDE))
def test_one_reachable_endpoint_outside_rules_out_a_cut(reached):
    assert not is_isolated("a", POOLS, WITNESSES, OUTSIDE - {reached})


@pytest.mark.parametrize("pools", [[], [[]], [make_pool("writer", "b")]])
def test_too_few_endpoints_outside_are_no_evidence_of_a_cut(pools):
    unreachable = {endpoint.name for pool in pools for endpoint in pool}
    assert not is_isolated("a", pools, [], unreachable)


def test_start_and_end_of_a_cut_are_reported_once():
    isolation = Isolation("a")
    seen = [(POOLS, set()), (POOLS, OUTSIDE), (POOLS, OUTSIDE), (POOLS, set())]
    changes = [
        isolation.observe(pools, WITNESSES, unreachable, now_s)
        for now_s, (pools, unreachable) in enumerate(seen)
    ]
    assert changes == [False, True, False, True]
    assert not isolation.is_cut_off


def test_clients_retry_once_the_balancer_has_moved_them():
    # A client that retries earlier reaches a router of the same zone, is refused again
    # and has no attempt left; one that retries much later misses its deadline.
    isolation = Isolation("a")
    assert isolation.compute_failover_s(1.0) is None
    isolation.observe(POOLS, WITNESSES, OUTSIDE, 1.0)
    assert isolation.compute_failover_s(1.5) == pytest.approx(
        BALANCER_DETECTION_S - 0.5
    )
    assert isolation.compute_failover_s(60.0) == 0.0
