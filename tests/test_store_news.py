"""Calls to the store and propagation of changes in fleets of all sizes."""

import pytest

from tamarackrill.testing.store_fleet import SimulatedFleet, SimulatedStore

PROPAGATION_MAX_S = 4.0


def make_fleet(count, acked_s=(), **fields):
    return SimulatedFleet(count, SimulatedStore(acked_s), PROPAGATION_MAX_S, **fields)


def check_in_force(fleet, names=None):
    assert max(fleet.compute_delays_s(names)) <= PROPAGATION_MAX_S


# One watcher's calls, and as many again from routers whose evidence is late.
CALLS_PER_S = 2 / (PROPAGATION_MAX_S / 2)


@pytest.mark.parametrize("count", [8, 76, 195, 370])
def test_calls_to_the_store_do_not_grow_with_the_fleet(count):
    # Guards against each router calling the store for what one of them knows.
    fleet = make_fleet(count, [10.0 + 4 * n for n in range(4)])
    fleet.run(25.0)
    check_in_force(fleet)
    assert fleet.count_calls(5.0, 25.0) <= 20 * CALLS_PER_S + 4


@pytest.mark.parametrize("count", [8, 76, 195, 370])
def test_change_is_in_force_well_before_the_bound_in_a_calm_fleet(count):
    # Guards against a router that has a change and does not forward it at once.
    fleet = make_fleet(count, [10.0 + 0.9 * n for n in range(10)])
    fleet.run(24.0)
    assert max(fleet.compute_delays_s()) <= PROPAGATION_MAX_S / 4


@pytest.mark.parametrize("count", [8, 76, 195, 370])
def test_traffic_per_router_is_bounded(count):
    # Guards against a head that sends to each router of a large zone itself.  Control
    # traffic may take 3 kB/s per node, of which gossip takes half a kilobyte.
    fleet = make_fleet(count, [30.0])
    fleet.run(5.0)
    fleet.bytes.clear()
    fleet.run(25.0)
    assert max(fleet.bytes.values()) / 20.0 <= 2_500


@pytest.mark.parametrize(
    ("count", "seed"),
    [(8, 1), (8, 2), (8, 3), (76, 1), (76, 3), (76, 5), (76, 6), (195, 1)],
)
def test_fleet_that_starts_at_once_settles_on_one_watcher_before_all_are_known(
    count, seed
):
    # Guards against each router considering itself the watcher until it learns of the
    # others by gossip, which takes longer in a larger fleet.
    fleet = make_fleet(count, [3.0, 5.5, 12.0], knows_all=False, seed=seed)
    fleet.run(20.0)
    check_in_force(fleet)
    assert fleet.count_calls(0.0, 9.0) <= 3 * count
    assert fleet.count_calls(9.0, 20.0) <= 11 * CALLS_PER_S + 4


@pytest.mark.parametrize("who", ["watcher", "heads", "watcher and heads", "contacts"])
def test_changes_are_in_force_in_time_if_the_senders_of_evidence_are_killed(who):
    # Guards against routers that keep relying on the last evidence of a dead one.
    fleet = make_fleet(76, [12.0 + 0.7 * n for n in range(20)])
    fleet.run(11.5)
    killed = {
        "watcher": fleet.find(lambda w: w.is_watcher),
        "heads": fleet.find(lambda w: w.is_head and not w.is_watcher),
        "watcher and heads": fleet.find(lambda w: w.is_head or w.is_watcher),
        "contacts": list(fleet.contacts),
    }[who]
    fleet.kill(killed)
    fleet.run(32.0)
    check_in_force(fleet)


@pytest.mark.parametrize("frozen_s", [0.5, 2.0, 5.0])
def test_changes_are_in_force_in_time_if_the_watcher_is_frozen(frozen_s):
    # Guards against a watcher that is frozen but still considered alive.
    fleet = make_fleet(76, [12.0 + 0.7 * n for n in range(12)])
    fleet.run(11.5)
    fleet.frozen = set(fleet.find(lambda w: w.is_watcher))
    fleet.run(11.5 + frozen_s)
    resumed, fleet.frozen = fleet.frozen, set()
    fleet.run(26.0)
    check_in_force(fleet, [n for n in fleet.routers if n not in resumed])


def test_partitioned_zone_calls_the_store_itself():
    # Guards against a zone that waits for evidence from unreachable routers.
    fleet = make_fleet(76, [12.0 + 0.7 * n for n in range(12)])
    fleet.run(11.5)
    fleet.cut_zones = {"zone-2"}
    fleet.run(26.0)
    check_in_force(fleet)


def test_watcher_that_the_store_refuses_is_replaced():
    # Guards against a refused watcher that retries again and again, or leaves the fleet
    # without changes.
    fleet = make_fleet(76, [12.0 + 0.7 * n for n in range(12)])
    fleet.run(11.5)
    fleet.store.rejected_routers = set(fleet.find(lambda w: w.is_watcher))
    fleet.run(26.0)
    check_in_force(fleet)
    (refused,) = fleet.store.rejected_routers
    attempts = sum(name == refused and at_s > 15.0 for at_s, name in fleet.store.calls)
    assert attempts <= 6


def test_zones_get_changes_from_each_other_if_the_store_refuses_all_heads():
    # Guards against changes that stay in the zone of the only router that was served.
    fleet = make_fleet(76, [12.0 + 1.4 * n for n in range(6)])
    fleet.run(11.5)
    senders = fleet.find(lambda policy: policy.is_watcher or policy.is_head)
    served = next(name for name in fleet.names if name not in senders)
    fleet.store.rejected_routers = set(fleet.names) - {served}
    fleet.run(24.0)
    check_in_force(fleet)


@pytest.mark.parametrize("share", [0.33, 0.8])
def test_refused_routers_get_changes_from_served_ones(share):
    # Guards against refused routers, a third of the fleet or more, that keep retrying.
    fleet = make_fleet(195, [12.0 + 1.4 * n for n in range(6)])
    fleet.run(11.5)
    fleet.store.rejected_routers = set(fleet.names[: int(share * len(fleet.names))])
    fleet.run(22.0)
    check_in_force(fleet)
    assert fleet.count_calls(12.0, 22.0) <= 0.2 * 10 * len(fleet.store.rejected_routers)


def test_store_that_is_down_gets_few_calls():
    # Guards against hundreds of calls a second to a store that recovers.
    fleet = make_fleet(195)
    fleet.run(11.5)
    fleet.store.is_down = True
    fleet.run(21.5)
    fleet.store.is_down = False
    fleet.store.acked_s = [21.5]
    fleet.run(28.0)
    check_in_force(fleet)
    # At most half a call per second and router.
    assert fleet.count_calls(15.0, 21.5) <= 0.5 * 6.5 * 195


def test_lost_datagrams_cause_few_calls():
    # Guards against a call to the store for each lost datagram.
    fleet = make_fleet(76, [12.0 + 1.4 * n for n in range(6)], loss=0.1)
    fleet.run(25.0)
    check_in_force(fleet)
    assert fleet.count_calls(10.0, 25.0) <= 2 * 15 * CALLS_PER_S
