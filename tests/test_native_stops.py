"""Planned stops of a router of the product's own interface, with calls in flight."""

import signal
from concurrent.futures import ThreadPoolExecutor

import pytest

from tamarackrill.contracts import hash_key
from tamarackrill.decisions.hashing import rendezvous_order
from tamarackrill.testing.processes import FleetProcesses, call, wait_for

HEADERS = {"Authorization": "Bearer k", "Request-Timeout-Ms": "15000"}
CONTRACT = {
    "team": "t",
    "key_hashes": [hash_key("k")],
    "models": ["m"],
    "services": ["s"],
    "non_idempotent": [{"service": "s", "method": "POST", "path_prefix": "/book"}],
}
CHAT = {"model": "m", "stream": True, "messages": [{"content": "x"}]}
DRAIN_MAX_S = 2


@pytest.fixture
def fleet():
    with FleetProcesses() as fleet, ThreadPoolExecutor(8) as pool:
        fleet.put_contract(CONTRACT)
        fleet.pool = pool
        yield fleet


def add_routers(fleet):
    flag = f"--drain-max-s={DRAIN_MAX_S}"
    routers = [fleet.add_router(name, "zone-a", flag) for name in "ab"]
    fleet.wait_ready()
    return routers


def send(fleet, router, path, body=None, key=""):
    headers = {**HEADERS, "Idempotency-Key": key} if key else HEADERS
    return fleet.pool.submit(call, router.address, path, body, None, headers)


def find_key(home):
    """Return an idempotency key whose calls a router runs."""
    keys = (f"key-{number}" for number in range(100))
    return next(k for k in keys if rendezvous_order(f"t\n{k}", ["a", "b"], 1) == [home])


def test_calls_that_outlast_a_stop_are_answered(fleet):
    # Guards against callers who can't know whether their call ran, as their connection
    # is closed without an answer when the router that runs it has stopped.
    worker, engine = fleet.add_service("w"), fleet.add_engine("e")
    stopping, other = add_routers(fleet)
    worker.set_faults(hold=True)
    engine.set_faults(extra_step_s=0.5)
    own_key = find_key("b")
    look = send(fleet, stopping, "/services/s/look")
    # This one is forwarded to the other router, the next one by it.
    forwarded = send(fleet, stopping, "/services/s/look", None, own_key)
    kept = send(fleet, other, "/services/s/look", None, find_key("a"))
    booking = send(fleet, stopping, "/services/s/book", {}, "booking")
    stream = send(fleet, stopping, "/v1/chat/completions", CHAT)
    wait_for(lambda: worker.look()["total"] == 4, "all calls at the worker")
    wait_for(lambda: engine.look()["running"] == 1, "the stream at the engine")
    stopping.send(signal.SIGTERM)
    for ended in (look, forwarded, booking):
        answer = ended.result()
        assert (answer.status, answer.json()["run"]) == (502, "unknown")
    assert b'event: error\ndata: {"code": "router_lost"' in stream.result().body
    assert stopping.wait() == 0
    # The other router takes over what it had forwarded and may repeat.
    worker.set_faults()
    assert kept.result().status == 200
    assert worker.look()["arrivals"]["booking"] == 1


def test_call_that_waits_and_cannot_end_in_time_is_refused_at_once(fleet):
    # Guards against calls that wait for a slot until the router has stopped, although
    # another router would take them.
    worker = fleet.add_service("w", "s", "--slots=1")
    stopping, other = add_routers(fleet)
    worker.set_faults(hold=True)
    first = send(fleet, stopping, "/services/s/look")
    wait_for(lambda: worker.look()["total"] == 1, "the first call at the worker")
    second = send(fleet, stopping, "/services/s/look")
    wait_for(lambda: stopping.status()["waiting"]["service:s"] == 1, "one waits")
    stopping.send(signal.SIGTERM)
    refused = second.result().json()
    assert (refused["code"], refused["run"]) == ("leaving", "not_run")
    assert not first.done()
    worker.set_faults()
    assert first.result().status == 200
    assert worker.look()["total"] == 1
