"""Admission control in the daemon, with routers and engines as processes."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from tamarackrill.contracts import hash_key
from tamarackrill.testing.processes import FleetProcesses, call, wait_for

CHAT_PATH = "/v1/chat/completions"
TEAMS = ("hot", "quiet")


@pytest.fixture
def full_fleet():
    """A router with a queue of two calls and an engine whose only slot is busy."""
    with FleetProcesses() as fleet, ThreadPoolExecutor(8) as callers:
        for team in TEAMS:
            hashes = [hash_key(team)]
            fleet.put_contract({"team": team, "key_hashes": hashes, "models": ["m"]})
        engine = fleet.add_engine("engine-1", "m", "--slots=1")
        router = fleet.add_router("router-1", "zone-a", "--queue-max=2")
        fleet.wait_ready()
        wait_for(lambda: router.status()["endpoints"], "the engine at the router")
        # The first response gives the router an estimate of the engine's speed.
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


def test_call_that_would_miss_its_deadline_is_refused_while_the_engine_is_busy(
    full_fleet,
):
    # The only slot is busy, and the response would take many times the deadline.
    # Without an estimate the caller would only find out when the deadline has passed.
    router, engine, _ = full_fleet
    answer = ask(router, "quiet", 100_000)
    assert answer.status == 503
    assert answer.json()["code"] == "deadline_unmeetable"
    assert answer.json()["run"] == "not_run"
    assert float(answer.headers["Retry-After"]) >= 1
    assert len(engine.look()["arrivals"]) == 2


def test_full_queue_drops_a_call_of_the_busy_team_for_a_quiet_team(full_fleet):
    # One team has filled the queue.  The first call of another team must be queued,
    # and the last call of the first team refused immediately.
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


def test_call_leaves_the_queue_when_its_caller_disconnects(full_fleet):
    # A caller disconnects while its call waits.  If the call stayed queued, it would
    # take up queue space, and later a slot for a response that nobody reads.
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


def test_burst_through_all_routers_queues_for_the_only_engine():
    # Callers arrive at once through three routers, more than the engine has slots for.
    # The rest can wait.  If routers did not queue a call that the engine's owner
    # refused, these callers would get `no_endpoint`.
    with FleetProcesses() as fleet, ThreadPoolExecutor(24) as callers:
        hashes = [hash_key("hot")]
        fleet.put_contract({"team": "hot", "key_hashes": hashes, "models": ["m"]})
        fleet.add_engine("engine-1", "m", "--slots=4")
        routers = [fleet.add_router(name) for name in "abc"]
        fleet.wait_ready()
        answers = callers.map(
            lambda number: ask(routers[number % 3], "hot", 4), range(24)
        )
        assert {answer.status for answer in answers} == {200}
