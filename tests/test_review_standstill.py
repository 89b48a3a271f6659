"""Requests that wait for news after a standstill."""

import asyncio
import time

from tamarackrill.testing.edge import EdgeFleet, make_route


def test_connection_of_a_client_that_leaves_while_it_waits_for_news_is_closed():
    # Guards against connections to endpoints that nobody closes: the request is
    # cancelled between connecting and sending.
    async def run():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, make_route("/l/", "non_idempotent"))
            worker = await fleet.add_worker("w0")
            router = await fleet.add_router()
            waiting = asyncio.Event()

            async def wait_current():
                waiting.set()
                await asyncio.sleep(0.3)

            router.flow.attempts.wait_current = wait_current
            connections = worker.connections
            worker.closed.clear()
            client = await fleet.connect(router)
            client.send("/l/a", body=b"x")
            await asyncio.wait_for(waiting.wait(), 2.0)
            client.close()
            await fleet.wait(lambda: worker.connections > connections)
            await asyncio.wait_for(worker.closed.wait(), 2.0)
            assert not worker.requests

    asyncio.run(run())


def test_suspension_of_the_vm_is_a_standstill(monkeypatch):
    # Guards against requests that are decided by old news after the VM was suspended,
    # for which the monotonic clock stands still too.
    suspended_s = 0.0
    read = time.clock_gettime

    def read_clock(clock):
        return read(clock) + (suspended_s if clock == time.CLOCK_BOOTTIME else 0.0)

    monkeypatch.setattr(time, "clock_gettime", read_clock)

    async def run():
        nonlocal suspended_s
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, make_route("/l/", "idempotent"))
            await fleet.add_worker("w0")
            router = await fleet.add_router()
            await asyncio.sleep(0.3)
            assert router.standstill.find_resumed_s() < 0.0
            suspended_s = 10.0
            assert router.standstill.find_resumed_s() > 0.0

    asyncio.run(run())
