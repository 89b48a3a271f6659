"""Callbacks that read a request from its connection, and raise an undeclared error."""

import asyncio

import pytest
from soak.links import EndpointLinks

from tamarackrill.router import callers, edge_server, relay_server
from tamarackrill.router.callers import CallHandler
from tamarackrill.router.idle_timeouts import IdleTimeout
from tamarackrill.testing.edge import EdgeFleet, ask, make_route
from tamarackrill.testing.injection import raising
from test_unexpected_native_errors import KEY, run_router

ERRORS = (
    ValueError("odd"),
    MemoryError(),
    RecursionError("odd"),
    UnicodeError("odd"),
    asyncio.CancelledError(),
)
ANSWER_MAX_S = 3.0
BODY = b"a body"
# Owner and name of each callback of a delegate, and of what it calls.
EDGE = {
    "start": (edge_server, "_Request"),
    "head": (edge_server._Request, "headers_received"),
    "body": (edge_server._Request, "data_received"),
    "finish": (edge_server._Request, "finish"),
    "serve": (edge_server._Request, "_serve"),
    "reply": (edge_server, "EdgeReply"),
    "idle timeout": (IdleTimeout, "cancel"),
}
NATIVE = {
    "start": (CallHandler, "initialize"),
    "prepare": (CallHandler, "prepare"),
    "body": (CallHandler, "data_received"),
    "read": (callers, "read_call"),
}
RELAY = {
    "start": (relay_server, "_RelayedRequest"),
    "head": (relay_server._RelayedRequest, "headers_received"),
    "body": (relay_server._RelayedRequest, "data_received"),
    "finish": (relay_server._RelayedRequest, "finish"),
    "reply": (relay_server, "EdgeReply"),
}


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
@pytest.mark.parametrize("step", EDGE)
def test_request_is_refused_as_not_run_though_reading_it_raises(step, kind):
    # Guards against a connection that is closed without an answer because a callback
    # that reads the request raises.
    async def run():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, make_route("/a/", kind))
            worker = await fleet.add_worker("w")
            router = await fleet.add_router()
            for number, error in enumerate(ERRORS):
                with raising(*EDGE[step], error):
                    client = await fleet.connect(router)
                    client.send("/a/", f"id-{number}", BODY)
                    async with asyncio.timeout(ANSWER_MAX_S):
                        answer = await client.read()
                assert answer.status == 503
                assert float(answer.headers["retry-after"]) > 0.0
                # The connection can be used again.
                client.send("/a/", "next", BODY)
                assert (await client.read()).status == 200
            assert {request.request_id for request in worker.ran} == {"next"}

    asyncio.run(run())


@pytest.mark.parametrize("step", NATIVE)
def test_native_call_is_refused_as_not_run_though_reading_it_raises(step):
    # Guards against the same on the product's own interface, and against a call that
    # is told as possibly run.
    async def run():
        async with run_router() as (router, states):
            for error in ERRORS:
                with raising(*NATIVE[step], error):
                    async with asyncio.timeout(ANSWER_MAX_S):
                        answer = await ask(
                            router.address,
                            "/services/s/look",
                            body=BODY,
                            Authorization=f"Bearer {KEY}",
                        )
                assert answer.status == 503
                assert b'"run": "not_run"' in answer.body
            assert not any(state.arrivals for state in states)
            assert not router.open_calls.count

    asyncio.run(run())


@pytest.mark.parametrize("step", RELAY)
def test_attempt_is_not_lost_though_the_helping_router_fails_to_read_it(step):
    # Guards against a request that is told as possibly run, and an endpoint blamed for
    # it, because another router closed the connection of an attempt it had not sent.
    async def run():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, make_route("/a/", "non_idempotent", attempts=3))
            workers = [await fleet.add_worker(f"w{n}") for n in range(3)]
            links = EndpointLinks()
            router = await fleet.add_router("cut-off", connect=links.connect)
            await fleet.add_router("helper", "y")
            await fleet.wait(lambda: len(router.members.list_live()) == 2)
            links.cut("reset", [worker.address for worker in workers])
            await ask(router, "/a/", "first", BODY)
            names = {worker.name for worker in workers}
            await fleet.wait(lambda: names <= set(router.relays.paths.reachable))
            with raising(*RELAY[step], ERRORS[0]):
                answer = await ask(router, "/a/", "second", BODY)
            assert answer.status in (200, 503)
            ran = [r.request_id for worker in workers for r in worker.ran]
            assert ran.count("second") == (answer.status == 200)
            await links.stop()

    asyncio.run(run())


def test_work_for_a_client_that_left_ends_though_recording_that_raises():
    # Guards against an endpoint that works on for a client that has left.
    async def run():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, make_route("/a/", "idempotent"))
            worker = await fleet.add_worker("w", hang)
            router = await fleet.add_router()
            client = await fleet.connect(router)
            client.send("/a/")
            await fleet.wait(lambda: worker.ran)
            with raising(edge_server, "describe_call", ERRORS[0]):
                client.close()
                await asyncio.wait_for(worker.closed.wait(), ANSWER_MAX_S)
            await fleet.wait(lambda: not router.server.in_flight)

    asyncio.run(run())


async def hang(request, writer):
    await asyncio.Event().wait()
