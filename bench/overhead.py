"""What one router adds: calls a second, latency, and CPU for each streamed event.

The baseline is the direct call to the same stand-in, in the same run.  Router and
stand-ins are processes of their own on loopback.
"""

import argparse
import asyncio
import json
import statistics
import time
from pathlib import Path

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from support import CONTRACT, KEY, read_cpu_s, stream_events
from tamarackrill.testing.processes import FleetProcesses

CALLS = 2000
AT_ONCE = 16
STREAMS = (1, 8, 48)
EVENTS = 1000


async def _load(url: str, calls: int, at_once: int) -> tuple[float, list[float]]:
    client = CurlAsyncHTTPClient(force_instance=True, max_clients=at_once)
    left = iter(range(calls))
    times: list[float] = []

    async def work() -> None:
        for _ in left:
            start_s = time.perf_counter()
            await client.fetch(HTTPRequest(url, headers=KEY))
            times.append(time.perf_counter() - start_s)

    start_s = time.perf_counter()
    await asyncio.gather(*(work() for _ in range(at_once)))
    elapsed_s = time.perf_counter() - start_s
    client.close()
    return calls / elapsed_s, sorted(times)


def _summary(rate: float, times: list[float]) -> dict[str, float]:
    return {
        "calls_per_s": round(rate, 1),
        "p50_ms": round(1000 * statistics.median(times), 3),
        "p99_ms": round(1000 * times[int(len(times) * 0.99)], 3),
    }


def measure() -> dict[str, object]:
    """Run the load and return the figures."""
    with FleetProcesses() as fleet:
        service = fleet.add_service("worker-1", "s", "--slots=64")
        fleet.add_engine("engine-1", "m", "--slots=64")
        fleet.put_contract(CONTRACT)
        router = fleet.add_router("a", "zone-a", "--log-format=text")
        fleet.wait_ready()
        figures: dict[str, object] = {}
        for at_once in (1, AT_ONCE):
            for name, url in (
                ("direct", f"http://{service.address}/x"),
                ("router", f"http://{router.address}/services/s/x"),
            ):
                asyncio.run(_load(url, CALLS // 10, at_once))
                cpu_s = read_cpu_s(router)
                rate, times = asyncio.run(_load(url, CALLS, at_once))
                summary = _summary(rate, times)
                if name == "router":
                    used_s = read_cpu_s(router) - cpu_s
                    summary["cpu_us_per_call"] = round(1e6 * used_s / CALLS, 1)
                figures[f"{name}_{at_once}"] = summary
        for streams in STREAMS:
            cpu_s = read_cpu_s(router)
            events = asyncio.run(stream_events(router.address, streams, EVENTS))
            used_s = read_cpu_s(router) - cpu_s
            figures[f"cpu_us_per_event_{streams}_streams"] = round(
                1e6 * used_s / events, 1
            )
        return figures


def main() -> None:
    """Print the figures as JSON, and write them where asked."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", type=Path)
    options = parser.parse_args()
    text = json.dumps(measure(), indent=2)
    print(text)
    if options.output:
        options.output.write_text(text + "\n")


if __name__ == "__main__":
    main()
