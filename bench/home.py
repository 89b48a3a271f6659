"""What a chat's home costs: no home, forwarding to it, or asking it for a grant.

Two routers, an engine and a worker of a service, each its own process on loopback.
The baseline is a call that the entry router runs itself.  A grant is not built; it is
stood in for by a small call to the home before a call that the entry router runs.
"""

import asyncio
import json
import statistics
import time
from typing import Any, NamedTuple

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from support import CONTRACT, KEY, read_cpu_s, stream_events
from tamarackrill.testing.processes import FleetProcesses, RouterProcess, call

WARM_UP = 100
CALLS = 1500
AT_ONCE = (1, 16)
STREAMS = 8
EVENTS = 1500


class Way(NamedTuple):
    """One way of a call: headers, and what is asked before it."""

    headers: dict[str, str]
    asked_first: str = ""


def _read_cpu_s(routers: list[RouterProcess]) -> float:
    return sum(map(read_cpu_s, routers))


async def _load(url: str, way: Way, calls: int, at_once: int) -> list[float]:
    client = CurlAsyncHTTPClient(force_instance=True, max_clients=at_once)
    left = iter(range(calls))
    times_s: list[float] = []

    async def work() -> None:
        for _ in left:
            start_s = time.perf_counter()
            if way.asked_first:
                await client.fetch(way.asked_first)
            await client.fetch(HTTPRequest(url, headers={**KEY, **way.headers}))
            times_s.append(time.perf_counter() - start_s)

    await asyncio.gather(*(work() for _ in range(at_once)))
    client.close()
    return sorted(times_s)


def measure_way(
    way: Way, entry: RouterProcess, routers: list[RouterProcess]
) -> dict[str, float]:
    """Return latency and processor time of one way, over all routers."""
    url = f"http://{entry.address}/services/s/x"
    figures: dict[str, float] = {}
    for at_once in AT_ONCE:
        asyncio.run(_load(url, way, WARM_UP, at_once))
        cpu_s = _read_cpu_s(routers)
        times_s = asyncio.run(_load(url, way, CALLS, at_once))
        used_s = _read_cpu_s(routers) - cpu_s
        figures[f"p50_ms_{at_once}"] = round(1000 * statistics.median(times_s), 2)
        figures[f"p95_ms_{at_once}"] = round(1000 * times_s[int(0.95 * CALLS)], 2)
        figures[f"cpu_us_per_call_{at_once}"] = round(1e6 * used_s / CALLS)
    cpu_s = _read_cpu_s(routers)
    events = asyncio.run(stream_events(entry.address, STREAMS, EVENTS, way.headers))
    used_s = _read_cpu_s(routers) - cpu_s
    figures["cpu_us_per_event"] = round(1e6 * used_s / events, 1)
    return figures


def measure() -> dict[str, Any]:
    """Return the figures of each way."""
    with FleetProcesses() as fleet:
        fleet.add_service("worker-1", "s", "--slots=64")
        fleet.add_engine("engine-1", "m", "--slots=64")
        fleet.put_contract(CONTRACT)
        routers = [fleet.add_router("a"), fleet.add_router("b")]
        fleet.wait_ready()
        path = "/v1/explain?team=t&chat=c&model=m"
        homes = call(routers[0].address, path).json()["homes"]
        home, entry = (fleet.routers[name] for name in homes)
        ways = {
            "no_home": Way({}),
            "forward": Way({"Chat-Id": "c"}),
            "grant": Way({}, f"http://{home.address}/healthz"),
        }
        return {name: measure_way(way, entry, routers) for name, way in ways.items()}


if __name__ == "__main__":
    print(json.dumps(measure(), indent=1))
