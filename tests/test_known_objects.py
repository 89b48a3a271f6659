import pytest

from tamarackrill.contracts import hash_key
from tamarackrill.decisions.configuration import ObjectVersion
from tamarackrill.exceptions import Refusal
from tamarackrill.router.calls import authenticate
from tamarackrill.router.known_objects import KnownObjects


def take(known, team, version, *keys):
    value = {
        "team": team,
        "key_hashes": [hash_key(key) for key in keys],
        "models": ["m"],
    }
    known.take(ObjectVersion("contract", team, version, value if keys else None))


def test_keys_follow_each_change_of_a_contract():
    known = KnownObjects()
    take(known, "a", 1, "old")
    assert authenticate(known.find_holder, "Bearer old").team == "a"
    take(known, "a", 2, "old", "new")
    assert authenticate(known.find_holder, "bearer new").team == "a"
    take(known, "a", 3, "new")
    for header in (
        "Bearer old",
        "Basic new",
        "Bearer",
        "",
        "Bearer " + hash_key("new"),
    ):
        with pytest.raises(Refusal, match="not known"):
            authenticate(known.find_holder, header)
    take(known, "a", 4)
    with pytest.raises(Refusal):
        authenticate(known.find_holder, "Bearer new")


def test_all_routers_choose_the_same_contract_for_a_key_of_two():
    # Two operators give the same key to two teams at once.  Routers that receive the
    # contracts in different orders must attribute a request to the same team.
    for order in (("a", "b"), ("b", "a")):
        known = KnownObjects()
        for version, team in enumerate(order, 1):
            take(known, team, version, "k")
        assert known.find_holder(hash_key("k")).team == "a"
