import http.client
import itertools
import json
import signal

import pytest

from tamarackrill.contracts import hash_key
from tamarackrill.decisions.hashing import rendezvous_order
from tamarackrill.testing.processes import FleetProcesses, call, wait_for

KEY = {"Authorization": "Bearer the-key"}
CHAT_PATH = "/v1/chat/completions"
CLOSING = b"data: [DONE]\n\n"
CONTRACT = {
    "team": "t",
    "key_hashes": [hash_key("the-key")],
    "models": ["m"],
    "services": ["s"],
}


def _chat(tokens=4, stream=False, text="one two three"):
    messages = [{"role": "user", "content": text}]
    return {"model": "m", "messages": messages, "max_tokens": tokens, "stream": stream}


@pytest.fixture
def fleet():
    with FleetProcesses() as fleet:
        fleet.put_contract(CONTRACT)
        yield fleet


def _open_stream(router, tokens, **headers):
    host, port = router.address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=30)
    body = json.dumps(_chat(tokens, stream=True))
    connection.request("POST", CHAT_PATH, body, {**KEY, **headers})
    return connection, connection.getresponse()


def _find_chats(engine, count):
    """Return names of chats whose first engine of two is `engine`."""
    engines = ["engine-1", "engine-2"]
    names = (f"chat-{number}" for number in range(1000))
    own = (n for n in names if rendezvous_order(f"t\n{n}", engines, 1) == [engine])
    return list(itertools.islice(own, count))


def _find_home(routers, chat):
    names = call(routers[0].address, f"/v1/explain?team=t&chat={chat}&model=m").json()
    by_name = {router.name: router for router in routers}
    ordered = [by_name[name] for name in names["homes"]]
    return ordered[0], ordered[1]


@pytest.mark.parametrize("through", ["home", "other"])
def test_client_disconnect_cancels_the_run_at_the_engine(fleet, through):
    # A client closes its connection in the middle of a stream.  Unless the run is
    # cancelled, the engine goes on generating in vain and other calls wait.
    engine = fleet.add_engine("engine-1", "m", "--step-s=0.01")
    routers = [fleet.add_router("a"), fleet.add_router("b")]
    fleet.wait_ready()
    home, other = _find_home(routers, "c")
    entry = home if through == "home" else other
    connection, response = _open_stream(entry, 100_000, **{"Chat-Id": "c"})
    response.readline()
    connection.close()
    response.close()
    wait_for(lambda: engine.look()["cancelled"], "the engine hears of it")
    wait_for(lambda: not engine.look()["running"], "the engine stops")
    wait_for(lambda: not entry.status()["in_flight"], "the router lets go")


@pytest.mark.parametrize("stream", [False, True])
def test_answer_interrupted_by_the_engine_arrives_complete(fleet, stream):
    # An engine closes the connection in the middle of an answer.  A caller that takes
    # the first part for a complete answer would send out half a quote.
    engine = fleet.add_engine("engine-1")
    fleet.add_engine("engine-2")
    router = fleet.add_router("a")
    fleet.wait_ready()
    engine.set_faults(cut_after_tokens=3)
    for chat in _find_chats("engine-1", 4):
        headers = {**KEY, "Chat-Id": chat}
        answer = call(router.address, CHAT_PATH, _chat(7, stream), headers=headers)
        assert answer.status == 200
        if stream:
            ids = [line for line in answer.body.split(b"\n") if b"id: " in line]
            assert ids == [b"id: %d" % number for number in range(1, 8)]
            assert answer.body.endswith(CLOSING)
        else:
            assert answer.json()["usage"]["completion_tokens"] == 7


def test_stream_of_a_killed_engine_ends_with_an_error_event(fleet):
    # The engine is killed in the middle of a stream.  The caller must be able to tell
    # that its answer is incomplete.
    engines = [
        fleet.add_engine(f"engine-{number}", "m", "--step-s=0.01") for number in (1, 2)
    ]
    router = fleet.add_router("a")
    fleet.wait_ready()
    (chat,) = _find_chats("engine-1", 1)
    connection, response = _open_stream(router, 1000, **{"Chat-Id": chat})
    first = response.readline()
    next(engine for engine in engines if engine.look()["running"]).kill()
    rest = first + response.read()
    connection.close()
    assert CLOSING not in rest
    assert b"event: error" in rest
    assert b'"run": "unknown"' in rest


def test_shutdown_finishes_calls_in_flight_and_refuses_new_ones(fleet):
    # A router is restarted while a caller reads a stream from it.  The stream must be
    # finished, and new calls must be refused as not run.
    fleet.add_engine("engine-1", "m", "--step-s=0.01")
    router = fleet.add_router("a")
    fleet.wait_ready()
    connection, response = _open_stream(router, 100)
    response.readline()
    router.send(signal.SIGTERM)
    router.wait_line(" router_leaving ")
    refused = call(router.address, CHAT_PATH, _chat(), headers=KEY)
    assert refused.status == 503
    assert refused.json()["code"] == "leaving"
    assert refused.json()["run"] == "not_run"
    assert response.read().endswith(CLOSING)
    connection.close()
    assert router.wait() == 0
    assert "in_flight=0" in router.wait_line(" router_stopped ")


def test_chat_is_served_after_its_home_router_was_killed(fleet):
    # A VM fails.  Chats that had their home router there must be served by the next
    # router, though it has no state of them.
    fleet.add_engine("engine-1")
    routers = [fleet.add_router("a"), fleet.add_router("b")]
    fleet.wait_ready()
    home, other = _find_home(routers, "c")
    home.kill()
    answer = call(other.address, CHAT_PATH, _chat(), headers={**KEY, "Chat-Id": "c"})
    assert answer.status == 200


def test_stream_of_a_killed_home_router_ends_with_an_error_event(fleet):
    # The VM of the chat's home router fails in the middle of a stream that another
    # router forwards.  The caller must see that the answer is incomplete and that the
    # call may have run; a retry must be served without that VM.
    fleet.add_engine("engine-1", "m", "--step-s=0.01")
    routers = [fleet.add_router("a"), fleet.add_router("b")]
    fleet.wait_ready()
    home, other = _find_home(routers, "c")
    connection, response = _open_stream(other, 1000, **{"Chat-Id": "c"})
    first = response.readline()
    home.kill()
    rest = first + response.read()
    connection.close()
    assert CLOSING not in rest
    assert b"event: error" in rest
    assert b'"code": "router_lost"' in rest
    assert b'"run": "unknown"' in rest
    again = call(other.address, CHAT_PATH, _chat(), headers={**KEY, "Chat-Id": "c"})
    assert again.status == 200


def test_forged_forwarding_headers_are_ignored(fleet):
    # A caller sets the headers that routers use to forward calls, to get the stream of
    # another team's call.  It must get its own answer.
    engine = fleet.add_engine("engine-1")
    router = fleet.add_router("a")
    fleet.wait_ready()
    forged = {"Tamarackrill-Forwarded": "victim", "Tamarackrill-Signature": "00"}
    answer = call(router.address, CHAT_PATH, _chat(), headers={**KEY, **forged})
    assert answer.status == 200
    assert "victim" not in engine.look()["arrivals"]


def test_body_over_the_limit_is_refused_with_its_code(fleet):
    router = fleet.add_router("a", "zone-a", "--body-max-bytes=2000")
    fleet.wait_ready(1)
    answer = call(router.address, CHAT_PATH, b"x" * 3000, headers=KEY)
    assert (answer.status, answer.json()["code"]) == (413, "body_too_long")
