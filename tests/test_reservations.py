import pytest

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.reservations import (
    ReservationReply,
    Reservations,
    find_owner,
)

POOL = [
    Endpoint(f"engine-{i}", "engine", ("quote-writer",), "", "casnewydd")
    for i in range(5)
]


def reserve(owner, number, router="a", expires_s=100.0, is_last=False, now_s=0.0):
    return owner.reserve(
        f"request-{number}", POOL[0], POOL, router, expires_s, now_s, is_last
    )


def make_owner():
    """Return the owner of a pool in which all engines but one have 6 requests."""
    owner = Reservations(1.5)
    for endpoint in POOL[1:]:
        owner.loads.observe_report(endpoint.name, 6, reported_s=0.0, now_s=0.0)
    owner.loads.observe_report("engine-0", 0, reported_s=0.0, now_s=0.0)
    return owner


def fill(owner, first):
    """Reserve until the owner refuses; return the number of grants."""
    numbers = range(first, first + 100)
    return next(n for n in numbers if not reserve(owner, n).is_granted) - first


def test_repeated_reservation_counts_once():
    # The owner's reply is lost and the home router repeats the call.  Counted twice, a
    # slot would stay occupied after the request has ended, and requests would be turned
    # away from an idle engine.
    owner = make_owner()
    assert reserve(owner, 1) == reserve(owner, 1) == ReservationReply(True, 1)
    owner.release("request-1", 1.0)
    owner.release("request-1", 1.0)
    assert owner.loads.own("engine-0") == 0


@pytest.mark.parametrize("how", ["router failed", "expired"])
def test_slots_of_a_failed_router_are_released(how):
    # A router fails with requests in flight and never releases them.  Its reservations
    # would block the engine for all other routers.
    owner = make_owner()
    granted = fill(owner, 0)
    if how == "expired":
        owner.expire(100.0)
    else:
        owner.release_router("a", 1.0)
    assert fill(owner, 200) == granted > 1


def test_new_owner_counts_the_requests_of_its_predecessor():
    # The owner fails, and its successor has no reservations yet.  By its own count
    # alone it would fill the engine a second time.
    owner = Reservations(1.5)
    for endpoint in POOL:
        owner.loads.observe_report(endpoint.name, 6, reported_s=0.0, now_s=1.0)
    owner.loads.observe_report("engine-0", 8, reported_s=0.5, now_s=1.0)
    assert not reserve(owner, 1, now_s=1.0).is_granted
    assert [entry.in_flight for entry in owner.digest(["engine-0"], 1.0)] == [8]


def test_last_attempt_is_granted_up_to_the_slots():
    # In a burst each owner's mean load is seconds old, and all owners refuse.  Such a
    # request would wait although the engines have free slots.
    owner = Reservations(1.5)
    for number in range(8):
        assert reserve(owner, number, is_last=True).is_granted
    assert not reserve(owner, 8, is_last=True).is_granted


def test_small_pool_has_one_owner_and_a_large_pool_many():
    routers = [f"router-{i}" for i in range(20)]
    assert len({find_owner(endpoint, 5, routers) for endpoint in POOL}) == 1
    large = [endpoint._replace(name=f"e-{i}") for endpoint in POOL for i in range(20)]
    assert len({find_owner(endpoint, 100, routers) for endpoint in large}) > 10


def test_leaving_endpoint_is_not_granted():
    owner = Reservations(1.5)
    pool = [POOL[0]._replace(state="leaving"), *POOL[1:]]
    assert not owner.reserve("r", pool[0], pool, "a", 9.0, 0.0).is_granted
