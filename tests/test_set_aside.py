"""Search for endpoints that make a choice raise."""

import pytest

from tamarackrill.decisions.set_aside import (
    FAULTY_MAX,
    SEARCH_PAUSE_S,
    SET_ASIDE_S,
    SetAside,
)

NAMES = [f"e{number}" for number in range(780)]


def search(set_aside, faulty, now_s=0.0, names=NAMES):
    choices = []

    def works(subset):
        choices.append(subset)
        return not faulty.intersection(subset)

    return set(set_aside.search(names, works, now_s)), len(choices)


@pytest.mark.parametrize("faulty", [{"e0"}, {"e779"}, {"e1", "e2", "e500"}])
def test_faulty_endpoints_are_left_out_for_a_while(faulty):
    # Guards against a service whose requests are all refused because one endpoint
    # raises, and against a search among all endpoints that takes long.
    set_aside = SetAside()
    found, choices = search(set_aside, faulty)
    assert found == set(set_aside.find(0.0)) == faulty
    assert choices <= 24 * len(faulty)
    assert not set_aside.find(SET_ASIDE_S)


@pytest.mark.parametrize(
    ("faulty", "names"),
    [
        (set(), NAMES),
        (set(NAMES), NAMES),
        (set(NAMES[: FAULTY_MAX + 1]), NAMES),
        ({"e0"}, ["e0"]),
    ],
)
def test_error_that_is_not_of_few_endpoints_leaves_none_out(faulty, names):
    # Guards against a fault of the router that leaves all endpoints out, and against
    # a search for each request.
    set_aside = SetAside()
    found, choices = search(set_aside, faulty, names=names)
    assert found == set(set_aside.find(0.0)) == set()
    assert choices < 100
    assert search(set_aside, {"e0"}) == (set(), 0)
    assert search(set_aside, {"e0"}, SEARCH_PAUSE_S)[0] == {"e0"}
