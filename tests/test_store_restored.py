"""A store that comes back from a copy: revisions are given out again."""

import asyncio

from tamarackrill.router import edge_app
from tamarackrill.testing.edge import EdgeFleet, ask, make_route

LOOKUP = make_route("/lookup/", "idempotent")
ADDED = make_route("/added/", "idempotent")


def run_in_fleet(act):
    async def run():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, LOOKUP)
            await act(fleet)

    asyncio.run(run())


def find_version(router):
    """Return the version of the manifest in force at a router."""
    return router.view.routes.manifest.version


async def start_routers(fleet, revisions_lost):
    """Start two routers, and restore the store once they hold all revisions.

    Returns
    -------
    list of EdgeApplication
        Routers that hold `revisions_lost` revisions more than the restored store.
    """
    routers = [await fleet.add_router(name) for name in ("r1", "r2")]
    copied = fleet.store.state.revision
    for version in range(2, 2 + revisions_lost):
        await fleet.put_manifest(version, LOOKUP)
    last = 1 + revisions_lost
    await fleet.wait(lambda: all(find_version(r) == last for r in routers))
    newest = fleet.store.state.revision
    await fleet.wait(
        lambda: all(
            digest.complete == newest
            for router in routers
            for digest in router.configuration_sync.digest()
        )
    )
    await fleet.store.restore(copied)
    return routers


def test_change_after_the_store_was_restored_comes_into_force():
    # Guards against changes that are ignored because their revision, given out again,
    # is not above one that a router holds.
    async def act(fleet):
        await fleet.add_worker("w1")
        routers = await start_routers(fleet, revisions_lost=5)
        await fleet.put_manifest(20, LOOKUP, ADDED)
        await fleet.wait(lambda: all(find_version(r) == 20 for r in routers))
        for router in routers:
            assert (await ask(router, "/added/a")).status == 200

    run_in_fleet(act)


def test_endpoint_that_leaves_after_the_store_was_restored_gets_no_requests(
    monkeypatch,
):
    # Guards against routers that rely on another one's evidence and pull only what is
    # above the revision that they hold, though that is of an earlier era.
    monkeypatch.setattr(edge_app, "SETTLE_S", 0.0)

    async def act(fleet):
        leaving = await fleet.add_worker("w1")
        await fleet.add_worker("w2")
        routers = await start_routers(fleet, revisions_lost=5)
        spec = leaving.describe("desk", state="draining", sequence=2)
        await fleet.store.write("servers", "w1", spec)
        await fleet.wait(
            lambda: all(len(r.view.list_live("desk")) == 1 for r in routers)
        )

    run_in_fleet(act)
