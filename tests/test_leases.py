import random

import pytest

from tamarackrill.decisions.leases import (
    Lease,
    LeaseTiming,
    ReadLease,
    WriteLease,
)

TIMING = LeaseTiming(lease_s=10.0, order_delivery_max_s=5.0)
SEEDS = 150
STEPS = 300


class _Platform:
    def __init__(self):
        self.version = None
        self.record = None
        self.delayed = []

    def write(self, action):
        if action.expected_version != self.version:
            return None
        self.version = (self.version or 0) + 1
        self.record = action.record
        return self.version


def _step(lease, platform, rng, now_s):
    action = lease.next_action(now_s)
    if isinstance(action, ReadLease):
        lease.handle_read(platform.record, platform.version, now_s)
    elif isinstance(action, WriteLease):
        fate = rng.choice(["answered", "answered", "answer lost", "dropped", "late"])
        if fate == "answered":
            lease.handle_write(action, platform.write(action), now_s, now_s)
            return
        if fate == "answer lost":
            platform.write(action)
        if fate == "late":
            platform.delayed.append(action)
        lease.handle_lost_write()


def _play(make_lease, seed):
    """Return how often an order could arrive after one of a later holder."""
    rng = random.Random(seed)
    platform = _Platform()
    # Each router's clock started at another time.
    leases = [(make_lease(f"r{i}"), rng.uniform(0, 1000)) for i in range(3)]
    orders = []
    now_s = 0.0
    late = 0
    for _ in range(STEPS):
        now_s += rng.choice([0.1, 0.5, 1.0, 3.0])
        if platform.delayed and rng.random() < 0.2:
            platform.write(platform.delayed.pop(0))
        lease, offset_s = rng.choice(leases)
        if rng.random() < 0.7:
            _step(lease, platform, rng, now_s + offset_s)
        if lease.may_order(now_s + offset_s):
            orders.append((now_s, lease.fence, lease))
    # One holder sends its orders one after the other; only those of two can cross.
    for at_s, fence, holder in orders:
        late += any(
            other > fence
            and by is not holder
            and begun_s < at_s + TIMING.order_delivery_max_s
            for begun_s, other, by in orders
        )
    return late, len(orders)


def _make(identity):
    return Lease(identity, TIMING)


class _TrustsItself(Lease):
    def may_order(self, now_s):
        return self._is_own()


class _TakesAtOnce(Lease):
    def _free_from_s(self):
        return self._first_seen_s + self._timing.lease_s / 2


class _CountsFromAnswer(Lease):
    def handle_lost_write(self):
        self._valid_until_s += self._timing.lease_s


def test_orders_of_two_holders_never_cross():
    # A router that orders engines is frozen, or cut from the platform, and its lease
    # lapses while it still believes in it.  An engine that ignores fencing numbers
    # would take its late order after the successor's, and unload what was just
    # loaded; callers of that model would be refused.
    played = [_play(_make, seed) for seed in range(SEEDS)]
    assert sum(late for late, _ in played) == 0
    assert sum(count for _, count in played) > SEEDS


@pytest.mark.parametrize("broken", [_TrustsItself, _TakesAtOnce, _CountsFromAnswer])
def test_search_finds_the_fault_without_each_check(broken):
    played = [_play(lambda name: broken(name, TIMING), seed) for seed in range(SEEDS)]
    assert sum(late for late, _ in played) > 0


def test_restart_of_a_holder_is_another_holder():
    platform = _Platform()
    first, second = _make("r/1"), _make("r/2")
    for now_s in (0.0, 0.1):
        _step(first, platform, random.Random(1), now_s)
    second.handle_read(platform.record, platform.version, 0.2)
    assert not second.may_order(0.2)
