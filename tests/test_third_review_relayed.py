"""Requests through another router whose kept connection to the endpoint has ended."""

import asyncio

from soak.links import EndpointLinks

from tamarackrill.testing.edge import EdgeFleet, ask, make_route
from test_second_review_races import TimingOutWorker

REQUESTS = 20


def test_request_through_another_router_survives_the_idle_timeout_of_its_endpoint():
    # Guards against requests that fail, though nothing has run them, because another
    # router has sent them on a connection that the endpoint was about to close.
    async def run():
        links = EndpointLinks()
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, make_route("/l/", "idempotent", attempts=2))
            worker = TimingOutWorker("w0")
            await fleet.register_worker(worker)
            router = await fleet.add_router(connect=links.connect)
            await fleet.add_router("helper", "y")
            await fleet.wait(
                lambda: all(
                    len(r.members.list_live()) == 2 and r.view.list_endpoints()
                    for r in fleet.routers
                )
            )
            links.cut("new", [worker.address])

            async def serve():
                """Return whether the router has found its way through the other."""
                answer = await ask(router, "/l/a", "first", method="GET")
                return answer.status == 200

            while not await serve():
                await asyncio.sleep(0.1)
            ran, statuses = len(worker.ran), []
            for number in range(REQUESTS):
                # Each second request finds a connection that is about to end.
                worker.is_timing_out = bool(number % 2)
                answer = await ask(router, "/l/a", f"id-{number}", method="GET")
                statuses.append(answer.status)
            await links.stop()
            return statuses, len(worker.ran) - ran

    statuses, ran = asyncio.run(run())
    assert (statuses.count(200), ran) == (REQUESTS, REQUESTS)
