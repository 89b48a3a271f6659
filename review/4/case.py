"""An entry of another writer holds bytes that can't be read; then a worker drains."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    BROKEN,
    HELD,
    TROUBLE,
    CaseNotRun,
    Record,
    Router,
    Store,
    Worker,
    ask,
    find_free_port,
    make_manifest,
    make_route,
    run_case,
)

DRAIN_S = 3.0
# How long the worker serves on after its report: "at times many seconds".
LINGERS_S = 10.0
ZONES = {"tartu-a": "eesti", "tartu-b": "eesti"}
PLACEHOLDER = "bytes of another writer"
VARIANT = os.environ.get("BYTES", "junk")
UNREADABLE = {
    "junk": b'"\x8f\x02\xfe\x00\x1b"',
    "utf8": b'"\x8f\xfe"',
    "control": b'"\x02\x1b"',
    "digits": b"7" * 5000,
    "deep": b"[" * 20000 + b"]" * 20000,
    "surrogate": b'"\\ud800"',
    # In the name of the entry.
    "name": b'"anything"',
}[VARIANT]


async def send_requests(
    routers: list[Router], record: Record, prefix: str, for_s: float
) -> int:
    """Send requests to all routers in turn; return how many got a 200."""
    end_s, number, answered = time.monotonic() + for_s, 0, 0
    while time.monotonic() < end_s:
        number += 1
        router = routers[number % len(routers)]
        answer = await ask(
            router, record, "/dates/june", f"{prefix}-{number}", method="GET"
        )
        answered += answer.status == 200
        await asyncio.sleep(0.05)
    return answered


async def run(record: Record, folder: Path) -> int:
    """Play the case."""
    store = Store(record)
    store.raw[PLACEHOLDER] = UNREADABLE
    await store.start()
    workers = [Worker(f"i-{zone}", record) for zone in ZONES]
    for worker, zone in zip(workers, ZONES, strict=True):
        await worker.start()
        await store.put("servers", worker.name, worker.describe("desk", zone))
    manifest = make_manifest(1, make_route("/dates/", "idempotent"))
    await store.put("config", "main", manifest)
    ports = (find_free_port(), find_free_port(), find_free_port())
    routers = [
        Router(
            f"edge-{zone}-1",
            zone,
            store,
            folder,
            f"127.0.1.{number}",
            ports,
            [f"127.0.1.1:{ports[1]}", f"127.0.1.2:{ports[1]}"],
            ZONES,
            {
                "drain_ms": int(1000 * DRAIN_S),
                "config_ms": 3000,
                "stable_window_ms": 4000,
            },
        )
        for number, zone in enumerate(ZONES, 1)
    ]
    leaving = workers[0]
    try:
        for router in routers:
            await router.start()
        for router in routers:
            await router.wait_ready()
        await send_requests(routers, record, "before", 8.0)
        if not leaving.ran:
            raise CaseNotRun("the worker got no request before it drained")
        if TROUBLE:
            spec = {"service": "desk", "address": PLACEHOLDER, "state": "ready"}
            name = "import-\ud800" if VARIANT == "name" else "import-1"
            await store.put("servers", name, spec)
            await send_requests(routers, record, "after-entry", 2.0)
        spec = leaving.describe("desk", next(iter(ZONES)), state="draining", sequence=2)
        await store.put("servers", leaving.name, spec)
        acknowledged_s = time.monotonic()
        answered = await send_requests(routers, record, "draining", LINGERS_S)
        late = [
            request
            for request in leaving.ran
            if request.arrived_s > acknowledged_s + DRAIN_S
        ]
        record.add(f"{answered} requests answered, {len(late)} by a worker that drains")
        return BROKEN if late else HELD
    finally:
        for router in routers:
            await router.kill()
        for worker in workers:
            await worker.stop()
        await store.stop()


run_case(run, Path(__file__).resolve().parent)
