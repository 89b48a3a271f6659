"""Detection of endpoints that fail together, and of pools that fail as a whole."""

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tamarackrill.decisions.endpoint_news import FailureReport
from tamarackrill.decisions.failure_clusters import (
    FAILED_MIN,
    FailureCounts,
    find_failing,
)
from tamarackrill.decisions.fleet_health import FleetHealth

SLOTS = 12
STEP_S = 0.1
REQUESTS_PER_S = 8.0
PARTIAL, COMPLETE = 0.4, 1.0


class SimulatedPool:
    """A pool under load, whose senders report each failure at once.

    Requests are spread evenly over the endpoints that are not excluded.
    """

    def __init__(
        self, endpoints, failing, share, senders, zones, in_flight=0, load_cap=2.0
    ):
        self.pool = {f"e{number}": SLOTS for number in range(endpoints)}
        self.failing = {f"e{number}" for number in range(failing)}
        self.in_flight = in_flight
        self.now_s = 0.0
        self.ever_excluded = set()
        self.ever_paused = set()
        self.most_excluded = 0
        self.failed = self.sent = 0
        self._share = share
        self._senders = senders
        self._chance = random.Random(1)
        self._health = FleetHealth(
            lambda reporter: f"z{reporter % zones}", "z0", load_cap
        )

    def run(self, for_s):
        until_s = self.now_s + for_s
        while self.now_s < until_s:
            self.now_s += STEP_S
            self.ever_paused.update(self._health.pause_failing(self.pool, self.now_s))
            excluded = self.find_paused()
            self.ever_excluded |= excluded
            self.most_excluded = max(self.most_excluded, len(excluded))
            takers = [name for name in self.pool if name not in excluded]
            for _ in range(round(REQUESTS_PER_S * len(self.pool) * STEP_S)):
                self._send(self._chance.choice(takers))

    def find_paused(self):
        return self._health.find_paused(self.pool, self.in_flight, self.now_s)

    def _send(self, name):
        self.sent += 1
        if name in self.failing and self._chance.random() < self._share:
            self.failed += 1
            reporter = self._chance.randrange(self._senders)
            self._health.observe(
                FailureReport(name, reporter, self.sent, 1), self.now_s
            )


# Endpoints, and how many fail: a third, a half, two thirds, nine in ten.
PARTS = [(6, 2), (6, 3), (6, 4), (40, 13), (40, 20), (40, 27), (40, 36)]
PARTS += [(79, 27), (79, 40), (79, 53), (79, 71)]


@pytest.mark.parametrize(("senders", "zones"), [(6, 1), (6, 3), (195, 1), (195, 6)])
@pytest.mark.parametrize("share", [PARTIAL, COMPLETE])
@pytest.mark.parametrize(("endpoints", "failing"), PARTS)
def test_part_of_a_pool_that_fails_together_loses_its_work(
    endpoints, failing, share, senders, zones
):
    # Guards against a failing part so large that its failures look normal.
    pool = SimulatedPool(endpoints, failing, share, senders, zones)
    pool.run(4.0)
    assert pool.ever_paused == pool.failing
    assert pool.ever_excluded <= pool.failing
    assert pool.most_excluded == min(failing, endpoints // 2)


@pytest.mark.parametrize("load_cap", [1.5, 2.0, 4.0])
@pytest.mark.parametrize(("endpoints", "failing"), PARTS)
def test_rest_of_a_pool_carries_no_more_than_the_multiple_of_the_mean(
    endpoints, failing, load_cap
):
    # Guards against a few healthy endpoints that carry the load of all.
    pool = SimulatedPool(endpoints, failing, COMPLETE, 195, 6, load_cap=load_cap)
    pool.run(4.0)
    assert pool.most_excluded
    assert endpoints <= load_cap * (endpoints - pool.most_excluded)


@pytest.mark.parametrize(("endpoints", "failing"), PARTS)
def test_part_that_fails_for_long_costs_few_requests(endpoints, failing):
    # Guards against endpoints that fail for long and get all their work back after each
    # pause.
    pool = SimulatedPool(endpoints, failing, PARTIAL, 195, 6)
    pool.run(30.0)
    left = endpoints - min(failing, endpoints // 2)
    share = (failing - endpoints + left) / left
    assert pool.failed < PARTIAL * pool.sent * (
        share + 0.5 * (failing / endpoints - share)
    )


@pytest.mark.parametrize(("senders", "zones"), [(6, 1), (6, 3), (195, 1), (195, 6)])
@pytest.mark.parametrize("share", [0.05, PARTIAL, COMPLETE])
@pytest.mark.parametrize("endpoints", [2, 6, 40, 79])
def test_pool_that_fails_as_a_whole_keeps_its_work(endpoints, share, senders, zones):
    # Guards against load shifting from failing endpoints to others that fail too.
    pool = SimulatedPool(endpoints, endpoints, share, senders, zones)
    pool.run(20.0)
    assert pool.ever_excluded == set()


@pytest.mark.parametrize(("endpoints", "failing"), PARTS)
@pytest.mark.parametrize("filled", [0.2, 0.5, 0.9])
def test_rest_of_a_pool_gets_no_more_than_it_has_room_for(endpoints, failing, filled):
    # Guards against overloading a healthy part with the work of a larger failing one.
    pool = SimulatedPool(
        endpoints, failing, PARTIAL, 195, 6, int(filled * endpoints * SLOTS)
    )
    for _ in range(40):
        pool.run(STEP_S)
        left = SLOTS * (endpoints - len(pool.find_paused()))
        assert not pool.find_paused() or 2 * pool.in_flight <= left


def test_one_of_two_endpoints_that_fails_loses_its_work():
    pool = SimulatedPool(2, 1, COMPLETE, 6, 3)
    pool.run(4.0)
    assert pool.ever_excluded == {"e0"}


def test_endpoint_that_has_just_joined_is_no_proof_that_others_are_worse():
    # Guards against a pool that fails as a whole being excluded because new endpoints,
    # which have received no requests yet, look healthy.
    health = FleetHealth(lambda reporter: "z0", "z0")
    old = {f"e{number}": SLOTS for number in range(8)}
    pool = {**old, **{f"new{number}": SLOTS for number in range(8)}}
    health.observe_endpoints(old, 0.0)
    health.observe_endpoints(pool, 100.0)
    for number, name in enumerate(old):
        for reporter in range(6):
            health.observe(FailureReport(name, reporter, number, 2), 100.5)
    assert health.pause_failing(pool, 100.6) == []


def test_endpoint_that_gets_work_again_is_no_proof_that_others_are_worse():
    # Guards against one wrong pause after which all the other endpoints look worse.
    health = FleetHealth(lambda reporter: "z0", "z0")
    pool = {f"e{number}": SLOTS for number in range(4)}
    for reporter in range(6):
        health.observe(FailureReport("e0", reporter, 0, 3), 0.0)
    assert health.pause_failing(pool, 0.1) == ["e0"]
    for name in ("e1", "e2", "e3"):
        for reporter in range(6):
            health.observe(FailureReport(name, reporter, 1, 3), 2.7)
    assert not health.find_paused(pool, 0, 2.7)
    assert health.pause_failing(pool, 2.8) == []


COUNTS = st.integers(0, 200).map(lambda count: FailureCounts(count, count))


@given(st.dictionaries(st.integers(0, 99).map(str), COUNTS, max_size=40))
def test_what_fails_has_failed_often_and_more_than_all_others(failed):
    found = find_failing(failed)
    least = min((failed[name].accepted for name in found), default=math.inf)
    assert least >= FAILED_MIN
    assert all(failed[name].accepted < least for name in failed.keys() - found)
    assert not found or found != failed.keys()


@given(COUNTS, st.integers(1, 200))
def test_endpoints_of_one_count_are_never_divided(counts, size):
    assert find_failing({str(number): counts for number in range(size)}) == set()
