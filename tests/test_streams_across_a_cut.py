"""Versions of streams while some routers reach neither the store nor the others."""

import asyncio

import pytest

from tamarackrill.exceptions import PlatformUnavailable
from tamarackrill.testing.peer_links import PeerLinks
from tamarackrill.testing.versioned_fleet import VersionedFleet, find_versions

STREAMS = 12
TIMEOUT_MS = 15_000
# A version that is new gets streams only once all routers know it.
BEGIN_MAX_S = 10.0


def cut_store(router):
    """Let a router's calls to the store fail; return what ends that."""
    platform = router._platform
    call = platform._call

    async def fail(*args, **kwargs):
        await asyncio.sleep(0.01)
        raise PlatformUnavailable("cut off")

    def restore():
        platform._call = call

    platform._call = fail
    return restore


async def begin_at(fleet, routers, version):
    """Begin streams until some begin at a version; return these."""
    async with asyncio.timeout(BEGIN_MAX_S):
        while True:
            begun = await fleet.begin_all(STREAMS, *routers)
            found = {name: v for name, v in begun.items() if v == {version}}
            if found:
                return found


async def take_up_all(fleet, routers, begun):
    """Return how many streams were joined, and how many went on."""
    answers = await asyncio.gather(
        *(
            fleet.take_up(routers[number % len(routers)], f"take-{number}", name)
            for number, name in enumerate(begun)
        )
    )
    pairs = list(zip(answers, begun.values(), strict=True))
    joined = sum(bool(find_versions(a.body) - v) for a, v in pairs)
    return joined, sum(a.status == 200 for a in answers) - joined


@pytest.mark.parametrize("cut_s", [0.0, 3.0], ids=["at_once", "late_news"])
def test_cut_off_routers_do_not_join_streams_of_a_version_that_they_do_not_know(cut_s):
    # Guards against routers without news that take each other's replies for knowledge
    # of all versions.
    async def run():
        links = PeerLinks()
        with links.intercept():
            async with VersionedFleet() as fleet:
                await fleet.start(("v1",) * 3, timeout_ms=TIMEOUT_MS)
                near, far = fleet.routers[:2], fleet.routers[2:]
                links.groups = [
                    [r.settings.peer_port for r in half] for half in (near, far)
                ]
                for router in far:
                    cut_store(router)
                await asyncio.sleep(cut_s)
                for _ in range(3):
                    await fleet.add_version("v2")
                await fleet.wait_known(near)
                began_new = await begin_at(fleet, near, b"v2")
                joined, went_on = await take_up_all(fleet, far, began_new)
                links.restore()
                assert not joined, f"{joined} of {len(began_new)} joined, {went_on}"

    asyncio.run(run())


def test_streams_go_on_at_a_zone_that_does_not_reach_theirs():
    # Guards against refusals at once in a zone that can't ask the routers which know a
    # stream, though these archive it within a moment and the store answers both zones.
    async def run():
        links = PeerLinks()
        with links.intercept():
            async with VersionedFleet() as fleet:
                await fleet.start(timeout_ms=TIMEOUT_MS)
                near, far = fleet.routers[:2], fleet.routers[2:]
                links.groups = [
                    [r.settings.peer_port for r in half] for half in (near, far)
                ]
                begun = await fleet.begin_all(STREAMS, *near)
                joined, went_on = await take_up_all(fleet, far, begun)
                links.restore()
                assert not joined
                assert went_on >= STREAMS / 2

    asyncio.run(run())
