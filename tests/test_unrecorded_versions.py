"""Versions of streams after the store has refused what routers wrote of them."""

import asyncio

import pytest

from tamarackrill.exceptions import PlatformUnavailable
from tamarackrill.router.platform_client import PlatformClient
from tamarackrill.testing.versioned_fleet import VersionedFleet, find_versions

STREAMS = 12
TIMEOUT_MS = 15_000
# A version that isn't on record gets streams after some seconds only.
BEGIN_MAX_S = 15.0


async def refuse(*args, **kwargs):
    raise PlatformUnavailable("writes are refused")


async def remove(fleet, workers):
    for worker in workers:
        await fleet.store.write("servers", worker.name, None)
    await asyncio.sleep(0.3)


async def add_and_leave(fleet):
    """A second version joins and the first leaves."""
    first = list(fleet.workers)
    for _ in range(3):
        await fleet.add_version("v2")
    await fleet.wait_known(fleet.routers)
    return first


async def add_and_take_back(fleet):
    """A second version joins and leaves."""
    for _ in range(3):
        await fleet.add_version("v2")
    await fleet.wait_known(fleet.routers)
    return fleet.workers[3:]


@pytest.mark.parametrize("was_recorded", [False, True])
@pytest.mark.parametrize("release", [add_and_leave, add_and_take_back])
def test_version_that_was_not_recorded_is_not_taken_for_absent(
    release, was_recorded, monkeypatch
):
    # Guards against a record that lacks a version, as the store refused its write (or
    # routers of an earlier build wrote none), and that routers take for complete.
    run_release(release, was_recorded, monkeypatch)


def test_unrecorded_version_is_found_in_what_is_left_of_the_history(monkeypatch):
    # Guards against asking for changes since an old record only, which are gone.
    run_release(add_and_take_back, True, monkeypatch, is_history_short=True)


def run_release(release, was_recorded, monkeypatch, is_history_short=False):
    async def run():
        async with VersionedFleet() as fleet:
            if not was_recorded:
                monkeypatch.setattr(PlatformClient, "put", refuse)
            await fleet.start(("v1",) * 3, timeout_ms=TIMEOUT_MS)
            if was_recorded:
                await fleet.wait(
                    lambda: fleet.store.state.read("stream-versions", "desk")
                )
                monkeypatch.setattr(PlatformClient, "put", refuse)
            if is_history_short:
                await fleet.store.write("notes", "any", {})
                await fleet.store.compact_history()
            leaving = await release(fleet)
            left = {fleet.versions[fleet.workers.index(w)].encode() for w in leaving}
            async with asyncio.timeout(BEGIN_MAX_S):
                begun = {}
                while not begun:
                    begun = await fleet.begin_all(STREAMS, *fleet.routers)
                    begun = {name: v for name, v in begun.items() if v == left}
            await remove(fleet, leaving)
            killed = list(fleet.routers)
            await asyncio.gather(*(fleet.kill_router(router) for router in killed))
            monkeypatch.undo()
            await fleet.start_routers([fleet.remake_router(r) for r in killed])
            await asyncio.sleep(1.0)
            joined = 0
            for number, (name, versions) in enumerate(begun.items()):
                router = fleet.routers[number % len(fleet.routers)]
                answer = await fleet.take_up(router, f"take-{number}", name)
                joined += bool(find_versions(answer.body) - versions)
            assert joined == 0, f"{joined} of {len(begun)}"

    asyncio.run(run())
