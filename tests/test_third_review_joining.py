"""Versions that join while most of the fleet's routers have died."""

import asyncio

import pytest

from tamarackrill.testing.edge import EdgeFleet, ask, make_route
from tamarackrill.testing.worker import make_chunk, make_event, make_stream_head

NEW_WORKERS = 4
STREAMS = 30
SLOTS = 64
STREAM_S = 1.0
# News of endpoints and the record of a version, and as long again.
JOINED_S = 10.0
# At most twice the mean of the service, and three more.
LOAD_MAX = 2 * STREAMS // (NEW_WORKERS + 1) + 3


async def stream_slowly(request, writer):
    writer.write(make_stream_head(request) + make_chunk(make_event(1)))
    await writer.drain()
    await asyncio.sleep(STREAM_S)
    writer.write(make_chunk(make_event(2)) + make_chunk(b""))


@pytest.mark.parametrize("dead", [0, 2])
def test_version_that_joined_gets_streams_though_most_routers_have_died(dead):
    # Guards against the last endpoint of the old version that gets all streams for as
    # long as dead routers count as routers that don't know the new one.
    async def run():
        async with EdgeFleet() as fleet:
            route = make_route("/s/", "streaming", stream_resume=True)
            await fleet.put_manifest(1, route)
            old = await fleet.add_worker("w0", stream_slowly, slots=SLOTS)
            router = await fleet.add_router("r0")
            others = [await fleet.add_router(f"r{n}") for n in (1, 2)]
            await fleet.wait(lambda: len(router.members.list_live()) == 3)
            for other in others[:dead]:
                await fleet.kill_router(other)
            await fleet.wait(lambda: len(router.members.list_live()) == 3 - dead)
            for number in range(1, NEW_WORKERS + 1):
                await fleet.add_worker(
                    f"w{number}", stream_slowly, version="v2", slots=SLOTS
                )
            await asyncio.sleep(JOINED_S)
            answers = await asyncio.gather(
                *(ask(router, "/s/a", f"id-{n}", b"x") for n in range(STREAMS))
            )
            assert all(answer.is_whole for answer in answers)
            return len(old.ran)

    assert asyncio.run(run()) <= LOAD_MAX
