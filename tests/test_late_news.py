"""Changes are in force in time though what routers hear of the store comes late."""

import pytest

from tamarackrill.decisions.watching import SETTLE_S
from tamarackrill.testing.store_fleet import PlayedFleet, PlayedStore

PROPAGATION_MAX_S = 4.0
ZONES = 3
ROUTERS = 12 * ZONES
LATE = 10


def make_fleet(acked_s):
    return PlayedFleet(ROUTERS, PlayedStore(acked_s), PROPAGATION_MAX_S, ZONES)


def check_in_force(fleet):
    assert max(fleet.find_delays_s()) <= PROPAGATION_MAX_S


# Over one watch of the store, so that evidence is new, old, and in between.
MOMENTS_S = [SETTLE_S + PROPAGATION_MAX_S / 2 * part / 8 for part in range(8)]


def find_late(fleet):
    """Return routers of one zone that neither watch nor lead."""
    told = set(fleet.find(lambda w: w.is_watcher or w.is_head))
    return [name for name in fleet.names[2::ZONES] if name not in told][:LATE]


def kill_who_tells(fleet, at_s):
    fleet.run(at_s)
    fleet.kill(fleet.find(lambda w: w.is_watcher or w.is_head))


@pytest.mark.parametrize("at_s", MOMENTS_S)
@pytest.mark.parametrize("late_s", [0.0, 0.5, 1.0, 1.5, 3.0])
def test_routers_that_hear_each_datagram_late_have_changes_in_time(late_s, at_s):
    # Guards against evidence that waited on its way and is taken for new.
    fleet = make_fleet([at_s + 0.02])
    fleet.late_s = dict.fromkeys(find_late(fleet), late_s)
    kill_who_tells(fleet, at_s)
    fleet.run(at_s + 6.0)
    check_in_force(fleet)


@pytest.mark.parametrize("at_s", MOMENTS_S)
def test_routers_whose_datagrams_begin_to_be_late_have_changes_in_time(at_s):
    # Guards against the delay of calm times being taken for that of a full link.
    fleet = make_fleet([at_s + 0.02])
    fleet.run(at_s - 3.0)
    fleet.late_s = dict.fromkeys(find_late(fleet), 2.0)
    kill_who_tells(fleet, at_s)
    fleet.run(at_s + 6.0)
    check_in_force(fleet)


@pytest.mark.parametrize("at_s", MOMENTS_S[::2])
def test_changes_are_in_time_though_datagrams_overtake_each_other(at_s):
    # Guards against late datagrams that stand for what their senders know now.
    fleet = make_fleet([at_s + 0.02 + 0.9 * n for n in range(4)])
    fleet.jitter_s = 1.0
    kill_who_tells(fleet, at_s)
    fleet.run(at_s + 9.0)
    check_in_force(fleet)


@pytest.mark.parametrize("at_s", MOMENTS_S[::2])
@pytest.mark.parametrize("stop", ["frozen", "suspended"])
@pytest.mark.parametrize("stopped_s", [1.5, 3.0])
def test_routers_that_run_again_pass_nothing_old_on_as_new(stopped_s, stop, at_s):
    # Guards against what has waited in the sockets of heads that were stopped, and
    # makes their zones believe a watcher that is long gone.
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


@pytest.mark.parametrize("at_s", MOMENTS_S[::2])
def test_routers_that_hear_from_one_whose_clock_stood_still_have_changes_in_time(at_s):
    # Guards against evidence of one that was suspended and counts too little time.
    fleet = make_fleet([at_s + 0.02])
    fleet.run(at_s - 2.0)
    fleet.suspended = set(fleet.find(lambda w: w.is_watcher))
    fleet.run(at_s)
    fleet.suspended = set()
    fleet.run(at_s + 6.0)
    check_in_force(fleet)


@pytest.mark.parametrize("count", [8, 76])
def test_delays_cost_no_calls_in_a_calm_minute(count):
    # Guards against routers that ask the store because they don't know how long what
    # they hear has taken.
    fleet = PlayedFleet(count, PlayedStore(), PROPAGATION_MAX_S)
    fleet.run(65.0)
    assert fleet.count_calls(5.0, 65.0) <= 60 / (PROPAGATION_MAX_S / 2) + 1
