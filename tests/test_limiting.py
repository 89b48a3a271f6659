"""Contract limits in the daemon, with routers and an engine as processes."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from tamarackrill.contracts import hash_key
from tamarackrill.testing.processes import FleetProcesses, call, wait_for

LIMITS = {
    "rate": {"rate_per_s": 0.01, "rate_burst": 2},
    "tokens": {"tokens_per_s": 1, "tokens_burst": 150},
    "in_flight": {"in_flight_max": 2},
}


@pytest.fixture(scope="module")
def fleet():
    with FleetProcesses() as fleet:
        for team, limits in LIMITS.items():
            contract = {"team": team, "key_hashes": [hash_key(team)], "models": ["m"]}
            fleet.put_contract({**contract, **limits})
        fleet.engine = fleet.add_engine("engine-1")
        fleet.router = fleet.add_router("router-1")
        fleet.wait_ready()
        wait_for(lambda: fleet.router.status()["endpoints"], "the engine")
        yield fleet


def ask(fleet, team):
    body = {"model": "m", "messages": [{"content": "x"}], "max_tokens": 100}
    headers = {"Authorization": f"Bearer {team}"}
    return call(fleet.router.address, "/v1/chat/completions", body, headers=headers)


@pytest.mark.parametrize("limit", LIMITS)
def test_call_over_a_limit_is_refused_before_it_reaches_an_engine(fleet, limit):
    # A team sends three calls where its contract allows two.  Without the limit all
    # three would run, and other teams would wait for a team that exceeds its contract.
    fleet.engine.set_faults(hold=True)
    before = len(fleet.engine.look()["arrivals"])
    with ThreadPoolExecutor(2) as callers:
        first = [callers.submit(ask, fleet, limit) for _ in range(2)]
        wait_for(
            lambda: len(fleet.engine.look()["arrivals"]) == before + 2, "two calls"
        )
        refused = ask(fleet, limit)
        fleet.engine.set_faults()
        assert [future.result().status for future in first] == [200, 200]
    assert (refused.status, refused.json()["code"]) == (429, f"{limit}_limited")
    assert refused.json()["run"] == "not_run"
    assert float(refused.headers["Retry-After"]) >= 1
    assert len(fleet.engine.look()["arrivals"]) == before + 2
    fleet.router.wait_line(f" team_limited team={limit} ")


def test_limit_holds_over_two_routers():
    # A team uses up its limit over two routers and sends one more call.  If the routers
    # did not exchange usage, the team would get the limit of its contract twice.
    contract = {"team": "t", "key_hashes": [hash_key("t")], "models": ["m"]}
    with FleetProcesses() as fleet:
        fleet.put_contract({**contract, "in_flight_max": 5})
        fleet.engine = fleet.add_engine("engine-1", "m", "--slots=64")
        routers = [fleet.add_router("router-1"), fleet.add_router("router-2", "zone-b")]
        fleet.wait_ready()
        fleet.engine.set_faults(hold=True)
        with ThreadPoolExecutor(5) as callers:
            for count, fleet.router in enumerate([*routers[:1] * 4, routers[1]], 1):
                callers.submit(ask, fleet, "t")
                wait_for(
                    lambda count=count: len(fleet.engine.look()["arrivals"]) == count,
                    "the call at the engine",
                )
            wait_for(
                lambda: routers[1].status()["limits"]["t"]["in_flight"] == 5,
                "the sum at the other router",
            )
            refused = ask(fleet, "t")
            fleet.engine.set_faults()
        assert refused.json()["code"] == "in_flight_limited"
