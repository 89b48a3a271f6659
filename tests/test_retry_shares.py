import pytest
from hypothesis import given
from hypothesis import strategies as st

from tamarackrill.decisions.retry_shares import (
    ROUTER_RETENTION_S,
    SAFETY_FACTOR,
    UNCOUNTED_ROUTERS,
    BudgetTerms,
    FleetSize,
    RetryShare,
)
from tamarackrill.router.members import Member, Members

TERMS = BudgetTerms(ratio=0.2, window_s=10.0, fixed=56.0)


def test_share_is_the_ratio_of_own_requests_and_a_part_of_the_fixed_number():
    share = RetryShare(TERMS)
    for _ in range(100):
        share.note_request(0.0)
    assert share.count_retries_left(8, 1.0) == pytest.approx(SAFETY_FACTOR * (20 + 7))


def test_requests_outside_the_window_do_not_count():
    share = RetryShare(TERMS)
    share.note_request(0.0)
    share.note_retry(0.0)
    assert share.count_retries_left(8, 10.1) == pytest.approx(SAFETY_FACTOR * 7)


@given(
    st.lists(
        st.tuples(st.integers(0, 7), st.floats(0.0, 0.3)), min_size=50, max_size=300
    )
)
def test_fleet_stays_within_the_budget_when_every_request_fails(arrivals):
    # All endpoints of a service fail at once, and every router retries as much as
    # allowed. If each used the whole budget, the service would get several times its
    # normal load just when it is weakest.
    shares = [RetryShare(TERMS) for _ in range(8)]
    requests, repeats, now_s = [], [], 0.0
    for router, pause_s in arrivals:
        now_s += pause_s
        shares[router].note_request(now_s)
        requests.append(now_s)
        while shares[router].count_retries_left(8, now_s) >= 1.0:
            shares[router].note_retry(now_s)
            repeats.append(now_s)
    for end_s in repeats:
        window = [t for t in repeats if end_s - TERMS.window_s < t <= end_s]
        asked = [t for t in requests if end_s - TERMS.window_s < t <= end_s]
        assert len(window) <= TERMS.ratio * len(asked) + TERMS.fixed


def test_partition_does_not_redistribute_the_budget():
    # A zone with two of eight routers is partitioned, and each side considers the other
    # gone. If both redistributed the fixed part among the remaining routers, the
    # service would get twice as many retries as its budget allows.
    size = FleetSize()
    size.observe(8, 0.0)
    size.observe(2, 6.0)
    assert size.largest == 8
    size.observe(2, ROUTER_RETENTION_S + 1.0)
    assert size.largest == 2


def test_new_routers_count_immediately():
    size = FleetSize()
    assert size.largest == 1
    size.observe(2, 0.0)
    size.observe(9, 0.1)
    assert size.largest == 9


def test_router_that_is_not_heard_of_keeps_its_share():
    # Guards against a router that takes over the shares of those that it can't hear,
    # though these serve on.
    members = Members(Member("own", "", "a"))
    members.replace([Member("near", "", "a"), Member("far", "", "b", "suspect")])
    assert members.count_serving() == 3
    members.replace([Member("near", "", "a")], [Member("far", "", "b", "dead")])
    assert members.count_serving() == 3


@pytest.mark.parametrize("routers", [8, 60, 370])
def test_routers_that_know_no_others_stay_within_the_budget(routers):
    # Guards against routers that all start at once and each spend the fixed number.
    share, size = RetryShare(TERMS), FleetSize(uncounted=UNCOUNTED_ROUTERS)
    assert routers * share.count_retries_left(size.largest, 0.0) < 1.0
    share.note_request(0.0)
    size.observe(routers, 0.1)
    size.observe(1, 0.2)
    left = routers * share.count_retries_left(size.largest, 0.3)
    requests = routers
    assert left <= TERMS.fixed + TERMS.ratio * requests
