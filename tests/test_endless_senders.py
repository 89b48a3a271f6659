"""Clients, routers and a store that send without end, and a router process."""

import asyncio
import itertools
import json
from collections import Counter
from pathlib import Path

import pytest
from tornado.curl_httpclient import CurlAsyncHTTPClient

from tamarackrill.decisions.capacity.request_bytes import SMALL_BYTES, RequestBytes
from tamarackrill.decisions.capacity.store_answers import make_answer_limits
from tamarackrill.decisions.request_reading import (
    EXCESS_MAX_S,
    BodyProgress,
    is_overdue,
)
from tamarackrill.exceptions import PlatformUnavailable
from tamarackrill.platform.store import STORE_FORM
from tamarackrill.router.peer_api import PeerUnavailable, pull
from tamarackrill.router.platform_client import PlatformClient
from tamarackrill.router.upstream import close_client, make_client
from tamarackrill.testing.edge import HOST, KEY, EdgeFleet, ask, make_route
from tamarackrill.testing.edge_processes import EdgeProcess
from tamarackrill.testing.tcp_server import TcpServer
from tamarackrill.testing.worker import Worker, answer_ok

MEMORY_MB = 300
MB = 1 << 20
DEADLINE_S = 3.0
REQUESTS = 24
ROUTES = (
    make_route("/lookup/", "idempotent"),
    make_route("/slow/", "idempotent", service="slow"),
)
PIECE = b"x" * 65536
ANSWER_HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


def make_head(target="/lookup/x"):
    lines = (
        f"POST {target} HTTP/1.1",
        f"Host: {HOST}",
        "X-Request-Attempt-Id: sender",
        "X-Deadline-Ms: 3000",
        f"X-Api-Key: {KEY}",
    )
    return "".join(f"{line}\r\n" for line in lines).encode()


def make_length(size_bytes):
    return b"Content-Length: %d\r\n\r\n" % size_bytes


# Number of connections, what each sends first and what it sends then, for ever or once.
SENDERS = {
    "body without end": (1, make_head() + make_length(1 << 40), PIECE, None),
    "chunks of one byte": (200, make_head() + CHUNKED, b"1\r\nx\r\n" * 10000, None),
    "one byte short": (300, make_head() + make_length(MB), b"x" * (MB - 1), 1),
    "whole bodies": (300, make_head("/slow/x") + make_length(MB), b"x" * MB, 1),
    "heads without end": (100, make_head() + b"X-More: ", PIECE, None),
}


async def connect(address):
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def send_on(address, first, piece, times):
    """Send until the router closes the connection; return the status of its answer."""
    reader, writer = await connect(address)

    async def write():
        writer.write(first)
        for _ in itertools.count() if times is None else range(times):
            writer.write(piece)
            await writer.drain()

    writing = asyncio.create_task(write())
    try:
        line = await reader.readline()
        return line.split()[1].decode() if line else "none"
    except ConnectionError:
        return "none"
    finally:
        writing.cancel()
        await asyncio.gather(writing, return_exceptions=True)
        writer.transport.abort()


async def ask_in_time(address, number):
    try:
        async with asyncio.timeout(DEADLINE_S):
            return (await ask(address, "/lookup/x", f"sound {number}")).status
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        return type(error).__name__


async def ask_often(address):
    tasks = []
    for number in range(REQUESTS):
        tasks.append(asyncio.create_task(ask_in_time(address, number)))
        await asyncio.sleep(DEADLINE_S / REQUESTS)
    return Counter(await asyncio.gather(*tasks))


def read_peak_mb(router):
    lines = Path(f"/proc/{router._process.pid}/status").read_text().splitlines()
    peak = next(line for line in lines if line.startswith("VmHWM"))
    return int(peak.split()[1]) / 1024


async def answer_slowly(request, writer):
    await asyncio.sleep(1.0)
    await answer_ok(request, writer)


def run_beside(folder, send):
    """Run a router with senders, and return what became of both."""

    async def run():
        async with EdgeFleet() as fleet:
            limits = {"max_body_bytes": MB, "max_header_bytes": 4 * MB}
            await fleet.put_manifest(1, *ROUTES, limits=limits)
            await fleet.register_worker(Worker("sound", answer_ok))
            slow = Worker("slow", answer_slowly)
            await fleet.register_worker(slow, service="slow", slots=1000)
            memory = {"limits": {"memory_mb": MEMORY_MB}}
            router = EdgeProcess(
                "r", "z", fleet.store_address, [], folder, fields=memory
            )
            router.start()
            try:
                await router.wait_ready()
                sending = asyncio.create_task(send(router.addresses))
                others = await ask_often(router.addresses.callers)
                # Each request has ended, with an answer, soon after its deadline.
                async with asyncio.timeout(DEADLINE_S):
                    statuses = await sending
                assert router.is_running
                return statuses, others, read_peak_mb(router)
            finally:
                router.kill()

    return asyncio.run(run())


@pytest.mark.parametrize("kind", SENDERS)
def test_requests_without_end_leave_room_and_time_for_others(kind, tmp_path):
    # Guards against clients whose requests never end, and which take up the memory of a
    # router, or its time, until the requests of all others are lost.
    connections, first, piece, times = SENDERS[kind]

    async def send(addresses):
        sending = (
            send_on(addresses.callers, first, piece, times) for _ in range(connections)
        )
        return Counter(await asyncio.gather(*sending))

    statuses, others, peak_mb = run_beside(tmp_path, send)
    assert peak_mb < MEMORY_MB
    assert others == {200: REQUESTS}
    assert sum(statuses.values()) == connections
    assert (
        set(statuses)
        <= {
            "body without end": {"413"},
            "chunks of one byte": {"408", "413"},
            "one byte short": {"408", "503"},
            "whole bodies": {"200", "503", "504"},
            "heads without end": {"431", "503"},
        }[kind]
    ), statuses


@pytest.mark.parametrize("path", ["/lookup/x", "/internal/v1/news"])
def test_requests_of_routers_leave_room_and_time_for_others(path, tmp_path):
    # Guards against bodies without end at the port for other routers, which was open to
    # 100 MB from anybody for each connection.
    first = b"".join(
        (
            f"POST {path} HTTP/1.1\r\nHost: peer\r\n".encode(),
            b"" if "internal" in path else b"Tamarackrill-Relay-Proof: 0\r\n",
            make_length(99_999_999),
        )
    )

    async def send(addresses):
        sending = (send_on(addresses.peers, first, PIECE, 1500) for _ in range(60))
        return Counter(await asyncio.gather(*sending))

    statuses, others, peak_mb = run_beside(tmp_path, send)
    assert peak_mb < MEMORY_MB
    assert others == {200: REQUESTS}
    assert set(statuses) <= {"503", "400", "none"}, statuses


async def send_pages():
    for number in itertools.count():
        items = [
            {"metadata": {"name": f"{number}-{i}", "revision": 1}, "spec": "x" * 1000}
            for i in range(500)
        ]
        page = {"items": items, "has_more": True, "store_revision": 5}
        yield make_answer(json.dumps(page).encode())


async def send_entries():
    yield make_answer(b'{"items":[' + b"{}," * 1_500_000 + b'{}],"store_revision":5}')


async def send_pieces():
    yield ANSWER_HEAD + CHUNKED
    while True:
        yield b"1\r\nx\r\n" * 10000


def make_answer(body):
    return ANSWER_HEAD + make_length(len(body)) + body


@pytest.mark.parametrize("make", [send_pages, send_entries, send_pieces])
def test_store_that_sends_without_end_ends_the_call(make):
    # Guards against a store whose answers never end, or hold millions of entries, and
    # which takes up the memory and the time of a router.
    async def serve(reader, writer):
        try:
            async for answer in make():
                if answer.startswith(ANSWER_HEAD):
                    await reader.readuntil(b"\r\n\r\n")
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            return

    async def run():
        async with TcpServer(serve) as server:
            curl = CurlAsyncHTTPClient(force_instance=True)
            client = PlatformClient(server.address, "z", curl, STORE_FORM)
            client.limits = make_answer_limits(MEMORY_MB * MB)
            calls = []
            client.on_call = calls.append
            with pytest.raises(PlatformUnavailable):
                async with asyncio.timeout(DEADLINE_S):
                    await client.list("servers")
            close_client(curl)
            return sum(call.size_bytes for call in calls)

    assert asyncio.run(run()) < MEMORY_MB * MB / 20


def test_router_that_sends_without_end_ends_the_pull():
    # Guards against an answer of another router that fills the memory before its
    # signature can be checked.
    sent_bytes = 0

    async def serve(reader, writer):
        nonlocal sent_bytes
        await reader.readuntil(b"\r\n\r\n")
        writer.write(ANSWER_HEAD + CHUNKED)
        try:
            while True:
                writer.write(b"10000\r\n" + PIECE + b"\r\n")
                await writer.drain()
                sent_bytes += len(PIECE)
        except ConnectionError:
            return

    async def run():
        async with TcpServer(serve) as server:
            client = make_client()
            with pytest.raises(PeerUnavailable):
                await pull(client, server.address, "/internal/v1/news", ("key",))
            close_client(client)

    asyncio.run(run())
    assert sent_bytes < MEMORY_MB * MB / 8


def test_small_requests_are_served_however_much_others_hold():
    # Guards against a bound on memory by which a few senders of long bodies keep all
    # other clients out.
    held = RequestBytes(100 * MB)
    held.add("long", 40 * MB)
    assert held.must_refuse("long", MB)
    assert not held.must_refuse("other", SMALL_BYTES)


def test_one_team_leaves_room_for_others():
    # Guards against a team that takes up all of the memory for requests.
    held = RequestBytes(100 * MB)
    while not held.must_refuse("greedy", MB):
        held.add("greedy", MB)
    assert held.held_bytes < 0.85 * held.total_max_bytes
    held.add("other", MB)
    assert not held.must_refuse("other", MB)
    held.add("other", -MB)
    held.add("greedy", -held.held_bytes)
    assert held.held_bytes == 0


@pytest.mark.parametrize(
    ("progress", "now_s", "expected"),
    [
        (BodyProgress(0.0, 2.9, None, 3.0), 2.9, False),
        (BodyProgress(0.0, 2.9, None, 3.0), 3.0, True),
        (BodyProgress(0.0, 8.9, None, None), 9.0, True),
        (BodyProgress(0.0, 0.0, None, None), 5.0, True),
        (BodyProgress(0.0, 1.0, 1.0, 3.0), 1.0 + EXCESS_MAX_S, True),
    ],
)
def test_body_is_read_until_its_client_gives_up_or_stops_sending(
    progress, now_s, expected
):
    # Guards against bodies that are read for ever.
    assert is_overdue(progress, 5.0, 9.0, now_s) == expected
