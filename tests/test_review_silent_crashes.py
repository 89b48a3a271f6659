"""Requests that crash their endpoints only after a silence."""

import asyncio

import pytest

from tamarackrill.testing.edge import EdgeFleet, make_route
from tamarackrill.testing.worker import answer_ok


@pytest.mark.parametrize("silence_s", [0.1, 1.0])
def test_request_that_crashes_endpoints_after_a_silence_is_blocked(silence_s):
    # Guards against a request that ends one endpoint after the other, because what
    # ended during a silence isn't counted as crashed.
    async def run():
        crashed = []
        route = make_route(
            "/l/", "idempotent", attempts=2, target_latency_ms=300, timeout_ms=4000
        )
        async with EdgeFleet() as fleet:

            def crash_on(name):
                async def act(request, writer):
                    if request.body != b"poison":
                        await answer_ok(request, writer)
                        return
                    await asyncio.sleep(silence_s)
                    crashed.append(name)
                    worker = next(w for w in fleet.workers if w.name == name)
                    task = asyncio.create_task(worker.crash())
                    await asyncio.wait([task])

                return act

            await fleet.put_manifest(1, route)
            for number in range(10):
                await fleet.add_worker(f"w{number}", crash_on(f"w{number}"))
            router = await fleet.add_router()
            answers = []
            for number in range(5):
                client = await fleet.connect(router)
                client.send("/l/a", f"id-{number}", b"poison", X_Deadline_Ms="4000")
                answers.append((await asyncio.wait_for(client.read(), 6.0)).status)
                await asyncio.sleep(1.2)
            assert len(crashed) <= 4

    asyncio.run(run())
