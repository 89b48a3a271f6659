"""A router of the product's own interface that stands still and then serves on."""

import itertools
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from tamarackrill.contracts import hash_key
from tamarackrill.decisions.hashing import rendezvous_order
from tamarackrill.testing.processes import FleetProcesses, call, wait_for

STANDSTILL_S = 1.5
CALLS = 8
# Until calls that were just sent wait in the socket of a router that stands still.
SEND_S = 0.3
CLAIMS_PATH = "/v1/objects/claim"


def make_contract(team, **fields):
    patterns = [{"service": "s", "method": "POST", "path_prefix": "/book"}]
    return {
        "team": team,
        "key_hashes": [hash_key(team)],
        "services": ["s"],
        "non_idempotent": patterns,
        **fields,
    }


class Fleet:
    """Routers and a worker, and calls that are sent in the background."""

    def __init__(self, processes, routers):
        self.processes = processes
        self.pool = ThreadPoolExecutor(32)
        self.worker = processes.add_service("worker-1")
        processes.put_contract(make_contract("t"))
        self.routers = [processes.add_router(name) for name in routers]
        processes.wait_ready()
        assert self.send(self.routers[0]).result() == 200

    def send(self, router, path="/look", team="t", timeout_s=20.0, **headers):
        headers = {name.replace("_", "-"): text for name, text in headers.items()}
        headers["Authorization"] = f"Bearer {team}"
        headers.setdefault("Request-Timeout-Ms", "20000")
        method = "POST" if path == "/book" else "GET"
        return self.pool.submit(
            self._send, router.address, path, method, headers, timeout_s
        )

    def _send(self, address, path, method, headers, timeout_s):
        try:
            url = f"/services/s{path}"
            return call(address, url, None, method, headers, timeout_s).status
        except OSError as error:
            return type(error).__name__

    def change_endpoint(self, name, **fields):
        address = self.processes.platform.address
        path = f"/v1/objects/endpoint/{name}"
        value = call(address, path).json()["value"]
        call(address, path, {**value, **fields}, "PUT")

    def delete_endpoint(self, name):
        address = self.processes.platform.address
        path = f"/v1/objects/endpoint/{name}"
        version = call(address, path).json()["version"]
        call(address, path, None, "DELETE", {"If-Match": str(version)})


@pytest.fixture
def open_fleet():
    with FleetProcesses() as processes:
        fleets = []

        def open_fleet(*routers):
            fleets.append(Fleet(processes, routers))
            return fleets[0]

        yield open_fleet
    fleets[0].pool.shutdown()


def test_endpoint_that_left_while_a_router_stood_still_gets_no_call(open_fleet):
    # Guards against calls that a router sends to a leaving endpoint, if they waited
    # while the router stood still and it decides before it has read the news.
    fleet = open_fleet("a", "b")
    router = fleet.routers[0]
    router.send(signal.SIGSTOP)
    fleet.processes.add_service("worker-2")
    fleet.change_endpoint("worker-1", state="leaving")
    time.sleep(STANDSTILL_S)
    before = fleet.worker.look()["total"]
    sent = [fleet.send(router) for _ in range(CALLS)]
    sent += [fleet.send(router, "/book", Idempotency_Key=f"k-{n}") for n in range(4)]
    time.sleep(SEND_S)
    router.send(signal.SIGCONT)
    assert {future.result() for future in sent} == {200}
    assert fleet.worker.look()["total"] - before == 0


def test_contract_written_while_a_router_stood_still_is_in_force(open_fleet):
    # Guards against callers that are refused as unknown by a router that stood still
    # while their contract was written.
    fleet = open_fleet("a", "b")
    router = fleet.routers[0]
    router.send(signal.SIGSTOP)
    fleet.processes.put_contract(make_contract("other"))
    fleet.processes.put_contract(make_contract("new"))
    time.sleep(STANDSTILL_S)
    sent = [fleet.send(router, team="new") for _ in range(CALLS)]
    time.sleep(SEND_S)
    router.send(signal.SIGCONT)
    assert [future.result() for future in sent] == [200] * CALLS


def test_confirmation_whose_deadline_passed_while_a_router_stood_still(open_fleet):
    # Guards against confirmations that run after their callers have given up, if they
    # waited in the socket of a router that stood still.
    fleet = open_fleet("a", "b")
    router = fleet.routers[0]
    router.send(signal.SIGSTOP)
    headers = {"Request_Timeout_Ms": "500"}
    gone, stayed = (
        [
            fleet.send(
                router,
                "/book",
                timeout_s=timeout_s,
                Idempotency_Key=f"{timeout_s}-{number}",
                **headers,
            )
            for number in range(4)
        ]
        for timeout_s in (0.6, 20.0)
    )
    time.sleep(STANDSTILL_S)
    router.send(signal.SIGCONT)
    assert [future.result() for future in stayed] == [504] * 4
    assert {future.result() for future in gone} == {"TimeoutError"}
    assert fleet.send(router).result() == 200
    assert set(fleet.worker.look()["arrivals"]) == {""}


def test_calls_that_waited_through_a_standstill_go_to_the_endpoint_that_joined(
    open_fleet,
):
    # Guards against waiting calls that are refused, if their endpoint was replaced by
    # another one while the router stood still.
    fleet = open_fleet("a")
    (router,) = fleet.routers
    fleet.change_endpoint("worker-1", slots=2)
    wait_for(lambda: router.status()["endpoints"][0]["slots"] == 2, "two slots")
    before = fleet.worker.look()["total"]
    fleet.worker.set_faults(hold=True)
    sent = [fleet.send(router) for _ in range(6)]
    wait_for(lambda: fleet.worker.look()["total"] - before == 2, "two calls run")
    wait_for(lambda: router.status()["waiting"]["service:s"] == 4, "four wait")
    router.send(signal.SIGSTOP)
    fleet.processes.add_service("worker-2")
    fleet.delete_endpoint("worker-1")
    fleet.worker.set_faults()
    time.sleep(2 * STANDSTILL_S)
    router.send(signal.SIGCONT)
    assert [future.result() for future in sent] == [200] * 6
    assert fleet.worker.look()["total"] - before == 2


def test_confirmation_whose_claim_was_under_way_is_not_refused(open_fleet):
    # Guards against confirmations that are refused because the time in which their
    # router stood still counts as the platform's.
    fleet = open_fleet("a")
    (router,) = fleet.routers
    platform = fleet.processes.platform
    platform.set_faults(answer_delay_s=0.5)
    sent = fleet.send(router, "/book", Idempotency_Key="k")
    wait_for(lambda: call(platform.address, CLAIMS_PATH).json()["items"], "the claim")
    router.send(signal.SIGSTOP)
    time.sleep(2 * STANDSTILL_S)
    router.send(signal.SIGCONT)
    assert sent.result() == 200


def find_chat(home):
    names = ["a", "b", "c"]
    for number in itertools.count():
        if rendezvous_order(f"t\nchat-{number}", names, 1) == [home]:
            return f"chat-{number}"
    raise AssertionError


def move_home(fleet, chat, entry, home, next_entry):
    """Run requests 1 and 3 while the home stands still; return what 2 and 4 get."""

    def send(router, number):
        order = {"Chat_Id": chat, "Chat_Sequence": str(number)}
        return fleet.send(router, Sending_Id=f"sending-{number}", **order)

    assert send(entry, 1).result() == 200
    home.send(signal.SIGSTOP)
    second = send(entry, 2)
    wait_for(
        lambda: all(m["name"] != "b" for m in next_entry.status()["members"]),
        "the home router is removed",
    )
    assert send(next_entry, 3).result() == 200
    home.send(signal.SIGCONT)
    got = second.result()
    wait_for(
        lambda: any(m["name"] == "b" for m in entry.status()["members"]),
        "the home router is back",
    )
    return got, send(entry, 4).result()


@pytest.mark.parametrize("through_home", [False, True])
def test_request_of_a_chat_does_not_run_after_a_later_one(open_fleet, through_home):
    # Guards against a chat that runs out of order, if its home router stands still, the
    # chat moves to another one, and the first runs what waited.
    fleet = open_fleet("a", "b", "c")
    entry, home, next_entry = fleet.routers
    entry = home if through_home else entry
    _, last = move_home(fleet, find_chat("b"), entry, home, next_entry)
    ran = [name for name in fleet.worker.look()["sendings"] if name]
    assert ran == sorted(ran)
    # The home that is back knows nothing of the chat, and must not wait for request 2.
    assert last == 200
