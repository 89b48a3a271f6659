"""Endpoints that have asked not to be sent requests for a while."""

import random

import pytest

from tamarackrill.contracts import hash_key
from tamarackrill.decisions.backoff import Backoffs
from tamarackrill.testing.processes import FleetProcesses, call

KEY = {"Authorization": "Bearer the-key"}
CONTRACT = {"team": "t", "key_hashes": [hash_key("the-key")], "services": ["s"]}
ANSWER_S = 0.005
REQUESTS_PER_S = 40
# What the platform's pages allow after the first half second of a backoff.
STRAYS_MAX = 2
STRAY_FROM_S = 0.5


def test_endpoint_is_excluded_until_its_backoff_has_passed():
    backoffs = Backoffs()
    assert backoffs.observe("a", 3.0, 10.0)
    assert backoffs.find(12.9) == {"a"}
    assert not backoffs.find(13.0)
    assert backoffs.observe("a", 3.0, 14.0)


def test_shorter_request_does_not_end_a_backoff_early():
    # Guards against answers that cross: a later one asks for less than an earlier one.
    backoffs = Backoffs()
    backoffs.observe("a", 3.0, 10.0)
    assert not backoffs.observe("a", 0.5, 10.1)
    assert backoffs.find(12.9) == {"a"}


@pytest.mark.parametrize("retry_after_s", [0.0, -1.0])
def test_retry_after_without_a_duration_is_no_backoff(retry_after_s):
    backoffs = Backoffs()
    assert not backoffs.observe("a", retry_after_s, 10.0)
    assert not backoffs.find(10.0)


def test_shortest_backoff_tells_when_a_service_takes_requests():
    backoffs = Backoffs()
    backoffs.observe("a", 3.0, 10.0)
    backoffs.observe("b", 2.0, 10.0)
    assert backoffs.compute_shortest_s(["a", "b"], 11.0) == 1.0
    assert backoffs.compute_shortest_s(["a", "b", "c"], 11.0) == 0.0
    assert backoffs.compute_shortest_s([], 11.0) == float("inf")


@pytest.mark.parametrize("retry_after_s", [0.8, 3.0, 9.0])
@pytest.mark.parametrize("shedding", [1, 2, 4])
def test_endpoints_that_shed_load_are_left_alone(shedding, retry_after_s):
    # Guards against a router that sends on to endpoints that shed load: `shedding` of
    # four endpoints turn away all requests for ten seconds, and those of a burst are
    # under way when the first refusal arrives.
    rng = random.Random(1)
    backoffs = Backoffs()
    names = ["a", "b", "c", "d"]
    answers: list[tuple[float, str]] = []
    asked_s: dict[str, float] = {}
    strays: dict[str, int] = {}
    for step in range(10 * REQUESTS_PER_S):
        now_s = (step + rng.random()) / REQUESTS_PER_S
        while answers and answers[0][0] <= now_s:
            answered_s, name = answers.pop(0)
            backoffs.observe(name, retry_after_s, answered_s)
            asked_s[name], strays[name] = answered_s, 0
        free = [name for name in names if name not in backoffs.find(now_s)]
        if not free:
            continue
        name = rng.choice(free)
        since_s = now_s - asked_s.get(name, -retry_after_s)
        strays[name] = strays.get(name, 0) + (STRAY_FROM_S < since_s < retry_after_s)
        assert strays[name] <= STRAYS_MAX
        if name in names[:shedding]:
            answers.append((now_s + ANSWER_S, name))
    assert len(asked_s) == shedding


@pytest.mark.parametrize("others", [0, 1])
def test_router_leaves_an_overloaded_service_worker_alone(others):
    # Guards against calls that a router sends to a worker which has answered 503 and
    # asked for a pause, while another worker is free or while callers could be told.
    with FleetProcesses() as fleet:
        busy = fleet.add_service("busy")
        for number in range(others):
            fleet.add_service(f"free-{number}")
        fleet.put_contract(CONTRACT)
        router = fleet.add_router("a")
        fleet.wait_ready()
        busy.set_faults(status=503, retry_after_s=60)
        answers = [
            call(router.address, "/services/s/look", headers=KEY) for _ in range(20)
        ]
        assert busy.look()["total"] == 1
        refused = [answer for answer in answers if answer.status == 503]
        assert len(refused) == (1 if others else len(answers))
        if not others:
            assert refused[-1].json()["code"] == "no_endpoint"
        assert 30 < float(refused[-1].headers["Retry-After"]) <= 60
