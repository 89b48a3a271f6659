"""Endpoints that send bodies without end, or long ones, and a router process."""

import asyncio
import contextlib
import itertools
from collections import Counter

import pytest

from tamarackrill.testing.edge import EdgeFleet, ask, make_route
from tamarackrill.testing.edge_processes import EdgeProcess
from tamarackrill.testing.long_bodies import (
    FRAMINGS,
    PIECE_BYTES,
    BodyClient,
    ReadAnswer,
    find_checksum,
    make_target,
    send_body,
)
from tamarackrill.testing.worker import answer_ok

TIMES = {"timeout_ms": 20_000, "target_latency_ms": 5_000}
ROUTES = (
    make_route("/body/", "idempotent", service="writer", **TIMES),
    make_route("/once/", "non_idempotent", service="writer", **TIMES),
    make_route("/lookup/", "idempotent"),
)
STATUSES = (200, 204, 421, 500, 503)
PACES = ("fast", "stalled", "trickling")
ENDLESS = [
    make_target(prefix, framing, status)
    for framing in FRAMINGS
    for prefix, status in [
        *(("/body/", status) for status in STATUSES),
        ("/body/x-not-executed/", 503),
        ("/once/", 200),
    ]
]
# Time that a request has, and its transit.
DEADLINE_S = 3.0
TRANSIT_S = 0.5
BYTES_PER_MB = 1_000_000
# 100 MB.
LONG_PIECES = 1600


@contextlib.asynccontextmanager
async def start_router(folder, memory_mb=300, has_slow_peers=False, workers=2):
    """Start a router process, endpoints that send bodies, and a sound one."""
    async with EdgeFleet() as fleet:
        await fleet.put_manifest(1, *ROUTES)
        for number in range(workers):
            name = f"writer-{number}"
            await fleet.add_worker(name, send_body, service="writer", slots=1000)
        await fleet.add_worker("other", answer_ok)
        fields = {
            "limits": {"memory_mb": memory_mb},
            "contracts": ["base", *(["pressure"] if has_slow_peers else [])],
        }
        router = EdgeProcess("r", "z", fleet.store_address, [], folder, fields=fields)
        router.start()
        try:
            await router.wait_ready()
            yield fleet, router
        finally:
            router.kill()


async def ask_others(address, duration_s):
    """Send requests of another route at a fixed rate; return how many had which end."""

    async def ask_one(number):
        try:
            async with asyncio.timeout(DEADLINE_S + TRANSIT_S):
                return (await ask(address, "/lookup/x", f"other-{number}")).status
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return "none"

    tasks = []
    for number in range(int(10 * duration_s)):
        tasks.append(asyncio.create_task(ask_one(number)))
        await asyncio.sleep(0.1)
    return Counter(await asyncio.gather(*tasks))


async def play_endless(router, requests):
    """Send requests that are answered without end, beside others."""
    address = router.addresses.callers
    _, others = await asyncio.gather(
        asyncio.gather(
            *(
                BodyClient(address, pace).ask(target, f"id-{number}", DEADLINE_S)
                for number, (target, pace) in enumerate(requests)
            )
        ),
        ask_others(address, DEADLINE_S),
    )
    return others


@pytest.mark.parametrize("has_slow_peers", [False, True])
@pytest.mark.parametrize("memory_mb", [300, 200])
def test_bodies_without_end_leave_a_router_its_memory(
    memory_mb, has_slow_peers, tmp_path
):
    # Guards against one faulty endpoint whose answers take the memory of a router, and
    # with it the requests of all clients.
    async def run():
        async with start_router(tmp_path, memory_mb, has_slow_peers) as (_, router):
            others = await play_endless(router, list(itertools.product(ENDLESS, PACES)))
            assert router.is_running
            return others, router.read_peak_memory_bytes()

    others, peak_bytes = asyncio.run(run())
    assert peak_bytes < memory_mb * BYTES_PER_MB
    assert others == {200: 10 * DEADLINE_S}


@pytest.mark.parametrize("has_slow_peers", [False, True])
@pytest.mark.parametrize("pace", ["fast", "slow"])
def test_long_answers_arrive_whole(pace, has_slow_peers, tmp_path):
    # Guards against long answers that are cut, altered or never completed because they
    # do not fit into a router's memory.
    targets = [
        make_target("/body/", framing, status, LONG_PIECES)
        for framing, status in (
            ("length", 200),
            ("chunked", 404),
            ("close", 200),
            ("length", 500),
        )
    ]

    async def run():
        async with start_router(tmp_path, has_slow_peers=has_slow_peers) as (_, router):
            client = BodyClient(router.addresses.callers, pace)
            answers = [await client.ask(t, f"id-{t}", 15.0) for t in targets]
            return answers, router.read_peak_memory_bytes()

    answers, peak_bytes = asyncio.run(run())
    size_bytes, checksum = LONG_PIECES * PIECE_BYTES, find_checksum(LONG_PIECES)
    expected = [
        ReadAnswer(status, size_bytes, checksum, True)
        for status in (200, 404, 200, 500)
    ]
    assert answers == expected
    assert peak_bytes < 300 * BYTES_PER_MB
