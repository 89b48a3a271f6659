"""Requests at a router that stands still again and again, beside a slow store."""

import asyncio
import statistics
import time

from tamarackrill.decisions.standstill import NEWS_WAIT_MAX_S
from tamarackrill.testing.edge import EdgeFleet, ask, make_route

STANDS_STILL_S, RUNS_S = 1.05, 0.25
STORE_S = 0.25
STANDSTILLS = 4


def test_requests_of_a_router_that_stands_still_often_wait_for_news_only_once():
    # Guards against a busy router whose requests wait for news after each standstill,
    # twice each, so that most of them are held over several standstills.
    async def run():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, make_route("/l/", "idempotent"))
            await fleet.add_worker("w0", slots=100)
            router = await fleet.add_router()
            call = router._platform._call

            async def call_slowly(*args, **kwargs):
                await asyncio.sleep(STORE_S)
                return await call(*args, **kwargs)

            router._platform._call = call_slowly
            took_s = []

            async def request(number):
                begun_s = time.monotonic()
                answer = await ask(router, "/l/a", f"id-{number}", X_Deadline_Ms="9000")
                took_s.append(time.monotonic() - begun_s)
                assert answer.status in (200, 503, 504)

            requests = []
            for _ in range(STANDSTILLS):
                for _ in range(10):
                    requests.append(asyncio.create_task(request(len(requests))))
                    await asyncio.sleep(RUNS_S / 10)
                time.sleep(STANDS_STILL_S)
            await asyncio.gather(*requests)
            return statistics.median(took_s)

    assert asyncio.run(run()) <= 2 * NEWS_WAIT_MAX_S
