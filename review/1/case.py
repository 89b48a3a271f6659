"""A zone is evacuated, taken back, and evacuated again."""

import asyncio
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

EVACUATE_S = 5.0
# Time for which the second evacuation is in force.
WATCHED_S = 9.0
ZONES = {"caerdydd-a": "de-cymru", "caerdydd-b": "de-cymru"}
EVACUATED = "caerdydd-b"


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
        await asyncio.sleep(0.1)
    return answered


async def run(record: Record, folder: Path) -> int:
    """Play the case."""
    store = Store(record)
    await store.start()
    workers = {}
    for zone in ZONES:
        workers[zone] = worker = Worker(f"i-{zone}", record)
        await worker.start()
        await store.put("servers", worker.name, worker.describe("desk", zone))
    await store.put(
        "config", "main", make_manifest(1, make_route("/dates/", "idempotent"))
    )
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
            {"evacuate_ms": int(1000 * EVACUATE_S), "cold_over": 1.5, "cold_slack": 5},
            ("health", "pool", "places"),
        )
        for number, zone in enumerate(ZONES, 1)
    ]
    try:
        for router in routers:
            await router.start()
        for router in routers:
            await router.wait_ready()
        if not await send_requests(routers, record, "before", 10.0):
            raise CaseNotRun("no request was served")
        if not workers[EVACUATED].ran:
            raise CaseNotRun("the zone got no request before its evacuation")
        if TROUBLE:
            await store.put("evacuations", EVACUATED, {})
            await send_requests(routers, record, "first", 4.0)
            await store.remove("evacuations", EVACUATED)
            await send_requests(routers, record, "between", 4.0)
        await store.put("evacuations", EVACUATED, {})
        acknowledged_s = time.monotonic()
        answered = await send_requests(routers, record, "second", WATCHED_S)
        late = [
            request
            for request in workers[EVACUATED].ran
            if request.arrived_s > acknowledged_s + EVACUATE_S
        ]
        record.add(f"{answered} requests answered, {len(late)} in the zone too late")
        return BROKEN if late else HELD
    finally:
        for router in routers:
            await router.kill()
        for worker in workers.values():
            await worker.stop()
        await store.stop()


run_case(run, Path(__file__).resolve().parent)
