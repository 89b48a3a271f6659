"""Idle client connections of a router whose event loop is late."""

import asyncio
import socket
import time

import pytest

from tamarackrill.testing.edge import HOST, KEY, EdgeFleet, make_route

IDLE_S = 0.5
HEAD = (
    "POST /order/a HTTP/1.1\r\nHost: %s\r\nX-Request-Attempt-Id: id-%d\r\n"
    "X-Deadline-Ms: 3000\r\nX-Api-Key: %s\r\nContent-Length: 1\r\n\r\n"
)


def make_request(number):
    return (HEAD % (HOST, number, KEY)).encode() + b"x"


async def start(fleet):
    await fleet.put_manifest(
        1,
        make_route("/order/", "non_idempotent"),
        limits={"idle_timeout_ms": int(IDLE_S * 1000)},
    )
    await fleet.add_worker("w")
    return await fleet.add_router()


def connect(router):
    host, _, port = router.settings.callers_address.rpartition(":")
    return socket.create_connection((host, int(port)))


async def receive(connection):
    """Return what arrives until an answer or the end of the connection."""
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(3.0):
        try:
            return await loop.sock_recv(connection, 1000)
        except ConnectionError:
            return b""


@pytest.mark.parametrize("late_s", [0.3, 0.8, 1.5])
@pytest.mark.parametrize("is_kept", [False, True])
def test_request_that_arrived_before_a_late_idle_timeout_is_answered(is_kept, late_s):
    # Guards against a late router that closes connections whose requests have arrived.
    async def run():
        async with EdgeFleet() as fleet:
            router = await start(fleet)
            connections = [connect(router) for _ in range(10)]
            if is_kept:
                for number, connection in enumerate(connections):
                    connection.sendall(make_request(number))
                assert all([await receive(connection) for connection in connections])
            await asyncio.sleep(IDLE_S / 2)
            for number, connection in enumerate(connections):
                connection.sendall(make_request(100 + number))
            time.sleep(late_s)
            answers = [await receive(connection) for connection in connections]
            for connection in connections:
                connection.close()
            assert [answer[:12] for answer in answers] == [b"HTTP/1.1 200"] * 10

    asyncio.run(run())


@pytest.mark.parametrize("late_s", [0.0, 0.8])
@pytest.mark.parametrize("sent", [b"", b"POST /order/a HTTP/1.1\r\nHost"])
def test_connection_without_a_whole_head_is_closed_in_time(sent, late_s):
    # Guards against clients that vanish, or send heads slowly, and hold connections.
    async def run():
        async with EdgeFleet() as fleet:
            router = await start(fleet)
            connection = connect(router)
            connection.sendall(sent)
            await asyncio.sleep(0.05)
            time.sleep(late_s)
            begun_s = time.monotonic()
            assert await receive(connection) == b""
            assert time.monotonic() - begun_s <= IDLE_S + 1.0
            connection.close()

    asyncio.run(run())
