"""Timeouts and size limits of the platform client."""

import asyncio
import contextlib
import resource
import socket
import threading
import time
import zlib

import pytest
from tornado.curl_httpclient import CurlAsyncHTTPClient

from tamarackrill.platform.store import STORE_FORM
from tamarackrill.router.platform_client import (
    AnswerTooLong,
    PlatformClient,
    PlatformUnavailable,
    StoreTiming,
    WatchLost,
)
from tamarackrill.testing.daemon import listen
from tamarackrill.testing.object_store import ObjectStore
from tamarackrill.testing.tcp_server import TcpServer

CALL_S = 0.3
BODY = b'{"metadata": {"name": "main", "revision": 7}, "spec": {}}'
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY), BODY)


class SlowStore:
    """A store in its own thread that answers its only call when the test lets it."""

    def __init__(self):
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        self.has_asked = threading.Event()
        self.may_answer = threading.Event()
        self.has_answered = threading.Event()
        self._thread = threading.Thread(target=self._serve)
        self._thread.start()

    def _serve(self):
        connection, _ = self._socket.accept()
        with connection:
            connection.recv(65536)
            self.has_asked.set()
            self.may_answer.wait()
            connection.sendall(ANSWER)
            self.has_answered.set()
            connection.recv(65536)

    def close(self):
        self.may_answer.set()
        self._thread.join()
        self._socket.close()


def make_platform(address, client):
    return PlatformClient(address, "z", client, STORE_FORM, StoreTiming(CALL_S, 1.0))


@pytest.mark.parametrize("blocked_before_s", [0.0, 2 * CALL_S])
def test_answer_that_arrives_while_the_event_loop_is_blocked_is_used(blocked_before_s):
    # A busy router's event loop is blocked past the timeout of a call that the store
    # answered long before, or answers while it is blocked again.  If the call timed
    # out, a busy router would repeat it again and again, and learn of no change.
    store = SlowStore()

    async def run():
        client = CurlAsyncHTTPClient(force_instance=True)
        platform = make_platform(store.address, client)
        asking = asyncio.create_task(platform.get("config", "main"))
        while not store.has_asked.is_set():
            await asyncio.sleep(0.001)
        if blocked_before_s:
            time.sleep(blocked_before_s)
            await asyncio.sleep(0)
        store.may_answer.set()
        store.has_answered.wait()
        time.sleep(2 * CALL_S)
        try:
            return await asking
        finally:
            client.close()

    try:
        assert asyncio.run(run()).version == 7
    finally:
        store.close()


def test_call_to_a_store_that_does_not_answer_times_out():
    store = SlowStore()

    async def run():
        client = CurlAsyncHTTPClient(force_instance=True)
        platform = make_platform(store.address, client)
        with pytest.raises(PlatformUnavailable):
            await platform.get("config", "main")
        client.close()

    try:
        asyncio.run(run())
    finally:
        store.close()


def test_answer_above_the_size_limit_is_not_read():
    async def run():
        store = ObjectStore()
        server, address = listen(store.make_application())
        client = CurlAsyncHTTPClient(force_instance=True)
        platform = make_platform(address, client)
        calls = []
        platform.on_call = calls.append
        for number in range(3):
            await store.write("config", "main", {"text": "x" * 10_000, "n": number})
        with pytest.raises(AnswerTooLong):
            await platform.watch("config", 0, 0.0, max_bytes=15_000)
        assert calls[-1].outcome == "too long"
        # The limit applies to one call, not to its connection.
        listing = await platform.watch("config", 0, 0.0)
        assert len(listing.items) == 3
        assert listing.size_bytes > 30_000
        client.close()
        server.stop()
        await server.close_all_connections()

    asyncio.run(run())


@pytest.mark.parametrize(("sent", "era"), [(0, 0), (1, 1), (7, 7)])
def test_era_of_the_store_is_read_from_every_answer(sent, era):
    async def run():
        store = ObjectStore()
        store.era = sent
        server, address = listen(store.make_application())
        client = CurlAsyncHTTPClient(force_instance=True)
        platform = make_platform(address, client)
        calls = []
        platform.on_call = calls.append
        await store.write("config", "main", {})
        assert (await platform.list("config")).era == era
        assert (await platform.watch("config", 0, 0.0)).era == era
        with pytest.raises(WatchLost):
            await platform.watch("config", 9, 0.0)
        assert [call.era for call in calls] == [era] * 3
        client.close()
        server.stop()
        await server.close_all_connections()

    asyncio.run(run())


def make_endless_store(is_sized, encoding=b""):
    """Return a server whose answers have more bytes than a router takes."""

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n" + encoding)
            size = b"Content-Length: %d\r\n" % (1 << 40) if is_sized else b""
            writer.write(size + b"\r\n")
            packer = zlib.compressobj(wbits=31)
            piece = b" " * (1 << 20)
            while not writer.is_closing():
                writer.write(packer.compress(piece) if encoding else piece)
                await writer.drain()
                await asyncio.sleep(0)

    return TcpServer(serve)


@pytest.mark.parametrize(
    ("is_sized", "encoding"),
    [(True, b""), (False, b""), (False, b"Content-Encoding: gzip\r\n")],
)
def test_answer_of_any_length_takes_bounded_memory(is_sized, encoding):
    # Guards against a router that runs out of memory because of one answer.
    async def run():
        server = make_endless_store(is_sized, encoding)
        await server.start()
        client = CurlAsyncHTTPClient(force_instance=True)
        timing = StoreTiming(5.0, 1.0)
        store = PlatformClient(server.address, "z", client, STORE_FORM, timing)
        with pytest.raises(PlatformUnavailable) as listed:
            await store.list("servers")
        with pytest.raises(AnswerTooLong):
            await store.watch("servers", 1, 1.0)
        client.close()
        await server.stop()
        # A list that is too long is tried again after a pause, as after an outage.
        assert not isinstance(listed.value, AnswerTooLong)

    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    asyncio.run(run())
    after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    assert after_kb - before_kb < 100_000
