"""Changes are in force in time although evidence of the store arrives late."""

import pytest

from tamarackrill.decisions.watching import SETTLE_S
from tamarackrill.testing.store_fleet import SimulatedFleet, SimulatedStore

PROPAGATION_MAX_S = 4.0
ZONES = 3
ROUTERS = 12 * ZONES
LATE = 10


def make_fleet(acked_s):
    return SimulatedFleet(ROUTERS, SimulatedStore(acked_s), PROPAGATION_MAX_S, ZONES)


def check_in_force(fleet):
    assert max(fleet.compute_delays_s()) <= PROPAGATION_MAX_S


# Spread over one watch of the store, so that the evidence has different ages.
FAILURE_TIMES_S = [SETTLE_S + PROPAGATION_MAX_S / 2 * part / 8 for part in range(8)]


def find_late(fleet):
    """Return routers of one zone that are neither watcher nor head."""
    tellers = set(fleet.find(lambda w: w.is_watcher or w.is_head))
    return [name for name in fleet.names[2::ZONES] if name not in tellers][:LATE]


def kill_watcher_and_heads(fleet, at_s):
    fleet.run(at_s)
    fleet.kill(fleet.find(lambda w: w.is_watcher or w.is_head))


@pytest.mark.parametrize("at_s", FAILURE_TIMES_S)
@pytest.mark.parametrize("extra_latency_s", [0.0, 0.5, 1.0, 1.5, 3.0])
def test_routers_that_receive_every_datagram_late_apply_changes_in_time(
    extra_latency_s, at_s
):
    # Guards against evidence that was delayed in transit and is treated as new.
    fleet = make_fleet([at_s + 0.02])
    fleet.extra_latency_s = dict.fromkeys(find_late(fleet), extra_latency_s)
    kill_watcher_and_heads(fleet, at_s)
    fleet.run(at_s + 6.0)
    check_in_force(fleet)


@pytest.mark.parametrize("at_s", FAILURE_TIMES_S)
def test_routers_whose_datagrams_become_late_apply_changes_in_time(at_s):
    # Guards against applying the transit time of an idle link to a congested one.
    fleet = make_fleet([at_s + 0.02])
    fleet.run(at_s - 3.0)
    fleet.extra_latency_s = dict.fromkeys(find_late(fleet), 2.0)
    kill_watcher_and_heads(fleet, at_s)
    fleet.run(at_s + 6.0)
    check_in_force(fleet)


@pytest.mark.parametrize("at_s", FAILURE_TIMES_S[::2])
def test_changes_are_in_time_though_datagrams_overtake_each_other(at_s):
    # Guards against late datagrams that are taken for the sender's current state.
    fleet = make_fleet([at_s + 0.02 + 0.9 * n for n in range(4)])
    fleet.jitter_s = 1.0
    kill_watcher_and_heads(fleet, at_s)
    fleet.run(at_s + 9.0)
    check_in_force(fleet)


@pytest.mark.parametrize("at_s", FAILURE_TIMES_S[::2])
@pytest.mark.parametrize("stop", ["frozen", "suspended"])
@pytest.mark.parametrize("stopped_s", [1.5, 3.0])
def test_resumed_routers_relay_no_old_evidence_as_new(stopped_s, stop, at_s):
    # Guards against datagrams that waited in the sockets of stopped heads and make
    # their zones accept evidence of a watcher that has been killed.
    fleet = make_fleet([at_s + 0.52])
    fleet.run(at_s)
    heads = set(fleet.find(lambda w: w.is_head and not w.is_watcher))
    setattr(fleet, stop, heads)
    fleet.run(at_s + 0.5)
    fleet.kill(fleet.find(lambda w: w.is_watcher))
    fleet.run(at_s + stopped_s)
    setattr(fleet, stop, set())
    fleet.run(at_s + 7.0)
    check_in_force(fleet)


@pytest.mark.parametrize("at_s", FAILURE_TIMES_S[::2])
def test_routers_told_by_a_suspended_router_apply_changes_in_time(at_s):
    # Guards against evidence whose age omits the time of its sender's suspension.
    fleet = make_fleet([at_s + 0.02])
    fleet.run(at_s - 2.0)
    fleet.suspended = set(fleet.find(lambda w: w.is_watcher))
    fleet.run(at_s)
    fleet.suspended = set()
    fleet.run(at_s + 6.0)
    check_in_force(fleet)


@pytest.mark.parametrize("count", [8, 76])
def test_delays_cause_no_extra_calls_without_changes(count):
    # Guards against routers that query the store because they don't know the transit
    # times of the evidence that they receive.
    fleet = SimulatedFleet(count, SimulatedStore(), PROPAGATION_MAX_S)
    fleet.run(65.0)
    assert fleet.count_calls(5.0, 65.0) <= 60 / (PROPAGATION_MAX_S / 2) + 1
