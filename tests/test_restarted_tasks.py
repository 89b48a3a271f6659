"""Background tasks of a router that raise an unexpected error."""

import asyncio
import logging
from unittest import mock

import pytest

from tamarackrill.router.background import run_restarting
from tamarackrill.router.configuring import ConfigurationSync
from tamarackrill.testing.edge import EdgeFleet, make_route
from tamarackrill.testing.injection import raising

LOOKUP = make_route("/lookup/", "idempotent")
CHANGE_MAX_S = 4.0


def test_task_that_follows_the_store_is_started_again(caplog):
    # Guards against a router that gets no change any more after one unexpected error.
    async def act():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, LOOKUP)
            await fleet.add_worker("w", zone="a")
            router = await fleet.add_router(zone="a")
            sync = router.configuration_sync
            with mock.patch.object(sync, "_check_era", side_effect=RuntimeError("odd")):
                await fleet.put_manifest(2, LOOKUP)
                await fleet.wait(lambda: "task_restarted" in caplog.text)
            await fleet.wait(lambda: router.view.routes.manifest.version == 2)

    caplog.set_level(logging.INFO)
    asyncio.run(act())


@pytest.mark.parametrize("error", [OSError("odd"), asyncio.CancelledError()])
def test_task_that_fails_is_started_again_until_it_ends(error):
    # Guards against a task of a router that ends for good by an exception, or because
    # something that it waits for is cancelled elsewhere.
    async def act():
        runs = []

        async def run():
            runs.append(1)
            if len(runs) < 3:
                raise error

        with mock.patch("tamarackrill.router.background.RESTART_PAUSE_S", 0.0):
            await run_restarting("odd", run)
        assert len(runs) == 3

    asyncio.run(act())


def test_changes_are_read_from_others_after_one_reading_has_failed():
    # Guards against a router that gets no change from other routers any more after one
    # unexpected error.
    async def act():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, LOOKUP)
            await fleet.add_worker("w", zone="a")
            routers = [await fleet.add_router(f"r{n}", zone="a") for n in range(3)]
            await fleet.wait(
                lambda: all(len(r.members.list_live()) == 3 for r in routers)
            )

            async def change(version):
                await fleet.put_manifest(version, LOOKUP)
                async with asyncio.timeout(CHANGE_MAX_S):
                    for router in routers:
                        while router.view.routes.manifest.version < version:
                            await asyncio.sleep(0.01)

            with raising(ConfigurationSync, "_pull_unless_read", ValueError("odd")):
                await change(2)
            for version in (3, 4, 5):
                await change(version)
            # A reading may still be under way though the change has arrived otherwise.
            async with asyncio.timeout(CHANGE_MAX_S):
                while any(router.configuration_sync._pulls for router in routers):
                    await asyncio.sleep(0.01)

    asyncio.run(act())
