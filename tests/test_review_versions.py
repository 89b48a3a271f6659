"""Streams of a router that has died, taken up while the store is slow."""

import asyncio

import pytest

from tamarackrill.testing.versioned_fleet import VersionedFleet

STREAMS = 30
SLOW_S = 0.4
# Beside load, routers in one process are late by more than the check takes.
TIMEOUT_MS = 1500


async def take_up_after_death(zones, deployment_zones):
    """Return how many streams go on at a router whose store answers slowly."""
    async with VersionedFleet() as fleet:
        add_router = fleet.add_router
        fleet.add_router = lambda *args, **fields: add_router(
            *args, **fields, zones=deployment_zones
        )
        await fleet.start(("v1",) * 3, zones=zones, timeout_ms=TIMEOUT_MS)
        # All routers have known the only version for longer than any stream lasts.
        await asyncio.sleep(fleet.routers[0].keepers.versions.lifetime_s + 1.0)
        for number in range(STREAMS):
            headers = {"X_Deadline_Ms": "1000"}
            client, _ = await fleet.begin(
                fleet.routers[0], f"first-{number}", **headers
            )
            client.close()
        router = fleet.routers[1]
        await fleet.kill_router(fleet.routers[0])
        call = router._platform._call

        async def call_slowly(*args, **kwargs):
            await asyncio.sleep(SLOW_S)
            return await call(*args, **kwargs)

        router._platform._call = call_slowly
        answers = await asyncio.gather(
            *(
                fleet.take_up(router, f"take-{number}", f"first-{number}")
                for number in range(STREAMS)
            )
        )
        router._platform._call = call
        return sum(answer.status == 200 and answer.is_whole for answer in answers)


@pytest.mark.parametrize(
    ("zones", "deployment_zones"),
    [
        # The other router of the zone is the one that died.
        (("a", "a", "b", "b"), ("a", "b")),
        # No router runs in the other zone.
        (("a", "a", "a"), ("a", "b")),
    ],
)
def test_streams_go_on_if_the_store_is_slow_and_their_router_has_died(
    zones, deployment_zones
):
    # Guards against a fleet of one version that refuses all streams of a dead router,
    # because a store that is alive takes longer than a check waits for it.
    went_on = asyncio.run(take_up_after_death(zones, deployment_zones))
    assert went_on >= STREAMS / 2
