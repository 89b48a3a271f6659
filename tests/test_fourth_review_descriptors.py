"""Refused requests whose clients go on sending, beside a shortage of descriptors."""

import asyncio
import errno
import os
import socket

import pytest

from tamarackrill.testing.edge import HOST, KEY, EdgeFleet, make_route
from tamarackrill.testing.edge_processes import EdgeProcess
from tamarackrill.testing.worker import Worker, answer_ok

ROUTES = (make_route("/lookup/", "idempotent"),)
KB = 1024
DESCRIPTORS_MAX = 200
# Below the number from which on a router of this limit takes no more.
CLIENTS = 100
REFUSED = {
    "head": b"GET /lookup/x HTTP/1.1\r\nX-More: " + b"x" * 100 * KB,
    "body": (
        f"POST /lookup/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Attempt-Id: a\r\n"
        f"X-Api-Key: {KEY}\r\nContent-Length: 9000000\r\n\r\n"
    ).encode()
    + b"x" * 1200 * KB,
}


@pytest.mark.parametrize("kind", REFUSED)
def test_refused_request_is_closed_though_no_descriptor_is_left(kind, monkeypatch):
    # Guards against a connection that is never closed, as a second descriptor for its
    # socket can't be had.
    def fail(connection):
        raise OSError(errno.EMFILE, "Too many open files")

    async def run():
        async with EdgeFleet() as fleet:
            limits = {"max_body_bytes": KB}
            await fleet.put_manifest(1, *ROUTES, limits=limits)
            await fleet.register_worker(Worker("w", answer_ok))
            router = await fleet.add_router("r")
            server = router.server.server
            client = await fleet.connect(router)
            await fleet.wait(lambda: server._streams)
            (stream,) = server._streams
            monkeypatch.setattr(socket.socket, "dup", fail)
            client.writer.write(REFUSED[kind])
            await asyncio.sleep(1.0)
            left = len(server._streams)
            monkeypatch.undo()
            # The fleet could not stop otherwise.
            stream.close()
            line = await client.reader.readline()
            return line, left

    line, left = asyncio.run(run())
    assert left == 0
    assert line.split()[1] == {"head": b"431", "body": b"413"}[kind]


def test_clients_of_refused_requests_use_up_no_descriptors(tmp_path):
    # Guards against connections that are read on after a refusal without being counted,
    # so that none are left for endpoints, and all requests are refused.
    async def refuse(address):
        host, _, port = address.rpartition(":")
        for _ in range(15):
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(REFUSED["head"])
                async with asyncio.timeout(0.5):
                    await reader.readline()
            except (OSError, TimeoutError):
                pass
            finally:
                # Open until the router closes it.
                kept.append(writer)
            await asyncio.sleep(0.05)

    kept = []

    async def run():
        async with EdgeFleet() as fleet:
            await fleet.put_manifest(1, *ROUTES)
            await fleet.register_worker(Worker("w", answer_ok), slots=500)
            router = EdgeProcess(
                "r",
                "z",
                fleet.store_address,
                [],
                tmp_path,
                descriptors_max=DESCRIPTORS_MAX,
            )
            router.start()
            try:
                await router.wait_ready()
                client = await fleet.connect(router.addresses.callers)
                client.send("/lookup/x", "before")
                await client.read()
                folder = f"/proc/{router._process.pid}/fd"
                before = len(os.listdir(folder))
                refusing = [
                    asyncio.create_task(refuse(router.addresses.callers))
                    for _ in range(CLIENTS)
                ]
                statuses, most = [], 0
                for number in range(40):
                    client.send("/lookup/x", f"kept {number}")
                    async with asyncio.timeout(6):
                        statuses.append((await client.read()).status)
                    most = max(most, len(os.listdir(folder)))
                    await asyncio.sleep(0.05)
                await asyncio.gather(*refusing)
                for writer in kept:
                    writer.transport.abort()
                await asyncio.sleep(2.0)
                after = len(os.listdir(folder))
                return statuses, before, most, after
            finally:
                router.kill()

    statuses, before, most, after = asyncio.run(run())
    assert set(statuses) == {200}
    assert after <= before + 10
    assert most < DESCRIPTORS_MAX - 20
