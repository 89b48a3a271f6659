import asyncio
import contextlib
import logging
import time
from types import SimpleNamespace

import pytest

from tamarackrill.contracts import hash_key
from tamarackrill.decisions.configuration import ObjectVersion
from tamarackrill.decisions.health import CONSECUTIVE_FAILURES, Health
from tamarackrill.router.admitting import Admitter
from tamarackrill.router.app import RouterApplication
from tamarackrill.router.catching_up import CatchUp
from tamarackrill.router.chats import ChatCoordinator
from tamarackrill.router.limiting import Limiter
from tamarackrill.router.load_reports import LoadReader
from tamarackrill.router.owners import Owners
from tamarackrill.router.platform_client import PlatformClient
from tamarackrill.router.probing import Prober
from tamarackrill.router.prompt_guard import PromptGuard
from tamarackrill.settings import load_settings
from tamarackrill.testing.daemon import listen
from tamarackrill.testing.injection import raising
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


RESTART_MAX_S = 10.0
STEPS = {
    "catch_up": (CatchUp, "_beat"),
    "owners": (Owners, "expire"),
    "vm_list": (PlatformClient, "list_vms"),
    "admitter": (Admitter, "admit_all"),
    "limiter": (Limiter, "exchange"),
    "guard": (PromptGuard, "update"),
    "chats": (ChatCoordinator, "_drop_replies"),
    "prober": (Health, "next_probe"),
    "load_reader": (LoadReader, "poll"),
}


@contextlib.asynccontextmanager
async def run_router():
    router = RouterApplication(load_settings(FLAGS, {}))
    await router.start()
    router.known.take(ObjectVersion("contract", "t", 1, CONTRACT))
    try:
        async with asyncio.timeout(RESTART_MAX_S):
            yield router
    finally:
        await router.stop()


async def wait_for(condition):
    while not condition():
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("error", [ValueError("odd"), asyncio.CancelledError()])
@pytest.mark.parametrize("name", STEPS)
def test_task_is_started_again_and_the_router_is_ready_again(name, error, caplog):
    # Guards against a router that stays unready, or no longer refuses calls that wait
    # too long, after one undeclared error of a background task.
    async def run():
        restarted = f"task_restarted task={name}"
        with raising(*STEPS[name], error, calls_max=2):
            async with run_router() as router:
                await wait_for(lambda: caplog.text.count(restarted) == 2)
                assert not router.is_ready()
                await wait_for(router.is_ready)

    caplog.set_level(logging.INFO)
    asyncio.run(run())


def test_router_whose_task_fails_each_time_is_not_ready():
    # Guards against a router that serves without one of its tasks: the load balancer
    # would keep sending to it.
    async def run():
        runs = []

        async def fail():
            runs.append(1)
            await asyncio.sleep(0)
            raise ValueError("internal error")

        async with run_router() as router:
            assert router.is_ready()
            router._start_task("added", fail)
            await wait_for(lambda: runs)
            while len(runs) < 4:
                await asyncio.sleep(0)
                assert not router.is_ready()

    asyncio.run(run())


def test_probe_that_raises_is_followed_by_others():
    # Guards against an ejected endpoint that never gets work again, as its probe
    # raised an undeclared error and counts as under way.
    async def run():
        async with run_router() as router:
            for name in "efg":
                fields = {"name": name, "kind": "engine", "serves": ["m"], "zone": "z"}
                fields |= {"address": "127.0.0.1:1"}
                router._apply_objects([ObjectVersion("endpoint", name, 1, fields)])
            health = router.placer.health
            for _ in range(CONSECUTIVE_FAILURES):
                health.observe_answer("e", False, None, "efg", time.monotonic() - 10.0)
            with raising(Prober, "_send_probe", ValueError("odd")):
                await wait_for(lambda: health._probed_s > 0)
            first_s = health._probed_s
            await wait_for(lambda: health._probed_s > first_s)

    asyncio.run(run())


def test_call_whose_admission_raises_holds_no_slot():
    # Guards against slots that are lost for ever, and calls of the same pool that are
    # not admitted, after an undeclared error of one admission.
    async def run():
        call = SimpleNamespace(
            request_id="1",
            kind="engine",
            pool="m",
            team="t",
            contract=SimpleNamespace(weight=1.0),
            priority=0,
            size_tokens=1.0,
            deadline_s=60.0,
            stream=False,
        )
        admitter = Admitter(lambda call: 1, 10, lambda: 0.0)
        odd = ValueError("odd")
        with raising(Admitter, "_dispatch", odd), pytest.raises(ValueError):
            await admitter.acquire_slot(call, 0.0)
        admitter.admit_all()
        async with asyncio.timeout(RESTART_MAX_S):
            later = SimpleNamespace(**{**vars(call), "request_id": "2"})
            await admitter.acquire_slot(later, 0.0)
        assert admitter.describe() == {"engine:m": 0}

    asyncio.run(run())


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
