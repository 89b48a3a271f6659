"""Endpoints that are silent for a while, at a router of the product's own interface."""

import asyncio
import signal
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from tamarackrill.contracts import Endpoint, hash_key
from tamarackrill.router.attempts import attempt_call
from tamarackrill.router.replies import Reply
from tamarackrill.router.upstream import close_client, make_client
from tamarackrill.testing.processes import FleetProcesses, call, wait_for
from test_upstream import make_call

KEY = {"Authorization": "Bearer the-key", "Request-Timeout-Ms": "15000"}
CONTRACT = {
    "team": "t",
    "key_hashes": [hash_key("the-key")],
    "services": ["s"],
    "non_idempotent": [{"service": "s", "method": "POST", "path_prefix": "/book"}],
}
# As long as engines fall silent when their VM is paused.
SILENCE_S = 2.0
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class SilentEndpoint:
    """Listener whose full accept queue leaves new connections unanswered."""

    def __init__(self):
        self.requests = []
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        name = self._listener.getsockname()
        self.address = f"{name[0]}:{name[1]}"
        self._fillers = [socket.socket() for _ in range(3)]
        for filler in self._fillers:
            filler.setblocking(False)
            filler.connect_ex(name)

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._listener.shutdown(socket.SHUT_RDWR)
        for one in (self._listener, *self._fillers):
            one.close()

    def go_on(self):
        for filler in self._fillers:
            filler.close()
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with connection:
                request = connection.recv(65536)
                if request:
                    self.requests.append(request)
                    connection.sendall(ANSWER)


async def attempt_at(address):
    client = make_client()
    try:
        endpoint = Endpoint("e", "engine", ("m",), address, "z")
        return await attempt_call(
            client, make_call(), endpoint, Reply(False), 0, False, time.monotonic
        )
    finally:
        close_client(client)


def test_call_at_an_endpoint_that_accepts_no_connection_has_not_run():
    # Guards against a confirmation whose caller is told that it may have run, and an
    # endpoint that is suspected of a crash, if the connection isn't made in time.
    with SilentEndpoint() as silent:
        attempt = asyncio.run(attempt_at(silent.address))
        assert (attempt.outcome, silent.requests) == ("not_sent", [])


@pytest.fixture
def fleet():
    with FleetProcesses() as fleet:
        fleet.put_contract(CONTRACT)
        yield fleet


def register(fleet, address):
    value = Endpoint("silent", "service", ("s",), address, "zone-a")._asdict()
    call(fleet.platform.address, "/v1/objects/endpoint/silent", value, "PUT")


@pytest.mark.parametrize("method, path", [("GET", "/look"), ("POST", "/book")])
def test_call_waits_for_the_only_endpoint_that_is_silent_for_a_while(
    fleet, method, path
):
    # Guards against calls that are refused or lost a second after the only endpoint of
    # their service has stopped to accept connections, although it goes on.
    with SilentEndpoint() as silent:
        register(fleet, silent.address)
        router = fleet.add_router("a")
        fleet.wait_ready()
        threading.Timer(SILENCE_S, silent.go_on).start()
        headers = {**KEY, "Idempotency-Key": "k"}
        answer = call(router.address, f"/services/s{path}", None, method, headers)
        assert (answer.status, len(silent.requests)) == (200, 1)


def test_confirmation_goes_to_another_endpoint_if_one_accepts_no_connection(fleet):
    # Guards against confirmations that are lost at an endpoint that never got them,
    # while another endpoint serves.
    with SilentEndpoint() as silent:
        register(fleet, silent.address)
        worker = fleet.add_service("worker-1")
        router = fleet.add_router("a")
        fleet.wait_ready()
        statuses = [
            call(
                router.address,
                "/services/s/book",
                b"{}",
                headers={**KEY, "Idempotency-Key": f"k-{number}"},
            ).status
            for number in range(4)
        ]
        assert statuses == [200] * 4
        assert len(worker.look()["arrivals"]) == 4


def test_calls_that_wait_for_a_silent_endpoint_are_answered_when_it_goes_on(fleet):
    # Guards against waiting calls that are refused as unable to meet their deadline,
    # though it is far off, once their endpoint goes on after a silence.
    worker = fleet.add_service("worker-1", "s", "--slots=2")
    router = fleet.add_router("a")
    fleet.wait_ready()

    def look(number=0):
        return call(router.address, "/services/s/look", headers=KEY).status

    assert look() == 200
    worker.send(signal.SIGSTOP)
    with ThreadPoolExecutor(8) as pool:
        answers = pool.map(look, range(8))
        wait_for(lambda: router.status()["waiting"]["service:s"] == 6, "six wait")
        threading.Timer(SILENCE_S, worker.send, [signal.SIGCONT]).start()
        assert list(answers) == [200] * 8
