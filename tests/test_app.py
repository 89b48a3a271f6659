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


async def _succeed():
    await asyncio.sleep(0)


async def _fail():
    await asyncio.sleep(0)
    raise ValueError("internal error")


@pytest.mark.parametrize(("work", "ready"), [(_succeed, True), (_fail, False)])
def test_router_with_a_failed_task_is_not_ready(work, ready):
    # A background task of the router fails.  The router would go on answering, but no
    # longer refuse calls that wait too long, for example, and the load balancer would
    # keep sending to it.
    async def run():
        router = RouterApplication(load_settings(FLAGS, {}))
        await router.start()
        router.known.take(ObjectVersion("contract", "t", 1, CONTRACT))
        assert router.is_ready()
        router._start_task("added", work())
        ended = asyncio.Event()
        router._tasks[-1].add_done_callback(lambda task: ended.set())
        await ended.wait()
        found = router.is_ready()
        await router.stop()
        return found

    assert asyncio.run(run()) is ready


def test_suspended_router_gives_no_orders_under_an_expired_lease(monkeypatch):
    # The VM of the lease's holder is suspended beyond the lease's expiry.  On a clock
    # that stops meanwhile the router would still give orders, though another router may
    # hold the lease by then.
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


def test_stopped_router_leaves_no_timeout_in_the_event_loop(caplog):
    # A program that embeds a router stops it during a request to the platform.  A
    # timeout that libcurl had requested last ran on the closed client, and the log
    # showed a traceback.
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
