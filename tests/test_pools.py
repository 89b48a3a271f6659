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
def test_rank_matches_rendezvous_hashing(count):
    pool = make_engines()
    for key in ("a", "b", "a"):
        assert pool.rank(key, count) == rank(key, NAMES)[:count]


def test_caller_cannot_modify_the_cached_ranking():
    pool = make_engines()
    pool.rank("a", 3).clear()
    assert pool.rank("a", 3) == rank("a", NAMES)[:3]


def test_pool_made_from_a_list_has_only_live_endpoints():
    states = ("live", "leaving", "live")
    pool = make_pool([make_engine(*pair) for pair in zip(NAMES, states, strict=False)])
    assert list(pool.by_name) == [NAMES[0], NAMES[2]]
    assert make_pool(pool) is pool


def test_zone_has_only_its_own_endpoints():
    pool = make_engines()
    assert list(pool.select_zone("z1").by_name) == NAMES[1::3]
    assert len(pool.select_zone("nowhere")) == 0


def test_subpool_is_reused_for_the_same_excluded_endpoints():
    # A zone is cut off, and thousands of requests exclude its endpoints.  Without reuse
    # each request would iterate over all endpoints.
    pool = make_engines()
    excluded = {NAMES[3], "gone"}
    subpool = pool.exclude(excluded)
    assert list(subpool.by_name) == [name for name in NAMES if name != NAMES[3]]
    assert pool.exclude(set(excluded)) is subpool
    assert pool.exclude({"gone"}) is pool


def test_number_of_cached_subpools_is_limited():
    pool = make_engines()
    first = pool.exclude({NAMES[0]})
    for name in NAMES[1:]:
        for other in (NAMES[0], name):
            pool.exclude({name, other})
    assert pool.exclude({NAMES[0]}) is not first
