"""Tests of the TCP server on which stand-ins are built."""

import asyncio
import socket

import pytest

from tamarackrill.testing.tcp_server import TcpServer

# The loop accepts a connection, creates its writer and begins its handler in separate
# iterations.
ITERATIONS = 8


@pytest.mark.parametrize("iterations", range(ITERATIONS))
def test_stopped_server_leaves_no_connection_open(iterations, monkeypatch):
    # Guards against a writer that is collected after its loop was closed: its finalizer
    # raises, and fails whichever test runs at that time.
    writers = []
    accept = TcpServer._accept

    def note(self, reader, writer):
        writers.append(writer)
        accept(self, reader, writer)

    async def wait(reader, writer):
        await asyncio.Event().wait()

    async def run():
        server = TcpServer(wait)
        await server.start()
        host, _, port = server.address.rpartition(":")
        with socket.create_connection((host, int(port))):
            for _ in range(iterations):
                await asyncio.sleep(0)
            await server.stop()
            for _ in range(ITERATIONS):
                await asyncio.sleep(0)
            assert all(writer.is_closing() for writer in writers)

    monkeypatch.setattr(TcpServer, "_accept", note)
    asyncio.run(run())
    assert writers or iterations < ITERATIONS - 1
