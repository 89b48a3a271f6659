import pytest
from hypothesis import given
from hypothesis import strategies as st

from tamarackrill.decisions.retry_shares import (
    MARGIN,
    REMEMBERED_S,
    BudgetTerms,
    FleetSize,
    RetryShare,
)

TERMS = BudgetTerms(ratio=0.2, window_s=10.0, fixed=56.0)


def test_share_is_the_ratio_of_own_requests_and_a_part_of_the_rest():
    share = RetryShare(TERMS)
    for _ in range(100):
        share.note_request(0.0)
    assert share.count_retries_left(8, 1.0) == pytest.approx(MARGIN * (20 + 7))


def test_what_left_the_window_counts_no_more():
    share = RetryShare(TERMS)
    share.note_request(0.0)
    share.note_retry(0.0)
    assert share.count_retries_left(8, 10.1) == pytest.approx(MARGIN * 7)


@given(
    st.lists(
        st.tuples(st.integers(0, 7), st.floats(0.0, 0.3)), min_size=50, max_size=300
    )
)
def test_fleet_stays_within_the_budget_when_every_request_fails(arrivals):
    # All endpoints of a service fail at once, and every router repeats what it may.
    # Were each to take the whole budget, the service would get several times its
    # requests just when it is weakest.
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


def test_cut_zone_does_not_divide_the_budget_anew():
    # A zone with two of eight routers is cut off, and each side takes the other for
    # gone.  Were both to divide the fixed part among those that are left, the service
    # would get twice as many repeats as its budget allows.
    size = FleetSize()
    size.observe(8, 0.0)
    size.observe(2, 6.0)
    assert size.largest == 8
    size.observe(2, REMEMBERED_S + 1.0)
    assert size.largest == 2


def test_new_routers_count_at_once():
    size = FleetSize()
    assert size.largest == 1
    size.observe(2, 0.0)
    size.observe(9, 0.1)
    assert size.largest == 9
