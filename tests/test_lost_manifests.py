"""Manifests that a store has lost, and routers that have them in force."""

import asyncio
import json
import zlib

import pytest

from tamarackrill.decisions.configuration import ObjectVersion
from tamarackrill.decisions.lost_manifests import LostManifests, ToldManifest
from tamarackrill.router.deployment_view import DeploymentView
from tamarackrill.router.edge_app import READERS
from tamarackrill.router.manifest_recovery import ManifestRecovery
from tamarackrill.router.peer_api import PeerUnavailable
from tamarackrill.testing.edge import EdgeFleet, ask, make_manifest, make_route

LOOKUP = make_route("/lookup/", "idempotent")
NEW = make_route("/new/", "idempotent")


@pytest.mark.parametrize(
    ("told", "own", "is_read"),
    [
        (ToldManifest(20, 1), (19, 1), False),
        (ToldManifest(20, 1), (19, 2), True),
        (ToldManifest(20, 2, True), (19, 2), True),
        (ToldManifest(20, 2, True), (20, 2), False),
        (ToldManifest(20, 1), (0, 0), False),
        (ToldManifest(), (1, 2), False),
        (ToldManifest(20, 1), (0, 1, True), True),
        (ToldManifest(), (0, 1, True), False),
    ],
    ids=[
        "change",
        "teller is late",
        "lost",
        "same",
        "nothing read yet",
        "old release",
        "unreadable",
        "unreadable there too",
    ],
)
def test_manifest_is_read_from_another_router_only_if_the_store_has_lost_it(
    told, own, is_read
):
    # Guards against a large manifest that each router that starts reads twice.
    lost = LostManifests()
    lost.observe("a:1", told)
    assert (lost.choose(*own) == "a:1") == is_read


def test_newest_manifest_is_read_first():
    lost = LostManifests()
    for version in (20, 22, 21):
        lost.observe(f"r{version}", ToldManifest(version, 1))
    assert lost.choose(19, 2) == "r22"
    lost.remove("r22")
    assert lost.choose(19, 2) == "r21"


def make_item(version):
    return ObjectVersion("config", "main", 7, make_manifest(version, LOOKUP))


def encode(version):
    return zlib.compress(json.dumps(make_item(version)).encode())


@pytest.mark.parametrize(
    "answer", [b"", zlib.compress(b"null"), zlib.compress(b'["config", "main", 7, {}]')]
)
def test_router_without_a_valid_manifest_is_passed_over(answer):
    # Guards against a router that doesn't answer, or whose answer is malformed, and
    # keeps the lost manifest from coming into force.
    async def run():
        view = DeploymentView(READERS)
        answers = {"r22": answer, "r21": encode(21)}

        async def pull(address, uri, timeout_s):
            if not answers[address]:
                raise PeerUnavailable("no answer")
            return answers[address]

        recovery = ManifestRecovery(view, pull, lambda: None)
        view.take(make_item(19), 0.0)
        for version in (21, 22):
            recovery.observe(f"r{version}", ToldManifest(version, 1, True))
        await recovery._task
        assert view.routes.manifest.version == 21
        assert view.tell_manifest().is_lost

    asyncio.run(run())


def test_router_that_starts_after_a_restore_serves_by_the_manifest_that_was_lost():
    # Guards against a router that serves by the copy's routes and keys until the
    # operator has written the newest manifest again.
    async def run():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, LOOKUP)
            await fleet.add_worker("w1")
            copied = fleet.store.state.revision
            for name in ("r0", "r1"):
                await fleet.add_router(name)
            await fleet.put_manifest(2, LOOKUP, NEW)
            await wait_for_version(fleet, 2)
            await fleet.store.restore(copied)
            await fleet.wait(
                lambda: all(r.store.get_era("config") == 2 for r in fleet.routers)
            )
            started = await fleet.add_router("r2")
            await wait_for_version(fleet, 2)
            assert (await ask(started, "/new/a")).status == 200
            await fleet.put_manifest(3, LOOKUP)
            await wait_for_version(fleet, 3)
            assert (await ask(started, "/new/a", "id-2")).status == 404
            assert not started.view.tell_manifest().is_lost

    asyncio.run(run())


def test_router_that_starts_without_a_restore_reads_only_the_stores_manifest():
    async def run():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, LOOKUP)
            await fleet.add_worker("w1")
            await fleet.add_router("r0")
            started = await fleet.add_router("r1")
            await fleet.put_manifest(2, LOOKUP)
            await wait_for_version(fleet, 2)
            assert started.manifest_recovery._task is None

    asyncio.run(run())


async def wait_for_version(fleet, version):
    await fleet.wait(
        lambda: all(r.view.tell_manifest().version == version for r in fleet.routers)
    )


@pytest.mark.parametrize("text", [b"[" * 400_000 + b"]" * 400_000, b"7" * 100_000])
@pytest.mark.parametrize("is_first", [False, True])
def test_router_that_starts_beside_an_unreadable_manifest_serves(is_first, text):
    # Guards against a router that refuses all requests until the operator writes the
    # next manifest, though others serve by the one before.
    async def run():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, LOOKUP)
            await fleet.add_worker("w")
            running = await fleet.add_router("running")
            fleet.store.substitutes["odd"] = text
            odd = {**make_manifest(2, LOOKUP), "routes": "odd"}
            if is_first:
                # The one that starts asks before the other has read the manifest.
                later = fleet.make_router("later")
                await fleet.store.write("config", "main", odd)
                await later.start()
            else:
                await fleet.store.write("config", "main", odd)
                await fleet.wait(lambda: running.view.tell_manifest().is_lost)
                later = fleet.make_router("later")
                await later.start()
            await fleet.wait(later.is_ready)
            for router in (running, later):
                assert (await ask(router, "/lookup/a")).status == 200
            await fleet.put_manifest(3, LOOKUP, NEW)
            for router in (running, later):
                await fleet.wait(lambda r=router: r.view.tell_manifest().version == 3)
                assert (await ask(router, "/new/a")).status == 200

    asyncio.run(run())
