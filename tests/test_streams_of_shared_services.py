"""Versions of streams at services whose capacity allocators share."""

import asyncio

import pytest

from tamarackrill.testing.edge import ask
from tamarackrill.testing.versioned_fleet import VersionedFleet, find_versions

STREAMS = 12


def run_fleet(act, **settings):
    async def run():
        async with VersionedFleet() as fleet:
            await fleet.start(capacity_sharing="on", **settings)
            await act(fleet)

    asyncio.run(run())


async def begin_all(fleet):
    return await fleet.begin_all(STREAMS, fleet.routers[0])


async def begin_and_leave(fleet):
    """Begin streams, and let the endpoints of their first version leave."""
    begun = await begin_all(fleet)
    for worker in fleet.workers[:2]:
        spec = worker.describe("desk", version="v1", state="draining")
        await fleet.store.write("servers", worker.name, spec)
    await fleet.wait(
        lambda: all(len(r.view.list_live("desk")) == 2 for r in fleet.routers)
    )
    return begun


@pytest.mark.parametrize("begin", [begin_all, begin_and_leave])
def test_stream_gets_grants_of_its_version_only(begin):
    # Guards against allocators that grant a stream an endpoint of another version than
    # the one that began it.
    async def act(fleet):
        begun = await begin(fleet)
        for number, (name, versions) in enumerate(begun.items()):
            answer = await fleet.take_up(fleet.routers[2], f"take-{number}", name)
            assert find_versions(answer.body) <= versions

    run_fleet(act)


def test_stream_is_not_resumed_with_a_grant_of_another_version():
    # Guards against the same within one answer, after the first endpoint has failed.
    async def act(fleet):
        for number in range(STREAMS):
            answer = await ask(fleet.routers[0], "/stream/a", f"id-{number}", b"x")
            assert len(find_versions(answer.body)) == 1

    run_fleet(act, versions=("v1", "v2"), is_cut=True)
