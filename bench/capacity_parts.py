"""Slopes of decisions and state, in this process."""

from slopes import Fit, count_bytes, fit, time_us
from tamarackrill.contracts import hash_key
from tamarackrill.decisions.configuration import ConfigurationStore, ObjectVersion
from tamarackrill.decisions.hashing import rendezvous_order
from tamarackrill.router.calls import authenticate
from tamarackrill.router.known_objects import KnownObjects

TEAMS = (100, 500, 1000, 2300)
MEMBERS = (46, 93, 185, 370)
ENDPOINTS = (34, 100, 390, 780)


def measure_parts() -> dict[str, Fit]:
    """Return the slopes of what the daemon does for each call or change."""
    return {
        "find_contract_us": fit("µs", "team", TEAMS, [_time_find(n) for n in TEAMS]),
        "home_us": fit("µs", "router", MEMBERS, [_time_order(n, 2) for n in MEMBERS]),
        "affinity_us": fit(
            "µs", "endpoint", ENDPOINTS, [_time_order(n, 8) for n in ENDPOINTS]
        ),
        "store_bytes": fit("bytes", "object", TEAMS, [_weigh_store(n) for n in TEAMS]),
    }


def _time_find(teams: int) -> float:
    known = KnownObjects()
    for number in range(teams):
        value = {
            "team": f"t{number}",
            "key_hashes": [hash_key(f"k{number}")],
            "models": ["m"],
        }
        known.take(ObjectVersion("contract", f"t{number}", number + 1, value))
    header = f"Bearer k{teams // 2}"
    return time_us(lambda: authenticate(known.find_holder, header), 500)


def _time_order(members: int, count: int) -> float:
    names = [f"member-{i}" for i in range(members)]
    return time_us(lambda: rendezvous_order("team\nchat", names, count), 200)


def _weigh_store(objects: int) -> float:
    def make() -> ConfigurationStore:
        store = ConfigurationStore()
        for number in range(objects):
            value = {"team": f"t{number}", "key_hashes": [hash_key(f"k{number}")]}
            store.apply_version("contract", f"t{number}", number + 1, value)
        return store

    return float(count_bytes(make))
