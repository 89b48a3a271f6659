"""Tests of connections at each stage of a router's shutdown, on both interfaces."""

import asyncio
import contextlib
import socket

import pytest

from tamarackrill.contracts import hash_key
from tamarackrill.decisions.configuration import ObjectVersion
from tamarackrill.router import edge_app
from tamarackrill.router.app import RouterApplication
from tamarackrill.settings import load_settings
from tamarackrill.testing.edge import EdgeFleet, make_route

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
    "services": ["s"],
}
OWN_REQUEST = (
    b"POST /services/s/look HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer k\r\n"
    b"Content-Length: 2\r\n\r\n{}"
)
PLATFORM_REQUEST = (
    b"POST /lookup/a HTTP/1.1\r\nHost: shop.example\r\nX-Request-Attempt-Id: id-1\r\n"
    b"X-Deadline-Ms: 3000\r\nX-Api-Key: the-key\r\nContent-Length: 2\r\n\r\n{}"
)


@contextlib.asynccontextmanager
async def run_own():
    router = RouterApplication(load_settings(FLAGS, {}))
    await router.start()
    router.known.take(ObjectVersion("contract", "t", 1, CONTRACT))
    yield router, router.address, OWN_REQUEST


@contextlib.asynccontextmanager
async def run_on_platform():
    async with EdgeFleet() as fleet:
        await fleet.put_manifest(1, make_route("/lookup/", "idempotent"))
        await fleet.add_worker("w1")
        router = await fleet.add_router()
        fleet.routers.clear()
        yield router, router.settings.callers_address, PLATFORM_REQUEST


@pytest.fixture(autouse=True)
def _drain_at_once(monkeypatch):
    monkeypatch.setattr(edge_app, "DRAIN_SERVING_S", 0.0)


INTERFACES = pytest.mark.parametrize("run", [run_own, run_on_platform])


async def connect(address):
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def read_all(reader):
    return (await reader.read()).decode("latin-1")


def is_refusal(answer):
    head, _, body = answer.partition("\r\n\r\n")
    return head.startswith("HTTP/1.1 503 ") and "Connection: close" in head and body


async def shut_down(router):
    await router.drain()
    await router.stop()


async def wait_refused(address):
    while True:
        try:
            _, writer = await connect(address)
        except ConnectionRefusedError:
            return
        writer.close()


@INTERFACES
def test_first_request_of_a_new_connection_is_answered_during_shutdown(run):
    # Guards against a connection that is accepted just before the shutdown and closed
    # without a response to the request that its caller is about to send.
    async def act():
        async with run() as (router, address, request):
            reader, writer = await connect(address)
            shutdown = asyncio.create_task(shut_down(router))
            await wait_refused(address)
            writer.write(request)
            answer = await read_all(reader)
            await shutdown
            writer.close()
            return answer

    assert is_refusal(asyncio.run(act()))


def test_connection_in_the_backlog_is_answered_during_shutdown():
    # Guards against the reset of a connection in the listener's backlog, which the
    # router has not accepted when it closes the listener.
    async def act():
        async with run_own() as (router, address, request):
            await router.drain()
            # The event loop would accept it only in its next iteration.
            host, _, port = address.rpartition(":")
            caller = socket.create_connection((host, int(port)))
            stopping = asyncio.create_task(router.stop())
            await asyncio.sleep(0)
            reader, writer = await asyncio.open_connection(sock=caller)
            writer.write(request)
            answer = await read_all(reader)
            await stopping
            writer.close()
            return answer

    assert is_refusal(asyncio.run(act()))


@INTERFACES
def test_silent_connection_does_not_delay_the_shutdown(run):
    # Guards against a shutdown that waits forever for a caller that sends nothing.
    async def act():
        async with run() as (router, address, _):
            reader, writer = await connect(address)
            await shut_down(router)
            answer = await read_all(reader)
            writer.close()
            return answer

    assert asyncio.run(act()) == ""


@INTERFACES
def test_kept_alive_connection_closes_after_its_next_response_while_draining(run):
    # Guards against a caller that keeps using a connection until it is closed during
    # one of its requests.
    async def act():
        async with run() as (router, address, request):
            reader, writer = await connect(address)
            writer.write(request)
            await reader.readuntil(b"\r\n\r\n")
            draining = asyncio.create_task(router.drain())
            await asyncio.sleep(0)
            writer.write(request)
            answer = await read_all(reader)
            await draining
            await router.stop()
            writer.close()
            return answer

    assert "Connection: close" in asyncio.run(act())
