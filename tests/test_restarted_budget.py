"""The fleet's retry budget after all routers have started again."""

import asyncio

import pytest

from tamarackrill.exceptions import PlatformUnavailable
from tamarackrill.router import fleet_registry
from tamarackrill.router.platform_client import PlatformClient
from tamarackrill.testing.versioned_fleet import VersionedFleet


def test_routers_that_all_start_again_share_the_retry_budget():
    # Guards against routers that each spend the whole budget of the fleet, as they have
    # just started and know no others yet.
    async def run():
        async with VersionedFleet() as fleet:
            await fleet.start(zones="ab" * 4)
            killed = list(fleet.routers)
            await asyncio.gather(*(fleet.kill_router(router) for router in killed))
            again = [fleet.remake_router(router) for router in killed]
            shares = {}

            async def start(router):
                await router.start()
                await fleet.wait(router.is_ready)
                terms = router.settings.retry_budget
                shares[router.settings.name] = terms.fixed / router._fleet_size.largest

            await asyncio.gather(*map(start, again))
            assert sum(shares.values()) <= 1.01 * killed[0].settings.retry_budget.fixed

    asyncio.run(run())


def test_name_of_a_router_that_is_gone_is_removed(monkeypatch):
    # Guards against shares that become smaller with each router that ever ran.
    monkeypatch.setattr(fleet_registry, "CLEAN_UP_S", 0.05)

    async def run():
        async with VersionedFleet() as fleet:
            await fleet.store.write("routers", "gone", {})
            await fleet.start(("v1",), "a")
            assert fleet.routers[0]._fleet_size.largest == 2
            read = fleet.store.state.read
            await fleet.wait(lambda: read("routers", "gone").value is None)
            assert read("routers", "router-0").value == {}

    asyncio.run(run())


@pytest.mark.parametrize("call", ["list", "put"])
def test_router_has_its_share_though_the_store_refuses(call, monkeypatch):
    # Guards against routers without retries as they can't be counted.
    done = getattr(PlatformClient, call)

    async def refuse(platform, kind, *args, **kwargs):
        if kind == fleet_registry.ROUTERS_KIND:
            raise PlatformUnavailable("refused")
        return await done(platform, kind, *args, **kwargs)

    monkeypatch.setattr(PlatformClient, call, refuse)

    async def run():
        async with VersionedFleet() as fleet:
            await fleet.start(("v1",), "a")
            await fleet.wait(lambda: fleet.routers[0]._fleet_size.largest == 1)

    asyncio.run(run())
