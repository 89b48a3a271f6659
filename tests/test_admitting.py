"""Admission in the daemon, with a router, an engine and callers as processes."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from tamarackrill.contracts import hash_key
from tamarackrill.testing.processes import FleetProcesses, call, wait_for

CHAT_PATH = "/v1/chat/completions"
TEAMS = ("hot", "quiet")


@pytest.fixture
def full_fleet():
    """A router with room for two waiting calls; its only slot is taken."""
    with FleetProcesses() as fleet, ThreadPoolExecutor(8) as callers:
        for team in TEAMS:
            hashes = [hash_key(team)]
            fleet.put_contract({"team": team, "key_hashes": hashes, "models": ["m"]})
        engine = fleet.add_engine("engine-1", "m", "--slots=1")
        router = fleet.add_router("router-1", "zone-a", "--queue-max=2")
        fleet.wait_ready()
        wait_for(lambda: router.status()["endpoints"], "the engine at the router")
        # One answer teaches the router how fast the engine is.
        assert ask(router, "quiet", 100).status == 200
        engine.set_faults(hold=True)
        callers.submit(ask, router, "hot", 10)
        wait_for(lambda: router.status()["endpoints"][0]["running"], "a full engine")
        yield router, engine, callers
        engine.set_faults()


def ask(router, team, tokens, **headers):
    body = {"model": "m", "messages": [{"content": team}], "max_tokens": tokens}
    headers = {"Authorization": f"Bearer {team}", **headers}
    return call(router.address, CHAT_PATH, body, headers=headers)


def wait_queued(router, count):
    wait_for(
        lambda: sum(router.status()["waiting"].values()) == count, f"{count} waiting"
    )


def test_answer_that_cannot_be_in_time_is_refused_while_the_engine_is_busy(full_fleet):
    # The only slot is taken and the answer would need many times its deadline.
    # Without the estimate the caller learns it when the deadline has passed.
    router, engine, _ = full_fleet
    answer = ask(router, "quiet", 100_000)
    assert answer.status == 503
    assert answer.json()["code"] == "deadline_unmeetable"
    assert answer.json()["run"] == "not_run"
    assert float(answer.headers["Retry-After"]) >= 1
    assert len(engine.look()["arrivals"]) == 2


def test_full_queue_makes_room_for_a_quiet_team(full_fleet):
    # One team has filled the queue.  Another team's first call gets a place, and
    # the last one of the first team is told so at once.
    router, engine, callers = full_fleet
    hot = [callers.submit(ask, router, "hot", 10) for _ in range(2)]
    wait_queued(router, 2)
    quiet = callers.submit(ask, router, "quiet", 10)
    wait_for(lambda: any(future.done() for future in hot), "a refusal")
    refused = [future.result() for future in hot if future.done()]
    assert [answer.json()["code"] for answer in refused] == ["queue_full"]
    engine.set_faults()
    assert quiet.result().status == 200
    assert sorted(future.result().status for future in hot) == [200, 503]


def test_caller_that_goes_away_leaves_the_queue(full_fleet):
    # A caller hangs up while its call waits.  Were the call kept, it would take a
    # slot for an answer that nobody reads, and one of the places in the queue.
    router, engine, callers = full_fleet
    gone = callers.submit(
        call,
        router.address,
        CHAT_PATH,
        {"model": "m", "messages": [{"content": "x"}], "max_tokens": 10},
        headers={"Authorization": "Bearer quiet"},
        timeout_s=1.0,
    )
    wait_queued(router, 1)
    assert gone.exception() is not None
    wait_queued(router, 0)
    assert len(engine.look()["arrivals"]) == 2


def test_burst_through_all_routers_waits_for_the_one_engine():
    # Callers come at once through three routers, and the engine has room for some of
    # them.  The others have time to wait; before the routers queued a call that the
    # engine's owner refused, they were told that no endpoint could take it.
    with FleetProcesses() as fleet, ThreadPoolExecutor(24) as callers:
        hashes = [hash_key("hot")]
        fleet.put_contract({"team": "hot", "key_hashes": hashes, "models": ["m"]})
        fleet.add_engine("engine-1", "m", "--slots=4")
        routers = [fleet.add_router(name) for name in "abc"]
        fleet.wait_ready()
        told = callers.map(lambda number: ask(routers[number % 3], "hot", 4), range(24))
        assert {answer.status for answer in told} == {200}
