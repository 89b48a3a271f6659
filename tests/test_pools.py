import pytest

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.hashing import rank
from tamarackrill.decisions.pools import EndpointPool, make_pool

NAMES = [f"engine-{number}" for number in range(12)]


def make_engine(name, state="live"):
    zone = f"z{NAMES.index(name) % 3}"
    return Endpoint(name, "engine", ("writer",), f"{name}:1", zone, state)


def make_engines(names=NAMES):
    return EndpointPool(map(make_engine, names))


@pytest.mark.parametrize("count", [0, 1, 3, 12, 99])
def test_order_is_that_of_rendezvous_hashing(count):
    pool = make_engines()
    for key in ("a", "b", "a"):
        assert pool.rank(key, count) == rank(key, NAMES)[:count]


def test_ranking_that_a_caller_changes_is_not_changed_for_the_next():
    pool = make_engines()
    pool.rank("a", 3).clear()
    assert pool.rank("a", 3) == rank("a", NAMES)[:3]


def test_only_live_endpoints_of_a_list_make_a_pool():
    states = ("live", "leaving", "live")
    pool = make_pool([make_engine(*pair) for pair in zip(NAMES, states, strict=False)])
    assert list(pool.by_name) == [NAMES[0], NAMES[2]]
    assert make_pool(pool) is pool


def test_zone_holds_its_own_endpoints_alone():
    pool = make_engines()
    assert list(pool.select_zone("z1").by_name) == NAMES[1::3]
    assert len(pool.select_zone("nowhere")) == 0


def test_what_is_left_out_is_left_out_alike_for_all_requests():
    # A zone is cut off, and thousands of requests pass over its endpoints.  Each of
    # them would go through all endpoints again.
    pool = make_engines()
    barred = {NAMES[3], "gone"}
    narrowed = pool.exclude(barred)
    assert list(narrowed.by_name) == [name for name in NAMES if name != NAMES[3]]
    assert pool.exclude(set(barred)) is narrowed
    assert pool.exclude({"gone"}) is pool


def test_only_so_many_smaller_pools_are_kept():
    pool = make_engines()
    first = pool.exclude({NAMES[0]})
    for name in NAMES[1:]:
        for other in (NAMES[0], name):
            pool.exclude({name, other})
    assert pool.exclude({NAMES[0]}) is not first
