"""Steps of a call of the product's own interface that raise an undeclared error."""

import asyncio
import contextlib
import json

import pytest
from tornado.httpclient import AsyncHTTPClient
from tornado.iostream import StreamClosedError

from tamarackrill.contracts import hash_key
from tamarackrill.decisions.configuration import ObjectVersion
from tamarackrill.decisions.health import Health
from tamarackrill.decisions.routing import LoadBalancer
from tamarackrill.router import attempts
from tamarackrill.router.admitting import Admitter
from tamarackrill.router.app import RouterApplication
from tamarackrill.router.callers import CallHandler, _CallerOutlet
from tamarackrill.router.chats import ChatCoordinator
from tamarackrill.router.limiting import Limiter
from tamarackrill.router.placing import Placer
from tamarackrill.router.upstream import Exchange
from tamarackrill.settings import load_settings
from tamarackrill.testing import edge
from tamarackrill.testing.daemon import listen
from tamarackrill.testing.injection import raising
from tamarackrill.testing.platform import PlatformState, make_platform
from tamarackrill.testing.service import ServiceState, make_service

KEY = "the-key"
CONTRACT = {
    "team": "t",
    "key_hashes": [hash_key(KEY)],
    "services": ["s"],
    "non_idempotent": [{"service": "s", "method": "*", "path_prefix": "/book"}],
}
PATHS = {"idempotent": "/services/s/look", "non_idempotent": "/services/s/book"}
ERRORS = (
    ValueError("odd"),
    KeyError("odd"),
    MemoryError(),
    RecursionError("odd"),
    asyncio.CancelledError(),
)
ANSWER_MAX_S = 10.0
BEFORE_SENDING = {
    "start": (Placer, "start"),
    "build headers": (attempts, "_build_headers"),
    "exchange": (attempts, "Exchange"),
}
BEFORE_PLACING = {
    "limit": (Limiter, "begin"),
    "admit": (Admitter, "acquire_slot"),
    "place": (Placer, "place"),
}
AFTER_SENDING = {
    "head": (Exchange, "head"),
    "strip head": (attempts, "_strip_head"),
    "pump": (Exchange, "pump"),
}
RECORDING = {
    "finish": (Placer, "finish"),
    "release": (Placer, "release"),
    "release slot": (Admitter, "release_slot"),
    "end limit": (Limiter, "end"),
    "end chat": (ChatCoordinator, "finish_call"),
}


@contextlib.asynccontextmanager
async def run_router():
    """Run a router with endpoints of a service; yields it and their states."""
    platform, address = listen(make_platform(PlatformState()))
    flags = ["--name=r", "--zone=z", "--port=0", "--peer-port=0"]
    flags += [f"--platform={address}", "--peer-keys=the peer key"]
    router = RouterApplication(load_settings(flags, {}))
    await router.start()
    states = []
    router.known.take(ObjectVersion("contract", "t", 1, CONTRACT))
    # More than the errors, each of which may have an endpoint paused.
    for name in ("e1", "e2", "e3", "e4", "e5", "e6"):
        state = ServiceState(name)
        _, worker = listen(make_service(state))
        fields = {"name": name, "kind": "service", "serves": ["s"], "zone": "z"}
        item = ObjectVersion("endpoint", name, 1, {**fields, "address": worker})
        router._apply_objects([item])
        states.append(state)
    try:
        yield router, states
    finally:
        await router.stop()
        platform.stop()


async def ask(router, kind, key):
    headers = {"Authorization": f"Bearer {KEY}"}
    if key:
        headers["Idempotency-Key"] = key
    async with asyncio.timeout(ANSWER_MAX_S):
        return await AsyncHTTPClient().fetch(
            f"http://{router.address}{PATHS[kind]}",
            headers=headers,
            raise_error=False,
        )


def run_each(kind, step, check):
    async def run():
        async with run_router() as (router, states):
            for error in ERRORS:
                key = f"{kind}-{type(error).__name__}"
                with raising(*step, error):
                    answer = await ask(router, kind, key)
                runs = sum(state.arrivals[key] for state in states)
                assert answer.code != 599
                body = {} if answer.code == 200 else json.loads(answer.body)
                if body.get("run") == "not_run":
                    assert runs == 0
                if kind == "non_idempotent":
                    assert runs <= 1
                check(answer.code, body.get("run"), runs)
                # The router serves the next call.
                assert (await ask(router, kind, f"{key}-next")).code == 200

    asyncio.run(run())


@pytest.mark.parametrize("kind", PATHS)
@pytest.mark.parametrize("step", BEFORE_SENDING)
def test_call_that_was_not_sent_goes_to_another_endpoint(step, kind):
    # Guards against a call that is refused as possibly run because a step before its
    # sending raises an undeclared error.
    def check(status, run, runs):
        assert (status, runs) == (200, 1)

    run_each(kind, BEFORE_SENDING[step], check)


@pytest.mark.parametrize("kind", PATHS)
@pytest.mark.parametrize("step", BEFORE_PLACING)
def test_call_that_was_not_placed_is_refused_as_not_run(step, kind):
    # Guards against a caller who must take a call for possibly run, though nothing of
    # it was sent.
    def check(status, run, runs):
        assert (status, run, runs) == (503, "not_run", 0)

    run_each(kind, BEFORE_PLACING[step], check)


@pytest.mark.parametrize("kind", PATHS)
@pytest.mark.parametrize("step", AFTER_SENDING)
def test_undeclared_error_in_an_answer_is_a_failed_attempt(step, kind):
    # Guards against a call that fails because the answer of one endpoint raises an
    # undeclared error, and against one told as not run that was sent.
    def check(status, run, runs):
        if kind == "idempotent":
            assert status == 200
        else:
            assert (status, run) == (502, "unknown")

    run_each(kind, AFTER_SENDING[step], check)


@pytest.mark.parametrize("kind", PATHS)
@pytest.mark.parametrize("step", RECORDING)
def test_answer_is_complete_though_recording_the_call_fails(step, kind):
    # Guards against an answer that is lost because the router fails to record it.
    def check(status, run, runs):
        assert (status, runs) == (200, 1)

    run_each(kind, RECORDING[step], check)


@pytest.mark.parametrize("key", ["", "a key"])
@pytest.mark.parametrize("step", ["take", "finish"])
def test_answer_that_can_not_be_passed_on_is_not_complete(step, key):
    # Guards against the part of an answer that was written so far, which its caller
    # takes for all of it, and against a call that is open for good and delays a stop.
    async def run():
        async with run_router() as (router, _):
            skipped = 1 if step == "take" else 0
            fields = {"Authorization": f"Bearer {KEY}", "Idempotency_Key": key}
            # Longer than what is written at once, as control characters are escaped.
            body = b"\x01" * 900_000
            for error in ERRORS:
                with raising(_CallerOutlet, step, error, skipped):
                    async with asyncio.timeout(ANSWER_MAX_S):
                        answer = await edge.ask(
                            router.address, PATHS["idempotent"], body=body, **fields
                        )
                assert not answer.is_whole
                assert not router.open_calls.count

    asyncio.run(run())


@pytest.mark.parametrize("step", [*BEFORE_SENDING.values(), *AFTER_SENDING.values()])
def test_error_of_the_router_is_no_failure_of_its_endpoints(step):
    # Guards against endpoints that are ejected, and a call that is refused as one that
    # crashes endpoints, for a fault of the router.
    async def run():
        async with run_router() as (router, states):
            calls_max = 4 * len(states)
            with raising(*step, ValueError("odd"), calls_max=calls_max):
                for _ in range(calls_max):
                    await ask(router, "idempotent", "")
            names = [state.name for state in states]
            health, now_s = router.placer.health, router.clock()
            assert sorted(health.find_allowed(names, now_s)) == names
            assert (await ask(router, "idempotent", "")).code == 200

    asyncio.run(run())


@pytest.mark.parametrize("owner", [LoadBalancer, Health])
def test_endpoint_that_can_not_be_compared_is_left_out(owner, monkeypatch):
    # Guards against a service whose calls are all refused because what is known of one
    # endpoint makes the choice raise.
    name = {LoadBalancer: "choose", Health: "find_allowed"}[owner]
    original = getattr(owner, name)

    def act(state, *args):
        # Endpoints for the load balancer, their names for the health.
        for found in args[0] if owner is Health else args[1]:
            if "e1" in (found, getattr(found, "name", "")):
                raise OverflowError("odd")
        return original(state, *args)

    async def run():
        async with run_router() as (router, states):
            monkeypatch.setattr(owner, name, act)
            for _ in range(12):
                assert (await ask(router, "idempotent", "")).code == 200
            assert not states[0].total

    asyncio.run(run())


def test_error_of_another_connection_is_no_disconnect_of_the_caller():
    # Guards against an empty answer of status 200 to a call that has not run.
    async def run():
        async with run_router() as (router, states):
            step = (CallHandler, "_serve")
            with raising(*step, StreamClosedError()):
                answer = await ask(router, "idempotent", "a key")
            assert answer.code in (500, 503)
            assert not sum(state.total for state in states)

    asyncio.run(run())
