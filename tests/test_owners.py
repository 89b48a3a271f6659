import asyncio
import hashlib
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from itertools import islice

import pytest

from tamarackrill.contracts import Endpoint, hash_key, read_contract
from tamarackrill.decisions.hashing import rendezvous_order
from tamarackrill.decisions.reservations import find_owner
from tamarackrill.decisions.routing import compute_bound
from tamarackrill.protocol import owner_codec as codec
from tamarackrill.protocol.codec import MAC_BYTES, sign
from tamarackrill.router.calls import Call
from tamarackrill.router.load_reports import LoadReader
from tamarackrill.router.members import Member, Members
from tamarackrill.router.owners import UNCOUNTED, Owners
from tamarackrill.router.placing import Placer
from tamarackrill.router.upstream import make_client
from tamarackrill.testing.daemon import listen
from tamarackrill.testing.engine import EngineState, make_engine
from tamarackrill.testing.processes import FleetProcesses, call, wait_for

BOUND = 1.25
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
def test_message_decodes_only_with_a_valid_key(message):
    datagram = codec.encode_owner_message(message, KEYS[1:])
    assert codec.decode_owner_message(datagram, KEYS) == message
    assert codec.decode_owner_message(datagram, KEYS[:1]) is None
    for length in range(len(datagram)):
        assert codec.decode_owner_message(datagram[:length], KEYS) is None


def test_signature_of_another_message_type_is_rejected():
    # Gossip uses the same socket and keys.  A gossip datagram that happened to parse as
    # a reservation message would reserve or release at random.
    payload = codec.encode_owner_message(MESSAGES[2], KEYS)[MAC_BYTES:]
    assert codec.decode_owner_message(sign(payload, KEYS[0]) + payload, KEYS) is None


class Network:
    """Two routers with immediate delivery of datagrams, except of the lost types."""

    def __init__(self):
        self.now_s = 0.0
        self.lost = ()
        self.views = {}
        self.members = [Member(n, "", "zone-a", peer_address=n) for n in ("a", "b")]
        self.routers = {member.name: self._make(member) for member in self.members}

    def _make(self, member):
        members = self.views.setdefault(member.name, Members(member))
        members.replace(self.members)
        clock = lambda: self.now_s  # noqa: E731
        return Owners(members, 1.25, lambda: POOL, self.send, KEYS, clock)

    def send(self, to, datagram):
        if not isinstance(codec.decode_owner_message(datagram, KEYS), self.lost):
            self.routers[to].handle_datagram(datagram, "a peer")

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
def test_lost_datagram_leaves_no_reservation(lost):
    # The owner is unreachable, or only its reply is lost.  The request continues
    # without a reservation, so the owner must not keep one that nobody would release.
    async def run():
        network = Network()
        network.lost = (lost,)
        for endpoint, router in zip(POOL, network.routers.values(), strict=False):
            grant, ticket = await router.reserve(endpoint, 9.0, False)
            assert (grant is None) == (ticket == UNCOUNTED)
        assert network.count() == 1

    asyncio.run(run())


def test_bound_holds_while_the_owner_is_silent():
    # Twenty chats of one engine return at once, half of them through each of two
    # routers, and the owner answers the other router too late: its process gets no CPU
    # time for a tenth of a second.  If that router then went by its own requests alone,
    # each of the two would fill the engine up to the bound of its own half.
    async def run():
        network = Network()
        network.lost = (codec.Answer,)
        contract = read_contract(CONTRACT)
        placers = {
            name: Placer(lambda: POOL, BOUND, "zone-a", owners)
            for name, owners in network.routers.items()
        }
        placed = []

        async def place(name, placer, number):
            chat = _find_chats(["a", "b"], name, number + 1)[number]
            call = make_call(contract, chat)
            choice = await placer.place(call, (), 0.0)
            placer.start(call, choice.endpoint, 0.0)
            placed.append(choice.endpoint.name)

        await asyncio.gather(
            *(place(*item, n) for n in range(10) for item in placers.items())
        )
        bound = compute_bound(BOUND, len(placed), len(POOL))
        assert max(Counter(placed).values()) <= bound

    asyncio.run(run())


@pytest.mark.parametrize("is_owner_silent", [False, True])
def test_engine_that_leaves_while_its_owner_is_asked_gets_no_call(is_owner_silent):
    # Guards against calls at an engine that was chosen before a wait, and has begun to
    # leave since.
    async def run():
        network = Network()
        network.lost = (codec.Answer,) if is_owner_silent else ()
        home = find_home_of_other(POOL[1])
        pool = list(POOL)
        placer = Placer(lambda: pool, BOUND, "zone-a", network.routers[home])
        chat = _find_chats(["a", "b"], home, 1)[0]
        placing = asyncio.create_task(
            placer.place(make_call(read_contract(CONTRACT), chat), (), 0.0)
        )
        await asyncio.sleep(0)
        pool[1] = pool[1]._replace(state="leaving")
        placed = await placing
        assert placed.endpoint.name != "engine-1"

    asyncio.run(run())


def find_home_of_other(endpoint):
    """Return the router that doesn't own an endpoint."""
    return "ab".replace(find_owner(endpoint, len(POOL), ["a", "b"]), "")


def test_reservations_last_while_a_router_leaves_but_end_when_it_is_gone():
    # A router that is stopping finishes its calls for minutes.  If their reservations
    # ended at once, engines would get twice their load; if those of a failed router
    # were kept, its engines would stay full for all other routers.
    async def run():
        network = Network()
        owner = find_owner(POOL[0], len(POOL), ["a", "b"])
        home = "ab".replace(owner, "")
        await network.routers[home].reserve(POOL[0], 9.0, False)
        members = {member.name: member for member in network.members}
        for state, wanted in (("alive", 1), ("leaving", 1), ("", 0)):
            others = [members[home]._replace(state=state)] if state else []
            network.views[owner].replace(others)
            network.routers[owner].expire()
            assert network.count() == wanted

    asyncio.run(run())


def make_call(contract, chat):
    return Call(
        request_id=chat,
        contract=contract,
        kind="engine",
        pool="m",
        method="POST",
        path="/v1/chat/completions",
        headers={},
        body=b"",
        chat=chat,
        sequence=None,
        key="",
        idempotent=True,
        stream=True,
        last_event_id=0,
        deadline_s=9.0,
        size_tokens=1,
        priority=0,
        fingerprint=hashlib.sha256(chat.encode()).hexdigest(),
    )


def _find_chats(routers, home, count):
    """Return chats with the given home router and engine-1 as their first engine."""
    engines = [endpoint.name for endpoint in POOL]
    names = (f"t\nchat-{number}" for number in range(10_000))
    found = (
        name.partition("\n")[2]
        for name in names
        if rendezvous_order(name, routers, 1) == [home]
        and rendezvous_order(name, engines, 1) == ["engine-1"]
    )
    return list(islice(found, count))


def _ask(router, chat):
    """Send a request of a chat and return the status of its answer."""
    messages = [{"role": "user", "content": "a pattern"}]
    body = {"model": "m", "messages": messages, "max_tokens": 2}
    headers = {**KEY, "Chat-Id": chat}
    return call(router.address, "/v1/chat/completions", body, headers=headers).status


def test_bound_holds_over_two_routers():
    # Twenty chats of one engine return at once, half of them through each of two
    # routers.  If each router applied the bound to its own requests only, the engine
    # would get twice the bound while three engines have free slots.
    with FleetProcesses() as fleet:
        engines = [fleet.add_engine(e.name, "m", "--slots=30") for e in POOL]
        fleet.put_contract(CONTRACT)
        names = ["router-1", "router-2"]
        routers = [
            fleet.add_router(name, "zone-a", f"--load-bound={BOUND}") for name in names
        ]
        fleet.wait_ready()
        for engine in engines:
            engine.set_faults(hold=True)
        chats = [chat for name in names for chat in _find_chats(names, name, 10)]

        def count():
            return [len(engine.look()["arrivals"]) for engine in engines]

        with ThreadPoolExecutor(len(chats)) as callers:
            statuses = callers.map(lambda chat: _ask(routers[0], chat), chats)
            wait_for(lambda: sum(count()) == len(chats), "all calls are at engines")
            assert max(count()) <= compute_bound(BOUND, len(chats), len(engines))
            for engine in engines:
                engine.set_faults()
            assert set(statuses) == {200}


def test_new_owner_learns_loads_from_the_engines():
    # The owner fails while calls of other routers run.  The new owner has granted none
    # of them; if it took the engine for idle, the engine would get twice its load.
    async def run():
        state = EngineState("engine-0")
        server, address = listen(make_engine(state))
        endpoint = POOL[0]._replace(address=address)
        members = Members(Member("a", "", "zone-a"))
        clock = lambda: 1.0  # noqa: E731
        owners = Owners(members, 1.25, lambda: [endpoint], print, KEYS, clock)
        client = make_client()
        placer = Placer(lambda: [endpoint])
        reader = LoadReader(client, owners, placer, clock)
        for running, wanted in ((3, 3), (5, 5), ("many", 5), (-1, 0)):
            state.running = running
            await reader.poll()
            assert owners.digest() == [("engine-0", wanted)]
            assert placer.placement.loads.estimate(["engine-0"], 1.0) == [wanted]
        client.close()
        server.stop()

    asyncio.run(run())


def test_calls_queue_at_an_engine_filled_by_another_router():
    # One router has filled the only engine; the other doesn't know this and admits its
    # calls past the queue, until the owner reports the engine as full.  The calls must
    # then be queued rather than refused: they have time, and the queue is empty.
    with FleetProcesses() as fleet:
        engine = fleet.add_engine("engine-1", "m", "--slots=4")
        fleet.put_contract(CONTRACT)
        names = ["router-1", "router-2"]
        routers = [fleet.add_router(name) for name in names]
        fleet.wait_ready()
        engine.set_faults(hold=True)
        with ThreadPoolExecutor(8) as callers:
            statuses = [
                callers.submit(_ask, router, chat)
                for router in routers
                for chat in _find_chats(names, router.name, 4)
            ]
            wait_for(lambda: len(engine.look()["arrivals"]) == 4, "the engine is full")
            wait_for(lambda: sum(r.status()["in_flight"] for r in routers) >= 8, "all")
            engine.set_faults()
            assert [status.result() for status in statuses] == [200] * 8
