import random

import pytest

from tamarackrill.decisions.leases import (
    Lease,
    LeaseRecord,
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
        # As on the platform, a version is never used again.
        self._writes = 0

    def write(self, action):
        if action.expected_version != self.version:
            return None
        self._writes += 1
        self.version = self._writes
        self.record = action.record
        return self.version

    def write_odd(self):
        """Replace the record by one that can't be read."""
        self._writes += 1
        self.version, self.record = self._writes, LeaseRecord("", 0, 0)

    def delete(self):
        self._writes += 1
        self.version = self.record = None


def _step(lease, platform, rng, now_s):
    action = lease.next_action(now_s)
    if isinstance(action, ReadLease):
        lease.handle_read(platform.record, platform.version, now_s)
    elif isinstance(action, WriteLease):
        outcome = rng.choice(["answered", "answered", "answer lost", "dropped", "late"])
        if outcome == "answered":
            lease.handle_write(action, platform.write(action), now_s, now_s)
            return
        if outcome == "answer lost":
            platform.write(action)
        if outcome == "late":
            platform.delayed.append(action)
        lease.handle_lost_write()


def _simulate(make_lease, seed):
    """Return how many orders could arrive after a later holder's, and the total."""
    rng = random.Random(seed)
    platform = _Platform()
    # Each router's clock has a different offset.
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
    # A holder sends its orders sequentially; only orders of two holders can overlap.
    for at_s, fence, holder in orders:
        late += any(
            other > fence
            and by is not holder
            and begun_s < at_s + TIMING.order_delivery_max_s
            for begun_s, other, by in orders
        )
    return late, len(orders)


def _make_lease(identity):
    return Lease(identity, TIMING)


class _IgnoresExpiry(Lease):
    def may_order(self, now_s):
        return self._is_holder()


class _TakesOverEarly(Lease):
    def _takeover_from_s(self):
        return self._first_seen_s + self._timing.lease_s / 2


class _ExtendsOnLostWrite(Lease):
    def handle_lost_write(self):
        self._valid_until_s += self._timing.lease_s


def test_orders_of_two_holders_never_overlap():
    # A router that sends orders to engines freezes, or loses its connection to the
    # platform, and its lease expires while it still considers itself the holder. An
    # engine that ignores fencing numbers would apply its late order after the
    # successor's and unload a model that was just loaded; callers of that model would
    # be refused.
    results = [_simulate(_make_lease, seed) for seed in range(SEEDS)]
    assert sum(late for late, _ in results) == 0
    assert sum(count for _, count in results) > SEEDS


@pytest.mark.parametrize(
    "broken", [_IgnoresExpiry, _TakesOverEarly, _ExtendsOnLostWrite]
)
def test_simulation_detects_each_missing_check(broken):
    results = [
        _simulate(lambda name: broken(name, TIMING), seed) for seed in range(SEEDS)
    ]
    assert sum(late for late, _ in results) > 0


@pytest.mark.parametrize("interfere", [_Platform.write_odd, _Platform.delete])
def test_fencing_numbers_rise_though_another_program_writes_the_lease(interfere):
    # Guards against a router that starts beside a lease that can't be read, or after it
    # was deleted, and whose orders are refused by engines for their old number.
    for seed in range(SEEDS):
        rng = random.Random(seed)
        platform, leases, fences = _Platform(), [], []
        now_s = 0.0
        for _ in range(STEPS):
            now_s += rng.choice([0.5, 1.0, 3.0])
            if rng.random() < 0.05:
                interfere(platform)
            if not leases or rng.random() < 0.02:
                # All routers start again.
                leases = [_make_lease(f"r{len(fences)}-{now_s}-{i}") for i in range(2)]
            lease = rng.choice(leases)
            _step(lease, platform, rng, now_s)
            if lease.may_order(now_s) and (lease.fence, lease) not in fences:
                fences.append((lease.fence, lease))
        numbers = [fence for fence, _ in fences]
        assert numbers == sorted(set(numbers))
        assert len(numbers) > 1


def test_restarted_router_is_a_different_holder():
    platform = _Platform()
    first, second = _make_lease("r/1"), _make_lease("r/2")
    for now_s in (0.0, 0.1, 0.2):
        _step(first, platform, random.Random(1), now_s)
    assert first.may_order(0.3)
    second.handle_read(platform.record, platform.version, 0.3)
    assert not second.may_order(0.3)
