"""Tests of a router that starts while callers already connect."""

import asyncio
import json
import os
import subprocess
import sys

import pytest

from tamarackrill.platform.settings_file import parse_settings
from tamarackrill.router.early_listener import open_listener
from tamarackrill.testing.edge import EdgeFleet, make_route, read_reason

LOOKUP = make_route("/lookup/", "idempotent")
# Each of these takes ten or more ms of a whole core to load.
LOADED_LATER = (
    "absl",
    "asyncio",
    "h11",
    "hdrh",
    "jsonschema",
    "logging",
    "pycurl",
    "ssl",
    "thriftpy2",
    "tornado",
    "yaml",
)


# Runs the daemon up to the point where it would listen.
UP_TO_LISTENING = """
import os
from tamarackrill.router import early_listener, edge_daemon

def open_listener(address):
    raise SystemExit

early_listener.open_listener = open_listener
try:
    edge_daemon.main()
except SystemExit:
    pass
"""
SETTINGS = {
    "node_name": "edge-1",
    "zone": "z",
    "ip": "10.1.0.1",
    "listen": {"front": "10.1.0.1:80", "ready": "10.1.0.1:81"},
    "internal_ports": [7000, 7010],
    "platform": {"address": "10.9.0.1:90"},
    "bounds": {"grace_s": 8, "config_ms": 4000, "drain_ms": 4000},
    "limits": {"link_mbps": 20.0},
}


def list_loaded(statement, environment=None):
    code = f"{statement}\nimport json, sys\nprint(json.dumps(list(sys.modules)))"
    done = subprocess.run(
        [sys.executable, "-c", code],
        env={**os.environ, **(environment or {})},
        capture_output=True,
        text=True,
        check=True,
    )
    return {name.partition(".")[0] for name in json.loads(done.stdout)}


@pytest.fixture(scope="module")
def loaded_before_listening(tmp_path_factory):
    path = tmp_path_factory.mktemp("settings") / "local.json"
    path.write_text(json.dumps(SETTINGS))
    environment = {
        "TAMARACKRILL_SETTINGS": str(path),
        "TAMARACKRILL_PEER_KEYS": "a key",
    }
    found = list_loaded(UP_TO_LISTENING, environment)
    assert "socket" in found
    return found


@pytest.mark.parametrize("module", LOADED_LATER)
def test_slow_module_is_not_loaded_before_callers_can_connect(
    module, loaded_before_listening
):
    # Guards against connections refused for seconds after an outage of all routers.
    assert module not in loaded_before_listening


def test_json_settings_are_read_without_a_yaml_parser():
    text = json.dumps({"node_name": "edge-1", "bounds": {"config_ms": 2000}})
    statement = (
        "from tamarackrill.exceptions import FindingsError\n"
        "from tamarackrill.platform.settings_file import parse_settings\n"
        f"try:\n    parse_settings('s', {text!r})\nexcept FindingsError:\n    pass"
    )
    assert "yaml" not in list_loaded(statement)


def test_settings_are_the_same_in_json_and_yaml():
    as_json = parse_settings("s", json.dumps(SETTINGS))
    as_yaml = parse_settings("s", "# not JSON\n" + json.dumps(SETTINGS))
    assert as_json == as_yaml
    assert as_json.link_bytes_per_s == 2_500_000.0


def run_while_starting(act):
    async def run():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, LOOKUP)
            worker = await fleet.add_worker("w1")
            router = fleet.make_router("router")
            address = router.settings.callers_address
            await act(fleet, router, worker, open_listener(address), address)

    asyncio.run(run())


def test_caller_that_connects_before_the_router_has_started_is_served():
    # Guards against callers that use up their only retry on a refused connection.
    async def act(fleet, router, worker, listener, address):
        client = await fleet.connect(address)
        client.send("/lookup/a")
        await router.start(listener)
        answer = await client.read()
        assert answer.status == 200
        client.close()

    run_while_starting(act)


def test_request_of_a_caller_that_has_disconnected_is_not_sent():
    # Guards against requests sent to workers after their callers have disconnected.
    async def act(fleet, router, worker, listener, address):
        left = await fleet.connect(address)
        left.send("/lookup/left", "id-left")
        left.close()
        await left.writer.wait_closed()
        client = await fleet.connect(address)
        client.send("/lookup/stays", "id-stays")
        await router.start(listener)
        assert (await client.read()).status == 200
        client.close()
        assert [r.target for r in worker.requests] == ["/lookup/stays"]

    run_while_starting(act)


def test_caller_is_told_to_retry_while_there_is_no_manifest():
    # Guards against callers kept waiting until their deadline by a router without a
    # manifest.
    async def act(fleet, router, worker, listener, address):
        fleet.store.status = 503
        client = await fleet.connect(address)
        client.send("/lookup/a")
        await router.start(listener)
        answer = await client.read()
        assert answer.status == 503
        assert read_reason(answer) == "no_manifest"
        assert float(answer.headers["retry-after"]) > 0
        client.close()

    run_while_starting(act)
