"""At-most-once execution of bookings while processes are killed, frozen or cut off."""

import itertools
import signal
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import pytest

from tamarackrill.contracts import hash_key
from tamarackrill.decisions.claim_buckets import find_bucket, hash_claim_key
from tamarackrill.decisions.hashing import rendezvous_order
from tamarackrill.testing.processes import FleetProcesses, call, wait_for

TIMEOUT_MS = 20_000
CONTRACT = {
    "team": "t",
    "key_hashes": [hash_key("the-key")],
    "services": ["s"],
    "non_idempotent": [{"service": "s", "method": "POST", "path_prefix": "/book"}],
}
DELAYED = {"before claim": {"delay_s": 1.0}, "after claim": {"answer_delay_s": 1.5}}


class Desk:
    """Sends bookings, and checks the responses against what the service received."""

    def __init__(self, fleet, routers):
        self.fleet = fleet
        self.service = fleet.add_service("worker-1")
        fleet.put_contract(CONTRACT)
        self.routers = [fleet.add_router(name) for name in routers]
        fleet.wait_ready()
        self.pool = ThreadPoolExecutor(32)
        self.numbers = itertools.count()
        self.responses = []

    def send(self, router, key, path="/book", timeout_ms=TIMEOUT_MS, **headers):
        sending = f"sending-{next(self.numbers)}"
        headers = {
            "Authorization": "Bearer the-key",
            "Idempotency-Key": key,
            "Request-Timeout-Ms": str(timeout_ms),
            "Sending-Id": sending,
            **{name.replace("_", "-"): text for name, text in headers.items()},
        }
        return self.pool.submit(self._send, router, sending, path, headers)

    def _send(self, router, sending, path, headers):
        try:
            answer = call(router.address, f"/services/s{path}", b"{}", headers=headers)
        except OSError:
            return 0, "connection lost", "unknown"
        body = answer.json()
        self.responses.append((sending, answer.status, body))
        return answer.status, body.get("code"), body.get("run")

    def look(self):
        return self.service.look()

    def count(self, key):
        return self.look()["arrivals"].get(key, 0)

    def count_open(self):
        return sum(router.status()["in_flight"] for router in self.routers)

    def count_claims(self):
        found = call(self.fleet.platform.address, "/v1/objects/claim").json()
        return sum(len(item["value"]["claims"]) for item in found["items"])

    def find_key(self, home):
        names = [router.name for router in self.routers]
        for number in itertools.count():
            bucket = find_bucket(hash_claim_key("t", f"key-{number}"))
            if rendezvous_order(f"claims\n{bucket}", names, 1) == [home.name]:
                return f"key-{number}"
        raise AssertionError

    def find_chat(self, home):
        names = [router.name for router in self.routers]
        for number in itertools.count():
            if rendezvous_order(f"t\nchat-{number}", names, 1) == [home.name]:
                return f"chat-{number}"
        raise AssertionError

    def remove(self, router):
        """Remove a router from the VM list and wait until the others have noticed."""
        self.routers.remove(router)
        del self.fleet.routers[router.name]
        self.fleet.publish_vms()
        names = {other.name for other in self.routers}
        wait_for(
            lambda: all(self._list_members(r) == names for r in self.routers), "it left"
        )

    @staticmethod
    def _list_members(router):
        return {member["name"] for member in router.status()["members"]}

    def check(self):
        state = self.look()
        assert max(state["arrivals"].values(), default=0) <= 1
        assert max(Counter(state["sendings"]).values(), default=0) <= 1
        for sending, status, body in self.responses:
            if status != 200 and body["run"] == "not_run":
                assert sending not in state["sendings"], body


@pytest.fixture
def open_desk():
    with FleetProcesses() as fleet:
        desks = []

        def open_desk(*routers):
            desks.append(Desk(fleet, routers))
            return desks[0]

        yield open_desk
        desks[0].check()
    desks[0].pool.shutdown()


def test_all_routers_at_once_run_a_booking_once_and_answer_all(
    open_desk,
):
    # A caller whose connection flaps sends a booking through every router at once.  The
    # resends name different chats, so most have another home router.  The booking must
    # run once, and each resend must get the whole response.
    desk = open_desk("a", "b", "c")
    desk.service.set_faults(hold=True)
    chats = [{}, *({"Chat_Id": f"c-{n}", "Chat_Sequence": "1"} for n in range(3))]
    sent = [
        desk.send(router, "quote-1", **chat)
        for router in desk.routers
        for chat in chats
    ]
    wait_for(lambda: desk.count("quote-1"), "the booking arrives")
    wait_for(lambda: desk.count_open() >= len(sent), "all sendings are in")
    desk.service.set_faults()
    assert {future.result() for future in sent} == {(200, None, None)}
    bodies = [body for _, _, body in desk.responses]
    assert all(body == bodies[0] for body in bodies)
    assert desk.count("quote-1") == 1


def test_resend_in_a_chat_gets_the_response_held_by_another_router(open_desk):
    # A caller books without a chat and resends the booking in a chat, whose home router
    # has to fetch the response from the router that ran it.  A third send, again in the
    # chat, must not be refused with `sequence_passed` although the response exists.
    desk = open_desk("a", "b")
    holder, other = desk.routers
    key, chat = desk.find_key(holder), desk.find_chat(other)
    first = desk.send(holder, key)
    assert first.result() == (200, None, None)
    for router in desk.routers:
        again = desk.send(router, key, Chat_Id=chat, Chat_Sequence="1")
        assert again.result() == (200, None, None)
    later = desk.send(other, "next", Chat_Id=chat, Chat_Sequence="2")
    assert later.result() == (200, None, None)
    assert desk.count(key) == 1


@pytest.mark.parametrize("end", ["kill", "freeze"])
@pytest.mark.parametrize("moment", ["before claim", "after claim", "during answer"])
def test_router_that_stops_at_any_step_does_not_double_a_booking(
    open_desk, moment, end
):
    # The router that processes a booking is killed or frozen.  The caller resends the
    # booking through another router, and the frozen one resumes with its old decision.
    desk = open_desk("a", "b")
    stopped, other = desk.routers
    key = desk.find_key(stopped)
    if moment == "during answer":
        desk.service.set_faults(hold=True)
        reached = lambda: desk.count(key)  # noqa: E731
    else:
        desk.fleet.platform.set_faults(**DELAYED[moment])
        is_early = moment == "before claim"
        reached = desk.count_open if is_early else desk.count_claims
    first = desk.send(stopped, key)
    wait_for(reached, moment)
    if end == "kill":
        stopped.kill()
    else:
        stopped.send(signal.SIGSTOP)
    desk.fleet.platform.set_faults()
    desk.remove(stopped)
    again = desk.send(other, key).result()
    if moment == "before claim":
        assert again == (200, None, None)
    else:
        assert again == (409, "claim_orphaned", "unknown")
    desk.service.set_faults()
    told = (0, "connection lost", "unknown")
    if end == "freeze":
        stopped.send(signal.SIGCONT)
        told = first.result()
        # The others remove a frozen router only after the suspicion timeout, which is
        # longer than the claim timeout; by then it must not send.
        too_late = (503, "claim_timeout", "not_run")
        allowed = [(200, None, None)] + [too_late] * (moment != "during answer")
        assert told in allowed
    ran = moment == "during answer" or 200 in (again[0], told[0])
    assert desk.count(key) == ran


def test_router_frozen_past_the_deadline_does_not_send(open_desk):
    # A router is frozen between claim and send, and resumes after the deadline.  The
    # booking would be made after the client was told that it failed.
    desk = open_desk("a", "b")
    frozen, _ = desk.routers
    key = desk.find_key(frozen)
    desk.fleet.platform.set_faults(answer_delay_s=0.5)
    first = desk.send(frozen, key, timeout_ms=1500)
    deadline_s = time.monotonic() + 1.5
    wait_for(desk.count_claims, "the claim stands")
    frozen.send(signal.SIGSTOP)
    desk.remove(frozen)
    wait_for(lambda: time.monotonic() > deadline_s, "the deadline has passed")
    frozen.send(signal.SIGCONT)
    assert first.result()[2] == "not_run"
    assert desk.count(key) == 0


@pytest.mark.parametrize("routers", ["ab", "abc"], ids=["two", "three"])
def test_call_handed_to_a_frozen_home_is_never_said_not_to_have_run(open_desk, routers):
    # The home router is frozen while the service runs the booking.  The entry router
    # times out and tries the next home, which does not know the call.  If the client
    # were told "not_run", it would book again with another key.
    desk = open_desk(*routers)
    home = desk.routers[0]
    key = desk.find_key(home)
    entry = desk.routers[-1]
    desk.service.set_faults(hold=True)
    sent = desk.send(entry, key, timeout_ms=1500)
    wait_for(lambda: desk.count(key), "the booking arrives")
    home.send(signal.SIGSTOP)
    assert sent.result()[2] == "unknown"
    home.send(signal.SIGCONT)


@pytest.mark.parametrize(
    "faults",
    [{"lose_answers": 1}, {"drop_writes": 1}, {"lose_answers": 3}, {"stale_reads": 2}],
    ids=str,
)
def test_writes_and_reads_that_go_wrong_do_not_double_a_booking(open_desk, faults):
    # The response to a claim write or the write itself is lost, or reads are stale.  A
    # router that guessed the outcome would run the booking twice or not at all.
    desk = open_desk("a", "b")
    desk.fleet.platform.set_faults(**faults)
    chats = [{}, *({"Chat_Id": f"c-{n}", "Chat_Sequence": "1"} for n in range(3))]
    sent = [desk.send(router, "k", **chat) for router in desk.routers for chat in chats]
    assert {future.result() for future in sent} == {(200, None, None)}
    assert desk.count("k") == 1


def test_outage_refuses_a_booking_at_once_and_it_runs_afterwards(open_desk):
    # The platform is down.  A booking that can't be claimed must be refused as
    # "not_run", and the same key must succeed once the platform is back.
    desk = open_desk("a")
    (router,) = desk.routers
    desk.fleet.platform.set_faults(outage=True)
    refused = (503, "platform_unavailable", "not_run")
    assert desk.send(router, "k").result() == refused
    assert desk.send(router, "k").result() == refused
    assert desk.send(router, "lookup", path="/look").result()[0] == 200
    assert desk.count("k") == 0
    desk.fleet.platform.set_faults()
    wait_for(lambda: desk.send(router, "k").result()[0] == 200, "the platform is back")


def test_service_that_closes_a_reused_connection_sees_a_booking_once(open_desk):
    # By default libcurl resends a request if a reused connection closes before any byte
    # of the response.  The service would make the booking twice.
    desk = open_desk("a")
    (router,) = desk.routers
    for number in range(3):
        assert desk.send(router, f"warm-{number}", path="/look").result()[0] == 200
        assert desk.send(router, f"book-{number}").result()[0] == 200
    desk.service.set_faults(close=1)
    assert desk.send(router, "k").result() == (502, "endpoint_lost", "unknown")
    assert desk.send(router, "k").result() == (409, "claim_orphaned", "unknown")
    assert desk.count("k") == 1


def test_chat_runs_in_sequence_order_through_all_routers(open_desk):
    # A caller sends six requests of a chat at once through different routers, and they
    # arrive in reverse order.  They must run in order of their sequence numbers.
    desk = open_desk("a", "b", "c")

    def send(number):
        chat = {"Chat_Id": "c", "Chat_Sequence": str(number)}
        return desk.send(desk.routers[number % 3], f"k-{number}", **chat)

    desk.service.set_faults(hold=True)
    sent = [send(1)]
    wait_for(lambda: desk.count("k-1"), "the first one runs")
    sent += [send(number) for number in (6, 5, 4, 3, 2)]
    wait_for(lambda: desk.count_open() >= 6, "all are in")
    desk.service.set_faults()
    assert [future.result()[0] for future in sent] == [200] * 6
    ran = [f"sending-{number}" for number in (0, 5, 4, 3, 2, 1)]
    assert desk.look()["sendings"] == ran
    passed = desk.send(desk.routers[0], "other", Chat_Id="c", Chat_Sequence="3")
    assert passed.result() == (409, "sequence_passed", "unknown")
