"""Endpoints that send tiny pieces without end at full speed, and a router process."""

import asyncio
import contextlib
from collections import Counter

import pytest

from tamarackrill.router.channels import ChannelError, open_channel
from tamarackrill.testing.edge import EdgeClient, EdgeFleet, make_route
from tamarackrill.testing.edge_processes import EdgeProcess
from tamarackrill.testing.tcp_server import TcpServer
from tamarackrill.testing.worker import (
    Worker,
    WorkerRequest,
    answer_ok,
    make_answer,
    make_chunk,
    make_stream_head,
)

DEADLINE_S = 1.5
# What a client waits beyond its deadline before its request counts as unanswered, and
# for how long a connection to an endpoint may outlast the deadline.
LATE_MAX_S = 0.5
REQUESTS = 24
INTERVAL_S = 0.04
BLOCK_BYTES = 1 << 16
ROUTES = tuple(
    make_route(path, kind, service=service, attempts=2)
    for path, kind, service in (
        ("/stream/", "streaming", "writer"),
        ("/plain/", "idempotent", "writer"),
        ("/lookup/", "idempotent", "desk"),
    )
)
SIGNED_HEAD = b"HTTP/1.1 %s\r\nX-Request-Attempt-Id: %s\r\nX-Response-Signature: s\r\n"


def make_head(request, *fields, status=b"200 OK"):
    head = SIGNED_HEAD % (status, request.request_id.encode())
    return head + b"".join(field + b"\r\n" for field in fields) + b"\r\n"


def find_bytes(kind, request):
    """Return the bytes before those without end, and the piece that is repeated."""
    chunked = b"Transfer-Encoding: chunked"
    events = b"Content-Type: text/event-stream"
    foreign = make_answer(request, X_Request_Attempt_Id="another")
    return {
        "byte chunks": (make_head(request, chunked), make_chunk(b"x")),
        "byte chunks of a failure": (
            make_head(request, chunked, status=b"500 Failed"),
            make_chunk(b"x"),
        ),
        "interim": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"),
        "continue": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        "empty lines": (make_head(request, events), b"\n"),
        "empty lines in chunks": (make_stream_head(request), make_chunk(b"\n")),
        "comments": (make_head(request, events), b":\n\n"),
        "comments in chunks": (make_stream_head(request), make_chunk(b":\n\n")),
        "open comments in chunks": (make_stream_head(request), make_chunk(b":\n")),
        "events": (make_head(request, events), b"a\n\n"),
        "events in chunks": (make_stream_head(request), make_chunk(b"a\n\n")),
        "misplaced": (
            make_head(request, chunked, status=b"421 Misdirected"),
            make_chunk(b"x"),
        ),
        "not run": (
            make_head(request, chunked, b"X-Not-Executed: 1", status=b"503 Full"),
            make_chunk(b"x"),
        ),
        "foreign answers": (b"", foreign),
        "foreign body": (
            foreign.partition(b"Content-Length")[0] + chunked + b"\r\n\r\n",
            make_chunk(b"x"),
        ),
    }[kind]


class EndlessSender:
    """Behaviour of a worker that sends pieces without end, as fast as it is read."""

    def __init__(self, kind):
        self._kind = kind
        self._longest_s = 0.0
        self._begun_s = []

    def find_longest_s(self):
        """Return the longest time from a request to the end of its connection."""
        now_s = asyncio.get_running_loop().time()
        return max([self._longest_s, *(now_s - begun_s for begun_s in self._begun_s)])

    async def __call__(self, request, writer):
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        self._begun_s.append(begun_s)
        beginning, piece = find_bytes(self._kind, request)
        block = piece * (BLOCK_BYTES // len(piece))
        writer.write(beginning)
        try:
            with contextlib.suppress(ConnectionError):
                while not writer.transport.is_closing():
                    writer.write(block)
                    await writer.drain()
                    # A socket that takes all at once suspends nothing.
                    await asyncio.sleep(0)
        finally:
            self._begun_s.remove(begun_s)
            self._longest_s = max(self._longest_s, loop.time() - begun_s)


async def ask_status(address, target, request_id):
    """Return the status of an answer, "cut" if it is broken off, "none" without one."""
    deadline_ms = str(int(1000 * DEADLINE_S))
    client = None
    try:
        async with asyncio.timeout(DEADLINE_S + LATE_MAX_S):
            client = await EdgeClient.connect(address)
            fields = {"X_Deadline_Ms": deadline_ms, "Connection": "close"}
            client.send(target, request_id, b"x", **fields)
            head = await client.reader.readuntil(b"\r\n\r\n")
            # A stream of tiny events is too long to be split here too.
            body = await client.reader.read()
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return "none"
    finally:
        if client is not None:
            client.close()
    is_whole = b"chunked" not in head or body.endswith(b"0\r\n\r\n")
    return int(head.split()[1]) if is_whole else "cut"


async def ask_often(address, target):
    """Send requests at a fixed rate; return how many had which outcome."""
    tasks = []
    for number in range(REQUESTS):
        asking = ask_status(address, target, f"{target} {number}")
        tasks.append(asyncio.create_task(asking))
        await asyncio.sleep(INTERVAL_S)
    return Counter(await asyncio.gather(*tasks))


async def play(kind, target, are_all, folder):
    """Return outcomes at the odd service and the other one, and the longest sending."""
    async with EdgeFleet() as fleet:
        await fleet.put_manifest(1, *ROUTES)
        senders = [EndlessSender(kind) for _ in range(2 if are_all else 1)]
        for number, sender in enumerate(senders):
            odd = Worker(f"odd{number}", sender)
            await fleet.register_worker(odd, service="writer")
        if not are_all:
            await fleet.register_worker(Worker("sound", answer_ok), service="writer")
        await fleet.register_worker(Worker("other", answer_ok))
        router = EdgeProcess("r", "z", fleet.store_address, [], folder)
        router.start()
        try:
            await router.wait_ready()
            address = router.addresses.callers
            own, others = await asyncio.gather(
                ask_often(address, target), ask_often(address, "/lookup/x")
            )
            return own, others, max(sender.find_longest_s() for sender in senders)
        finally:
            router.kill()


@pytest.mark.parametrize(
    ("kind", "target", "are_all"),
    [
        ("byte chunks", "/plain/x", True),
        ("interim", "/stream/x", True),
        ("empty lines", "/stream/x", False),
        ("comments in chunks", "/stream/x", True),
        ("events in chunks", "/stream/x", True),
        ("misplaced", "/plain/x", True),
        ("foreign body", "/plain/x", True),
    ],
)
def test_tiny_pieces_without_end_hold_up_no_other_request(
    kind, target, are_all, tmp_path
):
    # Guards against one faulty endpoint whose bytes take up the time of a router, so
    # that requests to sound endpoints miss their deadlines.
    own, others, longest_s = asyncio.run(play(kind, target, are_all, tmp_path))
    assert others == {200: REQUESTS}
    assert not own["none"], own
    assert longest_s <= DEADLINE_S + LATE_MAX_S


@pytest.mark.parametrize("kind", ["misplaced", "not run"])
def test_request_that_has_not_run_goes_on_though_the_body_has_no_end(kind, tmp_path):
    # Guards against a request that misses its deadline for the rest of an answer whose
    # head has told that it may be sent elsewhere.
    own, others, longest_s = asyncio.run(play(kind, "/stream/x", False, tmp_path))
    assert own == others == {200: REQUESTS}
    assert longest_s <= DEADLINE_S + LATE_MAX_S


@pytest.mark.parametrize("kind", ["interim", "foreign body", "idle"])
def test_bytes_that_say_nothing_end_their_connection(kind):
    # Guards against a connection that is read until a deadline, or for ever if no
    # request is under way, though it can bring nothing of use.
    closed = asyncio.Event()

    async def serve(reader, writer):
        request = WorkerRequest("POST", "/", {"x-request-attempt-id": "id"}, b"")
        beginning, piece = (b"", b"x") if kind == "idle" else find_bytes(kind, request)
        writer.write(beginning)
        with contextlib.suppress(ConnectionError):
            while not writer.transport.is_closing():
                writer.write(piece * 1000)
                await writer.drain()
                await asyncio.sleep(0)
        closed.set()

    async def run():
        async with TcpServer(serve) as server, asyncio.timeout(DEADLINE_S):
            channel = await open_channel(server.address, DEADLINE_S)
            if kind == "idle":
                await closed.wait()
                assert not channel.is_open
                return
            channel.send("POST", "/", [("Host", "h"), ("Content-Length", "0")], b"")
            with pytest.raises(ChannelError, match="too"):
                await channel.read_head()
                await channel.skip_response()
            channel.close()

    asyncio.run(run())
