import asyncio
import time

import pytest

from tamarackrill.contracts import hash_key
from tamarackrill.decisions.configuration import ObjectVersion
from tamarackrill.router.app import RouterApplication
from tamarackrill.settings import load_settings
from tamarackrill.testing.daemon import listen
from tamarackrill.testing.platform import PlatformState, make_platform

FLAGS = [
    "--name=a",
    "--zone=z",
    "--port=0",
    "--peer-port=0",
    "--platform=127.0.0.1:1",
    "--peer-keys=a key that is long enough",
]
CONTRACT = {
    "format": "tamarackrill/contract/v1",
    "team": "t",
    "key_hashes": [hash_key("k")],
    "models": ["m"],
}


async def _end_well():
    await asyncio.sleep(0)


async def _fail():
    await asyncio.sleep(0)
    raise ValueError("a fault of ours")


@pytest.mark.parametrize(("work", "ready"), [(_end_well, True), (_fail, False)])
def test_router_with_a_task_that_failed_is_not_ready(work, ready):
    # A task of the daemon ends by a fault of ours.  The router would go on answering
    # while nobody refuses what waits too long, and the balancer would not notice.
    async def run():
        router = RouterApplication(load_settings(FLAGS, {}))
        await router.start()
        router.known.take(ObjectVersion("contract", "t", 1, CONTRACT))
        assert router.is_ready()
        router._spawn("added", work())
        ended = asyncio.Event()
        router._tasks[-1].add_done_callback(lambda task: ended.set())
        await ended.wait()
        found = router.is_ready()
        await router.stop()
        return found

    assert asyncio.run(run()) is ready


def test_router_that_was_suspended_does_not_order_by_its_lapsed_lease(monkeypatch):
    # Guards against orders of a router whose successor has ordered meanwhile.
    async def run():
        server, platform = listen(make_platform(PlatformState()))
        router = RouterApplication(
            load_settings([*FLAGS, f"--platform={platform}"], {})
        )
        await router.start()
        load_controller = router.load_controller
        while not load_controller._lease.may_order(load_controller._clock()):
            await asyncio.sleep(0)
        read = time.clock_gettime
        monkeypatch.setattr(time, "clock_gettime", lambda clock: read(clock) + 60.0)
        found = load_controller._lease.may_order(load_controller._clock())
        await router.stop()
        server.stop()
        return found

    assert asyncio.run(run()) is False


def test_stopped_router_leaves_nothing_behind_in_its_process(caplog):
    # A library user stops a router while it waits for the platform, and goes on.  A
    # timeout that libcurl asked for last used to run on the closed client, and the
    # log showed a traceback.
    async def run():
        state = PlatformState()
        server, platform = listen(make_platform(state))
        router = RouterApplication(
            load_settings([*FLAGS, f"--platform={platform}"], {})
        )
        await router.start()
        while not state.counts["watch"]:
            await asyncio.sleep(0)
        await router.stop()
        server.stop()
        for _ in range(100):
            await asyncio.sleep(0)

    asyncio.run(run())
    assert "Traceback" not in caplog.text
