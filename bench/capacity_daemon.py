"""Slopes of the daemon itself, as a process of its own on loopback."""

import asyncio
import subprocess
import sys
import time
from typing import Any

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from slopes import Fit, fit
from support import KEY, read_cpu_s, stream_events
from tamarackrill.contracts import CONTRACT_FORMAT, hash_key
from tamarackrill.testing.processes import (
    POLL_S,
    FleetProcesses,
    RouterProcess,
    call,
    wait_for,
)

CALLS = (300, 600, 1200, 2400)
HOME_CALLS = (200, 400, 800, 1600)
EVENTS = (2000, 4000, 8000, 16000)
CONTRACTS = (100, 300, 600, 1200)
ENDPOINTS = (100, 200, 400, 780)
ROUTERS = (1, 2, 4, 8)
APPLIES = 5
AT_ONCE = 16
STREAMS = 8


def measure_base() -> dict[str, float]:
    """Return resident MB of the interpreter, and after each group of imports."""
    groups = {
        "base_interpreter_mb": "sys",
        "base_libraries_mb": (
            "asyncio, tornado.httpserver, tornado.curl_httpclient, hdrh.histogram, "
            "absl.logging, thriftpy2"
        ),
        "base_schema_mb": "jsonschema",
        "base_daemon_mb": "tamarackrill.router.daemon",
    }
    lines = [
        f"import {modules}; print('{name}', *(line for line in "
        "open('/proc/self/status') if line.startswith('VmRSS')))"
        for name, modules in groups.items()
    ]
    shown = subprocess.run(
        [sys.executable, "-c", "\n".join(lines)],
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    words = [line.split() for line in shown.splitlines() if line]
    return {line[0]: int(line[2]) / 1024 for line in words}


def measure_daemon() -> dict[str, Fit | float]:
    """Return slopes and fixed figures of one router.

    Returns
    -------
    dict
        ``base_rss_mb`` is resident memory before any state; the rest are lines.
    """
    with FleetProcesses() as fleet:
        fleet.add_service("worker-1", "s", "--slots=64")
        fleet.add_engine("engine-1", "m", "--slots=64")
        fleet.put_contract(_make_contract("t", "the-key"))
        router = fleet.add_router("a")
        fleet.wait_ready()
        figures: dict[str, Fit | float] = {"base_rss_mb": _read_rss_mb(router)}
        figures |= _measure_traffic(router)
        figures |= _measure_objects(fleet, router, "contract", CONTRACTS)
        figures |= _measure_objects(fleet, router, "endpoint", ENDPOINTS)
    return figures | _measure_home() | _measure_in_force()


def _measure_traffic(router: RouterProcess) -> dict[str, Fit | float]:
    url = f"http://{router.address}/services/s/x"
    asyncio.run(_call_often(url, CALLS[0]))
    calls_us = []
    for count in CALLS:
        before_s = read_cpu_s(router)
        asyncio.run(_call_often(url, count))
        calls_us.append((read_cpu_s(router) - before_s) * 1e6)
    events, events_us = [], []
    for count in EVENTS:
        before_s = read_cpu_s(router)
        events.append(
            asyncio.run(stream_events(router.address, STREAMS, count // STREAMS))
        )
        events_us.append((read_cpu_s(router) - before_s) * 1e6)
    return {
        "call_us": fit("µs", "call", CALLS, calls_us),
        "event_us": fit("µs", "event", events, events_us),
    }


def _measure_home() -> dict[str, Fit | float]:
    """Return the CPU of entry and home together, for calls that name a chat."""
    with FleetProcesses() as fleet:
        fleet.add_service("worker-1", "s", "--slots=64")
        fleet.put_contract(_make_contract("t", "the-key"))
        routers = [fleet.add_router(name) for name in ("a", "b")]
        fleet.wait_ready()
        url = f"http://{routers[0].address}/services/s/x"
        asyncio.run(_call_often(url, HOME_CALLS[0], in_chats=True))
        used_us = []
        for count in HOME_CALLS:
            before_s = sum(map(read_cpu_s, routers))
            asyncio.run(_call_often(url, count, in_chats=True))
            used_us.append((sum(map(read_cpu_s, routers)) - before_s) * 1e6)
        return {"chat_call_us": fit("µs", "call", HOME_CALLS, used_us)}


def _measure_in_force() -> dict[str, Fit | float]:
    """Return the time until a change is in force at all of some routers."""
    waits_s = []
    with FleetProcesses() as fleet:
        fleet.put_contract(_make_contract("t", "the-key"))
        for number in range(max(ROUTERS)):
            fleet.add_router(f"r{number}")
            if number + 1 in ROUTERS:
                fleet.wait_ready()
                waits_s.append(max(_time_apply(fleet) for _ in range(APPLIES)))
    return {"in_force_s": fit("s", "router", ROUTERS, waits_s)}


def _time_apply(fleet: FleetProcesses) -> float:
    start_s = time.perf_counter()
    version = fleet.put_contract(_make_contract("t", "the-key"))
    for router in fleet.routers.values():
        while router.status()["complete"]["contract"] < version:
            time.sleep(POLL_S)
    return time.perf_counter() - start_s


def _measure_objects(
    fleet: FleetProcesses, router: RouterProcess, kind: str, counts: tuple[int, ...]
) -> dict[str, Fit | float]:
    """Return memory and CPU of the router by objects of a kind that it follows."""
    done, rss_kb, used_us = 0, [], []
    start_s = read_cpu_s(router)
    for count in counts:
        for number in range(done, count):
            _put_object(fleet, kind, number)
        done = count
        version = _put_object(fleet, kind, count - 1)
        wait_for(
            lambda version=version: router.status()["complete"][kind] >= version,
            f"{count} objects at the router",
        )
        rss_kb.append(_read_rss_mb(router) * 1024)
        used_us.append((read_cpu_s(router) - start_s) * 1e6)
    return {
        f"{kind}_kb": fit("KB", kind, counts, rss_kb),
        f"{kind}_change_us": fit("µs", "change", counts, used_us),
    }


def _put_object(fleet: FleetProcesses, kind: str, number: int) -> int:
    if kind == "contract":
        name = f"team-{number}"
        value: dict[str, Any] = _make_contract(name, f"key-{number}")
    else:
        name = f"other-{number}"
        value = {
            "name": name,
            "kind": "engine",
            "serves": [f"other-model-{number % 22}"],
            "address": f"127.0.0.1:{10_000 + number}",
            "zone": "zone-a",
        }
    path = f"/v1/objects/{kind}/{name}"
    answer = call(fleet.platform.address, path, value, "PUT")
    return int(answer.json()["version"])


def _make_contract(team: str, key: str) -> dict[str, Any]:
    return {
        "format": CONTRACT_FORMAT,
        "team": team,
        "key_hashes": [hash_key(key)],
        "models": ["m"],
        "services": ["s"],
        "rate_per_s": 100_000,
        "rate_burst": 100_000,
        "in_flight_max": 10_000,
        "tokens_per_s": 10_000_000,
        "tokens_burst": 10_000_000,
    }


async def _call_often(url: str, count: int, in_chats: bool = False) -> None:
    client = CurlAsyncHTTPClient(force_instance=True, max_clients=AT_ONCE)
    left = iter(range(count))

    async def work() -> None:
        for number in left:
            chat = {"Chat-Id": f"c{number}"} if in_chats else {}
            await client.fetch(HTTPRequest(url, headers={**KEY, **chat}))

    await asyncio.gather(*(work() for _ in range(AT_ONCE)))
    client.close()


def _read_rss_mb(router: RouterProcess) -> float:
    with open(f"/proc/{router.pid}/status", encoding="ascii") as file:
        line = next(line for line in file if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024
