import asyncio
from concurrent.futures import ThreadPoolExecutor
from itertools import islice

import pytest

from tamarackrill.contracts import Endpoint, hash_key
from tamarackrill.decisions.hashing import rendezvous_order
from tamarackrill.decisions.routing import compute_bound
from tamarackrill.protocol import owner_codec as codec
from tamarackrill.protocol.codec import DIGEST_BYTES, sign
from tamarackrill.router.members import Member, Members
from tamarackrill.router.owners import UNCOUNTED, Owners
from tamarackrill.testing.processes import FleetProcesses, call, wait_for

KEYS = ("the first key", "the second key")
KEY = {"Authorization": "Bearer the-key"}
CONTRACT = {"team": "t", "key_hashes": [hash_key("the-key")], "models": ["m"]}
POOL = [Endpoint(f"engine-{i}", "engine", ("m",), "", "zone-a") for i in range(4)]
MESSAGES = [
    codec.Ask("abertawe-1", 2**48, "engine-1", 30_000, True),
    codec.Answer(7, False, 0),
    codec.Release("abertawe-1", 7),
]


@pytest.mark.parametrize("message", MESSAGES)
def test_message_comes_back_only_with_a_key(message):
    datagram = codec.encode_owner_message(message, KEYS[1:])
    assert codec.decode_owner_message(datagram, KEYS) == message
    assert codec.decode_owner_message(datagram, KEYS[:1]) is None
    for length in range(len(datagram)):
        assert codec.decode_owner_message(datagram[:length], KEYS) is None


def test_proof_of_another_kind_of_message_is_not_taken():
    # Gossip comes in by the same socket with the same keys.  A datagram of it that
    # happened to parse would reserve or release what nobody asked for.
    payload = codec.encode_owner_message(MESSAGES[2], KEYS)[DIGEST_BYTES:]
    assert codec.decode_owner_message(sign(payload, KEYS[0]) + payload, KEYS) is None


class Network:
    """Two routers whose datagrams arrive at once, but for those that are lost."""

    def __init__(self):
        self.now_s = 0.0
        self.lost = ()
        self.members = [Member(n, "", "zone-a", peer_address=n) for n in ("a", "b")]
        self.routers = {member.name: self._make(member) for member in self.members}

    def _make(self, member):
        members = Members(member)
        members.replace(self.members)
        clock = lambda: self.now_s  # noqa: E731
        return Owners(members, 1.25, lambda: POOL, self.send, KEYS, clock)

    def send(self, to, datagram):
        if not isinstance(codec.decode_owner_message(datagram, KEYS), self.lost):
            self.routers[to].take_datagram(datagram)

    def count(self):
        loads = [r.reservations.loads for r in self.routers.values()]
        return sum(load.own(e.name) for load in loads for e in POOL)


def test_both_routers_reserve_at_one_owner_and_release():
    async def run():
        network = Network()
        tickets = []
        for number in range(8):
            router = network.routers["ab"[number % 2]]
            grant, ticket = await router.reserve(POOL[number % 4], 9.0, False)
            assert grant == (True, number // 4 + 1)
            tickets.append((router, ticket))
        assert len({ticket.owner for _, ticket in tickets}) == 1
        for name, wanted in (("a", (True, 3)), ("b", (True, 4)), ("a", (False, 4))):
            grant, _ = await network.routers[name].reserve(POOL[0], 9.0, False)
            assert grant == wanted
        for router, ticket in tickets:
            router.release(ticket)
        assert network.count() == 2

    asyncio.run(run())


@pytest.mark.parametrize("lost", [codec.Ask, codec.Answer])
def test_lost_datagram_leaves_no_reservation_behind(lost):
    # The owner can't be reached, or only its answer is lost.  The caller's request has
    # to go on, and the owner must not count a request that it will never see end.
    async def run():
        network = Network()
        network.lost = (lost,)
        for endpoint, router in zip(POOL, network.routers.values(), strict=False):
            grant, ticket = await router.reserve(endpoint, 9.0, False)
            assert (grant is None) == (ticket == UNCOUNTED)
        assert network.count() == 1

    asyncio.run(run())


def _find_chats(routers, home, count):
    """Return chats of one home router whose first engine is engine-1."""
    engines = [endpoint.name for endpoint in POOL]
    names = (f"t\nchat-{number}" for number in range(10_000))
    found = (
        name.partition("\n")[2]
        for name in names
        if rendezvous_order(name, routers, 1) == [home]
        and rendezvous_order(name, engines, 1) == ["engine-1"]
    )
    return list(islice(found, count))


def test_bound_holds_over_two_routers():
    # Twenty chats of one engine come back at once, half of them through each of two
    # routers.  Each router keeps the bound by what it sent itself, and the engine gets
    # twice as much: the callers behind it wait while three engines have room.
    with FleetProcesses() as fleet:
        engines = [fleet.add_engine(e.name, "m", "--slots=30") for e in POOL]
        fleet.put_contract(CONTRACT)
        names = ["router-1", "router-2"]
        routers = [fleet.add_router(name) for name in names]
        fleet.wait_ready()
        for engine in engines:
            engine.set_faults(hold=True)
        chats = [chat for name in names for chat in _find_chats(names, name, 10)]
        messages = [{"role": "user", "content": "a pattern"}]
        body = {"model": "m", "messages": messages, "max_tokens": 2}

        def ask(chat):
            headers = {**KEY, "Chat-Id": chat}
            path = "/v1/chat/completions"
            return call(routers[0].address, path, body, headers=headers).status

        def count():
            return [len(engine.look()["arrivals"]) for engine in engines]

        with ThreadPoolExecutor(len(chats)) as callers:
            statuses = callers.map(ask, chats)
            wait_for(lambda: sum(count()) == len(chats), "all calls are at engines")
            assert max(count()) <= compute_bound(1.25, len(chats), len(engines))
            for engine in engines:
                engine.set_faults()
            assert set(statuses) == {200}
