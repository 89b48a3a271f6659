import json
from pathlib import Path

import pytest

from tamarackrill.contracts import hash_key
from tamarackrill.testing.processes import FleetProcesses, call

GOLDEN = Path(__file__).parent / "golden"
KEY = {"Authorization": "Bearer the-key"}
CONTRACT = {
    "team": "t",
    "key_hashes": [hash_key("the-key")],
    "models": ["m"],
    "services": ["s"],
}
CHAT = {
    "model": "m",
    "messages": [{"role": "user", "content": "a quote for forty"}],
    "max_tokens": 4,
}


@pytest.fixture(scope="module")
def fleet():
    with FleetProcesses() as fleet:
        fleet.add_engine("engine-1")
        fleet.add_service("worker-1")
        fleet.put_contract(CONTRACT)
        fleet.add_router("router-1")
        fleet.add_router("router-2")
        fleet.wait_ready()
        yield fleet


def _requests():
    chat = "/v1/chat/completions"
    return [
        ("whole", chat, CHAT, KEY),
        ("whole in a chat", chat, CHAT, {**KEY, "Chat-Id": "c1"}),
        ("stream", chat, {**CHAT, "stream": True}, {**KEY, "Chat-Id": "c2"}),
        ("service call", "/services/s/stock?item=braid", None, KEY),
        ("no key", chat, CHAT, {}),
        ("wrong key", chat, CHAT, {"Authorization": "Bearer other"}),
        ("unknown model", chat, {**CHAT, "model": "x"}, KEY),
        ("unknown service", "/services/x/stock", None, KEY),
        ("no JSON", chat, b"{", KEY),
        ("no messages", chat, {"model": "m"}, KEY),
        ("header out of range", chat, CHAT, {**KEY, "Chat-Sequence": "0"}),
        ("unknown path", "/v1/other", None, KEY),
    ]


def render_session(router):
    lines = []
    for title, path, body, headers in _requests():
        answer = call(router.address, path, body, headers=headers)
        kept = ("Content-Type", "Retry-After")
        heads = [f"{k}: {v}" for k, v in answer.headers.items() if k in kept]
        text = answer.body.decode()
        lines += [f"# {title}", str(answer.status), *sorted(heads), text, ""]
    return "\n".join(lines)


@pytest.mark.parametrize("name", ["router-1", "router-2"])
def test_session_matches_golden_file(fleet, name):
    # Two routers, an engine, a service and a platform run as separate processes.
    # Guards against responses that depend on which router the caller uses, whichever
    # router owns the chat.
    played = render_session(fleet.routers[name])
    assert played == (GOLDEN / "session.txt").read_text()


def test_routing_log_contains_neither_api_key_nor_prompt(fleet):
    call(fleet.routers["router-1"].address, *_requests()[0][1:3], headers=KEY)
    fleet.routers["router-1"].wait_line(" request_routed team=t ")
    log = json.dumps([router.lines for router in fleet.routers.values()])
    assert "the-key" not in log
    assert "forty" not in log


if __name__ == "__main__":
    with FleetProcesses() as started:
        started.add_engine("engine-1")
        started.add_service("worker-1")
        started.put_contract(CONTRACT)
        started.add_router("router-1")
        started.wait_ready()
        (GOLDEN / "session.txt").write_text(render_session(started.routers["router-1"]))
