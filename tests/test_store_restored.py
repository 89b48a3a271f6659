"""A store that comes back from a copy: revisions are given out again."""

import asyncio
import time

import pytest

from tamarackrill.decisions import lapses
from tamarackrill.decisions.configuration import ObjectVersion
from tamarackrill.decisions.lapses import EXPIRY_GRACE_S, SILENT_ENTRY_S
from tamarackrill.router import edge_app
from tamarackrill.router.deployment_view import DeploymentView
from tamarackrill.router.edge_app import READERS
from tamarackrill.router.fleet_news import FleetNewsExchange
from tamarackrill.testing.edge import EdgeFleet, ask, make_manifest, make_route
from tamarackrill.testing.worker import Worker, answer_ok

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


def make_view(*objects):
    view = DeploymentView(READERS, zones=("a",))
    for item in objects:
        view.take(item, 0.0)
    return view


def make_manifest_version(version, revision):
    return ObjectVersion("config", "main", revision, make_manifest(version, LOOKUP))


def make_entry(revision, state="ready", born=1):
    spec = Worker("w1", answer_ok).describe("desk", state=state, born=born)
    return ObjectVersion("servers", "w1", revision, {**spec, "address": "10.0.0.1:80"})


def test_older_manifest_of_the_copy_is_not_put_in_force():
    # Guards against routes and keys that come back for the moment until the operator
    # has written the newest manifest again.
    view = make_view(make_manifest_version(20, 17))
    view.observe_restored("config", 1.0)
    view.take(make_manifest_version(18, 14), 1.0)
    assert view.routes.manifest.version == 20
    view.take(make_manifest_version(21, 15), 1.1)
    assert view.routes.manifest.version == 21


def test_leaving_endpoint_that_is_live_in_the_copy_stays_leaving():
    # Guards against new work for an endpoint whose draining was acknowledged after the
    # copy was made.
    view = make_view(make_entry(9, "draining"))
    view.observe_restored("servers", 1.0)
    view.take(make_entry(6, "ready"), 1.0)
    assert not view.list_live("desk")
    view.take(make_entry(7, "ready", born=2), 3.0)
    assert view.list_live("desk")


def test_endpoint_that_the_copy_lacks_is_kept_until_it_could_write_its_entry():
    # Guards against refusals for lack of endpoints that have started since the copy was
    # made.
    view = make_view(make_entry(9))
    view.observe_restored("servers", 1.0)
    view.take(ObjectVersion("servers", "w1", 8, None), 1.0)
    view.expire(1.0 + EXPIRY_GRACE_S - 0.1)
    assert view.list_live("desk")
    view.expire(1.0 + EXPIRY_GRACE_S)
    assert not view.list_live("desk")


@pytest.mark.parametrize(("is_written_again", "zones"), [(True, {"a"}), (False, set())])
def test_evacuation_that_the_copy_lacks_holds_until_it_could_be_written_again(
    is_written_again, zones
):
    # Guards against requests to a zone whose evacuation was acknowledged after the copy
    # was made.
    view = make_view(ObjectVersion("evacuations", "a", 9, {}))
    view.observe_restored("evacuations", 1.0)
    view.take(ObjectVersion("evacuations", "a", 8, None), 1.0)
    assert view.evacuated_zones == {"a"}
    if is_written_again:
        view.take(ObjectVersion("evacuations", "a", 10, {}), 1.5)
    view.expire(1.0 + EXPIRY_GRACE_S)
    assert view.evacuated_zones == zones


def test_evacuation_ends_at_once_without_a_restore():
    view = make_view(ObjectVersion("evacuations", "a", 9, {}))
    view.take(ObjectVersion("evacuations", "a", 10, None), 1.0)
    assert not view.evacuated_zones


@pytest.mark.parametrize(
    ("later", "is_used"),
    [
        ([], True),
        ([make_entry(8, "ready")], True),
        ([ObjectVersion("servers", "w1", 8, None)], False),
    ],
    ids=["kept by the store", "written again", "ended again"],
)
def test_endpoint_that_has_ended_since_the_copy_gets_no_requests(later, is_used):
    # Guards against requests at an endpoint that has ended, because its entry is in the
    # copy that the store came back from.
    view = make_view(make_entry(6), ObjectVersion("servers", "w1", 9, None))
    view.observe_restored("servers", 1.0)
    view.take(make_entry(6), 1.0)
    assert not view.list_live("desk")
    for item in later:
        view.take(item, 2.0)
    view.expire(1.0 + SILENT_ENTRY_S)
    assert bool(view.list_live("desk")) == is_used


@pytest.mark.parametrize("is_ended_again", [False, True])
def test_ended_entry_is_not_used_before_the_store_has_told_that_it_kept_it(
    is_ended_again,
):
    # Guards against requests at an endpoint that has ended, by a router that was late,
    # or couldn't reach the store, when its entry ended once more.
    view = make_view(make_entry(6), ObjectVersion("servers", "w1", 9, None))
    known_s = 1.0
    view.find_known_s = lambda now_s: known_s
    view.observe_restored("servers", 1.0)
    view.take(make_entry(6), 1.0)
    view.expire(1.5 + SILENT_ENTRY_S)
    assert not view.list_live("desk")
    if is_ended_again:
        view.take(ObjectVersion("servers", "w1", 8, None), 1.6 + SILENT_ENTRY_S)
    known_s = 1.6 + SILENT_ENTRY_S
    view.expire(1.6 + SILENT_ENTRY_S)
    assert bool(view.list_live("desk")) != is_ended_again


def test_ended_entry_is_not_used_by_a_router_that_stood_still_as_it_ended_again(
    monkeypatch,
):
    # Guards against timers that use the entries of a copy before the news is read that
    # they have ended, which waits in the next socket.
    monkeypatch.setattr(lapses, "SILENT_ENTRY_S", 1.0)

    async def act(fleet):
        for name in ("w1", "w2"):
            await fleet.add_worker(name)
        router = await fleet.add_router()
        view, store = router.view, fleet.store
        await fleet.wait(lambda: len(view.list_live("desk")) == 2)
        copied = store.state.revision
        await store.write("servers", "w1", None)
        await fleet.wait(lambda: view.find_endpoint("w1") is None)
        await store.restore(copied)
        await fleet.wait(lambda: router.store.get_era("servers") == 2)
        used, take = [], view.take

        def note(item, now_s):
            take(item, now_s)
            used.append(view.find_endpoint("w1") is not None)

        view.take = note
        await asyncio.sleep(0.3)
        time.sleep(1.0)
        await store.write("servers", "w1", None)
        await fleet.wait(lambda: used)
        assert not any(used)

    run_in_fleet(act)


def test_router_that_stands_still_as_it_starts_is_told_before_it_serves(monkeypatch):
    # Guards against requests at an endpoint that has ended and is in the copy, by a
    # router that takes its own lateness for that of the others that know.
    ask_one = FleetNewsExchange._ask_one

    async def act(fleet):
        for name in ("w1", "w2"):
            await fleet.add_worker(name)
        first = await fleet.add_router("r1")
        copied = fleet.store.state.revision
        await fleet.store.write("servers", "w1", None)
        await fleet.wait(lambda: first.view.find_endpoint("w1") is None)
        await fleet.store.restore(copied)
        await fleet.wait(lambda: first.store.get_era("servers") == 2)
        router = fleet.make_router("r2")

        async def ask_late(self, address):
            await fleet.wait(lambda: router.view.find_endpoint("w1"))
            time.sleep(1.2)
            return await ask_one(self, address)

        monkeypatch.setattr(FleetNewsExchange, "_ask_one", ask_late)
        await router.start()
        await fleet.wait(router.is_ready)
        assert router.view.find_endpoint("w1") is None

    run_in_fleet(act)


def test_endpoint_that_comes_back_without_a_restore_is_used_at_once():
    view = make_view(make_entry(6), ObjectVersion("servers", "w1", 9, None))
    view.take(make_entry(10), 1.0)
    assert view.list_live("desk")


def test_endpoint_that_the_copy_lacks_is_used_when_it_writes_its_entry_again():
    # Guards against taking an endpoint for one that had ended, because its entry was
    # missing in the copy.
    view = make_view(make_entry(9))
    view.observe_restored("servers", 1.0)
    view.take(ObjectVersion("servers", "w1", 8, None), 1.0)
    view.expire(1.0 + EXPIRY_GRACE_S)
    view.take(make_entry(10), 1.1 + EXPIRY_GRACE_S)
    assert view.list_live("desk")
