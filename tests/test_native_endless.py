"""Endpoints that send without end, at a router of the product's own interface."""

import select
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress

import pytest

from tamarackrill.contracts import Endpoint, hash_key
from tamarackrill.decisions.answer_memory import (
    RETAINED_ALL_MAX_BYTES,
    AnswerMemory,
)
from tamarackrill.decisions.read_slices import (
    SHARE_BYTES,
    ReadShare,
    refill,
    take_piece,
    use_up,
)
from tamarackrill.testing.processes import (
    WAIT_TIMEOUT_S,
    FleetProcesses,
    call,
    wait_for,
)

CONTRACT = {
    "team": "t",
    "key_hashes": [hash_key("k")],
    "models": ["m"],
    "services": ["odd", "s"],
}
KEY = b"Authorization: Bearer k\r\n"
TIMEOUT_S = 3.0
# As many calls as a team may have in flight.
CALLERS = 100
# A router's VM has 200 to 300 MB.
MEMORY_MAX_KB = 200 * 1024
CHAT = b'{"model":"m","stream":true,"messages":[{"content":"x"}]}'
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
EVENTS = CHUNKED + b"Content-Type: text/event-stream\r\n\r\n"


def make_chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


KINDS = {
    "bytes": ("service", CHUNKED + b"\r\n", make_chunk(b"x") * 8192),
    "chunk extension": ("service", CHUNKED + b"\r\n1;", b"x" * 65536),
    "length": (
        "service",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\n",
        b"x" * 65536,
    ),
    "lines": ("engine", EVENTS, make_chunk(b"\n" * 4096)),
    "events": ("engine", EVENTS, make_chunk(b"data: x\n\n") * 4096),
}


class EndlessEndpoint:
    """Sends the same bytes again and again in response to any request.

    `load_reports_ended` counts the requests for load reports whose connections were
    closed.
    """

    def __init__(self, head, piece):
        self.load_reports_ended = threading.Semaphore(0)
        self._head, self._piece = head, piece
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self):
        with suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                send = threading.Thread(target=self._send, args=[connection])
                send.daemon = True
                send.start()

    def _send(self, connection):
        with connection:
            request = b""
            with suppress(OSError):
                request = connection.recv(65536)
                connection.sendall(self._head)
                while True:
                    connection.sendall(self._piece)
            if request.startswith(b"GET /v1/load "):
                self.load_reports_ended.release()


def send(address, kind, more=""):
    """Connect, send a request and return the connection."""
    host, port = address.split(":")
    path = {"engine": "/v1/chat/completions", "service": "/services/odd/x"}
    body = CHAT if kind == "engine" else b""
    head = (
        f"POST {path.get(kind, '/services/s/x')} HTTP/1.1\r\nHost: x\r\n"
        f"Request-Timeout-Ms: {TIMEOUT_S * 1000:.0f}\r\nConnection: close\r\n"
        f"Content-Length: {len(body)}\r\n{more}"
    )
    connection = socket.create_connection((host, int(port)))
    connection.sendall(head.encode() + KEY + b"\r\n" + body)
    return connection


def ask(address, kind):
    """Send a request, read all of its answer; return its status, 0 if it came late."""
    end_s = time.monotonic() + TIMEOUT_S + 1.0
    status = b"0"
    with send(address, kind) as connection:
        while time.monotonic() < end_s:
            connection.settimeout(max(0.01, end_s - time.monotonic()))
            try:
                data = connection.recv(1 << 18)
            except OSError:
                data = b""
            if not data:
                return int(status) if time.monotonic() < end_s else 0
            status = data[9:12] if status == b"0" else status
    return 0


@pytest.fixture
def fleet():
    with FleetProcesses() as fleet:
        fleet.put_contract(CONTRACT)
        fleet.add_service("sound", "s", "--slots=64")
        yield fleet


def add_endless(fleet, name, head, piece, kind):
    endless = EndlessEndpoint(head, piece)
    serves = ("m",) if kind == "engine" else ("odd",)
    value = Endpoint(name, kind, serves, endless.address, "zone-a", slots=64)
    path = f"/v1/objects/endpoint/{name}"
    call(fleet.platform.address, path, value._asdict(), "PUT")
    return endless


def read_peak_kb(process):
    with open(f"/proc/{process.pid}/status") as status:
        return next(int(line.split()[1]) for line in status if "VmHWM" in line)


@pytest.mark.parametrize("sort", KINDS)
def test_answers_without_end_harm_no_other_service(sort, fleet):
    # Guards against a faulty endpoint whose answers take up a router's memory and its
    # event loop, so that calls of other services are refused or answered late.
    kind, head, piece = KINDS[sort]
    endless = add_endless(fleet, "odd", head, piece, kind)
    router = fleet.add_router("a")
    fleet.wait_ready()
    with ThreadPoolExecutor(48) as pool:
        own = [pool.submit(ask, router.address, kind) for _ in range(24)]
        others = [pool.submit(ask, router.address, "sound") for _ in range(24)]
        assert [other.result() for other in others] == [200] * 24
        # Each of them ends at its deadline.
        assert 0 not in [one.result() for one in own]
    endless.close()
    assert read_peak_kb(router) < MEMORY_MAX_KB


def test_many_answers_without_end_to_callers_that_do_not_read(fleet):
    # Guards against a router whose memory is taken up by hundreds of answers, each of
    # which is bounded, and against runs that go on after the deadline of such callers.
    kind, head, piece = KINDS["length"]
    endless = [add_endless(fleet, f"odd-{n}", head, piece, kind) for n in range(2)]
    router = fleet.add_router("a")
    fleet.wait_ready()
    callers = [
        send(router.address, kind, f"Idempotency-Key: {n}\r\n") for n in range(CALLERS)
    ]
    wait_for(lambda: router.status()["in_flight"] > CALLERS / 2, "most calls")
    wait_for(lambda: not router.status()["in_flight"], "the end of all calls")
    for one in (*callers, *endless):
        one.close()
    assert read_peak_kb(router) < MEMORY_MAX_KB


def test_bodies_that_do_not_end_take_no_memory(fleet):
    # Guards against a router whose memory is taken up by hundreds of bodies, each of
    # which is within the limit of one.
    router = fleet.add_router("a")
    fleet.wait_ready()
    head = b"POST /services/s/x HTTP/1.1\r\nHost: x\r\n"
    unfinished = head + KEY + b"Content-Length: 1000000\r\n\r\n" + b"x" * 999_999
    host, port = router.address.split(":")
    callers = [socket.create_connection((host, int(port))) for _ in range(2 * CALLERS)]
    with ThreadPoolExecutor(16) as pool:
        list(pool.map(lambda caller: caller.sendall(unfinished), callers))

    def find_answered():
        return select.select(callers, [], [], 0)[0]

    def is_read():
        return router.status()["in_flight"] + len(find_answered()) >= len(callers)

    wait_for(is_read, "all bodies read or refused")
    # Who is refused is told so, and a short request is served all the same.
    assert {one.recv(12) for one in find_answered()} <= {b"HTTP/1.1 503"}
    assert ask(router.address, "sound") == 200
    assert read_peak_kb(router) < MEMORY_MAX_KB
    for caller in callers:
        caller.close()


def test_callers_that_send_chunks_of_one_byte_hold_up_no_others(fleet):
    # Guards against callers without a key that take up a router's event loop, so that
    # calls of others are answered late.
    router = fleet.add_router("a")
    fleet.wait_ready()
    head = b"POST /services/s/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
    host, port = router.address.split(":")
    has_ended = threading.Event()
    senders = 2 * CALLERS

    def send_on():
        while not has_ended.is_set():
            with suppress(OSError), socket.create_connection((host, int(port))) as one:
                one.sendall(head + b"\r\n")
                while not has_ended.is_set():
                    one.sendall(make_chunk(b"x") * 8192)

    with ThreadPoolExecutor(senders + 24) as pool:
        for _ in range(senders):
            pool.submit(send_on)
        others = [pool.submit(ask, router.address, "sound") for _ in range(24)]
        statuses = [other.result() for other in others]
        has_ended.set()
        router.kill()
    assert statuses == [200] * 24


def test_oldest_answers_are_no_longer_kept_if_all_take_too_much():
    # Guards against memory that isn't bounded, and against the loss of the answers that
    # are most likely to be asked for again.
    memory = AnswerMemory()
    for name in "abc":
        memory.retain(name)
    assert memory.pop_excess() is None
    memory.total_bytes = RETAINED_ALL_MAX_BYTES + 1
    memory.release("b")
    assert [memory.pop_excess() for _ in range(3)] == ["a", "c", None]


def test_load_report_without_end_takes_no_memory(fleet):
    # Guards against an engine whose load reports, which are read as a whole, take up
    # all memory of a router.
    endless = add_endless(
        fleet, "odd", KINDS["length"][1], KINDS["length"][2], "engine"
    )
    router = fleet.add_router("a")
    fleet.wait_ready()
    for _ in range(2):
        assert endless.load_reports_ended.acquire(timeout=WAIT_TIMEOUT_S)
    endless.close()
    assert read_peak_kb(router) < MEMORY_MAX_KB


def test_share_of_a_response_is_used_up_by_pieces_and_refilled_by_time():
    # Guards against a response that never gives way, and against an ordinary stream
    # of events that is paused.
    share = ReadShare(0.0)
    assert sum(take_piece(share, 1, 0.0) for _ in range(1000)) < 200
    assert not take_piece(share, 1, 0.0)
    refill(share, 0.0)
    assert take_piece(share, SHARE_BYTES, 0.0)
    assert not take_piece(share, 1, 0.0)
    assert all(take_piece(share, 100, 1.0 + n / 1000) for n in range(5000))
    use_up(share, 1000)
    assert not take_piece(share, 1, 6.0)
